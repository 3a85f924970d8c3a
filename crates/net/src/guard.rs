//! Keeps the keys, the rights and the judged time fresh, and checks proofs for the threads that accept.

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
use crate::dial::{get, Manner};
use crate::driver::Event;
use crate::{lock, tls};

/// Longest time for one fetch of keys.
const FETCH: Duration = Duration::from_secs(2);
/// Time between two looks at what is due, and so the longest until a withdrawn key ends its sessions.
const LOOK: Duration = Duration::from_millis(200);
/// Longest rights file, bytes.
const RIGHTS_BYTES: u64 = 1 << 20;

/// The wall clock, Unix seconds.
pub fn unix() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

/// A wall clock: Unix seconds. It may jump.
pub type Wall = Arc<dyn Fn() -> f64 + Send + Sync>;

/// Checks proofs against the keys and lists in force.
pub struct Guard {
    rules: TokenRules,
    /// Lives by a clock that never jumps.
    keeper: Mutex<KeySetCache>,
    time: Mutex<CredentialClock>,
    clock: Clock,
    wall: Wall,
    certificates: Option<Arc<tls::Server>>,
}

impl Guard {
    fn keeper(&self) -> MutexGuard<'_, KeySetCache> {
        lock(&self.keeper)
    }

    /// Seconds of the steady clock.
    fn steady(&self) -> f64 {
        self.clock.now().seconds()
    }

    /// Unix seconds by which proofs are judged.
    fn now(&self) -> u64 {
        lock(&self.time).now(self.steady()) as u64
    }

    /// Whose a token is.
    ///
    /// # Errors
    /// The [`TokenError`]; without any key in force all keys are unknown.
    pub fn check(&self, token: &str) -> Result<Caller, TokenError> {
        let steady = self.steady();
        // The lock is held to share the set alone, not for the signature.
        let set = self.keeper().current(steady).cloned();
        let checked = match &set {
            Some(set) => verify_token(token, set, &self.rules, self.now()),
            None => Err(TokenError::UnknownKey(key_id(token).unwrap_or_default())),
        };
        if let Err(TokenError::UnknownKey(id)) = &checked {
            self.keeper().report_unknown_key(steady, id);
        }
        checked
    }

    /// Whose a certificate is that the connection's handshake has proven.
    ///
    /// # Errors
    /// As [`caller_from_certificate`], and one that is revoked.
    pub fn check_certificate(&self, der: &[u8]) -> Result<Caller, InvalidCertificate> {
        let caller = caller_from_certificate(der, self.now())?;
        match self.counts(&caller) {
            true => Ok(caller),
            false => Err(InvalidCertificate::Revoked),
        }
    }

    /// Whether what proved a caller still counts.
    pub fn counts(&self, caller: &Caller) -> bool {
        match caller.credential {
            Credential::Certificate => !self
                .certificates
                .as_ref()
                .is_some_and(|s| s.revoked(&caller.key_id)),
            Credential::Token => {
                let set = self.keeper().current(self.steady()).cloned();
                set.is_some_and(|s| s.is_valid(&caller.key_id, self.now(), self.rules.skew_s))
            }
        }
    }
}

