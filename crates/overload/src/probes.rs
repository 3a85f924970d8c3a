//! Probes of all as one: who asks a host is the same for all, so that a host is asked as often whatever the number of dispatchers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::order::spread;
use crate::{Millionths, OverloadError};

/// Between two probes of a host by all together; an answer younger than that is passed on instead.
pub const PROBE_EVERY: Duration = Duration::from_millis(250);
/// How long who wanted an answer waits for it.
const WAITS: Duration = Duration::from_millis(900);
/// Hosts that are kept, those that want an answer of one, and figures in a report. What is past a bound gets no answer.
const HOSTS: usize = 4096;
const WANTERS: usize = 320;
const FIGURES: usize = 16;

/// What members say to each other of probes. The first byte of each is a version, apart from those of words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Saying {
    /// Wants a host's report.
    Want(u32),
    /// Saw a host fail, and found it well again.
    Failed(u32),
    Well(u32),
    /// A host's report, and its age.
    Report {
        host: u32,
        age_ms: u16,
        report: Vec<Millionths>,
    },
}

const WANT: u8 = 2;
const REPORT: u8 = 3;
const FAILED: u8 = 4;
const WELL: u8 = 5;

impl Saying {
    pub fn write(&self) -> Vec<u8> {
        match self {
            Saying::Want(host) => [&[WANT], &host.to_le_bytes()[..]].concat(),
            Saying::Failed(host) => [&[FAILED], &host.to_le_bytes()[..]].concat(),
            Saying::Well(host) => [&[WELL], &host.to_le_bytes()[..]].concat(),
            Saying::Report {
                host,
                age_ms,
                report,
            } => {
                let mut bytes =
                    [&[REPORT], &host.to_le_bytes()[..], &age_ms.to_le_bytes()].concat();
                report
                    .iter()
                    .take(FIGURES)
                    .for_each(|f| bytes.extend(f.raw().to_le_bytes()));
                bytes
            }
        }
    }

    /// # Errors
    /// Where it is neither.
    pub fn read(bytes: &[u8]) -> Result<Saying, OverloadError> {
        let host = |bytes: &[u8]| {
            bytes
                .get(1..5)
                .and_then(|b| b.try_into().ok())
                .map(u32::from_le_bytes)
        };
        let host = host(bytes).ok_or(OverloadError::Unreadable)?;
        match (bytes[0], &bytes[5..]) {
            (WANT, []) => Ok(Saying::Want(host)),
            (FAILED, []) => Ok(Saying::Failed(host)),
            (WELL, []) => Ok(Saying::Well(host)),
            (REPORT, [a, b, rest @ ..]) if rest.len() % 8 == 0 && rest.len() <= 8 * FIGURES => {
                let figure = |b: &[u8]| {
                    let mut raw = [0; 8];
                    raw.copy_from_slice(b);
                    Millionths::from_raw(u64::from_le_bytes(raw))
                };
                let report = rest.chunks_exact(8).map(figure).collect();
                Ok(Saying::Report {
                    host,
                    age_ms: u16::from_le_bytes([*a, *b]),
                    report,
                })
            }
            (WANT | REPORT | FAILED | WELL, _) => Err(OverloadError::Unreadable),
            _ => Err(OverloadError::OtherVersion),
        }
    }
}

/// Who asks a host, of those that are there (rendezvous hashing, Thaler and Ravishankar 1998).
pub fn asker(host: u32, members: impl Iterator<Item = NameKey>) -> Option<NameKey> {
    members.max_by_key(|m| (spread(u64::from(host) << 32 | u64::from(m.0)), *m))
}

#[derive(Debug, Default)]
struct Known {
    asked: Option<Duration>,
    /// When the host answered, by the own clock, and what.
    report: Option<(Duration, Vec<Millionths>)>,
    wanters: BTreeSet<NameKey>,
    /// The own dispatcher wants it since then.
    wanted: Option<Duration>,
}

