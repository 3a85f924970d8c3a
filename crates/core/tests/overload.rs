//! The gate in the machine: refusals at admission, work that would be done again, probes that one asks for all, and time.
mod common;

use std::time::Duration;

use bitternlatch_core::{Input, Micros, Output, SessionId, Settings};
use bitternlatch_membership::QuorumState;
use bitternlatch_overload::{Ask, Cut, Millionths, Told as Word};
use bitternlatch_protocol::engine::FromEngine;
use common::{four_servers, Harness, SentCompletion, SETTINGS};

fn bench(overload: &str) -> Harness {
    let mut text = format!("{SETTINGS}[cluster]\nname = \"hall\"\nsecret = \"secret\"\n{overload}");
    for i in 1..=4 {
        text += &format!(
            "[[cluster.roster]]\nname = \"d{i}\"\naddress = \"127.0.0.1:{}\"\n",
            7000 + i
        );
    }
    let settings = Settings::parse("test", &text).expect("settings");
    let mut bench = Harness::with(settings, 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    let until = Micros(bench.now.0 + 60_000_000);
    bench.step(Input::QuorumState {
        state: QuorumState::Whole,
        present: vec![],
        until,
    });
    bench
}

fn on() -> Harness {
    bench("overload = {}\n")
}

fn told(bench: &mut Harness, rank: f64, fresh: f64, for_s: f64) {
    let now = Duration::from_micros(bench.now.0);
    let until = now + Duration::from_secs_f64(for_s);
    let m = Millionths::of;
    let cut = Cut {
        until,
        rank: m(rank),
        capacity: m(4.0),
        free: m(0.4),
        room: m(100.0),
        fresh: m(fresh),
        part: m(0.225),
        part_until: until,
        members: 4,
        together: true,
    };
    bench.step(Input::Overload(Word::Cut(cut)));
}

/// The session's final refusal, if it has one: when to come back, seconds.
fn refusal(bench: &mut Harness, session: SessionId) -> Option<f64> {
    let error = bench
        .take_events(session)
        .into_iter()
        .find_map(|e| e.response?.error)?;
    assert_eq!(
        (error.code.as_str(), error.safe_to_repeat),
        ("rate_limit_exceeded", true)
    );
    Some(error.retry_after_ms.expect("when to come back") as f64 / 1000.0)
}

fn asked(bench: &mut Harness, number: u64) -> Option<f64> {
    let session = bench.open_session(number);
    bench.send_request(session, "query", &format!("k{number}"), "words");
    refusal(bench, session)
}

#[test]
fn requests_below_threshold_are_shed_unsent() {
    let mut bench = on();
    told(&mut bench, 48.0, 100.0, 1.0);
    let waits: Vec<f64> = (0..20)
        .map(|n| asked(&mut bench, n).expect("refused"))
        .collect();
    assert!(waits.iter().all(|w| (0.1..=5.0).contains(w)), "{waits:?}");
    let times: std::collections::BTreeSet<u64> =
        waits.iter().map(|w| (w * 1000.0) as u64).collect();
    assert!(times.len() > 15, "not in step: {waits:?}");
    assert!(bench.completions.is_empty());
    told(&mut bench, 0.0, 100.0, 1.0);
    assert_eq!(asked(&mut bench, 99), None);
    assert!(bench.next_completion().is_prefill());
}

#[test]
fn expired_threshold_admits_fraction_of_last_load() {
    let mut bench = on();
    told(&mut bench, 0.0, 100.0, 0.5);
    assert!((0..5).all(|n| asked(&mut bench, n).is_none()));
    // Without a wake in between, as after a pause.
    bench.now = Micros(bench.now.0 + 60_000_000);
    let until = Micros(bench.now.0 + 60_000_000);
    bench.step(Input::QuorumState {
        state: QuorumState::Whole,
        present: vec![],
        until,
    });
    let refused = (10..90).filter(|n| asked(&mut bench, *n).is_some()).count();
    // A quarter of 4 a second, of which 0.3 s go at once: queries of 64 ms for a fifth of their ceiling.
    assert!((72..=79).contains(&refused), "{refused}");
}

/// The first read of a request fails where it may have run; gives the attempt that follows, if there is one.
fn second(bench: &mut Harness, number: u64) -> Option<SentCompletion> {
    let session = bench.open_session(number);
    bench.send_request(session, "query", &format!("k{number}"), "words");
    let read = bench.next_completion();
    bench.send_error(&read, 500, None);
    bench.advance(0.1);
    bench.completions.pop()
}

#[test]
fn repeated_work_needs_retry_budget() {
    let mut bench = on();
    told(&mut bench, 0.1, 0.0, 1.0);
    assert!(
        second(&mut bench, 1).is_none(),
        "no fresh work of which it would be a tenth"
    );
    told(&mut bench, 0.1, 100.0, 1.0);
    assert!(second(&mut bench, 2).is_some(), "a quarter of 10");
    let mut bench = on();
    let session = bench.open_session(3);
    told(&mut bench, 0.1, 0.0, 1.0);
    assert!(!bench
        .start_decode(session, "query", "k3", "words")
        .is_prefill());
}

#[test]
fn health_check_answer_is_shared_with_peers() {
    let mut bench = on();
    let host = bitternlatch_inventory::server_id("r1");
    bench.probes.clear();
    bench.step(Input::Overload(Word::Probe { host }));
    let (link, id) = bench.probes.pop().expect("a probe");
    let load = std::iter::once(("kv_cache_usage_perc".to_string(), 0.25)).collect();
    bench.server_sends(link, &FromEngine::Load { id, load });
    let passed = |o: &Output| matches!(o, Output::Overload(Ask::Probed { host: h, report }) if *h == host && report.len() == 1);
    assert_eq!(bench.outputs.iter().filter(|o| passed(o)).count(), 1);
}

#[test]
fn load_shedding_is_off_without_its_table() {
    let mut bench = bench("");
    told(&mut bench, 48.0, 0.0, 60.0);
    bench.probes.clear();
    bench.step(Input::Overload(Word::Probe {
        host: bitternlatch_inventory::server_id("r1"),
    }));
    assert!(bench.probes.is_empty());
    assert!((0..50).all(|n| asked(&mut bench, n).is_none()));
    bench.advance(1.0);
    assert!(!bench
        .outputs
        .iter()
        .any(|o| matches!(o, Output::Overload(_))));
    let bad = format!("{SETTINGS}[cluster]\nname = \"h\"\nsecret = \"s\"\noverload = {{ wait_share = 9.0 }}\nroster = [{{ name = \"d1\", address = \"127.0.0.1:7001\" }}]\n");
    assert!(Settings::parse("test", &bad)
        .expect_err("a bad share")
        .to_string()
        .contains("wait_share"));
}

fn at(bench: &Harness, name: &str) -> Vec<SentCompletion> {
    bench
        .completions
        .iter()
        .filter(|t| Harness::server_name(t.link) == name)
        .cloned()
        .collect()
}

/// Reads at r1 and r2 of some requests after r1 was given leave for so many until a time from now.
fn on_trial(many: u32, for_s: u64) -> Harness {
    let mut bench = on();
    told(&mut bench, 0.0, 100.0, 60.0);
    let host = bitternlatch_inventory::server_id("r1");
    let until = Duration::from_micros(bench.now.0) + Duration::from_secs(for_s);
    bench.step(Input::Overload(Word::Trial { host, many, until }));
    for n in 0..8 {
        asked(&mut bench, n);
        bench.advance(0.05);
    }
    bench
}

#[test]
fn recovery_trial_bounds_attempts_until_expiry() {
    let bench = on_trial(1, 5);
    assert!(at(&bench, "r1").len() <= 1 && at(&bench, "r2").len() >= 4);
    assert!(at(&on_trial(0, 5), "r1").is_empty());
    let mut bench = on_trial(0, 0);
    let failing = at(&bench, "r1");
    assert!(failing.len() >= 3, "its time is over");
    failing
        .iter()
        .take(3)
        .for_each(|t| bench.send_error(t, 500, None));
    let r1 = bitternlatch_inventory::server_id("r1");
    let told = |o: &&Output| matches!(o, Output::Overload(Ask::Tried { host, well: false }) if *host == r1);
    assert_eq!(
        bench.outputs.iter().filter(told).count(),
        2,
        "from the second on"
    );
}

#[test]
fn shed_step_sends_no_workflow_command() {
    let mut bench = bench("overload = {}\nworkflows = {}\n");
    let step = |bench: &mut Harness, number: u64, step: u32| {
        let session = bench.open_session(number);
        let meta = serde_json::json!({ "class": "query", "idempotency_key": format!("k{number}"), "workflow": "season",
            "workflow_epoch": "1", "workflow_step": step.to_string() });
        let create = serde_json::json!({ "type": "response.create", "model": "m", "input": "words", "metadata": meta });
        bench.step(Input::SessionText {
            session,
            text: create.to_string(),
        });
        let asks = std::mem::take(&mut bench.outputs)
            .into_iter()
            .filter(|o| matches!(o, Output::Workflow(_)));
        (asks.count(), bench.take_events(session))
    };
    told(&mut bench, 48.0, 100.0, 1.0);
    let (asks, heard) = step(&mut bench, 1, 1);
    assert_eq!(asks, 0, "refused before its intent is asked for");
    let error = heard
        .last()
        .and_then(|e| e.error.clone())
        .expect("a refusal");
    assert_eq!(error["code"], "rate_limit_exceeded");
    assert!(
        error["retry_after_ms"]
            .as_u64()
            .is_some_and(|ms| (100..=5000).contains(&ms)),
        "{error}"
    );
    told(&mut bench, 0.0, 100.0, 1.0);
    let (asks, heard) = step(&mut bench, 2, 2);
    assert_eq!((asks, heard.len()), (1, 0), "it waits for its intent");
}
