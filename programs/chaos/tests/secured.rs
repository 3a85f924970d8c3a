//! TLS on both sides and callers known by certificates: revoked and renewed while serving, damaged files, stalled handshakes.
mod common;

use std::io::Read;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_keys::authority::{Authority, CertificateRequest};
use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_net::dial::DialOptions;
use bitternlatch_net::tls;
use common::{closed, create, error_code, folder, log_of, now, rig_with, wait_for, Rig, FOUR};
use serde_json::json;

const RIGHTS: &str = r#"
[[rule]]
name = "directors"
groups = ["directors"]
tenant = "association"
classes = ["slot-query", "season-booking"]
models = ["*"]
max_output_tokens = 2000
[[rule]]
name = "secretary"
subjects = ["cert:uri:urn:caller:secretary"]
tenant = "association"
classes = ["slot-query"]
models = ["*"]
max_output_tokens = 800
"#;

fn server(names: &[&str]) -> CertificateRequest {
    let dns = names.iter().map(|n| (*n).to_string()).collect();
    CertificateRequest {
        dns,
        not_before: now() - 60,
        not_after: now() + 600,
        ..CertificateRequest::default()
    }
}

fn person(name: &str, group: Option<&str>) -> CertificateRequest {
    let uri = Some(format!("urn:caller:{name}"));
    let groups = group.map(str::to_string).into_iter().collect();
    CertificateRequest {
        uri,
        groups,
        not_before: now() - 60,
        not_after: now() + 600,
        ..CertificateRequest::default()
    }
}

struct Secured {
    rig: Rig,
    dir: PathBuf,
    callers: Authority,
}

impl Secured {
    /// One dispatcher and four hosts with an authority for servers and one for callers; `listen` adds to the listening side's
    /// settings.
    fn start(name: &str, listen: &serde_json::Value) -> Secured {
        let dir = folder(name);
        let servers =
            Authority::create(&dir.join("servers"), "servers", now()).expect("an authority");
        let callers =
            Authority::create(&dir.join("callers"), "callers", now()).expect("an authority");
        for name in ["reader-1", "reader-2", "writer-1", "writer-2", "dispatch"] {
            let issued = servers.issue(&server(&[name])).expect("a certificate");
            Authority::write(&dir.join("servers"), name, &issued).expect("files");
        }
        std::fs::write(dir.join("rights.toml"), RIGHTS).expect("the rights");
        let place = |file: &str| dir.join(file).display().to_string();
        let (certificate, key) = (place("servers/dispatch.pem"), place("servers/dispatch.key"));
        let mut tls = json!({ "certificate": certificate, "key": key, "clients": place("callers/authority.pem"),
            "revoked": [place("callers/revoked.pem")] });
        for (name, value) in listen.as_object().expect("an object") {
            tls[name] = value.clone();
        }
        let links = json!({ "tls": { "authorities": place("servers/authority.pem"), "certificate": certificate,
            "key": key } });
        let identity = json!({ "rights": place("rights.toml") });
        let probe = callers
            .issue(&person("probe", None))
            .expect("a certificate");
        Authority::write(&dir.join("callers"), "probe", &probe).expect("files");
        let manner = Secured::manner(&dir, Some("probe"));
        let rig = rig_with(
            &format!("{name}-run"),
            FOUR,
            1,
            Some((dir.join("servers"), manner)),
            |settings| {
                let table = |v: &serde_json::Value| -> toml::Value {
                    serde_json::from_value::<toml::Table>(v.clone())
                        .expect("a table")
                        .into()
                };
                let side = settings
                    .get_mut("listen")
                    .and_then(|l| l.as_table_mut())
                    .expect("a table");
                side.insert("tls".into(), table(&tls));
                side.insert("handshakes".into(), 64.into());
                // Longer than any of these tests on a loaded machine.
                side.insert("handshake_s".into(), 60.0.into());
                settings.insert("engines".into(), table(&links));
                settings.insert("identity".into(), table(&identity));
                let tenants = json!([{ "name": "association", "quota_rps": 1000.0 }]);
                let tenants: toml::Value = serde_json::from_value(tenants).expect("a list");
                settings.insert("tenants".into(), tenants);
            },
        );
        Secured { rig, dir, callers }
    }