/// What there is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// The own dispatcher sends a probe.
    Probe(u32),
    /// It is told of an answer.
    Tell {
        host: u32,
        age: Duration,
        report: Vec<Millionths>,
    },
    Say(NameKey, Saying),
}

/// Probes wanted, asked and answered.
#[derive(Debug)]
pub struct Probes {
    own: NameKey,
    known: BTreeMap<u32, Known>,
}

impl Probes {
    pub fn new(own: NameKey) -> Probes {
        Probes {
            own,
            known: BTreeMap::new(),
        }
    }

    fn entry(&mut self, host: u32) -> Option<&mut Known> {
        let fits = self.known.len() < HOSTS || self.known.contains_key(&host);
        fits.then(|| self.known.entry(host).or_default())
    }

    fn fresh(known: &Known, now: Duration) -> Option<(Duration, Vec<Millionths>)> {
        let (at, report) = known.report.as_ref()?;
        let age = now.saturating_sub(*at);
        (age < PROBE_EVERY).then(|| (age, report.clone()))
    }

    /// The own dispatcher wants a report. `others`: those that are there; where nobody is known to be, it asks itself, as often as
    /// each of a roster of so many may.
    pub fn want(
        &mut self,
        now: Duration,
        host: u32,
        others: Option<&[NameKey]>,
        roster: usize,
        out: &mut Vec<Do>,
    ) {
        let own = self.own;
        let Some(known) = self.entry(host) else {
            return;
        };
        if let Some((age, report)) = Self::fresh(known, now) {
            return out.push(Do::Tell { host, age, report });
        }
        known.wanted = Some(now);
        let every = others.map_or(PROBE_EVERY * roster.max(1) as u32, |_| PROBE_EVERY);
        let who = asker(
            host,
            others.unwrap_or_default().iter().copied().chain([own]),
        );
        match who.filter(|who| *who != own) {
            Some(who) => out.push(Do::Say(who, Saying::Want(host))),
            None => self.ask(now, host, every, out),
        }
    }

    fn ask(&mut self, now: Duration, host: u32, every: Duration, out: &mut Vec<Do>) {
        let Some(known) = self.entry(host) else {
            return;
        };
        if known.asked.is_none_or(|at| now.saturating_sub(at) >= every) {
            known.asked = Some(now);
            out.push(Do::Probe(host));
        }
    }

    /// A member says something. One that asks for what this one is not the asker of is served all the same: it knows of others.
    pub fn hear(&mut self, now: Duration, from: NameKey, saying: Saying, out: &mut Vec<Do>) {
        match saying {
            Saying::Want(host) => {
                let Some(known) = self.entry(host) else {
                    return;
                };
                if let Some((age, report)) = Self::fresh(known, now) {
                    let age_ms = age.as_millis() as u16;
                    return out.push(Do::Say(
                        from,
                        Saying::Report {
                            host,
                            age_ms,
                            report,
                        },
                    ));
                }
                if known.wanters.len() < WANTERS {
                    known.wanters.insert(from);
                }
                self.ask(now, host, PROBE_EVERY, out);
            }
            Saying::Failed(_) | Saying::Well(_) => {}
            Saying::Report {
                host,
                age_ms,
                report,
            } => {
                let age = Duration::from_millis(u64::from(age_ms));
                let Some(known) = self.entry(host) else {
                    return;
                };
                // On its way it has become older than it says; who wanted it wants what comes after that.
                known.report = Some((now.saturating_sub(age), report.clone()));
                Self::give(known, now, host, age, report, out);
            }
        }
    }

    fn give(
        known: &mut Known,
        now: Duration,
        host: u32,
        age: Duration,
        report: Vec<Millionths>,
        out: &mut Vec<Do>,
    ) {
        if known
            .wanted
            .take()
            .is_some_and(|at| now.saturating_sub(at) < WAITS)
        {
            out.push(Do::Tell { host, age, report });
        }
    }

