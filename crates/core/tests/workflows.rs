//! Workflow requests in the machine; the tests write the events of the workflow coordinator by hand.
mod common;

use bitternlatch_core::record::{replay, Entry, Recorded};
use bitternlatch_core::{Input, Micros, Output, SessionId, Settings};
use bitternlatch_membership::QuorumState;
use bitternlatch_protocol::client::ServerEvent;
use bitternlatch_workflow::{AttemptOutcome, Call, Command, Effect, Event, RejectReason};
use common::{four_servers, Harness, SentCompletion, SETTINGS};
use serde_json::json;

/// Settings of a cluster of three dispatchers, with or without workflows.
fn settings_text(enabled: bool) -> String {
    let mut text = format!("{SETTINGS}[cluster]\nname = \"hall\"\nsecret = \"secret\"\n");
    for i in 1..=3 {
        text += &format!(
            "[[cluster.roster]]\nname = \"d{i}\"\naddress = \"127.0.0.1:{}\"\n",
            7000 + i
        );
    }
    text + if enabled { "[cluster.workflows]\n" } else { "" }
}

/// A dispatcher with four connected servers in a cluster that has its quorum.
fn new_harness(enabled: bool) -> Harness {
    let mut harness = Harness::with(
        Settings::parse("test", &settings_text(enabled)).expect("settings"),
        5,
    );
    harness.step(Input::ServerList(four_servers()));
    harness.connect_all(1000.0);
    let until = Micros(harness.now.0 + 3_600_000_000);
    harness.step(Input::QuorumState {
        state: QuorumState::Whole,
        present: vec!["d2".into()],
        until,
    });
    harness
}

/// Sends a request about the workflow `season` with additional fields of metadata.
fn send_workflow_request(
    harness: &mut Harness,
    session: SessionId,
    class: &str,
    fields: &[(&str, &str)],
) {
    let mut metadata = json!({ "class": class, "idempotency_key": "k1", "workflow": "season" });
    fields
        .iter()
        .for_each(|(key, value)| metadata[*key] = json!(value));
    let text =
        json!({ "type": "response.create", "model": "m", "input": "book", "metadata": metadata });
    harness.step(Input::SessionText {
        session,
        text: text.to_string(),
    });
}

/// Sends step 1 of the workflow under the epoch of a claim.
fn send_step(harness: &mut Harness, session: SessionId, class: &str, epoch: &str) {
    send_workflow_request(
        harness,
        session,
        class,
        &[("workflow_epoch", epoch), ("workflow_step", "1")],
    );
}

/// Takes the outputs since the last call and returns the commands to the workflow coordinator.
fn take_commands(harness: &mut Harness) -> Vec<Command> {
    let all = std::mem::take(&mut harness.outputs);
    all.into_iter()
        .filter_map(|o| {
            if let Output::Workflow(command) = o {
                Some(command)
            } else {
                None
            }
        })
        .collect()
}

/// Takes the single command to the coordinator since the last call.
fn take_only_command(harness: &mut Harness) -> Command {
    let mut all = take_commands(harness);
    assert_eq!(all.len(), 1, "{all:?}");
    all.remove(0)
}

/// Delivers an event of the coordinator to the machine.
fn send_event(harness: &mut Harness, event: Event) {
    harness.step(Input::Workflow(event));
}

/// Answers a command with a permission to send the step for this many seconds.
fn permit_send(harness: &mut Harness, call: Call, seconds: f64) {
    let until_us = harness.now.after(seconds).0;
    send_event(harness, Event::SendPermitted { call, until_us });
}

/// Sends a step, stores its intent, completes its prefill, and returns the decode attempt that follows.
fn start_step_decode(harness: &mut Harness, session: SessionId, class: &str) -> SentCompletion {
    send_step(harness, session, class, "4");
    let call = take_only_command(harness).call();
    permit_send(harness, call, 60.0);
    let prefill = harness.next_completion();
    harness.finish_prefill(&prefill);
    harness.next_completion()
}

