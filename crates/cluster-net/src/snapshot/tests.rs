use super::*;

#[test]
fn a_snapshot_is_read_back_in_full_and_a_damaged_one_is_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("snapshot");
    let mut store = SnapshotStore::new(path.clone());
    assert_eq!(store.load(), Ok(vec![]));
    let put = |name: &[u8], bytes: Option<&[u8]>| (name.to_vec(), bytes.map(<[u8]>::to_vec));
    store
        .put(vec![put(b"a", Some(b"one")), put(b"b", Some(b""))])
        .unwrap();
    store
        .put(vec![
            put(b"a", Some(b"two")),
            put(b"c", Some(b"three")),
            put(b"c", None),
        ])
        .unwrap();
    let expected: StoredEntries = vec![(b"b".to_vec(), vec![]), (b"a".to_vec(), b"two".to_vec())];
    assert_eq!(SnapshotStore::new(path.clone()).load(), Ok(expected));
    let file = std::fs::read(&path).unwrap();
    for length in 0..file.len() {
        std::fs::write(&path, &file[..length]).unwrap();
        assert!(
            matches!(
                SnapshotStore::new(path.clone()).load(),
                Err(StorageError::Io(_))
            ),
            "{length}"
        );
    }
    for at in 0..file.len() {
        let mut damaged = file.clone();
        damaged[at] ^= 4;
        std::fs::write(&path, &damaged).unwrap();
        assert!(SnapshotStore::new(path.clone()).load().is_err(), "{at}");
    }
    // A write replaces a damaged snapshot.
    store.put(vec![]).unwrap();
    assert!(SnapshotStore::new(path.clone()).load().is_ok());
    assert!(SnapshotStore::new(dir.path().join("no/folder"))
        .put(vec![])
        .is_err());
}
