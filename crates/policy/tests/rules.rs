//! The five rules that the service must keep, checked with a single router: one final answer for
//! each request, no repeated execution of a request that is not idempotent, no new requests to
//! draining or removed servers, slow start, and the release of KV cache state within the hold
//! limit.
mod common;
use bitternlatch_policy::interface::*;
use common::*;

#[test]
fn overdue_request_fails_once_before_its_deadline() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    let done = harness.advance(6.1);
    assert_eq!(final_answers(&done, 1), 1);
    assert_eq!(final_answers(&harness.log, 1), 1);
}

#[test]
fn nothing_is_sent_after_the_client_disconnects() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    harness.handle(Event::ClientDisconnected { request: 1 });
    let after = harness.end_attempt(1, Outcome::Error, 0.1, 0.0);
    assert!(!after
        .iter()
        .any(|a| matches!(a, Action::Send { .. } | Action::Reject { .. })));
}

#[test]
fn prefill_that_ends_after_the_client_disconnects_is_released() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    harness.handle(Event::ClientDisconnected { request: 1 });
    assert!(released(
        &harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0),
        1
    ));
}

#[test]
fn non_idempotent_answer_that_may_have_run_is_not_retried() {
    let mut harness = RouterHarness::new(settings(Effect::NonIdempotent));
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    let after = harness.end_attempt(1, Outcome::Error, 0.1, 0.0);
    assert!(failed(&after, 1) && released(&after, 1));
    assert_eq!(harness.sends.len(), 2);
}

#[test]
fn non_idempotent_prefill_that_failed_is_retried_elsewhere() {
    let mut harness = RouterHarness::new(settings(Effect::NonIdempotent));
    harness.arrive(new_request(1));
    let first = harness.last_send().1;
    harness.end_attempt(1, Outcome::Error, 0.1, 0.0);
    assert_eq!(harness.sends.len(), 2);
    assert_ne!(harness.last_send().1, first);
}

/// A prefill without an answer may still have completed: the answer may have been in transit when
/// the attempt was cancelled, or may have been lost, or the prefill may continue however soon its
/// connection broke.
#[test]
fn non_idempotent_prefill_without_an_answer_is_not_retried() {
    for outcome in [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        for after_s in [0.0, 0.002, 0.01, 0.04, 0.5, 3.0] {
            let mut harness = RouterHarness::new(Settings {
                lost_prefill_may_have_run: true,
                ..settings(Effect::NonIdempotent)
            });
            harness.arrive(new_request(1));
            harness.advance(after_s);
            let after = harness.end_attempt(1, outcome, after_s, 0.0);
            let case = format!("{outcome:?} after {after_s}");
            assert!(
                failed(&after, 1),
                "{case}: not rejected either, as a rejection invites a retry"
            );
            assert_eq!(harness.sends.len(), 1, "{case}");
        }
    }
}

/// A connection reset during decoding doesn't show whether the request ran, as the decode server
/// may have executed what it had begun.
#[test]
fn non_idempotent_answer_is_not_retried_after_reset() {
    let mut harness = RouterHarness::new(Settings {
        lost_prefill_may_have_run: true,
        ..settings(Effect::NonIdempotent)
    });
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    assert!(failed(&harness.end_attempt(1, Outcome::Reset, 0.0, 0.0), 1));
    assert_eq!(harness.sends.len(), 2);
}

/// If a prefill surely ends with its connection (`lost_prefill_may_have_run` is off), it may be
/// retried after any failure.
#[test]
fn non_idempotent_prefill_that_ends_with_its_connection_is_retried_after_any_failure() {
    for outcome in [
        Outcome::Reset,
        Outcome::TimedOut,
        Outcome::Cancelled,
        Outcome::Error,
    ] {
        let mut harness = RouterHarness::new(settings(Effect::NonIdempotent));
        harness.arrive(new_request(1));
        harness.end_attempt(1, outcome, 0.5, 0.0);
        assert_eq!(harness.sends.len(), 2, "{outcome:?}");
    }
}

