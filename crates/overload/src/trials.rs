//! A host that failed is tried by one of those that saw it fail at a time, with so much as grows by success alone.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::probes::{asker, Saying};

/// How long a member's word that a host failed counts, and how long a leave to try it does.
const FAILED: Duration = Duration::from_secs(6);
const LEAVE: Duration = Duration::from_millis(900);
/// Attempts at once from which on a host that answers is as any other.
const WELL: u32 = 8;
/// Between two words of one failure to the others.
const SAY_EVERY: Duration = Duration::from_millis(500);
/// Hosts that are held for failed, and those who say so of one; past it a host is as any other.
const HOSTS: usize = 1024;
const SEERS: usize = 1024;

#[derive(Debug, Default)]
struct Trial {
    seen_by: BTreeMap<NameKey, Duration>,
    said: Option<Duration>,
    /// Attempts at once that the one who tries may have out.
    many: u32,
}

/// How many attempts the own dispatcher may have out at a host, until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    pub host: u32,
    pub many: u32,
    pub until: Duration,
}

#[derive(Debug)]
pub struct Trials {
    own: NameKey,
    hosts: BTreeMap<u32, Trial>,
}

impl Trials {
    pub fn new(own: NameKey) -> Trials {
        Trials {
            own,
            hosts: BTreeMap::new(),
        }
    }

    fn seen(&mut self, now: Duration, host: u32, by: NameKey) {
        if self.hosts.len() >= HOSTS && !self.hosts.contains_key(&host) {
            return;
        }
        let trial = self.hosts.entry(host).or_default();
        if trial.seen_by.len() < SEERS || trial.seen_by.contains_key(&by) {
            trial.seen_by.insert(by, now);
        }
        trial.many = 1;
    }

    /// The own dispatcher saw it fail, in a row; gives what the others are to be told.
    pub fn failed(&mut self, now: Duration, host: u32) -> Option<Saying> {
        self.seen(now, host, self.own);
        let trial = self.hosts.get_mut(&host)?;
        let due = trial
            .said
            .is_none_or(|at| now.saturating_sub(at) >= SAY_EVERY);
        due.then(|| {
            trial.said = Some(now);
            Saying::Failed(host)
        })
    }

    /// The own dispatcher was answered by it; once it is well the others are to be told so.
    pub fn answered(&mut self, host: u32) -> Option<Saying> {
        let trial = self.hosts.get_mut(&host)?;
        trial.many = trial.many.saturating_mul(2);
        if trial.many < WELL {
            return None;
        }
        self.hosts.remove(&host);
        Some(Saying::Well(host))
    }

    /// Another one says so.
    pub fn heard(&mut self, now: Duration, from: NameKey, host: u32, failed: bool) {
        match failed {
            true => self.seen(now, host, from),
            false => drop(self.hosts.remove(&host)),
        }
    }

    /// What the own dispatcher may do with the hosts that it saw fail itself: one voice condemns a host for nobody else. `others`: those
    /// that are there; of whom nothing is known nobody waits for another.
    pub fn leaves(&mut self, now: Duration, others: Option<&[NameKey]>) -> Vec<Leave> {
        let own = self.own;
        self.hosts.retain(|_, t| {
            t.seen_by.retain(|_, at| now.saturating_sub(*at) < FAILED);
            !t.seen_by.is_empty()
        });
        let mine = self
            .hosts
            .iter()
            .filter(|(_, t)| t.seen_by.contains_key(&own));
        let leave = |(host, t): (&u32, &Trial)| {
            let there = |n: &NameKey| *n == own || others.is_some_and(|o| o.contains(n));
            let holder = asker(*host, t.seen_by.keys().copied().filter(there));
            Leave {
                host: *host,
                many: if holder == Some(own) { t.many } else { 0 },
                until: now + LEAVE,
            }
        };
        mine.map(leave).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(n: u64) -> Duration {
        Duration::from_secs(1000 + n)
    }

    #[test]
    fn one_of_those_that_saw_it_fail_tries_it_and_more_only_after_it_answers() {
        let all: Vec<NameKey> = (0..6).map(NameKey).collect();
        let mut members: Vec<Trials> = all.iter().map(|n| Trials::new(*n)).collect();
        for i in 0..5 {
            let saying = members[i].failed(s(0), 7);
            assert_eq!(saying, Some(Saying::Failed(7)));
            assert_eq!(members[i].failed(s(0), 7), None, "said once");
            (0..6)
                .filter(|j| *j != i)
                .for_each(|j| members[j].heard(s(0), all[i], 7, true));
        }
        let may = |members: &mut Vec<Trials>, at| -> Vec<u32> {
            members
                .iter_mut()
                .map(|m| m.leaves(at, Some(&all)).iter().map(|l| l.many).sum())
                .collect()
        };
        assert_eq!(may(&mut members, s(1)).iter().sum::<u32>(), 1);
        assert!(
            members[5].leaves(s(1), Some(&all)).is_empty(),
            "it has not seen it fail"
        );
        let holder = may(&mut members, s(1))
            .iter()
            .position(|m| *m == 1)
            .expect("one");
        assert_eq!(members[holder].answered(7), None);
        assert_eq!(may(&mut members, s(1)).iter().sum::<u32>(), 2);
        members[holder].failed(s(1), 7);
        assert_eq!(may(&mut members, s(1)).iter().sum::<u32>(), 1);
        assert_eq!(
            (members[holder].answered(7), members[holder].answered(7)),
            (None, None)
        );
        assert_eq!(members[holder].answered(7), Some(Saying::Well(7)));
        (0..6).for_each(|j| members[j].heard(s(1), all[holder], 7, false));
        assert!((0..6).all(|j| members[j].leaves(s(1), Some(&all)).is_empty()));
    }

    #[test]
    fn all_ends_by_time_and_one_that_is_alone_tries_by_itself() {
        let mut one = Trials::new(NameKey(1));
        one.heard(s(0), NameKey(2), 7, true);
        one.failed(s(0), 7);
        assert_eq!(
            one.leaves(s(1), None).iter().map(|l| l.many).sum::<u32>(),
            1
        );
        assert!(one.leaves(s(7), None).is_empty());
    }
}
