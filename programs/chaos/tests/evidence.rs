//! What dispatchers see of hosts and tell each other: real processes and hosts, each dispatcher with a list of its own.
mod common;

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bitternlatch_chaos::between::Between;
use bitternlatch_chaos::process::ask as get;
use bitternlatch_cluster_net::fetch_status;
use common::*;

struct Three {
    rig: Rig,
    peers: Vec<SocketAddrV4>,
    keys: AtomicU32,
    _between: Between,
}

/// Three, each with a copy of the list under its own name.
fn three(name: &str) -> Three {
    let peers = free_for_peers(3);
    let (between, roster) = between(&peers);
    let dir = folder_of(name);
    let rig = rig_each(name, FOUR, 3, |i, one| {
        // Once: one that starts meanwhile would find it empty.
        if i == 0 {
            std::fs::write(dir.join("secret"), "sixteen bytes or more").expect("a secret");
        }
        std::fs::copy(dir.join("hosts.csv"), dir.join(own_list(i))).expect("a list");
        let inventory = toml::Table::from_iter([
            ("file".to_string(), own_list(i).into()),
            ("reread_s".to_string(), 0.1.into()),
        ]);
        one.set("inventory", inventory.into());
        one.set(
            "cluster",
            cluster_table("secret", peers[i], &format!("{i}.start"), &roster),
        );
    });
    let three = Three {
        rig,
        peers,
        keys: AtomicU32::new(0),
        _between: between,
    };
    wait_for("a whole that lends", || {
        let views = three
            .peers
            .iter()
            .map(|at| fetch_status(SocketAddr::V4(*at), Duration::from_secs(2)));
        views
            .flatten()
            .filter(|v| v.standing == "whole" && v.part > 0.3)
            .count()
            == 3
    });
    three
}

fn own_list(i: usize) -> String {
    format!("hosts-{}.csv", i + 1)
}

impl Three {
    /// Writes one dispatcher's list, changed; in place, as an operator's editor does.
    fn write(&self, i: usize, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(self.rig.dir.join("hosts.csv")).expect("the list");
        std::fs::write(self.rig.dir.join(own_list(i)), change(&text)).expect("its own");
    }

    fn is_ready(&self, of: usize) -> bool {
        get(&self.rig.dispatchers[of].address, "/ready")
            .is_ok_and(|a| a.starts_with("HTTP/1.1 200"))
    }

    /// How one ask at a dispatcher ended, and where else it was told to try.
    fn asks(&self, of: usize, key: &str) -> (String, Vec<String>) {
        let client = self.rig.client(of);
        client.say(&create("slot-query", key, "a few words [len=3]"));
        let last = to_the_end(&client).pop().expect("an event");
        let error = last.error.unwrap_or_default();
        let elsewhere = error["elsewhere"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|v| v.as_str());
        client.close();
        (
            error["code"].as_str().unwrap_or(&last.kind).to_string(),
            elsewhere.map(str::to_string).collect(),
        )
    }

    /// Whether any of so many asks at a dispatcher was read at this host.
    fn reads_at(&self, of: usize, host: &str, asks: usize) -> bool {
        let _ = self.rig.lines.try_iter().count();
        for _ in 0..asks {
            // Each a key of its own: one asked before is answered from memory.
            let key = format!("k{}", self.keys.fetch_add(1, Ordering::SeqCst));
            assert_eq!(self.asks(of, &key).0, "response.completed");
        }
        let lines: Vec<_> = self.rig.lines.try_iter().collect();
        self.rig
            .completions(&lines)
            .iter()
            .any(|(who, _)| who == host)
    }
}

#[test]
fn one_that_reaches_no_host_sends_callers_to_its_peers_at_once() {
    let three = three("evidence-hosts");
    assert_eq!(three.asks(2, "a").0, "response.completed");
    // All hosts moved to where nothing listens, in the third one's list alone.
    three.write(2, |text| text.lines().map(dead).collect());
    wait_for("its ready check", || !three.is_ready(2));
    wait_for("its word", || three.asks(2, "b").0 == "cut_off");
    assert_eq!(three.asks(2, "c").1, ["clients-of-1", "clients-of-2"]);
    assert!(three.is_ready(0) && three.is_ready(1));
    assert_eq!(three.asks(0, "d").0, "response.completed");
    three.write(2, str::to_string);
    wait_for("its ready check", || three.is_ready(2));
    assert_eq!(three.asks(2, "e").0, "response.completed");
    three.rig.end();
}

/// A line of a list with a port at which nothing listens.
fn dead(line: &str) -> String {
    let mut fields: Vec<&str> = line.split(',').collect();
    if fields[0] != "name" {
        fields[2] = "1";
    }
    fields.join(",") + "\n"
}

fn draining(text: &str) -> String {
    let line = |l: &str| match l.starts_with("reader-1,") {
        true => l.replace(",ready", ",draining") + "\n",
        false => l.to_string() + "\n",
    };
    text.lines().map(line).collect()
}

#[test]
fn one_that_cannot_read_its_list_keeps_a_drain_that_a_peer_tells_of() {
    let three = three("evidence-list");
    assert!(three.reads_at(2, "reader-1", 30), "it is used before");
    three.write(2, |_| "no list at all".to_string());
    let log = || three.rig.dispatchers[2].log().expect("a log");
    wait_for("its word on the list", || {
        log().contains("the server list is invalid")
    });
    three.write(0, draining);
    wait_for("the drain", || {
        log().contains("drains by the word of peers")
    });
    assert!(!three.reads_at(2, "reader-1", 30));
    // Its list can be read again, and has the host ready: that counts, against one voice.
    three.write(2, str::to_string);
    wait_for("its list", || three.reads_at(2, "reader-1", 10));
    three.rig.end();
}

#[test]
fn a_drain_that_both_others_tell_of_counts_before_the_own_list_has_it_and_one_voice_does_not() {
    let three = three("evidence-drain");
    three.write(0, draining);
    wait_for("its drain", || !three.reads_at(0, "reader-1", 10));
    assert!(three.reads_at(2, "reader-1", 30), "one voice");
    three.write(1, draining);
    wait_for("the drain", || !three.reads_at(2, "reader-1", 10));
    assert!(!three.reads_at(2, "reader-1", 30));
    three.rig.end();
}
