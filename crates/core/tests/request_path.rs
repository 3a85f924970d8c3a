//! The path of a request from client to server and back, and what a client gets that reconnects or repeats a request.
mod common;

use bitternlatch_core::{Input, Output};
use bitternlatch_protocol::client::Status;
use common::Harness;

#[test]
fn prefill_then_decode_streams_one_final_answer() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "a free Thursday hall?");
    assert!(Harness::server_name(decode.link).starts_with('w'));
    assert_eq!(decode.body.prompt, "a free Thursday hall?");
    assert!(decode
        .body
        .kv_transfer_params
        .as_ref()
        .is_some_and(|k| k.do_remote_prefill));
    b.send_chunk(&decode, "the small", None);
    b.send_chunk(&decode, " one", None);
    b.send_chunk(&decode, "", Some("stop"));
    b.send_done(&decode);
    let events = b.take_events(s);
    let kinds: Vec<&str> = events.iter().map(|e| e.kind.as_str()).collect();
    let delta = "response.output_text.delta";
    assert_eq!(
        kinds,
        ["response.created", delta, delta, "response.completed"]
    );
    let last = events[3].response.as_ref().expect("a response");
    assert_eq!(last.status, Status::Completed);
    assert_eq!(last.output[0].content[0].text, "the small one");
    assert_eq!(last.usage.expect("usage").total_tokens, 11);
    b.advance(20.0);
    assert!(
        b.take_events(s).is_empty(),
        "nothing after the final answer"
    );
    assert_eq!(b.machine.counts().requests, 0, "its entry is removed");
}

#[test]
fn follow_up_continues_known_response() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "first");
    b.send_chunk(&decode, "yes", Some("length"));
    b.send_done(&decode);
    let events = b.take_events(s);
    let last = events
        .last()
        .and_then(|e| e.response.clone())
        .expect("a response");
    assert_eq!(last.status, Status::Incomplete);
    let follow_up = |id: &str| {
        let create = serde_json::json!({ "type": "response.create", "model": "m", "input": "and then?",
            "previous_response_id": id });
        create.to_string()
    };
    b.step(Input::SessionText {
        session: s,
        text: follow_up(&last.id),
    });
    assert_eq!(
        b.next_completion().body.prompt,
        "first\nassistant: yes\nand then?"
    );
    b.take_events(s);
    b.step(Input::SessionText {
        session: s,
        text: follow_up("resp_00"),
    });
    let events = b.take_events(s);
    let error = events[0].error.as_ref().expect("an error");
    assert_eq!(error["code"], "previous_response_not_found");
    assert_eq!(error["param"], "previous_response_id");
}

#[test]
fn reconnected_client_attaches_to_running_request() {
    let mut b = Harness::ready(1);
    let first = b.open_session(1);
    let decode = b.start_decode(first, "booking", "k1", "the season");
    b.send_chunk(&decode, "book", None);
    b.step(Input::SessionClosed { session: first });
    b.advance(0.5);
    assert!(
        b.cancels.is_empty(),
        "a booking with an idempotency key continues without its client"
    );
    let second = b.open_session(2);
    b.send_request(second, "booking", "k1", "the season");
    let events = b.take_events(second);
    assert_eq!(events[0].kind, "response.created");
    assert_eq!(
        events[1].delta.as_deref(),
        Some("book"),
        "the output so far is sent at once"
    );
    b.send_chunk(&decode, "ed", Some("stop"));
    b.send_done(&decode);
    let events = b.take_events(second);
    assert_eq!(events.iter().filter(|e| e.is_final()).count(), 1);
    assert_eq!(
        events
            .last()
            .and_then(|e| e.response.clone())
            .expect("a response")
            .output[0]
            .content[0]
            .text,
        "booked"
    );
    assert!(b.completions.is_empty(), "nothing was sent again");
    let third = b.open_session(3);
    b.send_request(third, "booking", "k1", "the season");
    let events = b.take_events(third);
    assert_eq!(
        events.iter().map(|e| e.kind.as_str()).collect::<Vec<_>>(),
        ["response.created", "response.completed"]
    );
    assert!(
        b.completions.is_empty(),
        "the recorded answer is sent without another attempt"
    );
    b.send_request(third, "booking", "k1", "another season");
    assert_eq!(
        b.take_events(third)[0].error.as_ref().expect("an error")["code"],
        "idempotency_key_reused"
    );
}

#[test]
fn broken_unsafe_request_stays_failed_on_repeat() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "booking", "k1", "the season");
    b.step(Input::LinkClosed {
        link: decode.link,
        reason: "reset".into(),
    });
    for round in 0..2 {
        let events = b.take_events(s);
        let last = events
            .last()
            .and_then(|e| e.response.clone())
            .expect("a final answer");
        assert_eq!(last.status, Status::Failed, "round {round}");
        assert!(!last.error.expect("an error").safe_to_repeat);
        assert!(b.completions.is_empty());
        b.send_request(s, "booking", "k1", "the season");
    }
}

#[test]
fn safe_request_is_cancelled_when_client_disconnects() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    b.send_request(s, "query", "k1", "a hall?");
    let prefill = b.next_completion();
    b.step(Input::SessionClosed { session: s });
    assert_eq!(b.cancels, [(prefill.link, prefill.id.clone())]);
    b.finish_prefill(&prefill);
    assert_eq!(
        b.releases,
        [(prefill.link, prefill.id.clone())],
        "the KV cache of an abandoned prefill is released"
    );
    assert_eq!(
        (b.machine.counts().requests, b.machine.counts().keys),
        (0, 0)
    );
}

