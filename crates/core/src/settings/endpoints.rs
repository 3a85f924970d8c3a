//! What a dispatcher connects to and listens at: clients, model servers, files, the quota server.

use serde::Deserialize;

use super::defaults;

/// The clients' side. Times in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// `address:port` to listen at.
    pub address: String,
    /// Most sessions open at once.
    #[serde(default = "defaults::sessions")]
    #[serde(rename = "sessions")]
    pub max_sessions: usize,
    /// Most requests in flight in one session.
    #[serde(default = "defaults::session_requests")]
    #[serde(rename = "session_requests")]
    pub max_session_requests: usize,
    /// Longest message of a client.
    #[serde(default = "defaults::message_bytes")]
    #[serde(rename = "message_bytes")]
    pub max_message_bytes: usize,
    /// Time limit of a handshake.
    #[serde(default = "defaults::handshake_s")]
    #[serde(rename = "handshake_s")]
    pub handshake_timeout_s: f64,
    /// A session without any message for so long is closed.
    #[serde(default = "defaults::idle_s")]
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// Interval between pings.
    #[serde(default = "defaults::ping_s")]
    #[serde(rename = "ping_s")]
    pub ping_interval_s: f64,
    /// Messages that may wait to be written to one client; past it the session is closed.
    #[serde(default = "defaults::client_queue")]
    #[serde(rename = "queue_messages")]
    pub max_queued_messages: usize,
    /// Most connections in their handshake; past it the oldest of the most crowded address is closed.
    #[serde(default = "defaults::handshakes")]
    #[serde(rename = "handshakes")]
    pub max_handshakes: usize,
    /// Without it clients connect in plain text.
    pub tls: Option<ListenTls>,
}

/// TLS for clients. Files are PEM, relative to the settings file, and taken anew while serving.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenTls {
    /// The dispatcher's own chain, and its key.
    pub certificate: String,
    /// The private key of the certificate.
    pub key: String,
    /// Authorities of clients' certificates.
    #[serde(rename = "clients")]
    pub client_authorities: Option<String>,
    /// Whether a client without a certificate is rejected in the handshake.
    #[serde(default)]
    #[serde(rename = "clients_required")]
    pub client_certificate_required: bool,
    /// Lists of revoked client certificates (CRL).
    #[serde(default)]
    #[serde(rename = "revoked")]
    pub revocation_lists: Vec<String>,
}

/// TLS for connections to model servers, each of which has to prove its listed name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginesTls {
    /// Authorities of the servers' certificates.
    pub authorities: String,
    /// The dispatcher's client certificate.
    pub certificate: Option<String>,
    /// Its private key.
    pub key: Option<String>,
}

/// The model servers' side. Times in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engines {
    /// Time limit to connect and upgrade.
    #[serde(rename = "connect_s")]
    pub connect_timeout_s: f64,
    /// Time limit from the upgrade to the greeting.
    #[serde(rename = "greet_s")]
    pub hello_timeout_s: f64,
    /// Longest message of a model server.
    #[serde(rename = "message_bytes")]
    pub max_message_bytes: usize,
    /// Messages that may wait to be written to one server; past it the link is closed.
    #[serde(rename = "queue_messages")]
    pub max_queued_messages: usize,
    /// Interval between pings.
    #[serde(rename = "ping_s")]
    pub ping_interval_s: f64,
    /// Without it connections are in plain text.
    pub tls: Option<EnginesTls>,
}

impl Default for Engines {
    fn default() -> Self {
        Engines {
            connect_timeout_s: 1.0,
            hello_timeout_s: 1.0,
            max_message_bytes: 1 << 20,
            max_queued_messages: 4096,
            ping_interval_s: 2.0,
            tls: None,
        }
    }
}

/// Where the list of model servers is read from.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// CSV or Ansible YAML; relative to the settings file.
    pub file: String,
    /// Seconds between two reads.
    #[serde(default = "defaults::reread_s")]
    #[serde(rename = "reread_s")]
    pub poll_interval_s: f64,
}

/// Authentication of callers: tokens, the keys that sign them, and access rights. Files are relative to the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Required issuer of tokens; not empty where `keys` is set.
    #[serde(default)]
    pub issuer: String,
    /// Required audience of tokens; not empty where `keys` is set.
    #[serde(default)]
    pub audience: String,
    /// Clock skew that is tolerated, seconds.
    #[serde(default = "defaults::skew_s")]
    #[serde(rename = "skew_s")]
    pub clock_skew_s: u64,
    /// A JWKS document: a file, or an `http://` address. Without one no token counts, client certificates alone do.
    pub keys: Option<String>,
    /// Where the last good key set is cached for a restart.
    #[serde(rename = "kept")]
    pub cache_file: Option<String>,
    /// File of the access rights.
    pub rights: String,
    /// Seconds between two fetches of the key set.
    #[serde(default = "defaults::refresh_s")]
    #[serde(rename = "refresh_s")]
    pub refresh_interval_s: f64,
    /// For how long the last good key set is valid, seconds.
    #[serde(default = "defaults::keep_s")]
    #[serde(rename = "keep_s")]
    pub cache_lifetime_s: f64,
}

/// The quota server that leases tenants' rates and receives charges.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaServer {
    /// Its `address:port`.
    pub address: String,
}

/// The journal of charges.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChargeJournal {
    /// A file of this dispatcher's own; relative to the settings file.
    pub file: String,
}

/// The record for replay.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordFile {
    /// Where inputs and outputs are recorded; written anew at each start.
    pub file: String,
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Longest time from SIGTERM to the end of the process, seconds.
    #[serde(rename = "within_s")]
    pub timeout_s: f64,
}

impl Default for Stop {
    fn default() -> Self {
        Stop { timeout_s: 30.0 }
    }
}
