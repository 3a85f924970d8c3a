//! A file with a ring of private signing keys, and the public key set (JWKS) made from it.
//!
//! A new key is published some time before it signs, so that every dispatcher has loaded it by then. The previous keys are
//! accepted for an overlap after that. Revoking a key invalidates it at once.

pub mod authority;

use std::path::Path;

use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// One signing key of a ring. It is private and must never be printed.
#[derive(Clone, Serialize, Deserialize)]
pub struct RingKey {
    pub id: String,
    /// Private key: PKCS#8, base64url-encoded.
    secret: String,
    /// Time from which the key signs, in seconds since the Unix epoch.
    pub not_before: u64,
    /// Time from which the key is no longer accepted, in seconds since the Unix epoch; `None` for a key without an end.
    #[serde(rename = "ends")]
    pub expires_at: Option<u64>,
    /// Time of revocation, in seconds since the Unix epoch.
    pub revoked_at: Option<u64>,
}

/// A ring of signing keys, in the order in which they were added.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Ring {
    pub keys: Vec<RingKey>,
}

/// Description of why an operation on keys or certificates failed.
pub type KeyError = String;

impl RingKey {
    fn key_pair(&self) -> Result<Ed25519KeyPair, KeyError> {
        let der = B64
            .decode(&self.secret)
            .map_err(|_| format!("key '{}' is damaged", self.id))?;
        Ed25519KeyPair::from_pkcs8(&der).map_err(|_| format!("key '{}' is damaged", self.id))
    }
}

impl Ring {
    /// Reads a ring file; a missing file is an empty ring.
    ///
    /// # Errors
    /// The file cannot be read or is not a ring.
    pub fn read(path: &Path) -> Result<Ring, KeyError> {
        let file_name = path.display();
        match std::fs::read_to_string(path) {
            Ok(text) => serde_json::from_str(&text).map_err(|e| format!("{file_name}: {e}")),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Ring::default()),
            Err(e) => Err(format!("{file_name}: {e}")),
        }
    }

    /// Writes the ring, readable only by its owner, and the public key set. Each file is replaced atomically.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn write(&self, path: &Path, public: &Path) -> Result<(), KeyError> {
        let text = serde_json::to_string_pretty(self).map_err(|e| e.to_string())?;
        write_atomically(path, &text, true)?;
        write_atomically(public, &self.public_key_set()?, false)
    }

    /// Adds a key that signs from `not_before` on (seconds since the Unix epoch) and returns its id.
    ///
    /// # Errors
    /// The system provides no random numbers.
    pub fn announce(&mut self, not_before: u64) -> Result<String, KeyError> {
        let rng = SystemRandom::new();
        let mut id = [0; 8];
        rng.fill(&mut id)
            .map_err(|_| "no random numbers from the system")?;
        let generated =
            Ed25519KeyPair::generate_pkcs8(&rng).map_err(|_| "cannot generate a key")?;
        let id = B64.encode(id);
        let secret = B64.encode(generated.as_ref());
        self.keys.push(RingKey {
            id: id.clone(),
            secret,
            not_before,
            expires_at: None,
            revoked_at: None,
        });
        Ok(id)
    }

    /// Adds a key that signs `notice_s` seconds from now; all keys without an end expire `overlap_s` seconds after that.
    ///
    /// # Errors
    /// As [`Ring::announce`].
    pub fn rotate(&mut self, now: u64, notice_s: u64, overlap_s: u64) -> Result<String, KeyError> {
        let signs_from = now + notice_s;
        for key in self.keys.iter_mut().filter(|k| k.expires_at.is_none()) {
            key.expires_at = Some(signs_from + overlap_s);
        }
        self.announce(signs_from)
    }

    /// Revokes a key: it is no longer accepted from `now` on.
    ///
    /// # Errors
    /// The ring has no key with this id.
    pub fn revoke(&mut self, id: &str, now: u64) -> Result<(), KeyError> {
        let key = self
            .keys
            .iter_mut()
            .find(|k| k.id == id)
            .ok_or(format!("no key has the id '{id}'"))?;
        key.revoked_at.get_or_insert(now);
        Ok(())
    }

    /// Returns the key that signs at a time: the newest valid one.
    pub fn signing_key(&self, now: u64) -> Option<&RingKey> {
        let is_valid = |k: &&RingKey| {
            k.not_before <= now && k.expires_at.is_none_or(|e| now < e) && k.revoked_at.is_none()
        };
        self.keys
            .iter()
            .filter(is_valid)
            .max_by_key(|k| k.not_before)
    }

    /// Returns the public key set as a JWKS document.
    ///
    /// # Errors
    /// A key is damaged.
    pub fn public_key_set(&self) -> Result<String, KeyError> {
        let mut keys = Vec::new();
        for key in &self.keys {
            let x = B64.encode(key.key_pair()?.public_key());
            let mut jwk = json!({ "kty": "OKP", "crv": "Ed25519", "use": "sig", "alg": "EdDSA", "kid": key.id, "x": x,
                "nbf": key.not_before });
            if let Some(expires_at) = key.expires_at {
                jwk["exp"] = expires_at.into();
            }
            if let Some(revoked_at) = key.revoked_at {
                jwk["revoked"] = json!({ "revoked_at": revoked_at });
            }
            keys.push(jwk);
        }
        Ok(format!("{:#}\n", json!({ "keys": keys })))
    }

    /// Signs a token (JWT) with the key that signs now.
    ///
    /// # Errors
    /// No key signs at this time, or the key is damaged.
    pub fn sign(&self, now: u64, claims: &serde_json::Value) -> Result<String, KeyError> {
        let key = self.signing_key(now).ok_or("no key signs now")?;
        Ring::sign_with(key, claims)
    }

    /// Signs a token (JWT) with a given key, whether it is valid or not.
    ///
    /// # Errors
    /// A key is damaged.
    pub fn sign_with(key: &RingKey, claims: &serde_json::Value) -> Result<String, KeyError> {
        let header = json!({ "alg": "EdDSA", "kid": key.id, "typ": "JWT" });
        let message = format!(
            "{}.{}",
            B64.encode(header.to_string()),
            B64.encode(claims.to_string())
        );
        let signature = key.key_pair()?.sign(message.as_bytes());
        Ok(format!("{message}.{}", B64.encode(signature)))
    }
}

/// Replaces a file atomically: writes `text` to a temporary file in the same directory and renames it. A private file is
/// readable only by its owner.
fn write_atomically(path: &Path, text: &str, private: bool) -> Result<(), KeyError> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let fail = |e: std::io::Error| format!("{}: {e}", path.display());
    let temporary = path.with_extension("new");
    let _ = std::fs::remove_file(&temporary);
    let mode = if private { 0o600 } else { 0o644 };
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&temporary)
        .map_err(fail)?;
    file.write_all(text.as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(fail)?;
    std::fs::rename(&temporary, path).map_err(fail)
}
