//! Callers over real sockets: who is let in, what each may do, keys that change and are withdrawn in service.
mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_keys::Ring;
use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_net::dial::DialOptions;
use common::{closed, create, error_code, log_of, now, rig, to_the_end, wait_for, Rig, FOUR};
use serde_json::{json, Value};

const RIGHTS: &str = include_str!("../../../deploy/rights.toml");

fn claims(subject: &str, group: &str, for_s: u64) -> Value {
    json!({ "iss": "https://issuer", "aud": "bitternlatch", "sub": subject, "groups": [group], "exp": now() + for_s })
}

/// Files of keys and rights beside the settings of a rig that asks callers who they are.
fn guarded(name: &str, dispatchers: usize, ring: &Ring, keys: &str) -> Rig {
    let dir = common::folder(name);
    ring.write(&dir.join("ring.json"), &dir.join("jwks.json"))
        .expect("the keys");
    std::fs::write(dir.join("rights.toml"), RIGHTS).expect("the rights");
    let kept = dir.join("kept.json").display().to_string();
    let place = |file: &str| dir.join(file).display().to_string();
    let (rights, keys) = (
        place("rights.toml"),
        if keys.is_empty() {
            place("jwks.json")
        } else {
            keys.to_string()
        },
    );
    rig(&format!("{name}-run"), FOUR, dispatchers, |settings| {
        let identity = json!({ "issuer": "https://issuer", "audience": "bitternlatch", "skew_s": 0,
            "keys": keys, "kept": kept, "rights": rights, "refresh_s": 0.2 });
        let table: toml::Table = serde_json::from_value(identity).expect("a table");
        settings.insert("identity".into(), table.into());
        let tenants = json!([{ "name": "association", "quota_rps": 1000.0 }]);
        let tenants: toml::Value = serde_json::from_value(tenants).expect("a list");
        settings.insert("tenants".into(), tenants);
    })
}

fn open(rig: &Rig, at: usize, token: &str) -> Result<Client, String> {
    Client::connect_as(
        &rig.dispatchers[at].address,
        "t",
        "d",
        Capture::none(),
        &DialOptions {
            token: Some(token.to_string()),
            tls: None,
        },
    )
    .map_err(|e| e.to_string())
}

fn served(client: &Client, class: &str, key: &str) {
    client.say(&create(class, key, "words [len=3]"));
    assert_eq!(
        to_the_end(client).last().map(|e| e.kind.clone()).as_deref(),
        Some("response.completed")
    );
}

#[test]
fn only_proven_callers_are_let_in_and_each_does_what_it_may() {
    let mut ring = Ring::default();
    ring.announce(now() - 10).expect("a key");
    let rig = guarded("rights", 1, &ring, "");
    let token = |c: &Value| ring.sign(now(), c).expect("a token");
    let good = token(&claims("ann", "members", 600));
    let part = |v: &Value| B64.encode(v.to_string());
    let signing = ring.signing_key(now()).expect("a key").id.clone();
    // As a forger would write them: no signature at all, and a MAC made with what everybody knows.
    let forged = |alg: &str| {
        let header = part(&json!({ "alg": alg, "kid": signing }));
        format!(
            "{header}.{}.{}",
            part(&claims("ann", "members", 600)),
            B64.encode([7u8; 32])
        )
    };
    let unknown = |t: &str| {
        let rest = t.split_once('.').expect("parts").1;
        format!(
            "{}.{rest}",
            part(&json!({ "alg": "EdDSA", "kid": "nobody" }))
        )
    };
    let later = {
        let mut c = claims("ann", "members", 600);
        c["nbf"] = (now() + 300).into();
        token(&c)
    };
    let twice = {
        let text = claims("ann", "members", 600)
            .to_string()
            .replacen('{', "{\"sub\":\"root\",", 1);
        let rest: Vec<&str> = good.split('.').collect();
        format!("{}.{}.{}", rest[0], B64.encode(text), rest[2])
    };
    let issuer = token(
        &json!({ "iss": "https://other", "aud": "bitternlatch", "sub": "ann", "exp": now() + 9 }),
    );
    for (bad, code) in [
        ("nonsense".to_string(), "token_malformed"),
        (
            token(
                &json!({ "iss": "https://issuer", "aud": "other", "sub": "ann", "exp": now() + 9 }),
            ),
            "token_audience",
        ),
        (token(&claims("ann", "members", 0)), "token_expired"),
        (format!("{}x", good), "token_signature"),
        (forged("none"), "token_algorithm"),
        (forged("HS256"), "token_algorithm"),
        (unknown(&good), "token_key_unknown"),
        (later, "token_not_yet"),
        (twice, "token_malformed"),
        (issuer, "token_issuer"),
        (
            token(&claims("cert:uri:urn:x", "directors", 600)),
            "token_malformed",
        ),
        (format!("{good}.{}", "A".repeat(9000)), "token_too_long"),
    ] {
        let lines = log_of(&rig).matches(code).count();
        let refused = open(&rig, 0, &bad).err().expect(code);
        assert!(refused.contains("401"), "{refused}");
        wait_for(code, || log_of(&rig).matches(code).count() > lines);
    }
    assert!(
        Client::connect(&rig.dispatchers[0].address, "t", "d", Capture::none()).is_err(),
        "no token"
    );
    let member = open(&rig, 0, &good).expect("let in");
    served(&member, "slot-query", "k1");
    rig.lines.try_iter().for_each(drop);
    member.say(&create("season-booking", "k2", "the season [len=3]"));
    assert_eq!(error_code(&member), "class_not_allowed");
    let claimed =
        create("slot-query", "k3", "x").replace("\"class\"", "\"tenant\":\"bands\",\"class\"");
    member.say(&claimed);
    assert_eq!(error_code(&member), "tenant_mismatch");
    let lines: Vec<_> = rig.lines.try_iter().collect();
    assert!(
        rig.completions(&lines).is_empty(),
        "a refusal reaches no host"
    );
    let director = open(&rig, 0, &token(&claims("dee", "directors", 600))).expect("let in");
    served(&director, "season-booking", "k4");

    // Rights that are taken between two requests; a broken file changes nothing.
    let rights = rig
        .dir
        .parent()
        .expect("a folder")
        .join("rights")
        .join("rights.toml");
    std::fs::write(&rights, "[[rule]]\nname = \"half").expect("half a file");
    std::thread::sleep(Duration::from_millis(500));
    served(&director, "season-booking", "k5");
    std::fs::write(
        &rights,
        RIGHTS.replace("[\"slot-query\", \"season-booking\"]", "[\"slot-query\"]"),
    )
    .expect("rights");
    wait_for("the new rights", || {
        log_of(&rig).contains("new rights are in force\"") && {
            director.say(&create(
                "season-booking",
                &format!("k6{}", now()),
                "the season [len=3]",
            ));
            error_code(&director) == "class_not_allowed"
        }
    });
    no_secret(&rig, &[&good]);
    rig.end();
}

