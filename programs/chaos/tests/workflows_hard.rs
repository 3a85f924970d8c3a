//! Hard cases of workflows over dispatchers as processes: halves, links cut one way, keys, and many at once.
mod common;

use std::time::{Duration, Instant};

use bitternlatch_chaos::between::Rule;
use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_protocol::workflow::{Claimed, StepFate};
use common::workflows::*;
use common::*;

fn begun(client: &Client) {
    let first =
        |c: &Client| matches!(c.next(Duration::from_secs(20)), Came::Event(e) if e.delta.is_some());
    wait_for("its first word", || first(client));
}

#[test]
fn of_two_halves_whose_workers_claim_at_once_only_the_larger_takes_over() {
    let three = three("workflows-halves", false);
    let first = three.claimed(0, "a");
    assert_eq!(three.step(0, BOOKING, first.epoch, 1).code, "done");
    three.between.part(&[0], CUT);
    let second = std::thread::scope(|scope| {
        let larger = scope.spawn(|| three.claimed(1, "c"));
        let by = Instant::now() + Duration::from_secs(30);
        loop {
            let code = three
                .claim(0, "b")
                .expect_err("the smaller half grants nothing");
            if code == "workflow_no_majority" {
                break;
            }
            assert!(Instant::now() < by, "{code}");
        }
        larger.join().expect("a claim")
    });
    assert!(second.epoch > first.epoch);
    three.until(0, "alone");
    assert_eq!(
        three.step(0, QUERY, first.epoch, 2).code,
        "workflow_no_majority"
    );
    assert_eq!(three.step(0, BOOKING, first.epoch, 2).code, "cut_off");
    assert_eq!(
        [2, 3].map(|n| three.step(1, BOOKING, second.epoch, n).code),
        ["done", "done"]
    );
    three.between.part(&[0], Rule::default());
    three.until(0, "whole");
    wait_for("its peers' word", || {
        three.step(0, BOOKING, first.epoch, 4).code == "workflow_fenced"
    });
    assert_eq!(three.does(0, "carry", first.epoch), "workflow_fenced");
    assert_eq!([1, 2, 3, 4].map(|n| three.ran(n)), [1, 1, 1, 0]);
    three.end();
}

#[test]
fn a_step_during_which_a_link_is_cut_one_way_ends_once_and_is_known() {
    let three = three("workflows-one-way", false);
    let first = three.claimed(0, "a");
    let mut told = Vec::new();
    for (number, (from, to)) in (1..).zip([(0, 1), (1, 0), (0, 2), (2, 0)]) {
        let client = three.rig.client(0);
        let input = format!("words of step {number} [len=40]");
        client.say(&step_of(BOOKING, first.epoch, number, &input));
        begun(&client);
        three.between.set(from, to, CUT);
        let end = end(&client);
        client.close();
        three.between.all(Rule::default());
        assert_eq!(end.code, "done", "{from} to {to}");
        told.push(end.text);
        (0..3).for_each(|i| three.until(i, "whole"));
    }
    let second = three.claimed(1, "a");
    let known: Vec<String> = second
        .steps
        .iter()
        .filter_map(|s| s.result.clone())
        .collect();
    assert_eq!(known, told);
    let seen: Vec<_> = three.rig.lines.try_iter().collect();
    for number in 1..=4 {
        let text = format!("words of step {number} [len=40]");
        let written = three.rig.completions(&seen);
        let times = written
            .iter()
            .filter(|(who, told)| who.starts_with("writer") && told.contains(&text));
        assert_eq!(times.count(), 1, "step {number}");
    }
    three.end();
}

