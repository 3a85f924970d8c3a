//! Who calls, and what it may do.
//!
//! - [`token`]: one JWT checked against a key set, issuer, audience and a given clock (RFC 7519, RFC 8725).
//! - [`keys`]: key sets as JWKS documents (RFC 7517), with the times between which each key counts.
//! - [`keeper`]: when a key set is fetched, kept and given up.
//! - [`certificates`]: whose a client certificate is, and which are revoked.
//! - [`reload`]: when files that changed in service are taken.
//! - [`time`]: the time by which proofs are judged when the clock jumps.
//! - [`rights`]: what callers may do; the default is no.
//!
//! Nothing here opens a socket or a file or reads a clock.

pub mod certificates;
pub mod keeper;
pub mod keys;
pub mod reload;
pub mod rights;
mod strict;
pub mod time;
pub mod token;

use serde::{Deserialize, Serialize};

/// How subjects that come of certificates begin; no token may name one.
pub const CERTIFICATE_SUBJECT: &str = "cert:";

/// What a caller has shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proof {
    #[default]
    Token,
    Certificate,
}

/// A caller whose proof has been checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The token's subject, or the certificate's name behind [`CERTIFICATE_SUBJECT`].
    pub subject: String,
    #[serde(default)]
    pub groups: Vec<String>,
    /// Id of the key that signed its token, or of its certificate.
    pub key_id: String,
    /// The token's own id, for logs; never the token.
    pub token_id: Option<String>,
    /// Unix time at which the proof ends, seconds.
    pub ends: u64,
    #[serde(default)]
    pub proof: Proof,
}
