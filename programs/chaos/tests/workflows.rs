//! Workflows over dispatchers as processes: a worker goes on at another one, and what hosts got shows what was done.
mod common;

use std::time::{Duration, Instant};

use bitternlatch_chaos::between::Rule;
use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_protocol::workflow::StepFate;
use common::workflows::*;
use common::*;

#[test]
fn a_worker_goes_on_where_a_killed_dispatcher_left_and_no_step_is_done_again() {
    let mut three = three("workflows-killed", false);
    let first = three.claimed(0, "a");
    assert!(first.steps.is_empty());
    let done: Vec<End> = [(1, BOOKING), (2, QUERY)]
        .map(|(n, class)| three.step(0, class, first.epoch, n))
        .into();
    assert!(
        done.iter().all(|e| e.code == "done" && !e.text.is_empty()),
        "{done:?}"
    );
    assert_eq!(
        three.step(0, BOOKING, first.epoch, 4).code,
        "workflow_unknown",
        "out of order"
    );
    let other = three.asks(0, &step_of(BOOKING, first.epoch, 1, "other words [len=3]"));
    assert_eq!(other.code, "workflow_other_request");
    three.kill(0);
    let second = three.claimed(1, "b");
    assert!(second.epoch > first.epoch);
    let known: Vec<(u32, StepFate, Option<&str>)> = second
        .steps
        .iter()
        .map(|s| (s.number, s.fate, s.result.as_deref()))
        .collect();
    assert_eq!(
        known,
        [
            (1, StepFate::Done, Some(done[0].text.as_str())),
            (2, StepFate::Done, Some(&done[1].text))
        ]
    );
    for (number, class) in [(1, BOOKING), (2, QUERY)] {
        assert_eq!(
            three.step(1, class, second.epoch, number),
            done[number as usize - 1]
        );
        assert_eq!(
            three.ran(number),
            1,
            "no host is asked again for step {number}"
        );
    }
    assert_eq!(
        three.step(2, BOOKING, first.epoch, 3).code,
        "workflow_fenced"
    );
    assert_eq!(three.ran(3), 0);
    assert_eq!(three.step(1, BOOKING, second.epoch, 3).code, "done");
    assert_eq!(three.does(1, "carry", second.epoch), "done");
    assert_eq!(three.does(1, "finish", second.epoch), "done");
    assert_eq!(three.claim(2, "c"), Err("workflow_ended".to_string()));
    let record = three.rig.dir.join("dispatch-2.1.rec");
    three.end();
    assert_eq!(
        bitternlatch_replay::replay_file(&record, false),
        0,
        "its record replays alike"
    );
}

#[test]
fn of_two_workers_that_claim_at_once_one_wins_and_the_other_is_fenced_once_it_has_lost() {
    let three = three("workflows-two", false);
    let both = std::thread::scope(|scope| {
        let one = scope.spawn(|| three.claim(0, "a"));
        let two = scope.spawn(|| three.claim(1, "b"));
        [one.join().expect("a claim"), two.join().expect("a claim")]
    });
    let won: Vec<usize> = (0..2).filter(|i| both[*i].is_ok()).collect();
    let &[winner] = won.as_slice() else {
        panic!("one wins: {both:?}")
    };
    let (loser, name) = (1 - winner, ["b", "a"][winner]);
    assert!(
        matches!(
            both[loser].as_ref().expect_err("lost").as_str(),
            "workflow_carried" | "workflow_busy"
        ),
        "{both:?}"
    );
    let epoch = both[winner].as_ref().map(|c| c.epoch).expect("won");
    assert_eq!(three.step(winner, QUERY, epoch, 1).code, "done");
    let later = three.claimed(loser, name);
    assert_eq!(
        three.step(winner, BOOKING, epoch, 2).code,
        "workflow_fenced"
    );
    assert_eq!(three.does(winner, "carry", epoch), "workflow_fenced");
    assert_eq!(three.ran(2), 0, "nothing of it left");
    assert_eq!(three.step(loser, BOOKING, later.epoch, 2).code, "done");
    assert_eq!(three.ran(2), 1);
    three.end();
}

