//! The exact text of each message of the client protocol and the engine protocol.
//!
//! | message | tested in |
//! | --- | --- |
//! | `response.create`, `response.cancel`, `session.renew` | here (invalid ones: `faults.rs`) |
//! | `response.created`, `.completed`, `.incomplete`, `.failed`, `.output_text.delta` | here |
//! | `error`, `rate_limits.updated`, `session.renewed` | here |
//! | engine messages, both ways | here, `fixtures/engine_messages.jsonl` |
//! | result of a workflow claim | the tests of `workflow.rs` |
//! | result of other workflow operations | here |

use bitternlatch_protocol::client::{self, BadRequest, ClientEvent, Renewal, Response, Status};
use bitternlatch_protocol::engine::{decode, encode, FromEngine, ToEngine};
use bitternlatch_protocol::workflow::OperationResult;

const ENGINE_MESSAGES: &str = include_str!("fixtures/engine_messages.jsonl");

const RESPONSE: &str = r#"{"id":"resp_1","object":"response","created_at":1700000000,"status":"in_progress","model":"m","previous_response_id":"resp_0","max_output_tokens":64,"metadata":{"class":"query"},"output":[],"usage":null,"error":null,"incomplete_details":null}"#;

const FULL_RESPONSE: &str = r#"{"id":"resp_1","object":"response","created_at":1700000000,"status":"failed","model":"m","previous_response_id":null,"max_output_tokens":null,"metadata":{},"output":[{"id":"msg_1","type":"message","role":"assistant","status":"incomplete","content":[{"type":"output_text","text":"yes","annotations":[]}]}],"usage":{"input_tokens":9,"input_tokens_details":{"cached_tokens":3},"output_tokens":2,"total_tokens":11},"error":{"code":"rate_limit_exceeded","message":"full","safe_to_repeat":true,"retry_after_ms":250},"incomplete_details":{"reason":"max_output_tokens"}}"#;

fn response(text: &str) -> Response {
    serde_json::from_str(text).expect("a response")
}

fn with_status(status: Status) -> Response {
    Response {
        status,
        ..response(RESPONSE)
    }
}

#[test]
fn response_objects_are_read_and_written_alike() {
    for text in [RESPONSE, FULL_RESPONSE] {
        let written = serde_json::to_string(&response(text)).expect("JSON");
        assert_eq!(written, text);
    }
}

