//! Members that are given a few addresses and no roster, with troubles on the links to them.
mod common;

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use bitternlatch_chaos::between::{Between, Rule};
use bitternlatch_chaos::process::{own_address, Dispatcher};
use bitternlatch_cluster_net::fetch_status;
use common::cluster::{LIST, SOON};
use common::{between, cluster_table, folder, image, wait_for, CUT, SETTINGS};

/// Two that have the roster of three, and a third that is given where they are heard.
struct Seeded {
    members: Vec<Dispatcher>,
    addresses: Vec<SocketAddrV4>,
    between: Between,
}

fn seeded(name: &str, secret_of_third: &str) -> Seeded {
    let dir = folder(name);
    std::fs::write(dir.join("hosts.csv"), LIST).expect("a list");
    std::fs::write(dir.join("secret"), "sixteen bytes or more").expect("a secret");
    std::fs::write(dir.join("other"), "another secret altogether").expect("a secret");
    let settings: toml::Table = toml::from_str(SETTINGS).expect("settings");
    let addresses: Vec<SocketAddrV4> = (0..3).map(|_| own_address(7811)).collect();
    let (between, roster) = between(&addresses);
    let mut members = Vec::new();
    for (i, own) in addresses.iter().enumerate() {
        let mut one = Dispatcher::new(&dir, i + 1, 3, &settings);
        let secret = if i == 2 { secret_of_third } else { "secret" };
        let mut table = cluster_table(secret, *own, &format!("{i}.start"), &roster);
        if i == 2 {
            let fronts = (0..2)
                .filter_map(|i| between.front(i))
                .map(|at| at.to_string().into());
            let table = table.as_table_mut().expect("a table");
            table.remove("roster");
            table.insert("seeds".into(), fronts.collect::<Vec<toml::Value>>().into());
        }
        one.set("cluster", table);
        one.without_record();
        members.push(one);
    }
    let mut seeded = Seeded {
        members,
        addresses,
        between,
    };
    (0..2).for_each(|i| seeded.start(i));
    (0..2).for_each(|i| seeded.until(i, "majority"));
    seeded
}

impl Seeded {
    fn start(&mut self, i: usize) {
        self.members[i].start(&image()).expect("a process");
    }

    fn until(&self, of: usize, standing: &str) {
        let at = SocketAddr::V4(self.addresses[of]);
        wait_for(standing, || {
            fetch_status(at, Duration::from_secs(2)).is_ok_and(|v| v.standing == standing)
        });
    }

    fn all_whole(&self) {
        (0..3).for_each(|i| self.until(i, "whole"));
    }

    fn log(&self) -> String {
        self.members[2].log().expect("a log")
    }
}

#[test]
fn one_with_seeds_gets_the_roster_past_a_half_open_link_and_over_a_slow_one() {
    let mut seeded = seeded("seeds-slow", "secret");
    // The first seed's link takes the question and never answers; the other's carries some 30 bytes in a tenth of a second.
    seeded.between.set(2, 0, CUT);
    let slow = Rule {
        bytes_s: 3000.0,
        ..Rule::default()
    };
    seeded.between.set(2, 1, slow);
    seeded.between.set(1, 2, slow);
    seeded.start(2);
    wait_for("the roster", || {
        seeded.log().contains("\"message\":\"the roster\"")
    });
    assert!(
        seeded
            .log()
            .contains(&seeded.between.front(1).expect("a front").to_string()),
        "{}",
        seeded.log()
    );
    seeded.between.all(Rule::default());
    seeded.all_whole();
}

#[test]
fn without_any_seed_the_last_roster_told_counts_and_without_one_the_start_ends() {
    let mut seeded = seeded("seeds-kept", "secret");
    seeded.between.part(&[2], CUT);
    seeded.start(2);
    assert!(!seeded.members[2].ended(SOON), "it knows nobody");
    assert!(
        seeded
            .log()
            .contains("cluster.seeds: no seed sent the roster"),
        "{}",
        seeded.log()
    );
    seeded.between.part(&[2], Rule::default());
    seeded.start(2);
    seeded.all_whole();
    seeded.members[2].kill();
    seeded.between.part(&[2], CUT);
    seeded.start(2);
    seeded.until(2, "alone");
    assert!(
        seeded.log().contains("using the stored roster"),
        "{}",
        seeded.log()
    );
    seeded.between.part(&[2], Rule::default());
    seeded.all_whole();
}

#[test]
fn a_stranger_is_told_a_roster_that_it_cannot_prove_and_ends() {
    let mut seeded = seeded("seeds-stranger", "other");
    seeded.start(2);
    assert!(!seeded.members[2].ended(SOON));
    assert!(
        seeded.log().contains("the authentication tag is invalid"),
        "{}",
        seeded.log()
    );
}
