//! Machines beside planes in one process, over real sockets: datagrams, frames, a disk, and who may speak.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::{Duration, Instant};

use bitternlatch_cluster_net::{Batch, ClusterRuntime, ServiceHandle, Store};
use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_membership::{NameKey, Topic};
use bitternlatch_quota_lease::{ClusterService, ServiceInput, ServiceOutput, StorageError};
use crossbeam_channel::{unbounded, Receiver};

/// Passes on what it is asked, and tells all that it hears.
struct Echo;

#[derive(Debug, PartialEq)]
enum Ask {
    Say(NameKey, Vec<u8>),
    Send(NameKey, Vec<u8>),
    Keep(u64, Vec<u8>),
}

impl ClusterService for Echo {
    const TOPIC: Topic = Topic::Lengths;
    type Request = Ask;
    type Event = String;

    fn wake_at(&self) -> Option<Duration> {
        None
    }

    fn step(
        &mut self,
        _: Duration,
        given: ServiceInput<Ask>,
        out: &mut Vec<ServiceOutput<String>>,
    ) {
        match given {
            ServiceInput::Wake | ServiceInput::Peers(_) => {}
            ServiceInput::Request(Ask::Say(to, said)) => {
                out.push(ServiceOutput::SendDatagram(to, said))
            }
            ServiceInput::Request(Ask::Send(to, said)) => {
                out.push(ServiceOutput::SendFrame(to, said))
            }
            ServiceInput::Request(Ask::Keep(ticket, name)) => out.push(ServiceOutput::Persist {
                ticket,
                name,
                bytes: Some(b"kept".to_vec()),
            }),
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

struct Shelf(usize);

impl Store for Shelf {
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
) -> (ClusterRuntime, ServiceHandle<Ask>, Receiver<String>) {
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
    let (to, heard) = unbounded();
    let handle = runtime
        .add_service(Echo, store, move |told| drop(to.send(told)))
        .expect("a machine");
    (runtime, handle, heard)
}

fn until(heard: &Receiver<String>, what: &str) {
    let by = Instant::now() + Duration::from_secs(20);
    loop {
        let told = heard
            .recv_deadline(by)
            .unwrap_or_else(|_| panic!("'{what}' has not come"));
        if told == what {
            return;
        }
    }
}

#[test]
fn machines_hear_datagrams_and_frames_keep_and_leave() {
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::write(dir.path().join("secret"), "sixteen bytes or more").expect("a secret");
    let (one, asks, kept) = start(1, Some(Box::new(Shelf(1))), dir.path());
    let (two, other, heard) = start(2, None, dir.path());
    let d2 = NameKey::of("d2");
    until(&kept, "found 1");
    asks.request(Ask::Say(d2, vec![7; 200])).expect("asked");
    until(&heard, "said 200");
    for size in [0, 60_000] {
        asks.request(Ask::Send(d2, vec![0; size])).expect("asked");
        until(&heard, &format!("frame {size}"));
    }
    asks.request(Ask::Keep(1, b"x".to_vec())).expect("asked");
    until(&kept, "kept 1 true");
    asks.request(Ask::Keep(2, b"y".to_vec())).expect("asked");
    until(&kept, "kept 2 false");
    other.request(Ask::Keep(3, b"z".to_vec())).expect("asked");
    until(&heard, "kept 3 false");
    two.leave();
    until(&heard, "leaves");
    one.leave();
}

#[test]
fn a_cluster_without_its_secret_is_told_how_to_make_one() {
    let dir = tempfile::tempdir().expect("a folder");
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
