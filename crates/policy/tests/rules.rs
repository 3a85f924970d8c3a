//! The five rules, each kept by one router alone.
mod common;
use bitternlatch_policy::interface::*;
use common::*;

#[test]
fn an_overdue_request_is_failed_once_before_its_deadline() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.arrive(ask(1));
    let done = desk.pass(6.1);
    assert_eq!(final_answers(&done, 1), 1);
    assert_eq!(final_answers(&desk.log, 1), 1);
}

#[test]
fn nothing_is_sent_after_the_client_has_gone() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.arrive(ask(1));
    desk.tell(Event::ClientDisconnected { request: 1 });
    let after = desk.end(1, Outcome::Error, 0.1, 0.0);
    assert!(!after
        .iter()
        .any(|a| matches!(a, Action::Send { .. } | Action::Reject { .. })));
}

#[test]
fn a_read_that_ends_after_the_client_has_gone_is_released() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.arrive(ask(1));
    desk.tell(Event::ClientDisconnected { request: 1 });
    assert!(released(&desk.end(1, Outcome::PrefillDone, 0.1, 0.0), 1));
}

#[test]
fn an_unsafe_answer_that_may_have_run_fails_and_is_not_repeated() {
    let mut desk = Desk::new(settings(Effect::NonIdempotent));
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    let after = desk.end(1, Outcome::Error, 0.1, 0.0);
    assert!(failed(&after, 1) && released(&after, 1));
    assert_eq!(desk.sends.len(), 2);
}

#[test]
fn an_unsafe_read_that_failed_is_read_elsewhere() {
    let mut desk = Desk::new(settings(Effect::NonIdempotent));
    desk.arrive(ask(1));
    let first = desk.last().1;
    desk.end(1, Outcome::Error, 0.1, 0.0);
    assert_eq!(desk.sends.len(), 2);
    assert_ne!(desk.last().1, first);
}

/// Its answer may have been on its way when it was given up, or have got lost; or the read goes on unseen, however soon
/// its connection broke.
#[test]
fn an_unsafe_read_without_an_answer_may_have_run_and_is_not_repeated() {
    for outcome in [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        for after_s in [0.0, 0.002, 0.01, 0.04, 0.5, 3.0] {
            let mut desk = Desk::new(Settings {
                lost_prefill_may_have_run: true,
                ..settings(Effect::NonIdempotent)
            });
            desk.arrive(ask(1));
            desk.pass(after_s);
            let after = desk.end(1, outcome, after_s, 0.0);
            let case = format!("{outcome:?} after {after_s}");
            assert!(
                failed(&after, 1),
                "{case}: not refused either, as that invites to ask again"
            );
            assert_eq!(desk.sends.len(), 1, "{case}");
        }
    }
}

/// The same of an answer tells nothing: what a writer began it may have done.
#[test]
fn an_unsafe_answer_that_broke_at_once_is_not_repeated() {
    let mut desk = Desk::new(Settings {
        lost_prefill_may_have_run: true,
        ..settings(Effect::NonIdempotent)
    });
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    assert!(failed(&desk.end(1, Outcome::Reset, 0.0, 0.0), 1));
    assert_eq!(desk.sends.len(), 2);
}

/// Where a connection's end tells that the read ended too.
#[test]
fn an_unsafe_read_that_certainly_ended_is_read_elsewhere_after_any_failure() {
    for outcome in [
        Outcome::Reset,
        Outcome::TimedOut,
        Outcome::Cancelled,
        Outcome::Error,
    ] {
        let mut desk = Desk::new(settings(Effect::NonIdempotent));
        desk.arrive(ask(1));
        desk.end(1, outcome, 0.5, 0.0);
        assert_eq!(desk.sends.len(), 2, "{outcome:?}");
    }
}

