use super::*;

#[test]
fn both_sides_of_a_partition_are_never_a_majority() {
    for roster in 2..=300 {
        for present in 1..roster {
            let (one, other) = (
                QuorumState::of(present, roster),
                QuorumState::of(roster - present, roster),
            );
            assert!(
                one < QuorumState::Majority || other < QuorumState::Majority,
                "{present} of {roster}"
            );
        }
    }
    assert_eq!(QuorumState::of(1, 1), QuorumState::Whole);
    assert_eq!(QuorumState::of(1, 2), QuorumState::Alone);
}

#[test]
fn only_a_majority_admits_requests_with_effects() {
    for standing in [
        QuorumState::Alone,
        QuorumState::CutOff,
        QuorumState::Majority,
        QuorumState::Whole,
    ] {
        assert!(AdmissionMode::of(standing, true, EffectClass::Idempotent).admits);
        // An isolated dispatcher without model servers still admits: no peer can do better, and a server may connect in
        // time.
        assert_eq!(
            AdmissionMode::of(standing, false, EffectClass::Idempotent).admits,
            standing == QuorumState::Alone
        );
        assert!(
            !AdmissionMode::of(standing, false, EffectClass::NonIdempotent).admits
                && !AdmissionMode::of(standing, false, EffectClass::Idempotent).ready
        );
        let knows = standing >= QuorumState::Majority;
        for work in [EffectClass::IdempotencyKey, EffectClass::NonIdempotent] {
            assert_eq!(AdmissionMode::of(standing, true, work).admits, knows);
            assert_eq!(
                AdmissionMode::of(standing, true, work).quota == QuotaFraction::Leased,
                knows
            );
        }
    }
}
