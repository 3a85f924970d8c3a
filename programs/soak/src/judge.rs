//! The rules, judged from a day's record.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use crate::judge_streams::{begins_after_end, wrong_end};
use crate::machine_stalls::{held_up, stopped_by_machine};
use crate::record::{End, Entry, Seen};
use crate::slow_start::{ColdServer, SlowStartTerms};

/// What every time limit is longer by on sockets, and the further slack of the rule on what is held.
const SOCKETS: Duration = Duration::from_millis(50);
const HELD_SLACK: Duration = Duration::from_millis(300);
/// A final answer may come so late, and earns nothing.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// What comes so soon after the signal to end has to have its answer before the kill.
const TAKEN_AFTER_SIGNAL: Duration = Duration::from_millis(700);
/// Grace of a drain after it was told.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// Two attempts of a request at once by less than that: servers see a close a little late.
const OVERLAP: Duration = Duration::from_millis(150);
/// What the time that is passed on may exceed the time left by, the way there included.
const TOLD_SLACK: Duration = Duration::from_millis(200);
const READY_WITHIN_S: f64 = 10.0;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Duplicate,
    Drain,
    Pinned,
    Deadline,
    Crash,
    /// A cold server was sent more than its budget.
    ColdOverload,
}

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    pub rule: Rule,
    pub what: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.what)
    }
}

/// What a day was played with, as far as the rules need it.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub pin_limit: Duration,
    /// Servers stand still or fall silent, and read later what has arrived at their machine.
    pub servers_read_late: bool,
    pub slow_start: Option<SlowStartTerms>,
}

struct Asked<'a> {
    id: &'a str,
    at: Instant,
    process: usize,
    deadline: Duration,
    is_unsafe: bool,
    seen: Vec<&'a Entry>,
}

/// All that the record shows to be broken.
pub fn judge(record: &[Entry], terms: Terms) -> Vec<Break> {
    let Some(last) = record.last() else {
        return Vec::new();
    };
    let mut breaks = processes(record);
    for asked in requests(record).values() {
        let of = |what: Option<(Rule, String)>| {
            what.map(|(rule, what)| Break {
                rule,
                what: format!("{}: {what}", asked.id),
            })
        };
        let process = process_end(record, asked);
        breaks.extend(of(lost(asked, process, record, last.at)));
        breaks.extend(of(late_arrival(asked, process, terms, record)));
        breaks.extend(of(duplicate(asked, last.at)));
        breaks.extend(of(pinned(asked, process.gone, terms, last.at)));
        breaks.extend(of(told_too_much(asked, record)));
    }
    breaks.extend(drained(record));
    if let Some(slow_start) = terms.slow_start {
        breaks.extend(cold_overloads(record, slow_start).breaks);
    }
    breaks
}

fn id_of(seen: &Seen) -> Option<&str> {
    match seen {
        Seen::Asked { id, .. }
        | Seen::Ended { id, .. }
        | Seen::HalfRequest { id, .. }
        | Seen::Arrived { id, .. }
        | Seen::Over { id, .. }
        | Seen::Held { id }
        | Seen::Taken { id }
        | Seen::Released { id }
        | Seen::Event { id }
        | Seen::Spoilt { id }
        | Seen::BrokenByServer { id }
        | Seen::StreamWhole { id } => Some(id),
        Seen::Drained { .. }
        | Seen::ColdStart { .. }
        | Seen::Fell { .. }
        | Seen::Listed { .. }
        | Seen::Told { .. }
        | Seen::Gone { .. }
        | Seen::Ready { .. }
        | Seen::HeldUp { .. }
        | Seen::WaitedForProcessor { .. } => None,
    }
}

fn requests(record: &[Entry]) -> BTreeMap<&str, Asked<'_>> {
    let mut all = BTreeMap::new();
    for entry in record {
        if let Seen::Asked {
            id,
            process,
            deadline_s,
            is_unsafe,
        } = &entry.seen
        {
            let deadline = Duration::from_secs_f64(*deadline_s);
            let asked = Asked {
                id,
                at: entry.at,
                process: *process,
                deadline,
                is_unsafe: *is_unsafe,
                seen: Vec::new(),
            };
            all.insert(id.as_str(), asked);
        }
    }
    for entry in record {
        if let Some(asked) = id_of(&entry.seen).and_then(|id| all.get_mut(id)) {
            asked.seen.push(entry);
        }
    }
    all
}

/// The end of the process that had a request.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessEnd {
    told: Option<Instant>,
    gone: Option<Instant>,
    killed: bool,
}

fn process_end(record: &[Entry], asked: &Asked) -> ProcessEnd {
    let mut end = ProcessEnd::default();
    for entry in record {
        match &entry.seen {
            Seen::Told { process } if *process == asked.process => end.told = Some(entry.at),
            Seen::Gone {
                process, killed, ..
            } if *process == asked.process => {
                (end.gone, end.killed) = (Some(entry.at), *killed);
                if entry.at >= asked.at {
                    return end;
                }
                end = ProcessEnd::default();
            }
            _ => {}
        }
    }
    end
}

