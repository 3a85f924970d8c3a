//! TLS under the two threads of a socket: both ways at once, keys changed on the way, peers that do not do what they should.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bitternlatch_core::settings::ListenTls;
use bitternlatch_keys::authority::{Authority, CertificateRequest};
use bitternlatch_net::socket::{start, Heard, Limits};
use bitternlatch_net::tls::{Client, Server};
use bitternlatch_net::wire::Wire;
use rustls::pki_types::ServerName;
use rustls::{ClientConnection, StreamOwned};
use tungstenite::protocol::Role;

struct Ends {
    server: Server,
    client: Client,
}

fn ends(name: &str) -> Ends {
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
    let server = Server::load(&settings, &dir).expect("a server");
    let client = Client::from_files(vec![dir.join("authority.pem")]).expect("a client");
    Ends { server, client }
}

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let one =
        TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    (one, listener.accept().expect("the other end").0)
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

fn limits() -> Limits {
    Limits {
        message_bytes: 1 << 20,
        queue: 100_000,
        ping: Duration::from_secs(10),
        idle: None,
    }
}

#[test]
fn both_sides_talk_at_once_and_nothing_is_lost_or_mixed() {
    const MESSAGES: usize = 3000;
    let ends = ends("duplex");
    let (near, far) = pair();
    let config = ends.server.config();
    let served =
        std::thread::spawn(move || Wire::accept(far, config, soon()).expect("a handshake"));
    let near = Wire::connect(near, ends.client.config(), "box", soon()).expect("a handshake");
    let (a, to_b) = start(near, Vec::new(), Role::Client, limits(), None).expect("threads");
    let (b, to_a) = start(
        served.join().expect("it"),
        Vec::new(),
        Role::Server,
        limits(),
        None,
    )
    .expect("threads");
    let text = |who: &str, i: usize| format!("{who}{i} {}", "x".repeat(i % 977 * 20));
    let hear = |mut from: bitternlatch_net::socket::Reader, who: &'static str| {
        std::thread::spawn(move || {
            for i in 0..MESSAGES {
                match from.hear() {
                    Heard::Text(t) => assert!(t == text(who, i), "message {i} of {who}"),
                    Heard::Ended(why) => panic!("{who} ended at {i}: {why}"),
                }
            }
            from
        })
    };
    let (at_a, at_b) = (hear(a, "b"), hear(b, "a"));
    for i in 0..MESSAGES {
        to_b.text(text("a", i)).expect("room");
        to_a.text(text("b", i)).expect("room");
    }
    let (mut a, _b) = (
        at_a.join().expect("all heard"),
        at_b.join().expect("all heard"),
    );
    to_a.close(1000, "enough");
    assert!(
        matches!(a.hear(), Heard::Ended(why) if why.contains("1000")),
        "the farewell comes through"
    );
}

#[test]
fn a_peer_that_changes_its_keys_is_followed_both_ways() {
    let ends = ends("key-update");
    let (near, far) = pair();
    let config = ends.server.config();
    let served =
        std::thread::spawn(move || Wire::accept(far, config, soon()).expect("a handshake"));
    let name = ServerName::try_from("box").expect("a name");
    let session = ClientConnection::new(ends.client.config(), name).expect("a session");
    near.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let mut peer = StreamOwned::new(session, near);
    peer.flush().expect("a handshake");
    let wire = Arc::new(served.join().expect("it"));
    let mut buffer = [0; 64];
    for round in 0..5 {
        // Asks the other side to change its keys too: it says so before its next bytes.
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
fn handshakes_that_stall_lie_or_leave_end_in_time() {
    let ends = ends("handshakes");
    let accept = |within_ms: u64, act: &dyn Fn(TcpStream)| {
        let (near, far) = pair();
        act(near);
        let start = Instant::now();
        let by = start + Duration::from_millis(within_ms);
        let end = Wire::accept(far, ends.server.config(), by)
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
    // A byte now and then does not win more time than all are given.
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
