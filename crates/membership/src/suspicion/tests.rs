use super::*;

#[test]
fn suspicion_messages_round_trip_and_suspects_are_bounded() {
    let start = Start {
        process: 1 << 50,
        rejoins: 300,
    };
    assert_eq!(decode(&encode(start, 65_000)), Ok((start, 65_000)));
    assert_eq!(decode(&[0; 11]), Err(RejectReason::Unreadable));
    let mut notifications = SuspectNotifications::default();
    let at = Duration::from_millis;
    (0..100).for_each(|n| notifications.begin(at(10), NameKey(n)));
    assert_eq!(notifications.take_due(at(10)).len(), MAX_NOTIFIED);
    assert!(notifications.take_due(at(100)).is_empty());
    assert_eq!(notifications.next(), Some(at(160)));
    notifications.end(NameKey(0));
    assert_eq!(notifications.take_due(at(160)).len(), MAX_NOTIFIED - 1);
}