impl ProcessEnd {
    /// A request without an answer at this time is not owed one any more.
    fn excuses(&self, asked: &Asked, at: Instant) -> bool {
        let came_late = self
            .told
            .is_some_and(|told| asked.at > told + TAKEN_AFTER_SIGNAL);
        let was_read = asked
            .seen
            .iter()
            .any(|e| matches!(e.seen, Seen::Arrived { .. }));
        // A request that crosses the close of its connection, and was not read, its client sends elsewhere.
        let crossed = self.told.is_some_and(|told| asked.at + SOCKETS >= told) && !was_read;
        let killed = self.killed && self.gone.is_some_and(|gone| gone <= at + SOCKETS);
        crossed || killed && !came_late
    }
}

fn lost(
    asked: &Asked,
    process: ProcessEnd,
    record: &[Entry],
    day_end: Instant,
) -> Option<(Rule, String)> {
    let due = asked.at + asked.deadline + ANSWER_SLACK + SOCKETS;
    let ended = asked.seen.iter().find_map(|e| match &e.seen {
        Seen::Ended { end, .. } => Some((*end, e.at)),
        _ => None,
    });
    let Some((end, at)) = ended else {
        let owed = day_end > due && !process.excuses(asked, due);
        return owed.then(|| (Rule::Lost, "no answer".to_string()));
    };
    let begun = asked
        .seen
        .iter()
        .any(|e| matches!(e.seen, Seen::Event { .. }));
    let what = match end {
        End::Refused | End::Failed => (at > due).then_some("its answer came after its time"),
        End::Left => None,
        End::Broken | End::Closed | End::Nothing if process.excuses(asked, at) => None,
        End::Closed => Some("its connection was closed with no answer"),
        End::Nothing if !begun => Some("no answer"),
        End::Served | End::Broken | End::Nothing => {
            wrong_end(&asked.seen, end, at, |from| held_up(record, from, at))
        }
    };
    what.map(|what| (Rule::Lost, what.to_string()))
}

/// An attempt that begins at a server after its client has its answer or has left.
fn late_arrival(
    asked: &Asked,
    process: ProcessEnd,
    terms: Terms,
    record: &[Entry],
) -> Option<(Rule, String)> {
    if terms.servers_read_late {
        return None;
    }
    let is_late = begins_after_end(&asked.seen, process.gone, |from, to| {
        held_up(record, from, to)
    });
    is_late.then(|| {
        (
            Rule::Lost,
            "an attempt began after its client's end".to_string(),
        )
    })
}

/// An attempt of a request, from its last byte on.
struct Attempt {
    server: usize,
    at: Instant,
    is_over: bool,
}

/// Whether another attempt began so long before this time, after the attempt of this number, that both were out at once.
fn is_overlapped(attempts: &[Attempt], number: usize, until: Instant) -> bool {
    let mut later = attempts.iter().skip(number + 1);
    later.any(|other| until.saturating_duration_since(other.at) > OVERLAP)
}

fn duplicate(asked: &Asked, day_end: Instant) -> Option<(Rule, String)> {
    let broken = |what: &str| Some((Rule::Duplicate, what.to_string()));
    const AT_ONCE: &str = "two attempts were out at once";
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut may_have_run = false;
    for entry in &asked.seen {
        match &entry.seen {
            Seen::Arrived { server, decode, .. } => {
                if *decode && may_have_run && asked.is_unsafe {
                    return broken("an unsafe request that may have run was sent again");
                }
                attempts.push(Attempt {
                    server: *server,
                    at: entry.at,
                    is_over: false,
                });
            }
            Seen::Over {
                server,
                decode,
                declined,
                ..
            } => {
                may_have_run |= *decode && !*declined;
                let ends = |a: &Attempt| a.server == *server && !a.is_over;
                if let Some(number) = attempts.iter().position(ends) {
                    attempts[number].is_over = true;
                    if is_overlapped(&attempts, number, entry.at) {
                        return broken(AT_ONCE);
                    }
                }
            }
            _ => {}
        }
    }
    let is_out = |number: &usize| !attempts[*number].is_over;
    let mut out = (0..attempts.len()).filter(is_out);
    if out.any(|number| is_overlapped(&attempts, number, day_end)) {
        return broken(AT_ONCE);
    }
    None
}

fn pinned(
    asked: &Asked,
    gone: Option<Instant>,
    terms: Terms,
    day_end: Instant,
) -> Option<(Rule, String)> {
    let (mut out, mut held, mut since) = (0usize, false, None::<Instant>);
    let limit = terms.pin_limit + SOCKETS + HELD_SLACK;
    let too_long = |since: Option<Instant>, until: Instant| {
        let since = since?;
        let until = gone.map_or(until, |gone| gone.min(until));
        let took = until.saturating_duration_since(since);
        (took > limit).then(|| {
            (
                Rule::Pinned,
                format!("held for {:.2} s", took.as_secs_f64()),
            )
        })
    };
    for entry in &asked.seen {
        let was_held = held;
        match &entry.seen {
            Seen::Arrived { .. } => out += 1,
            Seen::Over { .. } => out = out.saturating_sub(1),
            Seen::Held { .. } => held = true,
            Seen::Taken { .. } | Seen::Released { .. } => held = false,
            _ => continue,
        }
        if out > 0 || !held {
            if let Some(broken) = too_long(since.take(), entry.at) {
                return Some(broken);
            }
        } else if since.is_none() || !was_held {
            since = Some(entry.at);
        }
    }
    too_long(since, day_end)
}