/// Neither logs nor records hold a token.
fn no_secret(rig: &Rig, tokens: &[&str]) {
    for entry in std::fs::read_dir(&rig.dir).expect("the folder") {
        let path = entry.expect("a file").path();
        let data = match path.extension().and_then(|e| e.to_str()) {
            Some("rec") => {
                let recorded =
                    bitternlatch_core::record::read(std::fs::File::open(&path).expect("a record"));
                serde_json::to_vec(&recorded.expect("a good record").entries).expect("JSON")
            }
            _ => std::fs::read(&path).expect("a file"),
        };
        let text = String::from_utf8_lossy(&data);
        for token in tokens {
            let signature = token.rsplit('.').next().expect("a signature");
            assert!(
                !text.contains(signature),
                "{} holds a token",
                path.display()
            );
        }
    }
}

#[test]
fn a_session_renews_its_token_and_ends_with_it_after_its_last_answer() {
    let mut ring = Ring::default();
    ring.announce(now() - 10).expect("a key");
    let rig = guarded("renewal", 1, &ring, "");
    let token = |subject: &str, for_s| {
        ring.sign(now(), &claims(subject, "directors", for_s))
            .expect("a token")
    };
    let short = open(&rig, 0, &token("dee", 3)).expect("let in");
    let renewed = open(&rig, 0, &token("dee", 3)).expect("let in");
    // Both run a booking of four seconds when their tokens end.
    let booking = create("season-booking", "k", "the season [len=190]");
    short.say(&booking);
    renewed.say(&booking.replace("\"k\"", "\"k2\""));
    let secret = token("dee", 600);
    let renew = |token: &str| json!({ "type": "session.renew", "token": token }).to_string();
    renewed.say(&renew(&token("eve", 600)));
    renewed.say(&renew("nonsense"));
    renewed.say("{\"type\":\"session.renew\",");
    renewed.say(&renew(&secret));
    let (mut codes, mut ends, mut last) = (Vec::new(), 0, String::new());
    while last.is_empty() {
        match renewed.next(Duration::from_secs(20)) {
            Came::Event(e) if e.kind == "error" => {
                codes.push(
                    e.error
                        .map(|e| e["code"].as_str().unwrap_or_default().to_string())
                        .unwrap_or_default(),
                );
            }
            Came::Event(e) if e.kind == "session.renewed" => ends += 1,
            Came::Event(e) if e.is_final() => last = e.kind,
            Came::Event(_) => {}
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(
        (codes, ends, last.as_str()),
        (
            vec![
                "subject_mismatch".to_string(),
                "token_refused".into(),
                "token_refused".into()
            ],
            1,
            "response.completed"
        )
    );
    served(&renewed, "slot-query", "after");
    let kinds: Vec<String> = to_the_end(&short).into_iter().map(|e| e.kind).collect();
    assert_eq!(
        kinds.last().map(String::as_str),
        Some("response.completed"),
        "what runs gets its final answer"
    );
    assert!(
        closed(&short).contains("4401"),
        "and then the session is closed"
    );
    renewed.close();
    no_secret(&rig, &[&secret]);
    rig.end();
}

#[test]
fn keys_rotate_three_times_under_load_and_no_session_is_dropped() {
    let mut ring = Ring::default();
    ring.announce(now() - 10).expect("a key");
    let rig = guarded("rotation", 3, &ring, "");
    let (path, public) = (
        rig.dir.parent().expect("it").join("rotation/ring.json"),
        rig.dir.parent().expect("it").join("rotation/jwks.json"),
    );
    let first = ring.keys[0].clone();
    let sessions: Vec<Client> = (0..3)
        .map(|at| {
            open(
                &rig,
                at,
                &ring
                    .sign(now(), &claims("dee", "directors", 600))
                    .expect("a token"),
            )
            .expect("let in")
        })
        .collect();
    for round in 0..3 {
        // Two seconds of notice are at least one whole one, several times the dispatchers' refresh.
        ring.rotate(now(), 2, 3).expect("a key");
        ring.write(&path, &public).expect("the keys");
        let until = Instant::now() + Duration::from_millis(2600);
        let mut n = 0;
        while Instant::now() < until {
            for (at, session) in sessions.iter().enumerate() {
                served(session, "slot-query", &format!("r{round}-{at}-{n}"));
                let token = ring
                    .sign(now(), &claims("ann", "members", 600))
                    .expect("a token");
                let fresh = open(&rig, at, &token).unwrap_or_else(|e| panic!("round {round}: {e}"));
                served(&fresh, "slot-query", &format!("f{round}-{at}-{n}"));
                fresh.close();
                // Sessions outlive their first key by renewing.
                session.say(&json!({ "type": "session.renew", "token": ring.sign(now(), &claims("dee", "directors", 600)).expect("one") }).to_string());
                assert!(
                    matches!(session.next(Duration::from_secs(20)), Came::Event(e) if e.kind == "session.renewed")
                );
                n += 1;
            }
        }
    }
    wait_for("the first key's end", || {
        now()
            >= first
                .expires_at
                .unwrap_or(ring.keys[0].expires_at.expect("an end"))
    });
    let old = Ring::sign_with(&first, &claims("ann", "members", 600)).expect("a token");
    assert!(
        open(&rig, 0, &old).err().expect("refused").contains("401"),
        "the old key counts no more"
    );
    for (at, session) in sessions.iter().enumerate() {
        served(session, "slot-query", &format!("last-{at}"));
    }
    // One is withdrawn early: its sessions end within the stated time.
    let signing = ring.signing_key(now()).expect("a key").id.clone();
    ring.rotate(now(), 0, 600).expect("a key");
    ring.revoke(&signing, now()).expect("withdrawn");
    ring.write(&path, &public).expect("the keys");
    let start = Instant::now();
    for session in &sessions {
        assert!(closed(session).contains("4401"));
    }
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    rig.end();
}

/// An issuer on loopback that answers each request by its script, then hangs up.
fn issuer(script: impl Fn(usize) -> Option<String> + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().enumerate() {
            let Ok(mut stream) = stream else { return };
            let (mut head, mut byte) = (Vec::new(), [0; 1]);
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
                head.push(byte[0]);
            }
            match script(n) {
                Some(body) => {
                    let _ = write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                }
                // Says nothing until the other end gives up.
                None => std::thread::sleep(Duration::from_secs(3)),
            }
        }
    });
    format!("http://{address}/jwks.json")
}

