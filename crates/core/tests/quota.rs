//! Tests of quota leases: a dispatcher spends its leased fraction of a shared budget until the lease expires, and the
//! unleased fraction otherwise.
mod common;

use bitternlatch_core::{Input, Micros, Settings};
use bitternlatch_membership::QuorumState;
use common::{four_servers, Harness, SETTINGS};

/// A tenant with a burst of 1,000 tokens and a rate of 100 tokens per second, shared by ten dispatchers.
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

fn grant_lease(bench: &mut Harness, leased: f64, for_s: f64) {
    let until = Micros(bench.now.0 + (for_s * 1e6) as u64);
    bench.step(Input::QuorumState {
        state: QuorumState::Whole,
        present: vec![],
        until,
    });
    bench.step(Input::QuotaLease { leased, until });
}

/// Sends a request with a prompt of 100 tokens and this output limit. Returns whether it is admitted.
fn is_admitted(bench: &mut Harness, key: &str, output: u32) -> bool {
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

/// Sends a request that must be admitted and completes it with 100 prompt tokens and `output` output tokens.
fn spend(bench: &mut Harness, key: &str, output: u32) {
    assert!(is_admitted(bench, key, output));
    let prefill = bench.next_completion();
    bench.finish_prefill(&prefill);
    let decode = bench.next_completion();
    bench.finish_decode(&decode, 100, output);
}

#[test]
fn dispatcher_without_quorum_state_spends_unleased_quota() {
    let mut bench = cluster();
    // The unleased fraction is a tenth of a tenth: a burst of 10 tokens and 1 token per second. A larger request is
    // admitted when the burst is full, and the rest is a debt.
    spend(&mut bench, "a", 100);
    bench.advance(150.0);
    assert!(!is_admitted(&mut bench, "b", 10), "190 tokens are owed");
    bench.advance(55.0);
    assert!(is_admitted(&mut bench, "c", 10));
}

#[test]
fn quota_lease_is_spent_until_expiry() {
    let mut bench = cluster();
    spend(&mut bench, "a", 101);
    // 191 tokens are owed. The lease on half of the budget adds up to 51 tokens per second for 2 s, 102 in all; after
    // it the unleased fraction gives 1 token per second.
    grant_lease(&mut bench, 0.5, 2.0);
    // The process is paused for a minute. The lease expired in that time and counts for its 2 s only.
    bench.now = Micros(bench.now.0 + 60_000_000);
    assert!(
        !is_admitted(&mut bench, "b", 10),
        "191 - 102 - 58 tokens are still owed"
    );
    bench.advance(30.0);
    assert!(!is_admitted(&mut bench, "c", 10));
    bench.advance(15.0);
    assert!(is_admitted(&mut bench, "d", 10));
}

#[test]
fn smaller_quota_lease_applies_at_once() {
    let mut bench = cluster();
    grant_lease(&mut bench, 0.9, 100.0);
    bench.advance(20.0);
    grant_lease(&mut bench, 0.1, 100.0);
    // Of the 910 tokens saved 110 are left: the burst of the leased tenth and of the unleased fraction.
    assert!(is_admitted(&mut bench, "a", 10));
    assert!(!is_admitted(&mut bench, "b", 10));
}

#[test]
fn cut_off_dispatcher_spends_unleased_quota() {
    let mut bench = cluster();
    grant_lease(&mut bench, 0.9, 100.0);
    bench.advance(20.0);
    let until = Micros(bench.now.0 + 80_000_000);
    bench.step(Input::QuorumState {
        state: QuorumState::CutOff,
        present: vec![],
        until,
    });
    // Of the 910 tokens saved 10 are left: the burst of the unleased fraction.
    assert!(is_admitted(&mut bench, "a", 10));
    assert!(!is_admitted(&mut bench, "b", 10));
}

#[test]
fn quota_lease_without_cluster_is_ignored() {
    let settings = Settings::parse("test", &format!("{SETTINGS}{BUDGET}")).expect("settings");
    let mut bench = Harness::with(settings, 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    grant_lease(&mut bench, 0.0, 0.0);
    assert!(
        is_admitted(&mut bench, "a", 890),
        "the whole budget, as the settings name one dispatcher"
    );
}
