//! KV cache state that prefill servers may hold for a request is released within the hold limit,
//! whatever is in flight.
mod common;

use bitternlatch_policy::interface::*;
use common::*;

/// Hold limit of KV cache state in these tests, seconds.
const LIMIT_S: f64 = 1.0;
/// Time after which the router must have released a state, seconds; it is less than the limit, so
/// that the release arrives in time.
const RELEASED_BY_S: f64 = 0.92;

/// Counts the releases among the actions.
fn releases(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Release { .. }))
        .count()
}

/// Returns a router with one request whose prefill has ended and whose KV transfer is in flight.
/// The long latency objective keeps the router from cancelling the transfer as silent.
fn during_transfer(effect: Effect, may_cancel: bool) -> RouterHarness {
    let mut adjusted = Settings {
        kv_hold_limit_s: LIMIT_S,
        lost_prefill_may_have_run: true,
        ..settings(effect)
    };
    adjusted.classes[0].ttft_objective_s = 300.0;
    adjusted.limits.may_cancel = may_cancel;
    let mut harness = RouterHarness::new(adjusted);
    harness.arrive(new_request(1));
    harness.advance(0.05);
    harness.end_attempt(1, Outcome::PrefillDone, 0.05, 0.0);
    assert!(
        harness.sends.len() == 2 && harness.last_send().1 > 10,
        "KV transfer sent"
    );
    harness
}

const KEYED: Effect = Effect::IdempotencyKey {
    scope: KeyScope::All,
    window_s: 5.0,
};
const EFFECTS: [Effect; 3] = [Effect::Idempotent, KEYED, Effect::NonIdempotent];

#[test]
fn kv_state_is_released_once_before_the_limit_during_its_transfer() {
    for effect in EFFECTS {
        for may_cancel in [true, false] {
            for disconnected in [true, false] {
                let case = format!("{effect:?} cancel {may_cancel} disconnected {disconnected}");
                let mut harness = during_transfer(effect, may_cancel);
                if disconnected {
                    harness.handle(Event::ClientDisconnected { request: 1 });
                }
                assert_eq!(
                    releases(&harness.advance(0.85)),
                    0,
                    "{case}: not while the transfer may still arrive"
                );
                assert_eq!(
                    releases(&harness.advance(RELEASED_BY_S - 0.85)),
                    1,
                    "{case}"
                );
                assert_eq!(releases(&harness.advance(3.0)), 0, "{case}: once");
            }
        }
    }
}

/// After a release during a KV transfer, the end of the transfer shows whether a state may still be
/// held; if so, it is released again.
#[test]
fn end_after_the_release_decides_whether_a_kv_state_may_be_held() {
    let ends = [
        (Outcome::Served, false),
        // The decode server may not reach the prefill server, which then still holds the state.
        (
            Outcome::Rejected {
                state_missing: true,
            },
            true,
        ),
        // A transfer in transit may already count as waiting for the state.
        (Outcome::ConnectFailed, true),
        (
            Outcome::Rejected {
                state_missing: false,
            },
            true,
        ),
        (Outcome::Error, true),
        (Outcome::Reset, true),
        (Outcome::Cancelled, true),
    ];
    for effect in EFFECTS {
        for (outcome, held_again) in ends {
            let case = format!("{effect:?} {outcome:?}");
            let mut harness = during_transfer(effect, true);
            assert_eq!(releases(&harness.advance(RELEASED_BY_S)), 1, "{case}");
            let before = harness.sends.len();
            let mut after = harness.end_attempt(1, outcome, RELEASED_BY_S, 0.0);
            let again = harness.sends.len() > before;
            assert!(
                !again || harness.last_send().1 < 10,
                "{case}: a further attempt starts with a new prefill"
            );
            // The second prefill gets no answer either.
            after.extend(harness.advance(RELEASED_BY_S));
            assert_eq!(releases(&after), usize::from(held_again), "{case}");
        }
    }
}

/// A cancelled KV transfer may go on waiting for the state at servers where cancelling doesn't stop
/// it, and a release frees nothing until that wait has ended. The release is therefore repeated
/// while the request lives, and once more when it ends.
#[test]
fn kv_state_is_released_again_while_a_cancelled_transfer_may_wait_for_it() {
    for outcome in [Outcome::Cancelled, Outcome::TimedOut, Outcome::Reset] {
        let mut harness = during_transfer(Effect::Idempotent, true);
        harness.advance(RELEASED_BY_S);
        harness.end_attempt(1, outcome, RELEASED_BY_S, 0.0);
        assert!(harness.last_send().1 < 10, "{outcome:?}: prefilled again");
        let again = harness.advance(2.0 * RELEASED_BY_S);
        assert_eq!(
            releases(&again),
            2,
            "{outcome:?}: repeated while the transfer may wait"
        );
        let before = harness.log.len();
        harness.handle(Event::ClientDisconnected { request: 1 });
        harness.end_attempt(1, Outcome::Error, 2.0, 0.0);
        assert_eq!(
            releases(&harness.log[before..]),
            1,
            "{outcome:?}: once more at the end of the request"
        );
    }
}

/// A rejection shows that the KV transfer had arrived, so that until then a decode server was
/// waiting for the state. The hold time starts again from the rejection.
#[test]
fn rejected_transfer_restarts_the_hold_clock() {
    let mut harness = during_transfer(Effect::Idempotent, true);
    harness.advance(0.3);
    harness.end_attempt(
        1,
        Outcome::Rejected {
            state_missing: false,
        },
        0.3,
        0.0,
    );
    assert!(
        harness.last_send().1 > 10,
        "transferred to another decode server"
    );
    assert_eq!(releases(&harness.advance(0.85)), 0);
    assert_eq!(releases(&harness.advance(RELEASED_BY_S - 0.85)), 1);
}

/// A KV transfer whose connection broke may never have arrived, so the hold time still counts from
/// the end of the prefill.
#[test]
fn broken_transfer_does_not_stop_the_hold_clock() {
    let mut harness = during_transfer(Effect::Idempotent, true);
    harness.advance(0.3);
    harness.end_attempt(1, Outcome::Reset, 0.3, 0.0);
    assert!(
        harness.sends.len() == 3 && harness.last_send().1 > 10,
        "transferred to another decode server"
    );
    assert_eq!(releases(&harness.advance(RELEASED_BY_S - 0.3)), 1);
}

#[test]
fn state_that_an_unanswered_prefill_may_have_left_is_released_by_the_limit_or_with_the_answer() {
    for outcome in [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        for served in [true, false] {
            let case = format!("{outcome:?} served {served}");
            let adjusted = settings(Effect::Idempotent);
            let mut harness = RouterHarness::new(Settings {
                kv_hold_limit_s: LIMIT_S,
                lost_prefill_may_have_run: true,
                ..adjusted
            });
            harness.arrive(new_request(1));
            harness.end_attempt(1, outcome, 0.0, 0.0);
            assert_eq!(harness.sends.len(), 2, "{case}: prefilled elsewhere");
            if served {
                harness.end_attempt(1, Outcome::PrefillDone, 0.0, 0.0);
                harness.start_stream(1);
                assert_eq!(
                    releases(&harness.advance(RELEASED_BY_S)),
                    0,
                    "{case}: the answer has begun, so no release is due"
                );
                assert_eq!(
                    releases(&harness.end_attempt(1, Outcome::Served, 1.0, 0.0)),
                    1,
                    "{case}"
                );
            } else {
                assert_eq!(releases(&harness.advance(RELEASED_BY_S)), 1, "{case}");
            }
        }
    }
}