/// Takes the events sent to a session and returns the last one.
fn last_event(harness: &mut Harness, session: SessionId) -> ServerEvent {
    harness.take_events(session).pop().expect("an event")
}

/// Error code of an event: of the error itself or of the failed response in it; empty without an error.
fn error_code(event: &ServerEvent) -> String {
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

/// Output text of the response in an event.
fn answer_text(event: &ServerEvent) -> String {
    event
        .response
        .as_ref()
        .map(|r| r.output[0].content[0].text.clone())
        .unwrap_or_default()
}

#[test]
fn step_is_sent_after_intent_and_answered_after_result() {
    let mut harness = new_harness(true);
    let session = harness.open_session(1);
    send_step(&mut harness, session, "booking", "4");
    harness.advance(1.0);
    assert!(harness.completions.is_empty() && harness.take_events(session).is_empty());
    let intent = take_only_command(&mut harness);
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
        until_us > harness.now.0 && until_us <= harness.now.after(12.0).0,
        "the deadline of the request"
    );
    permit_send(&mut harness, call, 60.0);
    let prefill = harness.next_completion();
    harness.finish_prefill(&prefill);
    let decode = harness.next_completion();
    harness.send_chunk(&decode, "yes", None);
    harness.finish_decode(&decode, 9, 2);
    assert_eq!(
        harness.take_event_types(session),
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
        outcome,
        ..
    } = take_only_command(&mut harness)
    else {
        panic!("the outcome is not reported")
    };
    assert_eq!(
        outcome,
        AttemptOutcome::Done {
            result: "yesyes".into(),
            tokens: 2
        }
    );
    send_event(
        &mut harness,
        Event::Rejected {
            call,
            reason: RejectReason::Busy,
        },
    );
    harness.advance(0.2);
    assert!(
        harness.take_events(session).is_empty(),
        "the outcome is reported again, and the answer still waits for it"
    );
    let call = take_only_command(&mut harness).call();
    send_event(&mut harness, Event::Committed { call });
    let end = last_event(&mut harness, session);
    assert_eq!(
        (end.kind.as_str(), answer_text(&end).as_str()),
        ("response.completed", "yesyes")
    );
    assert_eq!(harness.machine.counts().requests, 0);
}

#[test]
fn completed_step_is_answered_without_server() {
    let mut harness = new_harness(true);
    let session = harness.open_session(1);
    send_step(&mut harness, session, "booking", "4");
    let call = take_only_command(&mut harness).call();
    send_event(
        &mut harness,
        Event::AlreadyDone {
            call,
            result: "booked".into(),
        },
    );
    let end = last_event(&mut harness, session);
    assert_eq!(answer_text(&end), "booked");
    let previous = end.response.expect("a response").id;
    let text = json!({ "type": "response.create", "model": "m", "input": "next", "previous_response_id": previous });
    harness.step(Input::SessionText {
        session,
        text: text.to_string(),
    });
    assert!(
        harness
            .next_completion()
            .body
            .prompt
            .contains("assistant: booked"),
        "the conversation continues from the stored result"
    );
    for (reason, expected, has_retry_after) in [
        (RejectReason::Fenced, "workflow_fenced", false),
        (RejectReason::NoMajority, "workflow_no_majority", true),
    ] {
        send_step(&mut harness, session, "booking", "4");
        let call = take_only_command(&mut harness).call();
        send_event(&mut harness, Event::Rejected { call, reason });
        let end = last_event(&mut harness, session);
        assert_eq!(
            (end.kind.as_str(), error_code(&end).as_str()),
            ("error", expected)
        );
        assert_eq!(
            end.error.expect("an error")["retry_after_ms"].is_u64(),
            has_retry_after
        );
    }
    send_step(&mut harness, session, "booking", "4");
    harness.advance(13.0);
    assert_eq!(
        error_code(&last_event(&mut harness, session)),
        "workflow_no_majority",
        "the query times out at the deadline of the request"
    );
    send_workflow_request(
        &mut harness,
        session,
        "query",
        &[("workflow_do", "claim"), ("workflow_worker", "a")],
    );
    let claim = take_commands(&mut harness).pop().expect("a claim");
    assert!(
        matches!(&claim, Command::Claim { worker, .. } if worker == "a"),
        "{claim:?}"
    );
    let event = Event::Claimed {
        call: claim.call(),
        epoch: 5,
        context: "".into(),
        steps: vec![],
        lease_us: 1,
    };
    send_event(&mut harness, event);
    assert!(answer_text(&last_event(&mut harness, session)).starts_with("{\"epoch\":5,"));
    assert!(
        harness.completions.iter().all(|t| t.body.prompt != "book"),
        "no server receives any of these requests"
    );
}