#[test]
fn an_owner_that_stood_still_while_another_went_on_comes_back_with_a_result_and_is_fenced() {
    let three = three("workflows-paused", false);
    let first = three.claimed(0, "a");
    let client = three.rig.client(0);
    // A few seconds of answer, under way at the pause; the host goes on.
    client.say(&step_of(QUERY, first.epoch, 1, "words of step 1 [len=60]"));
    let begun =
        |c: &Client| matches!(c.next(Duration::from_secs(20)), Came::Event(e) if e.delta.is_some());
    wait_for("its first word", || begun(&client));
    three.rig.dispatchers[0].pause();
    let paused = Instant::now();
    let second = three.claimed(1, "b");
    assert!(second.epoch > first.epoch && second.steps.iter().all(|s| s.fate != StepFate::Done));
    let again = three.asks(
        1,
        &step_of(QUERY, second.epoch, 1, "words of step 1 [len=60]"),
    );
    assert_eq!(again.code, "done");
    assert_eq!(three.step(1, BOOKING, second.epoch, 2).code, "done");
    std::thread::sleep(Duration::from_secs(10).saturating_sub(paused.elapsed()));
    three.rig.dispatchers[0].go_on();
    let late = end(&client);
    assert_eq!(late.code, "workflow_fenced", "{late:?}");
    client.close();
    let third = three.claimed(2, "c");
    let result = third
        .steps
        .iter()
        .find(|s| s.number == 1)
        .and_then(|s| s.result.clone());
    assert_eq!(
        result,
        Some(again.text),
        "the first result that a majority held stands"
    );
    three.end();
}

#[test]
fn a_minority_takes_nothing_over_and_says_so_and_the_majority_goes_on() {
    let three = three("workflows-minority", false);
    let first = three.claimed(0, "a");
    assert_eq!(three.step(0, QUERY, first.epoch, 1).code, "done");
    three.between.part(&[0], Rule { cut: true, ..CUT });
    three.until(0, "alone");
    three.until(1, "majority");
    assert_eq!(
        three.step(0, QUERY, first.epoch, 1).code,
        "done",
        "what is done can be read"
    );
    assert_eq!(three.claim(0, "b"), Err("workflow_no_majority".to_string()));
    assert_eq!(
        three.step(0, QUERY, first.epoch, 2).code,
        "workflow_no_majority"
    );
    assert_eq!(three.step(0, BOOKING, first.epoch, 2).code, "cut_off");
    let read = three.asks(0, &create(QUERY, "plain", "a few words [len=3]"));
    assert_eq!(
        read.code, "done",
        "what is no step and harms nobody is served"
    );
    let second = three.claimed(1, "c");
    assert_eq!(three.step(1, BOOKING, second.epoch, 2).code, "done");
    three.between.part(&[0], Rule::default());
    three.until(0, "whole");
    wait_for("its peers' word", || {
        three.step(0, BOOKING, first.epoch, 3).code == "workflow_fenced"
    });
    assert_eq!([1, 2, 3].map(|n| three.ran(n)), [1, 1, 0]);
    three.end();
}

#[test]
fn an_unsafe_step_whose_dispatcher_died_after_the_send_is_unsettled_until_a_person_decides() {
    let mut three = three("workflows-unsettled", false);
    let first = three.claimed(0, "a");
    let client = three.rig.client(0);
    client.say(&step_of(
        BOOKING,
        first.epoch,
        1,
        "words of step 1 [len=200]",
    ));
    three.rig.until("the write", |l| {
        l.dir == "in" && l.who.starts_with("writer") && l.text.contains("words of step 1")
    });
    three.kill(0);
    three.claim_until(1, "b", "workflow_unsettled");
    assert_eq!(
        three.claim(2, "b"),
        Err("workflow_unsettled".to_string()),
        "and stays so"
    );
    let decides = [
        ("workflow_do", "settle"),
        ("workflow_step", "1"),
        ("workflow_fate", "done"),
    ];
    wait_for("the end of its last lease", || {
        three
            .asks(1, &about(QUERY, &decides, "booked, says the hall"))
            .code
            == "done"
    });
    let second = three.claimed(1, "b");
    let step = &second.steps[0];
    assert_eq!(
        (step.fate, step.result.as_deref()),
        (StepFate::Done, Some("booked, says the hall"))
    );
    assert_eq!(three.step(1, BOOKING, second.epoch, 2).code, "done");
    three.end();
}

