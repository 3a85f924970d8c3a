//! Time in which the machine kept the mock or a dispatcher from running, which no rule counts against the dispatcher.

use std::time::{Duration, Instant};

use crate::record::{Entry, Seen};

/// How long the mock itself was held up between two times: what crossed then was on its way for so long.
pub fn held_up(record: &[Entry], from: Instant, to: Instant) -> Duration {
    let seconds = |seen: &Seen| match seen {
        Seen::HeldUp { seconds } => Some(*seconds),
        _ => None,
    };
    covered(stalls(record, from, to, seconds), from)
}

/// How long between two times the mock was held up, or this process waited for a processor, or what came at the later time
/// was held up. What they waited at once counts once.
pub fn stopped_by_machine(
    record: &[Entry],
    process: usize,
    held_up_at_end: Duration,
    from: Instant,
    to: Instant,
) -> Duration {
    let seconds = |seen: &Seen| match seen {
        Seen::HeldUp { seconds } => Some(*seconds),
        Seen::WaitedForProcessor {
            process: waiting,
            seconds,
        } if *waiting == process => Some(*seconds),
        _ => None,
    };
    let mut stalls = stalls(record, from, to, seconds);
    stalls.extend(clip(to, held_up_at_end, from, to));
    covered(stalls, from)
}

/// The part between two times of a stall that ended at this time.
fn clip(
    ended: Instant,
    length: Duration,
    from: Instant,
    to: Instant,
) -> Option<(Instant, Instant)> {
    let began = ended.checked_sub(length)?.max(from);
    let ended = ended.min(to);
    (began < ended).then_some((began, ended))
}

/// The stalls between two times; each ends at the time of its entry.
fn stalls(
    record: &[Entry],
    from: Instant,
    to: Instant,
    seconds: impl Fn(&Seen) -> Option<f64>,
) -> Vec<(Instant, Instant)> {
    let stall = |entry: &Entry| {
        let length = Duration::from_secs_f64(seconds(&entry.seen)?);
        clip(entry.at, length, from, to)
    };
    record.iter().filter_map(stall).collect()
}

/// The time from this one on that is covered by stalls.
fn covered(mut stalls: Vec<(Instant, Instant)>, from: Instant) -> Duration {
    stalls.sort();
    let mut covered_until = from;
    let mut total = Duration::ZERO;
    for (began, ended) in stalls {
        total += ended.saturating_duration_since(began.max(covered_until));
        covered_until = covered_until.max(ended);
    }
    total
}
