//! One member of the cluster in its roles as voter, lease issuer (while it is leader) and lease holder.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::lease_client::LeaseClient;
use crate::lease_issuer::{LeaseGrant, LeaseIssuer};
use crate::peer_reports::latest_observations;
use crate::{
    LeaderElection, Message, Observation, ObservationKey, PeerReport, Process, QuotaLease,
    RequestNumber, Verdict,
};

/// Time between two renewals: the leader requests votes again, and each lease holder requests a lease again. The duration
/// of a lease is five times as long, so that several renewals may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// The unleased fraction of each quota, in millionths. Each member of the roster may always use an equal part of it, so that
/// an isolated member still admits some requests.
const UNLEASED_PPM: u32 = 100_000;
/// A complete quota, in millionths.
const TOTAL_PPM: u32 = 1_000_000;
/// Upper bound of the random wait before a candidate without a majority campaigns again, milliseconds.
const MAX_CAMPAIGN_WAIT_MS: u64 = 400;
/// Number of positions from which the first voter to ask for a lease is drawn. Voters are then asked in turn.
const FIRST_VOTER_POSITIONS: usize = 1024;

/// The fraction of a quota, from 0 to 1, that each member may use without a lease in a roster of `roster_size` members.
pub fn unleased_quota(roster_size: usize) -> f64 {
    f64::from(UNLEASED_PPM) / f64::from(TOTAL_PPM) / roster_size.max(1) as f64
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
    /// This process has become leader (`true`) or is leader no more (`false`).
    Leader(bool),
    /// The other members' observations of model servers have been received.
    PeerReports {
        /// Number of members, without this one, that have reported to the leader, even without any observation.
        members: u16,
        /// Summaries of their observations.
        reports: Vec<PeerReport>,
    },
    /// This member was started with another roster than the own process. Neither of the two grants the other a vote or a
    /// lease.
    RosterMismatch(NameKey),
}

/// Digest of a roster: 32-bit FNV-1a over the short names in ascending order.
fn roster_digest(roster: &BTreeSet<NameKey>) -> u32 {
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
    /// This member's observations of model servers, with their times.
    observations: BTreeMap<ObservationKey, Duration>,
    latest_request: RequestNumber,
    /// When [`QuotaMember::wake`] is due.
    wake_at: Duration,
    random: Xoshiro256PlusPlus,
    left: bool,
}

impl QuotaMember {
    /// Creates the state of a process that starts at `now`. `start` is the number of this start; the roster contains the own
    /// name too.
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
            roster_digest: roster_digest(&roster),
            roster,
            mismatched: BTreeSet::new(),
            issuer: LeaseIssuer::new(TOTAL_PPM - UNLEASED_PPM),
            client: LeaseClient::new(own.name, seed as usize % FIRST_VOTER_POSITIONS),
            observations: BTreeMap::new(),
            latest_request: RequestNumber::default(),
            wake_at: now,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            left: false,
        }
    }

    /// When [`QuotaMember::wake`] is due; `None` once this member has left.
    pub fn wake_at(&self) -> Option<Duration> {
        (!self.left).then_some(self.wake_at)
    }

    /// The latest lease of this member; it may have expired.
    pub fn lease(&self) -> QuotaLease {
        self.client.lease()
    }

    /// Replaces this member's observations of model servers, with their times by its own clock.
    pub fn set_observations(&mut self, observations: BTreeMap<ObservationKey, Duration>) {
        self.observations = observations;
    }

    /// The member that this one believes to be leader.
    pub fn leader(&self) -> Option<NameKey> {
        self.client.leader()
    }

    /// Number of processes that may be using a lease granted by this one; `None` where it is not leader.
    pub fn lease_holders(&self, now: Duration) -> Option<usize> {
        self.election.leader_since(now)?;
        self.issuer.holders()
    }

    /// Campaigns, where that is due, and requests a lease, if [`QuotaMember::wake_at`] has come.
    pub fn wake(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.left || now < self.wake_at {
            return;
        }
        self.wake_at = now + RENEWAL_INTERVAL;
        if self.election.should_campaign(now) {
            self.campaign(now, out);
        }
        self.request_lease(now, out);
        self.update_leadership(now, out);
    }

    /// Handles an authenticated message of another process. Bytes that cannot be decoded are ignored.
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

    /// Releases the vote and the lease. This member sends and handles nothing afterwards. To be called once the process no
    /// longer uses any quota.
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

    /// Requests votes, or releases the promises of a vote that got no majority.
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

    /// Requests a lease from the leader or the next voter, and reports the observations of this member.
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
            observations: latest_observations(observations.collect()),
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

    /// Answers a lease request with a lease if this process is still leader by its own clock, else with
    /// [`Message::NotLeader`]. `observations` is `None` where the sender has another roster; it gets no lease.
    fn answer_lease_request(
        &mut self,
        now: Duration,
        to: Process,
        number: RequestNumber,
        observations: Option<&[Observation]>,
        out: &mut Vec<Action>,
    ) -> Message {
        self.update_leadership(now, out);
        let granted =
            observations.and_then(|observations| self.issuer.grant(now, to, number, observations));
        match granted {
            Some(LeaseGrant {
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

    /// Sends a message. A message to this member itself is handled immediately.
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

    /// Whether the sender has the same roster; reports each member with another roster once until it has the same again.
    fn same_roster(&mut self, from: Process, digest: u32, out: &mut Vec<Action>) -> bool {
        let same = digest == self.roster_digest;
        if same {
            self.mismatched.remove(&from.name);
        } else if self.mismatched.insert(from.name) {
            out.push(Action::RosterMismatch(from.name));
        }
        same
    }

    /// Begins or ends the issuing of leases with the leadership, and reports the change.
    fn update_leadership(&mut self, now: Duration, out: &mut Vec<Action>) {
        let leader_since = self.election.leader_since(now);
        if let Some(is_leader) = self.issuer.set_leader_since(leader_since) {
            out.push(Action::Leader(is_leader));
        }
    }

    /// Returns a new request number.
    fn next_request(&mut self) -> RequestNumber {
        self.latest_request.0 += 1;
        self.latest_request
    }
}
