//! Authentication of clients: refreshes the key set, the access rights and the clock offset from a thread of its own, and
//! checks tokens and certificates for the threads that accept connections.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bitternlatch_core::settings::Identity;
use bitternlatch_core::Input;
use bitternlatch_identity::certificates::{caller_from_certificate, InvalidCertificate};
use bitternlatch_identity::keeper::{FetchOutcome, KeySetCache, KeySetCacheRules};
use bitternlatch_identity::keys::{KeySet, MAX_DOCUMENT_BYTES};
use bitternlatch_identity::rights::AccessRights;
use bitternlatch_identity::time::CredentialClock;
use bitternlatch_identity::token::{key_id, verify_token, TokenError, TokenRules};
use bitternlatch_identity::{Caller, Credential};
use crossbeam_channel::Sender;

use crate::clock::Clock;
use crate::dial::{get, DialOptions};
use crate::driver::Event;
use crate::{lock, tls};

/// Timeout of one fetch of the key set.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the refresh thread's checks, and so the longest delay from a key's revocation to the end of its sessions.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Largest accepted access-rights file, bytes.
const MAX_RIGHTS_BYTES: u64 = 1 << 20;

/// Returns the wall clock's time, Unix seconds.
pub fn unix_seconds() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

/// A function that returns the wall clock's time, Unix seconds. The time may jump.
pub type WallClock = Arc<dyn Fn() -> f64 + Send + Sync>;

/// Checks credentials against the key set and the revocation lists in force.
pub struct Authenticator {
    token_rules: TokenRules,
    /// The key set in force. Its times are those of the monotonic clock.
    keeper: Mutex<KeySetCache>,
    /// The time by which credentials are judged, which follows the wall clock with safeguards against jumps.
    time: Mutex<CredentialClock>,
    clock: Clock,
    wall: WallClock,
    /// Holds the revocation lists for client certificates; `None` without TLS.
    certificates: Option<Arc<tls::ServerTls>>,
}

impl Authenticator {
    fn keeper(&self) -> MutexGuard<'_, KeySetCache> {
        lock(&self.keeper)
    }

    /// The monotonic clock's time, seconds.
    fn monotonic_s(&self) -> f64 {
        self.clock.now().seconds()
    }

    /// The time by which credentials are judged, Unix seconds.
    fn credential_time_s(&self) -> u64 {
        lock(&self.time).now(self.monotonic_s()) as u64
    }

    /// Checks a token and returns its caller.
    ///
    /// # Errors
    /// Why the token is rejected. While no key set is in force, every key is unknown.
    pub fn check_token(&self, token: &str) -> Result<Caller, TokenError> {
        let monotonic_s = self.monotonic_s();
        // Clones the reference to the key set, so that the lock is not held while the signature is checked.
        let set = self.keeper().current(monotonic_s).cloned();
        let checked = match &set {
            Some(set) => verify_token(token, set, &self.token_rules, self.credential_time_s()),
            None => Err(TokenError::UnknownKey(key_id(token).unwrap_or_default())),
        };
        if let Err(TokenError::UnknownKey(id)) = &checked {
            self.keeper().report_unknown_key(monotonic_s, id);
        }
        checked
    }

    /// Returns the caller of a client certificate (DER) whose chain and signature the TLS handshake has verified.
    ///
    /// # Errors
    /// As for [`caller_from_certificate`]; also if the certificate is revoked.
    pub fn check_certificate(&self, der: &[u8]) -> Result<Caller, InvalidCertificate> {
        let caller = caller_from_certificate(der, self.credential_time_s())?;
        match self.is_valid(&caller) {
            true => Ok(caller),
            false => Err(InvalidCertificate::Revoked),
        }
    }

    /// Whether the caller's credential is still valid: its certificate is not revoked or its token's key is in force.
    pub fn is_valid(&self, caller: &Caller) -> bool {
        match caller.credential {
            Credential::Certificate => !self
                .certificates
                .as_ref()
                .is_some_and(|s| s.is_revoked(&caller.key_id)),
            Credential::Token => {
                let set = self.keeper().current(self.monotonic_s()).cloned();
                set.is_some_and(|s| {
                    s.is_valid(
                        &caller.key_id,
                        self.credential_time_s(),
                        self.token_rules.skew_s,
                    )
                })
            }
        }
    }
}