#[test]
fn a_silent_unsafe_read_is_not_called_back_and_an_answer_still_counts() {
    for may_cancel in [true, false] {
        let mut set = Settings {
            lost_prefill_may_have_run: true,
            ..settings(Effect::NonIdempotent)
        };
        set.limits.may_cancel = may_cancel;
        let mut desk = Desk::new(set);
        desk.arrive(ask(1));
        assert_eq!(desk.sends[0].2, 0.0, "no time-out but the client's");
        desk.pass(4.0);
        assert!(!desk.log.iter().any(|a| matches!(a, Action::Cancel { .. })));
        desk.end(1, Outcome::PrefillDone, 4.0, 0.0);
        assert!(desk.sends.len() == 2 && desk.last().1 > 10);
    }
}

#[test]
fn a_keyed_read_without_an_answer_counts_in_the_time_for_repeats() {
    let effect = Effect::IdempotencyKey {
        scope: KeyScope::All,
        window_s: 0.5,
    };
    let mut desk = Desk::new(Settings {
        lost_prefill_may_have_run: true,
        ..settings(effect)
    });
    desk.arrive(ask(1));
    desk.now += 0.46;
    let after = desk.end(1, Outcome::Reset, 0.46, 0.0);
    assert_eq!(desk.sends.len(), 1, "{after:?}");
}

/// A repeat has to arrive within the time for repeats, which may be as late as a connection for it may come up.
#[test]
fn a_keyed_repeat_is_sent_only_where_it_arrives_within_the_time_for_repeats() {
    for (window_s, connect_timeout_s, after_s, again) in [
        (5.0, 0.25, 4.4, true),
        (5.0, 0.25, 4.6, false),
        (1.0, 0.25, 0.7, true),
        (1.0, 0.25, 0.74, false),
        (1.0, 0.25, 0.85, false),
        (1.0, 0.0, 0.85, true),
        (0.25, 0.25, 0.0, false),
    ] {
        let mut set = settings(Effect::IdempotencyKey {
            scope: KeyScope::All,
            window_s,
        });
        (set.limits.connect_timeout_s, set.lost_prefill_may_have_run) = (connect_timeout_s, true);
        let mut desk = Desk::new(set);
        desk.arrive(ask(1));
        desk.end(1, Outcome::PrefillDone, 0.0, 0.0);
        desk.now += after_s;
        desk.end(1, Outcome::Reset, after_s, 0.0);
        let case = format!("{window_s} s, {connect_timeout_s} s to connect, after {after_s} s");
        assert_eq!(desk.sends.len(), if again { 3 } else { 2 }, "{case}");
    }
}

#[test]
fn an_unsafe_answer_is_never_timed_out_by_the_router() {
    let mut desk = Desk::new(settings(Effect::NonIdempotent));
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(desk.sends[1].2, 0.0);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    let effect = Effect::IdempotencyKey {
        scope: KeyScope::Cell,
        window_s: 5.0,
    };
    let mut desk = Desk::new(settings(effect));
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    let cell = u16::from(desk.last().1 == 12);
    desk.end(1, Outcome::Error, 0.1, 0.0);
    for &(_, server, _) in &desk.sends[2..] {
        assert_eq!(u16::from(server == 12 || server == 2), cell);
    }
    desk.pass(1.0);
    assert!(!desk.log.iter().any(|a| matches!(a, Action::Reject { .. })));
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.change(ServerEntry {
        status: ServerStatus::Draining,
        ..server(1, 0, 0)
    });
    for id in 1..20 {
        desk.serve(ask(id), 0.0);
    }
    assert!(desk.sends.iter().all(|s| s.1 != 1));
}

#[test]
fn a_server_left_out_of_a_full_list_gets_nothing_new() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    let entries = vec![server(2, 0, 1), server(11, 1, 0), server(12, 1, 1)];
    desk.tell(Event::Servers {
        form: ListForm::Full,
        entries,
    });
    for id in 1..20 {
        desk.serve(ask(id), 0.0);
    }
    assert!(desk.sends.iter().all(|s| s.1 != 1));
}

