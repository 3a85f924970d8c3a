//! TLS 1.3 for clients and host links: certificates, keys, authorities and lists of revoked ones, read from files and taken
//! anew while serving. Sessions that are open keep what they were made with.
//!
//! Sessions are not resumed: a resumed one would skip the look at its client's certificate.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use bitternlatch_core::settings::{EnginesTls, ListenTls};
use bitternlatch_core::Input;
use bitternlatch_identity::certificates::{Revocations, MAX_LIST_BYTES};
use bitternlatch_identity::reload::{ReloadAction, ReloadTracker};
use crossbeam_channel::Sender;
use rustls::crypto::{ring, CryptoProvider};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer, PrivateKeyDer};
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls::sign::CertifiedKey;
use rustls::version::TLS13;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use xxhash_rust::xxh3::Xxh3;

use crate::driver::Event;
use crate::guard::unix;
use crate::lock;

/// Time between two looks at the files.
const LOOK: Duration = Duration::from_millis(200);
/// Longest certificate or key file, bytes.
const FILE_BYTES: u64 = 1 << 20;

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

/// The texts of a set of files, in a fixed order.
struct Texts(Vec<Vec<u8>>);

impl Texts {
    fn read(files: &[PathBuf]) -> Result<Texts, String> {
        let read = |path: &PathBuf| -> Result<Vec<u8>, String> {
            let shown = path.display();
            let most = FILE_BYTES.max(2 * MAX_LIST_BYTES as u64);
            let size = std::fs::metadata(path)
                .map_err(|e| format!("{shown}: {e}"))?
                .len();
            if size > most {
                return Err(format!("{shown}: {size} bytes, more than {most}"));
            }
            std::fs::read(path).map_err(|e| format!("{shown}: {e}"))
        };
        files.iter().map(read).collect::<Result<_, _>>().map(Texts)
    }

    fn hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for text in &self.0 {
            hash.update(&(text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        hash.digest()
    }
}

fn named<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

fn chain(path: &Path, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let found = found.map_err(named(path))?;
    match found.is_empty() {
        true => Err(format!("{}: holds no certificate", path.display())),
        false => Ok(found),
    }
}

fn roots(path: &Path, text: &[u8]) -> Result<(RootCertStore, Vec<Vec<u8>>), String> {
    let mut roots = RootCertStore::empty();
    let mut ders = Vec::new();
    for der in chain(path, text)? {
        ders.push(der.as_ref().to_vec());
        roots.add(der).map_err(named(path))?;
    }
    Ok((roots, ders))
}

/// A certificate chain with the key that belongs to it.
fn pair(files: &[PathBuf], texts: &[Vec<u8>]) -> Result<Arc<CertifiedKey>, String> {
    let key = PrivateKeyDer::from_pem_slice(&texts[1]).map_err(named(&files[1]))?;
    let chain = chain(&files[0], &texts[0])?;
    let pair = CertifiedKey::from_der(chain, key, &provider());
    pair.map(Arc::new)
        .map_err(|e| format!("{} with {}: {e}", files[0].display(), files[1].display()))
}

fn lists(path: &Path, text: &[u8]) -> Result<Vec<Vec<u8>>, String> {
    let found: Result<Vec<_>, _> = CertificateRevocationListDer::pem_slice_iter(text).collect();
    let found = found.map_err(named(path))?;
    match found.is_empty() {
        true => Err(format!("{}: holds no list", path.display())),
        false => Ok(found.into_iter().map(|l| l.as_ref().to_vec()).collect()),
    }
}

#[derive(Debug)]
struct Fixed(Arc<CertifiedKey>);

impl rustls::server::ResolvesServerCert for Fixed {
    fn resolve(&self, _hello: rustls::server::ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }
}

/// What a server made of its files.
struct Made {
    config: Arc<ServerConfig>,
    revocations: Revocations,
}

/// The listening side's certificate, and whom it believes.
pub struct Server {
    /// Certificate, key, then the clients' authorities and lists, where there are any.
    files: Vec<PathBuf>,
    authorities: bool,
    required: bool,
    config: RwLock<Arc<ServerConfig>>,
    revocations: Mutex<Revocations>,
    reload: Mutex<ReloadTracker>,
}

impl Server {
    /// Reads all files, relative to a folder.
    ///
    /// # Errors
    /// The first fault, with its file: one that cannot be read or parsed, a key of another certificate, a list that does not count.
    pub fn load(settings: &ListenTls, base: &Path) -> Result<Server, String> {
        let beside = |file: &String| base.join(file);
        let mut files = vec![beside(&settings.certificate), beside(&settings.key)];
        files.extend(settings.client_authorities.iter().map(beside));
        files.extend(settings.revocation_lists.iter().map(beside));
        let texts = Texts::read(&files)?;
        let (authorities, required) = (
            settings.client_authorities.is_some(),
            settings.client_certificate_required,
        );
        let made = Server::make(
            &files,
            &texts.0,
            authorities,
            required,
            &Revocations::default(),
        )?;
        Ok(Server {
            files,
            authorities,
            required,
            config: RwLock::new(made.config),
            revocations: Mutex::new(made.revocations),
            reload: Mutex::new(ReloadTracker::new(texts.hash())),
        })
    }

    fn make(
        files: &[PathBuf],
        texts: &[Vec<u8>],
        authorities: bool,
        required: bool,
        before: &Revocations,
    ) -> Result<Made, String> {
        let pair = pair(files, texts)?;
        let builder = ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(|e| e.to_string())?;
        let mut revocations = before.clone();
        let builder = if authorities {
            let (roots, ders) = roots(&files[2], &texts[2])?;
            let mut revoked = Vec::new();
            for (path, text) in files.iter().zip(texts).skip(3) {
                revoked.extend(lists(path, text)?);
            }
            let offered = before.with_lists(&revoked, &ders, unix() as u64);
            revocations = offered.map_err(|e| e.to_string())?;
            let mut verifier =
                WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider())
                    .with_crls(revoked.into_iter().map(CertificateRevocationListDer::from))
                    .only_check_end_entity_revocation()
                    .allow_unknown_revocation_status();
            if !required {
                verifier = verifier.allow_unauthenticated();
            }
            builder.with_client_cert_verifier(verifier.build().map_err(named(&files[2]))?)
        } else {
            builder.with_no_client_auth()
        };
        let mut config = builder.with_cert_resolver(Arc::new(Fixed(pair)));
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(Made {
            config: Arc::new(config),
            revocations,
        })
    }

    /// What new connections are served with.
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether a caller's certificate is revoked by now, whenever it was shown.
    pub fn revoked(&self, key_id: &str) -> bool {
        lock(&self.revocations).is_revoked(key_id)
    }

    /// Looks at the files; takes a new set that is whole, and gives what it newly revokes. What is wrong is logged once and changes
    /// nothing.
    pub fn look(&self) -> Vec<String> {
        let texts = match Texts::read(&self.files) {
            Ok(texts) => texts,
            Err(why) => {
                // In the middle of being moved into place, or gone: the one in force stays.
                tracing::debug!(why, "a TLS file cannot be read");
                return Vec::new();
            }
        };
        if lock(&self.reload).observe(texts.hash()) != ReloadAction::Load {
            return Vec::new();
        }
        let before = lock(&self.revocations).clone();
        match Server::make(
            &self.files,
            &texts.0,
            self.authorities,
            self.required,
            &before,
        ) {
            Ok(made) => {
                let news = made.revocations.newly_revoked(&before);
                *lock(&self.revocations) = made.revocations;
                *self.config.write().unwrap_or_else(PoisonError::into_inner) = made.config;
                lock(&self.reload).accepted();
                tracing::info!(revoked = news.len(), "new TLS files count");
                news
            }
            Err(why) => {
                lock(&self.reload).rejected();
                tracing::error!(why, "TLS files are not taken; the last good ones stay");
                Vec::new()
            }
        }
    }
}

/// The dialling side: whom it believes, and what it shows of itself.
pub struct Client {
    /// Authorities, then certificate and key where there are any.
    files: Vec<PathBuf>,
    config: RwLock<Arc<ClientConfig>>,
    reload: Mutex<ReloadTracker>,
}

impl Client {
    /// Reads all files, relative to a folder.
    ///
    /// # Errors
    /// As [`Server::load`].
    pub fn load(settings: &EnginesTls, base: &Path) -> Result<Client, String> {
        let own = settings.certificate.iter().chain(&settings.key);
        let files = std::iter::once(&settings.authorities)
            .chain(own)
            .map(|f| base.join(f))
            .collect();
        Client::from_files(files)
    }

