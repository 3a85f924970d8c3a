//! Unit tests of `choice/held_states.rs`.

use super::*;

const NOW: f64 = 1_000.0;
const LIMIT_S: f64 = 1.0;
/// Time until which servers are told that the router will wait.
const TOLD_UNTIL: f64 = NOW + 6.0;
const REPEAT: ReleaseRepeat = ReleaseRepeat {
    interval_s: 0.9,
    until: TOLD_UNTIL,
};
const NO_ANSWER: [Outcome; 3] = [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled];

fn end(outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        request: 1,
        attempt: 0,
        server: 7,
        outcome,
        elapsed_s: 0.1,
        finished: false,
        prefix_hit_tokens: 0.0,
        output_tokens: None,
        report: vec![],
    }
}

#[test]
fn prefill_leaves_a_state_that_is_released_before_the_limit() {
    let mut holds = KvHolds::default();
    holds.record_attempt_end(NOW, &end(Outcome::PrefillDone), true, TOLD_UNTIL);
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
    holds.record_attempt_end(NOW, &end(Outcome::Reset), true, TOLD_UNTIL);
    assert_eq!(holds.known_hold(), None);
    assert!(holds.needs_release());
    assert_eq!(holds.release_at(LIMIT_S), Some(NOW + 0.9));
}

#[test]
fn fetched_state_leaves_nothing_to_release() {
    let mut holds = KvHolds::default();
    holds.record_attempt_end(NOW, &end(Outcome::PrefillDone), true, TOLD_UNTIL);
    holds.record_attempt_end(NOW + 0.2, &end(Outcome::Served), false, TOLD_UNTIL);
    assert!(!holds.needs_release());
    assert_eq!(holds.release_at(LIMIT_S), None);
}

/// Guards against a state that stays at a prefill server which one decode server does not reach.
#[test]
fn state_that_one_decode_server_misses_is_released() {
    let state_missing = Outcome::Rejected {
        state_missing: true,
    };
    for released in [false, true] {
        for abandoned in [false, true] {
            let mut holds = KvHolds::default();
            if abandoned {
                holds.record_attempt_end(NOW, &end(Outcome::Cancelled), true, TOLD_UNTIL);
            }
            holds.record_attempt_end(NOW, &end(Outcome::PrefillDone), true, TOLD_UNTIL);
            if released {
                holds.record_release(NOW + 0.1);
            }
            holds.record_attempt_end(NOW + 0.2, &end(state_missing), false, TOLD_UNTIL);
            let case = format!("released {released} abandoned {abandoned}");
            assert_eq!(holds.known_hold(), None, "{case}: it is prefilled again");
            assert!(holds.needs_release(), "{case}");
            assert_eq!(holds.release_at(LIMIT_S), Some(NOW + 0.2 + 0.9), "{case}");
            let expected = abandoned.then_some(REPEAT);
            assert_eq!(holds.release_repeat(LIMIT_S), expected, "{case}");
        }
    }
}

/// Guards against a release that settles for good what an abandoned prefill may still leave.
#[test]
fn releases_repeat_until_an_abandoned_prefill_has_ended() {
    for outcome in NO_ANSWER {
        let mut holds = KvHolds::default();
        holds.record_attempt_end(NOW, &end(outcome), true, TOLD_UNTIL);
        for release in 1..=6 {
            let at = NOW + 0.9 * f64::from(release);
            let due = holds.release_at(LIMIT_S).expect("a release is due");
            assert!((due - at).abs() < 1e-6, "{outcome:?}: {due} for {at}");
            holds.record_release(due);
        }
        holds.record_release(TOLD_UNTIL);
        assert_eq!(holds.release_at(LIMIT_S), None, "{outcome:?}");
        assert_eq!(holds.release_repeat(LIMIT_S), Some(REPEAT), "{outcome:?}");
        assert!(holds.needs_release(), "{outcome:?}: once more at the end");
    }
}

/// The answer of one prefill says nothing of another one at another server.
#[test]
fn answer_from_another_server_does_not_end_the_repetition() {
    let mut holds = KvHolds::default();
    holds.record_attempt_end(NOW, &end(Outcome::Cancelled), true, TOLD_UNTIL);
    holds.record_attempt_end(NOW, &end(Outcome::TimedOut), true, NOW + 1.0);
    holds.record_attempt_end(NOW, &end(Outcome::PrefillDone), true, TOLD_UNTIL);
    holds.record_fetched();
    assert_eq!(holds.release_repeat(LIMIT_S), Some(REPEAT));
    assert!(holds.needs_release());
}

/// An abandoned KV transfer may keep the state from a release until it ends, unless another one has fetched the state.
#[test]
fn abandoned_transfer_of_a_state_repeats_its_release() {
    for outcome in NO_ANSWER {
        for fetched in [false, true] {
            let mut holds = KvHolds::default();
            holds.record_attempt_end(NOW, &end(Outcome::PrefillDone), true, TOLD_UNTIL);
            holds.record_attempt_end(NOW, &end(outcome), false, TOLD_UNTIL);
            if fetched {
                holds.record_fetched();
            }
            let expected = (!fetched).then_some(REPEAT);
            assert_eq!(holds.release_repeat(LIMIT_S), expected, "{outcome:?}");
            assert_eq!(holds.needs_release(), !fetched, "{outcome:?}");
        }
    }
}

/// Guards against releases without a pause where the settings hold no limit.
#[test]
fn releases_have_a_pause_without_a_limit() {
    let mut holds = KvHolds::default();
    holds.record_attempt_end(NOW, &end(Outcome::Cancelled), true, TOLD_UNTIL);
    holds.record_release(NOW);
    assert!(holds.release_at(0.0).is_some_and(|at| at >= NOW + 0.05));
    let repeat = holds.release_repeat(0.0).expect("a repetition");
    assert!(repeat.interval_s >= 0.05);
}
