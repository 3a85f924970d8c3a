//! The ledger: one process that lends parts of tenants' rates to dispatchers and keeps all their charges.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitternlatch_budget::lease::LeaseRules;
use bitternlatch_budget::ledger::{
    LeaseIssuers, QuotaRequest, QuotaResponse, MAX_ENTRIES, MAX_TENANTS,
};
use bitternlatch_identity::Caller;
use bitternlatch_journal::Journal;
use bitternlatch_net::accept::{Acceptor, Handler, ListenerOptions};
use bitternlatch_net::clock::Clock;
use bitternlatch_net::socket::{Limits, Outbox};
use serde::Deserialize;

/// Dispatchers that may be connected.
const CONNECTIONS: usize = 1024;
/// Longest message, bytes.
const MESSAGE_BYTES: usize = 4 << 20;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub address: String,
    /// The journal of all charges, relative to the settings file.
    pub file: PathBuf,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Over all dispatchers; the same as in their settings.
    pub tokens_per_s: f64,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// The first fault, with file and line.
    pub fn read(path: &Path) -> Result<Settings, String> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
        let mut settings: Settings = toml::from_str(&text).map_err(|e| {
            let at = e.span().map_or(0, |s| {
                text.get(..s.start).unwrap_or(&text).matches('\n').count() + 1
            });
            format!("{shown}:{at}: {}", e.message().replace('\n', " "))
        })?;
        let bad = |t: &&Tenant| !(t.tokens_per_s > 0.0 && t.tokens_per_s <= 1e12);
        if let Some(tenant) = settings.tenants.iter().find(bad) {
            return Err(format!(
                "{shown}: tenant '{}': tokens_per_s is not above 0 and at most 1e12",
                tenant.name
            ));
        }
        settings.file = path.parent().unwrap_or(Path::new("")).join(&settings.file);
        Ok(settings)
    }
}

/// A ledger at work.
pub struct Running {
    acceptor: Acceptor,
    desk: Arc<Desk>,
}

impl Running {
    /// Opens the journal and serves dispatchers from threads of their own.
    ///
    /// # Errors
    /// A journal that cannot be opened, an address that cannot be listened on.
    pub fn start(settings: &Settings) -> Result<Running, String> {
        let first = !settings.file.exists();
        let journal = Journal::open(&settings.file).map_err(|e| e.to_string())?;
        let listener = TcpListener::bind(&settings.address)
            .map_err(|e| format!("cannot listen on {}: {e}", settings.address))?;
        let clock = Clock::start();
        let rates: BTreeMap<String, f64> = settings
            .tenants
            .iter()
            .map(|t| (t.name.clone(), t.tokens_per_s))
            .collect();
        let ledger =
            LeaseIssuers::new(&rates, &LeaseRules::default(), clock.now().seconds(), first);
        let desk = Arc::new(Desk {
            ledger: Mutex::new(ledger),
            journal,
            clock,
            outboxes: Mutex::new(BTreeMap::new()),
        });
        let socket = Limits {
            max_message_bytes: MESSAGE_BYTES,
            max_queued_messages: 256,
            ping_interval: Duration::from_secs(5),
            idle_timeout: None,
        };
        let door = ListenerOptions::plaintext(CONNECTIONS, Duration::from_secs(5), socket);
        let handler: Arc<dyn Handler> = desk.clone();
        let acceptor = Acceptor::start(listener, door, handler).map_err(|e| e.to_string())?;
        Ok(Running { acceptor, desk })
    }

    pub fn address(&self) -> SocketAddr {
        self.acceptor.address()
    }

    /// Tokens a second that are lent out now, by tenant.
    pub fn out(&self) -> BTreeMap<String, f64> {
        lock(&self.desk.ledger).issued_rates(self.desk.clock.now().seconds())
    }

    /// Requests that are charged in its journal.
    ///
    /// # Errors
    /// A journal that cannot be read.
    pub fn charged(&self) -> Result<usize, String> {
        self.desk
            .journal
            .entries()
            .map(|e| e.latest().count())
            .map_err(|e| e.to_string())
    }

    /// Ends at once, as a crash does: no farewell. The journal is closed when the last connection's thread has ended.
    pub fn stop(self) {
        self.acceptor.stop();
        lock(&self.desk.outboxes).values().for_each(Outbox::abort);
    }
}

struct Desk {
    ledger: Mutex<LeaseIssuers>,
    journal: Journal,
    clock: Clock,
    outboxes: Mutex<BTreeMap<u64, Outbox>>,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Desk {
    fn answer(&self, text: &str) -> Option<QuotaResponse> {
        let fault = |message: String| Some(QuotaResponse::Error { message });
        match serde_json::from_str::<QuotaRequest>(text) {
            Err(e) => fault(e.to_string()),
            Ok(QuotaRequest::RequestLeases { tenants, .. }) if tenants.len() > MAX_TENANTS => {
                fault(format!("more than {MAX_TENANTS} tenants in one question"))
            }
            Ok(QuotaRequest::RequestLeases {
                holder,
                number,
                tenants,
            }) => {
                let now_s = self.clock.now().seconds();
                Some(QuotaResponse::LeasesGranted {
                    number,
                    leases: lock(&self.ledger).handle_lease_request(now_s, holder, &tenants),
                })
            }
            Ok(QuotaRequest::StoreCharges { entries, .. }) if entries.len() > MAX_ENTRIES => {
                fault(format!("more than {MAX_ENTRIES} entries in one shipment"))
            }
            Ok(QuotaRequest::StoreCharges { number, entries }) => {
                match self.journal.append(&entries) {
                    Ok(done) => {
                        for (response, number) in done.conflicts {
                            tracing::error!(
                                response,
                                number,
                                "a charge differs from the one that is kept"
                            );
                        }
                        Some(QuotaResponse::ChargesStored { number })
                    }
                    // No answer: the dispatcher ships again.
                    Err(e) => {
                        tracing::error!(error = %e, entries = entries.len(), "charges cannot be written");
                        None
                    }
                }
            }
        }
    }
}

impl Handler for Desk {
    fn opened(&self, connection: u64, outbox: Outbox, _caller: Option<Caller>) {
        lock(&self.outboxes).insert(connection, outbox);
    }
    fn text(&self, connection: u64, text: String) {
        let Some(answer) = self.answer(&text) else {
            return;
        };
        let text = serde_json::to_string(&answer).unwrap_or_default();
        if let Some(outbox) = lock(&self.outboxes).get(&connection) {
            if outbox.text(text).is_err() {
                outbox.abort();
            }
        }
    }
    fn closed(&self, connection: u64, _why: String) {
        lock(&self.outboxes).remove(&connection);
    }
    fn get(&self, path: &str) -> (u16, String) {
        match path {
            "/ready" => (200, "ready\n".to_string()),
            _ => (
                404,
                "a ledger; dispatchers come with a WebSocket upgrade\n".to_string(),
            ),
        }
    }
}
