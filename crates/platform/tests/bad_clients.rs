//! Clients that send invalid, partial or excessive input receive an error or are closed in time, and other clients are
//! not affected.
mod common;

use common::*;

#[test]
fn invalid_request_is_rejected_and_not_forwarded() {
    let valid = request("x1", "ask", 4800);
    let replaced = |from: &str, to: &str| valid.replace(from, to);
    let table = [
        ("binary data", "\x00\x01\x02\x03\r\n\r\n".to_string()),
        ("no id", replaced("Req-Id: x1\r\n", "")),
        (
            "two ids",
            replaced("Req-Id: x1\r\n", "Req-Id: x1\r\nReq-Id: x2\r\n"),
        ),
        (
            "an id with a path in it",
            replaced("Req-Id: x1", "Req-Id: ../../x"),
        ),
        (
            "an overlong id",
            replaced("Req-Id: x1", &format!("Req-Id: {}", "x".repeat(300))),
        ),
        ("no class", replaced("Req-Kind: ask\r\n", "")),
        (
            "an unknown class",
            replaced("Req-Kind: ask", "Req-Kind: asks"),
        ),
        (
            "a deadline that is no number",
            replaced("Ms: 4800", "Ms: soon"),
        ),
        ("a negative deadline", replaced("Ms: 4800", "Ms: -4800")),
        (
            "a huge deadline",
            replaced("Ms: 4800", "Ms: 99999999999999999999"),
        ),
        (
            "a length and a transfer coding",
            replaced("Req-Key", "Transfer-Encoding: chunked\r\nReq-Key"),
        ),
        (
            "an invalid length in Req-Extra",
            replaced("prompt_len=1200", "prompt_len=-5"),
        ),
        (
            "another path",
            replaced("/v1/chat/completions", "/v1/endpoints"),
        ),
        ("another method", replaced("POST", "PUT")),
        (
            "a huge length",
            replaced("Content-Length: 30", "Content-Length: 62914560"),
        ),
        (
            "a bad chunk",
            replaced(
                "Content-Length: 30\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            ),
        ),
    ];
    for (name, bytes) in table {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.receive_text(client, &bytes);
        let status: u16 = harness
            .status(client)
            .parse()
            .unwrap_or_else(|_| panic!("{name}: no response"));
        assert!(
            (400..600).contains(&status) && status != 503,
            "{name}: {status}"
        );
        assert!(
            harness.finished.contains(&client),
            "{name}: the connection stays open after invalid input"
        );
        harness.advance(1.0);
        assert_eq!(
            harness.count_calls(|c| c.request_line().starts_with("POST")),
            0,
            "{name}"
        );
    }
}

#[test]
fn id_of_open_request_is_rejected() {
    let mut harness = Harness::new();
    let first = harness.send_request("same", "ask");
    let second = harness.send_request("same", "ask");
    assert_eq!(harness.status(second), "409");
    assert_eq!(harness.count_calls(Call::is_prefill), 1);
    harness.complete_prefill();
    let decode_conn = harness.last_call(Call::is_decode).conn;
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    assert_eq!(
        decode_chunked(harness.client_output(first)),
        stream_event("one"),
        "the first request is affected"
    );
}

#[test]
fn silent_and_partial_clients_end_within_three_seconds() {
    let valid = request("h1", "ask", 4800);
    for partial in ["", "POST /v1/chat", &valid[..valid.len() - 5]] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.receive_text(client, partial);
        harness.advance(1.5);
        harness.receive_text(client, "");
        harness.advance(1.4);
        assert!(harness.finished.contains(&client), "{partial:?}");
        assert_eq!(
            harness.count_calls(|c| c.request_line().starts_with("POST")),
            0
        );
    }
}

