//! Several processes of the program that know each other, with faults between them and to them.
mod common;

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use bitternlatch_chaos::between::Rule;
use bitternlatch_chaos::process::Dispatcher;
use bitternlatch_cluster_net::fetch_status;
use common::cluster::{cluster, cluster_but, LIST, SOON};
use common::{cluster_table, folder, folder_of, free_for_peers, image, CUT, SETTINGS};

#[test]
fn one_that_is_killed_is_missed_and_comes_back_as_a_later_start() {
    let mut cluster = cluster("cluster-killed", 3);
    let before = cluster.view(2).expect("a view").start;
    cluster.dispatchers[2].kill();
    cluster.until("its loss", || {
        (0..2).all(|at| cluster.state(2, at) == "down")
    });
    cluster.until("a majority", || {
        (0..2).all(|at| cluster.standing(at) == "majority")
    });
    cluster.dispatchers[2].start(&image()).expect("a process");
    cluster.all_whole();
    assert!(cluster.view(2).expect("a view").start > before);
}

#[test]
fn one_that_stands_still_is_given_up_and_back_it_doubts_itself_and_no_other() {
    let cluster = cluster("cluster-paused", 3);
    cluster.dispatchers[1].pause();
    cluster.until("its loss", || {
        cluster.state(1, 0) == "down" && cluster.state(1, 2) == "down"
    });
    cluster.dispatchers[1].go_on();
    cluster.all_whole();
    let log = cluster.dispatchers[1].log().expect("a log");
    assert!(log.contains("this process was paused"), "{log}");
    assert!(!log.contains("\"state\":\"Down\""), "{log}");
}

#[test]
fn a_part_that_is_cut_off_knows_it_and_joins_again() {
    let cluster = cluster("cluster-parted", 5);
    cluster.between.part(&[0, 1], CUT);
    cluster.until("two that are cut off", || {
        (0..2).all(|at| cluster.standing(at) == "cutoff")
    });
    cluster.until("a majority", || {
        (2..5).all(|at| cluster.standing(at) == "majority")
    });
    cluster.between.part(&[0, 1], Rule::default());
    cluster.all_whole();
    cluster.between.part(&[4], CUT);
    cluster.until("one alone", || cluster.standing(4) == "alone");
    cluster.between.part(&[4], Rule::default());
    cluster.all_whole();
}

#[test]
fn one_way_loss_between_two_is_bridged_by_the_third() {
    let cluster = cluster("cluster-one-way", 3);
    cluster.between.set(0, 1, CUT);
    std::thread::sleep(Duration::from_secs(6)); // Some fifteen probes; nothing is to happen, so nothing can be waited for.
    assert!((0..3).all(|at| cluster.standing(at) == "whole"));
    let down = |d: &Dispatcher| d.log().expect("a log").contains("\"state\":\"Down\"");
    assert!(!cluster.dispatchers.iter().any(down));
}

#[test]
fn a_third_that_hears_both_keeps_two_together_that_do_not_hear_each_other() {
    let cluster = cluster("cluster-third", 3);
    cluster.between.set(0, 1, CUT);
    cluster.between.set(1, 0, CUT);
    std::thread::sleep(Duration::from_secs(6)); // Nothing is to happen, so nothing can be waited for.
    assert!((0..3).all(|at| cluster.standing(at) == "whole"));
    let down = |d: &Dispatcher| d.log().expect("a log").contains("\"state\":\"Down\"");
    assert!(!cluster.dispatchers.iter().any(down));
}

#[test]
fn what_a_process_said_before_it_was_restarted_counts_for_nothing_when_it_comes() {
    let mut cluster = cluster("cluster-late", 3);
    let late = Rule {
        delay_s: 6.0,
        ..Rule::default()
    };
    cluster.between.set(2, 0, late);
    cluster.between.set(2, 1, late);
    std::thread::sleep(Duration::from_millis(600)); // So that something is under way.
    cluster.dispatchers[2].kill();
    cluster.between.all(Rule::default());
    cluster.dispatchers[2].start(&image()).expect("a process");
    cluster.all_whole();
    let start = cluster.view(2).expect("a view").start;
    let old = |at: usize| {
        cluster
            .view(at)
            .and_then(|v| v.dropped.get("old_start").copied())
            .unwrap_or(0)
    };
    cluster.until("what is late", || (0..2).all(|at| old(at) > 0));
    cluster.all_whole();
    let told = cluster.view(2).expect("a view");
    assert_eq!((told.start, told.fenced_by), (start, None));
}

#[test]
fn a_leaver_whose_farewell_is_lost_is_missed_as_one_that_failed() {
    let mut cluster = cluster("cluster-unheard", 3);
    cluster.between.part(&[0], CUT);
    cluster.dispatchers[0].terminate();
    assert!(cluster.dispatchers[0].ended(SOON));
    cluster.until("its loss", || {
        (1..3).all(|at| cluster.state(0, at) == "down")
    });
    assert!((1..3).all(|at| cluster.standing(at) == "majority"));
    cluster.between.part(&[0], Rule::default());
    cluster.dispatchers[0].start(&image()).expect("a process");
    cluster.all_whole();
}

