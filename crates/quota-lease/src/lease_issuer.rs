//! The granting side of quota leases: what this process leases and knows of members' observations while it is leader.

use std::time::Duration;

use crate::peer_reports::{PeerReports, ReportsForMember};
use crate::{Observation, Process, QuotaLeases, RequestNumber};

/// One uninterrupted leadership.
struct Term {
    since: Duration,
    leases: QuotaLeases,
}

/// An answer to a lease request.
pub(crate) struct Granted {
    pub leased_ppm: u32,
    pub reports: ReportsForMember,
}

/// What this process accounts for as leader; empty where it is not.
pub(crate) struct LeaseIssuer {
    /// All that may be leased, millionths of the quota.
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

    /// How many processes may be using a lease.
    pub(crate) fn holders(&self) -> Option<usize> {
        self.term.as_ref().map(|term| term.leases.holders())
    }

    /// Begins and ends leasing with each leadership, and returns whether this process leads, where that has changed. What
    /// an earlier leadership leased is forgotten, also where another one has begun since.
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

    /// Answers a lease request; `None` where this process is not leader or grants nothing yet.
    pub(crate) fn grant(
        &mut self,
        now: Duration,
        to: Process,
        number: RequestNumber,
        observations: &[Observation],
    ) -> Option<Granted> {
        let leases = &mut self.term.as_mut()?.leases;
        let leased_ppm = leases.grant(now, to, number)?;
        self.reports.retain(|member| leases.may_hold(member));
        self.reports.replace(now, to, observations);
        Some(Granted {
            leased_ppm,
            reports: self.reports.for_member(now, to),
        })
    }

    /// A member leaves: it uses no lease any more.
    pub(crate) fn on_leave(&mut self, member: Process) {
        if let Some(term) = &mut self.term {
            term.leases.release(member);
            self.reports.remove(member);
        }
    }
}