#[test]
fn silent_non_idempotent_prefill_is_not_cancelled() {
    for may_cancel in [true, false] {
        let mut adjusted = Settings {
            lost_prefill_may_have_run: true,
            ..settings(Effect::NonIdempotent)
        };
        adjusted.limits.may_cancel = may_cancel;
        let mut harness = RouterHarness::new(adjusted);
        harness.arrive(new_request(1));
        assert_eq!(
            harness.sends[0].2, 0.0,
            "no timeout other than the client's deadline"
        );
        harness.advance(4.0);
        assert!(!harness
            .log
            .iter()
            .any(|a| matches!(a, Action::Cancel { .. })));
        harness.end_attempt(1, Outcome::PrefillDone, 4.0, 0.0);
        assert!(harness.sends.len() == 2 && harness.last_send().1 > 10);
    }
}

#[test]
fn keyed_prefill_without_an_answer_counts_in_the_retry_window() {
    let effect = Effect::IdempotencyKey {
        scope: KeyScope::All,
        window_s: 0.5,
    };
    let mut harness = RouterHarness::new(Settings {
        lost_prefill_may_have_run: true,
        ..settings(effect)
    });
    harness.arrive(new_request(1));
    harness.now += 0.46;
    let after = harness.end_attempt(1, Outcome::Reset, 0.46, 0.0);
    assert_eq!(harness.sends.len(), 1, "{after:?}");
}

/// A retry must arrive within the deduplication window, and the connection for it may delay it by
/// up to the connect timeout.
#[test]
fn keyed_retry_is_sent_only_where_it_arrives_within_the_window() {
    for (window_s, connect_timeout_s, after_s, retried) in [
        (5.0, 0.25, 4.4, true),
        (5.0, 0.25, 4.6, false),
        (1.0, 0.25, 0.7, true),
        (1.0, 0.25, 0.74, false),
        (1.0, 0.25, 0.85, false),
        (1.0, 0.0, 0.85, true),
        (0.25, 0.25, 0.0, false),
    ] {
        let mut adjusted = settings(Effect::IdempotencyKey {
            scope: KeyScope::All,
            window_s,
        });
        (
            adjusted.limits.connect_timeout_s,
            adjusted.lost_prefill_may_have_run,
        ) = (connect_timeout_s, true);
        let mut harness = RouterHarness::new(adjusted);
        harness.arrive(new_request(1));
        harness.end_attempt(1, Outcome::PrefillDone, 0.0, 0.0);
        harness.now += after_s;
        harness.end_attempt(1, Outcome::Reset, after_s, 0.0);
        let case = format!("{window_s} s, {connect_timeout_s} s to connect, after {after_s} s");
        assert_eq!(harness.sends.len(), if retried { 3 } else { 2 }, "{case}");
    }
}

#[test]
fn non_idempotent_answer_is_never_timed_out_by_the_router() {
    let mut harness = RouterHarness::new(settings(Effect::NonIdempotent));
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(harness.sends[1].2, 0.0);
}

#[test]
fn keyed_request_that_may_have_run_stays_in_its_cell() {
    let effect = Effect::IdempotencyKey {
        scope: KeyScope::Cell,
        window_s: 5.0,
    };
    let mut harness = RouterHarness::new(settings(effect));
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    let cell = u16::from(harness.last_send().1 == 12);
    harness.end_attempt(1, Outcome::Error, 0.1, 0.0);
    for &(_, server, _) in &harness.sends[2..] {
        assert_eq!(u16::from(server == 12 || server == 2), cell);
    }
    harness.advance(1.0);
    assert!(!harness
        .log
        .iter()
        .any(|a| matches!(a, Action::Reject { .. })));
}

#[test]
fn draining_server_gets_nothing_new() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.update_server(ServerEntry {
        status: ServerStatus::Draining,
        ..server(1, 0, 0)
    });
    for id in 1..20 {
        harness.serve(new_request(id), 0.0);
    }
    assert!(harness.sends.iter().all(|s| s.1 != 1));
}

#[test]
fn server_missing_from_a_full_list_gets_nothing_new() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let entries = vec![server(2, 0, 1), server(11, 1, 0), server(12, 1, 1)];
    harness.handle(Event::Servers {
        form: ListForm::Full,
        entries,
    });
    for id in 1..20 {
        harness.serve(new_request(id), 0.0);
    }
    assert!(harness.sends.iter().all(|s| s.1 != 1));
}