#[test]
fn expired_send_permission_is_not_used() {
    let mut harness = new_harness(true);
    let session = harness.open_session(1);
    send_step(&mut harness, session, "booking", "4");
    let call = take_only_command(&mut harness).call();
    permit_send(&mut harness, call, 3.0);
    let prefill = harness.next_completion();
    // The process is paused for 4 s: the permission expires unnoticed, and due timers and received messages are handled at
    // once afterwards.
    harness.now = harness.now.after(4.0);
    harness.finish_prefill(&prefill);
    harness.advance(0.1);
    assert!(
        harness.completions.is_empty(),
        "no decode attempt without a valid permission"
    );
    let commands = take_commands(&mut harness);
    let [Command::ReportOutcome {
        outcome: AttemptOutcome::NeverRan,
        ..
    }, Command::Intend {
        call,
        epoch: 4,
        step: 1,
        ..
    }] = commands.as_slice()
    else {
        panic!("{commands:?}")
    };
    send_event(
        &mut harness,
        Event::Rejected {
            call: *call,
            reason: RejectReason::Fenced,
        },
    );
    assert!(
        harness.completions.is_empty(),
        "another worker may run the step"
    );
    assert!(
        take_commands(&mut harness).is_empty(),
        "NeverRan is already reported"
    );
    let end = last_event(&mut harness, session)
        .response
        .and_then(|r| r.error)
        .expect("an error");
    assert!(end.safe_to_repeat);
    // Where no other worker has claimed the workflow, the blocked send continues once it is permitted again.
    send_step(&mut harness, session, "booking", "4");
    let call = take_only_command(&mut harness).call();
    permit_send(&mut harness, call, 1.0);
    let prefill = harness.next_completion();
    harness.advance(1.2);
    harness.finish_prefill(&prefill);
    assert!(harness.completions.is_empty());
    let call = take_commands(&mut harness).pop().expect("a command").call();
    permit_send(&mut harness, call, 1.0);
    assert!(!harness.next_completion().is_prefill());
}

#[test]
fn undurable_result_fails_request() {
    let mut harness = new_harness(true);
    for (session, reason, expected) in [
        (1, None, "server_error"),
        (2, Some(RejectReason::Fenced), "workflow_fenced"),
    ] {
        let session = harness.open_session(session);
        let decode = start_step_decode(&mut harness, session, "booking");
        harness.finish_decode(&decode, 9, 2);
        let call = take_only_command(&mut harness).call();
        match reason {
            Some(reason) => send_event(&mut harness, Event::Rejected { call, reason }),
            None => harness.advance(13.0),
        }
        let end = last_event(&mut harness, session);
        assert_eq!(
            (end.kind.as_str(), error_code(&end).as_str()),
            ("response.failed", expected)
        );
        assert!(
            !end.response
                .and_then(|r| r.error)
                .expect("an error")
                .safe_to_repeat
        );
    }
    let session = harness.open_session(3);
    let decode = start_step_decode(&mut harness, session, "booking");
    harness.send_error(&decode, 500, None);
    harness.advance(0.1);
    let Some(Command::ReportOutcome { outcome, .. }) = take_commands(&mut harness).pop() else {
        panic!("the outcome is not reported")
    };
    assert_eq!(
        outcome,
        AttemptOutcome::MayHaveRun,
        "the server may have run the request before its error"
    );
}