/// Reads the access rights, sends them to the event loop and starts the thread that refreshes keys and rights. Restores the
/// last good key set from disk and makes one fetch before it returns, so that keys are available to the first clients if
/// there are any.
///
/// # Errors
/// If the access rights cannot be read or are invalid (with file and cause), or the thread cannot be started.
pub fn start(
    identity: &Identity,
    base: &Path,
    certificates: Option<Arc<tls::ServerTls>>,
    wall: WallClock,
    events: Sender<Event>,
) -> Result<Arc<Authenticator>, String> {
    let resolve = |file: &str| base.join(file);
    let rights_file = resolve(&identity.rights);
    let rights = read_rights(&rights_file)?;
    events
        .send(Event::Input(Input::Rights(rights.clone())))
        .map_err(|e| e.to_string())?;
    let keeper_rules = KeySetCacheRules {
        refresh_interval_s: identity.refresh_interval_s,
        max_age_s: identity.cache_lifetime_s,
        ..KeySetCacheRules::default()
    };
    let clock = Clock::start();
    let monotonic_s = clock.now().seconds();
    let mut keeper = KeySetCache::new(keeper_rules, monotonic_s);
    let cache_file = identity.cache_file.as_deref().map(resolve);
    if let Some(path) = &cache_file {
        restore(&mut keeper, monotonic_s, path);
    }
    let authenticator = Arc::new(Authenticator {
        token_rules: TokenRules {
            issuer: identity.issuer.clone(),
            audience: identity.audience.clone(),
            skew_s: identity.clock_skew_s,
        },
        keeper: Mutex::new(keeper),
        time: Mutex::new(CredentialClock::new(monotonic_s, wall())),
        clock,
        wall,
        certificates,
    });
    let source = identity
        .keys
        .as_deref()
        .map(|keys| match keys.strip_prefix("http://") {
            Some(rest) => Source::Http(rest.to_string()),
            None => Source::File(resolve(keys)),
        });
    let (valid_keys, sent_offset_us) = (Vec::new(), 0);
    let mut refresher = Refresher {
        authenticator: Arc::clone(&authenticator),
        source,
        cache_file,
        rights_file,
        rights,
        valid_keys,
        sent_offset_us,
        events,
    };
    refresher.check();
    let run = move || loop {
        std::thread::sleep(CHECK_INTERVAL);
        refresher.check();
    };
    std::thread::Builder::new()
        .name("keys".into())
        .spawn(run)
        .map_err(|e| format!("cannot start the key refresh thread: {e}"))?;
    Ok(authenticator)
}

