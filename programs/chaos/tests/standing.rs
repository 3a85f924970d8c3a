//! What dispatchers do for clients by what they know of each other: real processes, hosts, and faults between them.
mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bitternlatch_chaos::between::{Between, Rule};
use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_chaos::process::ask as get;
use bitternlatch_cluster_net::fetch_status;
use bitternlatch_mock_engine::capture::Capture;
use common::*;

struct Three {
    rig: Rig,
    between: Between,
    peers: Vec<std::net::SocketAddrV4>,
}

fn three(name: &str) -> Three {
    let peers = free_for_peers(3);
    let (between, roster) = between(&peers);
    let rig = rig_each(name, FOUR, 3, |i, one| {
        // Once: one that starts meanwhile would find it empty.
        if i == 0 {
            std::fs::write(folder_of(name).join("secret"), "sixteen bytes or more")
                .expect("a secret");
        }
        one.set(
            "cluster",
            cluster_table("secret", peers[i], &format!("{i}.start"), &roster),
        );
    });
    let three = Three {
        rig,
        between,
        peers,
    };
    (0..3).for_each(|i| three.until(i, "whole"));
    three
}

impl Three {
    fn until(&self, of: usize, standing: &str) {
        let at = SocketAddr::V4(self.peers[of]);
        wait_for(standing, || {
            fetch_status(at, Duration::from_secs(2)).is_ok_and(|v| v.standing == standing)
        });
    }

    /// Asks one dispatcher for one answer; gives how it ended, and where else it said to try.
    fn asks(&self, of: usize, class: &str, key: &str) -> (String, Vec<String>, f64) {
        let client = self.rig.client(of);
        let began = Instant::now();
        client.say(&create(class, key, "a few words [len=3]"));
        let last = to_the_end(&client).pop().expect("an event");
        let error = last.error.unwrap_or_default();
        let elsewhere = error["elsewhere"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|v| v.as_str());
        let code = error["code"]
            .as_str()
            .map_or(last.kind.clone(), str::to_string);
        let elsewhere = elsewhere.map(str::to_string).collect();
        client.close();
        (code, elsewhere, began.elapsed().as_secs_f64())
    }

    fn is_ready(&self, of: usize) -> bool {
        get(&self.rig.dispatchers[of].address, "/ready")
            .is_ok_and(|a| a.starts_with("HTTP/1.1 200"))
    }
}

const SERVED: &str = "response.completed";

#[test]
fn one_that_is_cut_off_refuses_what_must_not_run_twice_at_once_and_serves_the_rest() {
    let three = three("standing-cut");
    assert_eq!(three.asks(0, "season-booking", "a1").0, SERVED);
    three.between.part(&[0], CUT);
    three.until(0, "alone");
    three.until(1, "majority");
    let (code, elsewhere, took) = three.asks(0, "season-booking", "a2");
    assert_eq!(code, "cut_off");
    assert_eq!(elsewhere, ["clients-of-2", "clients-of-3"]);
    assert!(took < 1.0, "at once, and not after {took} s");
    assert_eq!(
        three.asks(0, "slot-query", "a3").0,
        SERVED,
        "what harms nobody is served"
    );
    wait_for("its ready check", || !three.is_ready(0));
    assert_eq!(
        three.asks(1, "season-booking", "a4").0,
        SERVED,
        "the majority goes on"
    );
    assert!(three.is_ready(1));
    three.between.part(&[0], Rule::default());
    three.until(0, "whole");
    wait_for("its ready check", || three.is_ready(0));
    assert_eq!(three.asks(0, "season-booking", "a5").0, SERVED);
    let Three { rig, .. } = three;
    rig.end();
}

#[test]
fn one_that_stood_still_believes_nothing_of_before_when_it_goes_on() {
    let three = three("standing-paused");
    let client = three.rig.client(2);
    client.say(&create("season-booking", "b1", "a few words [len=3]"));
    assert_eq!(final_kind(&client), SERVED);
    let paused = &three.rig.dispatchers[2];
    paused.pause();
    // Its first message after the pause is in its socket before it goes on; its peers have given it up by then.
    client.say(&create("season-booking", "b2", "a few words [len=3]"));
    three.until(0, "majority");
    paused.go_on();
    assert_eq!(
        error_code(&client),
        "cut_off",
        "on the session of before, which the pause has not ended"
    );
    client.close();
    three.until(2, "whole");
    wait_for("its word", || {
        three.asks(2, "season-booking", "b3").0 == SERVED
    });
    let Three { rig, .. } = three;
    rig.end();
}

#[test]
fn all_but_one_killed_at_once_leaves_one_that_knows_that_it_cannot_know() {
    let mut three = three("standing-killed");
    three.rig.dispatchers[0].kill();
    three.rig.dispatchers[1].kill();
    three.until(2, "alone");
    assert_eq!(three.asks(2, "season-booking", "c1").0, "cut_off");
    assert_eq!(three.asks(2, "slot-query", "c2").0, SERVED);
    for i in 0..2 {
        three.rig.dispatchers[i].start(&image()).expect("a process");
    }
    (0..3).for_each(|i| three.until(i, "whole"));
    wait_for("its word", || {
        three.asks(2, "season-booking", "c3").0 == SERVED
    });
    let Three { rig, .. } = three;
    rig.end();
}

#[test]
fn all_restarted_within_seconds_under_load_lose_no_question_that_may_be_asked_again() {
    let mut three = three("standing-restarted");
    let stop = AtomicBool::new(false);
    let addresses: Vec<String> = three
        .rig
        .dispatchers
        .iter()
        .map(|d| d.address.clone())
        .collect();
    let served = std::thread::scope(|scope| {
        let askers: Vec<_> = (0..4)
            .map(|asker| {
                let (stop, addresses) = (&stop, &addresses);
                scope.spawn(move || {
                    let mut served = 0;
                    while !stop.load(Ordering::SeqCst) {
                        ask_until_served(addresses, asker, served);
                        served += 1;
                    }
                    served
                })
            })
            .collect();
        for i in 0..3 {
            three.rig.dispatchers[i].kill();
            std::thread::sleep(Duration::from_millis(300));
            three.rig.dispatchers[i].start(&image()).expect("a process");
        }
        (0..3).for_each(|i| three.until(i, "whole"));
        stop.store(true, Ordering::SeqCst);
        askers
            .into_iter()
            .map(|a| a.join().expect("an asker"))
            .sum::<usize>()
    });
    assert!(served > 4, "{served}");
    wait_for("its word", || {
        three.asks(2, "season-booking", "e1").0 == SERVED
    });
    let Three { rig, .. } = three;
    rig.end();
}

/// Asks one question at one dispatcher after the other until one serves it; within a time that no restart takes.
fn ask_until_served(addresses: &[String], asker: usize, number: usize) {
    let by = Instant::now() + Duration::from_secs(30);
    for turn in asker + number.. {
        assert!(
            Instant::now() < by,
            "question {number} of {asker} was never served"
        );
        let address = &addresses[turn % addresses.len()];
        let who = format!("a{asker}-{number}-{turn}");
        let Ok(client) = Client::connect(address, &who, "d", Capture::none()) else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        client.say(&create("slot-query", &who, "a few words [len=3]"));
        loop {
            match client.next(Duration::from_secs(10)) {
                Came::Event(event) if event.kind == SERVED => return,
                Came::Event(event) if event.is_final() => break,
                Came::Event(_) => {}
                Came::Closed(_) | Came::Silence => break,
            }
        }
    }
}
