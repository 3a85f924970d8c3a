//! The exact bytes of each HTTP message that the node writes, and how it interprets each message that it reads.
//! `tests/README.md` lists the tests that fix the remaining messages.
mod common;

use bitternlatch_core::TracedDecision;
use bitternlatch_platform::access_log::AccessLog;
use bitternlatch_platform::types::{ConnId, Input};
use bitternlatch_policy::interface::{AttemptEnd, Event, Outcome};
use common::*;

const BODY: &str = r#"{"model":"chat","stream":true}"#;

fn forwarded(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id}\r\nhost: origin.svc\r\nreq-kind: ask\r\n\
         req-key: 7f3a9c21e0b4d655\r\n\
         req-extra: prefix=5c0f6e1a2b3d4c59,prompt_len=1200,prefix_len=800,max_out=300\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nContent-Length: 30\r\n\r\n{BODY}"
    )
}

#[test]
fn forwarded_request_bytes() {
    let mut harness = Harness::new();
    harness.start_decode("f1", "ask");
    assert_eq!(
        harness.last_call(Call::is_prefill).text,
        forwarded("f1", 4800)
    );
    assert_eq!(
        harness.last_call(Call::is_decode).text,
        forwarded("f1", 4780)
    );
}

#[test]
fn stream_bytes_to_client() {
    let mut harness = Harness::new();
    let (client, decode_conn) = harness.start_decode("s1", "ask");
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
    );
    harness.receive_text(decode_conn, "0\r\n\r\n");
    assert_eq!(
        harness.client_output(client),
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
         Transfer-Encoding: chunked\r\n\r\n\
         31\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n\r\n0\r\n\r\n"
    );
}

#[test]
fn stream_head_bytes_where_client_closes() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let text = request("s2", "ask", 4800).replace("Req-Kind", "Connection: close\r\nReq-Kind");
    harness.receive_text(client, &text);
    harness.advance(0.02);
    harness.complete_prefill();
    let decode_conn = harness.last_call(Call::is_decode).conn;
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}", chunk("data: 1\n\n")),
    );
    assert_eq!(
        harness.client_output(client),
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
         Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n9\r\ndata: 1\n\n\r\n"
    );
}

/// A plain-text response that closes the connection, such as the one to an invalid request.
fn closing_response(status: &str, text: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{text}\n",
        text.len() + 1
    )
}

#[test]
fn rejection_bytes_by_cause() {
    let valid = request("r1", "ask", 4800);
    let table = [
        (
            valid.replace("POST /v1", "POST /v2"),
            "404 Not Found",
            "no such path",
        ),
        (
            valid.replace("POST", "GET"),
            "405 Method Not Allowed",
            "ask with POST",
        ),
        (
            valid.replace("Req-Id: r1\r\n", ""),
            "400 Bad Request",
            "Req-Id is missing",
        ),
        (
            valid.replace("Req-Id: r1", "Req-Id: r 1"),
            "400 Bad Request",
            "Req-Id cannot be used as an id",
        ),
        (
            valid.replace("Req-Kind: ask\r\n", ""),
            "400 Bad Request",
            "Req-Kind is missing",
        ),
        (
            valid.replace("Req-Kind: ask", "Req-Kind: sell"),
            "400 Bad Request",
            "Req-Kind is not known",
        ),
        (
            valid.replace("Req-Deadline-Ms: 4800\r\n", ""),
            "400 Bad Request",
            "Req-Deadline-Ms is missing",
        ),
        (
            valid.replace("Req-Deadline-Ms: 4800", "Req-Deadline-Ms: 3600001"),
            "400 Bad Request",
            "Req-Deadline-Ms is no number of milliseconds up to an hour",
        ),
        (
            valid.replace("Req-Kind: ask", "Req-Kind: ask\r\nReq-Kind: ask"),
            "400 Bad Request",
            "a field of the request stands twice",
        ),
        (
            valid.replace("prompt_len=1200", "prompt_len=-1"),
            "400 Bad Request",
            "Req-Extra cannot be read",
        ),
        (
            valid.replace("Content-Length: 30", "Content-Length: 3x"),
            "400 Bad Request",
            "the length is not a single whole number",
        ),
        (
            valid.replace("Content-Length: 30", "Content-Length: 262145"),
            "413 Content Too Large",
            "the body is longer than 256 KiB",
        ),
        (
            valid.replace(
                "Content-Length: 30",
                "Content-Length: 30\r\nTransfer-Encoding: chunked",
            ),
            "400 Bad Request",
            "a length and a transfer coding together",
        ),
        (
            valid.replace("Content-Length: 30", "Transfer-Encoding: gzip"),
            "501 Not Implemented",
            "the transfer coding is not known",
        ),
        (
            valid.replace("Content-Length: 30", "Transfer-Encoding: chunked") + "\r\n",
            "400 Bad Request",
            "a chunk cannot be read",
        ),
        (
            "POST \u{1} HTTP/1.1\r\n\r\n".to_string(),
            "400 Bad Request",
            "the head cannot be read",
        ),
        (
            valid.replace(
                "Req-Kind",
                &format!("X: {}\r\nReq-Kind", "a".repeat(17_000)),
            ),
            "431 Request Header Fields Too Large",
            "the head is too long",
        ),
    ];
    for (text, status, reason) in table {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.receive_text(client, &text);
        assert_eq!(
            harness.client_output(client),
            closing_response(status, reason)
        );
        assert!(harness.finished.contains(&client), "{reason}");
        assert_eq!(harness.node.counts().rejected, 1, "{reason}");
    }
}