/// Reads the rights, starts the thread that keeps keys and rights, and tells the loop the first rights. The last good
/// keys are taken from disk; a first fetch is made before this returns, so that callers meet keys where there are any.
///
/// # Errors
/// Rights that cannot be read or are wrong, with file and cause; a thread that the system does not give.
pub fn start(
    identity: &Identity,
    base: &Path,
    certificates: Option<Arc<tls::Server>>,
    wall: Wall,
    to: Sender<Event>,
) -> Result<Arc<Guard>, String> {
    let beside = |file: &str| base.join(file);
    let rights_file = beside(&identity.rights);
    let rights = read_rights(&rights_file)?;
    to.send(Event::Input(Input::Rights(rights.clone())))
        .map_err(|e| e.to_string())?;
    let rules = KeySetCacheRules {
        refresh_interval_s: identity.refresh_interval_s,
        max_age_s: identity.cache_lifetime_s,
        ..KeySetCacheRules::default()
    };
    let clock = Clock::start();
    let steady = clock.now().seconds();
    let mut keeper = KeySetCache::new(rules, steady);
    let kept = identity.cache_file.as_deref().map(beside);
    if let Some(path) = &kept {
        restore(&mut keeper, steady, path);
    }
    let guard = Arc::new(Guard {
        rules: TokenRules {
            issuer: identity.issuer.clone(),
            audience: identity.audience.clone(),
            skew_s: identity.clock_skew_s,
        },
        keeper: Mutex::new(keeper),
        time: Mutex::new(CredentialClock::new(steady, wall())),
        clock,
        wall,
        certificates,
    });
    let source = identity
        .keys
        .as_deref()
        .map(|keys| match keys.strip_prefix("http://") {
            Some(rest) => Source::Address(rest.to_string()),
            None => Source::File(beside(keys)),
        });
    let (counted, told_us) = (Vec::new(), 0);
    let mut watch = Watch {
        guard: Arc::clone(&guard),
        source,
        kept,
        rights_file,
        rights,
        counted,
        told_us,
        to,
    };
    watch.look();
    let run = move || loop {
        std::thread::sleep(LOOK);
        watch.look();
    };
    std::thread::Builder::new()
        .name("keys".into())
        .spawn(run)
        .map_err(|e| format!("no thread for keys: {e}"))?;
    Ok(guard)
}

