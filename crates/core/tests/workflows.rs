//! Steps of workflows in the machine: the workflow coordinator is played by hand.
mod common;

use bitternlatch_core::record::{replay, Entry, Recorded};
use bitternlatch_core::{Input, Micros, Output, SessionId, Settings};
use bitternlatch_membership::QuorumState;
use bitternlatch_protocol::client::ServerEvent;
use bitternlatch_workflow::{AttemptOutcome, Call, Command, Effect, Event, RejectReason};
use common::{four_servers, Harness, SentCompletion as Sent, SETTINGS};
use serde_json::json;

fn text(on: bool) -> String {
    let mut text = format!("{SETTINGS}[cluster]\nname = \"hall\"\nsecret = \"secret\"\n");
    for i in 1..=3 {
        text += &format!(
            "[[cluster.roster]]\nname = \"d{i}\"\naddress = \"127.0.0.1:{}\"\n",
            7000 + i
        );
    }
    text + if on { "[cluster.workflows]\n" } else { "" }
}

fn bench(on: bool) -> Harness {
    let mut bench = Harness::with(Settings::parse("test", &text(on)).expect("settings"), 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    let until = Micros(bench.now.0 + 3_600_000_000);
    bench.step(Input::QuorumState {
        state: QuorumState::Whole,
        present: vec!["d2".into()],
        until,
    });
    bench
}

fn say(bench: &mut Harness, session: SessionId, class: &str, does: &[(&str, &str)]) {
    let mut meta = json!({ "class": class, "idempotency_key": "k1", "workflow": "season" });
    does.iter()
        .for_each(|(key, value)| meta[*key] = json!(value));
    let text =
        json!({ "type": "response.create", "model": "m", "input": "book", "metadata": meta });
    bench.step(Input::SessionText {
        session,
        text: text.to_string(),
    });
}

fn step(bench: &mut Harness, session: SessionId, class: &str, epoch: &str) {
    say(
        bench,
        session,
        class,
        &[("workflow_epoch", epoch), ("workflow_step", "1")],
    );
}

/// What the workflow coordinator was asked since the last call.
fn asked(bench: &mut Harness) -> Vec<Command> {
    let all = std::mem::take(&mut bench.outputs);
    all.into_iter()
        .filter_map(|o| {
            if let Output::Workflow(ask) = o {
                Some(ask)
            } else {
                None
            }
        })
        .collect()
}

fn one(bench: &mut Harness) -> Command {
    let mut all = asked(bench);
    assert_eq!(all.len(), 1, "{all:?}");
    all.remove(0)
}

fn tell(bench: &mut Harness, told: Event) {
    bench.step(Input::Workflow(told));
}

/// The question is answered with a permission of so many seconds.
fn go(bench: &mut Harness, call: Call, seconds: f64) {
    let until_us = bench.now.after(seconds).0;
    tell(bench, Event::SendPermitted { call, until_us });
}

/// Begins a step and gives its write at a server; its intent is held.
fn written(bench: &mut Harness, session: SessionId, class: &str) -> Sent {
    step(bench, session, class, "4");
    let call = one(bench).call();
    go(bench, call, 60.0);
    let read = bench.next_completion();
    bench.finish_prefill(&read);
    bench.next_completion()
}

fn last(bench: &mut Harness, session: SessionId) -> ServerEvent {
    bench.take_events(session).pop().expect("an event")
}

fn code(event: &ServerEvent) -> String {
    let error = event
        .error
        .as_ref()
        .and_then(|e| e["code"].as_str())
        .map(str::to_string);
    let failed = event
        .response
        .as_ref()
        .and_then(|r| r.error.as_ref())
        .map(|e| e.code.clone());
    error.or(failed).unwrap_or_default()
}

fn answer_of(event: &ServerEvent) -> String {
    event
        .response
        .as_ref()
        .map(|r| r.output[0].content[0].text.clone())
        .unwrap_or_default()
}

#[test]
fn step_is_sent_after_intent_and_answered_after_result() {
    let mut bench = bench(true);
    let s = bench.open_session(1);
    step(&mut bench, s, "booking", "4");
    bench.advance(1.0);
    assert!(bench.completions.is_empty() && bench.take_events(s).is_empty());
    let intent = one(&mut bench);
    let Command::Intend {
        call,
        workflow,
        epoch: 4,
        step: 1,
        effect: Effect::Unsafe,
        key,
        until_us,
        ..
    } = intent
    else {
        panic!("{intent:?}")
    };
    assert_eq!((workflow.as_str(), key.as_str()), ("//season", "k1"));
    assert!(
        until_us > bench.now.0 && until_us <= bench.now.after(12.0).0,
        "the request's own time"
    );
    go(&mut bench, call, 60.0);
    let read = bench.next_completion();
    bench.finish_prefill(&read);
    let write = bench.next_completion();
    bench.send_chunk(&write, "yes", None);
    bench.finish_decode(&write, 9, 2);
    assert_eq!(
        bench.take_event_types(s),
        [
            "response.created",
            "response.output_text.delta",
            "response.output_text.delta"
        ]
    );
    let Command::ReportOutcome {
        call,
        epoch: 4,
        step: 1,
        outcome: fate,
        ..
    } = one(&mut bench)
    else {
        panic!("its end")
    };
    assert_eq!(
        fate,
        AttemptOutcome::Done {
            result: "yesyes".into(),
            tokens: 2
        }
    );
    tell(
        &mut bench,
        Event::Rejected {
            call,
            reason: RejectReason::Busy,
        },
    );
    bench.advance(0.2);
    assert!(
        bench.take_events(s).is_empty(),
        "it is told again, and still waited for"
    );
    let call = one(&mut bench).call();
    tell(&mut bench, Event::Committed { call });
    let end = last(&mut bench, s);
    assert_eq!(
        (end.kind.as_str(), answer_of(&end).as_str()),
        ("response.completed", "yesyes")
    );
    assert_eq!(bench.machine.counts().requests, 0);
}

#[test]
fn completed_step_is_answered_without_server() {
    let mut bench = bench(true);
    let s = bench.open_session(1);
    step(&mut bench, s, "booking", "4");
    let call = one(&mut bench).call();
    tell(
        &mut bench,
        Event::AlreadyDone {
            call,
            result: "booked".into(),
        },
    );
    let end = last(&mut bench, s);
    assert_eq!(answer_of(&end), "booked");
    let previous = end.response.expect("a response").id;
    let text = json!({ "type": "response.create", "model": "m", "input": "next", "previous_response_id": previous });
    bench.step(Input::SessionText {
        session: s,
        text: text.to_string(),
    });
    assert!(
        bench
            .next_completion()
            .body
            .prompt
            .contains("assistant: booked"),
        "the conversation goes on from it"
    );
    for (why, wanted, again) in [
        (RejectReason::Fenced, "workflow_fenced", false),
        (RejectReason::NoMajority, "workflow_no_majority", true),
    ] {
        step(&mut bench, s, "booking", "4");
        let call = one(&mut bench).call();
        tell(&mut bench, Event::Rejected { call, reason: why });
        let end = last(&mut bench, s);
        assert_eq!((end.kind.as_str(), code(&end).as_str()), ("error", wanted));
        assert_eq!(
            end.error.expect("an error")["retry_after_ms"].is_u64(),
            again
        );
    }
    step(&mut bench, s, "booking", "4");
    bench.advance(13.0);
    assert_eq!(
        code(&last(&mut bench, s)),
        "workflow_no_majority",
        "it waits no longer than its request may"
    );
    say(
        &mut bench,
        s,
        "query",
        &[("workflow_do", "claim"), ("workflow_worker", "a")],
    );
    let claim = asked(&mut bench).pop().expect("a claim");
    assert!(
        matches!(&claim, Command::Claim { worker, .. } if worker == "a"),
        "{claim:?}"
    );
    let told = Event::Claimed {
        call: claim.call(),
        epoch: 5,
        context: "".into(),
        steps: vec![],
        lease_us: 1,
    };
    tell(&mut bench, told);
    assert!(answer_of(&last(&mut bench, s)).starts_with("{\"epoch\":5,"));
    assert!(
        bench.completions.iter().all(|t| t.body.prompt != "book"),
        "no host is asked for any of it"
    );
}

#[test]
fn expired_send_permission_is_not_used() {
    let mut bench = bench(true);
    let s = bench.open_session(1);
    step(&mut bench, s, "booking", "4");
    let call = one(&mut bench).call();
    go(&mut bench, call, 3.0);
    let read = bench.next_completion();
    // A minute between two instructions: what is due and what has come are taken at once.
    bench.now = bench.now.after(4.0);
    bench.finish_prefill(&read);
    bench.advance(0.1);
    assert!(bench.completions.is_empty(), "no write");
    let told = asked(&mut bench);
    let [Command::ReportOutcome {
        outcome: AttemptOutcome::NeverRan,
        ..
    }, Command::Intend {
        call,
        epoch: 4,
        step: 1,
        ..
    }] = told.as_slice()
    else {
        panic!("{told:?}")
    };
    tell(
        &mut bench,
        Event::Rejected {
            call: *call,
            reason: RejectReason::Fenced,
        },
    );
    assert!(bench.completions.is_empty(), "another has it");
    assert!(
        asked(&mut bench).is_empty(),
        "that nothing ran is told already"
    );
    let end = last(&mut bench, s)
        .response
        .and_then(|r| r.error)
        .expect("a refusal");
    assert!(end.safe_to_repeat);
    // Where nobody else has it the effect leaves once it is permitted again.
    step(&mut bench, s, "booking", "4");
    let call = one(&mut bench).call();
    go(&mut bench, call, 1.0);
    let read = bench.next_completion();
    bench.advance(1.2);
    bench.finish_prefill(&read);
    assert!(bench.completions.is_empty());
    let call = asked(&mut bench).pop().expect("a question").call();
    go(&mut bench, call, 1.0);
    assert!(!bench.next_completion().is_prefill());
}

#[test]
fn undurable_result_fails_request() {
    let mut bench = bench(true);
    for (s, told, wanted) in [
        (1, None, "server_error"),
        (2, Some(RejectReason::Fenced), "workflow_fenced"),
    ] {
        let s = bench.open_session(s);
        let write = written(&mut bench, s, "booking");
        bench.finish_decode(&write, 9, 2);
        let call = one(&mut bench).call();
        match told {
            Some(why) => tell(&mut bench, Event::Rejected { call, reason: why }),
            None => bench.advance(13.0),
        }
        let end = last(&mut bench, s);
        assert_eq!(
            (end.kind.as_str(), code(&end).as_str()),
            ("response.failed", wanted)
        );
        assert!(
            !end.response
                .and_then(|r| r.error)
                .expect("an error")
                .safe_to_repeat
        );
    }
    let s = bench.open_session(3);
    let write = written(&mut bench, s, "booking");
    bench.send_error(&write, 500, None);
    bench.advance(0.1);
    let Some(Command::ReportOutcome { outcome: fate, .. }) = asked(&mut bench).pop() else {
        panic!("its end")
    };
    assert_eq!(
        fate,
        AttemptOutcome::MayHaveRun,
        "a host that failed may have booked"
    );
}

#[test]
fn repeated_step_attaches_to_running_attempt() {
    let mut bench = bench(true);
    let (a, b) = (bench.open_session(1), bench.open_session(2));
    let write = written(&mut bench, a, "booking");
    bench.step(Input::SessionClosed { session: a });
    bench.send_chunk(&write, "yes", None);
    step(&mut bench, b, "booking", "4");
    assert!(asked(&mut bench).is_empty(), "it is the same step");
    bench.finish_decode(&write, 9, 2);
    let call = one(&mut bench).call();
    tell(&mut bench, Event::Committed { call });
    assert_eq!(answer_of(&last(&mut bench, b)), "yesyes");
    // A safe one ends with its worker, and is told.
    let write = written(&mut bench, b, "query");
    bench.step(Input::SessionClosed { session: b });
    assert_eq!(bench.cancels.len(), 1, "{write:?}");
    assert!(matches!(
        asked(&mut bench).as_slice(),
        [Command::ReportOutcome {
            outcome: AttemptOutcome::MayHaveRun,
            ..
        }]
    ));
    // One that leaves before its intent is held leaves nothing open.
    let c = bench.open_session(3);
    step(&mut bench, c, "booking", "4");
    let call = one(&mut bench).call();
    bench.step(Input::SessionClosed { session: c });
    go(&mut bench, call, 3.0);
    assert!(matches!(
        one(&mut bench),
        Command::ReportOutcome {
            outcome: AttemptOutcome::NeverRan,
            ..
        }
    ));
    assert!(bench.completions.is_empty() && bench.machine.counts().requests <= 1);
}

#[test]
fn workflow_fields_are_echoed_where_disabled() {
    let mut bench = bench(false);
    let s = bench.open_session(1);
    say(&mut bench, s, "booking", &[("workflow_do", "dance")]);
    assert!(bench.next_completion().is_prefill() && asked(&mut bench).is_empty());
    let begun = bench.take_events(s).remove(0).response.expect("a response");
    assert_eq!(begun.metadata["workflow_do"], "dance");
}

#[test]
fn record_with_workflow_steps_replays() {
    let (mut bench, mut entries) = (bench(true), vec![]);
    let settings = text(true);
    entries.push(Entry::Start {
        settings: settings.clone(),
        seed: 5,
    });
    let s = bench.open_session(1);
    let write = written(&mut bench, s, "booking");
    bench.finish_decode(&write, 9, 2);
    let call = one(&mut bench).call();
    tell(&mut bench, Event::Committed { call });
    let mut again = Harness::with(Settings::parse("test", &settings).expect("settings"), 5);
    for (at, input) in std::mem::take(&mut bench.inputs) {
        let mut outputs = vec![];
        again.machine.step(at, input.clone(), &mut outputs);
        entries.push(Entry::Step { at, input, outputs });
    }
    let line = serde_json::to_string(&entries).expect("JSON");
    let entries: Vec<Entry> = serde_json::from_str(&line).expect("as it was written");
    let asks = |e: &&Entry| matches!(e, Entry::Step { outputs, .. } if outputs.iter().any(|o| matches!(o, Output::Workflow(_))));
    assert_eq!(
        entries.iter().filter(asks).count(),
        2,
        "the intent and the end are in the record"
    );
    let mut recorded = Recorded {
        entries,
        torn_bytes: 0,
    };
    assert_eq!(replay(&recorded, false).expect("replays").difference, None);
    // The comparison can fail: the record without the word that the intent is held.
    let is_go = |e: &Entry| {
        matches!(
            e,
            Entry::Step {
                input: Input::Workflow(Event::SendPermitted { .. }),
                ..
            }
        )
    };
    recorded.entries.retain(|e| !is_go(e));
    assert!(replay(&recorded, false)
        .expect("replays")
        .difference
        .is_some());
}
