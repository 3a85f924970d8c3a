//! Files, frames, answers and the status keep their bytes.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::path::Path;
use std::time::Duration;

use bitternlatch_cluster_net::{
    fetch_roster, ClusterRuntime, ClusterStatus, DurableStore, MemberStatus, ServiceHandle,
    SnapshotStore, Store,
};
use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_membership::{NameKey, Secret, Topic};
use bitternlatch_quota_lease::{ClusterService, ServiceInput, ServiceOutput, StoredEntries};

const SECRET: &[u8] = b"sixteen bytes or more";
const START: &str = "4000000000000000\n";
const ROSTER: &str = r#"{"cluster":"hall","roster":[{"name":"d1","address":"127.0.0.1:7001","clients":"c1:80"},{"name":"d2","address":"127.0.0.1:7002","clients":null}]}"#;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn address(n: u16) -> SocketAddrV4 {
    let process = std::process::id();
    let host = [127, 201, (process >> 8) as u8, process as u8];
    SocketAddrV4::new(host.into(), 7911 + n)
}

fn cluster(peers: [u16; 2]) -> Cluster {
    let peer = |(n, port)| Peer {
        name: format!("d{n}"),
        address: address(port),
        client_address: None,
    };
    Cluster {
        name: "hall".into(),
        secret: "secret".into(),
        incarnation_file: Some("d1.start".into()),
        roster: [(1, peers[0]), (2, peers[1])].map(peer).to_vec(),
        ..Cluster::default()
    }
}

fn member_dir() -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("a directory");
    std::fs::write(dir.path().join("secret"), SECRET).expect("a secret");
    std::fs::write(dir.path().join("d1.start"), START).expect("a start");
    dir
}

