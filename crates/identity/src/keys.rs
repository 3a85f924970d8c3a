//! Key sets: JWKS documents (RFC 7517) of Ed25519 and P-256 keys, each with a validity period.
//!
//! The validity is given by the members `nbf`, `exp` and `revoked`, named as in OpenID Federation's historical keys. A key
//! without them is valid while it is in the document. The algorithm is determined by the key, never by a token.

use std::collections::BTreeMap;

use jsonwebtoken::jwk::Jwk;
use jsonwebtoken::{Algorithm, DecodingKey};
use serde::Deserialize;

use crate::strict;

/// Maximum size of a JWKS document, bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;
/// Maximum number of keys in a JWKS document.
pub const MAX_KEYS: usize = 32;
/// Maximum length of a key id, bytes.
pub const MAX_KEY_ID_BYTES: usize = 128;

/// State of a key at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Published, but not valid yet.
    Announced,
    /// The newest valid key, with which new tokens are signed.
    Signing,
    /// Valid, but a newer key signs new tokens.
    Accepted,
    /// Expired or revoked.
    Withdrawn,
}

/// A public key that verifies tokens.
#[derive(Clone)]
pub struct Key {
    pub(crate) decoding_key: DecodingKey,
    /// The only signature algorithm that the key accepts.
    pub algorithm: Algorithm,
    /// Start of the validity period, Unix seconds.
    pub not_before: u64,
    /// End of the validity period, Unix seconds.
    pub expires_at: u64,
    revoked: bool,
}

impl Key {
    /// Whether the key is valid at `now` (Unix seconds), with a tolerance of `skew_s` seconds between clocks.
    pub fn is_valid(&self, now: u64, skew_s: u64) -> bool {
        !self.revoked
            && now.saturating_add(skew_s) >= self.not_before
            && now < self.expires_at.saturating_add(skew_s)
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:?} key from {} to {}",
            self.algorithm, self.not_before, self.expires_at
        )
    }
}

/// Why a JWKS document is rejected; the previous key set stays in effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("key set: {0}")]
pub struct InvalidKeySet(pub String);

#[derive(Deserialize)]
struct RawSet {
    keys: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawMembers {
    kid: Option<String>,
    nbf: Option<u64>,
    exp: Option<u64>,
    revoked: Option<serde_json::Value>,
    #[serde(rename = "use")]
    usage: Option<String>,
    d: Option<serde_json::Value>,
}

/// A set of public keys by key id.
#[derive(Clone, Debug, Default)]
pub struct KeySet {
    keys: BTreeMap<String, Key>,
}

impl KeySet {
    /// Parses a JWKS document. Keys of unsupported types are ignored, as RFC 7517 requires.
    ///
    /// # Errors
    /// A document that is too long, malformed or without a supported key, that contains a private key, or in which two
    /// keys have the same id, because the choice between them would be arbitrary.
    pub fn parse(document: &[u8]) -> Result<KeySet, InvalidKeySet> {
        let invalid = |cause: String| Err(InvalidKeySet(cause));
        if document.len() > MAX_DOCUMENT_BYTES {
            return invalid(format!(
                "{} bytes, more than {MAX_DOCUMENT_BYTES}",
                document.len()
            ));
        }
        strict::check(document).map_err(|e| InvalidKeySet(e.to_string()))?;
        let raw: RawSet =
            serde_json::from_slice(document).map_err(|e| InvalidKeySet(e.to_string()))?;
        if raw.keys.len() > MAX_KEYS {
            return invalid(format!("{} keys, more than {MAX_KEYS}", raw.keys.len()));
        }
        let mut set = KeySet::default();
        for (i, value) in raw.keys.into_iter().enumerate() {
            let Some((id, key)) = read_key(value)
                .map_err(|cause| InvalidKeySet(format!("key {}: {cause}", i + 1)))?
            else {
                continue;
            };
            if set.keys.contains_key(&id) {
                return invalid(format!("two keys have the id '{id}'"));
            }
            set.keys.insert(id, key);
        }
        match set.keys.is_empty() {
            true => invalid("no Ed25519 or P-256 key for signatures".to_string()),
            false => Ok(set),
        }
    }

    /// The key with this id.
    pub fn get(&self, id: &str) -> Option<&Key> {
        self.keys.get(id)
    }

    /// The ids of all keys.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.keys.keys().map(String::as_str)
    }

    /// Whether the key with this id is in the set and valid at `now` (Unix seconds), with a tolerance of `skew_s` seconds.
    pub fn is_valid(&self, id: &str, now: u64, skew_s: u64) -> bool {
        self.keys.get(id).is_some_and(|k| k.is_valid(now, skew_s))
    }

    /// State of the key with this id at `now`, Unix seconds; `None` if it is not in the set.
    pub fn state(&self, id: &str, now: u64) -> Option<KeyState> {
        let key = self.keys.get(id)?;
        if key.revoked || now >= key.expires_at {
            return Some(KeyState::Withdrawn);
        }
        if now < key.not_before {
            return Some(KeyState::Announced);
        }
        let valid = self.keys.iter().filter(|(_, k)| k.is_valid(now, 0));
        let newest = valid.max_by(|a, b| (a.1.not_before, a.0).cmp(&(b.1.not_before, b.0)));
        Some(if newest.is_some_and(|n| n.0 == id) {
            KeyState::Signing
        } else {
            KeyState::Accepted
        })
    }
}

fn read_key(value: serde_json::Value) -> Result<Option<(String, Key)>, String> {
    let members: RawMembers = serde_json::from_value(value.clone()).map_err(|e| e.to_string())?;
    if members.d.is_some() {
        return Err("holds a private key; a key set must be public".to_string());
    }
    if members.usage.as_deref().is_some_and(|u| u != "sig") {
        return Ok(None);
    }
    let curve = value.get("crv").and_then(|c| c.as_str());
    let kind = value.get("kty").and_then(|k| k.as_str());
    let algorithm = match (kind, curve) {
        (Some("OKP"), Some("Ed25519")) => Algorithm::EdDSA,
        (Some("EC"), Some("P-256")) => Algorithm::ES256,
        _ => return Ok(None),
    };
    let id = members
        .kid
        .filter(|k| !k.is_empty() && k.len() <= MAX_KEY_ID_BYTES);
    let id = id.ok_or(format!("has no id of 1 to {MAX_KEY_ID_BYTES} bytes"))?;
    let jwk: Jwk = serde_json::from_value(value).map_err(|e| format!("'{id}': {e}"))?;
    let decoding_key = DecodingKey::from_jwk(&jwk).map_err(|e| format!("'{id}': {e}"))?;
    let (not_before, expires_at) = (members.nbf.unwrap_or(0), members.exp.unwrap_or(u64::MAX));
    if expires_at <= not_before {
        return Err(format!("'{id}' expires before it becomes valid"));
    }
    Ok(Some((
        id,
        Key {
            decoding_key,
            algorithm,
            not_before,
            expires_at,
            revoked: members.revoked.is_some(),
        },
    )))
}