fn read_rights(path: &Path) -> Result<String, String> {
    let shown = path.display();
    let size = std::fs::metadata(path)
        .map_err(|e| format!("{shown}: {e}"))?
        .len();
    if size > RIGHTS_BYTES {
        return Err(format!("{shown}: {size} bytes, more than {RIGHTS_BYTES}"));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    AccessRights::parse(&text).map_err(|e| format!("{shown}: {e}"))?;
    Ok(text)
}

/// The kept document counts by its file's age.
fn restore(keeper: &mut KeySetCache, steady: f64, path: &Path) {
    let age = |m: std::fs::Metadata| m.modified().ok().and_then(|t| t.elapsed().ok());
    let age_s = std::fs::metadata(path)
        .ok()
        .and_then(age)
        .map_or(0.0, |a| a.as_secs_f64());
    let Ok(document) = std::fs::read(path) else {
        return;
    };
    match keeper.restore(steady, &document, age_s) {
        Ok(()) => tracing::info!(age_s, "the last good keys are taken from disk"),
        Err(e) => {
            tracing::error!(error = %e, file = %path.display(), "the kept keys cannot be used")
        }
    }
}

enum Source {
    File(PathBuf),
    /// Host, port and path.
    Address(String),
}

impl Source {
    fn fetch(&self) -> io::Result<Vec<u8>> {
        match self {
            Source::File(path) => std::fs::read(path),
            Source::Address(rest) => {
                let (endpoint, path) = rest.split_once('/').unwrap_or((rest, ""));
                get(
                    endpoint,
                    &format!("/{path}"),
                    &Manner::default(),
                    FETCH,
                    MAX_DOCUMENT_BYTES,
                )
            }
        }
    }
}

struct Watch {
    guard: Arc<Guard>,
    /// Where keys come from, if tokens count at all.
    source: Option<Source>,
    kept: Option<PathBuf>,
    rights_file: PathBuf,
    /// The text in force.
    rights: String,
    /// Keys that counted at the last look.
    counted: Vec<String>,
    /// How far the judged time is ahead of the steady clock, as the loop was told.
    told_us: i64,
    to: Sender<Event>,
}

impl Watch {
    fn look(&mut self) {
        self.look_at_clocks();
        let due = self.source.is_some() && self.guard.keeper().fetch_due(self.guard.steady());
        if due {
            self.fetch();
        }
        self.look_at_keys();
        self.look_at_rights();
    }

    /// Follows the wall clock where it may be followed, and tells the loop.
    fn look_at_clocks(&mut self) {
        let steady = self.guard.steady();
        let ahead_s = {
            let mut time = lock(&self.guard.time);
            let doubted = time.has_unconfirmed_jump();
            let stepped = time.update(steady, (self.guard.wall)());
            if let Some(stepped) = stepped {
                tracing::warn!(
                    by_s = stepped.by_s,
                    "the clock has jumped and stayed; it is followed"
                );
            } else if time.has_unconfirmed_jump() && !doubted {
                tracing::warn!(
                    "the clock has jumped; proofs are judged as before while it may jump back"
                );
            }
            time.now(steady) - steady
        };
        let ahead_us = (ahead_s * 1e6) as i64;
        // Less than this is the time between two readings of the clocks.
        if (ahead_us - self.told_us).abs() >= 1_000_000 {
            self.told_us = ahead_us;
            let _ = self
                .to
                .send(Event::Input(Input::CredentialClockOffset { ahead_us }));
        }
    }

    fn fetch(&mut self) {
        let Some(source) = &self.source else { return };
        let came = source.fetch();
        let (now, chance) = (self.guard.steady(), chance());
        match came {
            Err(e) => {
                let pause_s = self.guard.keeper().fetch_failed(now, chance);
                tracing::warn!(error = %e, pause_s, "keys cannot be fetched; the last good ones stay");
            }
            Ok(document) => match self.guard.keeper().fetched(now, &document, chance) {
                FetchOutcome::Unchanged => self.keep(&document),
                FetchOutcome::Replaced { removed } => {
                    tracing::info!(dropped = ?removed, "a new key set counts");
                    self.keep(&document);
                }
                FetchOutcome::Invalid(e) => {
                    tracing::warn!(error = %e, "keys are not taken; the last good ones stay")
                }
            },
        }
    }

    /// Whole, beside, and moved into place, so that a restart never finds half a document.
    fn keep(&self, document: &[u8]) {
        let Some(path) = &self.kept else { return };
        let beside = path.with_extension("new");
        let done = std::fs::write(&beside, document).and_then(|()| std::fs::rename(&beside, path));
        if let Err(e) = done {
            tracing::warn!(error = %e, file = %path.display(), "the keys cannot be kept for a restart");
        }
    }

    /// Tells the loop of keys that counted at the last look and do not now, whatever the cause.
    fn look_at_keys(&mut self) {
        let now = self.guard.now();
        let skew_s = self.guard.rules.skew_s;
        let counts = |set: &Arc<KeySet>| -> Vec<String> {
            set.ids()
                .filter(|id| set.is_valid(id, now, skew_s))
                .map(str::to_string)
                .collect()
        };
        let counting = self
            .guard
            .keeper()
            .current(self.guard.steady())
            .map(counts)
            .unwrap_or_default();
        let gone: Vec<String> = self
            .counted
            .iter()
            .filter(|id| !counting.contains(id))
            .cloned()
            .collect();
        self.counted = counting;
        if !gone.is_empty() {
            tracing::warn!(keys = ?gone, "keys count no more");
            let _ = self.to.send(Event::Input(Input::CredentialsRevoked(gone)));
        }
    }

    fn look_at_rights(&mut self) {
        match read_rights(&self.rights_file) {
            Ok(text) if text != self.rights => {
                self.rights.clone_from(&text);
                let _ = self.to.send(Event::Input(Input::Rights(text)));
            }
            Ok(_) => {}
            Err(e) => tracing::error!(error = %e, "the rights are wrong; the last good ones stay"),
        }
    }
}

/// From 0 to 1, for the spread of fetches over dispatchers.
fn chance() -> f64 {
    use std::hash::{BuildHasher, RandomState};
    (RandomState::new().hash_one(0u8) >> 11) as f64 / (1u64 << 53) as f64
}
