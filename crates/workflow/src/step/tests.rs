use super::*;

#[test]
fn long_result_is_truncated_between_characters_with_a_note() {
    let long = "ä".repeat(MAX_RESULT_BYTES);
    let kept = truncate(&long, MAX_RESULT_BYTES);
    assert!(
        kept.len() <= MAX_RESULT_BYTES && kept.ends_with("[cut, 8192 bytes in all]"),
        "{}",
        kept.len()
    );
    assert_eq!(truncate("short", MAX_RESULT_BYTES), "short");
}
