//! The link to the quota server: requests budget leases and receives them, and ships charges until the quota server has
//! acknowledged them.
//!
//! Nothing blocks on the quota server. While it is unreachable, lease requests are lost (the core repeats them) and
//! charges stay in the journal.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bitternlatch_budget::ledger::{QuotaRequest, QuotaResponse, MAX_ENTRIES};
use bitternlatch_core::Input;
use bitternlatch_journal::Journal;
use crossbeam_channel::{bounded, Receiver, Sender};

use crate::dial::dial;
use crate::driver::Event;
use crate::lock;
use crate::socket::{Limits, Outbox, ReadOutcome, Reader};

/// Longest time for connecting to the quota server and for the WebSocket upgrade.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff between connection attempts: the first delay and the maximum. Each failure doubles the delay.
const RECONNECT_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Interval at which the journal is checked for charges to ship.
const SHIP_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for the acknowledgement of shipped charges; then they are sent again.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest message accepted from the quota server, bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// The sending side of the connection to the quota server; `None` while disconnected.
type SharedOutbox = Arc<Mutex<Option<Outbox>>>;

/// The link from one dispatcher to the quota server.
pub struct QuotaServerLink {
    outbox: SharedOutbox,
}

/// Sends a message. Returns false while disconnected or if the send queue is full.
fn send(outbox: &SharedOutbox, message: &QuotaRequest) -> bool {
    let outbox = lock(outbox);
    let text = serde_json::to_string(message).unwrap_or_default();
    outbox
        .as_ref()
        .is_some_and(|outbox| outbox.text(text).is_ok())
}

impl QuotaServerLink {
    /// Starts two threads: one keeps the connection to the quota server open and receives its messages, the other ships
    /// the charges of the journal, if there is one.
    ///
    /// # Errors
    /// If a thread cannot be started.
    pub fn start(
        address: String,
        journal: Option<Arc<Journal>>,
        events: Sender<Event>,
    ) -> std::io::Result<QuotaServerLink> {
        let outbox = SharedOutbox::default();
        let (ack_sender, acks) = bounded(16);
        let receiver_outbox = Arc::clone(&outbox);
        let thread = |name: &str| std::thread::Builder::new().name(name.into());
        thread("ledger")
            .spawn(move || run_connection(&address, &receiver_outbox, &ack_sender, &events))?;
        if let Some(journal) = journal {
            let outbox = Arc::clone(&outbox);
            thread("ship").spawn(move || ship_charges(&journal, &outbox, &acks))?;
        }
        Ok(QuotaServerLink { outbox })
    }

    /// Sends a request for budget leases. While disconnected, the request is dropped.
    pub fn request(&self, message: &QuotaRequest) {
        if !send(&self.outbox, message) {
            tracing::debug!(
                "the quota server is unreachable; a request for budget leases is dropped"
            );
        }
    }
}

/// Connects to the quota server again and again, and receives its messages while connected.
fn run_connection(
    address: &str,
    shared: &SharedOutbox,
    acks: &Sender<u64>,
    events: &Sender<Event>,
) {
    let set_outbox = |outbox| *lock(shared) = outbox;
    let mut delay = RECONNECT_DELAY.0;
    loop {
        let limits = Limits {
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_queued_messages: 64,
            ping_interval: Duration::from_secs(2),
            idle_timeout: None,
        };
        match dial(address, "/v1/ledger", CONNECT_TIMEOUT, limits, None) {
            Ok((mut reader, outbox)) => {
                tracing::info!(address, "connected to the quota server");
                set_outbox(Some(outbox));
                delay = RECONNECT_DELAY.0;
                let reason = receive(&mut reader, acks, events);
                set_outbox(None);
                tracing::warn!(
                    reason,
                    "disconnected from the quota server; budget leases are used until they expire, then the unleased rate applies"
                );
            }
            Err(e) => tracing::debug!(error = %e, "cannot connect to the quota server"),
        }
        std::thread::sleep(delay);
        delay = (delay * 2).min(RECONNECT_DELAY.1);
    }
}

/// Handles messages from the quota server until the connection ends; returns the reason.
fn receive(reader: &mut Reader, acks: &Sender<u64>, events: &Sender<Event>) -> String {
    loop {
        let text = match reader.read() {
            ReadOutcome::Text(text) => text,
            ReadOutcome::Ended(reason) => return reason,
        };
        match serde_json::from_str(&text) {
            Ok(QuotaResponse::LeasesGranted { number, leases }) => {
                if events
                    .send(Event::Input(Input::BudgetLeases { number, leases }))
                    .is_err()
                {
                    return "the event loop has ended".to_string();
                }
            }
            // If the queue of acknowledgements is full, this one is dropped: its charges are shipped and acknowledged again.
            Ok(QuotaResponse::ChargesStored { number }) => drop(acks.try_send(number)),
            Ok(QuotaResponse::Error { message }) => {
                tracing::error!(message, "the quota server rejected a message")
            }
            Err(e) => {
                tracing::error!(error = %e, "cannot parse a message from the quota server; it is ignored")
            }
        }
    }
}

/// Ships the oldest unshipped charges of the journal; repeats each shipment until the quota server has acknowledged it.
fn ship_charges(journal: &Journal, outbox: &SharedOutbox, acks: &Receiver<u64>) {
    let mut number = 0;
    loop {
        std::thread::sleep(SHIP_INTERVAL);
        let unshipped = match journal.unshipped(MAX_ENTRIES) {
            Ok(unshipped) => unshipped,
            Err(e) => {
                tracing::error!(error = %e, "cannot read charges from the journal to ship them to the quota server; the read is retried");
                continue;
            }
        };
        let Some(up_to) = unshipped.last().map(|r| r.0) else {
            continue;
        };
        number += 1;
        let entries = unshipped.into_iter().map(|r| r.1).collect();
        if !send(outbox, &QuotaRequest::StoreCharges { number, entries }) {
            continue;
        }
        let deadline = Instant::now() + ACK_TIMEOUT;
        while let Ok(acked) = acks.recv_deadline(deadline) {
            if acked == number {
                if let Err(e) = journal.mark_shipped(up_to) {
                    tracing::error!(error = %e, "cannot mark charges as shipped in the journal; they are shipped again");
                }
                break;
            }
        }
    }
}