#[test]
fn an_issuer_that_lies_or_is_slow_keeps_the_last_good_keys_and_a_restart_has_them() {
    let mut ring = Ring::default();
    ring.announce(now() - 10).expect("a key");
    let document = ring.public_key_set().expect("a document");
    let keys = issuer(move |n| match n {
        0 => Some(document.clone()),
        1 => Some("<html>busy</html>".into()),
        2 => None,
        _ => Some("{\"keys\":[]}".into()),
    });
    let mut rig = guarded("issuer", 1, &ring, &keys);
    let token = ring
        .sign(now(), &claims("ann", "members", 600))
        .expect("a token");
    let session = open(&rig, 0, &token).expect("let in");
    wait_for("three bad answers", || {
        log_of(&rig)
            .matches("the last good keys stay in force")
            .count()
            >= 3
    });
    served(&session, "slot-query", "k1");
    open(&rig, 0, &token).expect("still let in");
    rig.dispatchers[0].kill();
    rig.dispatchers[0]
        .start(&common::image())
        .expect("started again");
    assert!(rig.dispatchers[0].ready(Duration::from_secs(20)));
    open(&rig, 0, &token).expect("let in by the keys kept on disk");
    let kept: &Path = &rig.dir.parent().expect("it").join("issuer/kept.json");
    assert!(kept.exists());
    rig.end();
}
