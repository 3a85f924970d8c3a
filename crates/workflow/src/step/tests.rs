use super::*;

#[test]
fn long_result_is_truncated_between_characters_with_a_note() {
    let long = "ä".repeat(MAX_RESULT_BYTES);
    let truncated = truncate(&long, MAX_RESULT_BYTES);
    assert!(
        truncated.len() <= MAX_RESULT_BYTES && truncated.ends_with("[cut, 8192 bytes in all]"),
        "{}",
        truncated.len()
    );
    assert_eq!(truncate("short", MAX_RESULT_BYTES), "short");
}
