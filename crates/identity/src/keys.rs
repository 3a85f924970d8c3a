//! Key sets: JWKS documents (RFC 7517) of Ed25519 and P-256 keys, each with the times between which it counts.
//!
//! The times are members `nbf`, `exp` and `revoked`, as OpenID Federation's historical keys name them; a key without
//! them counts while it is in the document. The algorithm is fixed by the key, never by a token.

use std::collections::BTreeMap;

use jsonwebtoken::jwk::Jwk;
use jsonwebtoken::{Algorithm, DecodingKey};
use serde::Deserialize;

use crate::strict;

/// Longest document, bytes, and most keys in one.
pub const DOCUMENT_BYTES: usize = 64 * 1024;
pub const KEYS_MOST: usize = 32;
/// Longest key id, bytes.
pub const KEY_ID_BYTES: usize = 128;

/// How a key stands at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// Known, but it does not count yet.
    Announced,
    /// The newest that counts: new tokens are signed with it.
    Signing,
    /// Counts, though a newer one signs.
    Accepted,
    /// Counts no more.
    Withdrawn,
}

/// One key.
#[derive(Clone)]
pub struct Key {
    pub(crate) verifies: DecodingKey,
    pub algorithm: Algorithm,
    /// Unix seconds from which, and up to which, it counts.
    pub not_before: u64,
    pub ends: u64,
    revoked: bool,
}

impl Key {
    /// Whether it counts at a time, with so many seconds between clocks allowed.
    pub fn counts(&self, now: u64, skew_s: u64) -> bool {
        !self.revoked
            && now.saturating_add(skew_s) >= self.not_before
            && now < self.ends.saturating_add(skew_s)
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:?} key from {} to {}",
            self.algorithm, self.not_before, self.ends
        )
    }
}

/// Why a document is not taken; the set before it stays.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("key set: {0}")]
pub struct BadKeySet(pub String);

#[derive(Deserialize)]
struct RawSet {
    keys: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct RawTimes {
    kid: Option<String>,
    nbf: Option<u64>,
    exp: Option<u64>,
    revoked: Option<serde_json::Value>,
    #[serde(rename = "use")]
    usage: Option<String>,
    d: Option<serde_json::Value>,
}

/// Keys by id.
#[derive(Clone, Debug, Default)]
pub struct KeySet {
    keys: BTreeMap<String, Key>,
}

impl KeySet {
    /// Reads a JWKS document. Keys of kinds not used here are passed over, as the RFC asks.
    ///
    /// # Errors
    /// A document that is too long, broken or without a usable key; one that holds a private key; and one that names a key
    /// id twice, as which of the two is meant would be the reader's choice.
    pub fn parse(document: &[u8]) -> Result<KeySet, BadKeySet> {
        let bad = |why: String| Err(BadKeySet(why));
        if document.len() > DOCUMENT_BYTES {
            return bad(format!(
                "{} bytes, more than {DOCUMENT_BYTES}",
                document.len()
            ));
        }
        strict::check(document).map_err(|e| BadKeySet(e.to_string()))?;
        let raw: RawSet = serde_json::from_slice(document).map_err(|e| BadKeySet(e.to_string()))?;
        if raw.keys.len() > KEYS_MOST {
            return bad(format!("{} keys, more than {KEYS_MOST}", raw.keys.len()));
        }
        let mut set = KeySet::default();
        for (i, value) in raw.keys.into_iter().enumerate() {
            let Some((id, key)) =
                read_key(value).map_err(|why| BadKeySet(format!("key {}: {why}", i + 1)))?
            else {
                continue;
            };
            if set.keys.contains_key(&id) {
                return bad(format!("two keys have the id '{id}'"));
            }
            set.keys.insert(id, key);
        }
        match set.keys.is_empty() {
            true => bad("no Ed25519 or P-256 key for signatures".to_string()),
            false => Ok(set),
        }
    }

    pub fn get(&self, id: &str) -> Option<&Key> {
        self.keys.get(id)
    }

    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.keys.keys().map(String::as_str)
    }

    /// Whether a key counts at a time.
    pub fn counts(&self, id: &str, now: u64, skew_s: u64) -> bool {
        self.keys.get(id).is_some_and(|k| k.counts(now, skew_s))
    }

    /// How a key stands; `None` for one that is not in the set.
    pub fn state(&self, id: &str, now: u64) -> Option<KeyState> {
        let key = self.keys.get(id)?;
        if key.revoked || now >= key.ends {
            return Some(KeyState::Withdrawn);
        }
        if now < key.not_before {
            return Some(KeyState::Announced);
        }
        let live = self.keys.iter().filter(|(_, k)| k.counts(now, 0));
        let newest = live.max_by(|a, b| (a.1.not_before, a.0).cmp(&(b.1.not_before, b.0)));
        Some(if newest.is_some_and(|n| n.0 == id) {
            KeyState::Signing
        } else {
            KeyState::Accepted
        })
    }
}

fn read_key(value: serde_json::Value) -> Result<Option<(String, Key)>, String> {
    let times: RawTimes = serde_json::from_value(value.clone()).map_err(|e| e.to_string())?;
    if times.d.is_some() {
        return Err("holds a private key; a key set must be public".to_string());
    }
    if times.usage.as_deref().is_some_and(|u| u != "sig") {
        return Ok(None);
    }
    let curve = value.get("crv").and_then(|c| c.as_str());
    let kind = value.get("kty").and_then(|k| k.as_str());
    let algorithm = match (kind, curve) {
        (Some("OKP"), Some("Ed25519")) => Algorithm::EdDSA,
        (Some("EC"), Some("P-256")) => Algorithm::ES256,
        _ => return Ok(None),
    };
    let id = times
        .kid
        .filter(|k| !k.is_empty() && k.len() <= KEY_ID_BYTES);
    let id = id.ok_or(format!("has no id of 1 to {KEY_ID_BYTES} bytes"))?;
    let jwk: Jwk = serde_json::from_value(value).map_err(|e| format!("'{id}': {e}"))?;
    let verifies = DecodingKey::from_jwk(&jwk).map_err(|e| format!("'{id}': {e}"))?;
    let (not_before, ends) = (times.nbf.unwrap_or(0), times.exp.unwrap_or(u64::MAX));
    if ends <= not_before {
        return Err(format!("'{id}' ends before it begins"));
    }
    Ok(Some((
        id,
        Key {
            verifies,
            algorithm,
            not_before,
            ends,
            revoked: times.revoked.is_some(),
        },
    )))
}