#[test]
fn lost_late_and_doubled_datagrams_keep_no_member_away_for_long() {
    let cluster = cluster("cluster-lossy", 4);
    cluster.between.all(Rule {
        cut: false,
        lost: 0.3,
        twice: 0.3,
        delay_s: 0.002,
        jitter_s: 0.02,
        bytes_s: 0.0,
    });
    cluster.dispatchers[3].pause();
    cluster.until("its loss", || {
        (0..3).all(|at| cluster.state(3, at) == "down")
    });
    cluster.dispatchers[3].go_on();
    cluster.until("its return", || {
        (0..3).all(|at| cluster.state(3, at) == "alive")
    });
    cluster.between.all(Rule::default());
    cluster.all_whole();
    let replays = cluster
        .view(0)
        .expect("a view")
        .dropped
        .get("replay")
        .copied()
        .unwrap_or(0);
    assert!(replays > 0, "doubles are told apart");
}

#[test]
fn a_farewell_is_taken_at_its_word() {
    let mut cluster = cluster("cluster-farewell", 3);
    cluster.dispatchers[0].terminate();
    assert!(cluster.dispatchers[0].ended(SOON));
    cluster.until("its leave", || {
        (1..3).all(|at| cluster.state(0, at) == "down")
    });
    let suspected = |d: &Dispatcher| d.log().expect("a log").contains("\"state\":\"Suspect\"");
    assert!(
        !cluster.dispatchers[1..].iter().any(suspected),
        "it was not missed, it left"
    );
}

#[test]
fn strangers_noise_and_replays_are_dropped_and_counted() {
    let cluster = cluster("cluster-stranger", 2);
    let mut stranger = Dispatcher::new(
        &folder_of("cluster-stranger"),
        3,
        2,
        &toml::from_str(SETTINGS).expect("settings"),
    );
    let own = free_for_peers(1)[0];
    let line = |name: &str, at| (name.to_string(), at, String::new());
    let roster = [
        line("dispatch-3", own),
        line("dispatch-1", cluster.addresses[0]),
    ];
    stranger.set(
        "cluster",
        cluster_table("other", own, "dispatch-3.start", &roster),
    );
    stranger.without_record();
    stranger.start(&image()).expect("a process");
    let noise = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
    for n in [0, 5, 60, 257, 1000] {
        noise
            .send_to(&vec![1u8; n], cluster.addresses[0])
            .expect("sent");
    }
    let counted = |why: &str| {
        cluster
            .view(0)
            .and_then(|v| v.dropped.get(why).copied())
            .unwrap_or(0)
    };
    cluster.until("a count of strangers", || {
        counted("proof") > 0 && counted("noise") >= 3
    });
    let view = cluster.view(0).expect("a view");
    assert_eq!(
        (view.standing.as_str(), view.members.len()),
        ("whole", 1),
        "{view:?}"
    );
    let alone = fetch_status(SocketAddr::V4(own), SOON).expect("a view");
    assert_eq!(alone.standing, "alone");
}

#[test]
fn of_two_processes_under_one_name_the_later_goes_on_and_the_other_ends_and_says_why() {
    let mut cluster = cluster("cluster-namesake", 3);
    let dir = folder_of("cluster-namesake");
    let settings = toml::from_str(SETTINGS).expect("settings");
    // The same name from another folder: its file of the last start is not there.
    std::fs::create_dir_all(dir.join("elsewhere")).expect("a folder");
    for file in ["hosts.csv", "secret"] {
        std::fs::copy(dir.join(file), dir.join("elsewhere").join(file)).expect("a copy");
    }
    let mut second = Dispatcher::new(&dir.join("elsewhere"), 1, 3, &settings);
    let own = free_for_peers(1)[0];
    let at = |i: usize| {
        if i == 0 {
            own
        } else {
            cluster.between.front(i).expect("a front")
        }
    };
    let roster: Vec<_> = (0..3)
        .map(|i| (format!("dispatch-{}", i + 1), at(i), String::new()))
        .collect();
    second.set(
        "cluster",
        cluster_table("secret", own, "dispatch-1.start", &roster),
    );
    second.without_record();
    second.start(&image()).expect("a process");
    assert!(
        !cluster.dispatchers[0].ended(SOON),
        "it does not end as if it had been told to"
    );
    let log = cluster.dispatchers[0].log().expect("a log");
    assert!(
        log.contains("another process under this name started later"),
        "{log}"
    );
    let later =
        || fetch_status(SocketAddr::V4(own), SOON).map_or("not there".into(), |v| v.standing);
    cluster.until("the later one", || {
        cluster.state(0, 1) == "alive" && later() == "whole"
    });
}

#[test]
fn a_restart_in_the_time_of_suspicion_is_a_later_start_and_no_loss() {
    let mut cluster = cluster("cluster-quick", 4);
    let before = cluster.view(1).expect("a view").start;
    cluster.dispatchers[1].kill();
    cluster.until("suspicion", || {
        (0..4).any(|at| at != 1 && cluster.state(1, at) == "suspect")
    });
    cluster.dispatchers[1].start(&image()).expect("a process");
    let start_at = |at: usize| {
        let lines = cluster.view(at).map(|v| v.members).unwrap_or_default();
        lines
            .iter()
            .find(|m| m.name == "dispatch-2")
            .and_then(|m| m.start)
            .unwrap_or(0)
    };
    cluster.until("the later start", || {
        [0, 2, 3].iter().all(|at| start_at(*at) > before)
    });
    cluster.all_whole();
}

