//! State transfers in progress from other replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlatch_membership::NameKey;

use crate::message::StateChunk;
use crate::recovery::Completeness;
use crate::register::RegisterKey;

/// A state transfer of all registers that another replica shares with this one.
pub(super) struct StateTransfer {
    /// Number of the transfer, unique within this process.
    pub(super) number: u64,
    /// Start number of the source's process; `None` until the first chunk has arrived.
    pub(super) source_start: Option<u64>,
    /// Last key up to which chunks have arrived; `None` if none has arrived.
    pub(super) after: Option<RegisterKey>,
    /// Time at which the next chunk is requested.
    pub(super) next_request: Duration,
    /// Whether all chunks have arrived.
    pub(super) ended: bool,
    /// Number of transferred registers whose writes to disk are in progress.
    pub(super) unsynced: usize,
    /// Whether some register could not be stored.
    pub(super) failed: bool,
    /// Worst completeness that the source reported of itself in any chunk.
    pub(super) completeness: Completeness,
    /// Members that the source reported in any chunk as not caught up with.
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

    /// Advances the transfer by a chunk that has arrived; the registers in the chunk are handled by the caller.
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

/// All state transfers in progress.
#[derive(Default)]
pub(super) struct Transfers {
    /// Transfers in progress, by source.
    pub(super) active: BTreeMap<NameKey, StateTransfer>,
    last_number: u64,
    /// Number of changes to registers by state transfers.
    pub(super) changed_registers: u64,
}

impl Transfers {
    /// Time at which the next request for a chunk is due.
    pub(super) fn wake_at(&self) -> Option<Duration> {
        self.active
            .values()
            .map(|transfer| transfer.next_request)
            .min()
    }

    /// Begins a transfer from each source without one in progress. The first chunk is requested at `first_request`.
    pub(super) fn begin(&mut self, sources: Vec<NameKey>, first_request: Duration) {
        for name in sources {
            if !self.active.contains_key(&name) {
                self.last_number += 1;
                let transfer = StateTransfer::new(self.last_number, first_request);
                self.active.insert(name, transfer);
            }
        }
    }

    /// Removes and returns the transfer from a source if all its chunks have arrived and no write to disk is in progress.
    pub(super) fn take_finished(&mut self, name: NameKey) -> Option<StateTransfer> {
        let transfer = self.active.get(&name)?;
        let is_finished = transfer.ended && transfer.unsynced == 0;
        is_finished.then(|| self.active.remove(&name)).flatten()
    }

    /// Marks the transfer from a source as failed, because a register could not be stored.
    pub(super) fn fail(&mut self, name: NameKey) {
        if let Some(transfer) = self.active.get_mut(&name) {
            transfer.failed = true;
        }
    }
}
