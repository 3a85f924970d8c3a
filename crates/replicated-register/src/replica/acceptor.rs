//! Acceptor side of a replica: handles requests to read, prepare and accept. Each is answered once the state that the answer
//! depends on is durable.

use std::time::Duration;

use bitternlatch_membership::NameKey;

use super::persistence::Reply;
use super::request::Request;
use super::{Replica, CATCH_UP_GRACE};
use crate::message::{Message, Provenance, RejectReason};
use crate::register::{Ballot, RegisterKey, State};
use crate::store::CapacityError;
use crate::{Event, Output};

/// Result of a request on a register: whether it changed the register, or the higher ballot that was promised before.
type Outcome = Result<Result<bool, Ballot>, CapacityError>;

impl Replica {
    /// Whether this replica may serve a register, or the reason for a rejection; `None` if this member holds no replica of it.
    fn check_ready(
        &mut self,
        now: Duration,
        key: RegisterKey,
        out: &mut Vec<Output>,
    ) -> Option<Result<(), RejectReason>> {
        let replicas = self.replicas(key);
        if !replicas.contains(&self.own.name) {
            return None;
        }
        let Some(recovery) = &self.recovery else {
            return Some(Err(RejectReason::CatchingUp));
        };
        if recovery.counts_toward_majority(&replicas, now >= self.opened_at + CATCH_UP_GRACE) {
            return Some(Ok(()));
        }
        if !recovery.is_lost(&replicas) {
            return Some(Err(RejectReason::CatchingUp));
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            out.push(Output::Event(Event::MajorityLost));
        }
        Some(Err(RejectReason::Lost))
    }

    /// Returns whether a request may be served. Rejects it otherwise, or ignores it if this member holds no replica of the
    /// register.
    fn admit(
        &mut self,
        now: Duration,
        from: NameKey,
        request: Request,
        out: &mut Vec<Output>,
    ) -> bool {
        match self.check_ready(now, request.key, out) {
            None => false,
            Some(Ok(())) => true,
            Some(Err(reason)) => {
                self.reject(from, request, reason, out);
                false
            }
        }
    }

    pub(super) fn on_read(
        &mut self,
        now: Duration,
        from: NameKey,
        request: Request,
        out: &mut Vec<Output>,
    ) {
        if self.admit(now, from, request, out) {
            let message = self.promise(request);
            self.reply_when_durable(request.key, Reply { to: from, message }, false, out);
        }
    }

    pub(super) fn on_prepare(
        &mut self,
        now: Duration,
        from: NameKey,
        request: Request,
        out: &mut Vec<Output>,
    ) {
        if !self.admit(now, from, request, out) {
            return;
        }
        let outcome = self.store.prepare(now, request.key, request.ballot);
        if let Some(changed) = self.reject_unless_successful(from, request, outcome, out) {
            let message = self.promise(request);
            self.reply_when_durable(request.key, Reply { to: from, message }, changed, out);
        }
    }

    pub(super) fn on_accept(
        &mut self,
        now: Duration,
        from: NameKey,
        request: Request,
        state: &State,
        out: &mut Vec<Output>,
    ) {
        if !self.admit(now, from, request, out) {
            return;
        }
        let outcome = self.store.accept(now, request.key, request.ballot, state);
        if let Some(changed) = self.reject_unless_successful(from, request, outcome, out) {
            let message = Message::Accepted {
                key: request.key,
                ballot: request.ballot,
                provenance: self.provenance(request.key),
            };
            self.reply_when_durable(request.key, Reply { to: from, message }, changed, out);
        }
    }

    /// Returns whether a successful request changed the register. Rejects an unsuccessful one and returns `None`.
    fn reject_unless_successful(
        &mut self,
        from: NameKey,
        request: Request,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> Option<bool> {
        match outcome {
            Ok(Ok(changed)) => Some(changed),
            Ok(Err(promised)) => {
                self.reject(from, request, RejectReason::HigherBallot(promised), out);
                None
            }
            Err(CapacityError) => {
                self.counters.rejected += 1;
                self.reject(from, request, RejectReason::Full, out);
                None
            }
        }
    }

    fn reject(
        &mut self,
        to: NameKey,
        request: Request,
        reason: RejectReason,
        out: &mut Vec<Output>,
    ) {
        let message = Message::Rejected {
            key: request.key,
            ballot: request.ballot,
            reason,
        };
        self.send(to, message, out);
    }

    /// Builds the answer to a read or prepare request.
    fn promise(&self, request: Request) -> Message {
        let acceptor = self.store.get(request.key);
        Message::Promise {
            key: request.key,
            ballot: request.ballot,
            provenance: self.provenance(request.key),
            accepted: acceptor.and_then(|acceptor| acceptor.accepted.clone()),
        }
    }

    /// The replica state on which an answer about a register is based.
    fn provenance(&self, key: RegisterKey) -> Provenance {
        let recovery = self.recovery.as_ref();
        let incarnation_of = |name| recovery.map_or(0, |known| known.incarnation_of(name));
        let others = self
            .replicas(key)
            .into_iter()
            .filter(|name| *name != self.own.name);
        Provenance {
            incarnation: recovery.map_or(0, |known| known.incarnation),
            count: self.persistence.durable_changes(),
            incarnations: others.map(|name| (name, incarnation_of(name))).collect(),
        }
    }
}
