//! Tests of cluster load shedding: rejections at admission, the retry budget, health checks shared by the cluster,
//! limits for recovering servers, and expiry.
mod common;

use std::time::Duration;

use bitternlatch_core::{Input, Micros, Output, SessionId, Settings};
use bitternlatch_membership::QuorumState;
use bitternlatch_overload::{AdmissionThreshold, Command, Event, Millionths};
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

fn bench_with_shedding() -> Harness {
    bench("overload = {}\n")
}

fn set_threshold(bench: &mut Harness, rank: f64, fresh: f64, for_s: f64) {
    let now = Duration::from_micros(bench.now.0);
    let until = now + Duration::from_secs_f64(for_s);
    let millionths = Millionths::of;
    let threshold = AdmissionThreshold {
        valid_until: until,
        rank: millionths(rank),
        capacity: millionths(4.0),
        retry_capacity: millionths(0.4),
        max_backlog: millionths(100.0),
        new_work: millionths(fresh),
        budget_share: millionths(0.225),
        budget_share_until: until,
        members: 4,
        has_quorum: true,
    };
    bench.step(Input::Overload(Event::Threshold(threshold)));
}

/// The retry delay of the session's rejection, seconds; `None` if it has none.
fn rejection_delay(bench: &mut Harness, session: SessionId) -> Option<f64> {
    let error = bench
        .take_events(session)
        .into_iter()
        .find_map(|e| e.response?.error)?;
    assert_eq!(
        (error.code.as_str(), error.safe_to_repeat),
        ("rate_limit_exceeded", true)
    );
    Some(error.retry_after_ms.expect("a retry delay") as f64 / 1000.0)
}

fn request_delay(bench: &mut Harness, number: u64) -> Option<f64> {
    let session = bench.open_session(number);
    bench.send_request(session, "query", &format!("k{number}"), "words");
    rejection_delay(bench, session)
}

#[test]
fn requests_below_threshold_are_shed_unsent() {
    let mut bench = bench_with_shedding();
    set_threshold(&mut bench, 48.0, 100.0, 1.0);
    let delays: Vec<f64> = (0..20)
        .map(|n| request_delay(&mut bench, n).expect("rejected"))
        .collect();
    assert!(delays.iter().all(|d| (0.1..=5.0).contains(d)), "{delays:?}");
    let distinct_ms: std::collections::BTreeSet<u64> =
        delays.iter().map(|d| (d * 1000.0) as u64).collect();
    assert!(distinct_ms.len() > 15, "delays are spread: {delays:?}");
    assert!(bench.completions.is_empty());
    set_threshold(&mut bench, 0.0, 100.0, 1.0);
    assert_eq!(request_delay(&mut bench, 99), None);
    assert!(bench.next_completion().is_prefill());
}

#[test]
fn expired_threshold_admits_fraction_of_last_load() {
    let mut bench = bench_with_shedding();
    set_threshold(&mut bench, 0.0, 100.0, 0.5);
    assert!((0..5).all(|n| request_delay(&mut bench, n).is_none()));
    // A minute passes without any step, as after a pause of the process.
    bench.now = Micros(bench.now.0 + 60_000_000);
    let until = Micros(bench.now.0 + 60_000_000);
    bench.step(Input::QuorumState {
        state: QuorumState::Whole,
        present: vec![],
        until,
    });
    let rejected = (10..90)
        .filter(|n| request_delay(&mut bench, *n).is_some())
        .count();
    // Each of the 4 dispatchers admits a quarter of the last capacity of 4 seconds of work per second, with a burst of
    // 0.3 s. A request counts as 64 ms of work, as a fifth of its output limit is expected.
    assert!((72..=79).contains(&rejected), "{rejected}");
}

/// Sends a request whose prefill fails after it may have run. Returns the next attempt, if there is one.
fn attempt_after_failure(bench: &mut Harness, number: u64) -> Option<SentCompletion> {
    let session = bench.open_session(number);
    bench.send_request(session, "query", &format!("k{number}"), "words");
    let prefill = bench.next_completion();
    bench.send_error(&prefill, 500, None);
    bench.advance(0.1);
    bench.completions.pop()
}

