//! Checks the serialized forms that other processes and later versions depend on: the stored record of a workflow, and the
//! settings, commands and events, which are written into recordings for replay.
//!
//! The fixtures under `tests/fixtures` were written by the version before the identifiers of this crate were renamed. A line for a
//! record is a label and the record's bytes in hexadecimal. A line for a recorded message is its postcard bytes in hexadecimal,
//! then its JSON.

use bitternlatch_membership::NameKey;

use crate::context::Context;
use crate::io::{AttemptOutcome, Call, Command, Effect, Event, RejectReason, Settings, Step};
use crate::record::{Outcome, Record, State};
use crate::step::{Attempt, StepRecord, StepState};

const RECORDS: &str = include_str!("../tests/fixtures/records.txt");
const RECORDED: &str = include_str!("../tests/fixtures/recorded_messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hexadecimal"))
        .collect()
}

fn attempt(number: u64) -> Attempt {
    Attempt {
        name: 7,
        start: 70_000,
        number,
    }
}

fn step_record(number: u32, effect: Effect, state: StepState) -> StepRecord {
    StepRecord {
        number,
        effect,
        key: format!("key{number}"),
        request_digest: 1000 + u64::from(number),
        state,
        earlier_may_have_run: false,
        late_results: vec![],
        dropped_late_results: 0,
    }
}

fn done(result: &str) -> StepState {
    StepState::Done {
        result: result.to_string(),
        tokens: 300,
    }
}

fn context() -> Context {
    let mut context = Context::default();
    context.append_step(&step_record(1, Effect::Safe, done("first")));
    context.append_step(&step_record(2, Effect::Keyed, StepState::Abandoned));
    context.append_late_result(1, "again");
    context
}

fn steps() -> Vec<StepRecord> {
    vec![
        StepRecord {
            late_results: vec!["second result".to_string()],
            dropped_late_results: 4,
            ..step_record(3, Effect::Safe, done("third"))
        },
        step_record(4, Effect::Keyed, StepState::Abandoned),
        step_record(5, Effect::Unsafe, StepState::Planned),
        StepRecord {
            earlier_may_have_run: true,
            ..step_record(
                6,
                Effect::Unsafe,
                StepState::Intended {
                    epoch: 5,
                    attempt: attempt(61),
                },
            )
        },
        step_record(
            7,
            Effect::Unsafe,
            StepState::MayHaveRun {
                attempt: attempt(71),
            },
        ),
    ]
}

fn record(state: State) -> Record {
    Record {
        name: "tenant/owner/name".to_string(),
        state,
        epoch: 5,
        worker: "worker-1".to_string(),
        holder: NameKey(9),
        lease: 600,
        lease_us: 1_500_000,
        age_us: 7_000_000,
        deaths: 2,
        bytes: 4096,
        tokens: 900,
        context: context(),
        steps: steps(),
    }
}

fn records() -> Vec<(&'static str, Record)> {
    vec![
        ("open", record(State::Open)),
        ("unsettled", record(State::Unsettled)),
        ("parked", record(State::Parked)),
        ("finished", record(State::Ended(Outcome::Finished))),
        ("cancelled", record(State::Ended(Outcome::Cancelled))),
        ("expired", record(State::Ended(Outcome::Expired))),
    ]
}

#[test]
fn encoded_records_equal_the_fixture() {
    let written: Vec<String> = records()
        .into_iter()
        .map(|(label, record)| format!("{label} {}", hex(&record.encode().expect("short enough"))))
        .collect();
    assert_eq!(written.join("\n"), RECORDS.trim_end());
}

#[test]
fn records_of_the_fixture_are_decoded_field_by_field() {
    let states = [
        State::Open,
        State::Unsettled,
        State::Parked,
        State::Ended(Outcome::Finished),
        State::Ended(Outcome::Cancelled),
        State::Ended(Outcome::Expired),
    ];
    assert_eq!(RECORDS.lines().count(), states.len());
    for (line, state) in RECORDS.lines().zip(states) {
        let (label, hex) = line.split_once(' ').expect("a label and bytes");
        let read = Record::decode(&bytes(hex)).expect(label);
        assert_eq!(read.name, "tenant/owner/name");
        assert_eq!(read.state, state);
        assert_eq!((read.epoch, read.worker.as_str()), (5, "worker-1"));
        assert_eq!(read.holder, NameKey(9));
        assert_eq!((read.lease, read.lease_us), (600, 1_500_000));
        assert_eq!((read.age_us, read.deaths), (7_000_000, 2));
        assert_eq!((read.bytes, read.tokens), (4096, 900));
        assert_eq!(read.context, context());
        assert_eq!(read.context.steps(), 2);
        assert_eq!(read.context.find(1), Some("first"));
        assert_eq!(read.steps, steps());
        let third = &read.steps[0];
        assert_eq!((third.number, third.effect), (3, Effect::Safe));
        assert_eq!((third.key.as_str(), third.request_digest), ("key3", 1003));
        assert_eq!(third.state, done("third"));
        assert_eq!(third.late_results, ["second result"]);
        assert_eq!(
            (third.dropped_late_results, third.earlier_may_have_run),
            (4, false)
        );
        assert!(read.steps[3].earlier_may_have_run);
    }
}

