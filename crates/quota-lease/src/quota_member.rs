//! One member of the cluster: voter, leader where it is one, and holder of a quota lease.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::lease_client::LeaseClient;
use crate::lease_issuer::{Granted, LeaseIssuer};
use crate::peer_reports::latest;
use crate::{
    LeaderElection, Message, Observation, ObservationKey, PeerReport, Process, QuotaLease,
    RequestNumber, Verdict,
};

/// Time between two steps: a leader asks its voters anew, a lease holder its leader. A lease is renewed five times before
/// it expires.
const TICK: Duration = Duration::from_millis(300);
/// Millionths of the quota that are never leased: each member of the roster uses an even part of them in any case, so that
/// one that is cut off still admits something.
const UNLEASED_PPM: u32 = 100_000;
/// The complete quota, millionths.
const TOTAL_PPM: u32 = 1_000_000;
/// Longest random wait before a candidate without a majority campaigns again, milliseconds.
const MAX_CAMPAIGN_WAIT_MS: u64 = 400;
/// Voters are asked in turn from a random one of so many positions.
const FIRST_VOTERS: usize = 1024;

/// The fraction of a quota that each member of a roster of so many may use without a lease.
pub fn unleased_quota(roster: usize) -> f64 {
    f64::from(UNLEASED_PPM) / f64::from(TOTAL_PPM) / roster.max(1) as f64
}

/// An output of [`QuotaMember`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends an encoded [`Message`] to a member.
    Send {
        /// The receiver.
        to: NameKey,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// Whether this process is leader has changed.
    Leader(bool),
    /// What other members have observed of servers.
    PeerReports {
        /// Members that the leader knows observations of, this one not among them.
        members: u16,
        /// Their observations.
        reports: Vec<PeerReport>,
    },
    /// That member was started with another roster. Neither counts on the other, and both use the unleased quota alone.
    RosterMismatch(NameKey),
}

/// 32-bit FNV-1a over the short names in order.
fn digest(roster: &BTreeSet<NameKey>) -> u32 {
    roster.iter().fold(0x811C_9DC5, |sum, name| {
        (sum ^ name.0).wrapping_mul(0x0100_0193)
    })
}

/// One member's state in leader election and quota leases.
pub struct QuotaMember {
    own: Process,
    roster: BTreeSet<NameKey>,
    roster_digest: u32,
    /// Members that were started with another roster.
    mismatched: BTreeSet<NameKey>,
    election: LeaderElection,
    issuer: LeaseIssuer,
    client: LeaseClient,
    /// What this member observes of servers, and since when.
    observations: BTreeMap<ObservationKey, Duration>,
    latest_request: RequestNumber,
    tick_at: Duration,
    random: Xoshiro256PlusPlus,
    left: bool,
}

impl QuotaMember {
    /// `start` distinguishes this process from others under its name; the roster holds its own name too.
    pub fn new(
        own: NameKey,
        start: u64,
        roster: BTreeSet<NameKey>,
        seed: u64,
        now: Duration,
    ) -> QuotaMember {
        let own = Process { name: own, start };
        QuotaMember {
            own,
            election: LeaderElection::new(own, &roster, now),
            roster_digest: digest(&roster),
            roster,
            mismatched: BTreeSet::new(),
            issuer: LeaseIssuer::new(TOTAL_PPM - UNLEASED_PPM),
            client: LeaseClient::new(own.name, seed as usize % FIRST_VOTERS),
            observations: BTreeMap::new(),
            latest_request: RequestNumber::default(),
            tick_at: now,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            left: false,
        }
    }

    /// When [`QuotaMember::wake`] is due; `None` once this member has left.
    pub fn wake_at(&self) -> Option<Duration> {
        (!self.left).then_some(self.tick_at)
    }

    /// The lease that this member got last; it may have expired.
    pub fn lease(&self) -> QuotaLease {
        self.client.lease()
    }

    /// Replaces all that this member observes of servers, and since when, by its clock.
    pub fn set_observations(&mut self, observations: BTreeMap<ObservationKey, Duration>) {
        self.observations = observations;
    }

    /// The member that this one takes to be the leader.
    pub fn leader(&self) -> Option<NameKey> {
        self.client.leader()
    }

    /// How many processes may be using a lease that this one has granted; `None` where it is not leader.
    pub fn lease_holders(&self, now: Duration) -> Option<usize> {
        self.election.leader_since(now)?;
        self.issuer.holders()
    }