#[test]
fn all_restarted_at_once_know_everything_from_disk_and_say_so_where_a_majority_is_lost() {
    let mut three = three("workflows-disks", true);
    let first = three.claimed(0, "a");
    let done: Vec<String> = [1, 2, 3]
        .map(|n| three.step(0, BOOKING, first.epoch, n).text)
        .into();
    (0..3).for_each(|i| three.kill(i));
    (0..3).for_each(|i| three.start(i));
    (0..3).for_each(|i| three.until(i, "whole"));
    let second = three.claimed(2, "b");
    let results: Vec<String> = second
        .steps
        .iter()
        .filter_map(|s| s.result.clone())
        .collect();
    assert_eq!((results, second.epoch > first.epoch), (done, true));
    assert_eq!(three.step(2, BOOKING, second.epoch, 4).code, "done");
    assert_eq!(
        (1..=4).map(|n| three.ran(n)).collect::<Vec<_>>(),
        [1, 1, 1, 1]
    );
    (0..3).for_each(|i| three.kill(i));
    for i in 0..2 {
        std::fs::remove_file(three.rig.dir.join(format!("{i}.workflows"))).expect("its copies");
    }
    (0..3).for_each(|i| three.start(i));
    (0..3).for_each(|i| three.until(i, "whole"));
    for at in [2, 0] {
        three.claim_until(at, "c", "workflow_lost");
    }
    assert_eq!(
        three.step(2, BOOKING, second.epoch, 5).code,
        "workflow_lost"
    );
    assert_eq!(three.ran(5), 0);
    three.end();
}

#[test]
fn a_copy_whose_disk_is_damaged_is_named_and_one_costs_nothing_while_two_are_said() {
    let mut three = three("workflows-damaged", true);
    let first = three.claimed(2, "a");
    assert_eq!(three.step(2, BOOKING, first.epoch, 1).code, "done");
    let damage = |three: &mut Three, of: usize| {
        three.kill(of);
        let text = "not a store, but a longer text about something else. ".repeat(200);
        std::fs::write(three.rig.dir.join(format!("{of}.workflows")), text).expect("a file");
        three.start(of);
        (0..3).for_each(|i| three.until(i, "whole"));
        let named = |log: String| log.contains(".workflows is not a store, or is damaged");
        wait_for("its name in the log", || {
            three.rig.dispatchers[of].log().is_ok_and(named)
        });
    };
    damage(&mut three, 0);
    assert_eq!(three.step(2, BOOKING, first.epoch, 2).code, "done");
    let second = three.claimed(0, "a");
    assert_eq!(
        three.step(0, BOOKING, second.epoch, 3).code,
        "done",
        "asked where the damage is, as well"
    );
    damage(&mut three, 1);
    let codes = ["workflow_not_kept", "workflow_no_majority", "workflow_lost"];
    wait_for("its word", || {
        three
            .claim(2, "a")
            .is_err_and(|code| codes.contains(&code.as_str()))
    });
    let last = three.step(2, BOOKING, second.epoch, 4).code;
    assert!(codes.contains(&last.as_str()), "{last}");
    assert_eq!(
        (1..=4).map(|n| three.ran(n)).collect::<Vec<_>>(),
        [1, 1, 1, 0]
    );
    three.end();
}
