//! Bills against a count kept from the hosts' sockets, through repeats, faults and a dispatcher that is killed.
mod common;

use std::time::Duration;

use bitternlatch_billing::reconcile::ServerCounts;
use bitternlatch_billing::{read_journals, rows};
use bitternlatch_budget::charge::{Entries, Usage};
use bitternlatch_chaos::client::Came;
use bitternlatch_mock_engine::config::Trouble;
use common::{create, final_kind, image, rig, Rig, FOUR};

fn charged(name: &str) -> Rig {
    rig(name, FOUR, 2, |settings| {
        let file = toml::Table::from_iter([("file".to_string(), "any".into())]);
        settings.insert("charges".into(), file.into());
    })
}

/// Ends all, and gives the entries with what hosts have counted.
fn settle(rig: Rig) -> (Entries, ServerCounts) {
    let journals: Vec<_> = rig
        .dispatchers
        .iter()
        .map(|d| rig.dir.join(format!("{}.charges", d.name)))
        .collect();
    let lines = rig.lines.clone();
    rig.end();
    let mut counts = ServerCounts::default();
    lines
        .try_iter()
        .filter(|l| l.dir == "out")
        .for_each(|l| counts.add_message(&l.text));
    let (entries, contradictions) = read_journals(&journals).expect("journals");
    assert!(contradictions.is_empty(), "{contradictions:?}");
    (entries, counts)
}

#[test]
fn bills_are_what_hosts_counted_through_repeats_errors_and_a_kill() {
    let mut rig = charged("bills");
    rig.standins()
        .trouble("writer-1", Trouble::FastErrors, 0.5, 60.0);
    let mut served = 0;
    for i in 0..40 {
        if i == 25 {
            rig.dispatchers[1].kill();
            rig.dispatchers[1].start(&image()).expect("started again");
            assert!(rig.dispatchers[1].ready(Duration::from_secs(20)));
        }
        let at = i % 2;
        let (client, again) = (rig.client(at), rig.client(at));
        let class = ["slot-query", "season-booking"][i / 2 % 2];
        let text = create(
            class,
            &format!("k{i}"),
            &format!("{} [len={}]", "words ".repeat(10 + i), 3 + i % 7),
        );
        client.say(&text);
        again.say(&text);
        let ends = [final_kind(&client), final_kind(&again)];
        served += usize::from(ends.iter().all(|e| e == "response.completed"));
    }
    let (entries, counts) = settle(rig);
    let found = counts.reconcile(&entries);
    assert!(found.mismatches.is_empty(), "{:#?}", found.mismatches);
    assert!(
        found.equal >= served && served > 25,
        "{found:?}, {served} served"
    );
    let known = entries
        .latest()
        .filter(|e| matches!(e.used, Usage::Known(_)))
        .count();
    let sums = rows(&entries.bill(0, u64::MAX));
    assert_eq!(
        sums.iter().map(|r| r.requests).sum::<u64>(),
        known as u64,
        "one entry a request, repeats included"
    );
    // The comparison can fail: a bill with one entry less is at fault.
    let mut less = Entries::default();
    for entry in entries.latest().skip(1) {
        less.insert(entry.clone());
    }
    assert_eq!(counts.reconcile(&less).mismatches.len(), 1);
}

#[test]
fn a_booking_whose_answer_is_lost_is_possibly_charged_and_what_was_said_before_a_kill_is_on_disk() {
    let mut rig = charged("possibly");
    for writer in ["writer-1", "writer-2"] {
        rig.standins()
            .trouble(writer, Trouble::LostAnswers, 1.0, 60.0);
    }
    let client = rig.client(0);
    client.say(&create("season-booking", "k1", "the season [len=5]"));
    assert_eq!(final_kind(&client), "response.failed");
    // No orderly end: what was answered is in the journal already.
    rig.dispatchers[0].kill();
    assert!(matches!(
        client.next(Duration::from_secs(20)),
        Came::Closed(_)
    ));
    let (entries, counts) = settle(rig);
    let all: Vec<_> = entries.latest().collect();
    assert!(
        all.len() == 1 && matches!(all[0].used, Usage::AtMost(_)),
        "{all:?}"
    );
    let found = counts.reconcile(&entries);
    assert_eq!((found.within, found.mismatches.len()), (1, 0), "{found:?}");
}
