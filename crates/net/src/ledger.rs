//! The link to the ledger: questions for parts go out and their answers come in, charges are shipped until they are known to be there.
//!
//! Nothing waits for the ledger: without it questions are lost, and asked again; charges stay in the journal.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bitternlatch_budget::ledger::{QuotaRequest, QuotaResponse, MAX_ENTRIES};
use bitternlatch_core::Input;
use bitternlatch_journal::Journal;
use crossbeam_channel::{bounded, Receiver, Sender};

use crate::dial::dial;
use crate::driver::Event;
use crate::lock;
use crate::socket::{Heard, Limits, Outbox, Reader};

/// Longest time to connect and upgrade, and pauses between two tries: first, and longest.
const CONNECT: Duration = Duration::from_secs(1);
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Time between two looks at what is to be shipped, and the longest wait for the answer.
const SHIP_EVERY: Duration = Duration::from_millis(200);
const SHIP_WITHIN: Duration = Duration::from_secs(5);
/// Longest message, bytes.
const MESSAGE_BYTES: usize = 4 << 20;

/// The sending side; empty while there is no connection.
type Line = Arc<Mutex<Option<Outbox>>>;

/// The link of one dispatcher.
pub struct LedgerLink {
    line: Line,
}

fn send(line: &Line, message: &QuotaRequest) -> bool {
    let line = lock(line);
    let text = serde_json::to_string(message).unwrap_or_default();
    line.as_ref()
        .is_some_and(|outbox| outbox.text(text).is_ok())
}

impl LedgerLink {
    /// Keeps a connection from a thread of its own, and ships the journal's charges from another.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn start(
        address: String,
        journal: Option<Arc<Journal>>,
        to: Sender<Event>,
    ) -> std::io::Result<LedgerLink> {
        let line = Line::default();
        let (shipped, acks) = bounded(16);
        let kept = Arc::clone(&line);
        let thread = |name: &str| std::thread::Builder::new().name(name.into());
        thread("ledger").spawn(move || keep(&address, &kept, &shipped, &to))?;
        if let Some(journal) = journal {
            let line = Arc::clone(&line);
            thread("ship").spawn(move || ship(&journal, &line, &acks))?;
        }
        Ok(LedgerLink { line })
    }

    /// Sends a question; lost where there is no connection.
    pub fn ask(&self, message: &QuotaRequest) {
        if !send(&self.line, message) {
            tracing::debug!("the ledger is away: a question for parts is lost");
        }
    }
}

fn keep(address: &str, line: &Line, shipped: &Sender<u64>, to: &Sender<Event>) {
    let put = |outbox| *lock(line) = outbox;
    let mut pause = PAUSE.0;
    loop {
        let limits = Limits {
            message_bytes: MESSAGE_BYTES,
            queue: 64,
            ping: Duration::from_secs(2),
            idle: None,
        };
        match dial(address, "/v1/ledger", CONNECT, limits, None) {
            Ok((mut reader, outbox)) => {
                tracing::info!(address, "the ledger is there");
                put(Some(outbox));
                pause = PAUSE.0;
                let why = listen(&mut reader, shipped, to);
                put(None);
                tracing::warn!(
                    why,
                    "the ledger is away; parts are spent to their end, then the careful rate"
                );
            }
            Err(e) => tracing::debug!(error = %e, "the ledger cannot be reached"),
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(PAUSE.1);
    }
}

/// Hears the ledger until the connection ends; gives the cause.
fn listen(reader: &mut Reader, shipped: &Sender<u64>, to: &Sender<Event>) -> String {
    loop {
        let text = match reader.hear() {
            Heard::Text(text) => text,
            Heard::Ended(why) => return why,
        };
        match serde_json::from_str(&text) {
            Ok(QuotaResponse::LeasesGranted { number, leases }) => {
                if to
                    .send(Event::Input(Input::BudgetLeases { number, leases }))
                    .is_err()
                {
                    return "the loop has ended".to_string();
                }
            }
            // One that nobody waits for any more comes again with the shipment's repeat.
            Ok(QuotaResponse::ChargesStored { number }) => drop(shipped.try_send(number)),
            Ok(QuotaResponse::Error { message }) => {
                tracing::error!(message, "the ledger cannot use a message")
            }
            Err(e) => tracing::error!(error = %e, "the ledger says what cannot be read"),
        }
    }
}

/// Ships the oldest charges, again until they are known to be there.
fn ship(journal: &Journal, line: &Line, acks: &Receiver<u64>) {
    let mut number = 0;
    loop {
        std::thread::sleep(SHIP_EVERY);
        let rest = match journal.unshipped(MAX_ENTRIES) {
            Ok(rest) => rest,
            Err(e) => {
                tracing::error!(error = %e, "charges cannot be read for the ledger");
                continue;
            }
        };
        let Some(up_to) = rest.last().map(|r| r.0) else {
            continue;
        };
        number += 1;
        let entries = rest.into_iter().map(|r| r.1).collect();
        if !send(line, &QuotaRequest::StoreCharges { number, entries }) {
            continue;
        }
        let by = Instant::now() + SHIP_WITHIN;
        while let Ok(acked) = acks.recv_deadline(by) {
            if acked == number {
                if let Err(e) = journal.mark_shipped(up_to) {
                    tracing::error!(error = %e, "what was shipped cannot be marked; it is shipped again");
                }
                break;
            }
        }
    }
}
