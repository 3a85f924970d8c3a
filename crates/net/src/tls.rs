//! TLS 1.3 for client connections and links to model servers: certificates, keys, trusted authorities and revocation lists
//! are read from files and reloaded while serving. Open connections keep the configuration they were opened with.
//!
//! TLS session resumption is disabled: a resumed session would skip the check of the client's certificate.

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
use crate::guard::unix_seconds;
use crate::lock;

/// Interval at which the files are checked for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Largest accepted certificate or key file, bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

/// The contents of a set of files, in the order of their paths.
struct FileContents(Vec<Vec<u8>>);

impl FileContents {
    fn read(files: &[PathBuf]) -> Result<FileContents, String> {
        let read = |path: &PathBuf| -> Result<Vec<u8>, String> {
            let shown = path.display();
            let max_bytes = MAX_FILE_BYTES.max(2 * MAX_LIST_BYTES as u64);
            let size = std::fs::metadata(path)
                .map_err(|e| format!("{shown}: {e}"))?
                .len();
            if size > max_bytes {
                return Err(format!("{shown}: {size} bytes, the limit is {max_bytes}"));
            }
            std::fs::read(path).map_err(|e| format!("{shown}: {e}"))
        };
        files
            .iter()
            .map(read)
            .collect::<Result<_, _>>()
            .map(FileContents)
    }

