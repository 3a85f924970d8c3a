//! Sockets and HTTP upgrades whose peer is stuck, silent, slow or violates the protocol.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bitternlatch_identity::Caller;
use bitternlatch_net::accept::{Acceptor, Handler, ListenerOptions};
use bitternlatch_net::dial::dial;
use bitternlatch_net::socket::{start, Limits, NotQueued, Outbox, ReadOutcome};
use tungstenite::protocol::Role;

fn limits(queue: usize) -> Limits {
    Limits {
        max_message_bytes: 1 << 20,
        max_queued_messages: queue,
        ping_interval: Duration::from_millis(200),
        idle_timeout: None,
    }
}

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let one =
        TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    (one, listener.accept().expect("the other end").0)
}

#[test]
fn message_that_expires_behind_a_stuck_peer_is_reported_and_not_written() {
    let (near, mut far) = pair();
    let unsent = Arc::new(Mutex::new(Vec::new()));
    let reported = Arc::clone(&unsent);
    let callback = Box::new(move |id| reported.lock().expect("not poisoned").push(id));
    let long = Limits {
        ping_interval: Duration::from_secs(60),
        ..limits(100_000)
    };
    let (_reader, outbox) =
        start(near, Vec::new(), Role::Client, long, Some(callback)).expect("threads");
    // Far more data than the socket buffers hold, so that the writer thread blocks while it writes these messages.
    for _ in 0..1000 {
        outbox.text("x".repeat(64 * 1024)).expect("room");
    }
    outbox
        .text_within("STALE".into(), Duration::from_millis(100), "a-1".into())
        .expect("room");
    outbox.text("fresh".into()).expect("room");
    std::thread::sleep(Duration::from_millis(400));
    let mut got = 0usize;
    let frame = 64 * 1024 + 14;
    let mut buffer = vec![0; 1 << 20];
    far.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    while got < 1000 * frame + 11 {
        got += far.read(&mut buffer).expect("bytes");
    }
    assert_eq!(
        got,
        1000 * frame + 11,
        "the long messages and the fresh one, nothing else"
    );
    assert_eq!(*unsent.lock().expect("not poisoned"), ["a-1"]);
}

#[test]
fn full_queue_rejects_messages_and_silent_peer_is_disconnected() {
    let (near, _far) = pair();
    let (mut reader, outbox) =
        start(near, Vec::new(), Role::Server, limits(8), None).expect("threads");
    let text = "x".repeat(1 << 20);
    let rejected = (0..100).any(|_| outbox.text(text.clone()) == Err(NotQueued));
    assert!(rejected);
    let start = Instant::now();
    assert!(
        matches!(reader.read(), ReadOutcome::Ended(_)),
        "the peer neither answers pings nor reads"
    );
    assert!(start.elapsed() < Duration::from_secs(10));
}

#[test]
fn dialing_times_out_and_reports_a_rejected_upgrade() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    let start = Instant::now();
    let unanswered = dial(&address, "/", Duration::from_millis(200), limits(8), None);
    assert!(
        unanswered.is_err() && start.elapsed() < Duration::from_secs(5),
        "the connection is accepted by the operating system, but no response is sent"
    );
    let answer = std::thread::spawn(move || {
        let (mut stream, _) = listener
            .accept()
            .and_then(|_| listener.accept())
            .expect("a connection");
        let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\n\r\n");
        std::thread::sleep(Duration::from_millis(100));
    });
    let refused = dial(&address, "/", Duration::from_secs(5), limits(8), None)
        .err()
        .expect("refused");
    assert!(refused.to_string().contains("503"), "{refused}");
    answer.join().expect("the server ends");
    assert!(dial(
        "no such host:1",
        "/",
        Duration::from_secs(1),
        limits(8),
        None
    )
    .is_err());
    assert!(dial("127.0.0.1:1", "/", Duration::from_secs(1), limits(8), None).is_err());
}

#[test]
fn message_over_the_size_limit_ends_the_socket_with_the_reason() {
    let (near, far) = pair();
    let small = Limits {
        max_message_bytes: 1024,
        ..limits(8)
    };
    let (mut reader, _) = start(near, Vec::new(), Role::Client, small, None).expect("threads");
    let (mut other, to) = start(far, Vec::new(), Role::Server, limits(8), None).expect("threads");
    to.text("short".into()).expect("room");
    to.text("x".repeat(1025)).expect("room");
    assert!(matches!(reader.read(), ReadOutcome::Text(t) if t == "short"));
    assert!(matches!(reader.read(), ReadOutcome::Ended(why) if why.contains("too long")));
    assert!(
        matches!(other.read(), ReadOutcome::Ended(why) if why.contains("1009")),
        "the sender receives close code 1009"
    );
}

#[test]
fn ambiguous_upgrade_requests_are_rejected() {
    struct IgnoreAll;
    impl Handler for IgnoreAll {
        fn opened(&self, _: u64, _: Outbox, _: Option<Caller>) {}
        fn text(&self, _: u64, _: String) {}
        fn closed(&self, _: u64, _: String) {}
        fn get(&self, _: &str) -> (u16, String) {
            (404, String::new())
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let options = ListenerOptions::plaintext(10, Duration::from_secs(5), limits(8));
    let acceptor = Acceptor::start(listener, options, Arc::new(IgnoreAll)).expect("a thread");
    let status = |first: &str, rest: &str| {
        let mut stream = TcpStream::connect(acceptor.address()).expect("a connection");
        let request = format!(
            "GET / {first}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n\
             Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n{rest}\r\n"
        );
        stream.write_all(request.as_bytes()).expect("sent");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("an option");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).expect("an answer");
        String::from_utf8_lossy(&answer[9..]).into_owned()
    };
    assert_eq!(status("HTTP/1.1", "Host: x\r\n"), "101");
    assert_eq!(
        status("HTTP/1.1", "Host: x\r\nContent-Length: 0\r\n"),
        "101"
    );
    for (first, rest) in [
        ("HTTP/1.0", "Host: x\r\n"),
        ("HTTP/1.1", ""),
        ("HTTP/1.1", "Host: x\r\nHost: y\r\n"),
        (
            "HTTP/1.1",
            "Host: x\r\nSec-WebSocket-Key: BAAAAAAAAAAAAAAAAAAAAA==\r\n",
        ),
        ("HTTP/1.1", "Host: x\r\nContent-Length: 5\r\n"),
        ("HTTP/1.1", "Host: x\r\nTransfer-Encoding: chunked\r\n"),
        (
            "HTTP/1.1",
            "Host: x\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n",
        ),
    ] {
        assert_eq!(status(first, rest), "400", "{first} {rest}");
    }
    acceptor.stop();
}
