//! Charges on their way to the disk: a thread gathers what waits into one commit and tells how far it has come.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bitternlatch_budget::charge::Entry;
use bitternlatch_journal::output_barrier::Charge;
use bitternlatch_journal::Journal;
use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

use crate::driver::Event;

/// Charges that may wait for the disk. Past it a charge goes to the log alone, whole, at the level of errors.
const WAITING: usize = 64 * 1024;
/// Most charges in one commit.
const BATCH: usize = 1024;
/// First and longest pause after a commit that failed; each failure doubles it.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// The queue to the journal.
pub struct Charges {
    queue: Sender<(Charge, Entry)>,
    thread: std::thread::JoinHandle<()>,
    last: Charge,
    written: Arc<AtomicU64>,
}

impl Charges {
    /// Starts the journal's thread, which tells the loop of each commit.
    ///
    /// # Errors
    /// A thread that the system does not give.
    pub fn begin(journal: Arc<Journal>, to: Sender<Event>) -> Result<Charges, String> {
        let (queue, waiting) = bounded(WAITING);
        let written = Arc::new(AtomicU64::new(0));
        let told = Arc::clone(&written);
        let thread = std::thread::Builder::new()
            .name("charges".into())
            .spawn(move || write(&journal, &waiting, &told, &to))
            .map_err(|e| format!("no thread for charges: {e}"))?;
        Ok(Charges {
            queue,
            thread,
            last: Charge(0),
            written,
        })
    }

    /// Queues an entry; `None` where the queue is full and the entry is in the log alone.
    pub fn put(&mut self, entry: Entry) -> Option<Charge> {
        let number = Charge(self.last.0 + 1);
        match self.queue.try_send((number, entry)) {
            Ok(()) => {
                self.last = number;
                Some(number)
            }
            Err(TrySendError::Full((_, entry)) | TrySendError::Disconnected((_, entry))) => {
                tracing::error!(entry = ?entry, "a charge does not reach the journal; this line is all there is of it");
                None
            }
        }
    }

    /// All up to this one are on disk.
    pub fn written(&self) -> Charge {
        Charge(self.written.load(Ordering::Acquire))
    }

    /// Writes what waits and ends.
    pub fn end(self) {
        drop(self.queue);
        let _ = self.thread.join();
    }
}

fn write(
    journal: &Journal,
    waiting: &Receiver<(Charge, Entry)>,
    told: &AtomicU64,
    to: &Sender<Event>,
) {
    while let Ok(first) = waiting.recv() {
        let mut batch = vec![first.1];
        let mut last = first.0;
        while batch.len() < BATCH {
            let Ok((number, entry)) = waiting.try_recv() else {
                break;
            };
            batch.push(entry);
            last = number;
        }
        if !commit(journal, &batch, waiting) {
            return;
        }
        told.store(last.0, Ordering::Release);
        // Wakes the loop. Where its queue is full it is awake, and may be waiting for this thread's end.
        let _ = to.try_send(Event::Written);
    }
}

/// Tries until the batch is written. With nobody left to wait for it the batch goes to the log after a few tries.
fn commit(journal: &Journal, batch: &[Entry], waiting: &Receiver<(Charge, Entry)>) -> bool {
    let mut pause = PAUSE.0;
    let mut tries = 0;
    loop {
        match journal.append(batch) {
            Ok(done) => {
                for (response, number) in done.conflicts {
                    tracing::error!(
                        response,
                        number,
                        "a charge differs from the one that is kept under its number"
                    );
                }
                return true;
            }
            Err(e) => {
                tracing::error!(error = %e, charges = batch.len(), "charges cannot be written; tried again")
            }
        }
        tries += 1;
        // A sender that is gone shows in a queue that is empty and will stay so.
        let ending = tries >= 5
            && waiting.is_empty()
            && waiting
                .recv_timeout(PAUSE.0)
                .is_err_and(|e| e.is_disconnected());
        if ending {
            for entry in batch {
                tracing::error!(
                    ?entry,
                    "a charge does not reach the journal; this line is all there is of it"
                );
            }
            return false;
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(PAUSE.1);
    }
}
