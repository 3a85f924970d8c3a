//! Unit tests of `choice/retry_safety.rs`.

use super::*;

const SAFETY: RetrySafety = RetrySafety {
    connect_timeout_s: 0.25,
    lost_prefill_may_have_run: false,
};

#[test]
fn attempt_may_have_run_unless_its_outcome_rules_it_out() {
    let rejected = Outcome::Rejected {
        state_missing: false,
    };
    for outcome in [rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        assert_eq!(SAFETY.execution(outcome, false), Execution::NeverRan);
    }
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut] {
        assert_eq!(SAFETY.execution(outcome, false), Execution::MayHaveRun);
        assert_eq!(SAFETY.execution(outcome, true), Execution::NeverRan);
    }
    let strict = RetrySafety {
        lost_prefill_may_have_run: true,
        ..SAFETY
    };
    assert_eq!(strict.execution(Outcome::Error, true), Execution::NeverRan);
    assert_eq!(
        strict.execution(Outcome::Reset, true),
        Execution::MayHaveRun
    );
}

#[test]
fn keyed_retry_stays_in_its_scope_and_window() {
    let (scope, window_s) = (KeyScope::Cell, 4.0);
    let effect = Effect::IdempotencyKey { scope, window_s };
    let execution = PossibleExecution {
        server: 1,
        sent_at: 100.0,
    };
    let first = ServerEntry::default();
    let other_cell = ServerEntry {
        cell: 1,
        ..ServerEntry::default()
    };
    let allows =
        |next: &ServerEntry, now| SAFETY.allows_retry(effect, execution, Some(&first), next, now);
    assert!(allows(&first, 103.5));
    assert!(!allows(&first, 103.7), "it would arrive too late");
    assert!(!allows(&other_cell, 101.0));
    let unsafe_retry = SAFETY.allows_retry(Effect::NonIdempotent, execution, None, &first, 100.0);
    assert!(!unsafe_retry);
}
