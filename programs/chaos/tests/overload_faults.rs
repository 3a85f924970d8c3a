//! Overload while dispatchers do not hear each other, stand still, are killed or come back with nothing: the careful side, at
//! the act. With OVERLOAD_OFF in the environment the control is off, and these fail.
mod common;

use common::surge::{together, Scene, KEPT};

/// A process's trouble.
fn process(what: &str, dispatcher: usize, at_s: f64, for_s: f64) -> String {
    format!("[[process]]\nat_s = {at_s:?}\nfor_s = {for_s:?}\ndispatcher = {dispatcher}\nwhat = \"{what}\"\n")
}

fn goodput_holds_at_twice_the_capacity_while_links_are_cut_one_way_and_both() {
    let cuts = "[[between]]\nat_s = 2\nfor_s = 3\ngroup = [1]\ncut = true\n\
                [[between]]\nat_s = 7\nfor_s = 3\ngroup = [2]\nway = \"out\"\ncut = true\n";
    let day = Scene::new("cut", 2.0, 11.0, cuts).play();
    day.holds();
    let goodput = day.goodput(2, 11);
    assert!(goodput >= KEPT, "{goodput}\n{}", day.shown);
    assert!(day.load().repeats <= 1.15, "{}", day.shown);
}

fn a_steward_that_stands_still_and_comes_back_lends_nobody_too_much() {
    let day = Scene::new("steward", 2.0, 12.0, process("pause_steward", 1, 4.0, 4.0)).play();
    day.holds();
    let goodput = day.goodput(2, 12);
    // A third of the callers hang at the one that stands still.
    assert!(goodput >= 0.5 * KEPT, "{goodput}\n{}", day.shown);
    assert!(day.load().repeats <= 1.15, "{}", day.shown);
    let back = day.goodput(9, 12);
    assert!(back >= 0.8 * KEPT, "{back}\n{}", day.shown);
}

fn a_third_killed_at_once_comes_back_with_nothing_and_goodput_with_it() {
    let kills = process("kill_and_empty", 3, 3.0, 1.0) + &process("kill_and_empty", 6, 3.5, 1.0);
    let mut scene = Scene::new("third", 0.8, 11.0, kills);
    scene.dispatchers = 6;
    let day = scene.play();
    day.holds();
    let back = day.recovery("KillAndEmpty").back_after_s;
    assert!(back.is_some_and(|s| s <= 5.0), "{back:?}\n{}", day.shown);
    assert!(day.load().repeats <= 1.2, "{}", day.shown);
}

fn all_restarted_one_after_another_at_twice_the_capacity_begin_carefully() {
    let kills: String = (1..=3)
        .map(|n| process("kill_and_empty", n, 1.0 + 2.0 * n as f64, 1.0))
        .collect();
    let day = Scene::new("restarted", 2.0, 13.0, kills).play();
    day.holds();
    let back = day.goodput(9, 13);
    assert!(back >= 0.8 * KEPT, "{back}\n{}", day.shown);
    assert!(day.load().repeats <= 1.2, "{}", day.shown);
}

/// Probes a second of one host by all dispatchers together. Twelve that each asked as often as one of three does would make six.
const PROBES_MOST: f64 = 2.85;

#[test]
fn a_host_is_probed_no_more_by_twelve_than_by_three() {
    let at = |dispatchers: usize, name: &'static str| {
        let mut scene = Scene::new(name, 0.4, 6.0, "");
        scene.dispatchers = dispatchers;
        scene
    };
    let (few, many) = (at(3, "probed-by-3"), at(12, "probed-by-12"));
    let few = std::thread::spawn(move || few.play());
    let many = many.play();
    let few = few.join().expect("a day");
    few.holds();
    many.holds();
    let (few, many) = (few.load().probes_most(), many.load().probes_most());
    assert!(
        few > 0.0 && many > 0.0,
        "{few} a second by three, {many} by twelve"
    );
    assert!(
        few <= PROBES_MOST && many <= PROBES_MOST,
        "{few} a second by three, {many} by twelve"
    );
}

#[test]
fn while_they_do_not_hear_each_other() {
    together(&[
        goodput_holds_at_twice_the_capacity_while_links_are_cut_one_way_and_both,
        a_steward_that_stands_still_and_comes_back_lends_nobody_too_much,
    ]);
}

#[test]
fn when_they_come_back_with_nothing() {
    together(&[
        a_third_killed_at_once_comes_back_with_nothing_and_goodput_with_it,
        all_restarted_one_after_another_at_twice_the_capacity_begin_carefully,
    ]);
}