#[test]
fn a_cold_server_gets_a_few_sends_a_window_however_many_ask() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    for id in 1..60 {
        desk.serve(
            Request {
                prefix: 0,
                ..ask(id)
            },
            0.0,
        );
    }
    desk.change(ServerEntry {
        booted_at: desk.now,
        ..server(1, 0, 0)
    });
    let before = desk.sends.len();
    for id in 60..120 {
        desk.serve(
            Request {
                prefix: 0,
                ..ask(id)
            },
            0.0,
        );
        desk.pass(0.02);
    }
    let (cold, warm) = desk.sends[before..].iter().fold((0, 0), |n, s| match s.1 {
        1 => (n.0 + 1, n.1),
        2 => (n.0, n.1 + 1),
        _ => n,
    });
    assert!(warm > 30 && cold * 2 < warm, "cold {cold}, warm {warm}");
}

#[test]
fn a_state_that_no_writer_takes_is_let_go_within_the_pin_limit() {
    let mut desk = Desk::with_fleet(settings(Effect::Idempotent), vec![server(1, 0, 0)]);
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    let after = desk.pass(0.9);
    assert!(released(&after, 1) && refused(&after, 1));
}

/// However many ways to writers fail to come up, the time runs on from the end of the read.
#[test]
fn a_state_is_let_go_within_the_pin_limit_while_connections_to_writers_fail() {
    for (pin_limit_s, fails_after_s, writers_asked) in [
        (0.5, 0.25, 2),
        (0.5, 0.251, 2),
        (0.5, 0.1, 3),
        (1.0, 0.4, 2),
        (0.2, 0.25, 1),
        (0.5, 0.002, 3),
    ] {
        for effect in [Effect::Idempotent, Effect::NonIdempotent] {
            let writers = (11..20).map(|id| server(id, 1, 0));
            let fleet = std::iter::once(server(1, 0, 0)).chain(writers).collect();
            let mut desk = Desk::with_fleet(
                Settings {
                    kv_hold_limit_s: pin_limit_s,
                    ..settings(effect)
                },
                fleet,
            );
            desk.arrive(ask(1));
            desk.pass(0.1);
            desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
            let held_since = desk.now;
            let most_s = pin_limit_s.max(fails_after_s) + 3.0 * settings(effect).tick_s;
            let case = format!("{pin_limit_s} {fails_after_s} {effect:?}");
            while !released(&desk.log, 1) {
                desk.pass(fails_after_s);
                assert!(desk.now - held_since <= most_s, "{case}");
                desk.end(1, Outcome::ConnectFailed, fails_after_s, 0.0);
            }
            assert!(refused(&desk.log, 1), "{case}: nothing ran");
            assert_eq!(desk.sends.len(), 1 + writers_asked, "{case}");
        }
    }
}

#[test]
fn an_empty_list_refuses_at_once_with_a_time_to_come_back() {
    let mut desk = Desk::with_fleet(settings(Effect::Idempotent), vec![]);
    let out = desk.arrive(ask(1));
    assert!(out
        .iter()
        .any(|a| matches!(a, Action::Reject { retry_after_s, .. } if *retry_after_s > 0.0)));
}

#[test]
fn an_attempt_not_sent_ends_the_request_with_one_answer() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.arrive(ask(1));
    desk.end(1, Outcome::NotSent, 0.0, 0.0);
    desk.pass(7.0);
    assert_eq!(final_answers(&desk.log, 1), 1);
}

#[test]
fn a_time_out_at_the_deadline_is_answered_with_the_final_answer() {
    let mut desk = Desk::new(settings(Effect::NonIdempotent));
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    desk.now += 6.0;
    let out = desk.end(1, Outcome::TimedOut, 5.9, 0.0);
    assert!(failed(&out, 1) && released(&out, 1));
}

#[test]
fn an_unsafe_answer_that_never_connected_goes_to_the_next_writer() {
    let mut desk = Desk::new(settings(Effect::NonIdempotent));
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    let first = desk.last().1;
    desk.end(1, Outcome::ConnectFailed, 0.25, 0.0);
    assert!(desk.sends.len() == 3 && desk.last().1 > 10 && desk.last().1 != first);
}
