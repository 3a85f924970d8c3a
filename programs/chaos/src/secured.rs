//! A day with TLS and callers that prove who they are: half by tokens, half by certificates; keys rotate and a certificate is revoked.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bitternlatch_keys::authority::{Authority, CertificateRequest};
use bitternlatch_keys::Ring;
use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_net::dial::DialOptions;
use bitternlatch_net::tls;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::client::{Came, Client};

/// When the script changes keys, seconds after the start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secure {
    pub rotate_at_s: f64,
    pub notice_s: u64,
    pub overlap_s: u64,
    pub revoke_at_s: f64,
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecuredFacts {
    pub rotations: usize,
    /// Tries to connect that were answered 401 though the proof was good.
    pub wrongly_refused: usize,
    /// Seconds from the revocation to the close of the session that was open by it; `None` = it was not closed.
    pub revoked_closed_s: Option<f64>,
    pub revoked_let_in_again: bool,
    /// Files that hold a token or a private key and should not.
    pub leaks: Vec<String>,
}

impl SecuredFacts {
    pub fn held(&self) -> bool {
        let closed = self.revoked_closed_s.is_some_and(|s| s < 5.0);
        self.wrongly_refused == 0 && closed && !self.revoked_let_in_again && self.leaks.is_empty()
    }
}