#[test]
fn a_keyed_step_whose_dispatcher_died_after_the_send_is_repeated_with_its_key() {
    let mut three = three("workflows-keyed", false);
    let first = three.claimed(0, "a");
    let input = "words of step 1 [len=40]";
    let step = |epoch| {
        step_of(HOLD, epoch, 1, input)
            .replace(r#""idempotency_key":"1""#, r#""idempotency_key":"hold-1""#)
    };
    let client = three.rig.client(0);
    client.say(&step(first.epoch));
    let mut seen = three.rig.until("the write", |l| {
        l.dir == "in" && l.who.starts_with("writer") && l.text.contains(input)
    });
    three.kill(0);
    let second = three.claimed(1, "b");
    assert!(
        second.steps.iter().all(|s| s.fate != StepFate::Done),
        "{second:?}"
    );
    let again = three.asks(1, &step(second.epoch));
    assert_eq!(again.code, "done");
    seen.extend(three.rig.lines.try_iter());
    let told = three.rig.completions(&seen);
    let writes: Vec<_> = told
        .iter()
        .filter(|(who, t)| who.starts_with("writer") && t.contains(input))
        .collect();
    assert_eq!(writes.len(), 2, "{writes:?}");
    let key = |told: &str| {
        let told: serde_json::Value = serde_json::from_str(told).expect("json");
        told["body"]["idempotency_key"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    };
    assert!(
        writes
            .iter()
            .all(|(_, t)| key(t) == key(&writes[0].1) && key(t).ends_with("/hold-1")),
        "{writes:?}"
    );
    assert_eq!(
        three.asks(1, &step(second.epoch)),
        again,
        "what was done is read"
    );
    let third = three.claimed(2, "b");
    assert_eq!(
        third.steps[0].result.as_ref(),
        Some(&again.text),
        "its result stands"
    );
    three.end();
}

#[test]
fn many_workflows_of_a_killed_dispatcher_are_all_finished_at_the_others() {
    const MANY: u32 = 40;
    let mut three = three("workflows-many", false);
    let named = |i: u32, text: String| text.replace(r#""season""#, &format!(r#""season-{i}""#));
    let claim = |three: &Three, at: usize, i: u32, worker: &str| {
        let does = [("workflow_do", "claim"), ("workflow_worker", worker)];
        let by = Instant::now() + Duration::from_secs(30);
        loop {
            let end = three.asks(at, &named(i, about(QUERY, &does, "claim")));
            if end.code == "done" {
                return serde_json::from_str::<Claimed>(&end.text).expect("a claim");
            }
            assert!(Instant::now() < by, "{i}: {end:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let step = |three: &Three, at: usize, i: u32, epoch: u64, number: u32| {
        three.asks(
            at,
            &named(i, step_of(BOOKING, epoch, number, &words(i * 10 + number))),
        )
    };
    let each = |work: &(dyn Fn(u32) + Sync)| {
        std::thread::scope(|all| {
            (0..8).for_each(|hand| drop(all.spawn(move || (hand..MANY).step_by(8).for_each(work))));
        });
    };
    each(&|i| {
        let epoch = claim(&three, 0, i, "a").epoch;
        assert_eq!(step(&three, 0, i, epoch, 1).code, "done", "{i}");
    });
    three.kill(0);
    each(&|i| {
        let at = 1 + i as usize % 2;
        let claimed = claim(&three, at, i, "b");
        assert!(
            claimed.steps.iter().all(|s| s.fate == StepFate::Done) && claimed.steps.len() == 1,
            "{claimed:?}"
        );
        assert_eq!(step(&three, at, i, claimed.epoch, 2).code, "done", "{i}");
        let epoch = claimed.epoch.to_string();
        let finish = [
            ("workflow_do", "finish"),
            ("workflow_epoch", epoch.as_str()),
        ];
        assert_eq!(
            three
                .asks(at, &named(i, about(QUERY, &finish, "word")))
                .code,
            "done",
            "{i}"
        );
    });
    let times = |number| {
        (0..MANY)
            .map(|i| three.ran(i * 10 + number))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (times(1), times(2)),
        (vec![1; MANY as usize], vec![1; MANY as usize])
    );
    three.end();
}
