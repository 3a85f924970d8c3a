//! Parts of what all share, in the machine: what is lent counts by time, at the act.
mod common;

use bitternlatch_core::{Input, Micros, Settings};
use bitternlatch_membership::QuorumState;
use common::{four_servers, Harness, SETTINGS};

/// 1,000 tokens saved, a hundred a second, over ten dispatchers; an amount a day beside it.
const BUDGET: &str = "\n[[tenants]]\nname = \"bands\"\nquota_rps = 1000\n\
    budget = { rate = { tokens_per_s = 100, burst_tokens = 1000 } }\n";

fn cluster() -> Harness {
    let mut text = format!("{SETTINGS}{BUDGET}[cluster]\nname = \"hall\"\nsecret = \"secret\"\n");
    for i in 1..=10 {
        text += &format!(
            "[[cluster.roster]]\nname = \"d{i}\"\naddress = \"127.0.0.1:{}\"\n",
            7000 + i
        );
    }
    let settings = Settings::parse("test", &text).expect("settings");
    let mut bench = Harness::with(settings, 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    bench
}

fn lend(bench: &mut Harness, lent: f64, for_s: f64) {
    let until = Micros(bench.now.0 + (for_s * 1e6) as u64);
    bench.step(Input::QuorumState {
        state: QuorumState::Whole,
        present: vec![],
        until,
    });
    bench.step(Input::QuotaLease {
        leased: lent,
        until,
    });
}

/// Whether a request of a hundred tokens' prompt and so many more is taken now.
fn takes(bench: &mut Harness, key: &str, output: u32) -> bool {
    let session = bench.open_session(key.bytes().fold(1000, |n, b| n * 7 + u64::from(b)));
    let text = serde_json::json!({ "type": "response.create", "model": "m", "input": "x".repeat(400),
        "max_output_tokens": output, "metadata": { "class": "query", "idempotency_key": key } });
    bench.step(Input::SessionText {
        session,
        text: text.to_string(),
    });
    bench
        .take_event_types(session)
        .contains(&"response.created".to_string())
}

/// Spends so many tokens, which must be taken.
fn spends(bench: &mut Harness, key: &str, output: u32) {
    assert!(takes(bench, key, output));
    let read = bench.next_completion();
    bench.finish_prefill(&read);
    let write = bench.next_completion();
    bench.finish_decode(&write, 100, output);
}

#[test]
fn dispatcher_without_quorum_state_spends_unleased_quota() {
    let mut bench = cluster();
    // A tenth of a tenth: 10 tokens saved, one a second. A larger request is taken when that is full, and owed.
    spends(&mut bench, "a", 100);
    bench.advance(150.0);
    assert!(!takes(&mut bench, "b", 10), "190 are owed");
    bench.advance(55.0);
    assert!(takes(&mut bench, "c", 10));
}

#[test]
fn quota_lease_is_spent_until_expiry() {
    let mut bench = cluster();
    spends(&mut bench, "a", 101);
    // 191 owed. Half of the whole for two seconds, 51 a second, and then careful: 102 in all, and one a second after.
    lend(&mut bench, 0.5, 2.0);
    // It stands still for a minute; the part has ended within it, and counts for its two seconds alone.
    bench.now = Micros(bench.now.0 + 60_000_000);
    assert!(!takes(&mut bench, "b", 10), "191 - 102 - 58 are owed still");
    bench.advance(30.0);
    assert!(!takes(&mut bench, "c", 10));
    bench.advance(15.0);
    assert!(takes(&mut bench, "d", 10));
}

#[test]
fn smaller_quota_lease_applies_at_once() {
    let mut bench = cluster();
    lend(&mut bench, 0.9, 100.0);
    bench.advance(20.0);
    lend(&mut bench, 0.1, 100.0);
    // Of the 910 saved 110 are left: a tenth and the careful part.
    assert!(takes(&mut bench, "a", 10));
    assert!(!takes(&mut bench, "b", 10));
}

#[test]
fn cut_off_dispatcher_spends_unleased_quota() {
    let mut bench = cluster();
    lend(&mut bench, 0.9, 100.0);
    bench.advance(20.0);
    let until = Micros(bench.now.0 + 80_000_000);
    bench.step(Input::QuorumState {
        state: QuorumState::CutOff,
        present: vec![],
        until,
    });
    // Of the 910 saved the careful part's 10 are left.
    assert!(takes(&mut bench, "a", 10));
    assert!(!takes(&mut bench, "b", 10));
}

#[test]
fn quota_lease_without_cluster_is_ignored() {
    let settings = Settings::parse("test", &format!("{SETTINGS}{BUDGET}")).expect("settings");
    let mut bench = Harness::with(settings, 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    lend(&mut bench, 0.0, 0.0);
    assert!(
        takes(&mut bench, "a", 890),
        "the whole, as the settings name one dispatcher"
    );
}
