//! One leader at a time: what a voter has promised, and what a candidate has been promised.
//!
//! A voter promises [`LEASE`] to one process and nothing to another until that has ended; a process that holds unexpired
//! promises of more than half of the voters is leader. Two majorities meet in one voter, so there are never two. A voter
//! keeps nothing on disk: one that has just started promises nothing for the length of a lease, as it may have promised
//! that before.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::{usable, Number, Process};

/// How long a promise lasts, by the voter's clock.
pub const LEASE: Duration = Duration::from_millis(1500);
/// Voters of a larger cluster: two may fail, and no one hears more than four others' votes.
const MAX_VOTERS: usize = 5;
/// A voter that comes later in the order waits that much longer before it stands, so that they do not all stand at once.
const STAGGER: Duration = Duration::from_millis(200);

/// Who votes: the first of the roster in the order of their short names, as many as five and an odd number, since an even one
/// bears no more failures.
pub fn voters(roster: &BTreeSet<NameKey>) -> Vec<NameKey> {
    let many = roster.len().min(MAX_VOTERS);
    roster.iter().take(many - (many + 1) % 2).copied().collect()
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Granted,
    Denied(Option<NameKey>),
}

struct Promise {
    to: Process,
    number: Number,
    until: Duration,
}

/// One member's part: voter, where it is one, and candidate.
pub struct LeaderElection {
    voters: Vec<NameKey>,
    own: Process,
    /// Before it nothing is promised.
    quiet_until: Duration,
    promise: Option<Promise>,
    /// The open question: when it was asked, and who has granted it.
    asked: Option<(Number, Duration, BTreeSet<NameKey>)>,
    holds_until: Duration,
    /// Since when it is leader without a break.
    since: Option<Duration>,
    stands_at: Duration,
}

impl LeaderElection {
    pub fn new(own: Process, roster: &BTreeSet<NameKey>, now: Duration) -> LeaderElection {
        LeaderElection {
            voters: voters(roster),
            own,
            quiet_until: now + LEASE,
            promise: None,
            asked: None,
            holds_until: now,
            since: None,
            stands_at: now + LEASE,
        }
    }

    pub fn voters(&self) -> &[NameKey] {
        &self.voters
    }

    fn rank(&self) -> Option<u32> {
        self.voters
            .iter()
            .position(|v| *v == self.own.name)
            .map(|rank| rank as u32)
    }

    fn promised(&self, now: Duration) -> Option<&Promise> {
        self.promise.as_ref().filter(|p| now < p.until)
    }

    /// Who is leader as far as a voter knows: the one to whom it has promised it.
    pub fn holder(&self, now: Duration) -> Option<NameKey> {
        self.promised(now).map(|p| p.to.name)
    }

    /// Since when this process has been leader without a break; checked at the act, by its own clock.
    pub fn leader_since(&self, now: Duration) -> Option<Duration> {
        self.since.filter(|_| now < self.holds_until)
    }

    /// As a voter: whether `from` may be leader.
    pub fn on_vote(&mut self, now: Duration, from: Process, number: Number) -> Verdict {
        if self.rank().is_none() || now < self.quiet_until || !self.voters.contains(&from.name) {
            return Verdict::Denied(None);
        }
        match self.promised(now) {
            Some(p) if p.to != from => return Verdict::Denied(Some(p.to.name)),
            // Late, from before one that it has taken back.
            Some(p) if number <= p.number => return Verdict::Denied(None),
            _ => {}
        }
        // Room for its question to come again, and for others to be seen first.
        self.stands_at = now + LEASE + self.waits();
        self.promise = Some(Promise {
            to: from,
            number,
            until: now + LEASE,
        });
        Verdict::Granted
    }

    /// As a voter: a promise is given back. It counts only for the question that was granted last, as one that was asked
    /// after it may be in use.
    pub fn on_released(&mut self, now: Duration, from: Process, number: Number) {
        if let Some(promise) = self
            .promise
            .as_mut()
            .filter(|p| p.to == from && p.number <= number)
        {
            // Kept with its number, so that a question from before does not count when it comes late.
            promise.until = promise.until.min(now);
        }
    }

    fn waits(&self) -> Duration {
        STAGGER * self.rank().unwrap_or_default()
    }

    /// As a candidate: whether it is time to ask (again), for one that is leader or could be.
    pub fn stands(&self, now: Duration) -> bool {
        let own = self.promised(now).is_some_and(|p| p.to == self.own);
        let free = self.promised(now).is_none() && now >= self.stands_at;
        self.rank().is_some() && now >= self.quiet_until && (own || free)
    }

    /// It asks all voters under this number; what was granted for an earlier one counts no more.
    pub fn ask(&mut self, now: Duration, number: Number) {
        self.asked = Some((number, now, BTreeSet::new()));
    }

