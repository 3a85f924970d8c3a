//! The quota server: one process that leases shares of the tenants' token rates to dispatchers and stores the charges of
//! all dispatchers in its journal.

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

/// Maximum number of connected dispatchers.
const MAX_CONNECTIONS: usize = 1024;
/// Maximum length of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// The quota server's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub address: String,
    /// Journal of all charges; the path is relative to the settings file.
    pub file: PathBuf,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Token rate of the tenant over all dispatchers, in tokens per second; the dispatchers' settings have the same value.
    pub tokens_per_s: f64,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first error in the file, with its line where it has one.
    pub fn read(path: &Path) -> Result<Settings, String> {
        let file_name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{file_name}: {e}"))?;
        let mut settings: Settings = toml::from_str(&text).map_err(|e| {
            let line = e.span().map_or(0, |s| {
                text.get(..s.start).unwrap_or(&text).matches('\n').count() + 1
            });
            format!("{file_name}:{line}: {}", e.message().replace('\n', " "))
        })?;
        let invalid = |t: &&Tenant| !(t.tokens_per_s > 0.0 && t.tokens_per_s <= 1e12);
        if let Some(tenant) = settings.tenants.iter().find(invalid) {
            return Err(format!(
                "{file_name}: tenant '{}': tokens_per_s must be above 0 and at most 1e12",
                tenant.name
            ));
        }
        settings.file = path.parent().unwrap_or(Path::new("")).join(&settings.file);
        Ok(settings)
    }
}

/// A running quota server.
pub struct QuotaServer {
    acceptor: Acceptor,
    state: Arc<ServerState>,
}

impl QuotaServer {
    /// Opens the journal and starts the threads that serve dispatchers.
    ///
    /// # Errors
    /// The journal cannot be opened, or the address cannot be listened on.
    pub fn start(settings: &Settings) -> Result<QuotaServer, String> {
        let is_new = !settings.file.exists();
        let journal = Journal::open(&settings.file).map_err(|e| e.to_string())?;
        let listener = TcpListener::bind(&settings.address)
            .map_err(|e| format!("cannot listen on {}: {e}", settings.address))?;
        let clock = Clock::start();
        let rates: BTreeMap<String, f64> = settings
            .tenants
            .iter()
            .map(|t| (t.name.clone(), t.tokens_per_s))
            .collect();
        let ledger = LeaseIssuers::new(
            &rates,
            &LeaseRules::default(),
            clock.now().seconds(),
            is_new,
        );
        let state = Arc::new(ServerState {
            ledger: Mutex::new(ledger),
            journal,
            clock,
            outboxes: Mutex::new(BTreeMap::new()),
        });
        let socket = Limits {
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_queued_messages: 256,
            ping_interval: Duration::from_secs(5),
            idle_timeout: None,
        };
        let door = ListenerOptions::plaintext(MAX_CONNECTIONS, Duration::from_secs(5), socket);
        let handler: Arc<dyn Handler> = state.clone();
        let acceptor = Acceptor::start(listener, door, handler).map_err(|e| e.to_string())?;
        Ok(QuotaServer { acceptor, state })
    }

    pub fn address(&self) -> SocketAddr {
        self.acceptor.address()
    }

    /// Returns the token rates that are leased to dispatchers now, in tokens per second by tenant.
    pub fn leased_tokens_per_s(&self) -> BTreeMap<String, f64> {
        lock(&self.state.ledger).issued_rates(self.state.clock.now().seconds())
    }

    /// Counts the charged requests in the journal.
    ///
    /// # Errors
    /// The journal cannot be read.
    pub fn charged_requests(&self) -> Result<usize, String> {
        self.state
            .journal
            .entries()
            .map(|e| e.latest().count())
            .map_err(|e| e.to_string())
    }

    /// Stops at once, without closing messages to the dispatchers, as a crash would. The journal is closed when the thread of
    /// the last connection has ended.
    pub fn stop(self) {
        self.acceptor.stop();
        lock(&self.state.outboxes).values().for_each(Outbox::abort);
    }
}

/// State that the connections' threads share.
struct ServerState {
    ledger: Mutex<LeaseIssuers>,
    journal: Journal,
    clock: Clock,
    outboxes: Mutex<BTreeMap<u64, Outbox>>,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServerState {
    fn respond(&self, text: &str) -> Option<QuotaResponse> {
        let reject = |message: String| Some(QuotaResponse::Error { message });
        match serde_json::from_str::<QuotaRequest>(text) {
            Err(e) => reject(e.to_string()),
            Ok(QuotaRequest::RequestLeases { tenants, .. }) if tenants.len() > MAX_TENANTS => {
                reject(format!("more than {MAX_TENANTS} tenants in one question"))
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
                reject(format!("more than {MAX_ENTRIES} entries in one shipment"))
            }
            Ok(QuotaRequest::StoreCharges { number, entries }) => {
                match self.journal.append(&entries) {
                    Ok(done) => {
                        for (response, number) in done.conflicts {
                            tracing::error!(
                                response,
                                number,
                                "a charge differs from the stored charge of the same response"
                            );
                        }
                        Some(QuotaResponse::ChargesStored { number })
                    }
                    // Without a response, the dispatcher sends the charges again.
                    Err(e) => {
                        tracing::error!(error = %e, entries = entries.len(), "cannot write charges to the journal");
                        None
                    }
                }
            }
        }
    }
}

impl Handler for ServerState {
    fn opened(&self, connection: u64, outbox: Outbox, _caller: Option<Caller>) {
        lock(&self.outboxes).insert(connection, outbox);
    }
    fn text(&self, connection: u64, text: String) {
        let Some(response) = self.respond(&text) else {
            return;
        };
        let text = serde_json::to_string(&response).unwrap_or_default();
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
