//! Short seeded days over real processes: what CI plays of the soak. The long run is started by hand.

use std::process::Command;
use std::thread;

use bitternlatch_machine_load::slots::Slots;
use bitternlatch_soak::faults::FAULTS;

/// Plays at a time, of all tests together: a day each, but one of four. A day has a process or three and hundreds of threads.
const MAX_AT_A_TIME: usize = 10;
const LENGTH_S: &str = "7";

static SLOTS: Slots = Slots::new(MAX_AT_A_TIME);

/// Plays days; gives what the program printed, and its exit code.
fn soak(words: &[&str]) -> (String, Option<i32>) {
    let _slot = SLOTS.take();
    let out = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(words.join("_"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_bitternlatch-soak"));
    let output = command
        .args(words)
        .arg("--out")
        .arg(&out)
        .output()
        .expect("the program");
    let said = [output.stdout, output.stderr].concat();
    (
        String::from_utf8_lossy(&said).into_owned(),
        output.status.code(),
    )
}

/// Plays each; gives what was printed of those that did not hold.
fn broken(days: &[Vec<&str>]) -> Vec<String> {
    thread::scope(|scope| {
        let plays: Vec<_> = days
            .iter()
            .map(|words| scope.spawn(|| soak(words)))
            .collect();
        let played = plays.into_iter().map(|play| play.join().expect("a day"));
        played
            .filter(|(_, code)| *code != Some(0))
            .map(|(said, _)| said)
            .collect()
    })
}

/// Plays days of so many seconds, given as processes, seed and fault classes.
fn assert_held(length_s: &'static str, days: &[(&'static str, &'static str, &'static str)]) {
    let length = ["--length", length_s];
    let words = |(processes, seed, faults): &(&'static str, &'static str, &'static str)| {
        let drawn = ["--processes", processes, "--seed", seed, "--faults", faults];
        [drawn.as_slice(), &length].concat()
    };
    let days: Vec<Vec<&str>> = days.iter().map(words).collect();
    let broken = broken(&days);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn a_short_day_of_each_fault_class_holds_all_rules() {
    let day = |(name, _)| vec!["--faults", name, "--seed", "7", "--length", LENGTH_S];
    let broken = broken(&FAULTS.map(day));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn short_days_of_three_processes_and_two_fault_classes_hold_all_rules() {
    const SEEDS: [&str; 5] = ["21", "22", "23", "25", "26"];
    let day = |seed| vec!["--processes", "3", "--seed", seed, "--length", LENGTH_S];
    let broken = broken(&SEEDS.map(day));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn short_days_with_cold_servers_keep_their_budget() {
    const DAYS: [(&str, &str, &str); 6] = [
        ("1", "61", "cold-start,burst"),
        ("2", "62", "cold-start,heavy-requests,hot-prefix"),
        ("3", "63", "cold-start,client-retry,restart"),
        ("2", "64", "cold-start,skew,pause"),
        ("3", "65", "cold-start,discovery,crowd"),
        ("20", "66", "cold-start"),
    ];
    assert_held("12", &DAYS);
}

/// Guards against a budget that is a share of what the role does. Three decode servers of four or six restart in turn at
/// the capacity of the fleet: the share rises while they are away, and what each of them can bear does not.
#[test]
fn cold_servers_keep_their_own_budget_while_others_of_their_role_are_away() {
    const FAULTS: &str = "at-capacity,unlike-servers,hidden-lengths,client-retry";
    const SEEDS: [&str; 5] = ["7302", "7305", "7308", "7309", "7312"];
    assert_held("30", &SEEDS.map(|seed| ("2", seed, FAULTS)));
}

/// Guards against states that stay at servers which hang and go on with prefills that were given up.
#[test]
fn short_days_with_servers_that_hang_leave_no_state() {
    const DAYS: [(&str, &str, &str); 6] = [
        ("1", "7", "hang"),
        ("1", "19", "hang"),
        ("1", "28", "hang"),
        ("2", "202", "hang,silent-decode"),
        ("1", "205", "hang,reset"),
        ("3", "206", "hang,restart"),
    ];
    assert_held("12", &DAYS);
}

/// Guards against streams that are not ended or are cut, and against requests that arrive after their end.
#[test]
fn short_days_with_spoilt_and_slow_answers_and_slowly_read_requests_hold_all_rules() {
    const DAYS: [(&str, &str, &str); 6] = [
        ("1", "1", "spoilt-streams"),
        ("3", "2", "spoilt-streams,slow-streams"),
        ("1", "3", "slow-requests,clients"),
        ("2", "4", "slow-streams,restart"),
        ("2", "5", "spoilt-streams,crowd"),
        ("3", "6", "spoilt-streams,restart"),
    ];
    assert_held("12", &DAYS);
}

/// Guards against processes that are started in an outage of discovery and send by a list from before a drain.
#[test]
fn processes_that_start_in_an_outage_of_discovery_send_nothing_to_draining_servers() {
    const DAYS: [(&str, &str, &str); 5] = [
        ("1", "7801", "outage-start"),
        ("3", "7802", "outage-start"),
        ("1", "7803", "outage-start,client-retry"),
        ("2", "7804", "outage-start,short"),
        ("3", "7805", "outage-start,crowd"),
    ];
    assert_held("12", &DAYS);
}

/// A judge that never finds a cold server overloaded would prove nothing.
#[test]
fn dispatchers_without_slow_start_are_found_to_overload_cold_servers() {
    let (said, code) = soak(&[
        "--without-slow-start",
        "--faults",
        "cold-start",
        "--processes",
        "2",
        "--seed",
        "1",
        "--seeds",
        "4",
        "--parallel",
        "4",
        "--length",
        "12",
    ]);
    assert!(code == Some(1) && said.contains("ColdOverload"), "{said}");
}

/// Calls that fail for a moment succeed when they are made again: they cost no request, at the start or later.
#[test]
fn system_calls_that_fail_for_a_moment_cost_no_request() {
    const SEEDS: [&str; 4] = ["300", "301", "302", "303"];
    for seed in SEEDS {
        let (said, code) = soak(&["--faults", "calls", "--seed", seed, "--length", LENGTH_S]);
        assert!(
            code == Some(0) && said.contains(" 0 refused or failed"),
            "{said}"
        );
    }
}

#[test]
fn what_is_unknown_or_out_of_range_is_told_with_a_remedy() {
    let table: [(&[&str], &str); 5] = [
        (
            &["--faults", "quakes"],
            "'quakes' is not known; name some of silent-decode",
        ),
        (&["--length", "2"], "2 is not from 5 to 300 s"),
        (&["--length", "long"], "'long' is no number of seconds"),
        (&["--processes", "0"], "not in 1..=20"),
        (&["--seeds", "0"], "not in 1..=10000"),
    ];
    for (words, told) in table {
        let (said, code) = soak(words);
        assert!(code == Some(2) && said.contains(told), "{words:?}: {said}");
    }
}