fn request(to: SocketAddrV4, question: &str) -> String {
    let mut stream = TcpStream::connect(to).expect("connected");
    stream.write_all(question.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// A service that sends each request as a frame to member `d2`.
struct FrameSender;

impl ClusterService for FrameSender {
    const TOPIC: Topic = Topic::Workflows;
    type Request = Vec<u8>;
    type Event = ();

    fn wake_at(&self) -> Option<Duration> {
        None
    }

    fn step(
        &mut self,
        _: Duration,
        input: ServiceInput<Vec<u8>>,
        out: &mut Vec<ServiceOutput<()>>,
    ) {
        if let ServiceInput::Request(payload) = input {
            out.push(ServiceOutput::SendFrame(NameKey::of("d2"), payload));
        }
    }
}

#[test]
fn start_number_status_and_frames_keep_their_bytes() {
    let dir = member_dir();
    let peer = TcpListener::bind(address(2)).expect("a listener");
    let mut runtime =
        ClusterRuntime::join(&cluster([1, 2]), "d1", dir.path(), |_| ()).expect("a runtime");
    let stored = std::fs::read_to_string(dir.path().join("d1.start")).expect("the start");
    assert_eq!(stored, "4000000000000001\n");

    let view: serde_json::Value =
        serde_json::from_str(&request(address(1), "members 1\n")).expect("a status");
    assert_eq!(view["start"], 4_000_000_000_000_001_u64);
    assert_eq!(view["standing"], "alone");
    assert_eq!(view["steward"], "");
    assert_eq!(view["part"], 0.05);
    let member = serde_json::json!({
        "name": "d2",
        "address": address(2).to_string(),
        "start": null,
        "state": "unheard",
        "since_ms": view["members"][0]["since_ms"].as_u64().expect("a time"),
        "evidence": "never heard",
    });
    assert_eq!(view["members"], serde_json::json!([member]));
    assert_eq!(
        request(address(1), "else\n"),
        "{\"error\":\"the question is 'members 1'\"}\n"
    );

    let handle: ServiceHandle<Vec<u8>> = runtime
        .add_service(FrameSender, None, |()| ())
        .expect("a service");
    handle.request(b"first".to_vec()).expect("sent");
    let (link, _) = peer.accept().expect("a link");
    let mut link = BufReader::new(link);
    let mut opening = String::new();
    link.read_line(&mut opening).expect("a line");
    assert_eq!(opening, "link 1 d1\n");
    handle.request(vec![0, 1, 0]).expect("sent");
    let mut frames = String::new();
    for _ in 0..2 {
        let mut frame = Vec::new();
        link.read_until(0, &mut frame).expect("a frame");
        frames += &format!("{}\n", hex(&frame));
    }
    assert_eq!(frames, include_str!("golden/frames.txt"));
    runtime.leave();
}

#[test]
fn status_json_keeps_its_text() {
    let member = |name: &str, start, state: &str| MemberStatus {
        name: name.into(),
        address: "127.0.0.1:7002".into(),
        start,
        state: state.into(),
        since_ms: 17,
        evidence: "never heard".into(),
    };
    let status = ClusterStatus {
        cluster: "hall".into(),
        name: "d1".into(),
        address: "127.0.0.1:7001".into(),
        start: 7,
        comebacks: 2,
        standing: "cutoff".into(),
        fenced_by: Some(9),
        at_ms: 123_456,
        steward: "d2".into(),
        part: 0.25,
        members: vec![
            member("d2", Some(5), "alive"),
            member("d3", None, "unheard"),
        ],
        dropped: BTreeMap::from([("old_start".into(), 3), ("proof".into(), 1)]),
    };
    let text = include_str!("golden/view.json").trim_end();
    assert_eq!(serde_json::to_string(&status).expect("text"), text);
    assert_eq!(
        serde_json::from_str::<ClusterStatus>(text).expect("a status"),
        status
    );
}

/// Starts a seed that answers one request with `text` and an authentication tag. The thread returns the request.
fn seed(port: u16, text: String) -> (SocketAddrV4, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind(address(port)).expect("a listener");
    let answer = move || {
        let (stream, _) = listener.accept().expect("a question");
        let mut stream = BufReader::new(stream);
        let mut question = String::new();
        stream.read_line(&mut question).expect("a line");
        let nonce = question.split_whitespace().last().unwrap_or_default();
        let tag = Secret::new("hall", SECRET).proof(nonce.as_bytes(), text.as_bytes());
        let answer = format!("{text}\n{}\n", hex(&tag));
        stream.get_mut().write_all(answer.as_bytes()).expect("sent");
        question
    };
    (address(port), std::thread::spawn(answer))
}

fn with_seeds(seeds: Vec<SocketAddrV4>) -> Cluster {
    Cluster {
        roster: vec![],
        seeds,
        ..cluster([0, 0])
    }
}

fn golden_roster() -> Vec<Peer> {
    let peer = |n: u16, clients: Option<&str>| Peer {
        name: format!("d{n}"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 7000 + n),
        client_address: clients.map(str::to_string),
    };
    vec![peer(1, Some("c1:80")), peer(2, None)]
}

#[test]
fn roster_request_answer_and_stored_file_keep_their_bytes() {
    let dir = member_dir();
    let (seed_address, seed_thread) = seed(3, ROSTER.to_string());
    let (roster, source) =
        fetch_roster(&with_seeds(vec![seed_address]), "d2", dir.path()).expect("a roster");
    assert_eq!(
        (roster, source),
        (golden_roster(), format!("seed {seed_address}"))
    );
    let question = seed_thread.join().expect("a question");
    let (prefix, nonce) = question.trim_end().rsplit_once(' ').expect("words");
    assert_eq!((prefix, nonce.len()), ("roster 1 d2", 32));
    let stored =
        std::fs::read_to_string(dir.path().join("d1.start.roster")).expect("the stored roster");
    assert_eq!(stored, ROSTER);

    let with_roster = Cluster {
        roster: golden_roster(),
        address: Some(address(4)),
        ..cluster([0, 0])
    };
    let runtime = ClusterRuntime::join(&with_roster, "d1", dir.path(), |_| ()).expect("a runtime");
    let answer = request(address(4), "roster 1 d2 000102030405060708090a0b0c0d0e0f\n");
    runtime.leave();
    assert_eq!(
        answer,
        format!("{ROSTER}\n593c7ff6312fc7e72f6747db9666582d\n")
    );
}

#[test]
fn a_stored_roster_in_the_golden_bytes_is_used_if_no_seed_answers() {
    let dir = member_dir();
    std::fs::write(dir.path().join("d1.start.roster"), ROSTER).expect("a file");
    let (roster, source) = fetch_roster(&with_seeds(vec![]), "d2", dir.path()).expect("a roster");
    assert_eq!(
        (roster, source.as_str()),
        (golden_roster(), "the stored roster")
    );
}

fn small_store() -> StoredEntries {
    vec![
        (b"a".to_vec(), b"one".to_vec()),
        (b"b/2".to_vec(), vec![]),
        (vec![0, 255], vec![7; 40]),
    ]
}

fn as_batch(found: StoredEntries) -> Vec<(Vec<u8>, Option<Vec<u8>>)> {
    found
        .into_iter()
        .map(|(name, bytes)| (name, Some(bytes)))
        .collect()
}

#[test]
fn a_golden_snapshot_is_read_and_written_in_the_same_bytes() {
    let dir = member_dir();
    let path = dir.path().join("lengths");
    SnapshotStore::new(path.clone())
        .put(as_batch(small_store()))
        .expect("written");
    let golden = include_bytes!("golden/snapshot.bin");
    assert_eq!(hex(&std::fs::read(&path).expect("the file")), hex(golden));
    std::fs::write(&path, golden).expect("the fixture");
    assert_eq!(SnapshotStore::new(path).load(), Ok(small_store()));
}

/// Writes the golden store file to `path`. The packed form is the file length, then the ranges that are not zero, each as offset,
/// length and bytes.
fn unpack(packed: &[u8], path: &Path) {
    let read_u32 =
        |bytes: &[u8]| u32::from_le_bytes(bytes.try_into().expect("four bytes")) as usize;
    let mut file = vec![0; read_u32(&packed[..4])];
    let mut rest = &packed[4..];
    while !rest.is_empty() {
        let (at, length) = (read_u32(&rest[..4]), read_u32(&rest[4..8]));
        file[at..at + length].copy_from_slice(&rest[8..8 + length]);
        rest = &rest[8 + length..];
    }
    std::fs::write(path, file).expect("the fixture");
}

#[test]
fn a_golden_durable_store_is_read() {
    let dir = member_dir();
    let path = dir.path().join("copies.redb");
    unpack(include_bytes!("golden/store.bin"), &path);
    let mut expected = small_store();
    expected.sort();
    assert_eq!(DurableStore::new(&path).load(), Ok(expected));
}
