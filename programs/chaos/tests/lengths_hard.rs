//! Lengths of answers over real processes in hard cases: lengths that double, models never seen and made up, hosts that tell nonsense.
mod common;

use std::fs::File;
use std::ops::Range;

use bitternlatch_core::record::read;
use bitternlatch_mock_engine::config::Trouble;
use common::lengths::{some, Some as Rigged};
use common::*;

/// Cells and curves that a dispatcher holds at the most.
const MOST: f64 = 1024.0;

/// An answer of so many tokens of a model, served.
fn served(
    client: &bitternlatch_chaos::client::Client,
    model: &str,
    class: &str,
    key: &str,
    tokens: usize,
) {
    let asked = create(class, key, &format!("words [len={tokens}]"));
    client.say(&asked.replace("\"model\":\"m\"", &format!("\"model\":\"{model}\"")));
    assert_eq!(final_kind(client), "response.completed", "{model} {key}");
}

/// Answers at all dispatchers over so many sessions each, each of a model that is made of the two numbers.
fn at_all(
    some: &Rigged,
    sessions: usize,
    count: usize,
    tokens: usize,
    model: impl Fn(usize, usize) -> String + Sync,
) {
    std::thread::scope(|scope| {
        for s in 0..sessions * some.rig.dispatchers.len() {
            let model = &model;
            scope.spawn(move || {
                let client = some.rig.client(s / sessions);
                for n in 0..count {
                    served(
                        &client,
                        &model(s, n),
                        "slot-query",
                        &format!("{tokens}-{s}-{n}"),
                        tokens,
                    );
                }
                client.close();
            });
        }
    });
}

fn p50_within(some: &Rigged, range: Range<f64>) {
    let all = 0..some.rig.dispatchers.len();
    wait_for(&format!("a p50 in {range:?} at all"), || {
        all.clone().all(|i| {
            some.told(i, "p50")
                .last()
                .is_some_and(|p| range.contains(p))
        })
    });
}

/// Ends all; the last answer of each had been expected to be as the ones of 8 tokens.
fn told_last_of_eight(some: Rigged) {
    let records: Vec<_> = some
        .rig
        .dispatchers
        .iter()
        .map(|one| one.records())
        .collect();
    some.rig.end();
    for of_one in records {
        let record = of_one.last().expect("a record");
        let entries = read(File::open(record).expect("a record"))
            .expect("a good record")
            .entries;
        let text = format!("{entries:?}");
        let last = text
            .rsplit("ResponseFinished(FinishedResponse {")
            .next()
            .expect("an end");
        let told = last
            .split("predicted_p90: Some(")
            .nth(1)
            .and_then(|t| t.split(')').next()?.parse().ok());
        assert!(
            told.is_some_and(|t: u32| (7..=10).contains(&t)),
            "{:?}",
            last.get(..300)
        );
    }
}

#[test]
fn lengths_that_double_are_known_at_all_and_also_where_they_were_not_answered() {
    let some = some("lengths-double", 2);
    at_all(&some, 4, 3, 8, |_, _| "m".to_string());
    some.all_have(24.0);
    p50_within(&some, 7.0..10.0);
    // Only one sees the longer ones.
    std::thread::scope(|scope| {
        (0..6).for_each(|_| drop(scope.spawn(|| some.answers(0, "slot-query", 7, 16))));
    });
    some.all_have(66.0);
    p50_within(&some, 14.0..19.0);
    (0..2).for_each(|i| some.answers(i, "slot-query", 1, 16));
    some.all_have(68.0);
    some.rig.end();
}

#[test]
fn a_model_and_a_class_never_seen_are_served_with_what_is_known_of_all() {
    let some = some("lengths-unseen", 2);
    at_all(&some, 4, 4, 8, |_, _| "m".to_string());
    some.all_have(32.0);
    p50_within(&some, 7.0..10.0);
    for (i, class) in ["slot-query", "season-booking"].into_iter().enumerate() {
        let client = some.rig.client(i);
        served(&client, "never-seen", class, "unseen", 8);
        client.close();
    }
    some.all_have(34.0);
    told_last_of_eight(some);
}

#[test]
fn models_made_up_by_the_hundred_fill_what_they_may_and_no_more() {
    let some = some("lengths-made-up", 2);
    at_all(&some, 4, 3, 8, |_, _| "m".to_string());
    some.all_have(24.0);
    at_all(&some, 20, 28, 1, |s, n| format!("made-up-{s}-{n}"));
    let last = |i: usize, figure: &str| some.told(i, figure).last().copied().unwrap_or_default();
    // Its own are all counted; a peer's count as long as there is a place for their models.
    wait_for("its own of each", || {
        (0..2).all(|i| last(i, "answers") >= 12.0 + 560.0 && last(i, "cells") > 500.0)
    });
    for i in 0..2 {
        assert!(some
            .told(i, "cells")
            .iter()
            .chain(&some.told(i, "curves"))
            .all(|n| *n <= MOST));
    }
    // What had a place before is told as before, whatever all together have become.
    p50_within(&some, 0.0..3.0);
    (0..2).for_each(|i| some.answers(i, "slot-query", 1, 8));
    told_last_of_eight(some);
}

#[test]
fn a_host_that_tells_nonsense_is_named_and_no_estimate_follows_it() {
    let some = some("lengths-nonsense", 2);
    at_all(&some, 4, 3, 8, |_, _| "m".to_string());
    some.all_have(24.0);
    for told in [0.0, 1e9] {
        some.rig
            .standins()
            .trouble("writer-1", Trouble::OddUsage, told, 600.0);
        let before = some.told(0, "odd").last().copied().unwrap_or_default();
        some.answers(0, "slot-query", 16, 8);
        wait_for("odd ends", || {
            some.told(0, "odd")
                .last()
                .is_some_and(|o| *o > before + 2.0)
        });
    }
    assert!(some.log(0).contains("lengths: host=writer-1 tokens="));
    assert!(!some.log(0).contains("lengths: host=writer-2 "));
    p50_within(&some, 7.0..10.0);
    let odd = some.told(0, "odd").last().copied().unwrap_or_default();
    // What was odd counts nowhere, and the other host's answers do.
    some.all_have(24.0 + 32.0 - odd);
    some.rig.end();
}
