use super::*;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, n])
}

#[test]
fn address_with_most_connections_evicts_its_own_oldest() {
    let mut handshakes = Handshakes::new(4);
    let single = handshakes.admit(ip(1)).admitted;
    let busiest: Vec<HandshakeId> = (0..3).map(|_| handshakes.admit(ip(2)).admitted).collect();
    for oldest in &busiest {
        assert_eq!(handshakes.admit(ip(2)).evicted, Some(*oldest));
    }
    assert_eq!(
        handshakes.admit(ip(3)).evicted.map(|id| id > busiest[2]),
        Some(true),
        "a connection of the busiest address is evicted again"
    );
    assert!(
        handshakes.remove(single),
        "the only connection of its address was evicted"
    );
    assert!(
        !handshakes.remove(busiest[0]),
        "an evicted connection is still pending"
    );
    assert_eq!((handshakes.len(), handshakes.evictions()), (3, 4));
}

#[test]
fn nothing_is_evicted_below_capacity() {
    let mut handshakes = Handshakes::new(100);
    for i in 0..1000u64 {
        let evicted = handshakes.admit(ip((i % 7) as u8)).evicted;
        assert_eq!(evicted.is_some(), i >= 100, "{i}");
        let by_address: usize = handshakes.by_address.values().sum();
        assert!(handshakes.len() <= 100 && by_address == handshakes.len());
    }
}