    /// Hash of all contents and their lengths, to detect changes.
    fn hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for text in &self.0 {
            hash.update(&(text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        hash.digest()
    }
}

/// Returns a function that formats an error with the path of its file.
fn with_path<E: std::fmt::Display>(path: &Path) -> impl Fn(E) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// Parses the PEM certificates of a file, of which there must be at least one.
fn parse_certificates(path: &Path, text: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let found = found.map_err(with_path(path))?;
    match found.is_empty() {
        true => Err(format!("{}: contains no certificate", path.display())),
        false => Ok(found),
    }
}

/// Parses the trusted authorities of a file; also returns their certificates (DER).
fn parse_authorities(path: &Path, text: &[u8]) -> Result<(RootCertStore, Vec<Vec<u8>>), String> {
    let mut roots = RootCertStore::empty();
    let mut ders = Vec::new();
    for der in parse_certificates(path, text)? {
        ders.push(der.as_ref().to_vec());
        roots.add(der).map_err(with_path(path))?;
    }
    Ok((roots, ders))
}

/// Parses a certificate chain (first file) and its private key (second file), and checks that they match.
fn parse_certified_key(
    files: &[PathBuf],
    contents: &[Vec<u8>],
) -> Result<Arc<CertifiedKey>, String> {
    let key = PrivateKeyDer::from_pem_slice(&contents[1]).map_err(with_path(&files[1]))?;
    let chain = parse_certificates(&files[0], &contents[0])?;
    let certified_key = CertifiedKey::from_der(chain, key, &provider());
    certified_key
        .map(Arc::new)
        .map_err(|e| format!("{} with {}: {e}", files[0].display(), files[1].display()))
}

/// Parses the PEM revocation lists of a file, of which there must be at least one; returns them as DER.
fn parse_revocation_lists(path: &Path, text: &[u8]) -> Result<Vec<Vec<u8>>, String> {
    let found: Result<Vec<_>, _> = CertificateRevocationListDer::pem_slice_iter(text).collect();
    let found = found.map_err(with_path(path))?;
    match found.is_empty() {
        true => Err(format!("{}: contains no revocation list", path.display())),
        false => Ok(found.into_iter().map(|l| l.as_ref().to_vec()).collect()),
    }
}

/// Serves the same certificate to every client, whatever server name it asks for.
#[derive(Debug)]
struct FixedCertificate(Arc<CertifiedKey>);

impl rustls::server::ResolvesServerCert for FixedCertificate {
    fn resolve(&self, _hello: rustls::server::ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }
}

/// The configuration and revocations that were built from the server's files.
struct LoadedServer {
    config: Arc<ServerConfig>,
    revocations: Revocations,
}

/// TLS configuration of the listening side: its own certificate, and the authorities and revocation lists for clients.
pub struct ServerTls {
    /// Paths of the certificate and the key, then of the client authorities and the revocation lists, if configured.
    files: Vec<PathBuf>,
    /// Whether client authorities are configured, so that client certificates are verified.
    verify_clients: bool,
    /// Whether a client must present a certificate.
    client_certificate_required: bool,
    config: RwLock<Arc<ServerConfig>>,
    revocations: Mutex<Revocations>,
    reload: Mutex<ReloadTracker>,
}

impl ServerTls {
    /// Loads all files; their paths are relative to `base`.
    ///
    /// # Errors
    /// The first error, with its file: a file that cannot be read or parsed, a key that does not match the certificate, or a
    /// revocation list that is not valid.
    pub fn load(settings: &ListenTls, base: &Path) -> Result<ServerTls, String> {
        let resolve = |file: &String| base.join(file);
        let mut files = vec![resolve(&settings.certificate), resolve(&settings.key)];
        files.extend(settings.client_authorities.iter().map(resolve));
        files.extend(settings.revocation_lists.iter().map(resolve));
        let contents = FileContents::read(&files)?;
        let (verify_clients, client_certificate_required) = (
            settings.client_authorities.is_some(),
            settings.client_certificate_required,
        );
        let loaded = ServerTls::build(
            &files,
            &contents.0,
            verify_clients,
            client_certificate_required,
            &Revocations::default(),
        )?;
        Ok(ServerTls {
            files,
            verify_clients,
            client_certificate_required,
            config: RwLock::new(loaded.config),
            revocations: Mutex::new(loaded.revocations),
            reload: Mutex::new(ReloadTracker::new(contents.hash())),
        })
    }

    fn build(
        files: &[PathBuf],
        contents: &[Vec<u8>],
        verify_clients: bool,
        client_certificate_required: bool,
        previous: &Revocations,
    ) -> Result<LoadedServer, String> {
        let certified_key = parse_certified_key(files, contents)?;
        let builder = ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(|e| e.to_string())?;
        let mut revocations = previous.clone();
        let builder = if verify_clients {
            let (roots, ders) = parse_authorities(&files[2], &contents[2])?;
            let mut revoked = Vec::new();
            for (path, text) in files.iter().zip(contents).skip(3) {
                revoked.extend(parse_revocation_lists(path, text)?);
            }
            let updated = previous.with_lists(&revoked, &ders, unix_seconds() as u64);
            revocations = updated.map_err(|e| e.to_string())?;
            let mut verifier =
                WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider())
                    .with_crls(revoked.into_iter().map(CertificateRevocationListDer::from))
                    .only_check_end_entity_revocation()
                    .allow_unknown_revocation_status();
            if !client_certificate_required {
                verifier = verifier.allow_unauthenticated();
            }
            builder.with_client_cert_verifier(verifier.build().map_err(with_path(&files[2]))?)
        } else {
            builder.with_no_client_auth()
        };
        let mut config = builder.with_cert_resolver(Arc::new(FixedCertificate(certified_key)));
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(LoadedServer {
            config: Arc::new(config),
            revocations,
        })
    }

    /// The configuration for new connections from clients.
    pub fn config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether the certificate with this key id is revoked now, even if it was valid when its connection was opened.
    pub fn is_revoked(&self, key_id: &str) -> bool {
        lock(&self.revocations).is_revoked(key_id)
    }

    /// Reloads the files if they have changed and returns the key ids of newly revoked certificates. Invalid files are
    /// logged once; the configuration in force stays.
    pub fn reload_if_changed(&self) -> Vec<String> {
        let contents = match FileContents::read(&self.files) {
            Ok(contents) => contents,
            Err(error) => {
                // The file may be missing only while it is replaced; the configuration in force stays.
                tracing::debug!(error, "a TLS file cannot be read; the files in force stay");
                return Vec::new();
            }
        };
        if lock(&self.reload).observe(contents.hash()) != ReloadAction::Load {
            return Vec::new();
        }
        let previous = lock(&self.revocations).clone();
        match ServerTls::build(
            &self.files,
            &contents.0,
            self.verify_clients,
            self.client_certificate_required,
            &previous,
        ) {
            Ok(loaded) => {
                let newly_revoked = loaded.revocations.newly_revoked(&previous);
                *lock(&self.revocations) = loaded.revocations;
                *self.config.write().unwrap_or_else(PoisonError::into_inner) = loaded.config;
                lock(&self.reload).accepted();
                tracing::info!(revoked = newly_revoked.len(), "new TLS files are in force");
                newly_revoked
            }
            Err(error) => {
                lock(&self.reload).rejected();
                tracing::error!(
                    error,
                    "the new TLS files are rejected; the last good files stay in force"
                );
                Vec::new()
            }
        }
    }
}

/// TLS configuration of links to model servers: the trusted authorities and the dispatcher's own certificate.
pub struct ClientTls {
    /// Paths of the authorities, then of the certificate and the key, if configured.
    files: Vec<PathBuf>,
    config: RwLock<Arc<ClientConfig>>,
    reload: Mutex<ReloadTracker>,
}

impl ClientTls {
    /// Loads all files; their paths are relative to `base`.
    ///
    /// # Errors
    /// As for [`ServerTls::load`].
    pub fn load(settings: &EnginesTls, base: &Path) -> Result<ClientTls, String> {
        let own = settings.certificate.iter().chain(&settings.key);
        let files = std::iter::once(&settings.authorities)
            .chain(own)
            .map(|f| base.join(f))
            .collect();
        ClientTls::from_files(files)
    }