#[test]
fn duplicate_id_and_slow_request_bytes() {
    let mut harness = Harness::new();
    harness.send_request("d1", "ask");
    let second = harness.send_request("d1", "ask");
    assert_eq!(
        harness.client_output(second),
        closing_response("409 Conflict", "a request of this id is open")
    );
    let silent = harness.connect_client();
    harness.advance(3.0);
    assert_eq!(
        harness.client_output(silent),
        closing_response("408 Request Timeout", "no whole request in time")
    );
}

#[test]
fn shed_and_failure_response_bytes() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.receive_text(client, &request("x1", "ask", 10));
    assert_eq!(
        harness.client_output(client),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 34\r\n\
         Retry-After: 0.200\r\n\r\nrefused: trying again is harmless\n"
    );
    let (client, decode_conn) = harness.start_decode("x2", "book");
    harness.receive_text(decode_conn, &plain_response("500 Oops", "", ""));
    assert_eq!(
        harness.client_output(client),
        "HTTP/1.1 504 Gateway Timeout\r\nContent-Type: text/plain\r\nContent-Length: 24\r\n\r\n\
         failed: it may have run\n"
    );
}

#[test]
fn readiness_bytes() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let ready_request = "GET /ready HTTP/1.1\r\nHost: d\r\n\r\n";
    harness.receive_text(client, ready_request);
    assert_eq!(
        harness.client_output(client),
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nready\n"
    );
    harness.step(Input::Stop);
    let client = harness.connect_client();
    harness.receive_text(client, ready_request);
    assert_eq!(
        harness.client_output(client),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n\
         not ready\n"
    );
}

#[test]
fn release_health_check_and_discovery_call_bytes() {
    let mut harness = Harness::new();
    let client = harness.send_request("p1", "ask");
    harness.step(Input::Ended { conn: client });
    assert_eq!(
        harness
            .last_call(|c| c.request_line().starts_with("DELETE"))
            .text,
        "DELETE /bootstrap/rooms/p1 HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
    );
    assert_eq!(
        harness
            .last_call(|c| c.request_line().starts_with("GET /status"))
            .text,
        "GET /status/load HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
    );
    assert_eq!(
        harness
            .last_call(|c| c.request_line().starts_with("GET /v1"))
            .text,
        "GET /v1/endpoints?watch=1&from=0 HTTP/1.1\r\nHost: discovery\r\n\r\n"
    );
}

/// The outcomes of the attempts in a trace.
fn attempt_ends(trace: Vec<TracedDecision>) -> Vec<AttemptEnd> {
    let end = |traced: TracedDecision| match traced.event {
        Event::AttemptEnded(end) => Some(end),
        _ => None,
    };
    trace.into_iter().filter_map(end).collect()
}

/// A harness with a request at its decode server, and the connection to that server. The trace up to that point is
/// discarded.
fn traced_decode() -> (Harness, ConnId) {
    let mut harness = Harness::with_tracing();
    let (_, decode_conn) = harness.start_decode("t1", "ask");
    harness.node.take_trace();
    (harness, decode_conn)
}