#[test]
fn response_events_keep_their_text() {
    let created =
        format!(r#"{{"type":"response.created","sequence_number":0,"response":{RESPONSE}}}"#);
    assert_eq!(client::created(0, &response(RESPONSE)), created);
    for (status, kind, word) in [
        (Status::Completed, "response.completed", "completed"),
        (Status::Incomplete, "response.incomplete", "incomplete"),
        (Status::Failed, "response.failed", "failed"),
    ] {
        let body = RESPONSE.replace("in_progress", word);
        let event = format!(r#"{{"type":"{kind}","sequence_number":7,"response":{body}}}"#);
        assert_eq!(client::finished(7, &with_status(status)), event);
    }
    assert_eq!(
        client::delta(3, "resp_1", "msg_1", "ye\"s"),
        r#"{"type":"response.output_text.delta","sequence_number":3,"response_id":"resp_1","item_id":"msg_1","output_index":0,"content_index":0,"delta":"ye\"s"}"#
    );
    let answered = with_status(Status::Completed).with_text("yes");
    let output = r#""output":[{"id":"msg_1","type":"message","role":"assistant","status":"completed","content":[{"type":"output_text","text":"yes","annotations":[]}]}]"#;
    assert!(client::finished(1, &answered).contains(output));
}

#[test]
fn session_events_keep_their_text() {
    assert_eq!(
        client::renewed(1_700_000_000),
        r#"{"type":"session.renewed","ends_at":1700000000}"#
    );
    assert_eq!(
        client::rate_limits(100, 40, 1.5),
        r#"{"rate_limits":[{"limit":100,"name":"tokens","remaining":40,"reset_seconds":1.5}],"type":"rate_limits.updated"}"#
    );
    assert_eq!(
        client::rate_limits(100, 0, f64::INFINITY),
        r#"{"rate_limits":[{"limit":100,"name":"tokens","remaining":0,"reset_seconds":null}],"type":"rate_limits.updated"}"#
    );
}

#[test]
fn error_events_keep_their_text() {
    let bad = BadRequest::field("metadata.class", "is no class here");
    assert_eq!(
        client::error(&bad, None, None),
        r#"{"type":"error","status":400,"error":{"type":"invalid_request_error","code":"invalid_value","message":"is no class here","param":"metadata.class","metadata":null}}"#
    );
    let busy = BadRequest {
        status: 503,
        code: "elsewhere",
        param: None,
        ..bad
    };
    let metadata = response(RESPONSE).metadata;
    let others = ["127.0.0.1:7001".to_string()];
    assert_eq!(
        client::error_elsewhere(&busy, Some(250), Some(&metadata), &others),
        r#"{"type":"error","status":503,"error":{"type":"rate_limit_error","code":"elsewhere","message":"is no class here","param":null,"retry_after_ms":250,"metadata":{"class":"query"},"elsewhere":["127.0.0.1:7001"]}}"#
    );
}

#[test]
fn client_events_are_read_field_by_field() {
    let text = r#"{"type":"response.create","model":"m","instructions":"be brief","input":[{"type":"message","role":"user","content":"hello"},{"role":"assistant","content":[{"type":"output_text","text":"yes"},{"type":"text","text":"?"}]}],"previous_response_id":"resp_0","max_output_tokens":64,"prompt_cache_key":"k","metadata":{"class":"query","tenant":"t","idempotency_key":"i","deadline_ms":"900"},"temperature":0.5,"top_p":0.25}"#;
    let Ok(ClientEvent::Create(create)) = client::parse(text) else {
        panic!("not parsed as response.create");
    };
    assert_eq!(create.model, "m");
    assert_eq!(create.instructions, "be brief");
    assert_eq!(create.input, "user: hello\nassistant: yes?");
    assert_eq!(create.previous_response_id.as_deref(), Some("resp_0"));
    assert_eq!(create.max_output_tokens, Some(64));
    assert_eq!(create.prompt_cache_key.as_deref(), Some("k"));
    assert_eq!(create.temperature, Some(0.5));
    assert_eq!(create.top_p, Some(0.25));
    let pairs: Vec<(&str, &str)> = create
        .metadata
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_str()))
        .collect();
    let expected = [
        ("class", "query"),
        ("deadline_ms", "900"),
        ("idempotency_key", "i"),
        ("tenant", "t"),
    ];
    assert_eq!(pairs, expected);
    assert_eq!(
        [
            client::META_CLASS,
            client::META_DEADLINE_MS,
            client::META_IDEMPOTENCY_KEY,
            client::META_TENANT
        ],
        expected.map(|(key, _)| key)
    );
    let cancel = r#"{"type":"response.cancel","response_id":"resp_1"}"#;
    assert_eq!(
        client::parse(cancel),
        Ok(ClientEvent::Cancel {
            response_id: "resp_1".into()
        })
    );
}

#[test]
fn session_renewal_is_read() {
    let token = r#"{"type":"session.renew","token":"t"}"#;
    assert_eq!(client::parse_renewal(token), Renewal::Token("t".into()));
    assert_eq!(
        client::parse_renewal(r#"{"type":"session.renew"}"#),
        Renewal::Malformed
    );
    assert_eq!(
        client::parse_renewal(r#"{"type":"response.cancel"}"#),
        Renewal::None
    );
}

#[test]
fn engine_messages_are_read_and_written_alike() {
    let mut operations = Vec::new();
    for line in ENGINE_MESSAGES.lines() {
        let (direction, text) = line.split_once(' ').expect("direction and message");
        let written = match direction {
            "to" => encode(&decode::<ToEngine>(text).expect(text)),
            "from" => encode(&decode::<FromEngine>(text).expect(text)),
            _ => panic!("{direction}"),
        };
        assert_eq!(written, text);
        let message: serde_json::Value = serde_json::from_str(text).expect("JSON");
        operations.push(format!(
            "{direction} {}",
            message["op"].as_str().expect("op")
        ));
    }
    operations.sort();
    operations.dedup();
    let all = [
        "from chunk",
        "from done",
        "from error",
        "from hello",
        "from load",
        "from state",
        "to cancel",
        "to completion",
        "to fault",
        "to probe",
        "to release",
    ];
    assert_eq!(operations, all);
}

#[test]
fn workflow_operation_answers_keep_their_text() {
    for text in [r#"{"epoch":3}"#, "{}"] {
        let answer: OperationResult = serde_json::from_str(text).expect("an answer");
        assert_eq!(serde_json::to_string(&answer).expect("JSON"), text);
    }
}
