//! Dispatchers as processes that know each other, without hosts.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use bitternlatch_chaos::between::Between;
use bitternlatch_chaos::process::Dispatcher;
use bitternlatch_cluster_net::{fetch_status, ClusterStatus};

use super::{between, cluster_table, folder, free_for_peers, image, SETTINGS};

/// One host, which is not there.
pub const LIST: &str =
    "name,address,port,kind,cell,zone,state\nr1,127.0.0.1,1,reader,c,pos-site,ready\n";
pub const SOON: Duration = Duration::from_secs(30);

/// Dispatchers without hosts, whose datagrams to each other pass relays.
pub struct Cluster {
    pub dispatchers: Vec<Dispatcher>,
    pub addresses: Vec<SocketAddrV4>,
    pub between: Between,
}

pub fn cluster(name: &str, count: usize) -> Cluster {
    cluster_but(name, count, |_, _| true)
}

/// One whose members' rosters may lack others: `lists` tells by numbers whether the one has the other in its own.
pub fn cluster_but(name: &str, count: usize, lists: impl Fn(usize, usize) -> bool) -> Cluster {
    let dir = folder(name);
    std::fs::write(dir.join("hosts.csv"), LIST).expect("a list");
    std::fs::write(dir.join("secret"), "sixteen bytes or more").expect("a secret");
    std::fs::write(dir.join("other"), "another secret altogether").expect("a secret");
    let settings: toml::Table = toml::from_str(SETTINGS).expect("settings");
    let addresses = free_for_peers(count);
    let (between, roster) = between(&addresses);
    let mut dispatchers = Vec::new();
    for (me, own) in addresses.iter().enumerate() {
        let mut one = Dispatcher::new(&dir, me + 1, count, &settings);
        let kept = format!("dispatch-{}.start", me + 1);
        let own_roster = roster
            .iter()
            .enumerate()
            .filter(|(other, _)| lists(me, *other))
            .map(|(_, line)| line.clone());
        one.set(
            "cluster",
            cluster_table("secret", *own, &kept, &own_roster.collect::<Vec<_>>()),
        );
        one.without_record();
        one.start(&image()).expect("a process");
        dispatchers.push(one);
    }
    let cluster = Cluster {
        dispatchers,
        addresses,
        between,
    };
    cluster.all_whole();
    cluster
}

impl Cluster {
    pub fn view(&self, of: usize) -> Option<ClusterStatus> {
        fetch_status(SocketAddr::V4(self.addresses[of]), Duration::from_secs(5)).ok()
    }

    pub fn standing(&self, of: usize) -> String {
        self.view(of).map_or("not there".into(), |v| v.standing)
    }

    pub fn state(&self, of: usize, at: usize) -> String {
        let name = &self.dispatchers[of].name;
        let line = self
            .view(at)
            .and_then(|v| v.members.into_iter().find(|m| m.name == *name));
        line.map_or("not there".into(), |l| l.state)
    }

    pub fn until(&self, what: &str, fits: impl Fn() -> bool) {
        let by = Instant::now() + SOON;
        while !fits() {
            let all: Vec<_> = (0..self.addresses.len()).map(|i| self.view(i)).collect();
            assert!(Instant::now() < by, "{what} has not come: {all:#?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn all_whole(&self) {
        self.until("a whole", || {
            (0..self.addresses.len()).all(|i| self.standing(i) == "whole")
        });
    }
}
