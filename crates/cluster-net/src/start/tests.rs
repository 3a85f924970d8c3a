use super::*;

#[test]
fn start_numbers_increase_even_if_the_clock_is_behind() {
    let dir = std::env::temp_dir().join(format!("bitternlatch-start-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let path = dir.join("d1.start");
    let first = next_start_number(Some(&path)).expect("a number");
    assert!(next_start_number(Some(&path)).expect("a number") > first);
    let ahead = u64::MAX / 2;
    std::fs::write(&path, ahead.to_string()).expect("a file");
    assert_eq!(next_start_number(Some(&path)).ok(), Some(ahead + 1));
    store_if_later(&path, ahead).expect("stored");
    assert_eq!(
        next_start_number(Some(&path)).ok(),
        Some(ahead + 2),
        "an earlier number is not stored"
    );
    store_if_later(&path, ahead + 9).expect("stored");
    assert_eq!(next_start_number(Some(&path)).ok(), Some(ahead + 10));
    std::fs::write(&path, "x7").expect("a file");
    assert!(next_start_number(Some(&path))
        .is_err_and(|e| matches!(e, ClusterNetError::InvalidStartNumber { .. })));
    std::fs::remove_dir_all(&dir).expect("removed");
}