    /// Campaigns and renews the lease, where that is due.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.left || now < self.tick_at {
            return;
        }
        self.tick_at = now + TICK;
        if self.election.should_campaign(now) {
            self.campaign(now, out);
        }
        self.request_lease(now, out);
        self.update_leadership(now, out);
    }

    /// Takes an authenticated message of another process; bytes that are no message are ignored.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: Process,
        payload: &[u8],
        out: &mut Vec<Action>,
    ) {
        let Ok(message) = Message::decode(payload) else {
            return;
        };
        if !self.left && self.roster.contains(&from.name) {
            self.dispatch(now, from, message, out);
            self.update_leadership(now, out);
        }
    }

    /// Releases the vote and the lease; nothing is sent or taken afterwards. Only for a process that no longer uses any
    /// quota.
    pub fn leave(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.left {
            return;
        }
        if let Some(number) = self.election.step_down(now) {
            self.send_to_voters(now, &Message::VoteReleased { number }, out);
        }
        self.client.release();
        let leader = self.client.leader();
        if let Some(to) = leader.filter(|leader| *leader != self.own.name) {
            let payload = Message::Leave.encode();
            out.push(Action::Send { to, payload });
        }
        self.update_leadership(now, out);
        self.left = true;
    }

    /// Requests votes, or releases those of a vote that brought no majority.
    fn campaign(&mut self, now: Duration, out: &mut Vec<Action>) {
        let wait_ms = self.random.next_u64() % MAX_CAMPAIGN_WAIT_MS;
        let wait = Duration::from_millis(wait_ms);
        let message = match self.election.abandon_vote(now, wait) {
            Some(number) => Message::VoteReleased { number },
            None => {
                let number = self.next_request();
                self.election.start_vote(now, number);
                Message::VoteRequest {
                    number,
                    roster: self.roster_digest,
                }
            }
        };
        self.send_to_voters(now, &message, out);
    }

    fn request_lease(&mut self, now: Duration, out: &mut Vec<Action>) {
        let is_leader = self.election.leader_since(now).is_some();
        let voters = self.election.voters();
        let Some(to) = self.client.next_receiver(is_leader, voters) else {
            return;
        };
        let number = self.next_request();
        self.client.on_request_sent(now, number);
        let observations = self.observations.iter().map(|(key, since)| Observation {
            server: key.server,
            condition: key.condition,
            age: now.saturating_sub(*since),
        });
        let request = Message::LeaseRequest {
            number,
            roster: self.roster_digest,
            observations: latest(observations.collect()),
        };
        self.send(now, to, request, out);
    }

    fn dispatch(&mut self, now: Duration, from: Process, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::VoteRequest { number, roster } => {
                let answer = self.answer_vote_request(now, from, number, roster, out);
                self.send(now, from.name, answer, out);
            }
            Message::VoteGranted { number } => {
                self.election.on_vote_granted(now, from.name, number);
            }
            Message::VoteReleased { number } => self.election.on_vote_released(now, from, number),
            Message::LeaseRequest {
                number,
                roster,
                observations,
            } => {
                let accepted = self.same_roster(from, roster, out);
                let observations = accepted.then_some(observations.as_slice());
                let answer = self.answer_lease_request(now, from, number, observations, out);
                self.send(now, from.name, answer, out);
            }
            Message::LeaseGranted {
                number,
                leased_ppm,
                members,
                reports,
            } => {
                let leased_ppm = leased_ppm.min(TOTAL_PPM - UNLEASED_PPM);
                let leased = f64::from(leased_ppm) / f64::from(TOTAL_PPM);
                if self.client.on_lease_granted(number, leased) {
                    out.push(Action::PeerReports { members, reports });
                }
            }
            Message::VoteDenied { leader, .. } | Message::NotLeader { leader, .. } => {
                if let Some(leader) = leader.filter(|leader| self.roster.contains(leader)) {
                    self.client.on_leader_named(leader);
                }
            }
            Message::Leave => self.issuer.on_leave(from),
        }
    }

    fn answer_vote_request(
        &mut self,
        now: Duration,
        from: Process,
        number: RequestNumber,
        roster: u32,
        out: &mut Vec<Action>,
    ) -> Message {
        let verdict = match self.same_roster(from, roster, out) {
            true => self.election.on_vote_request(now, from, number),
            false => Verdict::Denied(None),
        };
        match verdict {
            Verdict::Granted => Message::VoteGranted { number },
            Verdict::Denied(leader) => Message::VoteDenied { number, leader },
        }
    }

    /// As leader, which is checked now by this process's own clock. `observations` is `None` where the rosters differ.
    fn answer_lease_request(
        &mut self,
        now: Duration,
        to: Process,
        number: RequestNumber,
        observations: Option<&[Observation]>,
        out: &mut Vec<Action>,
    ) -> Message {
        self.update_leadership(now, out);
        let granted = observations.and_then(|seen| self.issuer.grant(now, to, number, seen));
        match granted {
            Some(Granted {
                leased_ppm,
                reports,
            }) => Message::LeaseGranted {
                number,
                leased_ppm,
                members: reports.members,
                reports: reports.reports,
            },
            None => Message::NotLeader {
                number,
                leader: self.election.promised_to(now),
            },
        }
    }

    /// A message to this member itself is handled at once.
    fn send(&mut self, now: Duration, to: NameKey, message: Message, out: &mut Vec<Action>) {
        match to == self.own.name {
            true => self.dispatch(now, self.own, message, out),
            false => out.push(Action::Send {
                to,
                payload: message.encode(),
            }),
        }
    }

    fn send_to_voters(&mut self, now: Duration, message: &Message, out: &mut Vec<Action>) {
        for voter in self.election.voters().to_vec() {
            self.send(now, voter, message.clone(), out);
        }
    }

    fn same_roster(&mut self, from: Process, digest: u32, out: &mut Vec<Action>) -> bool {
        let same = digest == self.roster_digest;
        if same {
            self.mismatched.remove(&from.name);
        } else if self.mismatched.insert(from.name) {
            out.push(Action::RosterMismatch(from.name));
        }
        same
    }

    fn update_leadership(&mut self, now: Duration, out: &mut Vec<Action>) {
        let leader_since = self.election.leader_since(now);
        if let Some(is_leader) = self.issuer.set_leader_since(leader_since) {
            out.push(Action::Leader(is_leader));
        }
    }

    fn next_request(&mut self) -> RequestNumber {
        self.latest_request.0 += 1;
        self.latest_request
    }
}