    /// A host answered the own dispatcher's probe.
    pub fn answered(
        &mut self,
        now: Duration,
        host: u32,
        report: Vec<Millionths>,
        out: &mut Vec<Do>,
    ) {
        let Some(known) = self.entry(host) else {
            return;
        };
        known.report = Some((now, report.clone()));
        for to in std::mem::take(&mut known.wanters) {
            out.push(Do::Say(
                to,
                Saying::Report {
                    host,
                    age_ms: 0,
                    report: report.clone(),
                },
            ));
        }
        Self::give(known, now, host, Duration::ZERO, report, out);
    }

    /// Lets go of hosts that nobody asked for lately.
    pub fn forget(&mut self, now: Duration) {
        let young = |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) < 8 * WAITS);
        self.known.retain(|_, k| {
            young(k.asked) || young(k.wanted) || young(k.report.as_ref().map(|r| r.0))
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// So many dispatchers that each want one host's report every 50 ms; gives probes at it and answers, a second.
    fn play(of: u32, reachable: bool) -> (f64, f64) {
        let all: Vec<NameKey> = (0..of).map(NameKey).collect();
        let mut members: Vec<Probes> = all.iter().map(|n| Probes::new(*n)).collect();
        let (mut probes, mut told) = (0, 0);
        for step in 0..200u64 {
            let now = Duration::from_millis(100_000 + 50 * step);
            let mut to_do: Vec<(usize, Do)> = Vec::new();
            for (i, member) in members.iter_mut().enumerate() {
                let others: Vec<NameKey> = all.iter().filter(|n| **n != all[i]).copied().collect();
                let mut out = Vec::new();
                member.want(
                    now,
                    7,
                    reachable.then_some(&others[..]),
                    of as usize,
                    &mut out,
                );
                to_do.extend(out.into_iter().map(|d| (i, d)));
            }
            while let Some((i, what)) = to_do.pop() {
                let mut out = Vec::new();
                let at = match what {
                    Do::Tell { .. } => {
                        told += 1;
                        continue;
                    }
                    Do::Probe(host) => {
                        probes += 1;
                        members[i].answered(now, host, vec![Millionths::of(2.0)], &mut out);
                        i
                    }
                    Do::Say(to, saying) => {
                        let read = Saying::read(&saying.write()).expect("its own form");
                        members[to.0 as usize].hear(now, all[i], read, &mut out);
                        to.0 as usize
                    }
                };
                to_do.extend(out.into_iter().map(|d| (at, d)));
            }
            members.iter_mut().for_each(|m| m.forget(now));
        }
        (f64::from(probes) / 10.0, f64::from(told) / 10.0)
    }

    #[test]
    fn a_host_is_asked_as_often_by_twelve_as_by_three_and_all_are_answered() {
        let (three, twelve) = (play(3, true), play(12, true));
        assert!(
            (three.0 - 4.0).abs() < 0.2 && (twelve.0 - three.0).abs() < 0.2,
            "{three:?} {twelve:?}"
        );
        assert!(
            three.1 > 0.95 * 60.0 && twelve.1 > 0.95 * 240.0,
            "{three:?} {twelve:?}"
        );
        assert!(
            play(12, false).0 <= 5.0,
            "cut off from each other they ask no more: {:?}",
            play(12, false)
        );
    }

    #[test]
    fn a_dead_askers_hosts_move_to_others_and_no_others_do() {
        let all: Vec<NameKey> = (0..9).map(NameKey).collect();
        let of = |host, without| {
            asker(host, all.iter().copied().filter(|n| Some(*n) != without)).expect("one")
        };
        for host in 0..500 {
            let (before, after) = (of(host, None), of(host, Some(NameKey(4))));
            assert!(before == after || before == NameKey(4));
        }
    }

    proptest! {
        #[test]
        fn whatever_comes_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            if let Ok(saying) = Saying::read(&bytes) {
                prop_assert_eq!(saying.write(), bytes);
            }
        }
    }
}
