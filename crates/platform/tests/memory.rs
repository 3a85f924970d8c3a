//! Memory limit for requests that are never completed.
mod common;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::types::ConnId;
use common::*;

/// Memory limit of the test configuration.
const MEMORY_LIMIT_BYTES: usize = 64 << 20;
/// Part of the memory limit that unfinished requests may use.
const MAX_UNFINISHED_BYTES: usize = MEMORY_LIMIT_BYTES / 8;

/// Head of a request with a body of `length` bytes, chunked or with a Content-Length field.
fn request_head(id: usize, length: usize, chunked: bool) -> String {
    let framing = if chunked {
        "Transfer-Encoding: chunked\r\n".to_string()
    } else {
        format!("Content-Length: {length}\r\n")
    };
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: h{id}\r\nReq-Kind: ask\r\nReq-Deadline-Ms: 4800\r\n{framing}\r\n"
    )
}

fn harness_with_1024_sockets() -> Harness {
    Harness::with_config(Config::parse(&config_json(1024)).expect("the configuration is valid"))
}

/// Connects `count` clients that each send most of a body of the largest size. Returns their connections.
fn send_partial_bodies(harness: &mut Harness, count: usize, chunked: bool) -> Vec<ConnId> {
    let length = 256 * 1024;
    let body = "x".repeat(32 * 1024);
    let clients: Vec<ConnId> = (0..count)
        .map(|id| {
            let client = harness.connect_client();
            harness.receive_text(client, &request_head(id, length, chunked));
            client
        })
        .collect();
    for _ in 0..7 {
        for client in clients
            .iter()
            .filter(|c| !harness.finished.contains(c))
            .copied()
            .collect::<Vec<_>>()
        {
            harness.receive_text(client, &if chunked { chunk(&body) } else { body.clone() });
        }
        assert!(
            harness.node.resource_usage().unfinished_bytes <= MAX_UNFINISHED_BYTES,
            "{:?}",
            harness.node.resource_usage()
        );
    }
    clients
}

#[test]
fn partial_requests_stay_within_memory_limit() {
    for chunked in [false, true] {
        let mut harness = harness_with_1024_sockets();
        let clients = send_partial_bodies(&mut harness, 300, chunked);
        let rejected: Vec<&ConnId> = clients
            .iter()
            .filter(|c| harness.finished.contains(c))
            .collect();
        assert!(rejected.iter().all(|c| harness.status(**c) == "503"));
        let kept = clients.len() - rejected.len();
        assert!(
            kept >= MAX_UNFINISHED_BYTES / (256 * 1024) / 2,
            "only {kept} clients keep their partial request"
        );
        // A request that arrives meanwhile is served.
        let (client, decode_conn) = harness.start_decode("good", "ask");
        harness.receive_text(
            decode_conn,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
        );
        assert_eq!(
            decode_chunked(harness.client_output(client)),
            stream_event("one")
        );
    }
}

#[test]
fn slow_long_request_is_served() {
    let mut harness = harness_with_1024_sockets();
    let length = 200 * 1024;
    let client = harness.connect_client();
    harness.receive_text(client, &request_head(1, length, false));
    for _ in 0..50 {
        harness.receive_text(client, &"x".repeat(length / 50));
        harness.advance(0.02);
    }
    assert_eq!(harness.count_calls(Call::is_prefill), 1);
    assert_eq!(harness.node.resource_usage().unfinished_bytes, 0);
}

#[test]
fn open_requests_do_not_count_as_partial() {
    let mut harness = harness_with_1024_sockets();
    let (client, decode_conn) = harness.start_decode("first", "ask");
    send_partial_bodies(&mut harness, 300, false);
    assert!(
        !harness.finished.contains(&client),
        "an open request was rejected because of partial requests of other clients"
    );
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
    );
    assert_eq!(
        decode_chunked(harness.client_output(client)),
        stream_event("one")
    );
}
