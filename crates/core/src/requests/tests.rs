use super::*;

#[test]
fn ids_are_read_back_by_their_own_instance_alone() {
    let id = wire_id(7, 9, 3);
    assert_eq!(read_wire_id(7, &id), Some((9, 3)));
    assert_eq!(read_wire_id(8, &id), None);
    for bad in [
        "",
        "-",
        "7-1",
        "00000000000000070000000z-1",
        "é000000000000007-1",
        &format!("{id}x"),
    ] {
        assert_eq!(read_wire_id(7, bad), None, "{bad}");
    }
}