#[test]
fn model_server_responses_as_read() {
    let usage = chunk(
        "data: {\"choices\":[],\"usage\":{\"completion_tokens\":200,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n",
    );
    let report = chunk(": Srv-Load: inflight=7,queue=3,util=0.5,x0=1\n\n");
    let stream = format!(
        "{STREAM_HEAD}{}{usage}{report}0\r\n\r\n",
        chunk("data: 1\n\n")
    );
    let table: [(&str, Outcome, f64, &[f64]); 7] = [
        ("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", Outcome::Error, 0.0, &[]),
        (
            "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
            Outcome::Rejected { state_missing: false },
            0.0,
            &[],
        ),
        (
            "HTTP/1.1 504 Late\r\nSrv-Declined: 1\r\nSrv-Load: x0=0.25,inflight=7,queue=2,util=0.61\r\nContent-Length: 0\r\n\r\n",
            Outcome::Rejected { state_missing: false },
            0.0,
            &[0.61, 2.0, 0.25],
        ),
        (
            "HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
            Outcome::Rejected { state_missing: true },
            0.0,
            &[],
        ),
        (
            "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":64}",
            Outcome::Error,
            64.0,
            &[],
        ),
        ("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Outcome::Error, 0.0, &[]),
        (
            &stream,
            Outcome::Served,
            4096.0,
            &[0.5, 3.0, 1.0],
        ),
    ];
    for (response, outcome, cached, report) in table {
        let (mut harness, decode_conn) = traced_decode();
        harness.receive_text(decode_conn, response);
        let ends = attempt_ends(harness.node.take_trace());
        let end = ends
            .first()
            .unwrap_or_else(|| panic!("no attempt ended after {response}"));
        assert_eq!(end.outcome, outcome, "{response}");
        assert_eq!(end.prefix_hit_tokens, cached, "{response}");
        let answered = (outcome == Outcome::Served).then_some(200.0);
        assert_eq!(end.output_tokens, answered, "{response}");
        assert_eq!(end.report, report, "{response}");
    }
}

#[test]
fn prefill_response_as_read() {
    let mut harness = Harness::with_tracing();
    harness.send_request("t2", "ask");
    harness.node.take_trace();
    harness.complete_prefill();
    let ends = attempt_ends(harness.node.take_trace());
    assert_eq!(ends.len(), 1);
    assert_eq!(ends[0].outcome, Outcome::PrefillDone);
    assert_eq!(ends[0].prefix_hit_tokens, 64.0);
    assert_eq!(ends[0].report, [0.10, 0.0, 0.05]);
}

#[test]
fn access_log_lines() {
    let mut harness = Harness::new();
    harness
        .node
        .enable_access_log(AccessLog::new(&config().settings));
    let (_, decode_conn) = harness.start_decode("e1", "book");
    harness.advance(0.5);
    harness.receive_text(decode_conn, &plain_response("500 Oops", "", ""));
    let client = harness.connect_client();
    harness.receive_text(client, &request("e2", "ask", 10));
    let (client, _) = harness.start_decode("e3", "ask");
    harness.step(Input::Ended { conn: client });
    let server = |uid: &str| xxhash_rust::xxh3::xxh3_64(uid.as_bytes()) as u32;
    let (r1, r2) = (server("h-r1"), server("h-r2"));
    let (w1, w2) = (server("h-w1"), server("h-w2"));
    let text = harness.access_log_lines.join("\n");
    let text = text
        .replace(&r1.to_string(), "R1")
        .replace(&r2.to_string(), "R2")
        .replace(&w1.to_string(), "W1")
        .replace(&w2.to_string(), "W2");
    let expected = [
        "e1 failed class 1 prompt 1200 of which shared 800 aim 2.644 took 0.520 because MayHaveRun; \
         0.000 to R1 reckoned queue 0.000 read 0.048 in all 0.153 slip 0.000 of 3.173 ReadDone after 0.020 found 64; \
         0.020 to W1 reckoned queue 0.000 read 0.048 in all 0.153 slip 0.000 of 3.173 Error after 0.500 found 0; \
         0.020 state HeldAt(R1); 0.520 state Released",
        "e2 refused class 0 prompt 1200 of which shared 800 aim 1.548 took 0.000 because ExpectedLate \
         refused at queue 0.002 read 0.021 in all 0.053 slip 0.000 of 0.010",
        "e3 gone class 0 prompt 1200 of which shared 800 aim 1.548 took 0.020; \
         0.000 to R1 reckoned queue 0.001 read 0.021 in all 0.053 slip 0.000 of 1.858 ReadDone after 0.020 found 64; \
         0.020 to W2 reckoned queue 0.001 read 0.021 in all 0.053 slip 0.000 of 1.858 Cancelled after 0.000 found 0; \
         0.020 state HeldAt(R1); 0.020 state Released",
    ];
    assert_eq!(text, expected.join("\n"));
}

#[test]
fn access_log_line_of_late_request() {
    let mut harness = Harness::new();
    harness
        .node
        .enable_access_log(AccessLog::new(&config().settings));
    let (_, decode_conn) = harness.start_decode("e4", "ask");
    harness.advance(2.0);
    let response = format!("{STREAM_HEAD}{}0\r\n\r\n", chunk("data: 1\n\n"));
    harness.receive_text(decode_conn, &response);
    let line = harness.access_log_lines.join("\n");
    assert!(
        line.starts_with("e4 served late class 0 prompt 1200"),
        "{line}"
    );
    assert!(line.contains(" first token 2.0"), "{line}");
    assert!(line.ends_with("state Taken"), "{line}");
}
