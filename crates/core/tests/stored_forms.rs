//! Compatibility of formats that outlive a process or leave it: records, serialized inputs and outputs, settings files.
//!
//! The fixtures were written by an earlier version and are never regenerated.

use std::collections::BTreeSet;

use bitternlatch_core::record::{read, replay, Entry};
use bitternlatch_core::{Input, Output, Settings};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;

/// Serialized inputs of the machine, one a line, with at least one of each variant.
const INPUTS: &str = include_str!("fixtures/inputs.jsonl");
/// Serialized outputs of the machine, one a line, with at least one of each variant.
const OUTPUTS: &str = include_str!("fixtures/outputs.jsonl");

/// Recorded runs: the behaviour that a run shows, its record and the number of entries in it.
const RECORDS: [(&str, &[u8], usize); 16] = [
    (
        "budget_leases_idle",
        include_bytes!("fixtures/budget_leases_idle.record"),
        80,
    ),
    ("callers", include_bytes!("fixtures/callers.record"), 22),
    ("charges", include_bytes!("fixtures/charges.record"), 60),
    ("cut_off", include_bytes!("fixtures/cut_off.record"), 108),
    ("draining", include_bytes!("fixtures/draining.record"), 38),
    (
        "idempotency_key",
        include_bytes!("fixtures/idempotency_key.record"),
        27,
    ),
    (
        "load_shedding",
        include_bytes!("fixtures/load_shedding.record"),
        57,
    ),
    (
        "output_lengths",
        include_bytes!("fixtures/output_lengths.record"),
        37,
    ),
    (
        "peer_reports",
        include_bytes!("fixtures/peer_reports.record"),
        320,
    ),
    (
        "quota_lease",
        include_bytes!("fixtures/quota_lease.record"),
        98,
    ),
    (
        "recovery_trial",
        include_bytes!("fixtures/recovery_trial.record"),
        43,
    ),
    ("reset", include_bytes!("fixtures/reset.record"), 19),
    (
        "silent_server",
        include_bytes!("fixtures/silent_server.record"),
        51,
    ),
    ("stop", include_bytes!("fixtures/stop.record"), 22),
    (
        "workflow_refused",
        include_bytes!("fixtures/workflow_refused.record"),
        97,
    ),
    (
        "workflow_step",
        include_bytes!("fixtures/workflow_step.record"),
        30,
    ),
];

/// The serialized names of all variants of [`Input`].
const INPUT_NAMES: [&str; 24] = [
    "Heard",
    "Hosts",
    "KeysWithdrawn",
    "Lengths",
    "Lent",
    "LinkClosed",
    "LinkFailed",
    "LinkText",
    "LinkUnsent",
    "LinkUp",
    "ListLost",
    "Overload",
    "Part",
    "ProofTime",
    "RenewalRefused",
    "Rights",
    "SessionClosed",
    "SessionOpened",
    "SessionRenewed",
    "SessionText",
    "Standing",
    "Stop",
    "Tick",
    "Workflow",
];

/// The serialized names of all variants of [`Output`].
const OUTPUT_NAMES: [&str; 13] = [
    "AskLedger",
    "Charge",
    "CloseSession",
    "Dial",
    "Hang",
    "Lengths",
    "Log",
    "Overload",
    "Say",
    "Seen",
    "Stopped",
    "Tell",
    "Workflow",
];

/// The serialized name of the variant that a JSON value holds.
fn variant_name(value: &Value) -> String {
    match value {
        Value::String(name) => name.clone(),
        Value::Object(fields) => fields.keys().next().cloned().expect("a variant"),
        other => panic!("{other} is not a serialized variant"),
    }
}

/// Deserializes each line, asserts that it serializes to the same text, and returns the names of its variants.
fn round_trip<T: DeserializeOwned + Serialize>(lines: &str) -> BTreeSet<String> {
    lines
        .lines()
        .map(|line| {
            let value: T = serde_json::from_str(line).expect(line);
            assert_eq!(serde_json::to_string(&value).expect("JSON"), line);
            variant_name(&serde_json::from_str(line).expect("JSON"))
        })
        .collect()
}

fn names(all: &[&str]) -> BTreeSet<String> {
    all.iter().map(|name| name.to_string()).collect()
}

#[test]
fn inputs_round_trip() {
    assert_eq!(round_trip::<Input>(INPUTS), names(&INPUT_NAMES));
}

#[test]
fn outputs_round_trip() {
    assert_eq!(round_trip::<Output>(OUTPUTS), names(&OUTPUT_NAMES));
}

#[test]
fn stored_records_replay_without_difference() {
    for (name, bytes, entries) in RECORDS {
        let recorded = read(bytes).expect(name);
        assert_eq!((recorded.entries.len(), recorded.torn_bytes), (entries, 0));
        assert!(matches!(recorded.entries[0], Entry::Start { .. }), "{name}");
        let replayed = replay(&recorded, false).expect(name);
        assert_eq!(replayed.difference, None, "{name}");
        assert_eq!(replayed.steps, entries - 1, "{name}");
    }
}

/// Settings files of dispatchers with their path under `deploy/`.
const DEPLOYED: [(&str, &str); 4] = [
    (
        "dispatch.toml",
        include_str!("../../../deploy/dispatch.toml"),
    ),
    (
        "cluster/dispatch-1.toml",
        include_str!("../../../deploy/cluster/dispatch-1.toml"),
    ),
    (
        "cluster/dispatch-2.toml",
        include_str!("../../../deploy/cluster/dispatch-2.toml"),
    ),
    (
        "cluster/dispatch-3.toml",
        include_str!("../../../deploy/cluster/dispatch-3.toml"),
    ),
];

#[test]
fn deployed_settings_are_accepted() {
    for (path, text) in DEPLOYED {
        let name = Settings::parse(path, text).map(|settings| settings.name);
        let table: toml::Table = text.parse().expect(path);
        assert_eq!(name.ok().as_deref(), table["name"].as_str(), "{path}");
    }
}