#[test]
fn repeated_step_attaches_to_running_attempt() {
    let mut harness = new_harness(true);
    let (a, b) = (harness.open_session(1), harness.open_session(2));
    let decode = start_step_decode(&mut harness, a, "booking");
    harness.step(Input::SessionClosed { session: a });
    harness.send_chunk(&decode, "yes", None);
    send_step(&mut harness, b, "booking", "4");
    assert!(
        take_commands(&mut harness).is_empty(),
        "the repeated step joins the running request"
    );
    harness.finish_decode(&decode, 9, 2);
    let call = take_only_command(&mut harness).call();
    send_event(&mut harness, Event::Committed { call });
    assert_eq!(answer_text(&last_event(&mut harness, b)), "yesyes");
    // A safe step is cancelled when its client disconnects, and its outcome is reported.
    let decode = start_step_decode(&mut harness, b, "query");
    harness.step(Input::SessionClosed { session: b });
    assert_eq!(harness.cancels.len(), 1, "{decode:?}");
    assert!(matches!(
        take_commands(&mut harness).as_slice(),
        [Command::ReportOutcome {
            outcome: AttemptOutcome::MayHaveRun,
            ..
        }]
    ));
    // A client disconnects before the intent of its step is stored: the step is reported as never run once it is.
    let c = harness.open_session(3);
    send_step(&mut harness, c, "booking", "4");
    let call = take_only_command(&mut harness).call();
    harness.step(Input::SessionClosed { session: c });
    permit_send(&mut harness, call, 3.0);
    assert!(matches!(
        take_only_command(&mut harness),
        Command::ReportOutcome {
            outcome: AttemptOutcome::NeverRan,
            ..
        }
    ));
    assert!(harness.completions.is_empty() && harness.machine.counts().requests <= 1);
}

#[test]
fn workflow_fields_are_echoed_where_disabled() {
    let mut harness = new_harness(false);
    let session = harness.open_session(1);
    send_workflow_request(
        &mut harness,
        session,
        "booking",
        &[("workflow_do", "dance")],
    );
    assert!(harness.next_completion().is_prefill() && take_commands(&mut harness).is_empty());
    let begun = harness
        .take_events(session)
        .remove(0)
        .response
        .expect("a response");
    assert_eq!(begun.metadata["workflow_do"], "dance");
}

#[test]
fn record_with_workflow_steps_replays() {
    let (mut harness, mut entries) = (new_harness(true), vec![]);
    let settings = settings_text(true);
    entries.push(Entry::Start {
        settings: settings.clone(),
        seed: 5,
    });
    let session = harness.open_session(1);
    let decode = start_step_decode(&mut harness, session, "booking");
    harness.finish_decode(&decode, 9, 2);
    let call = take_only_command(&mut harness).call();
    send_event(&mut harness, Event::Committed { call });
    let mut second = Harness::with(Settings::parse("test", &settings).expect("settings"), 5);
    for (at, input) in std::mem::take(&mut harness.inputs) {
        let mut outputs = vec![];
        second.machine.step(at, input.clone(), &mut outputs);
        entries.push(Entry::Step { at, input, outputs });
    }
    let line = serde_json::to_string(&entries).expect("JSON");
    let entries: Vec<Entry> = serde_json::from_str(&line).expect("the serialized entries");
    let has_command = |e: &&Entry| matches!(e, Entry::Step { outputs, .. } if outputs.iter().any(|o| matches!(o, Output::Workflow(_))));
    assert_eq!(
        entries.iter().filter(has_command).count(),
        2,
        "the record contains the intent and the outcome"
    );
    let mut recorded = Recorded {
        entries,
        torn_bytes: 0,
    };
    assert_eq!(replay(&recorded, false).expect("replays").difference, None);
    // Counter-check that the comparison can fail: a record without the permission to send the step.
    let is_permission = |e: &Entry| {
        matches!(
            e,
            Entry::Step {
                input: Input::Workflow(Event::SendPermitted { .. }),
                ..
            }
        )
    };
    recorded.entries.retain(|e| !is_permission(e));
    assert!(replay(&recorded, false)
        .expect("replays")
        .difference
        .is_some());
}