/// Everybody's keys in a day's folder.
pub struct Proofs {
    dir: PathBuf,
    ring: Mutex<Ring>,
    callers: Authority,
    /// By certificate, and by token alone.
    desk: DialOptions,
    bare: DialOptions,
    issued: Mutex<Vec<String>>,
    refused: AtomicUsize,
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proofs {
    /// Makes authorities, certificates of all hosts and dispatchers, a ring of keys and rights.
    ///
    /// # Errors
    /// Files that cannot be written.
    pub fn make(dir: &Path, hosts: &[&str], classes: &[&str]) -> Result<Proofs, String> {
        let dir = dir.join("keys");
        let _ = std::fs::remove_dir_all(&dir);
        let servers = Authority::create(&dir.join("servers"), "servers", now())?;
        let callers = Authority::create(&dir.join("callers"), "callers", now())?;
        let until = |w: CertificateRequest| CertificateRequest {
            not_before: now() - 60,
            not_after: now() + 3600,
            ..w
        };
        for name in hosts.iter().chain([&"dispatch"]) {
            let issued = servers.issue(&until(CertificateRequest {
                dns: vec![(*name).into()],
                ..CertificateRequest::default()
            }))?;
            Authority::write(&dir.join("servers"), name, &issued)?;
        }
        for name in ["desk", "leaver"] {
            let uri = Some(format!("urn:caller:{name}"));
            let issued = callers.issue(&until(CertificateRequest {
                uri,
                groups: vec!["desk".into()],
                ..CertificateRequest::default()
            }))?;
            Authority::write(&dir.join("callers"), name, &issued)?;
        }
        let rights = json!({ "rule": [{ "name": "desk", "groups": ["desk"], "tenant": "association",
            "classes": classes, "models": ["*"], "max_output_tokens": 4096 }] });
        let rights: toml::Table = serde_json::from_value(rights).map_err(|e| e.to_string())?;
        std::fs::write(dir.join("rights.toml"), rights.to_string()).map_err(|e| e.to_string())?;
        let mut ring = Ring::default();
        ring.announce(now() - 60)?;
        ring.write(&dir.join("ring.json"), &dir.join("jwks.json"))?;
        Ok(Proofs {
            desk: manner(&dir, Some("desk"))?,
            bare: manner(&dir, None)?,
            ring: Mutex::new(ring),
            callers,
            issued: Mutex::new(Vec::new()),
            refused: AtomicUsize::new(0),
            dir,
        })
    }

    /// Adds TLS and identity to dispatchers' settings.
    ///
    /// # Errors
    /// Settings without a `listen` table.
    pub fn settings(&self, table: &mut toml::Table) -> Result<(), String> {
        let place =
            |file: &str| std::path::absolute(self.dir.join(file)).map(|p| p.display().to_string());
        let place = |file: &str| place(file).map_err(|e| e.to_string());
        let own = json!({ "certificate": place("servers/dispatch.pem")?, "key": place("servers/dispatch.key")? });
        let (mut listen, mut links) = (own.clone(), own);
        listen["clients"] = place("callers/authority.pem")?.into();
        listen["revoked"] = json!([place("callers/revoked.pem")?]);
        links["authorities"] = place("servers/authority.pem")?.into();
        let identity = json!({ "issuer": "https://issuer", "audience": "bitternlatch", "keys": place("jwks.json")?,
            "rights": place("rights.toml")?, "refresh_s": 0.5 });
        let tenants = json!([{ "name": "association", "quota_rps": 100_000.0 }]);
        let toml = |v| serde_json::from_value::<toml::Value>(v).map_err(|e| e.to_string());
        let side = table
            .get_mut("listen")
            .and_then(|l| l.as_table_mut())
            .ok_or("settings without listen")?;
        side.insert("tls".into(), toml(listen)?);
        table.insert("engines".into(), toml(json!({ "tls": links }))?);
        table.insert("identity".into(), toml(identity)?);
        table.insert("tenants".into(), toml(tenants)?);
        Ok(())
    }

    /// Folder of the hosts' certificates.
    pub fn hosts(&self) -> PathBuf {
        self.dir.join("servers")
    }

    /// How a conversation's client calls: every other one by certificate, the rest by a token of their own.
    pub fn manner(&self, conversation: usize) -> DialOptions {
        if conversation.is_multiple_of(2) {
            return self.desk.clone();
        }
        let claims = json!({ "iss": "https://issuer", "aud": "bitternlatch", "sub": format!("c{conversation}"),
            "groups": ["desk"], "exp": now() + 120 });
        let token = lock(&self.ring).sign(now(), &claims).ok();
        lock(&self.issued).extend(token.clone());
        DialOptions {
            token,
            ..self.bare.clone()
        }
    }

    /// By certificate, for asking whether a dispatcher is ready.
    pub fn desk(&self) -> DialOptions {
        self.desk.clone()
    }

    /// A connection was refused; counted where the proof was at fault, as none here is.
    pub fn refused(&self, error: &std::io::Error) {
        if error.to_string().contains("401") {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Rotates the keys and revokes a certificate at their times, watched from a session that is open by it.
    pub fn play(&self, script: &Secure, address: &str, start: Instant) -> SecuredFacts {
        let wait = |at_s: f64| {
            std::thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(start.elapsed()));
        };
        let mut facts = SecuredFacts::default();
        wait(script.rotate_at_s);
        let rotated = {
            let mut ring = lock(&self.ring);
            let made = ring.rotate(now(), script.notice_s, script.overlap_s);
            made.and_then(|_| ring.write(&self.dir.join("ring.json"), &self.dir.join("jwks.json")))
        };
        facts.rotations = usize::from(rotated.is_ok());
        wait(script.revoke_at_s);
        let Ok(leaver) = manner(&self.dir, Some("leaver")) else {
            return facts;
        };
        let open = || Client::connect_as(address, "leaver", "d", Capture::none(), &leaver);
        let Ok(session) = open() else { return facts };
        let path = self.dir.join("callers/leaver.pem");
        let revoked = std::fs::read_to_string(path)
            .map_err(|e| e.to_string())
            .and_then(|text| self.callers.revoke(&text, now()));
        let began = Instant::now();
        if revoked.is_ok() {
            if let Came::Closed(why) = session.next(Duration::from_secs(10)) {
                facts.revoked_closed_s =
                    why.contains("4401").then(|| began.elapsed().as_secs_f64());
            }
        }
        facts.revoked_let_in_again = open().is_ok();
        facts
    }

    /// Fills in what is known at the day's end: refusals, and secrets found in logs, captures and records.
    ///
    /// # Errors
    /// Files that cannot be read.
    pub fn end(&self, facts: &mut SecuredFacts, dir: &Path) -> Result<(), String> {
        facts.wrongly_refused = self.refused.load(Ordering::Relaxed);
        let mut secrets: Vec<String> = lock(&self.issued)
            .iter()
            .filter_map(|t| t.rsplit('.').next())
            .map(str::to_string)
            .collect();
        secrets.push("PRIVATE KEY".to_string());
        for entry in std::fs::read_dir(dir).map_err(|e| e.to_string())? {
            let path = entry.map_err(|e| e.to_string())?.path();
            let text = match path.extension().and_then(|e| e.to_str()) {
                Some("rec") => {
                    let file = std::fs::File::open(&path).map_err(|e| e.to_string())?;
                    let recorded =
                        bitternlatch_core::record::read(file).map_err(|e| e.to_string())?;
                    serde_json::to_string(&recorded.entries).map_err(|e| e.to_string())?
                }
                Some("log" | "jsonl") => {
                    std::fs::read_to_string(&path).map_err(|e| e.to_string())?
                }
                _ => continue,
            };
            if secrets.iter().any(|s| text.contains(s.as_str())) {
                facts.leaks.push(path.display().to_string());
            }
        }
        Ok(())
    }
}

/// Believing the servers' authority, and with a caller's certificate where one is named.
fn manner(dir: &Path, own: Option<&str>) -> Result<DialOptions, String> {
    let mut files = vec![dir.join("servers/authority.pem")];
    if let Some(own) = own {
        files.extend(["pem", "key"].map(|kind| dir.join("callers").join(format!("{own}.{kind}"))));
    }
    let client = tls::ClientTls::from_files(files)?;
    Ok(DialOptions {
        token: None,
        tls: Some((client.config(), "dispatch".to_string())),
    })
}