/// Reads and validates the access-rights file; returns its text.
fn read_rights(path: &Path) -> Result<String, String> {
    let shown = path.display();
    let size = std::fs::metadata(path)
        .map_err(|e| format!("{shown}: {e}"))?
        .len();
    if size > MAX_RIGHTS_BYTES {
        return Err(format!(
            "{shown}: {size} bytes, the limit is {MAX_RIGHTS_BYTES}"
        ));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    AccessRights::parse(&text).map_err(|e| format!("{shown}: {e}"))?;
    Ok(text)
}

/// Restores the cached key set from disk. The age of the file counts against the lifetime of the key set.
fn restore(keeper: &mut KeySetCache, monotonic_s: f64, path: &Path) {
    let age = |m: std::fs::Metadata| m.modified().ok().and_then(|t| t.elapsed().ok());
    let age_s = std::fs::metadata(path)
        .ok()
        .and_then(age)
        .map_or(0.0, |a| a.as_secs_f64());
    let Ok(document) = std::fs::read(path) else {
        return;
    };
    match keeper.restore(monotonic_s, &document, age_s) {
        Ok(()) => tracing::info!(age_s, "key set restored from the cache file"),
        Err(e) => {
            tracing::error!(error = %e, file = %path.display(), "the cached key set cannot be used; it is ignored")
        }
    }
}

/// Where the key set is fetched from.
enum Source {
    File(PathBuf),
    /// An `http://` URL without the scheme: host, port and path.
    Http(String),
}

impl Source {
    fn fetch(&self) -> io::Result<Vec<u8>> {
        match self {
            Source::File(path) => std::fs::read(path),
            Source::Http(rest) => {
                let (endpoint, path) = rest.split_once('/').unwrap_or((rest, ""));
                get(
                    endpoint,
                    &format!("/{path}"),
                    &DialOptions::default(),
                    FETCH_TIMEOUT,
                    MAX_DOCUMENT_BYTES,
                )
            }
        }
    }
}

/// The state of the refresh thread.
struct Refresher {
    authenticator: Arc<Authenticator>,
    /// Where the key set is fetched from; `None` if tokens are not accepted.
    source: Option<Source>,
    /// Where the last good key set is stored for a restart.
    cache_file: Option<PathBuf>,
    rights_file: PathBuf,
    /// Text of the access rights in force.
    rights: String,
    /// Ids of the keys that were valid at the last check.
    valid_keys: Vec<String>,
    /// Offset of the credential time from the monotonic clock that was last sent to the event loop, microseconds.
    sent_offset_us: i64,
    events: Sender<Event>,
}

impl Refresher {
    fn check(&mut self) {
        self.check_clocks();
        let due = self.source.is_some()
            && self
                .authenticator
                .keeper()
                .fetch_due(self.authenticator.monotonic_s());
        if due {
            self.fetch();
        }
        self.check_keys();
        self.check_rights();
    }

    /// Updates the credential time from the wall clock and sends the loop a changed offset.
    fn check_clocks(&mut self) {
        let monotonic_s = self.authenticator.monotonic_s();
        let ahead_s = {
            let mut time = lock(&self.authenticator.time);
            let doubted = time.has_unconfirmed_jump();
            let stepped = time.update(monotonic_s, (self.authenticator.wall)());
            if let Some(stepped) = stepped {
                tracing::warn!(
                    by_s = stepped.by_s,
                    "the wall clock has jumped and stayed; credentials are judged by its new time"
                );
            } else if time.has_unconfirmed_jump() && !doubted {
                tracing::warn!(
                    "the wall clock has jumped; credentials are judged by the previous time until the jump is confirmed"
                );
            }
            time.now(monotonic_s) - monotonic_s
        };
        let ahead_us = (ahead_s * 1e6) as i64;
        // Ignores changes below 1 s, which come from the delay between reading the two clocks.
        if (ahead_us - self.sent_offset_us).abs() >= 1_000_000 {
            self.sent_offset_us = ahead_us;
            let _ = self
                .events
                .send(Event::Input(Input::CredentialClockOffset { ahead_us }));
        }
    }

    fn fetch(&mut self) {
        let Some(source) = &self.source else { return };
        let fetched = source.fetch();
        let (now, chance) = (self.authenticator.monotonic_s(), random_fraction());
        match fetched {
            Err(e) => {
                let retry_in_s = self.authenticator.keeper().fetch_failed(now, chance);
                tracing::warn!(error = %e, retry_in_s, "the key set cannot be fetched; the last good keys stay in force");
            }
            Ok(document) => match self.authenticator.keeper().fetched(now, &document, chance) {
                FetchOutcome::Unchanged => self.store(&document),
                FetchOutcome::Replaced { removed } => {
                    tracing::info!(dropped = ?removed, "a new key set is in force");
                    self.store(&document);
                }
                FetchOutcome::Invalid(e) => {
                    tracing::warn!(error = %e, "the fetched key set is rejected; the last good keys stay in force")
                }
            },
        }
    }

    /// Stores the key set in the cache file. Writes a temporary file and renames it, so that a restart never reads an
    /// incomplete document.
    fn store(&self, document: &[u8]) {
        let Some(path) = &self.cache_file else { return };
        let temporary = path.with_extension("new");
        let stored =
            std::fs::write(&temporary, document).and_then(|()| std::fs::rename(&temporary, path));
        if let Err(e) = stored {
            tracing::warn!(error = %e, file = %path.display(), "cannot write the key set to the cache file; it will be missing after a restart");
        }
    }

    /// Reports to the loop the keys that were valid at the last check and are no longer, whatever the cause.
    fn check_keys(&mut self) {
        let now = self.authenticator.credential_time_s();
        let skew_s = self.authenticator.token_rules.skew_s;
        let valid_ids = |set: &Arc<KeySet>| -> Vec<String> {
            set.ids()
                .filter(|id| set.is_valid(id, now, skew_s))
                .map(str::to_string)
                .collect()
        };
        let valid = self
            .authenticator
            .keeper()
            .current(self.authenticator.monotonic_s())
            .map(valid_ids)
            .unwrap_or_default();
        let revoked: Vec<String> = self
            .valid_keys
            .iter()
            .filter(|id| !valid.contains(id))
            .cloned()
            .collect();
        self.valid_keys = valid;
        if !revoked.is_empty() {
            tracing::warn!(keys = ?revoked, "keys are no longer valid; their sessions end");
            let _ = self
                .events
                .send(Event::Input(Input::CredentialsRevoked(revoked)));
        }
    }

    /// Sends the access rights to the loop if the file has changed.
    fn check_rights(&mut self) {
        match read_rights(&self.rights_file) {
            Ok(text) if text != self.rights => {
                self.rights.clone_from(&text);
                let _ = self.events.send(Event::Input(Input::Rights(text)));
            }
            Ok(_) => {}
            Err(e) => {
                tracing::error!(error = %e, "the access rights are invalid; the last good access rights stay in force")
            }
        }
    }
}

/// Returns a random number in [0, 1), used to spread the fetches of several dispatchers over time.
fn random_fraction() -> f64 {
    use std::hash::{BuildHasher, RandomState};
    (RandomState::new().hash_one(0u8) >> 11) as f64 / (1u64 << 53) as f64
}
