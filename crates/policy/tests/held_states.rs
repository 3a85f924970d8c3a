//! What prefill servers may hold for a request is released within the pin limit, whatever is out.
mod common;

use bitternlatch_policy::interface::*;
use common::*;

const LIMIT_S: f64 = 1.0;
/// The module releases before the limit, so that the release arrives by then.
const RELEASED_BY_S: f64 = 0.92;

fn releases(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Release { .. }))
        .count()
}

/// A request whose prefill has ended and whose hand-over is out; patient, so that nothing is called
/// back.
fn handed_over(effect: Effect, may_cancel: bool) -> RouterHarness {
    let mut set = Settings {
        kv_hold_limit_s: LIMIT_S,
        lost_prefill_may_have_run: true,
        ..settings(effect)
    };
    set.classes[0].ttft_objective_s = 300.0;
    set.limits.may_cancel = may_cancel;
    let mut harness = RouterHarness::new(set);
    harness.arrive(new_request(1));
    harness.pass(0.05);
    harness.end(1, Outcome::PrefillDone, 0.05, 0.0);
    assert!(
        harness.sends.len() == 2 && harness.last().1 > 10,
        "handed over"
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
            for client_gone in [true, false] {
                let case = format!("{effect:?} cancel {may_cancel} gone {client_gone}");
                let mut harness = handed_over(effect, may_cancel);
                if client_gone {
                    harness.handle(Event::ClientDisconnected { request: 1 });
                }
                assert_eq!(
                    releases(&harness.pass(0.85)),
                    0,
                    "{case}: not while it may well arrive"
                );
                assert_eq!(releases(&harness.pass(RELEASED_BY_S - 0.85)), 1, "{case}");
                assert_eq!(releases(&harness.pass(3.0)), 0, "{case}: once");
            }
        }
    }
}

/// What an attempt's end tells of a state that was released while it was out, and of one that was not.
#[test]
fn end_after_the_release_decides_whether_a_kv_state_may_be_held() {
    let ends = [
        (
            Outcome::Rejected {
                state_missing: true,
            },
            false,
        ),
        (Outcome::Served, false),
        // On its way it may count as waiting for the state.
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
            let mut harness = handed_over(effect, true);
            assert_eq!(releases(&harness.pass(RELEASED_BY_S)), 1, "{case}");
            let before = harness.sends.len();
            let mut after = harness.end(1, outcome, RELEASED_BY_S, 0.0);
            let again = harness.sends.len() > before;
            assert!(
                !again || harness.last().1 < 10,
                "{case}: a further attempt begins with its prefill"
            );
            // The further prefill does not arrive either.
            after.extend(harness.pass(RELEASED_BY_S));
            assert_eq!(releases(&after), usize::from(held_again), "{case}");
        }
    }
}

/// Where cancelling stops nothing that waits, a hand-over that was given up goes on waiting for the
/// state, and a release lets go of nothing until that has ended: it is made again while the request
/// lives, and with its end.
#[test]
fn kv_state_is_released_again_while_a_cancelled_transfer_may_wait_for_it() {
    for outcome in [Outcome::Cancelled, Outcome::TimedOut, Outcome::Reset] {
        let mut harness = handed_over(Effect::Idempotent, true);
        harness.pass(RELEASED_BY_S);
        harness.end(1, outcome, RELEASED_BY_S, 0.0);
        assert!(harness.last().1 < 10, "{outcome:?}: read again");
        let again = harness.pass(2.0 * RELEASED_BY_S);
        assert_eq!(
            releases(&again),
            2,
            "{outcome:?}: for as long as it may be waited for"
        );
        let before = harness.log.len();
        harness.handle(Event::ClientDisconnected { request: 1 });
        harness.end(1, Outcome::Error, 2.0, 0.0);
        assert_eq!(
            releases(&harness.log[before..]),
            1,
            "{outcome:?}: with the end"
        );
    }
}

/// An answer shows that the hand-over had arrived: until then the state was waited for.
#[test]
fn rejected_transfer_restarts_the_hold_clock() {
    let mut harness = handed_over(Effect::Idempotent, true);
    harness.pass(0.3);
    harness.end(
        1,
        Outcome::Rejected {
            state_missing: false,
        },
        0.3,
        0.0,
    );
    assert!(harness.last().1 > 10, "handed over elsewhere");
    assert_eq!(releases(&harness.pass(0.85)), 0);
    assert_eq!(releases(&harness.pass(RELEASED_BY_S - 0.85)), 1);
}

/// One that broke may never have arrived: the time runs on.
#[test]
fn broken_transfer_does_not_stop_the_hold_clock() {
    let mut harness = handed_over(Effect::Idempotent, true);
    harness.pass(0.3);
    harness.end(1, Outcome::Reset, 0.3, 0.0);
    assert!(
        harness.sends.len() == 3 && harness.last().1 > 10,
        "handed over elsewhere"
    );
    assert_eq!(releases(&harness.pass(RELEASED_BY_S - 0.3)), 1);
}

#[test]
fn what_a_prefill_without_an_answer_may_have_left_is_released_before_the_limit_or_with_the_answer()
{
    for outcome in [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        for served in [true, false] {
            let case = format!("{outcome:?} served {served}");
            let set = settings(Effect::Idempotent);
            let mut harness = RouterHarness::new(Settings {
                kv_hold_limit_s: LIMIT_S,
                lost_prefill_may_have_run: true,
                ..set
            });
            harness.arrive(new_request(1));
            harness.end(1, outcome, 0.0, 0.0);
            assert_eq!(harness.sends.len(), 2, "{case}: read elsewhere");
            if served {
                harness.end(1, Outcome::PrefillDone, 0.0, 0.0);
                harness.stream(1);
                assert_eq!(
                    releases(&harness.pass(RELEASED_BY_S)),
                    0,
                    "{case}: it begins, so nothing waits"
                );
                assert_eq!(
                    releases(&harness.end(1, Outcome::Served, 1.0, 0.0)),
                    1,
                    "{case}"
                );
            } else {
                assert_eq!(releases(&harness.pass(RELEASED_BY_S)), 1, "{case}");
            }
        }
    }
}
