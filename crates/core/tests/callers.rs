//! Authenticated callers: ownership of idempotency keys and conversations, and credentials that expire or are revoked.
mod common;

use bitternlatch_core::{Input, Output, SessionId, Settings};
use bitternlatch_identity::{Caller, Credential};
use common::{four_servers, Harness, SETTINGS, START_US};
use serde_json::json;

const RIGHTS: &str = r#"
[[rule]]
name = "desk"
groups = ["desk"]
tenant = "bands"
shared = true
classes = ["query", "booking"]
models = ["*"]
max_output_tokens = 100
[[rule]]
name = "members"
groups = ["members"]
tenant = "bands"
classes = ["query", "booking"]
models = ["*"]
max_output_tokens = 100
"#;

const IDENTITY: &str =
    "[identity]\nissuer = \"i\"\naudience = \"a\"\nkeys = \"k\"\nrights = \"r\"\n[inventory]";
const NOW_S: u64 = START_US / 1_000_000;

/// A machine that authenticates callers, with access rights and four servers.
fn bench_with_identity() -> Harness {
    let text = SETTINGS.replace("[inventory]", IDENTITY);
    let mut bench = Harness::with(Settings::parse("test", &text).expect("settings"), 5);
    bench.step(Input::Rights(RIGHTS.into()));
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    bench
}

fn caller(subject: &str, group: &str, key_id: &str, ends: u64) -> Caller {
    let (subject, key_id) = (subject.to_string(), key_id.to_string());
    Caller {
        subject,
        groups: vec![group.to_string()],
        key_id,
        token_id: None,
        expires_at: ends,
        credential: Credential::Token,
    }
}

/// Opens a session whose caller's credential expires after 600 s.
fn open(bench: &mut Harness, session: u64, subject: &str, group: &str) -> SessionId {
    let caller = Some(caller(subject, group, "k1", NOW_S + 600));
    bench.step(Input::SessionOpened {
        session: SessionId(session),
        caller,
    });
    SessionId(session)
}

/// Error codes and event types sent to a session since the last call.
fn codes(bench: &mut Harness, session: SessionId) -> Vec<String> {
    let code = |e: serde_json::Value| e["code"].as_str().unwrap_or_default().to_string();
    bench
        .take_events(session)
        .into_iter()
        .map(|e| e.error.map_or(e.kind, code))
        .collect()
}

#[test]
fn idempotency_key_belongs_to_caller_or_shared_group() {
    let mut bench = bench_with_identity();
    let ann = open(&mut bench, 1, "ann", "members");
    let eve = open(&mut bench, 2, "eve", "members");
    let ann_again = open(&mut bench, 3, "ann", "members");
    for session in [ann, eve, ann_again] {
        bench.send_request(session, "booking", "one", "the season");
        bench.advance(0.02);
    }
    assert_eq!(
        bench.completions.len(),
        2,
        "eve's request runs separately; ann's second session attaches to her first"
    );
    let id = |bench: &mut Harness, session| {
        bench.take_events(session)[0]
            .response
            .as_ref()
            .expect("a response")
            .id
            .clone()
    };
    let (first_id, eve_id, repeat_id) = (
        id(&mut bench, ann),
        id(&mut bench, eve),
        id(&mut bench, ann_again),
    );
    assert!(
        first_id == repeat_id && first_id != eve_id,
        "{first_id} {repeat_id} {eve_id}"
    );

    let (one, two) = (
        open(&mut bench, 4, "dee", "desk"),
        open(&mut bench, 5, "dan", "desk"),
    );
    bench.send_request(one, "booking", "one", "the desk's season");
    bench.send_request(two, "booking", "one", "the desk's season");
    assert_eq!(
        id(&mut bench, one),
        id(&mut bench, two),
        "the rule for the desk shares idempotency keys"
    );
}

#[test]
fn conversation_continues_only_for_its_caller() {
    let mut bench = bench_with_identity();
    let ann = open(&mut bench, 1, "ann", "members");
    let eve = open(&mut bench, 2, "eve", "members");
    let decode = bench.start_decode(ann, "query", "k", "a secret hall");
    bench.send_chunk(&decode, "it is free", Some("stop"));
    bench.send_done(&decode);
    let last = bench.take_events(ann).pop().expect("an answer");
    let id = last.response.expect("a response").id;
    let follow_up = json!({ "type": "response.create", "model": "m", "input": "and then?",
        "previous_response_id": id, "metadata": { "class": "query" } });
    for (session, code) in [
        (eve, "previous_response_not_found"),
        (ann, "response.created"),
    ] {
        bench.step(Input::SessionText {
            session,
            text: follow_up.to_string(),
        });
        assert_eq!(codes(&mut bench, session), [code]);
    }
    assert!(
        bench
            .next_completion()
            .body
            .prompt
            .contains("a secret hall"),
        "its own caller continues it"
    );
    // An id made by incrementing the request number in a known one is rejected, as its authentication tag is wrong.
    let forged = id.replacen("00000001", "00000002", 1);
    assert_ne!(forged, id);
    let cancel = json!({ "type": "response.cancel", "response_id": forged });
    bench.step(Input::SessionText {
        session: ann,
        text: cancel.to_string(),
    });
    assert_eq!(codes(&mut bench, ann), ["response_not_found"]);
}

#[test]
fn revoked_credential_closes_session_after_answer() {
    let mut bench = bench_with_identity();
    let ann = open(&mut bench, 1, "ann", "members");
    let decode = bench.start_decode(ann, "booking", "k", "the season");
    bench.step(Input::CredentialsRevoked(vec!["k1".into()]));
    bench.send_request(ann, "query", "k2", "another");
    assert_eq!(
        codes(&mut bench, ann),
        ["response.created", "token_key_withdrawn"]
    );
    assert!(
        !bench
            .outputs
            .iter()
            .any(|o| matches!(o, Output::CloseSession { .. })),
        "the booking is still in flight"
    );
    bench.send_chunk(&decode, "booked", Some("stop"));
    bench.send_done(&decode);
    assert_eq!(
        codes(&mut bench, ann).last().map(String::as_str),
        Some("response.completed")
    );
    let closes_ann = |o: &Output| matches!(o, Output::CloseSession { session, code: 4401, .. } if *session == ann);
    assert!(bench.outputs.iter().any(closes_ann));
}

#[test]
fn credential_expiry_follows_clock_offset() {
    let mut bench = bench_with_identity();
    let ann = open(&mut bench, 1, "ann", "members");
    bench.step(Input::CredentialClockOffset {
        ahead_us: 599_000_000,
    });
    bench.send_request(ann, "query", "k", "one more");
    assert_eq!(
        codes(&mut bench, ann),
        ["response.created"],
        "the credential is valid for another second"
    );
    bench.step(Input::CredentialClockOffset { ahead_us: 0 });
    bench.advance(2.0);
    bench.send_request(ann, "query", "k2", "and one");
    assert!(
        codes(&mut bench, ann).contains(&"response.created".to_string()),
        "the clock offset was corrected to 0"
    );
    bench.step(Input::CredentialClockOffset {
        ahead_us: 598_500_000,
    });
    bench.send_request(ann, "query", "k3", "too late");
    assert_eq!(
        codes(&mut bench, ann).last().map(String::as_str),
        Some("token_expired")
    );
    let expired = Some(caller("bob", "members", "k1", NOW_S + 600));
    bench.step(Input::SessionOpened {
        session: SessionId(9),
        caller: expired,
    });
    bench.send_request(SessionId(9), "query", "k", "late");
    assert_eq!(codes(&mut bench, SessionId(9)), ["token_expired"]);
}
