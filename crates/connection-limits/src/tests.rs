use super::*;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, n])
}

#[test]
fn crowded_address_evicts_its_own_oldest() {
    let mut room = Handshakes::new(4);
    let (quiet, _) = room.enter(ip(1));
    let crowd: Vec<Visitor> = (0..3).map(|_| room.enter(ip(2)).0).collect();
    for oldest in &crowd {
        assert_eq!(room.enter(ip(2)).1, Some(*oldest));
    }
    assert_eq!(
        room.enter(ip(3)).1.map(|v| v > crowd[2]),
        Some(true),
        "the crowd's own again"
    );
    assert!(room.leave(quiet), "the quiet one was left alone");
    assert!(!room.leave(crowd[0]), "one that was sent away has left");
    assert_eq!((room.len(), room.sent_away()), (3, 4));
}

#[test]
fn nothing_is_evicted_below_capacity() {
    let mut room = Handshakes::new(100);
    for i in 0..1000u64 {
        let (_, gone) = room.enter(ip((i % 7) as u8));
        assert_eq!(gone.is_some(), i >= 100, "{i}");
        assert!(room.len() <= 100 && room.by_address.values().sum::<usize>() == room.len());
    }
}
