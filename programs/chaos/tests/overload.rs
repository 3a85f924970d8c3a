//! Overload over several processes: what is answered in time at several times capacity, who is refused and how soon, whatever
//! clients and hosts do. With OVERLOAD_OFF in the environment the control is off, and these fail.
mod common;

use common::surge::{together, Played, Scene, CAPACITY, KEPT};

fn holds_up(of: &Played, from_s: usize, to_s: usize) {
    let goodput = of.goodput(from_s, to_s);
    assert!(
        goodput >= KEPT,
        "{goodput} a second in time; {KEPT} are to be kept\n{}",
        of.shown
    );
}

/// What is served is served in time, and no work is done twice for it.
fn well_served(of: &Played) {
    for class in ["slot-query", "season-booking"] {
        let part = of.part(class);
        assert!(
            part.served == 0 || part.within_aim >= 0.85,
            "{class}: {part:?}"
        );
    }
    assert!(of.load().repeats <= 1.1, "{}", of.shown);
}

#[test]
fn goodput_holds_at_six_times_capacity_and_would_not_without_control() {
    let surge = "[[surge]]\nat_s = 2\nfor_s = 6\nfactor = 7.5\n";
    let mut without = Scene::new("six-times-off", 0.8, 8.0, surge);
    without.on = false;
    let without = std::thread::spawn(move || without.play());
    let with = Scene::new("six-times", 0.8, 8.0, surge).play();
    let without = without.join().expect("a day");
    without.holds();
    assert!(
        without.goodput(3, 8) < KEPT,
        "the scene is no overload\n{}",
        without.shown
    );
    with.holds();
    holds_up(&with, 3, 8);
    well_served(&with);
    assert!(
        with.load().refusal_p99_s < 1.0,
        "refused at once: {}",
        with.shown
    );
    assert!(
        with.load()
            .refused_spread_of_class
            .is_some_and(|s| s <= 0.2),
        "{:#?}",
        with.load().refused_share
    );
}

fn who_is_refused_here_is_refused_there_too() {
    let mut scene = Scene::new("roaming", 3.0, 8.0, "");
    scene.clients = "roaming_share = 1.0";
    let day = scene.play();
    day.holds();
    holds_up(&day, 2, 8);
    well_served(&day);
    let (again, of) = (day.load().roamed_refused, day.load().roamed);
    assert!(
        of >= 30 && again * 10 >= of * 8,
        "{again} of {of}\n{}",
        day.shown
    );
}

fn clients_that_ignore_what_they_are_told_take_nothing_from_the_others() {
    let mut scene = Scene::new("hasty", 3.0, 8.0, "");
    scene.clients = "hasty_share = 0.7";
    let day = scene.play();
    day.holds();
    holds_up(&day, 2, 8);
    well_served(&day);
}

/// A class of requests as the first of the mix, its name, tenant and share replaced.
fn mix(parts: &[(&str, Option<&str>, f64)]) -> String {
    let one = |(class, tenant, share): &(&str, Option<&str>, f64)| {
        let tenant = tenant.map_or(String::new(), |t| format!("tenant = \"{t}\"\n"));
        format!(
            "[[mix]]\nclass = \"{class}\"\n{tenant}share = {share:?}\nturns = [1, 1]\nturn_tokens = [200, 290]\n\
             answer_tokens = [10, 20]\nprefixes = 0\nprefix_tokens = 0\nprefix_share = 0.0\n"
        )
    };
    parts.iter().map(one).collect()
}

fn a_tenant_at_ten_times_its_share_takes_nothing_of_anothers() {
    let quota = CAPACITY * 0.45;
    // North asks ten times its share, south eight tenths of its own.
    let mut scene = Scene::new("tenants", 0.45 * 10.8, 8.0, "");
    scene.over =
        format!("over = {{ tenants = [{{ name = \"north\", quota_rps = {quota:?} }}, {{ name = \"south\", quota_rps = {quota:?} }}] }}");
    scene.mix = mix(&[
        ("slot-query", Some("north"), 10.0),
        ("slot-query", Some("south"), 0.8),
    ]);
    let day = scene.play();
    day.holds();
    let (north, south) = (day.part("tenant north"), day.part("tenant south"));
    assert!(south.worth >= 0.7, "{south:?}");
    assert!(
        north.worth >= 0.05 && north.refused > north.served,
        "{north:?}"
    );
}

