use super::*;

#[test]
fn response_id_is_parsed_only_by_its_own_run() {
    let response_ids = ResponseIds::new("d1", 7);
    let id = response_ids.response_id(9);
    assert_eq!(response_ids.parse_response_id(&id), Some(9));
    assert_eq!(ResponseIds::new("d1", 8).parse_response_id(&id), None);
    assert_eq!(ResponseIds::new("d2", 7).parse_response_id(&id), None);
    let tag = |n| response_ids.response_id(n)[29..].to_string();
    assert_eq!(tag(9).len(), 32);
    let forged = id.replace("00000009", "0000000a");
    assert_ne!(forged, id);
    for invalid in [
        "resp_",
        "resp_\u{e9}",
        &forged,
        &id[..29],
        &id.to_uppercase(),
        &format!("{id}0"),
    ] {
        assert_eq!(response_ids.parse_response_id(invalid), None, "{invalid}");
    }
}