    /// From an authorities' file, and a certificate with its key where there is one.
    ///
    /// # Errors
    /// As [`Server::load`].
    pub fn from_files(files: Vec<PathBuf>) -> Result<Client, String> {
        let texts = Texts::read(&files)?;
        let config = RwLock::new(Client::make(&files, &texts.0)?);
        Ok(Client {
            files,
            config,
            reload: Mutex::new(ReloadTracker::new(texts.hash())),
        })
    }

    fn make(files: &[PathBuf], texts: &[Vec<u8>]) -> Result<Arc<ClientConfig>, String> {
        let (roots, _) = roots(&files[0], &texts[0])?;
        let builder = ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(|e| e.to_string())?
            .with_root_certificates(roots);
        let mut config = match files.len() {
            1 => builder.with_no_client_auth(),
            _ => {
                let pair = pair(&files[1..], &texts[1..])?;
                builder
                    .with_client_cert_resolver(Arc::new(rustls::sign::SingleCertAndKey::from(pair)))
            }
        };
        config.resumption = rustls::client::Resumption::disabled();
        Ok(Arc::new(config))
    }

    /// What new connections are made with.
    pub fn config(&self) -> Arc<ClientConfig> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// As [`Server::look`].
    pub fn look(&self) {
        let Ok(texts) = Texts::read(&self.files) else {
            return;
        };
        if lock(&self.reload).observe(texts.hash()) != ReloadAction::Load {
            return;
        }
        match Client::make(&self.files, &texts.0) {
            Ok(config) => {
                *self.config.write().unwrap_or_else(PoisonError::into_inner) = config;
                lock(&self.reload).accepted();
                tracing::info!("new TLS files for host links count");
            }
            Err(why) => {
                lock(&self.reload).rejected();
                tracing::error!(
                    why,
                    "TLS files for host links are not taken; the last good ones stay"
                );
            }
        }
    }
}

/// Looks at the files again and again from a thread of its own, which ends with the process; tells the loop of certificates that
/// are revoked.
///
/// # Errors
/// Where the system gives no thread.
pub fn watch(
    server: Option<Arc<Server>>,
    client: Option<Arc<Client>>,
    to: Sender<Event>,
) -> io::Result<()> {
    if server.is_none() && client.is_none() {
        return Ok(());
    }
    let run = move || loop {
        std::thread::sleep(LOOK);
        let revoked = server.as_ref().map(|s| s.look()).unwrap_or_default();
        if !revoked.is_empty()
            && to
                .send(Event::Input(Input::CredentialsRevoked(revoked)))
                .is_err()
        {
            return;
        }
        if let Some(client) = &client {
            client.look();
        }
    };
    std::thread::Builder::new()
        .name("tls".into())
        .spawn(run)
        .map(|_| ())
}