fn what_is_worth_all_is_served_before_what_is_worth_nothing() {
    let class = |name: &str, worth: f64| {
        format!(
            "{{ name = \"{name}\", effect = \"safe\", ttft_aim_s = 1.5, ttft_aim_ms_per_1000_tokens = 40, token_gap_aim_s = 0.07, \
             deadline_s = 6.0, worth = {worth:?}, late_worth = 0.3 }}"
        )
    };
    let mut scene = Scene::new("all-or-none", 4.0, 8.0, "");
    scene.over = format!(
        "over = {{ classes = [{}, {}] }}",
        class("all", 1.0),
        class("none", 0.0)
    );
    // The one alone is six tenths of what can be served.
    scene.mix = mix(&[("all", None, 0.15), ("none", None, 0.85)]);
    let day = scene.play();
    day.holds();
    let (all, none) = (day.part("all"), day.part("none"));
    assert!(all.worth >= 0.7, "{all:?}");
    assert!(none.refused > none.served, "{none:?}");
}

fn hosts_that_report_falsely_low_load_are_not_believed() {
    let liars =
        "[[faults]]\ntrouble = \"low_load\"\nat_s = 0\nfor_s = 30\nhosts = [\"reader-1\", \"writer-1\"]\n";
    let day = Scene::new("low-load", 3.0, 8.0, liars).play();
    day.holds();
    holds_up(&day, 2, 8);
    well_served(&day);
}

fn capacity_that_is_halved_for_good_halves_what_is_served_and_no_more() {
    let slow = "[[faults]]\ntrouble = \"slow\"\nstrength = 2.0\nat_s = 3\nfor_s = 60\n\
                hosts = [\"reader-1\", \"reader-2\", \"writer-1\", \"writer-2\"]\n";
    let day = Scene::new("halved", 1.6, 9.0, slow).play();
    day.holds();
    let goodput = day.goodput(5, 9);
    assert!(goodput >= KEPT / 2.0, "{goodput}\n{}", day.shown);
}

fn half_of_the_hosts_stalled_and_back_bring_no_second_wave() {
    let stall =
        "[[faults]]\ntrouble = \"pause\"\nat_s = 3\nfor_s = 5\nhosts = [\"reader-1\", \"writer-1\"]\n";
    let day = Scene::new("stalled", 0.9, 16.0, stall).play();
    day.holds();
    let during = day.goodput(4, 8);
    assert!(
        during >= 5.0,
        "the other half serves on: {during}\n{}",
        day.shown
    );
    // Of 27 that are asked for, from 5 s after the end.
    let back = day.goodput(12, 16);
    assert!(back >= 16.0, "{back}\n{}", day.shown);
    assert!(day.load().repeats <= 1.3, "{}", day.shown);
}

fn hosts_six_times_slower_than_taken_for_are_known_within_seconds() {
    let mut scene = Scene::new("guessed", 2.0, 12.0, "");
    scene.guessed = true;
    let day = scene.play();
    day.holds();
    holds_up(&day, 7, 12);
}

#[test]
fn whatever_clients_and_hosts_say() {
    together(&[
        who_is_refused_here_is_refused_there_too,
        clients_that_ignore_what_they_are_told_take_nothing_from_the_others,
        hosts_that_report_falsely_low_load_are_not_believed,
    ]);
}

#[test]
fn who_comes_first() {
    together(&[
        a_tenant_at_ten_times_its_share_takes_nothing_of_anothers,
        what_is_worth_all_is_served_before_what_is_worth_nothing,
    ]);
}

#[test]
fn whatever_hosts_can_do() {
    together(&[
        capacity_that_is_halved_for_good_halves_what_is_served_and_no_more,
        half_of_the_hosts_stalled_and_back_bring_no_second_wave,
        hosts_six_times_slower_than_taken_for_are_known_within_seconds,
    ]);
}
