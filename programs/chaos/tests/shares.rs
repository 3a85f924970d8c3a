//! Parts of what all share, lent among several processes of the program, with faults between them and to them.
mod common;

use std::time::{Duration, Instant};

use bitternlatch_chaos::between::Rule;
use bitternlatch_chaos::views::lent_at_most;
use common::cluster::{cluster, cluster_but, Cluster};
use common::{folder_of, image, CUT};

/// A part's life, by which what a silent one had has certainly ended; it was asked for at the latest when it fell silent.
const ENDED: Duration = Duration::from_millis(1_500);
/// What all may be lent together, within the width of the figures.
const ALL: f64 = 0.9 + 1e-6;

fn part(of: &Cluster, at: usize) -> f64 {
    of.view(at).map_or(0.0, |v| v.part)
}

/// Waits until each of these spends so much.
fn until(of: &Cluster, members: &[usize], spends: f64) {
    of.until(&format!("a part of {spends:.3}"), || {
        members.iter().all(|i| (part(of, *i) - spends).abs() < 1e-4)
    });
}

/// An even share of what is lent among so many, beside the careful one of the roster.
fn even(live: usize, roster: usize) -> f64 {
    0.9 / live as f64 + 0.1 / roster as f64
}

fn steward(of: &Cluster) -> usize {
    let name = of.view(0).map(|v| v.steward).unwrap_or_default();
    of.dispatchers
        .iter()
        .position(|d| d.name == name)
        .expect("a steward")
}

#[test]
fn what_a_killed_one_had_goes_to_the_others_no_earlier_than_it_has_ended() {
    let mut cluster = cluster("shares-killed", 3);
    until(&cluster, &[0, 1, 2], even(3, 3));
    let steward = steward(&cluster);
    let others: Vec<usize> = (0..3).filter(|i| *i != steward).collect();
    // One that is not the steward: nothing but its own part is lost.
    let victim = others[0];
    let stays = [steward, others[1]];
    let began = Instant::now();
    cluster.dispatchers[victim].kill();
    let mut looks = 0;
    loop {
        // The view is older than the look at the clock after it.
        let most = stays.iter().map(|i| part(&cluster, *i)).fold(0.0, f64::max);
        if began.elapsed() >= ENDED - Duration::from_millis(300) {
            break;
        }
        looks += 1;
        assert!(
            most <= even(3, 3) + 1e-9,
            "{most} while what the other had may be in use"
        );
    }
    assert!(looks > 0);
    until(&cluster, &stays, even(2, 3));
    cluster.dispatchers[victim]
        .start(&image())
        .expect("a process");
    until(&cluster, &[0, 1, 2], even(3, 3));
}

#[test]
fn a_steward_that_is_killed_has_a_successor() {
    let mut cluster = cluster("shares-steward", 5);
    until(&cluster, &[0, 1, 2, 3, 4], even(5, 5));
    let first = steward(&cluster);
    cluster.dispatchers[first].kill();
    let others: Vec<usize> = (0..5).filter(|i| *i != first).collect();
    until(&cluster, &others, even(4, 5));
    let name = cluster.dispatchers[first].name.clone();
    assert!(others
        .iter()
        .all(|i| cluster.view(*i).expect("a view").steward != name));
}

#[test]
fn a_steward_that_stood_still_lends_nothing_that_its_successor_has_lent() {
    let cluster = cluster("shares-paused", 3);
    until(&cluster, &[0, 1, 2], even(3, 3));
    for _ in 0..2 {
        let first = steward(&cluster);
        cluster.dispatchers[first].pause();
        let others: Vec<usize> = (0..3).filter(|i| *i != first).collect();
        until(&cluster, &others, even(2, 3));
        cluster.dispatchers[first].go_on();
        until(&cluster, &[0, 1, 2], even(3, 3));
    }
    let most = lent_at_most(&folder_of("shares-paused")).expect("logs");
    assert!(most > 0.8 && most <= ALL, "{most}");
}

#[test]
fn a_minority_spends_carefully_and_the_majority_the_rest() {
    let cluster = cluster("shares-parted", 5);
    until(&cluster, &[0, 1, 2, 3, 4], even(5, 5));
    for _ in 0..2 {
        cluster.between.part(&[0, 1], CUT);
        until(&cluster, &[0, 1], 0.02);
        until(&cluster, &[2, 3, 4], even(3, 5));
        cluster.between.part(&[0, 1], Rule::default());
        until(&cluster, &[0, 1, 2, 3, 4], even(5, 5));
    }
    // Lost, late and doubled, while one after the other is cut off.
    let rough = Rule {
        lost: 0.3,
        twice: 0.3,
        delay_s: 0.002,
        jitter_s: 0.3,
        ..Rule::default()
    };
    cluster.between.all(rough);
    for i in 0..5 {
        cluster.between.part(&[i], CUT);
        std::thread::sleep(Duration::from_millis(700));
        cluster.between.all(rough);
    }
    cluster.between.all(Rule::default());
    until(&cluster, &[0, 1, 2, 3, 4], even(5, 5));
    let most = lent_at_most(&folder_of("shares-parted")).expect("logs");
    assert!(most > 0.8 && most <= ALL, "{most}");
}

#[test]
fn members_with_other_rosters_are_told_apart_and_spend_carefully() {
    // The third knows nothing of the fourth.
    let cluster = cluster_but("shares-rosters", 4, |me, other| (me, other) != (2, 3));
    let alike = [0, 1, 3];
    until(&cluster, &alike, even(3, 4));
    assert!((part(&cluster, 2) - 0.1 / 3.0).abs() < 1e-9);
    cluster.until("a word of it", || {
        let says = |i: &usize| {
            cluster.dispatchers[*i]
                .log()
                .expect("a log")
                .contains("another roster")
        };
        alike.iter().any(says)
    });
}

#[test]
fn one_that_leaves_gives_back_what_it_had() {
    let mut cluster = cluster("shares-farewell", 3);
    until(&cluster, &[0, 1, 2], even(3, 3));
    let leaver = (0..3).find(|i| *i != steward(&cluster)).expect("another");
    cluster.dispatchers[leaver].terminate();
    assert!(cluster.dispatchers[leaver].ended(common::cluster::SOON));
    let others: Vec<usize> = (0..3).filter(|i| *i != leaver).collect();
    until(&cluster, &others, even(2, 3));
}
