//! Leader election: what a voter has promised, and what a candidate has been promised.
//!
//! A voter promises [`LEASE`] to one process and nothing to another until that has expired; a process that holds
//! unexpired promises of more than half of the voters is leader. Two majorities share a voter, so there are never two
//! leaders. A voter keeps nothing on disk: one that has just started promises nothing for the length of a lease, because
//! it may have made a promise before it restarted.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::{usable, Process, RequestNumber};

/// How long a promise lasts, by the voter's clock.
pub const LEASE: Duration = Duration::from_millis(1500);
/// Voters of a larger cluster: two may fail, and a candidate waits for at most four other answers.
const MAX_VOTERS: usize = 5;
/// Added to a candidate's wait for each voter before it in the order, so that not all campaign at once.
const STAGGER: Duration = Duration::from_millis(200);

/// The voters of a roster: the first of its short names in order, an odd number of at most five, because one more voter
/// than an odd number tolerates no more failures.
pub fn voters(roster: &BTreeSet<NameKey>) -> Vec<NameKey> {
    let count = roster.len().min(MAX_VOTERS);
    roster
        .iter()
        .take(count - (count + 1) % 2)
        .copied()
        .collect()
}

/// A voter's answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The voter promises the lease to the candidate.
    Granted,
    /// The voter promises nothing; it names the holder of its current promise, if there is one.
    Denied(Option<NameKey>),
}

struct Promise {
    to: Process,
    number: RequestNumber,
    until: Duration,
}

/// A vote that this candidate has requested and that may still be granted.
struct PendingVote {
    number: RequestNumber,
    requested_at: Duration,
    granted_by: BTreeSet<NameKey>,
}

/// One member's state in the election: voter, where it is one, and candidate. All times are by its own clock.
pub struct LeaderElection {
    voters: Vec<NameKey>,
    own: Process,
    /// Before this time nothing is promised: an earlier start of this voter may have made promises.
    abstains_until: Duration,
    promise: Option<Promise>,
    pending: Option<PendingVote>,
    leader_until: Duration,
    /// Since when this process has been leader without interruption.
    leader_since: Option<Duration>,
    campaign_at: Duration,
}

impl LeaderElection {
    /// The election state of a process that starts now. Times are durations on the process's own clock.
    pub fn new(own: Process, roster: &BTreeSet<NameKey>, now: Duration) -> LeaderElection {
        LeaderElection {
            voters: voters(roster),
            own,
            abstains_until: now + LEASE,
            promise: None,
            pending: None,
            leader_until: now,
            leader_since: None,
            campaign_at: now + LEASE,
        }
    }

    /// All voters, in the order of their short names.
    pub fn voters(&self) -> &[NameKey] {
        &self.voters
    }

    fn rank(&self) -> Option<u32> {
        self.voters
            .iter()
            .position(|voter| *voter == self.own.name)
            .map(|rank| rank as u32)
    }

    fn current_promise(&self, now: Duration) -> Option<&Promise> {
        self.promise.as_ref().filter(|promise| now < promise.until)
    }

    /// The process to which this voter has promised the lease: the leader, as far as this voter knows.
    pub fn promised_to(&self, now: Duration) -> Option<NameKey> {
        self.current_promise(now).map(|promise| promise.to.name)
    }

    /// Since when this process has been leader without interruption, or `None` where it is not leader at `now`.
    pub fn leader_since(&self, now: Duration) -> Option<Duration> {
        self.leader_since.filter(|_| now < self.leader_until)
    }

    /// As a voter: decides on a vote request of `from`.
    pub fn on_vote_request(
        &mut self,
        now: Duration,
        from: Process,
        number: RequestNumber,
    ) -> Verdict {
        let votes = self.rank().is_some() && now >= self.abstains_until;
        if !votes || !self.voters.contains(&from.name) {
            return Verdict::Denied(None);
        }
        match self.current_promise(now) {
            Some(promise) if promise.to != from => return Verdict::Denied(Some(promise.to.name)),
            // A delayed request, sent before one that has been released.
            Some(promise) if number <= promise.number => return Verdict::Denied(None),
            _ => {}
        }
        // Leaves time for the leader to renew, and for other candidates to be seen first.
        self.campaign_at = now + LEASE + self.stagger();
        self.promise = Some(Promise {
            to: from,
            number,
            until: now + LEASE,
        });
        Verdict::Granted
    }

    /// As a voter: a promise is given back. Only the promise that was granted last is released, because one that was
    /// requested later may be in use.
    pub fn on_vote_released(&mut self, now: Duration, from: Process, number: RequestNumber) {
        if let Some(promise) = self
            .promise
            .as_mut()
            .filter(|promise| promise.to == from && promise.number <= number)
        {
            // The number is remembered, so that a delayed earlier request does not renew the promise.
            promise.until = promise.until.min(now);
        }
    }

    fn stagger(&self) -> Duration {
        STAGGER * self.rank().unwrap_or_default()
    }

    /// As a candidate: whether it is time to request votes, for the leader itself or where no promise is held.
    pub fn should_campaign(&self, now: Duration) -> bool {
        let promise = self.current_promise(now);
        let own = promise.is_some_and(|promise| promise.to == self.own);
        let free = promise.is_none() && now >= self.campaign_at;
        self.rank().is_some() && now >= self.abstains_until && (own || free)
    }

    /// Starts a vote under this number; grants of earlier votes no longer count.
    pub fn start_vote(&mut self, now: Duration, number: RequestNumber) {
        self.pending = Some(PendingVote {
            number,
            requested_at: now,
            granted_by: BTreeSet::new(),
        });
    }

    /// As a candidate: a voter has granted a vote request.
    pub fn on_vote_granted(&mut self, now: Duration, voter: NameKey, number: RequestNumber) {
        let Some(vote) = &mut self.pending else {
            return;
        };
        if vote.number != number || !self.voters.contains(&voter) {
            return;
        }
        vote.granted_by.insert(voter);
        let until = vote.requested_at + usable(LEASE);
        if 2 * vote.granted_by.len() > self.voters.len() && now < until {
            // Another process may have been leader since an expired lease of this one.
            if now >= self.leader_until {
                self.leader_since = Some(now);
            }
            self.leader_until = self.leader_until.max(until);
        }
    }

    /// Abandons a vote that brought no majority, and returns the number to release: the promises keep others out. The
    /// process campaigns again after `wait`, when others have had their turn.
    pub fn abandon_vote(&mut self, now: Duration, wait: Duration) -> Option<RequestNumber> {
        if self.leader_since(now).is_some() {
            return None;
        }
        let vote = self.pending.take()?;
        self.campaign_at = now + self.stagger() + wait;
        Some(vote.number)
    }

    /// Gives up leadership at once, and returns the number of the vote to release.
    pub fn step_down(&mut self, now: Duration) -> Option<RequestNumber> {
        self.leader_until = self.leader_until.min(now);
        self.abandon_vote(now, LEASE)
    }
}

#[cfg(test)]
mod tests;
