use super::*;

fn signer(secret: &[u8], process: u64) -> Signer {
    Signer::new(Secret::new("hall", secret), NameKey::of("d1"), process)
}

#[test]
fn datagram_is_accepted_once_and_out_of_order_within_window() {
    let (mut from, to) = (signer(b"s", 7), signer(b"s", 1));
    let sent: Vec<Vec<u8>> = (0..100u8).map(|n| from.sign(Kind::Swim, &[n])).collect();
    let mut verifier = Verifier::default();
    let mut verify = |i: usize| {
        verifier
            .verify(&to, &sent[i])
            .map(|(_, payload)| payload.to_vec())
    };
    assert_eq!(verify(5), Ok(vec![5]));
    assert_eq!(verify(3), Ok(vec![3]));
    assert_eq!(verify(3), Err(RejectReason::Replay));
    assert_eq!(verify(5), Err(RejectReason::Replay));
    assert_eq!(verify(99), Ok(vec![99]));
    assert_eq!(verify(36), Ok(vec![36]));
    assert_eq!(
        verify(35),
        Err(RejectReason::Replay),
        "below the replay window"
    );
    assert_eq!(verify(98), Ok(vec![98]));
}

#[test]
fn earlier_start_is_rejected() {
    let (mut old, mut new, to) = (signer(b"s", 7), signer(b"s", 8), signer(b"s", 1));
    let mut verifier = Verifier::default();
    let (early, late) = (old.sign(Kind::Swim, b"a"), old.sign(Kind::Swim, b"b"));
    assert!(verifier.verify(&to, &early).is_ok());
    assert!(verifier.verify(&to, &new.sign(Kind::Swim, b"c")).is_ok());
    assert_eq!(
        verifier.verify(&to, &late),
        Err(RejectReason::OldStart(NameKey::of("d1"), 8))
    );
}

#[test]
fn forged_and_damaged_datagrams_are_rejected() {
    let to = signer(b"s", 1);
    let mut verifier = Verifier::default();
    assert_eq!(
        verifier.verify(&to, &signer(b"t", 7).sign(Kind::Swim, b"x")),
        Err(RejectReason::Tag)
    );
    let mut other = Signer::new(Secret::new("yard", b"s"), NameKey::of("d1"), 7);
    assert_eq!(
        verifier.verify(&to, &other.sign(Kind::Swim, b"x")),
        Err(RejectReason::Cluster)
    );
    assert_eq!(verifier.verify(&to, &[1; 20]), Err(RejectReason::Length));
    assert_eq!(verifier.verify(&to, &[1; 257]), Err(RejectReason::Length));
    let good = signer(b"s", 7).sign(Kind::Swim, b"hello");
    for bit in 0..good.len() * 8 {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(verifier.verify(&to, &bad).is_err(), "bit {bit}");
    }
    assert!(verifier.verify(&to, &good).is_ok());
}