/// A client whose earlier requests were valid may send a further request slowly, but is disconnected if it stops within
/// it.
#[test]
fn stopped_later_request_ends_within_three_seconds() {
    let valid = request("h2", "ask", 4800);
    for partial in ["POST /v1/chat", &valid[..valid.len() - 5]] {
        for slow in [true, false] {
            let mut harness = Harness::new();
            let (client, decode_conn) = harness.start_decode("h1", "ask");
            harness.receive_text(
                decode_conn,
                &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
            );
            harness.advance(5.0);
            for piece in partial
                .as_bytes()
                .chunks(partial.len().div_ceil(3))
                .filter(|_| slow)
            {
                harness.advance(1.0);
                harness.receive(client, piece);
            }
            if !slow {
                harness.receive_text(client, partial);
            }
            harness.advance(2.5);
            assert!(
                !harness.finished.contains(&client),
                "{partial:?}, slow {slow}"
            );
            harness.advance(0.4);
            assert!(
                harness.finished.contains(&client),
                "{partial:?}, slow {slow}"
            );
        }
    }
}

#[test]
fn slow_request_is_served_and_connection_kept() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    for byte in request("slow", "ask", 4800).as_bytes() {
        harness.receive(client, &[*byte]);
        harness.advance(0.005);
    }
    harness.advance(0.05);
    harness.complete_prefill();
    let decode_conn = harness.last_call(Call::is_decode).conn;
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    harness.advance(60.0);
    assert!(!harness.finished.contains(&client) && !harness.closed.contains(&client));
}

#[test]
fn idle_clients_are_evicted_for_new_ones() {
    let mut harness = Harness::new();
    let mut clients = Vec::new();
    for i in 0..400 {
        let client = harness.send_request(&format!("n{i}"), "ask");
        harness.complete_prefill();
        let decode_conn = harness.last_call(Call::is_decode).conn;
        harness.receive_text(
            decode_conn,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
        );
        assert_eq!(
            decode_chunked(harness.client_output(client)),
            stream_event("one"),
            "client {i} is not served"
        );
        clients.push(client);
    }
    let closed = clients
        .iter()
        .filter(|c| harness.closed.contains(c))
        .count();
    assert!(closed > 200, "only {closed} idle clients were evicted");
    let last = clients.last().expect("clients are connected");
    assert!(
        !harness.closed.contains(last),
        "the newest client was evicted"
    );
}

#[test]
fn silent_clients_evict_each_other_and_no_open_request() {
    let mut harness = Harness::new();
    let (client, decode_conn) = harness.start_decode("good", "ask");
    for _ in 0..500 {
        harness.connect_client();
    }
    harness.advance(1.0);
    for _ in 0..500 {
        harness.connect_client();
    }
    let new_client = harness.send_request("late", "ask");
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    assert_eq!(
        decode_chunked(harness.client_output(client)),
        stream_event("one")
    );
    assert!(
        !harness.closed.contains(&new_client),
        "a client that sends a request at once was evicted"
    );
    assert_eq!(harness.count_calls(Call::is_prefill), 2);
}

#[test]
fn pipelined_bytes_are_bounded() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.receive_text(
        client,
        &format!(
            "{}{}",
            request("a1", "ask", 4800),
            request("a2", "ask", 4800)
        ),
    );
    harness.advance(0.02);
    assert_eq!(
        harness.count_calls(Call::is_prefill),
        1,
        "pipelined requests run one at a time"
    );
    harness.complete_prefill();
    let decode_conn = harness.last_call(Call::is_decode).conn;
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    harness.advance(0.02);
    assert_eq!(
        harness.count_calls(Call::is_prefill),
        2,
        "the second request runs after the first response"
    );
    // Pipelined bytes beyond the limit are dropped, and the connection ends once the open request is answered.
    harness.receive_text(client, &"x".repeat(30_000));
    harness.receive_text(client, &request("a3", "ask", 4800));
    harness.complete_prefill();
    let decode_conn = harness.last_call(Call::is_decode).conn;
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    harness.advance(0.02);
    assert!(
        harness.client_output(client).contains("HTTP/1.1 413")
            && harness.finished.contains(&client)
    );
    assert_eq!(
        harness.count_calls(Call::is_prefill),
        2,
        "a request after dropped bytes was forwarded"
    );
}
