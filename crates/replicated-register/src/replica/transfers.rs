//! Transfers of state in progress, by source.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::message::StateChunk;
use crate::recovery::Completeness;
use crate::register::RegisterKey;

/// The transfer of all that another replica holds.
pub(super) struct StateTransfer {
    pub(super) number: u64,
    /// Start number of the process that it comes from.
    pub(super) source_start: Option<u64>,
    /// The last key that has arrived.
    pub(super) after: Option<RegisterKey>,
    pub(super) next_request: Duration,
    /// All chunks have arrived.
    pub(super) ended: bool,
    /// Registers that are not on disk yet.
    pub(super) unsynced: usize,
    /// Some register could not be stored.
    pub(super) failed: bool,
    /// The least that the source said of its own completeness.
    pub(super) completeness: Completeness,
    pub(super) missing: BTreeSet<NameKey>,
}

impl StateTransfer {
    fn new(number: u64, next_request: Duration) -> StateTransfer {
        StateTransfer {
            number,
            source_start: None,
            after: None,
            next_request,
            ended: false,
            unsynced: 0,
            failed: false,
            completeness: Completeness::Complete,
            missing: BTreeSet::new(),
        }
    }

    /// Takes the head of a chunk.
    pub(super) fn advance(&mut self, now: Duration, chunk: &StateChunk) {
        self.completeness = self.completeness.max(chunk.completeness);
        self.missing.extend(&chunk.missing);
        self.next_request = now;
        match chunk.up_to {
            Some(up_to) => self.after = Some(up_to),
            None => self.ended = true,
        }
    }
}

/// Transfers in progress, by source.
#[derive(Default)]
pub(super) struct Transfers {
    pub(super) active: BTreeMap<NameKey, StateTransfer>,
    last_number: u64,
    /// Registers that transfers have changed.
    pub(super) changed_registers: u64,
}

impl Transfers {
    /// When the next request is due.
    pub(super) fn wake_at(&self) -> Option<Duration> {
        self.active
            .values()
            .map(|transfer| transfer.next_request)
            .min()
    }

    /// Begins a transfer from each source that has none.
    pub(super) fn begin(&mut self, sources: Vec<NameKey>, first_request: Duration) {
        for name in sources {
            if !self.active.contains_key(&name) {
                self.last_number += 1;
                let transfer = StateTransfer::new(self.last_number, first_request);
                self.active.insert(name, transfer);
            }
        }
    }

    /// Removes a transfer of which everything has arrived and is on disk.
    pub(super) fn take_finished(&mut self, name: NameKey) -> Option<StateTransfer> {
        let transfer = self.active.get(&name)?;
        let is_finished = transfer.ended && transfer.unsynced == 0;
        is_finished.then(|| self.active.remove(&name)).flatten()
    }

    pub(super) fn fail(&mut self, name: NameKey) {
        if let Some(transfer) = self.active.get_mut(&name) {
            transfer.failed = true;
        }
    }
}
