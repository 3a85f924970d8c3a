//! The decision module stays short enough to print.
const MODULE: &str = include_str!("../src/choice.rs");

#[test]
fn the_module_holds_850_lines_at_most() {
    assert!(MODULE.lines().filter(|l| !l.trim().is_empty()).count() <= 850);
}

#[test]
fn its_lines_hold_110_characters_at_most() {
    assert!(MODULE.lines().all(|l| l.chars().count() <= 110));
}
