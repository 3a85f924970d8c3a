use super::*;

#[test]
fn wire_id_is_parsed_only_by_its_own_instance() {
    let id = wire_id(7, 9, 3);
    assert_eq!(parse_wire_id(7, &id), Some((9, 3)));
    assert_eq!(parse_wire_id(8, &id), None);
    for invalid in [
        "",
        "-",
        "7-1",
        "00000000000000070000000z-1",
        "é000000000000007-1",
        &format!("{id}x"),
    ] {
        assert_eq!(parse_wire_id(7, invalid), None, "{invalid}");
    }
}
