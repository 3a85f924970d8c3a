//! Writes charges to the journal: a thread commits the queued charges in batches and publishes the number of the last
//! durable one.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bitternlatch_budget::charge::Entry;
use bitternlatch_journal::output_barrier::Charge;
use bitternlatch_journal::Journal;
use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

use crate::driver::Event;

/// Capacity of the queue to the journal thread. When it is full, a charge is only logged, as an error with all its fields.
const MAX_QUEUED_CHARGES: usize = 64 * 1024;
/// Maximum number of charges in one commit.
const MAX_BATCH: usize = 1024;
/// Backoff after a failed commit: the first delay and the maximum. Each failure doubles the delay.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// The queue of charges to the journal thread.
pub struct ChargeQueue {
    queue: Sender<(Charge, Entry)>,
    thread: std::thread::JoinHandle<()>,
    /// Number of the last queued charge.
    last: Charge,
    /// Number of the last durable charge.
    written: Arc<AtomicU64>,
}

impl ChargeQueue {
    /// Starts the journal thread, which sends the loop an event after each commit.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(journal: Arc<Journal>, events: Sender<Event>) -> Result<ChargeQueue, String> {
        let (queue, queued) = bounded(MAX_QUEUED_CHARGES);
        let written = Arc::new(AtomicU64::new(0));
        let durable = Arc::clone(&written);
        let thread = std::thread::Builder::new()
            .name("charges".into())
            .spawn(move || write(&journal, &queued, &durable, &events))
            .map_err(|e| format!("cannot start the journal thread for charges: {e}"))?;
        Ok(ChargeQueue {
            queue,
            thread,
            last: Charge(0),
            written,
        })
    }

    /// Queues an entry and returns its number; `None` if the queue is full and the entry was only logged.
    pub fn push(&mut self, entry: Entry) -> Option<Charge> {
        let number = Charge(self.last.0 + 1);
        match self.queue.try_send((number, entry)) {
            Ok(()) => {
                self.last = number;
                Some(number)
            }
            Err(TrySendError::Full((_, entry)) | TrySendError::Disconnected((_, entry))) => {
                tracing::error!(entry = ?entry, "a charge was not written to the journal; this log line is its only record");
                None
            }
        }
    }

    /// Number of the last durable charge; all charges before it are durable too.
    pub fn written(&self) -> Charge {
        Charge(self.written.load(Ordering::Acquire))
    }

    /// Writes the queued charges and waits for the journal thread to end.
    pub fn finish(self) {
        drop(self.queue);
        let _ = self.thread.join();
    }
}

/// Commits queued charges in batches until the queue is closed and empty.
fn write(
    journal: &Journal,
    queued: &Receiver<(Charge, Entry)>,
    durable: &AtomicU64,
    events: &Sender<Event>,
) {
    while let Ok(first) = queued.recv() {
        let mut batch = vec![first.1];
        let mut last = first.0;
        while batch.len() < MAX_BATCH {
            let Ok((number, entry)) = queued.try_recv() else {
                break;
            };
            batch.push(entry);
            last = number;
        }
        if !commit(journal, &batch, queued) {
            return;
        }
        durable.store(last.0, Ordering::Release);
        // Wakes the loop. If its event queue is full, the loop needs no wake-up; blocking here would deadlock with a loop
        // that waits for this thread to end.
        let _ = events.try_send(Event::ChargesDurable);
    }
}

/// Commits a batch, retrying until it succeeds. If the queue has been closed and is empty, the process is shutting down:
/// after 5 failures the batch is logged instead and the function returns false.
fn commit(journal: &Journal, batch: &[Entry], queued: &Receiver<(Charge, Entry)>) -> bool {
    let mut delay = RETRY_DELAY.0;
    let mut failures = 0;
    loop {
        match journal.append(batch) {
            Ok(committed) => {
                for (response, number) in committed.conflicts {
                    tracing::error!(
                        response,
                        number,
                        "a charge differs from the journal entry stored under the same number; the stored entry stays"
                    );
                }
                return true;
            }
            Err(e) => {
                tracing::error!(error = %e, charges = batch.len(), "cannot write charges to the journal; the write is retried")
            }
        }
        failures += 1;
        // The receiver reports a closed queue only once the queue is empty.
        let ending = failures >= 5
            && queued.is_empty()
            && queued
                .recv_timeout(RETRY_DELAY.0)
                .is_err_and(|e| e.is_disconnected());
        if ending {
            for entry in batch {
                tracing::error!(
                    ?entry,
                    "a charge was not written to the journal; this log line is its only record"
                );
            }
            return false;
        }
        std::thread::sleep(delay);
        delay = (delay * 2).min(RETRY_DELAY.1);
    }
}