#[test]
fn repeated_work_needs_retry_budget() {
    let mut bench = bench_with_shedding();
    set_threshold(&mut bench, 0.1, 0.0, 1.0);
    assert!(
        attempt_after_failure(&mut bench, 1).is_none(),
        "retries may take a tenth of the work of first attempts, which is none"
    );
    set_threshold(&mut bench, 0.1, 100.0, 1.0);
    assert!(
        attempt_after_failure(&mut bench, 2).is_some(),
        "a quarter of the cluster's retry budget, which is a tenth of 100"
    );
    let mut bench = bench_with_shedding();
    let session = bench.open_session(3);
    set_threshold(&mut bench, 0.1, 0.0, 1.0);
    assert!(!bench
        .start_decode(session, "query", "k3", "words")
        .is_prefill());
}

#[test]
fn health_check_answer_is_shared_with_peers() {
    let mut bench = bench_with_shedding();
    let host = bitternlatch_inventory::server_id("r1");
    bench.probes.clear();
    bench.step(Input::Overload(Event::SendHealthCheck { server: host }));
    let (link, id) = bench.probes.pop().expect("a health check");
    let load = std::iter::once(("kv_cache_usage_perc".to_string(), 0.25)).collect();
    bench.server_sends(link, &FromEngine::Load { id, load });
    let is_shared = |o: &Output| matches!(o, Output::Overload(Command::HealthCheckAnswered { server: h, report }) if *h == host && report.len() == 1);
    assert_eq!(bench.outputs.iter().filter(|o| is_shared(o)).count(), 1);
}

#[test]
fn load_shedding_is_off_without_its_table() {
    let mut bench = bench("");
    set_threshold(&mut bench, 48.0, 0.0, 60.0);
    bench.probes.clear();
    bench.step(Input::Overload(Event::SendHealthCheck {
        server: bitternlatch_inventory::server_id("r1"),
    }));
    assert!(bench.probes.is_empty());
    assert!((0..50).all(|n| request_delay(&mut bench, n).is_none()));
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

fn attempts_at(bench: &Harness, name: &str) -> Vec<SentCompletion> {
    bench
        .completions
        .iter()
        .filter(|t| Harness::server_name(t.link) == name)
        .cloned()
        .collect()
}

/// Sends some requests after the attempts in flight at r1 were limited to `max_in_flight` for `for_s` seconds.
fn bench_with_trial(max_in_flight: u32, for_s: u64) -> Harness {
    let mut bench = bench_with_shedding();
    set_threshold(&mut bench, 0.0, 100.0, 60.0);
    let host = bitternlatch_inventory::server_id("r1");
    let until = Duration::from_micros(bench.now.0) + Duration::from_secs(for_s);
    bench.step(Input::Overload(Event::RecoveryLimit {
        server: host,
        max_in_flight,
        until,
    }));
    for n in 0..8 {
        request_delay(&mut bench, n);
        bench.advance(0.05);
    }
    bench
}

#[test]
fn recovery_trial_bounds_attempts_until_expiry() {
    let bench = bench_with_trial(1, 5);
    assert!(attempts_at(&bench, "r1").len() <= 1 && attempts_at(&bench, "r2").len() >= 4);
    assert!(attempts_at(&bench_with_trial(0, 5), "r1").is_empty());
    let mut bench = bench_with_trial(0, 0);
    let attempts = attempts_at(&bench, "r1");
    assert!(attempts.len() >= 3, "the limit has expired");
    attempts
        .iter()
        .take(3)
        .for_each(|attempt| bench.send_error(attempt, 500, None));
    let r1 = bitternlatch_inventory::server_id("r1");
    let reports_failure = |o: &&Output| matches!(o, Output::Overload(Command::AttemptEnded { server, succeeded: false }) if *server == r1);
    assert_eq!(
        bench.outputs.iter().filter(reports_failure).count(),
        2,
        "from the second consecutive failure on"
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
        let commands = std::mem::take(&mut bench.outputs)
            .into_iter()
            .filter(|o| matches!(o, Output::Workflow(_)));
        (commands.count(), bench.take_events(session))
    };
    set_threshold(&mut bench, 48.0, 100.0, 1.0);
    let (commands, events) = step(&mut bench, 1, 1);
    assert_eq!(commands, 0, "rejected before its intent is recorded");
    let error = events
        .last()
        .and_then(|e| e.error.clone())
        .expect("a rejection");
    assert_eq!(error["code"], "rate_limit_exceeded");
    assert!(
        error["retry_after_ms"]
            .as_u64()
            .is_some_and(|ms| (100..=5000).contains(&ms)),
        "{error}"
    );
    set_threshold(&mut bench, 0.0, 100.0, 1.0);
    let (commands, events) = step(&mut bench, 2, 2);
    assert_eq!(
        (commands, events.len()),
        (1, 0),
        "the step waits for its intent"
    );
}
