//! Settings of connections and files: client sessions, model servers, the server list, authentication, the quota server,
//! charges, the record and shutdown.

use serde::Deserialize;

use super::defaults;

/// Limits of client sessions. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// `address:port` at which clients connect.
    pub address: String,
    /// Limit on open sessions.
    #[serde(default = "defaults::sessions")]
    #[serde(rename = "sessions")]
    pub max_sessions: usize,
    /// Limit on requests in flight in one session.
    #[serde(default = "defaults::session_requests")]
    #[serde(rename = "session_requests")]
    pub max_session_requests: usize,
    /// Limit on the size of one client message, bytes.
    #[serde(default = "defaults::message_bytes")]
    #[serde(rename = "message_bytes")]
    pub max_message_bytes: usize,
    /// Time limit of the TLS and WebSocket handshakes of a new connection, seconds.
    #[serde(default = "defaults::handshake_s")]
    #[serde(rename = "handshake_s")]
    pub handshake_timeout_s: f64,
    /// A session that receives no message for this many seconds is closed.
    #[serde(default = "defaults::idle_s")]
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// Interval between pings to a client, seconds.
    #[serde(default = "defaults::ping_s")]
    #[serde(rename = "ping_s")]
    pub ping_interval_s: f64,
    /// Limit on messages queued to one client; a session that exceeds it is closed.
    #[serde(default = "defaults::client_queue")]
    #[serde(rename = "queue_messages")]
    pub max_queued_messages: usize,
    /// Limit on connections in their handshake. Past it, the oldest connection of the address that has the most of them is
    /// closed.
    #[serde(default = "defaults::handshakes")]
    #[serde(rename = "handshakes")]
    pub max_handshakes: usize,
    /// TLS for clients; without it they connect in plain text.
    pub tls: Option<ListenTls>,
}

/// TLS for clients. Files are PEM; their paths are relative to the settings file, and changed files are reloaded while
/// serving.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenTls {
    /// File of the dispatcher's certificate chain.
    pub certificate: String,
    /// File of the private key of the certificate.
    pub key: String,
    /// File of the authorities that issue client certificates; without it client certificates are not accepted.
    #[serde(rename = "clients")]
    pub client_authorities: Option<String>,
    /// Whether a client without a certificate is rejected in the handshake.
    #[serde(default)]
    #[serde(rename = "clients_required")]
    pub client_certificate_required: bool,
    /// Files of certificate revocation lists (CRL) for client certificates.
    #[serde(default)]
    #[serde(rename = "revoked")]
    pub revocation_lists: Vec<String>,
}

/// TLS for connections to model servers; the certificate of each server has to match its name in the server list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginesTls {
    /// File of the authorities that issue the certificates of model servers.
    pub authorities: String,
    /// File of the dispatcher's client certificate; set together with `key`.
    pub certificate: Option<String>,
    /// File of the private key of the client certificate.
    pub key: Option<String>,
}

/// Limits of connections to model servers. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engines {
    /// Time limit to connect and complete the WebSocket upgrade, seconds.
    #[serde(rename = "connect_s")]
    pub connect_timeout_s: f64,
    /// Time limit from the upgrade to the hello message of the server, seconds.
    #[serde(rename = "greet_s")]
    pub hello_timeout_s: f64,
    /// Limit on the size of one message of a model server, bytes.
    #[serde(rename = "message_bytes")]
    pub max_message_bytes: usize,
    /// Limit on messages queued to one server; a link that exceeds it is closed.
    #[serde(rename = "queue_messages")]
    pub max_queued_messages: usize,
    /// Interval between pings to a model server, seconds.
    #[serde(rename = "ping_s")]
    pub ping_interval_s: f64,
    /// TLS for model servers; without it connections are in plain text.
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
    /// File of the server list, CSV or Ansible YAML; the path is relative to the settings file.
    pub file: String,
    /// Interval between two reads of the file, seconds.
    #[serde(default = "defaults::reread_s")]
    #[serde(rename = "reread_s")]
    pub poll_interval_s: f64,
}

/// Authentication of callers: tokens, the key set that verifies them, and access rights. Paths are relative to the settings
/// file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Issuer that a token has to name; required where `keys` is set.
    #[serde(default)]
    pub issuer: String,
    /// Audience that a token has to name; required where `keys` is set.
    #[serde(default)]
    pub audience: String,
    /// Tolerated difference between the clocks of the token issuer and the dispatcher, seconds.
    #[serde(default = "defaults::skew_s")]
    #[serde(rename = "skew_s")]
    pub clock_skew_s: u64,
    /// Key set (JWKS document) that verifies tokens: a file or an `http://` URL. Without it no token is accepted, and
    /// callers authenticate by client certificates only.
    pub keys: Option<String>,
    /// File that caches the last valid key set for a restart.
    #[serde(rename = "kept")]
    pub cache_file: Option<String>,
    /// File of the access rights.
    pub rights: String,
    /// Interval between two fetches of the key set, seconds.
    #[serde(default = "defaults::refresh_s")]
    #[serde(rename = "refresh_s")]
    pub refresh_interval_s: f64,
    /// How long the last valid key set may be used when it cannot be fetched again, seconds.
    #[serde(default = "defaults::keep_s")]
    #[serde(rename = "keep_s")]
    pub cache_lifetime_s: f64,
}

/// The quota server that leases tenants' rates and receives charges.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaServer {
    /// `address:port` of the quota server.
    pub address: String,
}

/// The journal of charges to tenants.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChargeJournal {
    /// File of the journal, used by this dispatcher only; the path is relative to the settings file.
    pub file: String,
}

/// The record of inputs and outputs for replay.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordFile {
    /// File of the record; overwritten at each start.
    pub file: String,
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time limit from SIGTERM to the end of the process, seconds.
    #[serde(rename = "within_s")]
    pub timeout_s: f64,
}

impl Default for Stop {
    fn default() -> Self {
        Stop { timeout_s: 30.0 }
    }
}