fn told_too_much(asked: &Asked, record: &[Entry]) -> Option<(Rule, String)> {
    asked.seen.iter().find_map(|entry| {
        let Seen::Arrived {
            told_ms, held_up_s, ..
        } = &entry.seen
        else {
            return None;
        };
        let left = (asked.at + asked.deadline).saturating_duration_since(entry.at);
        let told = Duration::from_millis(*told_ms);
        let excess = told.saturating_sub(left + TOLD_SLACK);
        // The whole record is searched for stalls, so only where they matter.
        let held_up = Duration::from_secs_f64(*held_up_s);
        let is_broken = !excess.is_zero()
            && excess > stopped_by_machine(record, asked.process, held_up, asked.at, entry.at);
        let what = || format!("a server was told {told:?} with {left:?} left");
        is_broken.then(|| (Rule::Deadline, what()))
    })
}

fn drained(record: &[Entry]) -> Vec<Break> {
    let mut told: BTreeMap<(usize, usize), Instant> = BTreeMap::new();
    let mut process_of: BTreeMap<&str, usize> = BTreeMap::new();
    let mut breaks = Vec::new();
    for entry in record {
        match &entry.seen {
            Seen::Asked { id, process, .. } => drop(process_of.insert(id, *process)),
            Seen::Drained { process, server } => {
                told.entry((*process, *server)).or_insert(entry.at);
            }
            Seen::Listed {
                process,
                server,
                ready: true,
                ..
            } => drop(told.remove(&(*process, *server))),
            Seen::Arrived { id, server, .. } => {
                let known = process_of
                    .get(id.as_str())
                    .and_then(|p| told.get(&(*p, *server)));
                if known.is_some_and(|at| entry.at.saturating_duration_since(*at) > DRAIN_GRACE) {
                    let what = format!("{id}: sent to server {server}, which drains");
                    breaks.push(Break {
                        rule: Rule::Drain,
                        what,
                    });
                }
            }
            _ => {}
        }
    }
    breaks
}

/// What the record shows of the cold servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ColdVerdict {
    pub breaks: Vec<Break>,
    /// Most work of a window at any of them, as a fraction of what makes that server fall.
    pub peak: f64,
}

/// The first fall of each cold server, where most of its work came from processes that had been notified.
pub fn cold_overloads(record: &[Entry], terms: SlowStartTerms) -> ColdVerdict {
    let mut cold: BTreeMap<usize, ColdServer> = BTreeMap::new();
    let mut notified: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut process_of: BTreeMap<&str, usize> = BTreeMap::new();
    let mut verdict = ColdVerdict::default();
    for entry in record {
        match &entry.seen {
            Seen::Asked { id, process, .. } => drop(process_of.insert(id, *process)),
            Seen::ColdStart { server, speed } => {
                notified.retain(|(_, known)| known != server);
                cold.insert(*server, ColdServer::new(terms.at_speed(*speed), entry.at));
            }
            Seen::Listed {
                process,
                server,
                tells_start: true,
                ..
            } => drop(notified.insert((*process, *server))),
            Seen::Arrived {
                id, server, work, ..
            } => {
                let Some(state) = cold.get_mut(server) else {
                    continue;
                };
                if state.is_warm(entry.at) {
                    cold.remove(server);
                    continue;
                }
                let process = process_of.get(id.as_str());
                let from_notified = process.is_some_and(|p| notified.contains(&(*p, *server)));
                let fall = state.receive(entry.at, *work, from_notified);
                verdict.peak = verdict.peak.max(state.peak());
                let Some(fall) = fall else {
                    continue;
                };
                cold.remove(server);
                if fall.breaks_rule() {
                    let (work, notified_work, most) =
                        (fall.work, fall.notified_work, fall.max_work);
                    let what = format!(
                        "server {server} fell {:.2} s after its start: work {work:.1}, of which \
                         {notified_work:.1} by notified processes, over {most:.1}",
                        fall.age_s
                    );
                    verdict.breaks.push(Break {
                        rule: Rule::ColdOverload,
                        what,
                    });
                }
            }
            _ => {}
        }
    }
    verdict
}

fn processes(record: &[Entry]) -> Vec<Break> {
    let broken = |entry: &Entry| match &entry.seen {
        Seen::Gone {
            process,
            expected: false,
            ..
        } => Some(format!("process {process} ended by itself")),
        Seen::Ready { process, after_s } if *after_s > READY_WITHIN_S => {
            Some(format!("process {process} was ready after {after_s:.1} s"))
        }
        Seen::HalfRequest { id, ended: false } => Some(format!(
            "{id}: half a request was neither answered nor ended"
        )),
        _ => None,
    };
    let broken = record.iter().filter_map(broken);
    broken
        .map(|what| Break {
            rule: Rule::Crash,
            what,
        })
        .collect()
}
