//! Restoring a replica's state from disk at the start.

use std::time::Duration;

use bitternlatch_quota_lease::{StorageError, StoredEntries};

use super::Replica;
use crate::disk_records::{self, StoredState};
use crate::recovery::{Completeness, RecoveryState};
use crate::{Event, Output};

impl Replica {
    /// Handles the records that were on disk at the start, or the error of reading them.
    pub(super) fn on_loaded(
        &mut self,
        now: Duration,
        found: Result<StoredEntries, StorageError>,
        out: &mut Vec<Output>,
    ) {
        if self.recovery.is_some() {
            return;
        }
        self.opened_at = now;
        let stale = match found {
            Err(fault) => {
                self.persistence.set_fault(fault.clone());
                out.push(Output::Event(Event::DiskFault(fault)));
                self.begin_incarnation(Completeness::Lost);
                vec![]
            }
            Ok(found) => self.restore(now, found, out),
        };
        for name in stale {
            self.remove_record(name, out);
        }
        self.store_metadata(vec![], out);
    }

    /// Begins the incarnation that is numbered by this process's start number.
    fn begin_incarnation(&mut self, completeness: Completeness) {
        let (own, start) = (self.own.name, self.own.start);
        self.recovery = Some(RecoveryState::new(own, &self.roster, completeness, start));
    }

    /// Restores the state from the records on disk. Returns the names of corrupt or stale records, which are to be removed.
    fn restore(
        &mut self,
        now: Duration,
        found: StoredEntries,
        out: &mut Vec<Output>,
    ) -> Vec<Vec<u8>> {
        let names: Vec<Vec<u8>> = found.iter().map(|(name, _)| name.clone()).collect();
        match disk_records::open(found) {
            StoredState::Empty => {
                self.begin_incarnation(Completeness::Fresh);
                vec![]
            }
            StoredState::Corrupt => {
                out.push(Output::Event(Event::DiskCorrupt));
                self.begin_incarnation(Completeness::Lost);
                names
            }
            StoredState::Intact {
                metadata,
                registers,
                stale,
            } => {
                for (key, acceptor) in registers {
                    // The registers were within the capacity limits when they were written, so an error is not expected here.
                    let bytes = acceptor.value_bytes();
                    let _ = self.store.update(now, key, bytes, |held| *held = acceptor);
                }
                self.persistence.set_durable_changes(metadata.count);
                let recovery = RecoveryState::new(
                    self.own.name,
                    &self.roster,
                    metadata.completeness,
                    metadata.incarnation,
                );
                self.recovery = Some(recovery.with_restored(metadata.count, metadata.incarnations));
                stale
            }
        }
    }
}
