//! Tests of token budgets: holds, charges, rejections and budget leases.
mod common;

use bitternlatch_budget::charge::{Entries, Usage};
use bitternlatch_budget::ledger::{LeaseGrant, LeaseRequest};
use bitternlatch_budget::Amount;
use bitternlatch_core::{Input, Output, SessionId, Settings};
use common::{four_servers, Harness, SentCompletion, SETTINGS};

/// A tenant with a burst of 1,000 tokens and a rate of 10 tokens per second.
const BUDGET: &str =
    "\n[[tenants]]\nname = \"bands\"\nquota_rps = 1000\nbudget = { rate = { tokens_per_s = 10, burst_tokens = 1000 } }\n";

fn bench_with_budget() -> Harness {
    let settings = Settings::parse("test", &format!("{SETTINGS}{BUDGET}")).expect("settings");
    let mut bench = Harness::with(settings, 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    bench
}

fn create_request(bench: &mut Harness, session: SessionId, class: &str, key: &str, output: u32) {
    let text = serde_json::json!({ "type": "response.create", "model": "m", "input": "x".repeat(400),
        "max_output_tokens": output, "metadata": { "class": class, "idempotency_key": key } });
    bench.step(Input::SessionText {
        session,
        text: text.to_string(),
    });
}

/// Sends a request, completes its prefill and returns the decode attempt that follows.
fn start_decode(
    bench: &mut Harness,
    session: SessionId,
    class: &str,
    key: &str,
    output: u32,
) -> SentCompletion {
    create_request(bench, session, class, key, output);
    let prefill = bench.next_completion();
    bench.advance(0.01);
    bench.finish_prefill(&prefill);
    bench.next_completion()
}

fn issued_charges(bench: &Harness) -> Vec<(u32, Usage)> {
    let charge = |output: &Output| match output {
        Output::Charge(entry) => Some((entry.number, entry.used)),
        _ => None,
    };
    bench.outputs.iter().filter_map(charge).collect()
}

fn known_usage(prompt: u32, output: u32) -> Usage {
    Usage::Known(Amount { prompt, output })
}

fn rejection(bench: &mut Harness, session: SessionId) -> (String, Option<u64>) {
    let event = bench.take_events(session).pop().expect("an event");
    let error = event.error.expect("an error");
    (
        error["code"].as_str().unwrap_or_default().to_string(),
        error["retry_after_ms"].as_u64(),
    )
}

#[test]
fn request_is_charged_once_before_its_answer() {
    let mut bench = bench_with_budget();
    let (one, two) = (bench.open_session(1), bench.open_session(2));
    let decode = start_decode(&mut bench, one, "query", "k", 800);
    create_request(&mut bench, two, "query", "k", 800);
    bench.finish_decode(&decode, 107, 20);
    create_request(&mut bench, two, "query", "k", 800);
    assert_eq!(
        issued_charges(&bench),
        [(1, known_usage(107, 20))],
        "repeats with the same key are charged once"
    );
    let position =
        |fits: &dyn Fn(&Output) -> bool| bench.outputs.iter().position(fits).expect("a match");
    let charged = position(&|o| matches!(o, Output::Charge(_)));
    assert!(
        charged
            < position(
                &|o| matches!(o, Output::SendToClient { text, .. } if text.contains("response.completed"))
            )
    );
    // 1,000 - 127 tokens are left, plus those refilled since. The next request holds 860: 100 for its prompt and 760
    // for its output.
    create_request(&mut bench, one, "query", "k2", 760);
    assert!(bench
        .take_event_types(one)
        .contains(&"response.created".to_string()));
}

#[test]
fn budget_rejection_names_sufficient_retry_time() {
    let mut bench = bench_with_budget();
    let session = bench.open_session(1);
    let decode = start_decode(&mut bench, session, "query", "k", 890);
    let kinds = bench.take_event_types(session);
    assert!(
        kinds.contains(&"rate_limits.updated".to_string()),
        "near the limit the client is notified: {kinds:?}"
    );
    create_request(&mut bench, session, "query", "k2", 100);
    let (code, after_ms) = rejection(&mut bench, session);
    let after_s = after_ms.expect("a time") as f64 / 1000.0;
    assert!(
        code == "budget_spent" && (18.0..=20.0).contains(&after_s),
        "{code} {after_s}"
    );
    create_request(&mut bench, session, "query", "k3", 2000);
    assert_eq!(
        rejection(&mut bench, session),
        ("budget_too_small".into(), None)
    );
    assert!(
        issued_charges(&bench).is_empty(),
        "rejections are not charged"
    );
    bench.finish_decode(&decode, 100, 890);
    bench.take_events(session);
    bench.advance(after_s - 1.0);
    create_request(&mut bench, session, "query", "k4", 100);
    assert_eq!(rejection(&mut bench, session).0, "budget_spent");
    bench.advance(1.1);
    create_request(&mut bench, session, "query", "k5", 100);
    assert!(bench
        .take_event_types(session)
        .contains(&"response.created".to_string()));
}

#[test]
fn failed_request_that_may_have_run_is_charged_its_bound() {
    let mut bench = bench_with_budget();
    let session = bench.open_session(1);
    let decode = start_decode(&mut bench, session, "booking", "k", 200);
    bench.step(Input::LinkClosed {
        link: decode.link,
        reason: "reset".into(),
    });
    bench.advance(20.0);
    let bound = Usage::AtMost(Amount {
        prompt: 100,
        output: 200,
    });
    assert_eq!(issued_charges(&bench), [(1, bound)]);
    // A request whose attempts were all rejected never ran and is not charged.
    let mut bench = bench_with_budget();
    let session = bench.open_session(1);
    create_request(&mut bench, session, "booking", "k", 200);
    let prefill = bench.next_completion();
    bench.send_error(&prefill, 503, Some("engine_full"));
    for _ in 0..8 {
        bench.advance(0.5);
        if let Some(attempt) = bench.completions.pop() {
            bench.send_error(&attempt, 503, Some("engine_full"));
        }
    }
    bench.advance(20.0);
    let last = bench.take_events(session).pop().expect("an answer");
    assert_eq!(last.kind, "response.failed");
    assert!(
        issued_charges(&bench).is_empty(),
        "{:?}",
        issued_charges(&bench)
    );
    create_request(&mut bench, session, "query", "k9", 890);
    assert!(
        bench
            .take_events(session)
            .iter()
            .any(|e| e.kind == "response.created"),
        "the whole hold was returned"
    );
}

#[test]
fn missing_or_excessive_usage_is_bounded() {
    let mut bench = bench_with_budget();
    let session = bench.open_session(1);
    let decode = start_decode(&mut bench, session, "query", "k", 200);
    bench.finish_decode(&decode, 0, 0);
    let decode = start_decode(&mut bench, session, "query", "k2", 200);
    bench.finish_decode(&decode, 130, 5000);
    let bound = Usage::AtMost(Amount {
        prompt: 100,
        output: 200,
    });
    assert_eq!(
        issued_charges(&bench),
        [(1, bound), (1, known_usage(130, 200))],
        "output above the limit is not charged"
    );
    let mut entries = Entries::default();
    for output in &bench.outputs {
        if let Output::Charge(entry) = output {
            entries.insert(entry.clone());
        }
    }
    let bill = entries.bill(0, u64::MAX);
    let line = bill[&("bands".to_string(), "query".to_string())];
    assert_eq!(
        (line.prompt, line.output, line.possibly_tokens),
        (130, 200, 300)
    );
}

fn take_lease_request(bench: &mut Harness) -> Option<(u64, LeaseRequest)> {
    let lease_request = |output: &Output| match output {
        Output::RequestBudgetLeases {
            number, tenants, ..
        } => Some((*number, tenants[0].clone())),
        _ => None,
    };
    let last = bench.outputs.iter().rev().find_map(lease_request);
    bench.outputs.clear();
    last
}

fn granted_lease(lease: u64, tokens_per_s: f64) -> LeaseGrant {
    LeaseGrant {
        tenant: "bands".into(),
        lease_number: lease,
        tokens_per_s,
        duration_s: 10.0,
    }
}

#[test]
fn budget_leases_are_requested_spent_and_returned() {
    let quota_server = "\n[ledger]\naddress = \"127.0.0.1:1\"\n";
    let budget = BUDGET.replace("= 10,", "= 100,");
    let settings =
        Settings::parse("test", &format!("{SETTINGS}{quota_server}{budget}")).expect("settings");
    let mut bench = Harness::with(settings, 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    let session = bench.open_session(1);
    bench.advance(2.0);
    assert_eq!(
        take_lease_request(&mut bench),
        None,
        "no lease is requested for an inactive tenant"
    );
    // Without a lease the tenant's rate is a tenth of 100 tokens per second, with a burst of 100 tokens. A larger
    // request is admitted when the burst is full and leaves a debt.
    create_request(&mut bench, session, "query", "k1", 200);
    assert!(
        bench
            .take_event_types(session)
            .contains(&"response.created".to_string()),
        "admitted on debt"
    );
    create_request(&mut bench, session, "query", "k2", 200);
    let (code, after_ms) = rejection(&mut bench, session);
    assert!(
        code == "budget_spent" && after_ms.is_some_and(|ms| ms > 25_000),
        "{code} {after_ms:?}"
    );
    bench.advance(0.6);
    let (number, want) = take_lease_request(&mut bench).expect("a lease request");
    assert!(want.tokens_per_s >= 1.0 && want.held_lease == 0, "{want:?}");
    // A response with the number of no pending request is ignored; the next one answers the request.
    bench.step(Input::BudgetLeases {
        number: number + 7,
        leases: vec![granted_lease(9, 100.0)],
    });
    bench.step(Input::BudgetLeases {
        number,
        leases: vec![
            granted_lease(1, 90.0),
            LeaseGrant {
                tokens_per_s: f64::NAN,
                ..granted_lease(2, 1.0)
            },
        ],
    });
    create_request(&mut bench, session, "query", "k3", 200);
    let (_, sooner_ms) = rejection(&mut bench, session);
    assert!(
        sooner_ms.is_some_and(|ms| ms < 15_000),
        "the lease pays the debt off sooner: {sooner_ms:?}"
    );
    bench.advance(4.5);
    let (_, want) =
        take_lease_request(&mut bench).expect("requested again after half of its duration");
    assert!(want.held_lease == 1 && want.tokens_per_s > 0.0, "{want:?}");
    // No response is received: the lease expires and the rate without a lease applies again.
    bench.advance(60.0);
    bench.outputs.clear();
    create_request(&mut bench, session, "query", "k4", 800);
    bench.take_events(session);
    create_request(&mut bench, session, "query", "k5", 200);
    let (_, later_ms) = rejection(&mut bench, session);
    assert!(
        later_ms.is_some_and(|ms| ms > 60_000),
        "at the rate without a lease again: {later_ms:?}"
    );
}

#[test]
fn idle_budget_lease_is_returned() {
    let quota_server = "\n[ledger]\naddress = \"127.0.0.1:1\"\n";
    let settings =
        Settings::parse("test", &format!("{SETTINGS}{quota_server}{BUDGET}")).expect("settings");
    let mut bench = Harness::with(settings, 5);
    let session = bench.open_session(1);
    create_request(&mut bench, session, "query", "k1", 50);
    bench.advance(0.6);
    let (number, _) = take_lease_request(&mut bench).expect("a lease request");
    bench.step(Input::BudgetLeases {
        number,
        leases: vec![granted_lease(4, 10.0)],
    });
    bench.advance(5.0);
    let (_, returned) = take_lease_request(&mut bench).expect("the return of the lease");
    assert_eq!((returned.held_lease, returned.tokens_per_s), (4, 0.0));
    bench.advance(30.0);
    assert_eq!(take_lease_request(&mut bench), None);
}
