//! Leader election: the promise of a voter and the vote of a candidate.
//!
//! A voter promises its vote to one process for the time [`VOTE_PROMISE`], and to no other until the promise has expired. A
//! process that holds unexpired promises from more than half of the voters is leader. Any two majorities share a voter, so
//! there are never two leaders. Voters store nothing on disk. A voter that has just started promises nothing for the time
//! [`VOTE_PROMISE`], because it may have made a promise before it restarted.

use std::collections::BTreeSet;
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::{usable, Process, RequestNumber};

/// Time for which a voter promises its vote, by its own clock.
pub const VOTE_PROMISE: Duration = Duration::from_millis(1500);
/// Maximum number of voters. With five, two may fail, and a candidate needs the answers of at most four others.
const MAX_VOTERS: usize = 5;
/// Time that a candidate waits longer before it campaigns for each voter before it in the order of names, so that not all
/// campaign at once.
const STAGGER: Duration = Duration::from_millis(200);

/// The voters of a roster: its first members in the order of their short names, at most five. Their number is odd,
/// because one more voter would not let more of them fail.
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
    /// The voter promises its vote to the candidate.
    Granted,
    /// The voter promises nothing. Names the holder of its current promise, if there is one and it is another process.
    Denied(Option<NameKey>),
}

/// A voter's promise of its vote.
struct Promise {
    to: Process,
    /// Request number of the vote request that this promise granted.
    number: RequestNumber,
    /// When the promise expires.
    until: Duration,
}

/// The current vote of this candidate, which may still get a majority.
struct PendingVote {
    number: RequestNumber,
    requested_at: Duration,
    granted_by: BTreeSet<NameKey>,
}

/// One member's state in the election, as a voter and as a candidate. A member that is not a voter is neither. All times
/// are by its own clock.
pub struct LeaderElection {
    voters: Vec<NameKey>,
    own: Process,
    /// Until this time the voter promises nothing, because an earlier start of its process may have made a promise.
    abstains_until: Duration,
    promise: Option<Promise>,
    pending: Option<PendingVote>,
    /// When the leadership of this process expires, unless it is renewed.
    leader_until: Duration,
    /// Since when this process has been leader without interruption.
    leader_since: Option<Duration>,
    /// Earliest time at which this process campaigns while it has made no promise as a voter.
    campaign_at: Duration,
}

impl LeaderElection {
    /// Creates the election state of a process that starts at `now`.
    pub fn new(own: Process, roster: &BTreeSet<NameKey>, now: Duration) -> LeaderElection {
        LeaderElection {
            voters: voters(roster),
            own,
            abstains_until: now + VOTE_PROMISE,
            promise: None,
            pending: None,
            leader_until: now,
            leader_since: None,
            campaign_at: now + VOTE_PROMISE,
        }
    }

    /// All voters, in the order of their short names.
    pub fn voters(&self) -> &[NameKey] {
        &self.voters
    }

    /// Position of this process among the voters; `None` where it is not a voter.
    fn rank(&self) -> Option<u32> {
        self.voters
            .iter()
            .position(|voter| *voter == self.own.name)
            .map(|rank| rank as u32)
    }

    fn current_promise(&self, now: Duration) -> Option<&Promise> {
        self.promise.as_ref().filter(|promise| now < promise.until)
    }

    /// The process to which this voter has promised its vote: the leader, as far as this voter knows.
    pub fn promised_to(&self, now: Duration) -> Option<NameKey> {
        self.current_promise(now).map(|promise| promise.to.name)
    }

    /// Since when this process has been leader without interruption, or `None` where it is not leader at `now`.
    pub fn leader_since(&self, now: Duration) -> Option<Duration> {
        self.leader_since.filter(|_| now < self.leader_until)
    }

    /// As a voter: decides on a vote request from the process `from`.
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
            // A duplicate or delayed request, not later than one that has been granted.
            Some(promise) if number <= promise.number => return Verdict::Denied(None),
            _ => {}
        }
        // This voter does not campaign while its promise lasts, so that the leader can renew it. The stagger time then lets
        // voters before it in the order campaign first.
        self.campaign_at = now + VOTE_PROMISE + self.stagger();
        self.promise = Some(Promise {
            to: from,
            number,
            until: now + VOTE_PROMISE,
        });
        Verdict::Granted
    }

    /// As a voter: handles the release of a promise. A promise for a later request than the released one stays, because the
    /// candidate may be using it.
    pub fn on_vote_released(&mut self, now: Duration, from: Process, number: RequestNumber) {
        if let Some(promise) = self
            .promise
            .as_mut()
            .filter(|promise| promise.to == from && promise.number <= number)
        {
            // The promise is not removed: its request number serves to reject a delayed earlier request.
            promise.until = promise.until.min(now);
        }
    }

    fn stagger(&self) -> Duration {
        STAGGER * self.rank().unwrap_or_default()
    }

    /// As a candidate: whether to request votes now, because this voter's promise is to its own process and is to be renewed,
    /// or because the voter has made no promise and its waiting time is over.
    pub fn should_campaign(&self, now: Duration) -> bool {
        let promise = self.current_promise(now);
        let own = promise.is_some_and(|promise| promise.to == self.own);
        let free = promise.is_none() && now >= self.campaign_at;
        self.rank().is_some() && now >= self.abstains_until && (own || free)
    }

    /// As a candidate: starts a vote with this request number. Answers to earlier vote requests no longer count.
    pub fn start_vote(&mut self, now: Duration, number: RequestNumber) {
        self.pending = Some(PendingVote {
            number,
            requested_at: now,
            granted_by: BTreeSet::new(),
        });
    }

    /// As a candidate: handles a voter's grant. With grants of more than half of the voters, this process is leader until their
    /// promises expire.
    pub fn on_vote_granted(&mut self, now: Duration, voter: NameKey, number: RequestNumber) {
        let Some(vote) = &mut self.pending else {
            return;
        };
        if vote.number != number || !self.voters.contains(&voter) {
            return;
        }
        vote.granted_by.insert(voter);
        let until = vote.requested_at + usable(VOTE_PROMISE);
        if 2 * vote.granted_by.len() > self.voters.len() && now < until {
            // After its leadership has expired, another process may have been leader, so a new term begins.
            if now >= self.leader_until {
                self.leader_since = Some(now);
            }
            self.leader_until = self.leader_until.max(until);
        }
    }

    /// As a candidate: abandons a vote that got no majority. Returns its request number, which is to be released, because the
    /// promises block other candidates. The process campaigns again after its stagger time and `wait`.
    pub fn abandon_vote(&mut self, now: Duration, wait: Duration) -> Option<RequestNumber> {
        if self.leader_since(now).is_some() {
            return None;
        }
        let vote = self.pending.take()?;
        self.campaign_at = now + self.stagger() + wait;
        Some(vote.number)
    }

    /// Ends the leadership of this process at once. Returns the request number of the vote to release.
    pub fn step_down(&mut self, now: Duration) -> Option<RequestNumber> {
        self.leader_until = self.leader_until.min(now);
        self.abandon_vote(now, VOTE_PROMISE)
    }
}

#[cfg(test)]
mod tests;