    /// A voter has granted a question.
    pub fn on_granted(&mut self, now: Duration, voter: NameKey, number: Number) {
        let Some((asked, at, by)) = &mut self.asked else {
            return;
        };
        if *asked != number || !self.voters.contains(&voter) {
            return;
        }
        by.insert(voter);
        let until = *at + usable(LEASE);
        if 2 * by.len() > self.voters.len() && now < until {
            // One whose time had run out was nobody's leader meanwhile; another may have been.
            if now >= self.holds_until {
                self.since = Some(now);
            }
            self.holds_until = self.holds_until.max(until);
        }
    }

    /// What a candidate without a majority must give back, if it has asked and waited: its promises keep others out.
    /// It stands again when others have had their turn.
    pub fn give_up(&mut self, now: Duration, wait: Duration) -> Option<Number> {
        if self.leader_since(now).is_some() {
            return None;
        }
        let (number, ..) = self.asked.take()?;
        self.stands_at = now + self.waits() + wait;
        Some(number)
    }

    /// It is leader no more, from now on, and wants not to be.
    pub fn step_down(&mut self, now: Duration) -> Option<Number> {
        self.holds_until = self.holds_until.min(now);
        self.give_up(now, LEASE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn election(own: u32) -> LeaderElection {
        let roster = (1..=3).map(NameKey).collect();
        LeaderElection::new(process(own, 1), &roster, Duration::ZERO)
    }

    fn process(name: u32, start: u64) -> Process {
        Process {
            name: NameKey(name),
            start,
        }
    }

    #[test]
    fn a_voter_promises_one_process_at_a_time_and_nothing_right_after_its_start() {
        let mut voter = election(1);
        let mut asks = |at: u32, name, start, number| {
            voter.on_vote(MS * at, process(name, start), Number(number))
        };
        assert_eq!(
            asks(1499, 2, 1, 1),
            Verdict::Denied(None),
            "it may have promised before it started"
        );
        assert_eq!(asks(1500, 2, 1, 2), Verdict::Granted);
        assert_eq!(asks(2000, 3, 1, 1), Verdict::Denied(Some(NameKey(2))));
        assert_eq!(
            asks(2000, 2, 2, 1),
            Verdict::Denied(Some(NameKey(2))),
            "started again it is another"
        );
        assert_eq!(asks(2500, 2, 1, 3), Verdict::Granted);
        assert_eq!(asks(3999, 3, 1, 2), Verdict::Denied(Some(NameKey(2))));
        assert_eq!(asks(4000, 3, 1, 3), Verdict::Granted);
        assert_eq!(asks(9000, 4, 1, 3), Verdict::Denied(None), "no voter");
    }

    #[test]
    fn a_late_release_takes_back_no_later_promise_and_a_late_question_renews_none() {
        let mut voter = election(1);
        let (two, three) = (process(2, 1), process(3, 1));
        assert_eq!(voter.on_vote(MS * 2000, two, Number(5)), Verdict::Granted);
        voter.on_released(MS * 2001, two, Number(4));
        assert_eq!(
            voter.on_vote(MS * 2002, three, Number(1)),
            Verdict::Denied(Some(NameKey(2)))
        );
        voter.on_released(MS * 2003, two, Number(5));
        assert_eq!(voter.on_vote(MS * 2004, three, Number(2)), Verdict::Granted);
        assert_eq!(
            voter.on_vote(MS * 2005, three, Number(2)),
            Verdict::Denied(None)
        );
    }

    #[test]
    fn promises_count_from_the_question_and_only_together() {
        let mut candidate = election(1);
        candidate.ask(MS * 2000, Number(1));
        candidate.on_granted(MS * 2100, NameKey(1), Number(1));
        candidate.on_granted(MS * 2100, NameKey(1), Number(1));
        assert_eq!(
            candidate.leader_since(MS * 2100),
            None,
            "one voter of three, twice"
        );
        candidate.ask(MS * 2200, Number(2));
        candidate.on_granted(MS * 2210, NameKey(2), Number(1));
        candidate.on_granted(MS * 2300, NameKey(3), Number(2));
        assert_eq!(candidate.leader_since(MS * 2300), None, "of two questions");
        candidate.on_granted(MS * 2900, NameKey(2), Number(2));
        assert_eq!(candidate.leader_since(MS * 3669), Some(MS * 2900));
        assert_eq!(
            candidate.leader_since(MS * 3670),
            None,
            "2.2 s and 98 hundredths of 1.5 s"
        );
        candidate.ask(MS * 4000, Number(3));
        candidate.on_granted(MS * 9000, NameKey(1), Number(3));
        candidate.on_granted(MS * 9000, NameKey(2), Number(3));
        assert_eq!(
            candidate.leader_since(MS * 9000),
            None,
            "answers that a pause has made worthless"
        );
    }

    #[test]
    fn voters_are_odd_in_number() {
        let many = |n: u32| voters(&(0..n).map(NameKey).collect()).len();
        assert_eq!([1, 2, 3, 4, 5, 6, 300].map(many), [1, 1, 3, 3, 5, 5, 5]);
    }
}