#[test]
fn a_clock_that_was_ahead_and_an_older_folder_keep_no_member_out() {
    let mut cluster = cluster("cluster-clock", 3);
    let kept = folder_of("cluster-clock").join("dispatch-3.start");
    let older = std::fs::read_to_string(&kept).expect("a start");
    // Its clock was an hour ahead when it started last, and is right again.
    cluster.dispatchers[2].kill();
    let hour = 3_600_000;
    let ahead = older.trim().parse::<u64>().expect("a number") + hour;
    std::fs::write(&kept, ahead.to_string()).expect("a start");
    cluster.dispatchers[2].start(&image()).expect("a process");
    cluster.until("the start ahead", || {
        cluster.view(2).is_some_and(|v| v.start > ahead)
    });
    cluster.all_whole();
    // Its folder comes back as it was before: it would be taken for an earlier start. It ends, and says why.
    cluster.dispatchers[2].kill();
    std::fs::write(&kept, &older).expect("a start");
    cluster.dispatchers[2].start(&image()).expect("a process");
    assert!(!cluster.dispatchers[2].ended(SOON));
    let log = cluster.dispatchers[2].log().expect("a log");
    assert!(
        log.contains("another process under this name started later"),
        "{log}"
    );
    // It was told of the later start, and is later than that when it is started again.
    cluster.dispatchers[2].start(&image()).expect("a process");
    cluster.all_whole();
}

#[test]
fn a_flapping_member_takes_nobody_with_it() {
    let cluster = cluster("cluster-flapping", 4);
    for _ in 0..20 {
        cluster.between.part(&[3], CUT);
        std::thread::sleep(Duration::from_millis(400));
        cluster.between.part(&[3], Rule::default());
        std::thread::sleep(Duration::from_millis(200));
    }
    cluster.all_whole();
    // It is the only one that was ever missed by those that were not cut off.
    for steady in &cluster.dispatchers[..3] {
        let log = steady.log().expect("a log");
        let downs = log.lines().filter(|l| l.contains("\"state\":\"Down\""));
        let others: Vec<&str> = downs
            .filter(|l| !l.contains("\"peer\":\"dispatch-4\""))
            .collect();
        assert!(others.is_empty(), "{others:?}");
    }
}

#[test]
fn all_restarted_one_after_the_other_find_each_other() {
    let mut cluster = cluster("cluster-rolling", 5);
    let starts: Vec<u64> = (0..5)
        .map(|i| cluster.view(i).expect("a view").start)
        .collect();
    for i in 0..5 {
        cluster.dispatchers[i].terminate();
        assert!(cluster.dispatchers[i].ended(SOON));
        cluster.dispatchers[i].start(&image()).expect("a process");
        std::thread::sleep(Duration::from_millis(300));
    }
    cluster.all_whole();
    assert!((0..5).all(|i| cluster.view(i).expect("a view").start > starts[i]));
}

#[test]
fn members_whose_rosters_differ_hear_each_other_and_judge_by_their_own() {
    // The third knows nothing of the fourth.
    let mut cluster = cluster_but("cluster-rosters", 4, |me, other| (me, other) != (2, 3));
    cluster.until("the fourth", || {
        let lines = cluster.view(2).map(|v| v.members).unwrap_or_default();
        lines.iter().filter(|m| m.state == "alive").count() == 3
    });
    cluster.dispatchers[3].kill();
    cluster.until("its loss", || {
        (0..2).all(|at| cluster.state(3, at) == "down")
    });
    assert_eq!(cluster.standing(0), "majority");
    assert_eq!(
        cluster.standing(2),
        "whole",
        "all that its roster names are there"
    );
}

#[test]
fn a_cluster_that_cannot_be_joined_ends_the_start_with_one_line() {
    let dir = folder("cluster-broken");
    std::fs::write(dir.join("hosts.csv"), LIST).expect("a list");
    std::fs::write(dir.join("short"), "short").expect("a secret");
    let settings = toml::from_str(SETTINGS).expect("settings");
    for (secret, cause) in [
        ("nowhere", "nowhere"),
        ("short", "5 bytes; a secret has 16 to 4096"),
    ] {
        let mut one = Dispatcher::new(&dir, 1, 1, &settings);
        let own = free_for_peers(1)[0];
        let roster = [("dispatch-1".to_string(), own, String::new())];
        one.set("cluster", cluster_table(secret, own, "kept", &roster));
        one.without_record();
        one.start(&image()).expect("a process");
        assert!(!one.ended(SOON));
        let log = one.log().expect("a log");
        let last = log.lines().last().unwrap_or_default();
        assert!(
            last.starts_with("bitternlatch-dispatch: ") && last.contains(cause),
            "{log}"
        );
    }
}