    /// How a client calls: believing the servers' authority, and with a certificate of its own where one is named.
    fn manner(dir: &Path, own: Option<&str>) -> DialOptions {
        let mut files = vec![dir.join("servers/authority.pem")];
        if let Some(own) = own {
            files.extend(
                [format!("{own}.pem"), format!("{own}.key")].map(|f| dir.join("callers").join(f)),
            );
        }
        let client = tls::ClientTls::from_files(files).expect("a configuration");
        DialOptions {
            token: None,
            tls: Some((client.config(), "dispatch".to_string())),
        }
    }

    /// Certifies a caller and gives its manner.
    fn certify(&self, name: &str, wanted: &CertificateRequest) -> DialOptions {
        let issued = self.callers.issue(wanted).expect("a certificate");
        Authority::write(&self.dir.join("callers"), name, &issued).expect("files");
        Secured::manner(&self.dir, Some(name))
    }

    fn revoke(&self, name: &str) {
        let path = self.dir.join("callers").join(format!("{name}.pem"));
        let text = std::fs::read_to_string(path).expect("a certificate");
        self.callers.revoke(&text, now()).expect("revoked");
    }

    fn open(&self, manner: &DialOptions) -> Result<Client, String> {
        let address = &self.rig.dispatchers[0].address;
        Client::connect_as(address, "t", "d", Capture::none(), manner).map_err(|e| e.to_string())
    }

    fn logged(&self, what: &str) {
        wait_for(what, || log_of(&self.rig).contains(what));
    }
}

fn ask(client: &Client, class: &str, key: &str) -> String {
    client.say(&create(class, key, "words [len=3]"));
    error_code(client)
}

#[test]
fn a_certificate_says_who_calls_and_its_revocation_ends_the_session_after_its_answer() {
    let s = Secured::start("certificates", &json!({}));
    let director = s.certify("dee", &person("dee", Some("directors")));
    let secretary = s.certify("secretary", &person("secretary", None));
    let stranger = s.certify("eve", &person("eve", None));
    let nameless = s.certify("nameless", &server(&["a.example.org", "b.example.org"]));

    let dee = s.open(&director).expect("let in");
    assert_eq!(ask(&dee, "season-booking", "k1"), "response.completed");
    let clerk = s.open(&secretary).expect("let in");
    assert_eq!(ask(&clerk, "slot-query", "k1"), "response.completed");
    assert_eq!(ask(&clerk, "season-booking", "k2"), "class_not_allowed");
    assert_eq!(
        ask(&s.open(&stranger).expect("proven"), "slot-query", "k1"),
        "caller_unknown"
    );
    let refused = s.open(&nameless).err().expect("two names");
    assert!(refused.contains("401"), "{refused}");
    s.logged("certificate_name");
    let refused = s
        .open(&Secured::manner(&s.dir, None))
        .err()
        .expect("no proof at all");
    assert!(refused.contains("401"), "{refused}");

    // Revoked while a booking runs: the booking ends as it would, nothing new is taken, the session says why.
    dee.say(&create("season-booking", "k3", "the season [len=90]"));
    s.rig.until("the booking at a writer", |l| {
        l.dir == "in"
            && l.text.contains("the season")
            && l.text.contains("\"do_remote_prefill\":true")
    });
    s.revoke("dee");
    s.logged("1 sessions end: their proof is withdrawn");
    dee.say(&create("slot-query", "k4", "words"));
    let (mut codes, mut kinds) = (Vec::new(), Vec::new());
    let why = loop {
        match dee.next(Duration::from_secs(20)) {
            Came::Event(e) if e.kind == "error" => {
                codes.push(e.error.expect("one")["code"].to_string())
            }
            Came::Event(e) => kinds.push(e.kind),
            Came::Closed(why) => break why,
            Came::Silence => panic!("it is not closed"),
        }
    };
    assert_eq!(codes, ["\"certificate_revoked\""]);
    assert_eq!(
        kinds.last().map(String::as_str),
        Some("response.completed"),
        "the booking has its answer"
    );
    assert!(why.contains("4401"), "{why}");
    assert!(s.open(&director).is_err(), "nor is it let in again");
    assert_eq!(
        ask(&clerk, "slot-query", "k5"),
        "response.completed",
        "others go on"
    );
    s.rig.end();
}

