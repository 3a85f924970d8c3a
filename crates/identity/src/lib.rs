//! Authentication and authorization of callers.
//!
//! - [`token`]: verifies a JWT against a key set, issuer, audience and time (RFC 7519, RFC 8725).
//! - [`keys`]: key sets as JWKS documents (RFC 7517), with the validity period of each key.
//! - [`keeper`]: when a key set is fetched, how long it is cached and when it is discarded.
//! - [`certificates`]: the caller that a client certificate names, and certificate revocation lists.
//! - [`reload`]: when files that change while the process runs are reloaded.
//! - [`time`]: the time at which credentials are evaluated when the wall clock jumps.
//! - [`rights`]: access rights of callers; what is not allowed is denied.
//!
//! The crate performs no I/O and reads no clock; the caller passes the time in.

pub mod certificates;
pub mod keeper;
pub mod keys;
pub mod reload;
pub mod rights;
mod strict;
pub mod time;
pub mod token;

use serde::{Deserialize, Serialize};

/// Prefix of subjects that are taken from certificates. A token whose subject starts with it is rejected.
pub const CERTIFICATE_SUBJECT: &str = "cert:";

/// The kind of credential that a caller presented.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credential {
    /// A JWT.
    #[default]
    Token,
    /// A TLS client certificate.
    Certificate,
}

/// A caller whose credential has been verified.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The token's subject, or the certificate's name prefixed with [`CERTIFICATE_SUBJECT`].
    pub subject: String,
    /// Groups that the caller belongs to, from the token or the certificate.
    #[serde(default)]
    pub groups: Vec<String>,
    /// Id of the key that signed the token, or id of the certificate.
    pub key_id: String,
    /// The token's `jti` claim, for logs, which never contain the token.
    pub token_id: Option<String>,
    /// When the credential expires, Unix seconds.
    #[serde(rename = "ends")]
    pub expires_at: u64,
    /// The kind of credential.
    #[serde(default, rename = "proof")]
    pub credential: Credential,
}