    /// Loads a file of authorities and, if given, a certificate and its key, in this order.
    ///
    /// # Errors
    /// As for [`ServerTls::load`].
    pub fn from_files(files: Vec<PathBuf>) -> Result<ClientTls, String> {
        let contents = FileContents::read(&files)?;
        let config = RwLock::new(ClientTls::build(&files, &contents.0)?);
        Ok(ClientTls {
            files,
            config,
            reload: Mutex::new(ReloadTracker::new(contents.hash())),
        })
    }

    fn build(files: &[PathBuf], contents: &[Vec<u8>]) -> Result<Arc<ClientConfig>, String> {
        let (roots, _) = parse_authorities(&files[0], &contents[0])?;
        let builder = ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])
            .map_err(|e| e.to_string())?
            .with_root_certificates(roots);
        let mut config = match files.len() {
            1 => builder.with_no_client_auth(),
            _ => {
                let certified_key = parse_certified_key(&files[1..], &contents[1..])?;
                builder.with_client_cert_resolver(Arc::new(rustls::sign::SingleCertAndKey::from(
                    certified_key,
                )))
            }
        };
        config.resumption = rustls::client::Resumption::disabled();
        Ok(Arc::new(config))
    }

    /// The configuration for new connections to model servers.
    pub fn config(&self) -> Arc<ClientConfig> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reloads the files if they have changed. Invalid files are logged once; the configuration in force stays.
    pub fn reload_if_changed(&self) {
        let Ok(contents) = FileContents::read(&self.files) else {
            return;
        };
        if lock(&self.reload).observe(contents.hash()) != ReloadAction::Load {
            return;
        }
        match ClientTls::build(&self.files, &contents.0) {
            Ok(config) => {
                *self.config.write().unwrap_or_else(PoisonError::into_inner) = config;
                lock(&self.reload).accepted();
                tracing::info!("new TLS files for links to model servers are in force");
            }
            Err(error) => {
                lock(&self.reload).rejected();
                tracing::error!(
                    error,
                    "the new TLS files for links to model servers are rejected; the last good files stay in force"
                );
            }
        }
    }
}

/// Starts a thread that polls the files for changes and sends newly revoked certificates to the event loop, until the loop
/// has ended.
///
/// # Errors
/// If the thread cannot be started.
pub fn watch(
    server: Option<Arc<ServerTls>>,
    client: Option<Arc<ClientTls>>,
    events: Sender<Event>,
) -> io::Result<()> {
    if server.is_none() && client.is_none() {
        return Ok(());
    }
    let run = move || loop {
        std::thread::sleep(POLL_INTERVAL);
        let revoked = server
            .as_ref()
            .map(|s| s.reload_if_changed())
            .unwrap_or_default();
        if !revoked.is_empty()
            && events
                .send(Event::Input(Input::CredentialsRevoked(revoked)))
                .is_err()
        {
            return;
        }
        if let Some(client) = &client {
            client.reload_if_changed();
        }
    };
    std::thread::Builder::new()
        .name("tls".into())
        .spawn(run)
        .map(|_| ())
}
