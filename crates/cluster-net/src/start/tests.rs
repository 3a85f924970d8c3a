use super::*;

#[test]
fn each_start_of_one_folder_is_later_though_the_clock_is_behind() {
    let dir = std::env::temp_dir().join(format!("bitternlatch-start-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("d1.start");
    let first = number(Some(&path)).expect("a number");
    assert!(number(Some(&path)).expect("a number") > first);
    let ahead = u64::MAX / 2;
    std::fs::write(&path, ahead.to_string()).expect("a file");
    assert_eq!(number(Some(&path)).ok(), Some(ahead + 1));
    raise(&path, ahead).expect("kept");
    assert_eq!(
        number(Some(&path)).ok(),
        Some(ahead + 2),
        "an earlier one lowers nothing"
    );
    raise(&path, ahead + 9).expect("kept");
    assert_eq!(number(Some(&path)).ok(), Some(ahead + 10));
    std::fs::write(&path, "x7").expect("a file");
    assert!(
        number(Some(&path)).is_err_and(|e| matches!(e, ClusterNetError::InvalidStartNumber { .. }))
    );
    std::fs::remove_dir_all(&dir).expect("removed");
}
