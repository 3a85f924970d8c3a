//! The rules on a stream from two sides, and on requests that arrive after their end.

use std::time::{Duration, Instant};

use crate::record::{End, Entry, Seen};

/// A client that waits so long after a running server's last event is lost.
const MAX_WAIT: Duration = Duration::from_millis(5000 + 50);
/// A process may be held up for so long, and what passes between the machines takes its time: an event may be waited for
/// up to that before the limit.
const HELD_UP: Duration = Duration::from_millis(150 + 50);
/// An attempt may begin so much after its client has closed, and the slack of every limit on sockets.
const BEGINS_AFTER_END: Duration = Duration::from_millis(100 + 50);

/// What the record shows of one answer.
struct Answer {
    last_event: Option<Instant>,
    is_spoilt: bool,
    is_whole: bool,
    is_broken_by_server: bool,
}

impl Answer {
    fn of(seen: &[&Entry]) -> Answer {
        let has = |fits: fn(&Seen) -> bool| seen.iter().any(|e| fits(&e.seen));
        let mut events = seen.iter().filter(|e| matches!(e.seen, Seen::Event { .. }));
        Answer {
            last_event: events.next_back().map(|e| e.at),
            is_spoilt: has(|s| matches!(s, Seen::Spoilt { .. })),
            is_whole: has(|s| matches!(s, Seen::StreamWhole { .. })),
            is_broken_by_server: has(|s| matches!(s, Seen::BrokenByServer { .. })),
        }
    }
}

/// What is wrong with the end of a stream at its client. `held_up` is how long the mock itself was held up since its
/// last event.
pub fn wrong_end(
    seen: &[&Entry],
    end: End,
    at: Instant,
    held_up: impl Fn(Instant) -> Duration,
) -> Option<&'static str> {
    let answer = Answer::of(seen);
    if matches!(end, End::Left | End::Refused | End::Failed) {
        return None;
    }
    if end == End::Served {
        let is_cut = answer.is_spoilt && !answer.is_whole;
        return is_cut.then_some("its stream was ended with the last chunk, and is not whole");
    }
    if answer.is_whole {
        return Some("its stream was cut though its server wrote all of it");
    }
    let is_servers_doing = answer.is_spoilt || answer.is_broken_by_server;
    let Some(last_event) = answer.last_event else {
        return (!is_servers_doing).then_some("its stream was cut before its first event");
    };
    let waited = at.saturating_duration_since(last_event);
    if waited > MAX_WAIT + held_up(last_event) {
        return Some("it was left waiting after its server's last event");
    }
    let is_cut = !is_servers_doing && waited < MAX_WAIT - HELD_UP;
    is_cut.then_some("its stream was cut while its server's events still came")
}

/// Whether an attempt began after its client's end, where servers read at once what arrives. What the system still sends
/// of a process that has `gone` is nobody's doing.
pub fn begins_after_end(
    seen: &[&Entry],
    gone: Option<Instant>,
    held_up: impl Fn(Instant, Instant) -> Duration,
) -> bool {
    let ended = seen.iter().find(|e| matches!(e.seen, Seen::Ended { .. }));
    let Some(ended_at) = ended.map(|e| e.at) else {
        return false;
    };
    let mut arrivals = seen
        .iter()
        .filter(|e| matches!(e.seen, Seen::Arrived { .. }))
        .filter(|e| gone.is_none_or(|gone| e.at < gone));
    arrivals.any(|e| {
        let after = e.at.saturating_duration_since(ended_at);
        after > BEGINS_AFTER_END + held_up(ended_at, e.at)
    })
}
