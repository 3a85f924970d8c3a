//! Responses that break off at each of their bytes, and responses that arrive byte by byte.
mod common;

use bitternlatch_platform::types::Input;
use common::*;

fn response() -> String {
    format!(
        "{STREAM_HEAD}{}{}0\r\n\r\n",
        chunk(&stream_event("one")),
        chunk(&stream_event("two"))
    )
}

/// Before the first complete event, the request is retried on another server if its class allows that. After it, the
/// client receives complete events only, and no last chunk.
#[test]
fn truncated_response_is_never_complete() {
    let (text, first) = (response(), stream_event("one"));
    let first_event_end = text.find(&first).expect("the first event") + first.len();
    let second_event_end =
        text.find(&stream_event("two")).expect("the second event") + stream_event("two").len();
    for (kind, may_retry) in [("ask", true), ("book", false)] {
        for cut in 0..text.len() {
            let mut harness = Harness::new();
            let (client, decode_conn) = harness.start_decode("k1", kind);
            let decode_calls = harness.count_calls(Call::is_decode);
            if cut > 0 {
                harness.receive_text(decode_conn, &text[..cut]);
            }
            harness.step(Input::Ended { conn: decode_conn });
            let is_retried = harness.count_calls(Call::is_decode) > decode_calls;
            let case = format!("{kind}, cut at {cut}");
            assert_eq!(harness.node.counts().served, 0, "{case}");
            if cut < first_event_end {
                assert_eq!(is_retried, may_retry, "{case}");
                assert_eq!(
                    harness.status(client),
                    if may_retry { "" } else { "504" },
                    "{case}"
                );
                continue;
            }
            let events = if cut < second_event_end {
                first.clone()
            } else {
                first.clone() + &stream_event("two")
            };
            assert!(!is_retried && harness.finished.contains(&client), "{case}");
            assert_eq!(
                decode_chunked(harness.client_output(client)),
                events,
                "{case}"
            );
            assert!(
                !harness.client_output(client).ends_with("0\r\n\r\n"),
                "{case}"
            );
        }
    }
}

/// A response may arrive byte by byte, as long as the time between two complete events stays below the limit of a
/// stream.
#[test]
fn response_may_come_byte_by_byte() {
    let mut harness = Harness::new();
    let (client, decode_conn) = harness.start_decode("k2", "ask");
    let text = response();
    let first_event_end =
        text.find(&stream_event("one")).expect("the first event") + stream_event("one").len();
    for (i, byte) in text.as_bytes().iter().enumerate() {
        harness.advance(if i < first_event_end { 0.001 } else { 0.05 });
        harness.receive(decode_conn, &[*byte]);
    }
    assert_eq!(
        decode_chunked(harness.client_output(client)),
        stream_event("one") + &stream_event("two")
    );
    assert!(harness.client_output(client).ends_with("0\r\n\r\n"));
    assert_eq!(
        (
            harness.node.counts().served,
            harness.count_calls(Call::is_decode)
        ),
        (1, 1)
    );
}

/// A client that reads one byte per second is slow, but not stalled, and is not disconnected.
#[test]
fn slow_reader_keeps_its_response() {
    let mut harness = Harness::new();
    harness.clients_blocked = true;
    let (client, decode_conn) = harness.start_decode("k3", "ask");
    harness.receive_text(decode_conn, &response());
    for _ in 0..100 {
        harness.advance(1.0);
        harness.step(Input::Wrote {
            conn: client,
            count: 1,
        });
    }
    assert!(!harness.closed.contains(&client) && !harness.finished.contains(&client));
    assert_eq!(harness.node.counts().served, 1);
}