#[test]
fn warming_server_gets_few_attempts_a_window_under_any_demand() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    for id in 1..60 {
        harness.serve(
            Request {
                prefix: 0,
                ..new_request(id)
            },
            0.0,
        );
    }
    harness.update_server(ServerEntry {
        booted_at: harness.now,
        ..server(1, 0, 0)
    });
    let before = harness.sends.len();
    for id in 60..120 {
        harness.serve(
            Request {
                prefix: 0,
                ..new_request(id)
            },
            0.0,
        );
        harness.advance(0.02);
    }
    let (warming, warm) = harness.sends[before..]
        .iter()
        .fold((0, 0), |n, s| match s.1 {
            1 => (n.0 + 1, n.1),
            2 => (n.0, n.1 + 1),
            _ => n,
        });
    assert!(
        warm > 30 && warming * 2 < warm,
        "{warming} attempts at the warming server, {warm} at the warm one"
    );
}

#[test]
fn kv_state_that_no_decode_server_takes_is_released_within_the_limit() {
    let mut harness =
        RouterHarness::with_fleet(settings(Effect::Idempotent), vec![server(1, 0, 0)]);
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    let after = harness.advance(0.9);
    assert!(released(&after, 1) && rejected(&after, 1));
}

/// The hold limit counts from the end of the prefill, however many connections to decode servers
/// fail.
#[test]
fn kv_state_is_released_within_the_limit_while_decode_connects_fail() {
    for (hold_limit_s, connect_fails_after_s, decode_attempts) in [
        (0.5, 0.25, 2),
        (0.5, 0.251, 2),
        (0.5, 0.1, 3),
        (1.0, 0.4, 2),
        (0.2, 0.25, 1),
        (0.5, 0.002, 3),
    ] {
        for effect in [Effect::Idempotent, Effect::NonIdempotent] {
            let decode_servers = (11..20).map(|id| server(id, 1, 0));
            let fleet = std::iter::once(server(1, 0, 0))
                .chain(decode_servers)
                .collect();
            let mut harness = RouterHarness::with_fleet(
                Settings {
                    kv_hold_limit_s: hold_limit_s,
                    ..settings(effect)
                },
                fleet,
            );
            harness.arrive(new_request(1));
            harness.advance(0.1);
            harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
            let held_since = harness.now;
            let max_held_s =
                hold_limit_s.max(connect_fails_after_s) + 3.0 * settings(effect).tick_s;
            let case = format!(
                "limit {hold_limit_s} s, fails after {connect_fails_after_s} s, {effect:?}"
            );
            while !released(&harness.log, 1) {
                harness.advance(connect_fails_after_s);
                assert!(harness.now - held_since <= max_held_s, "{case}");
                harness.end_attempt(1, Outcome::ConnectFailed, connect_fails_after_s, 0.0);
            }
            assert!(rejected(&harness.log, 1), "{case}: nothing ran");
            assert_eq!(harness.sends.len(), 1 + decode_attempts, "{case}");
        }
    }
}

#[test]
fn empty_endpoint_list_rejects_with_retry_after() {
    let mut harness = RouterHarness::with_fleet(settings(Effect::Idempotent), vec![]);
    let out = harness.arrive(new_request(1));
    assert!(out
        .iter()
        .any(|a| matches!(a, Action::Reject { retry_after_s, .. } if *retry_after_s > 0.0)));
}

#[test]
fn attempt_not_sent_ends_the_request_with_one_answer() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::NotSent, 0.0, 0.0);
    harness.advance(7.0);
    assert_eq!(final_answers(&harness.log, 1), 1);
}

#[test]
fn timeout_at_the_deadline_gets_the_final_answer() {
    let mut harness = RouterHarness::new(settings(Effect::NonIdempotent));
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    harness.now += 6.0;
    let out = harness.end_attempt(1, Outcome::TimedOut, 5.9, 0.0);
    assert!(failed(&out, 1) && released(&out, 1));
}

#[test]
fn non_idempotent_answer_that_never_connected_goes_to_the_next_decode_server() {
    let mut harness = RouterHarness::new(settings(Effect::NonIdempotent));
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    let first = harness.last_send().1;
    harness.end_attempt(1, Outcome::ConnectFailed, 0.25, 0.0);
    assert!(
        harness.sends.len() == 3 && harness.last_send().1 > 10 && harness.last_send().1 != first
    );
}
