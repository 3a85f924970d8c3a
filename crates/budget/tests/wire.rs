//! Tests that the JSON of quota server messages, stored charge entries and bills is unchanged.
//!
//! The fixture was written before the crate's identifiers were renamed; each line is one JSON value.

use bitternlatch_budget::charge::{BillLine, Entry, Usage};
use bitternlatch_budget::ledger::{LeaseGrant, LeaseRequest, QuotaRequest, QuotaResponse};
use bitternlatch_budget::period::{PeriodId, PeriodUnit};
use bitternlatch_budget::Amount;
use serde::{de::DeserializeOwned, Serialize};

const FIXTURE: &str = include_str!("fixtures/wire.jsonl");

fn amount() -> Amount {
    Amount {
        prompt: 10,
        output: 20,
    }
}

fn entry(number: u32, used: Usage) -> Entry {
    Entry {
        response: "resp_1".to_string(),
        number,
        tenant: "tenant".to_string(),
        class: "class".to_string(),
        owner: "owner".to_string(),
        key: "key".to_string(),
        accepted_us: 1_700_000_000_000_000,
        used,
    }
}

fn requests() -> Vec<QuotaRequest> {
    vec![
        QuotaRequest::RequestLeases {
            holder: 7,
            number: 8,
            tenants: vec![LeaseRequest {
                tenant: "tenant".to_string(),
                tokens_per_s: 12.5,
                held_lease: 9,
            }],
        },
        QuotaRequest::StoreCharges {
            number: 8,
            entries: vec![
                entry(1, Usage::AtMost(amount())),
                entry(2, Usage::Known(amount())),
            ],
        },
    ]
}

fn responses() -> Vec<QuotaResponse> {
    vec![
        QuotaResponse::LeasesGranted {
            number: 8,
            leases: vec![LeaseGrant {
                tenant: "tenant".to_string(),
                lease_number: 9,
                tokens_per_s: 12.5,
                duration_s: 10.0,
            }],
        },
        QuotaResponse::ChargesStored { number: 8 },
        QuotaResponse::Error {
            message: "why".to_string(),
        },
    ]
}

fn line() -> BillLine {
    BillLine {
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
        .chain([
            json([PeriodUnit::Day, PeriodUnit::Month]),
            json(PeriodId(1_700_000_000)),
        ])
        .chain([json(line())]);
    let written: Vec<String> = values.collect();
    assert_eq!(written.join("\n"), FIXTURE.trim_end());
}

#[test]
fn messages_and_entries_of_the_fixture_are_parsed() {
    let lines: Vec<&str> = FIXTURE.lines().collect();
    let [request_leases, store_charges, granted, stored, error, units, period, _] = lines[..]
    else {
        panic!("eight lines");
    };
    assert_eq!(
        [read::<QuotaRequest>(request_leases), read(store_charges)],
        requests()[..]
    );
    let read_responses: [QuotaResponse; 3] = [read(granted), read(stored), read(error)];
    assert_eq!(read_responses, responses()[..]);
    assert_eq!(
        read::<Vec<PeriodUnit>>(units),
        [PeriodUnit::Day, PeriodUnit::Month]
    );
    assert_eq!(read::<PeriodId>(period), PeriodId(1_700_000_000));
}
