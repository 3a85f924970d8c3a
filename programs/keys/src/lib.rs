//! A ring of signing keys in a file, and the public JWKS document made from it.
//!
//! A key is announced before it signs, so that every dispatcher knows it by then; the old one is accepted for an overlap
//! after it. Withdrawing ends a key at once.

pub mod authority;

use std::path::Path;

use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// One key of a ring; private, never printed.
#[derive(Clone, Serialize, Deserialize)]
pub struct RingKey {
    pub id: String,
    /// PKCS#8 in base64.
    secret: String,
    /// Unix seconds.
    pub not_before: u64,
    pub ends: Option<u64>,
    pub revoked_at: Option<u64>,
}

/// Keys, oldest first.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Ring {
    pub keys: Vec<RingKey>,
}

/// Why something cannot be done with a ring.
pub type Fault = String;

impl RingKey {
    fn pair(&self) -> Result<Ed25519KeyPair, Fault> {
        let der = B64
            .decode(&self.secret)
            .map_err(|_| format!("key '{}' is damaged", self.id))?;
        Ed25519KeyPair::from_pkcs8(&der).map_err(|_| format!("key '{}' is damaged", self.id))
    }
}

impl Ring {
    /// Reads a ring file; one that is not there is an empty ring.
    ///
    /// # Errors
    /// A file that cannot be read or is no ring.
    pub fn read(path: &Path) -> Result<Ring, Fault> {
        let shown = path.display();
        match std::fs::read_to_string(path) {
            Ok(text) => serde_json::from_str(&text).map_err(|e| format!("{shown}: {e}")),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Ring::default()),
            Err(e) => Err(format!("{shown}: {e}")),
        }
    }

    /// Writes the ring, readable by its owner alone, and its public document beside it; each whole or not at all.
    ///
    /// # Errors
    /// Files that cannot be written.
    pub fn write(&self, path: &Path, public: &Path) -> Result<(), Fault> {
        let text = serde_json::to_string_pretty(self).map_err(|e| e.to_string())?;
        put(path, &text, true)?;
        put(public, &self.document()?, false)
    }

    /// Adds a key that signs from a time on.
    ///
    /// # Errors
    /// Where the system gives no randomness.
    pub fn announce(&mut self, not_before: u64) -> Result<String, Fault> {
        let rng = SystemRandom::new();
        let mut id = [0; 8];
        rng.fill(&mut id).map_err(|_| "no randomness")?;
        let made = Ed25519KeyPair::generate_pkcs8(&rng).map_err(|_| "no key could be made")?;
        let id = B64.encode(id);
        let secret = B64.encode(made.as_ref());
        self.keys.push(RingKey {
            id: id.clone(),
            secret,
            not_before,
            ends: None,
            revoked_at: None,
        });
        Ok(id)
    }

    /// Adds a key that signs after `notice_s`, and ends the keys before it an `overlap_s` later.
    ///
    /// # Errors
    /// As [`Ring::announce`].
    pub fn rotate(&mut self, now: u64, notice_s: u64, overlap_s: u64) -> Result<String, Fault> {
        let change = now + notice_s;
        for key in self.keys.iter_mut().filter(|k| k.ends.is_none()) {
            key.ends = Some(change + overlap_s);
        }
        self.announce(change)
    }

    /// Ends a key at once.
    ///
    /// # Errors
    /// A key that is not in the ring.
    pub fn withdraw(&mut self, id: &str, now: u64) -> Result<(), Fault> {
        let key = self
            .keys
            .iter_mut()
            .find(|k| k.id == id)
            .ok_or(format!("no key has the id '{id}'"))?;
        key.revoked_at.get_or_insert(now);
        Ok(())
    }

    /// The key that signs at a time: the newest that counts.
    pub fn signing(&self, now: u64) -> Option<&RingKey> {
        let live = |k: &&RingKey| {
            k.not_before <= now && k.ends.is_none_or(|e| now < e) && k.revoked_at.is_none()
        };
        self.keys.iter().filter(live).max_by_key(|k| k.not_before)
    }

    /// The public JWKS document.
    ///
    /// # Errors
    /// A damaged key.
    pub fn document(&self) -> Result<String, Fault> {
        let mut keys = Vec::new();
        for key in &self.keys {
            let x = B64.encode(key.pair()?.public_key());
            let mut one = json!({ "kty": "OKP", "crv": "Ed25519", "use": "sig", "alg": "EdDSA", "kid": key.id, "x": x,
                "nbf": key.not_before });
            if let Some(ends) = key.ends {
                one["exp"] = ends.into();
            }
            if let Some(at) = key.revoked_at {
                one["revoked"] = json!({ "revoked_at": at });
            }
            keys.push(one);
        }
        Ok(format!("{:#}\n", json!({ "keys": keys })))
    }

    /// A token of the signing key over these claims.
    ///
    /// # Errors
    /// No key signs at the time, or it is damaged.
    pub fn sign(&self, now: u64, claims: &serde_json::Value) -> Result<String, Fault> {
        let key = self.signing(now).ok_or("no key signs now")?;
        Ring::sign_with(key, claims)
    }

    /// A token of a given key, whether it counts or not.
    ///
    /// # Errors
    /// A damaged key.
    pub fn sign_with(key: &RingKey, claims: &serde_json::Value) -> Result<String, Fault> {
        let header = json!({ "alg": "EdDSA", "kid": key.id, "typ": "JWT" });
        let message = format!(
            "{}.{}",
            B64.encode(header.to_string()),
            B64.encode(claims.to_string())
        );
        let signature = key.pair()?.sign(message.as_bytes());
        Ok(format!("{message}.{}", B64.encode(signature)))
    }
}

fn put(path: &Path, text: &str, private: bool) -> Result<(), Fault> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let fail = |e: std::io::Error| format!("{}: {e}", path.display());
    let beside = path.with_extension("new");
    let _ = std::fs::remove_file(&beside);
    let mode = if private { 0o600 } else { 0o644 };
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&beside)
        .map_err(fail)?;
    file.write_all(text.as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(fail)?;
    std::fs::rename(&beside, path).map_err(fail)
}
