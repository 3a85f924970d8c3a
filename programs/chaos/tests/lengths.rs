//! Lengths of answers learnt together by real processes: cuts, restarts with what was kept in every state, clients that leave.
mod common;

use std::fs::File;
use std::path::PathBuf;
use std::time::Duration;

use bitternlatch_chaos::between::Rule;
use bitternlatch_chaos::client::Came;
use bitternlatch_core::record::read;
use common::lengths::some;
use common::*;

#[test]
fn what_is_learnt_while_one_is_cut_off_is_known_to_all_after_it_and_counted_once() {
    let some = some("lengths-cut", 3);
    (0..3).for_each(|i| some.answers(i, "slot-query", 4, 6));
    some.between.part(&[0], CUT);
    wait_for("the cut", || some.told(1, "peers").last() == Some(&1.0));
    (0..3).for_each(|i| some.answers(i, "slot-query", 3, 9));
    some.between.part(&[0], Rule::default());
    some.all_have(21.0);
    some.rig.end();
}

#[test]
fn a_restart_learns_from_what_was_kept_in_any_state_and_from_its_peers_within_seconds() {
    let mut some = some("lengths-restart", 2);
    some.answers(0, "slot-query", 12, 5);
    some.answers(1, "season-booking", 8, 12);
    some.all_have(20.0);
    // In order: what is its own and its peer's is on disk. Without the peer that is all that it has.
    some.rig.dispatchers.iter().for_each(|one| one.terminate());
    for one in &mut some.rig.dispatchers {
        assert!(one.ended(Duration::from_secs(20)));
    }
    let whole = std::fs::read(some.kept(0)).expect("kept");
    some.start(0);
    wait_for("what was kept", || {
        some.log(0).contains("lengths: read back answers=20 ")
    });
    some.start(1);
    some.all_have(20.0);
    assert!(some.rig.dispatchers[1].ready(Duration::from_secs(20)));
    some.answers(1, "slot-query", 5, 5);
    some.all_have(25.0);
    // Torn, emptied, lost, and one from before what was learnt since: the peer knows the rest.
    let states: [(&str, Option<&[u8]>); 4] = [
        ("torn", Some(&whole[..whole.len() / 2])),
        ("emptied", Some(b"")),
        ("lost", None),
        ("older", Some(&whole)),
    ];
    for (state, bytes) in states {
        some.rig.dispatchers[0].kill();
        match bytes {
            Some(bytes) => std::fs::write(some.kept(0), bytes).expect("written"),
            None => std::fs::remove_file(some.kept(0)).expect("removed"),
        }
        some.start(0);
        wait_for(state, || some.told(0, "answers").last() == Some(&25.0));
        let broken = some
            .log(0)
            .contains("lengths: begins with nothing of its own");
        assert_eq!(broken, matches!(state, "torn" | "emptied"), "{state}");
    }
    assert!(some.rig.dispatchers[0].ready(Duration::from_secs(20)));
    some.answers(0, "slot-query", 2, 5);
    some.all_have(27.0);
    some.rig.end();
}

#[test]
fn two_that_see_other_traffic_tell_one_another_and_clients_that_leave_make_nothing_shorter() {
    let some = some("lengths-left", 2);
    some.answers(0, "slot-query", 10, 30);
    some.answers(1, "season-booking", 10, 30);
    for n in 0..12 {
        let client = some.rig.client(n % 2);
        client.say(&create(
            "slot-query",
            &format!("left{n}"),
            "words [len=150]",
        ));
        // Until its first piece has come.
        while !matches!(client.next(Duration::from_secs(20)), Came::Event(e) if e.kind.ends_with("delta"))
        {
        }
        client.close();
    }
    some.all_have(32.0);
    for i in 0..2 {
        let (p50, odd) = (some.told(i, "p50"), some.told(i, "odd"));
        assert!(
            p50.last().is_some_and(|p| (27.0..36.0).contains(p)),
            "{p50:?}"
        );
        assert_eq!(odd.last(), Some(&0.0));
    }
    // What was told of lengths is in the records: they replay alike.
    let records: Vec<PathBuf> = some
        .rig
        .dispatchers
        .iter()
        .flat_map(|one| one.records())
        .collect();
    some.rig.end();
    for record in records {
        let entries = read(File::open(&record).expect("a record"))
            .expect("a good record")
            .entries;
        let text = format!("{entries:?}");
        assert!(
            text.contains("Estimates(") && text.contains("ResponseFinished("),
            "{record:?}"
        );
        assert_eq!(
            bitternlatch_replay::replay_file(&record, false),
            0,
            "{record:?}"
        );
    }
}