#[test]
fn each_bad_message_gets_one_error() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "good");
    b.take_events(s);
    let with_metadata = |pairs: &str| {
        format!(r#"{{"type":"response.create","model":"m","input":"x","metadata":{{{pairs}}}}}"#)
    };
    let cases = [
        ("{", "invalid_json", None),
        (r#"{"type":"response.sing"}"#, "invalid_value", Some("type")),
        (
            r#"{"type":"response.create","input":"x"}"#,
            "invalid_value",
            Some("model"),
        ),
        (
            r#"{"type":"response.create","model":"m"}"#,
            "invalid_value",
            Some("input"),
        ),
        (
            r#"{"type":"response.create","model":"m","input":"x","max_output_tokens":0}"#,
            "invalid_value",
            Some("max_output_tokens"),
        ),
        (
            r#"{"type":"response.create","model":"m","input":[{"role":"user"}]}"#,
            "invalid_value",
            Some("input[0].content"),
        ),
        (
            &with_metadata(r#""class":"odd""#),
            "invalid_value",
            Some("metadata.class"),
        ),
        (
            &with_metadata(r#""deadline_ms":"soon""#),
            "invalid_value",
            Some("metadata.deadline_ms"),
        ),
        (
            r#"{"type":"response.cancel","response_id":"resp_é"}"#,
            "response_not_found",
            Some("response_id"),
        ),
    ];
    for (text, code, param) in cases {
        b.step(Input::SessionText {
            session: s,
            text: text.to_string(),
        });
        let events = b.take_events(s);
        assert_eq!(events.len(), 1, "{text}");
        let error = events[0].error.as_ref().expect("an error");
        assert_eq!(
            (error["code"].as_str(), error["param"].as_str()),
            (Some(code), param),
            "{text}"
        );
    }
    b.send_chunk(&decode, "still here", Some("stop"));
    b.send_done(&decode);
    assert!(b
        .take_event_types(s)
        .contains(&"response.completed".to_string()));
}

#[test]
fn requests_per_session_and_sessions_are_bounded() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    for i in 0..5 {
        b.send_request(s, "query", "", &format!("q{i}"));
    }
    let events = b.take_events(s);
    let error = events
        .last()
        .and_then(|e| e.error.clone())
        .expect("the fifth request exceeds the limit");
    assert_eq!(
        (error["code"].as_str(), error["metadata"]["try"].as_str()),
        (Some("too_many_requests"), Some("q4"))
    );
    assert!(error["retry_after_ms"].as_u64().is_some_and(|ms| ms > 0));
    for i in 2..=100 {
        b.open_session(i);
    }
    b.outputs.clear();
    b.open_session(101);
    assert!(matches!(
        b.outputs[0],
        Output::CloseSession { code: 1013, .. }
    ));
}

#[test]
fn total_prompt_bytes_are_bounded_and_released() {
    let mut settings = common::settings();
    settings.requests.max_total_prompt_bytes = 1024;
    let mut b = Harness::with(settings, 1);
    b.step(Input::ServerList(common::four_servers()));
    b.connect_all(1000.0);
    let s = b.open_session(1);
    let long = "x".repeat(1000);
    b.send_request(s, "query", "", &long);
    b.send_request(s, "query", "", "y".repeat(100).as_str());
    let events = b.take_events(s);
    assert!(events
        .last()
        .and_then(|e| e.error.clone())
        .expect("an error")["message"]
        .to_string()
        .contains("memory"));
    b.advance(7.0);
    b.take_events(s);
    b.send_request(s, "query", "", &long);
    assert_eq!(
        b.take_events(s)[0].kind,
        "response.created",
        "the first request has ended and its bytes are released"
    );
}

#[test]
fn client_cancels_only_its_own_response() {
    let mut b = Harness::ready(1);
    let (s, other) = (b.open_session(1), b.open_session(2));
    b.send_request(s, "query", "", "q");
    let prefill = b.next_completion();
    let id = b.take_events(s)[0]
        .response
        .as_ref()
        .expect("created")
        .id
        .clone();
    let cancel = serde_json::json!({ "type": "response.cancel", "response_id": id }).to_string();
    b.step(Input::SessionText {
        session: other,
        text: cancel.clone(),
    });
    assert_eq!(
        b.take_events(other)[0].error.as_ref().expect("an error")["code"],
        "response_not_found"
    );
    b.step(Input::SessionText {
        session: s,
        text: cancel,
    });
    assert_eq!(b.take_event_types(s), ["response.failed"]);
    assert_eq!(b.cancels, [(prefill.link, prefill.id)]);
}

#[test]
fn stop_rejects_new_and_finishes_in_flight() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "in flight");
    b.step(Input::Stop);
    assert!(!b.stopped);
    b.take_events(s);
    b.send_request(s, "query", "", "new");
    let events = b.take_events(s);
    let error = events
        .last()
        .and_then(|e| e.response.clone())
        .and_then(|r| r.error)
        .expect("a rejection");
    assert!(error.safe_to_repeat && error.retry_after_ms.is_some());
    b.open_session(9);
    assert!(b
        .outputs
        .iter()
        .any(|o| matches!(o, Output::CloseSession { code: 1001, .. })));
    b.send_chunk(&decode, "done", Some("stop"));
    b.send_done(&decode);
    assert!(
        b.take_event_types(s)
            .contains(&"response.completed".to_string())
            && b.stopped
    );
}