#[test]
fn a_new_certificate_counts_without_a_restart_and_a_damaged_one_changes_nothing() {
    let s = Secured::start("reload", &json!({}));
    let before = s
        .open(&s.certify("dee", &person("dee", Some("directors"))))
        .expect("let in");
    let manner = Secured::manner(&s.dir, Some("dee"));
    let servers = Authority::open(&s.dir.join("servers")).expect("the authority");
    let path = s.dir.join("servers/dispatch.pem");
    let good = std::fs::read_to_string(&path).expect("it");

    // Half written, and a certificate without its key: refused whole, each logged.
    std::fs::write(&path, &good[..good.len() / 2]).expect("half a file");
    s.logged("the new TLS files are rejected");
    assert_eq!(
        ask(
            &s.open(&manner).expect("by the last good one"),
            "slot-query",
            "k1"
        ),
        "response.completed"
    );
    let other = servers
        .issue(&server(&["dispatch"]))
        .expect("a certificate");
    std::fs::write(&path, &other.certificate).expect("a file");
    s.logged("dispatch.key");
    s.open(&manner).expect("by the last good one");

    // With its key it counts: a name that only the new one proves is proven.
    let renewed = servers
        .issue(&server(&["dispatch", "renewed.example.org"]))
        .expect("a certificate");
    Authority::write(&s.dir.join("servers"), "dispatch", &renewed).expect("files");
    s.logged("new TLS files are in force");
    let Some((config, _)) = manner.tls.clone() else {
        panic!("a manner with TLS")
    };
    let by_name = DialOptions {
        token: None,
        tls: Some((config, "renewed.example.org".to_string())),
    };
    s.open(&by_name).expect("the new certificate");
    assert_eq!(
        ask(&before, "slot-query", "k2"),
        "response.completed",
        "the open session goes on"
    );
    s.rig.end();
}

#[test]
fn hosts_must_prove_their_listed_names_and_dispatchers_theirs() {
    let s = Secured::start("hosts", &json!({ "clients_required": true }));
    let dee = s
        .open(&s.certify("dee", &person("dee", Some("directors"))))
        .expect("let in");
    assert_eq!(ask(&dee, "slot-query", "k1"), "response.completed");
    assert!(
        s.open(&Secured::manner(&s.dir, None)).is_err(),
        "no certificate, no handshake"
    );
    // A caller's certificate opens no host, and another host's name is not this one's.
    let address = s.rig.standins().addresses()["reader-1"].to_string();
    let as_caller = Secured::manner(&s.dir, Some("dee"));
    assert!(Client::connect_as(&address, "t", "d", Capture::none(), &as_caller).is_err());
    // Plain bytes on a secured port are turned away, and so is TLS of another authority.
    let mut plain = TcpStream::connect(&s.rig.dispatchers[0].address).expect("a connection");
    std::io::Write::write_all(&mut plain, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
    plain
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let mut answer = Vec::new();
    let _ = plain.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP"), "{answer:?}");
    s.logged("TLS handshake with a client failed");
    s.rig.end();
}

#[test]
fn a_thousand_stalled_handshakes_leave_room_for_the_rest() {
    let s = Secured::start("stalled", &json!({}));
    let manner = Arc::new(s.certify("dee", &person("dee", Some("directors"))));
    let before = s.open(&manner).expect("let in");
    let address = s.rig.dispatchers[0].address.clone();
    let mut stalled: Vec<TcpStream> = Vec::new();
    for _ in 0..1000 {
        stalled.push(TcpStream::connect(&address).expect("a connection"));
    }
    let start = Instant::now();
    let fresh = s.open(&manner).expect("let in beside them");
    assert_eq!(ask(&fresh, "slot-query", "k1"), "response.completed");
    assert_eq!(ask(&before, "slot-query", "k2"), "response.completed");
    assert!(
        start.elapsed() < Duration::from_secs(40),
        "{:?}: before any handshake's time is over",
        start.elapsed()
    );
    s.logged("a handshake was aborted");
    // All but the bound (64) have been cut by now: the first are at their end.
    stalled[0]
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let mut byte = [0; 1];
    assert!(matches!(stalled[0].read(&mut byte), Ok(0) | Err(_)));
    drop(stalled);
    s.rig.end();
}

#[test]
fn a_certificate_that_ends_closes_its_session() {
    let s = Secured::start("ends", &json!({}));
    let soon = CertificateRequest {
        not_after: now() + 6,
        ..person("dee", Some("directors"))
    };
    let dee = s.open(&s.certify("dee", &soon)).expect("let in");
    assert_eq!(ask(&dee, "slot-query", "k1"), "response.completed");
    let why = closed(&dee);
    assert!(why.contains("4401"), "{why}");
    s.rig.end();
}