fn effects() -> [Effect; 3] {
    [Effect::Safe, Effect::Keyed, Effect::Unsafe]
}

fn outcomes() -> [AttemptOutcome; 3] {
    [
        AttemptOutcome::Done {
            result: "r".to_string(),
            tokens: 300,
        },
        AttemptOutcome::MayHaveRun,
        AttemptOutcome::NeverRan,
    ]
}

fn commands() -> Vec<Command> {
    let (call, workflow, until_us) = (Call(400), "w".to_string(), 5_000_000);
    let intend = |effect| Command::Intend {
        call,
        workflow: workflow.clone(),
        epoch: 5,
        step: 6,
        effect,
        key: "k".to_string(),
        request_digest: 1000,
        until_us,
    };
    let ended = |outcome| Command::ReportOutcome {
        call,
        workflow: workflow.clone(),
        epoch: 5,
        step: 6,
        outcome,
        until_us,
    };
    let mut request_digest = vec![
        Command::Claim {
            call,
            workflow: workflow.clone(),
            worker: "a".to_string(),
            until_us,
        },
        Command::RenewLease {
            call,
            workflow: workflow.clone(),
            epoch: 5,
            until_us,
        },
        Command::Finish {
            call,
            workflow: workflow.clone(),
            epoch: 5,
            cancelled: true,
            until_us,
        },
        Command::Settle {
            call,
            workflow: workflow.clone(),
            step: 6,
            outcome: AttemptOutcome::NeverRan,
            until_us,
        },
    ];
    request_digest.extend(effects().map(intend));
    request_digest.extend(outcomes().map(ended));
    request_digest
}

fn reject_reasons() -> [RejectReason; 12] {
    [
        RejectReason::Fenced,
        RejectReason::LeaseHeld,
        RejectReason::NoMajority,
        RejectReason::Lost,
        RejectReason::Unsettled,
        RejectReason::Parked,
        RejectReason::Ended,
        RejectReason::Limit,
        RejectReason::OtherRequest,
        RejectReason::Unknown,
        RejectReason::Busy,
        RejectReason::NotStored,
    ]
}

fn events() -> Vec<Event> {
    let call = Call(400);
    let step = Step {
        number: 6,
        effect: Effect::Keyed,
        key: "k".to_string(),
        outcome: Some(AttemptOutcome::MayHaveRun),
    };
    let mut events = vec![
        Event::Claimed {
            call,
            epoch: 5,
            context: "c".to_string(),
            steps: vec![
                step.clone(),
                Step {
                    outcome: None,
                    ..step
                },
            ],
            lease_us: 1_500_000,
        },
        Event::SendPermitted {
            call,
            until_us: 5_000_000,
        },
        Event::AlreadyDone {
            call,
            result: "r".to_string(),
        },
        Event::Committed { call },
    ];
    events.extend(reject_reasons().map(|reason| Event::Rejected { call, reason }));
    events
}

fn settings() -> Settings {
    Settings {
        records_dir: Some("folder".to_string()),
        steps: 10,
        bytes: 20,
        tokens: 30,
        lasts_s: 40.5,
        lease_s: 2.5,
    }
}

fn line<T: serde::Serialize>(message: &T) -> String {
    let bytes = postcard::to_allocvec(message).expect("plain data");
    let json = serde_json::to_string(message).expect("plain data");
    format!("{} {json}", hex(&bytes))
}

/// Decodes a line of the fixture: the message from its postcard bytes, and from its JSON.
fn read<T: serde::de::DeserializeOwned>(line: &str) -> (T, T) {
    let (hex, json) = line.split_once(' ').expect("bytes and JSON");
    (
        postcard::from_bytes(&bytes(hex)).expect("readable"),
        serde_json::from_str(json).expect("readable"),
    )
}

#[test]
fn encoded_messages_equal_the_fixture() {
    let written: Vec<String> = commands()
        .iter()
        .map(line)
        .chain(events().iter().map(line))
        .chain([line(&settings())])
        .collect();
    assert_eq!(written.join("\n"), RECORDED.trim_end());
}

#[test]
fn messages_of_the_fixture_are_decoded() {
    let mut lines = RECORDED.lines();
    for command in commands() {
        assert_eq!(
            read(lines.next().expect("a line")),
            (command.clone(), command)
        );
    }
    for event in events() {
        let line = lines.next().expect("a line");
        assert_eq!(read(line), (event.clone(), event));
    }
    let line = lines.next().expect("a line");
    assert_eq!(read(line), (settings(), settings()));
    assert_eq!(lines.next(), None);
}

#[test]
fn texts_of_reject_reasons_are_unchanged() {
    let texts = reject_reasons().map(|reason| reason.to_string());
    assert_eq!(
        texts,
        [
            "another worker carries this workflow under a later epoch",
            "another worker carries this workflow and is alive",
            "a majority of its copies cannot be reached",
            "a majority of its copies is lost for good; what was done cannot be known",
            "an unsafe step may have run and nobody knows; a person has to decide",
            "it killed three workers and is parked",
            "it has ended",
            "its limit of steps, bytes, tokens or time is reached",
            "this step's number was used for another request",
            "no such workflow, or step out of order",
            "too many questions in hand",
            "its copies cannot be written to disk",
        ]
    );
}
