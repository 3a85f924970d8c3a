//! Bytes that other processes and later versions depend on: the record of a workflow, and what the core exchanges with this
//! crate, which is written into recordings for replay.
//!
//! The fixtures under `tests/fixtures` were written by the version before the crate's names changed. A record's line is a label and
//! its bytes in hexadecimal; a recorded message's line is its bytes by postcard in hexadecimal, then its JSON.

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

fn entry(number: u32, effect: Effect, state: StepState) -> StepRecord {
    StepRecord {
        number,
        effect,
        key: format!("key{number}"),
        request_digest: 1000 + u64::from(number),
        state,
        earlier: false,
        late: vec![],
        late_lost: 0,
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
    context.append_step(&entry(1, Effect::Safe, done("first")));
    context.append_step(&entry(2, Effect::Keyed, StepState::Abandoned));
    context.append_late_result(1, "again");
    context
}

fn steps() -> Vec<StepRecord> {
    vec![
        StepRecord {
            late: vec!["second result".to_string()],
            late_lost: 4,
            ..entry(3, Effect::Safe, done("third"))
        },
        entry(4, Effect::Keyed, StepState::Abandoned),
        entry(5, Effect::Unsafe, StepState::Planned),
        StepRecord {
            earlier: true,
            ..entry(
                6,
                Effect::Unsafe,
                StepState::Intended {
                    epoch: 5,
                    attempt: attempt(61),
                },
            )
        },
        entry(
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
fn every_record_has_the_bytes_of_the_fixture() {
    let written: Vec<String> = records()
        .into_iter()
        .map(|(label, record)| format!("{label} {}", hex(&record.encode().expect("short enough"))))
        .collect();
    assert_eq!(written.join("\n"), RECORDS.trim_end());
}

#[test]
fn records_of_the_fixture_are_read_field_by_field() {
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
        assert_eq!(third.late, ["second result"]);
        assert_eq!((third.late_lost, third.earlier), (4, false));
        assert!(read.steps[3].earlier);
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

fn request_digest() -> Vec<Command> {
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

fn refusals() -> [RejectReason; 12] {
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

fn answers() -> Vec<Event> {
    let call = Call(400);
    let step = Step {
        number: 6,
        effect: Effect::Keyed,
        key: "k".to_string(),
        outcome: Some(AttemptOutcome::MayHaveRun),
    };
    let mut answers = vec![
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
    answers.extend(refusals().map(|why| Event::Rejected { call, reason: why }));
    answers
}

fn settings() -> Settings {
    Settings {
        kept: Some("folder".to_string()),
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

/// Reads a line of the fixture, by postcard and as JSON.
fn read<T: serde::de::DeserializeOwned>(line: &str) -> (T, T) {
    let (hex, json) = line.split_once(' ').expect("bytes and JSON");
    (
        postcard::from_bytes(&bytes(hex)).expect("readable"),
        serde_json::from_str(json).expect("readable"),
    )
}

#[test]
fn recorded_messages_are_as_in_the_fixture() {
    let written: Vec<String> = request_digest()
        .iter()
        .map(line)
        .chain(answers().iter().map(line))
        .chain([line(&settings())])
        .collect();
    assert_eq!(written.join("\n"), RECORDED.trim_end());
}

#[test]
fn recorded_messages_of_the_fixture_are_read() {
    let mut lines = RECORDED.lines();
    for ask in request_digest() {
        assert_eq!(read(lines.next().expect("a line")), (ask.clone(), ask));
    }
    for answer in answers() {
        let line = lines.next().expect("a line");
        assert_eq!(read(line), (answer.clone(), answer));
    }
    let line = lines.next().expect("a line");
    assert_eq!(read(line), (settings(), settings()));
    assert_eq!(lines.next(), None);
}

#[test]
fn every_refusal_is_told_in_the_same_words() {
    let words = refusals().map(|why| why.to_string());
    assert_eq!(
        words,
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
