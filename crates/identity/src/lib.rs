//! Who calls, and what it may do.
//!
//! - [`token`]: one JWT checked against a key set, issuer, audience and a given clock (RFC 7519, RFC 8725).
//! - [`keys`]: key sets as JWKS documents (RFC 7517), with the times between which each key counts.
//! - [`keeper`]: when a key set is fetched, kept and given up.
//! - [`rights`]: what callers may do; the default is no.
//!
//! Nothing here opens a socket or a file or reads a clock.

pub mod keeper;
pub mod keys;
pub mod rights;
mod strict;
pub mod token;

use serde::{Deserialize, Serialize};

/// A caller whose proof has been checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The token's subject.
    pub subject: String,
    #[serde(default)]
    pub groups: Vec<String>,
    /// Id of the key that signed its token.
    pub key_id: String,
    /// The token's own id, for logs; never the token.
    pub token_id: Option<String>,
    /// Unix time at which the proof ends, seconds.
    pub ends: u64,
}
