//! Clients that send what cannot be taken get an error or a close in time, and nobody else is disturbed.
mod common;

use common::*;

#[test]
fn invalid_request_is_rejected_and_not_forwarded() {
    let good = request("x1", "ask", 4800);
    let swap = |from: &str, to: &str| good.replace(from, to);
    let table = [
        ("noise", "\x00\x01\x02\x03\r\n\r\n".to_string()),
        ("no id", swap("Req-Id: x1\r\n", "")),
        (
            "two ids",
            swap("Req-Id: x1\r\n", "Req-Id: x1\r\nReq-Id: x2\r\n"),
        ),
        (
            "an id with a path in it",
            swap("Req-Id: x1", "Req-Id: ../../x"),
        ),
        (
            "an endless id",
            swap("Req-Id: x1", &format!("Req-Id: {}", "x".repeat(300))),
        ),
        ("no class", swap("Req-Kind: ask\r\n", "")),
        ("an unknown class", swap("Req-Kind: ask", "Req-Kind: asks")),
        ("a deadline that is no number", swap("Ms: 4800", "Ms: soon")),
        ("a negative deadline", swap("Ms: 4800", "Ms: -4800")),
        (
            "a huge deadline",
            swap("Ms: 4800", "Ms: 99999999999999999999"),
        ),
        (
            "a length and a coding",
            swap("Req-Key", "Transfer-Encoding: chunked\r\nReq-Key"),
        ),
        (
            "lengths in Req-Extra",
            swap("prompt_len=1200", "prompt_len=-5"),
        ),
        (
            "another path",
            swap("/v1/chat/completions", "/v1/endpoints"),
        ),
        ("another method", swap("POST", "PUT")),
        (
            "a huge length",
            swap("Content-Length: 30", "Content-Length: 62914560"),
        ),
        (
            "a bad chunk",
            swap(
                "Content-Length: 30\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            ),
        ),
    ];
    for (name, bytes) in table {
        let mut rig = Rig::new();
        let client = rig.client();
        rig.text(client, &bytes);
        let status: u16 = rig
            .status(client)
            .parse()
            .unwrap_or_else(|_| panic!("{name}: no answer"));
        assert!(
            (400..600).contains(&status) && status != 503,
            "{name}: {status}"
        );
        assert!(
            rig.finished.contains(&client),
            "{name}: what follows is not believed"
        );
        rig.pass(1.0);
        assert_eq!(rig.count(|c| c.line().starts_with("POST")), 0, "{name}");
    }
}

#[test]
fn id_of_open_request_is_rejected() {
    let mut rig = Rig::new();
    let first = rig.ask("same", "ask");
    let second = rig.ask("same", "ask");
    assert_eq!(rig.status(second), "409");
    assert_eq!(rig.count(Call::is_prefill), 1);
    rig.prefill_done();
    let writer = rig.last(Call::is_decode).conn;
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
    assert_eq!(
        unchunk(rig.said(first)),
        event("one"),
        "the first is not disturbed"
    );
}

#[test]
fn silent_and_partial_clients_end_within_three_seconds() {
    let good = request("h1", "ask", 4800);
    for half in ["", "POST /v1/chat", &good[..good.len() - 5]] {
        let mut rig = Rig::new();
        let client = rig.client();
        rig.text(client, half);
        rig.pass(1.5);
        rig.text(client, "");
        rig.pass(1.4);
        assert!(rig.finished.contains(&client), "{half:?}");
        assert_eq!(rig.count(|c| c.line().starts_with("POST")), 0);
    }
}

/// Whoever has asked in order before may be slow, but not stop within a request and stay.
#[test]
fn stopped_later_request_ends_within_three_seconds() {
    let good = request("h2", "ask", 4800);
    for half in ["POST /v1/chat", &good[..good.len() - 5]] {
        for slow in [true, false] {
            let mut rig = Rig::new();
            let (client, writer) = rig.at_decode("h1", "ask");
            rig.text(
                writer,
                &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
            );
            rig.pass(5.0);
            for piece in half
                .as_bytes()
                .chunks(half.len().div_ceil(3))
                .filter(|_| slow)
            {
                rig.pass(1.0);
                rig.bytes(client, piece);
            }
            if !slow {
                rig.text(client, half);
            }
            rig.pass(2.5);
            assert!(!rig.finished.contains(&client), "{half:?}, slow {slow}");
            rig.pass(0.4);
            assert!(rig.finished.contains(&client), "{half:?}, slow {slow}");
        }
    }
}

#[test]
fn slow_request_is_served_and_connection_kept() {
    let mut rig = Rig::new();
    let client = rig.client();
    for byte in request("slow", "ask", 4800).as_bytes() {
        rig.bytes(client, &[*byte]);
        rig.pass(0.005);
    }
    rig.pass(0.05);
    rig.prefill_done();
    let writer = rig.last(Call::is_decode).conn;
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
    rig.pass(60.0);
    assert!(!rig.finished.contains(&client) && !rig.closed.contains(&client));
}

#[test]
fn idle_clients_are_evicted_for_new_ones() {
    let mut rig = Rig::new();
    let mut stayed = Vec::new();
    for i in 0..400 {
        let client = rig.ask(&format!("n{i}"), "ask");
        rig.prefill_done();
        let writer = rig.last(Call::is_decode).conn;
        rig.text(
            writer,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
        );
        assert_eq!(unchunk(rig.said(client)), event("one"), "newcomer {i}");
        stayed.push(client);
    }
    let closed = stayed.iter().filter(|c| rig.closed.contains(c)).count();
    assert!(closed > 200, "there is no room for all: {closed}");
    let last = stayed.last().expect("one");
    assert!(!rig.closed.contains(last), "the oldest went first");
}

#[test]
fn silent_clients_evict_each_other_and_no_open_request() {
    let mut rig = Rig::new();
    let (client, writer) = rig.at_decode("good", "ask");
    for _ in 0..500 {
        rig.client();
    }
    rig.pass(1.0);
    for _ in 0..500 {
        rig.client();
    }
    let late = rig.ask("late", "ask");
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
    assert_eq!(unchunk(rig.said(client)), event("one"));
    assert!(
        !rig.closed.contains(&late),
        "one that asks at once is let in"
    );
    assert_eq!(rig.count(Call::is_prefill), 2);
}

#[test]
fn pipelined_bytes_are_bounded() {
    let mut rig = Rig::new();
    let client = rig.client();
    rig.text(
        client,
        &format!(
            "{}{}",
            request("a1", "ask", 4800),
            request("a2", "ask", 4800)
        ),
    );
    rig.pass(0.02);
    assert_eq!(rig.count(Call::is_prefill), 1, "one at a time");
    rig.prefill_done();
    let writer = rig.last(Call::is_decode).conn;
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
    rig.pass(0.02);
    assert_eq!(
        rig.count(Call::is_prefill),
        2,
        "the second follows the first's answer"
    );
    // Past the bound nothing is kept: what comes is dropped, and its connection ends once the request has its answer.
    rig.text(client, &"x".repeat(30_000));
    rig.text(client, &request("a3", "ask", 4800));
    rig.prefill_done();
    let writer = rig.last(Call::is_decode).conn;
    rig.text(
        writer,
        &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))),
    );
    rig.pass(0.02);
    assert!(rig.said(client).contains("HTTP/1.1 413") && rig.finished.contains(&client));
    assert_eq!(
        rig.count(Call::is_prefill),
        2,
        "nothing behind what was dropped is believed"
    );
}
