//! Unit tests of `choice/held_states.rs`.

use super::*;

const NOW: f64 = 1_000.0;
const LIMIT_S: f64 = 1.0;

fn end(outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        request: 1,
        attempt: 0,
        server: 7,
        outcome,
        elapsed_s: 0.1,
        finished: false,
        prefix_hit_tokens: 0.0,
        report: vec![],
    }
}

#[test]
fn prefill_leaves_a_state_that_is_released_before_the_limit() {
    let mut holds = KvHolds::default();
    holds.record_attempt_end(NOW, &end(Outcome::PrefillDone), true);
    let (server, since) = (7, NOW);
    assert_eq!(holds.known_hold(), Some(KnownKvHold { server, since }));
    assert_eq!(holds.release_at(LIMIT_S), Some(NOW + 0.9));
    assert!(holds.needs_release());
    holds.record_release(NOW + 0.9);
    assert!(holds.is_released() && !holds.needs_release());
    assert_eq!(holds.release_at(LIMIT_S), None);
}

#[test]
fn prefill_without_an_answer_may_leave_a_state() {
    let mut holds = KvHolds::default();
    holds.record_attempt_end(NOW, &end(Outcome::Reset), true);
    assert_eq!(holds.known_hold(), None);
    assert!(holds.needs_release());
    assert_eq!(holds.release_at(LIMIT_S), Some(NOW + 0.9));
}

#[test]
fn missing_or_fetched_state_leaves_nothing_to_release() {
    let state_missing = true;
    for outcome in [Outcome::Served, Outcome::Rejected { state_missing }] {
        let mut holds = KvHolds::default();
        holds.record_attempt_end(NOW, &end(Outcome::PrefillDone), true);
        holds.record_attempt_end(NOW + 0.2, &end(outcome), false);
        assert!(!holds.needs_release(), "{outcome:?}");
        assert_eq!(holds.release_at(LIMIT_S), None, "{outcome:?}");
    }
}
