//! Tombstone repair: sends a tombstone to the replicas that have not accepted it yet. Once all replicas hold it, they may forget it
//! soon.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;

use super::proposer::RETRY_INTERVAL;
use super::request::Request;
use super::Replica;
use crate::message::Message;
use crate::proposal::Proposal;
use crate::register::{Ballot, RegisterKey, State, Version};
use crate::Output;

/// Maximum number of concurrent repairs. A tombstone beyond it is not repaired, so replicas retain it for longer if one of them
/// missed it.
const MAX_REPAIRS: usize = 4096;
/// Time after which a repair is abandoned if some replicas have not responded.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a tombstone is sent again to replicas that have not responded.
const REPAIR_INTERVAL: Duration = RETRY_INTERVAL.saturating_mul(8);

/// Repair of one tombstone that some replicas have not accepted.
struct TombstoneRepair {
    /// Ballot under which the tombstone was accepted by a majority.
    ballot: Ballot,
    state: State,
    /// Replicas that have not accepted the tombstone.
    missing: BTreeSet<NameKey>,
    next_send: Duration,
    deadline: Duration,
}

/// Repairs in progress, by register.
#[derive(Default)]
pub(super) struct TombstoneRepairs(BTreeMap<RegisterKey, TombstoneRepair>);

impl TombstoneRepairs {
    /// Time at which the next repair is due.
    pub(super) fn wake_at(&self) -> Option<Duration> {
        self.0.values().map(|repair| repair.next_send).min()
    }

    /// Whether a response with this register and ballot belongs to a repair.
    pub(super) fn is_for(&self, request: Request) -> bool {
        self.0
            .get(&request.key)
            .is_some_and(|repair| repair.ballot == request.ballot)
    }

    pub(super) fn remove(&mut self, key: RegisterKey) {
        self.0.remove(&key);
    }

    /// Removes the repair of a register if all replicas have accepted the tombstone, and returns the tombstone's version.
    fn take_complete(&mut self, key: RegisterKey) -> Option<Version> {
        let is_complete = self.0.get(&key)?.missing.is_empty();
        let repair = is_complete.then(|| self.0.remove(&key)).flatten()?;
        Some(repair.state.version)
    }

    fn due(&self, now: Duration) -> Vec<RegisterKey> {
        self.0
            .iter()
            .filter(|(_, repair)| repair.next_send <= now)
            .map(|(key, _)| *key)
            .collect()
    }
}

impl Replica {
    /// Begins a repair if a proposal wrote a tombstone. In any case ends the register's previous repair, which the write obsoletes.
    pub(super) fn start_tombstone_repair(
        &mut self,
        now: Duration,
        proposal: &Proposal,
        out: &mut Vec<Output>,
    ) {
        let key = proposal.key;
        self.repairs.remove(key);
        let Some((ballot, state)) = proposal.accepted_tombstone() else {
            return;
        };
        if self.repairs.0.len() >= MAX_REPAIRS {
            return;
        }
        let accepted: BTreeSet<NameKey> = proposal.responders().copied().collect();
        let replicas: BTreeSet<NameKey> = proposal.replicas.iter().copied().collect();
        let repair = TombstoneRepair {
            ballot,
            state,
            missing: &replicas - &accepted,
            next_send: now + RETRY_INTERVAL,
            deadline: now + REPAIR_TIMEOUT,
        };
        self.repairs.0.insert(key, repair);
        self.finish_tombstone_repair(key, out);
    }

    pub(super) fn on_tombstone_accepted(
        &mut self,
        key: RegisterKey,
        from: NameKey,
        out: &mut Vec<Output>,
    ) {
        if let Some(repair) = self.repairs.0.get_mut(&key) {
            repair.missing.remove(&from);
        }
        self.finish_tombstone_repair(key, out);
    }

    /// If all replicas hold the tombstone, notifies them that they may forget it soon.
    fn finish_tombstone_repair(&mut self, key: RegisterKey, out: &mut Vec<Output>) {
        let Some(version) = self.repairs.take_complete(key) else {
            return;
        };
        for name in self.replicas(key) {
            self.send(name, Message::Forget { key, version }, out);
        }
    }

    pub(super) fn run_due_tombstone_repairs(&mut self, now: Duration, out: &mut Vec<Output>) {
        for key in self.repairs.due(now) {
            self.run_tombstone_repair(now, key, out);
        }
    }

    fn run_tombstone_repair(&mut self, now: Duration, key: RegisterKey, out: &mut Vec<Output>) {
        let Some(repair) = self.repairs.0.get_mut(&key) else {
            return;
        };
        if repair.deadline <= now {
            self.repairs.remove(key);
            return;
        }
        repair.next_send = now + REPAIR_INTERVAL;
        let message = Message::Accept {
            key,
            ballot: repair.ballot,
            state: repair.state.clone(),
        };
        for name in repair.missing.clone() {
            self.send(name, message.clone(), out);
        }
    }
}
