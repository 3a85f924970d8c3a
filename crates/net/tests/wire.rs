//! TLS transport shared by a reader and a writer thread: traffic in both directions at once, key updates during traffic, and
//! handshakes with misbehaving peers.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bitternlatch_core::settings::ListenTls;
use bitternlatch_keys::authority::{Authority, CertificateRequest};
use bitternlatch_net::socket::{start, Limits, ReadOutcome};
use bitternlatch_net::tls::{ClientTls, ServerTls};
use bitternlatch_net::wire::Transport;
use rustls::pki_types::ServerName;
use rustls::{ClientConnection, StreamOwned};
use tungstenite::protocol::Role;

struct Configurations {
    server: ServerTls,
    client: ClientTls,
}

fn configurations(name: &str) -> Configurations {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_secs();
    let authority = Authority::create(&dir, "ca", now).expect("an authority");
    let wanted = CertificateRequest {
        dns: vec!["box".into()],
        not_before: now - 60,
        not_after: now + 600,
        ..CertificateRequest::default()
    };
    Authority::write(
        &dir,
        "box",
        &authority.issue(&wanted).expect("a certificate"),
    )
    .expect("files");
    let settings = ListenTls {
        certificate: "box.pem".into(),
        key: "box.key".into(),
        client_authorities: None,
        client_certificate_required: false,
        revocation_lists: Vec::new(),
    };
    let server = ServerTls::load(&settings, &dir).expect("a server");
    let client = ClientTls::from_files(vec![dir.join("authority.pem")]).expect("a client");
    Configurations { server, client }
}

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let one =
        TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    (one, listener.accept().expect("the other end").0)
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

fn limits() -> Limits {
    Limits {
        max_message_bytes: 1 << 20,
        max_queued_messages: 100_000,
        ping_interval: Duration::from_secs(10),
        idle_timeout: None,
    }
}

#[test]
fn simultaneous_traffic_in_both_directions_arrives_complete_and_in_order() {
    const MESSAGES: usize = 3000;
    let configurations = configurations("duplex");
    let (near, far) = pair();
    let config = configurations.server.config();
    let accepting = std::thread::spawn(move || {
        Transport::accept(far, config, deadline()).expect("a handshake")
    });
    let near = Transport::connect(near, configurations.client.config(), "box", deadline())
        .expect("a handshake");
    let (a, to_b) = start(near, Vec::new(), Role::Client, limits(), None).expect("threads");
    let (b, to_a) = start(
        accepting.join().expect("it"),
        Vec::new(),
        Role::Server,
        limits(),
        None,
    )
    .expect("threads");
    let text = |who: &str, i: usize| format!("{who}{i} {}", "x".repeat(i % 977 * 20));
    let receive_all = |mut from: bitternlatch_net::socket::Reader, who: &'static str| {
        std::thread::spawn(move || {
            for i in 0..MESSAGES {
                match from.read() {
                    ReadOutcome::Text(t) => assert!(t == text(who, i), "message {i} of {who}"),
                    ReadOutcome::Ended(why) => panic!("{who} ended at {i}: {why}"),
                }
            }
            from
        })
    };
    let (at_a, at_b) = (receive_all(a, "b"), receive_all(b, "a"));
    for i in 0..MESSAGES {
        to_b.text(text("a", i)).expect("room");
        to_a.text(text("b", i)).expect("room");
    }
    let (mut a, _b) = (
        at_a.join().expect("all received"),
        at_b.join().expect("all received"),
    );
    to_a.close(1000, "enough");
    assert!(
        matches!(a.read(), ReadOutcome::Ended(why) if why.contains("1000")),
        "the close frame arrives"
    );
}

#[test]
fn key_updates_by_the_peer_are_followed_in_both_directions() {
    let configurations = configurations("key-update");
    let (near, far) = pair();
    let config = configurations.server.config();
    let accepting = std::thread::spawn(move || {
        Transport::accept(far, config, deadline()).expect("a handshake")
    });
    let name = ServerName::try_from("box").expect("a name");
    let session = ClientConnection::new(configurations.client.config(), name).expect("a session");
    near.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let mut peer = StreamOwned::new(session, near);
    peer.flush().expect("a handshake");
    let wire = Arc::new(accepting.join().expect("it"));
    let mut buffer = [0; 64];
    for round in 0..5 {
        // Requests a key update from the other side too, which sends its update before its next data.
        peer.conn.refresh_traffic_keys().expect("an update");
        peer.write_all(b"ping").expect("sent");
        let n = wire.receive(&mut buffer).expect("read");
        assert_eq!(&buffer[..n], b"ping", "round {round}");
        wire.send(b"pong").expect("sent");
        assert!(!wire.wants_write());
        peer.read_exact(&mut buffer[..4])
            .expect("read with the new keys");
        assert_eq!(&buffer[..4], b"pong");
    }
}

#[test]
fn stalled_invalid_and_abandoned_handshakes_end_by_the_deadline() {
    let configurations = configurations("handshakes");
    let accept = |within_ms: u64, act: &dyn Fn(TcpStream)| {
        let (near, far) = pair();
        act(near);
        let start = Instant::now();
        let by = start + Duration::from_millis(within_ms);
        let end = Transport::accept(far, configurations.server.config(), by)
            .err()
            .expect("no handshake")
            .kind();
        assert!(start.elapsed() < Duration::from_secs(10));
        end
    };
    let held = std::sync::Mutex::new(Vec::new());
    let hold = |s: TcpStream| held.lock().expect("not poisoned").push(s);
    assert_eq!(accept(200, &hold), std::io::ErrorKind::TimedOut);
    assert_eq!(accept(20_000, &drop), std::io::ErrorKind::UnexpectedEof);
    let plain = |mut s: TcpStream| {
        s.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("sent");
        hold(s);
    };
    assert_eq!(accept(20_000, &plain), std::io::ErrorKind::InvalidData);
    // A peer that sends single bytes does not extend the deadline.
    let trickle = |mut s: TcpStream| {
        std::thread::spawn(move || {
            for byte in [22u8, 3, 1, 2, 0] {
                let _ = s.write_all(&[byte]);
                std::thread::sleep(Duration::from_millis(150));
            }
        });
    };
    assert_eq!(accept(400, &trickle), std::io::ErrorKind::TimedOut);
}
