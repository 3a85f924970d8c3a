//! Tests that lists written for an earlier version are read unchanged, in both formats and as JSON.

use bitternlatch_inventory::LastValidList;

const CSV: &str = include_str!("fixtures/last_good.csv");
const YAML: &str = include_str!("fixtures/last_good.yaml");
/// The list as it is stored in the records of a dispatcher.
const JSON: &str = include_str!("fixtures/last_good.json");

#[test]
fn stored_list_is_read_back_field_by_field() {
    let expected: serde_json::Value = serde_json::from_str(JSON).expect("JSON");
    for (file, text) in [("hosts.csv", CSV), ("hosts.yaml", YAML)] {
        let mut list = LastValidList::default();
        list.update(file, text);
        assert!(!list.is_invalid());
        let read = serde_json::to_value(list.servers()).expect("JSON");
        assert_eq!(read, expected, "{file}");
    }
}

#[test]
fn stored_json_is_unchanged_after_a_round_trip() {
    let servers: bitternlatch_inventory::ServerSet = serde_json::from_str(JSON).expect("a list");
    let written = serde_json::to_string_pretty(&servers).expect("JSON");
    assert_eq!(written, JSON.trim_end());
    let decode = &servers["decode-1.example.org"];
    assert_eq!(decode.endpoint(), "[fd00::7]:9002");
    assert_eq!(decode.id(), 3_870_502_576);
}
