//! The granting side of quota leases: the leases and the members' observations that a process stores while it is leader.

use std::time::Duration;

use crate::peer_reports::{PeerReports, ReportsForMember};
use crate::{Observation, Process, QuotaLeases, RequestNumber};

/// One uninterrupted term as leader.
struct Term {
    /// Time since when this process has been leader.
    since: Duration,
    leases: QuotaLeases,
}

/// The answer to a lease request that was granted.
pub(crate) struct LeaseGrant {
    /// The leased fraction of each quota, in millionths.
    pub leased_ppm: u32,
    /// Observations of the other members.
    pub reports: ReportsForMember,
}

/// The leases that this process has granted as leader; empty while it is not leader.
pub(crate) struct LeaseIssuer {
    /// Total fraction of each quota that may be leased, in millionths.
    total_ppm: u32,
    term: Option<Term>,
    reports: PeerReports,
}

impl LeaseIssuer {
    pub(crate) fn new(total_ppm: u32) -> LeaseIssuer {
        LeaseIssuer {
            total_ppm,
            term: None,
            reports: PeerReports::default(),
        }
    }

    /// Number of processes that may be using a lease; `None` while this process is not leader.
    pub(crate) fn holders(&self) -> Option<usize> {
        self.term.as_ref().map(|term| term.leases.holders())
    }

    /// Begins or ends a term. Returns whether this process is leader, where that has changed.
    ///
    /// The leases and observations of an earlier term are dropped, also where a new term of this process follows at once.
    pub(crate) fn set_leader_since(&mut self, leader_since: Option<Duration>) -> Option<bool> {
        let term_since = self.term.as_ref().map(|term| term.since);
        if term_since == leader_since {
            return None;
        }
        let total_ppm = self.total_ppm;
        self.term = leader_since.map(|since| Term {
            since,
            leases: QuotaLeases::new(total_ppm, since),
        });
        self.reports = PeerReports::default();
        let changed = term_since.is_some() != leader_since.is_some();
        changed.then_some(leader_since.is_some())
    }

    /// Answers a lease request. Returns `None` where this process is not leader or may not grant anything yet.
    pub(crate) fn grant(
        &mut self,
        now: Duration,
        to: Process,
        number: RequestNumber,
        observations: &[Observation],
    ) -> Option<LeaseGrant> {
        let leases = &mut self.term.as_mut()?.leases;
        let leased_ppm = leases.grant(now, to, number)?;
        self.reports.retain(|member| leases.may_hold(member));
        self.reports.replace(now, to, observations);
        Some(LeaseGrant {
            leased_ppm,
            reports: self.reports.for_member(now, to),
        })
    }

    /// Removes the leases and observations of a member that has left.
    pub(crate) fn on_leave(&mut self, member: Process) {
        if let Some(term) = &mut self.term {
            term.leases.release(member);
            self.reports.remove(member);
        }
    }
}
