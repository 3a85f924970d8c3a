use super::*;
use bitternlatch_membership::NameKey;

#[test]
fn capacity_is_bounded_and_only_tombstones_expire() {
    let (mut store, now) = (RegisterStore::default(), Duration::ZERO);
    let ballot = Ballot {
        round: 1,
        proposer: NameKey(1),
        start: 1,
    };
    let version = Version {
        epoch: 1,
        count: 1,
        writer: NameKey(1),
        start: 1,
    };
    let state = |body| State {
        version,
        replaces: None,
        body,
    };
    let key = |i: usize| RegisterKey((i as u128).to_le_bytes());
    for i in 0..MAX_REGISTERS {
        assert!(matches!(store.prepare(now, key(i), ballot), Ok(Ok(true))));
    }
    assert!(store.prepare(now, key(MAX_REGISTERS), ballot).is_err());
    let values_that_fit = MAX_STORED_BYTES / crate::MAX_VALUE_BYTES;
    for i in 0..values_that_fit {
        assert!(store
            .accept(
                now,
                key(i),
                ballot,
                &state(Some(vec![0; crate::MAX_VALUE_BYTES]))
            )
            .is_ok());
    }
    assert!(store
        .accept(
            now,
            key(values_that_fit),
            ballot,
            &state(Some(vec![0; crate::MAX_VALUE_BYTES]))
        )
        .is_err());
    assert!(matches!(
        store.accept(now, key(values_that_fit), ballot, &state(None)),
        Ok(Ok(true))
    ));
    assert_eq!(
        store.expire(TOMBSTONE_RETENTION).len(),
        MAX_REGISTERS - values_that_fit - 1
    );
    store.settle_tombstone(now, key(values_that_fit), version);
    store.settle_tombstone(now, key(0), version);
    assert_eq!(
        store.expire(TOMBSTONE_RETENTION),
        vec![key(values_that_fit)]
    );
    assert_eq!((store.len(), store.next_expiry()), (values_that_fit, None));
}
