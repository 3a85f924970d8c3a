//! JSON of what dispatchers and the quota server exchange, and of the entries that are stored and billed.
//!
//! The fixture was written by the version before the crate's names changed; each line is one JSON value.

use bitternlatch_budget::charge::{Entry, Line, Used};
use bitternlatch_budget::ledger::{FromLedger, Part, ToLedger, Want};
use bitternlatch_budget::period::{Per, PeriodId};
use bitternlatch_budget::Amount;
use serde::{de::DeserializeOwned, Serialize};

const FIXTURE: &str = include_str!("fixtures/wire.jsonl");

fn amount() -> Amount {
    Amount {
        prompt: 10,
        output: 20,
    }
}

fn entry(number: u32, used: Used) -> Entry {
    Entry {
        response: "resp_1".to_string(),
        number,
        tenant: "tenant".to_string(),
        class: "class".to_string(),
        owner: "owner".to_string(),
        key: "key".to_string(),
        taken_us: 1_700_000_000_000_000,
        used,
    }
}

fn requests() -> Vec<ToLedger> {
    vec![
        ToLedger::Ask {
            holder: 7,
            number: 8,
            tenants: vec![Want {
                tenant: "tenant".to_string(),
                tokens_per_s: 12.5,
                holds: 9,
            }],
        },
        ToLedger::Ship {
            number: 8,
            entries: vec![
                entry(1, Used::Possibly(amount())),
                entry(2, Used::Known(amount())),
            ],
        },
    ]
}

fn responses() -> Vec<FromLedger> {
    vec![
        FromLedger::Lent {
            number: 8,
            parts: vec![Part {
                tenant: "tenant".to_string(),
                lease: 9,
                tokens_per_s: 12.5,
                lasts_s: 10.0,
            }],
        },
        FromLedger::Shipped { number: 8 },
        FromLedger::Fault {
            message: "why".to_string(),
        },
    ]
}

fn line() -> Line {
    Line {
        requests: 1,
        prompt: 2,
        output: 3,
        possibly: 4,
        possibly_tokens: 5,
    }
}

fn json<T: Serialize>(value: T) -> String {
    serde_json::to_string(&value).expect("plain data")
}

fn read<T: DeserializeOwned>(line: &str) -> T {
    serde_json::from_str(line).expect("readable")
}

#[test]
fn messages_and_entries_have_the_json_of_the_fixture() {
    let values = requests()
        .into_iter()
        .map(json)
        .chain(responses().into_iter().map(json))
        .chain([json([Per::Day, Per::Month]), json(PeriodId(1_700_000_000))])
        .chain([json(line())]);
    let written: Vec<String> = values.collect();
    assert_eq!(written.join("\n"), FIXTURE.trim_end());
}

#[test]
fn messages_and_entries_of_the_fixture_are_read() {
    let lines: Vec<&str> = FIXTURE.lines().collect();
    let [ask, ship, lent, shipped, fault, pers, period, _] = lines[..] else {
        panic!("eight lines");
    };
    assert_eq!([read::<ToLedger>(ask), read(ship)], requests()[..]);
    let read_responses: [FromLedger; 3] = [read(lent), read(shipped), read(fault)];
    assert_eq!(read_responses, responses()[..]);
    assert_eq!(read::<Vec<Per>>(pers), [Per::Day, Per::Month]);
    assert_eq!(read::<PeriodId>(period), PeriodId(1_700_000_000));
}
