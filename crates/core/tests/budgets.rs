//! Budgets and charges in the machine: what is held, what a request is charged, and what it is not.
mod common;

use bitternlatch_budget::charge::{Entries, Used};
use bitternlatch_budget::ledger::{Part, Want};
use bitternlatch_budget::Amount;
use bitternlatch_core::{Input, Output, SessionId, Settings};
use common::{four_servers, Harness, SentCompletion, SETTINGS};

/// 1,000 tokens saved, ten a second.
const BUDGET: &str =
    "\n[[tenants]]\nname = \"bands\"\nquota_rps = 1000\nbudget = { rate = { tokens_per_s = 10, burst_tokens = 1000 } }\n";

fn budgeted() -> Harness {
    let settings = Settings::parse("test", &format!("{SETTINGS}{BUDGET}")).expect("settings");
    let mut bench = Harness::with(settings, 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    bench
}

fn ask(bench: &mut Harness, session: SessionId, class: &str, key: &str, output: u32) {
    let text = serde_json::json!({ "type": "response.create", "model": "m", "input": "x".repeat(400),
        "max_output_tokens": output, "metadata": { "class": class, "idempotency_key": key } });
    bench.step(Input::SessionText {
        session,
        text: text.to_string(),
    });
}

/// Asks, reads, and gives the write that follows.
fn begin(
    bench: &mut Harness,
    session: SessionId,
    class: &str,
    key: &str,
    output: u32,
) -> SentCompletion {
    ask(bench, session, class, key, output);
    let read = bench.next_completion();
    bench.advance(0.01);
    bench.finish_prefill(&read);
    bench.next_completion()
}

fn charges(bench: &Harness) -> Vec<(u32, Used)> {
    let charge = |o: &Output| match o {
        Output::Charge(e) => Some((e.number, e.used)),
        _ => None,
    };
    bench.outputs.iter().filter_map(charge).collect()
}

fn known(prompt: u32, output: u32) -> Used {
    Used::Known(Amount { prompt, output })
}

fn refusal(bench: &mut Harness, session: SessionId) -> (String, Option<u64>) {
    let last = bench.take_events(session).pop().expect("an event");
    let error = last.error.expect("an error");
    (
        error["code"].as_str().unwrap_or_default().to_string(),
        error["retry_after_ms"].as_u64(),
    )
}

#[test]
fn request_is_charged_once_before_its_answer() {
    let mut bench = budgeted();
    let (one, two) = (bench.open_session(1), bench.open_session(2));
    let write = begin(&mut bench, one, "query", "k", 800);
    ask(&mut bench, two, "query", "k", 800);
    bench.finish_decode(&write, 107, 20);
    ask(&mut bench, two, "query", "k", 800);
    assert_eq!(
        charges(&bench),
        [(1, known(107, 20))],
        "its repeats are charged as the first try"
    );
    let at = |fits: &dyn Fn(&Output) -> bool| bench.outputs.iter().position(fits).expect("it");
    let charged = at(&|o| matches!(o, Output::Charge(_)));
    assert!(
        charged
            < at(
                &|o| matches!(o, Output::SendToClient { text, .. } if text.contains("response.completed"))
            )
    );
    // 1000 less 127, and some tens earned meanwhile: 800 more can be held at once.
    ask(&mut bench, one, "query", "k2", 760);
    assert!(bench
        .take_event_types(one)
        .contains(&"response.created".to_string()));
}

#[test]
fn budget_rejection_names_sufficient_retry_time() {
    let mut bench = budgeted();
    let session = bench.open_session(1);
    let write = begin(&mut bench, session, "query", "k", 890);
    let kinds = bench.take_event_types(session);
    assert!(
        kinds.contains(&"rate_limits.updated".to_string()),
        "near the limit the caller is told: {kinds:?}"
    );
    ask(&mut bench, session, "query", "k2", 100);
    let (code, after_ms) = refusal(&mut bench, session);
    let after_s = after_ms.expect("a time") as f64 / 1000.0;
    assert!(
        code == "budget_spent" && (18.0..=20.0).contains(&after_s),
        "{code} {after_s}"
    );
    ask(&mut bench, session, "query", "k3", 2000);
    assert_eq!(
        refusal(&mut bench, session),
        ("budget_too_small".into(), None)
    );
    assert!(charges(&bench).is_empty(), "refusals cost nothing");
    bench.finish_decode(&write, 100, 890);
    bench.take_events(session);
    bench.advance(after_s - 1.0);
    ask(&mut bench, session, "query", "k4", 100);
    assert_eq!(refusal(&mut bench, session).0, "budget_spent");
    bench.advance(1.1);
    ask(&mut bench, session, "query", "k5", 100);
    assert!(bench
        .take_event_types(session)
        .contains(&"response.created".to_string()));
}

#[test]
fn failed_request_that_may_have_run_is_charged_its_bound() {
    let mut bench = budgeted();
    let session = bench.open_session(1);
    let write = begin(&mut bench, session, "booking", "k", 200);
    bench.step(Input::LinkClosed {
        link: write.link,
        reason: "reset".into(),
    });
    bench.advance(20.0);
    let bound = Used::Possibly(Amount {
        prompt: 100,
        output: 200,
    });
    assert_eq!(charges(&bench), [(1, bound)]);
    // One that never left costs nothing: the reader never took it.
    let mut bench = budgeted();
    let session = bench.open_session(1);
    ask(&mut bench, session, "booking", "k", 200);
    let read = bench.next_completion();
    bench.send_error(&read, 503, Some("engine_full"));
    for _ in 0..8 {
        bench.advance(0.5);
        if let Some(told) = bench.completions.pop() {
            bench.send_error(&told, 503, Some("engine_full"));
        }
    }
    bench.advance(20.0);
    let last = bench.take_events(session).pop().expect("an answer");
    assert_eq!(last.kind, "response.failed");
    assert!(charges(&bench).is_empty(), "{:?}", charges(&bench));
    ask(&mut bench, session, "query", "k9", 890);
    assert!(
        bench
            .take_events(session)
            .iter()
            .any(|e| e.kind == "response.created"),
        "all was given back"
    );
}

#[test]
fn missing_or_excessive_usage_is_bounded() {
    let mut bench = budgeted();
    let session = bench.open_session(1);
    let write = begin(&mut bench, session, "query", "k", 200);
    bench.finish_decode(&write, 0, 0);
    let write = begin(&mut bench, session, "query", "k2", 200);
    bench.finish_decode(&write, 130, 5000);
    let bound = Used::Possibly(Amount {
        prompt: 100,
        output: 200,
    });
    assert_eq!(
        charges(&bench),
        [(1, bound), (1, known(130, 200))],
        "an output above the ceiling is the host's fault"
    );
    let mut entries = Entries::default();
    for output in &bench.outputs {
        if let Output::Charge(entry) = output {
            entries.offer(entry.clone());
        }
    }
    let bill = entries.bill(0, u64::MAX);
    let line = bill[&("bands".to_string(), "query".to_string())];
    assert_eq!(
        (line.prompt, line.output, line.possibly_tokens),
        (130, 200, 300)
    );
}

fn asked(bench: &mut Harness) -> Option<(u64, Want)> {
    let ask = |o: &Output| match o {
        Output::RequestBudgetLeases {
            number, tenants, ..
        } => Some((*number, tenants[0].clone())),
        _ => None,
    };
    let last = bench.outputs.iter().rev().find_map(ask);
    bench.outputs.clear();
    last
}

fn part(lease: u64, tokens_per_s: f64) -> Part {
    Part {
        tenant: "bands".into(),
        lease,
        tokens_per_s,
        lasts_s: 10.0,
    }
}

#[test]
fn budget_leases_are_requested_spent_and_returned() {
    let ledger = "\n[ledger]\naddress = \"127.0.0.1:1\"\n";
    let budget = BUDGET.replace("= 10,", "= 100,");
    let settings =
        Settings::parse("test", &format!("{SETTINGS}{ledger}{budget}")).expect("settings");
    let mut bench = Harness::with(settings, 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    let session = bench.open_session(1);
    bench.advance(2.0);
    assert_eq!(asked(&mut bench), None, "what is not used is not asked for");
    // Without a part: the careful rate, a tenth of 100 a second, and its burst of 100.
    ask(&mut bench, session, "query", "k1", 200);
    assert!(
        bench
            .take_event_types(session)
            .contains(&"response.created".to_string()),
        "on debt"
    );
    ask(&mut bench, session, "query", "k2", 200);
    let (code, after_ms) = refusal(&mut bench, session);
    assert!(
        code == "budget_spent" && after_ms.is_some_and(|ms| ms > 25_000),
        "{code} {after_ms:?}"
    );
    bench.advance(0.6);
    let (number, want) = asked(&mut bench).expect("a question");
    assert!(want.tokens_per_s >= 1.0 && want.holds == 0, "{want:?}");
    // An answer to a question that was never asked changes nothing; the right one does.
    bench.step(Input::BudgetLeases {
        number: number + 7,
        leases: vec![part(9, 100.0)],
    });
    bench.step(Input::BudgetLeases {
        number,
        leases: vec![
            part(1, 90.0),
            Part {
                tokens_per_s: f64::NAN,
                ..part(2, 1.0)
            },
        ],
    });
    ask(&mut bench, session, "query", "k3", 200);
    let (_, sooner_ms) = refusal(&mut bench, session);
    assert!(
        sooner_ms.is_some_and(|ms| ms < 15_000),
        "the part pays the debt off sooner: {sooner_ms:?}"
    );
    bench.advance(4.5);
    let (_, want) = asked(&mut bench).expect("asked again at half of its time");
    assert!(want.holds == 1 && want.tokens_per_s > 0.0, "{want:?}");
    // No answer comes: the part ends, and the careful rate is what is left.
    bench.advance(60.0);
    bench.outputs.clear();
    ask(&mut bench, session, "query", "k4", 800);
    bench.take_events(session);
    ask(&mut bench, session, "query", "k5", 200);
    let (_, later_ms) = refusal(&mut bench, session);
    assert!(
        later_ms.is_some_and(|ms| ms > 60_000),
        "at the careful rate again: {later_ms:?}"
    );
}

#[test]
fn idle_budget_lease_is_returned() {
    let ledger = "\n[ledger]\naddress = \"127.0.0.1:1\"\n";
    let settings =
        Settings::parse("test", &format!("{SETTINGS}{ledger}{BUDGET}")).expect("settings");
    let mut bench = Harness::with(settings, 5);
    let session = bench.open_session(1);
    ask(&mut bench, session, "query", "k1", 50);
    bench.advance(0.6);
    let (number, _) = asked(&mut bench).expect("a question");
    bench.step(Input::BudgetLeases {
        number,
        leases: vec![part(4, 10.0)],
    });
    bench.advance(5.0);
    let (_, back) = asked(&mut bench).expect("it goes back");
    assert_eq!((back.holds, back.tokens_per_s), (4, 0.0));
    bench.advance(30.0);
    assert_eq!(asked(&mut bench), None);
}
