//! Services of two cluster runtimes in one process, over real sockets: datagrams, frames, a disk store, and the checks of the
//! secret file.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::{Duration, Instant};

use bitternlatch_cluster_net::{Batch, ClusterRuntime, ServiceHandle, Store};
use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_membership::{NameKey, Topic};
use bitternlatch_quota_lease::{ClusterService, ServiceInput, ServiceOutput, StorageError};
use crossbeam_channel::{unbounded, Receiver};

/// A service that sends and stores what it is requested to, and reports its other inputs as events.
struct Echo;

#[derive(Debug, PartialEq)]
enum EchoRequest {
    Datagram(NameKey, Vec<u8>),
    Frame(NameKey, Vec<u8>),
    Persist(u64, Vec<u8>),
}

impl ClusterService for Echo {
    const TOPIC: Topic = Topic::Lengths;
    type Request = EchoRequest;
    type Event = String;

    fn wake_at(&self) -> Option<Duration> {
        None
    }

    fn step(
        &mut self,
        _: Duration,
        input: ServiceInput<EchoRequest>,
        out: &mut Vec<ServiceOutput<String>>,
    ) {
        match input {
            ServiceInput::Wake | ServiceInput::Peers(_) => {}
            ServiceInput::Request(EchoRequest::Datagram(to, payload)) => {
                out.push(ServiceOutput::SendDatagram(to, payload))
            }
            ServiceInput::Request(EchoRequest::Frame(to, payload)) => {
                out.push(ServiceOutput::SendFrame(to, payload))
            }
            ServiceInput::Request(EchoRequest::Persist(ticket, name)) => {
                out.push(ServiceOutput::Persist {
                    ticket,
                    name,
                    bytes: Some(b"kept".to_vec()),
                })
            }
            ServiceInput::Datagram { payload, .. } => {
                out.push(ServiceOutput::Event(format!("said {}", payload.len())))
            }
            ServiceInput::Frame { payload, .. } => {
                out.push(ServiceOutput::Event(format!("frame {}", payload.len())))
            }
            ServiceInput::Loaded(found) => out.push(ServiceOutput::Event(format!(
                "found {}",
                found.map_or(0, |f| f.len())
            ))),
            ServiceInput::Persisted { ticket, done } => out.push(ServiceOutput::Event(format!(
                "kept {ticket} {}",
                done.is_ok()
            ))),
            ServiceInput::Leave => out.push(ServiceOutput::Event("leaves".to_string())),
        }
    }
}

/// A store with room for a number of writes.
struct LimitedStore(usize);

impl Store for LimitedStore {
    fn load(&mut self) -> Result<Vec<(Vec<u8>, Vec<u8>)>, StorageError> {
        Ok(vec![(b"a".to_vec(), b"b".to_vec())])
    }

    fn put(&mut self, batch: Batch) -> Result<(), StorageError> {
        let room = self.0.checked_sub(batch.len());
        self.0 = room.ok_or(StorageError::Full)?;
        Ok(())
    }
}

fn address(n: u16) -> SocketAddrV4 {
    let process = std::process::id();
    let host = [127, 200, (process >> 8) as u8, process as u8];
    SocketAddrV4::new(host.into(), 7811 + n)
}

fn start(
    n: u16,
    store: Option<Box<dyn Store>>,
    dir: &Path,
) -> (ClusterRuntime, ServiceHandle<EchoRequest>, Receiver<String>) {
    let peer = |n| Peer {
        name: format!("d{n}"),
        address: address(n),
        client_address: None,
    };
    let roster = vec![peer(1), peer(2)];
    let cluster = Cluster {
        name: "hall".into(),
        secret: "secret".into(),
        roster,
        ..Cluster::default()
    };
    let mut runtime =
        ClusterRuntime::join(&cluster, &format!("d{n}"), dir, |_| ()).expect("a runtime");
    let (to, events) = unbounded();
    let handle = runtime
        .add_service(Echo, store, move |event| drop(to.send(event)))
        .expect("a service");
    (runtime, handle, events)
}

fn wait_for_event(events: &Receiver<String>, what: &str) {
    let by = Instant::now() + Duration::from_secs(20);
    loop {
        let event = events
            .recv_deadline(by)
            .unwrap_or_else(|_| panic!("'{what}' has not been reported"));
        if event == what {
            return;
        }
    }
}

#[test]
fn services_receive_datagrams_and_frames_store_entries_and_leave() {
    let dir = tempfile::tempdir().expect("a directory");
    std::fs::write(dir.path().join("secret"), "sixteen bytes or more").expect("a secret");
    let (one, handle_one, events_one) = start(1, Some(Box::new(LimitedStore(1))), dir.path());
    let (two, handle_two, events_two) = start(2, None, dir.path());
    let d2 = NameKey::of("d2");
    wait_for_event(&events_one, "found 1");
    handle_one
        .request(EchoRequest::Datagram(d2, vec![7; 200]))
        .expect("queued");
    wait_for_event(&events_two, "said 200");
    for size in [0, 60_000] {
        handle_one
            .request(EchoRequest::Frame(d2, vec![0; size]))
            .expect("queued");
        wait_for_event(&events_two, &format!("frame {size}"));
    }
    handle_one
        .request(EchoRequest::Persist(1, b"x".to_vec()))
        .expect("queued");
    wait_for_event(&events_one, "kept 1 true");
    handle_one
        .request(EchoRequest::Persist(2, b"y".to_vec()))
        .expect("queued");
    wait_for_event(&events_one, "kept 2 false");
    handle_two
        .request(EchoRequest::Persist(3, b"z".to_vec()))
        .expect("queued");
    wait_for_event(&events_two, "kept 3 false");
    two.leave();
    wait_for_event(&events_two, "leaves");
    one.leave();
}

#[test]
fn a_missing_or_short_secret_is_reported_with_advice() {
    let dir = tempfile::tempdir().expect("a directory");
    let roster = vec![Peer {
        name: "d1".into(),
        address: address(1),
        client_address: None,
    }];
    let cluster = Cluster {
        name: "hall".into(),
        secret: "secret".into(),
        roster,
        ..Cluster::default()
    };
    let why = ClusterRuntime::check(&cluster, "d1", dir.path())
        .expect_err("no secret")
        .with_advice();
    assert!(
        why.contains("secret: No such file") && why.contains("head -c 32"),
        "{why}"
    );
    std::fs::write(dir.path().join("secret"), "short").expect("a file");
    let why = ClusterRuntime::check(&cluster, "d1", dir.path())
        .expect_err("a short one")
        .with_advice();
    assert!(why.contains("5 bytes; a secret has 16 to 4096"), "{why}");
}
