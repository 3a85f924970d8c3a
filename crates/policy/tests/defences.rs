//! Each of the router's mechanisms against failure symptoms, such as silence, fast errors, late
//! answers and overload; one test combines a failing and a draining server.
mod common;
use bitternlatch_policy::interface::*;
use common::*;

fn without_prefix(id: RequestId) -> Request {
    Request {
        prefix: 0,
        prefix_tokens: 0.0,
        ..new_request(id)
    }
}

/// Creates a request of session 5. Requests of one session see the replicas of a prefix in the same
/// order.
fn same_session(id: RequestId) -> Request {
    Request {
        session: 5,
        ..new_request(id)
    }
}

fn prefills_at(harness: &RouterHarness, from: usize, server: ServerId) -> usize {
    harness.sends[from..]
        .iter()
        .filter(|s| s.1 == server)
        .count()
}

#[test]
fn overdue_prefill_diverts_requests_from_its_replica() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let replica = harness.serve(same_session(1), 0.0);
    harness.arrive(same_session(2));
    assert_eq!(harness.last_send().1, replica);
    harness.advance(0.8);
    harness.arrive(same_session(3));
    assert_ne!(harness.last_send().1, replica);
}

#[test]
fn one_evicted_prefix_does_not_divert_requests_from_its_replica() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let replica = harness.serve(same_session(1), 1500.0);
    harness.advance(5.0);
    harness.serve(same_session(2), 0.0);
    harness.advance(5.0);
    assert_eq!(harness.serve(same_session(3), 1500.0), replica);
}

#[test]
fn fast_failing_server_does_not_look_like_a_short_queue() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let mut from = 0;
    for id in 1..80 {
        from = if id == 40 { harness.sends.len() } else { from };
        harness.arrive(without_prefix(id));
        if harness.last_send().1 == 1 {
            harness.end_attempt(id, Outcome::Error, 0.002, 0.0);
        }
        harness.advance(0.05);
        harness.end_attempt(id, Outcome::PrefillDone, 0.05, 0.0);
        harness.start_stream(id);
        harness.end_attempt(id, Outcome::Served, 0.1, 0.0);
        harness.advance(0.3);
    }
    assert!(
        prefills_at(&harness, from, 1) <= 5,
        "{} prefills at the failing server",
        prefills_at(&harness, from, 1)
    );
}

/// Returns after how many tenths of a second an unanswered prefill is cancelled, if its server's
/// last response came `quiet_s` before the request; `None` if it is not cancelled within 5.9 s.
fn cancelled_after(quiet_s: f64) -> Option<usize> {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.update_server(ServerEntry {
        status: ServerStatus::Draining,
        ..server(2, 0, 1)
    });
    harness.serve(same_session(1), 0.0);
    harness.advance(quiet_s);
    harness.arrive(same_session(2));
    (1..60).find(|_| {
        harness.advance(0.1).contains(&Action::Cancel {
            request: 2,
            attempt: 0,
        })
    })
}

#[test]
fn prefill_at_a_silent_server_is_cancelled_and_retried_elsewhere() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let silent = harness.serve(same_session(1), 0.0);
    harness.advance(1.0);
    harness.arrive(same_session(2));
    assert_eq!(harness.last_send(), (2, silent));
    assert!(harness.advance(2.5).contains(&Action::Cancel {
        request: 2,
        attempt: 0
    }));
    harness.end_attempt(2, Outcome::Cancelled, 2.5, 0.0);
    assert_ne!(harness.last_send().1, silent);
}

#[test]
fn silence_counts_less_at_a_server_without_recent_responses() {
    let (recent, stale) = (cancelled_after(1.0), cancelled_after(20.0));
    assert!(
        recent.is_some() && stale > recent,
        "{recent:?} against {stale:?}"
    );
}

#[test]
fn late_prefill_at_a_server_that_answers_others_is_not_cancelled() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.update_server(ServerEntry {
        status: ServerStatus::Draining,
        ..server(2, 0, 1)
    });
    harness.arrive(same_session(1));
    harness.arrive(same_session(2));
    assert_eq!(harness.sends[0].1, harness.sends[1].1);
    harness.advance(1.0);
    harness.end_attempt(2, Outcome::PrefillDone, 1.0, 0.0);
    assert!(!harness
        .advance(1.5)
        .iter()
        .any(|a| matches!(a, Action::Cancel { request: 1, .. })));
}

#[test]
fn silent_server_gets_trials_and_recovers() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    for id in 1..4 {
        harness.update_server(ServerEntry {
            status: ServerStatus::Draining,
            ..server(2, 0, 1)
        });
        harness.arrive(without_prefix(id));
        harness.advance(2.0);
        harness.update_server(server(2, 0, 1));
        harness.end_attempt(id, Outcome::Reset, 2.0, 0.0);
        harness.end_attempt(id, Outcome::PrefillDone, 0.05, 0.0);
        harness.start_stream(id);
        harness.end_attempt(id, Outcome::Served, 0.1, 0.0);
    }
    let from = harness.sends.len();
    for id in 200..400 {
        let group = [id, id + 1000, id + 2000];
        group
            .iter()
            .for_each(|id| drop(harness.arrive(without_prefix(*id))));
        harness.advance(0.1);
        for id in group {
            harness.end_attempt(id, Outcome::PrefillDone, 0.1, 0.0);
            harness.start_stream(id);
            harness.end_attempt(id, Outcome::Served, 0.1, 0.0);
        }
    }
    assert!(
        prefills_at(&harness, from, 1) > 100,
        "{} prefills",
        prefills_at(&harness, from, 1)
    );
}

#[test]
fn retries_have_a_budget() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let mut answered = 0;
    for id in 1..200 {
        harness.arrive(without_prefix(id));
        while final_answers(&harness.log, id) == 0 {
            harness.end_attempt(id, Outcome::Error, 0.002, 0.0);
        }
        answered += final_answers(&harness.log, id);
    }
    assert_eq!(answered, 199);
    assert!(
        harness.sends.len() < 199 * 3 / 2,
        "{} sends",
        harness.sends.len()
    );
}

#[test]
fn slow_cell_link_keeps_the_next_kv_state_in_its_cell() {
    let fleet = vec![server(1, 0, 0), server(11, 1, 0), server(12, 1, 1)];
    let mut harness = RouterHarness::with_fleet(settings(Effect::Idempotent), fleet);
    let busy = |harness: &mut RouterHarness, load: f64| {
        let report = vec![load, 0.0, load];
        harness.handle(Event::ProbeEnded {
            server: 11,
            outcome: Outcome::Served,
            elapsed_s: 0.01,
            report,
        });
    };
    busy(&mut harness, 0.8);
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(harness.last_send().1, 12);
    harness.advance(1.2);
    harness.start_stream(1);
    busy(&mut harness, 0.8);
    harness.arrive(new_request(2));
    harness.end_attempt(2, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(harness.last_send().1, 11);
}

#[test]
fn burst_beyond_the_latency_objective_is_rejected_with_retry_after() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    for id in 1..80 {
        harness.arrive(without_prefix(id));
    }
    let retry_after_s: Vec<f64> = harness
        .log
        .iter()
        .filter_map(|a| match a {
            Action::Reject { retry_after_s, .. } => Some(*retry_after_s),
            _ => None,
        })
        .collect();
    assert!(!retry_after_s.is_empty() && retry_after_s.iter().all(|t| *t > 0.0 && *t <= 2.0));
}

#[test]
fn observed_lateness_rejects_sooner_and_decays() {
    let sends = |late: bool, rest: f64| {
        let mut harness = RouterHarness::new(settings(Effect::Idempotent));
        for id in 1..20 {
            harness.arrive(without_prefix(id));
            harness.end_attempt(id, Outcome::PrefillDone, 0.05, 0.0);
        }
        harness.now += if late { 2.5 } else { 0.1 };
        for id in 1..20 {
            harness.start_stream(id);
            harness.end_attempt(id, Outcome::Served, 0.1, 0.0);
        }
        harness.advance(rest);
        let from = harness.sends.len();
        for id in 100..180 {
            harness.arrive(without_prefix(id));
        }
        harness.sends.len() - from
    };
    let (usual, soon, later) = (sends(false, 1.0), sends(true, 0.1), sends(true, 30.0));
    assert!(soon < usual, "{soon} against {usual}");
    assert!(later + 3 >= usual, "{later} against {usual}");
}

#[test]
fn tenant_over_its_quota_is_rejected_first() {
    let tenants = vec![
        TenantSettings { quota_rps: 2.0 },
        TenantSettings { quota_rps: 200.0 },
    ];
    let mut harness = RouterHarness::new(Settings {
        tenants,
        over_quota_weight_fraction: 0.05,
        ..settings(Effect::Idempotent)
    });
    for id in 1..30 {
        harness.arrive(Request {
            tenant: id % 2,
            ..without_prefix(id)
        });
    }
    let rejected_of = |tenant: u32| {
        (1..30)
            .filter(|id| id % 2 == tenant && rejected(&harness.log, *id))
            .count()
    };
    assert!(rejected_of(0) > rejected_of(1));
}

#[test]
fn quota_fraction_applies_from_its_start_and_is_reduced_at_once() {
    // Of a quota of 200 requests per second, one of a hundred routers has 2; with the whole quota
    // it may admit a burst of 400.
    let rejected_with = |fractions: &[(f64, f64)]| {
        let tenants = vec![TenantSettings { quota_rps: 200.0 }];
        let set = Settings {
            tenants,
            dispatchers: 100,
            over_quota_weight_fraction: 0.0,
            ..settings(Effect::Idempotent)
        };
        let mut harness = RouterHarness::new(set);
        for (fraction, ago_s) in fractions {
            harness.handle(Event::QuotaFraction {
                fraction: *fraction,
                since: harness.now - ago_s,
            });
            harness.advance(10.0);
        }
        (1..60).for_each(|id| drop(harness.arrive(without_prefix(id))));
        (1..60).filter(|id| rejected(&harness.log, *id)).count()
    };
    let alone = rejected_with(&[]);
    assert!(alone > 40, "{alone}");
    // Requests beyond the capacity of the servers are rejected whatever the quota fraction.
    let whole = rejected_with(&[(1.0, 0.0)]);
    assert!(whole < alone / 2, "{whole} against {alone}");
    assert_eq!(rejected_with(&[(1.0, 0.0), (0.01, 0.0)]), alone, "reduced");
    assert!(rejected_with(&[(0.0, 20.0), (0.0, 0.0)]) >= alone);
}

#[test]
fn restart_is_seen_by_boot_time_and_clears_the_prefix_cache() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let replica = harness.serve(new_request(1), 0.0);
    harness.advance(1.0);
    harness.update_server(ServerEntry {
        booted_at: harness.now,
        ..server(replica, 0, (replica - 1) as u16)
    });
    harness.arrive(new_request(2));
    assert_ne!(harness.last_send().1, replica);
}

#[test]
fn request_is_prefilled_beside_a_failing_and_a_draining_server() {
    let mut fleet = vec![
        server(1, 0, 0),
        server(2, 0, 1),
        server(3, 0, 0),
        server(11, 1, 0),
    ];
    fleet[2].status = ServerStatus::Draining;
    let mut harness = RouterHarness::with_fleet(settings(Effect::NonIdempotent), fleet);
    harness.arrive(new_request(1));
    let first = harness.last_send().1;
    harness.end_attempt(1, Outcome::Reset, 0.01, 0.0);
    assert!(harness.last_send().1 != first && harness.last_send().1 != 3);
}

#[test]
fn invalid_numbers_and_unknown_ids_are_ignored() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.handle(Event::Timer { label: 12345 });
    harness.handle(Event::ClientDisconnected { request: 999 });
    harness.handle(Event::FirstToken {
        request: 999,
        attempt: 0,
        server: 5,
        elapsed_s: f64::NAN,
    });
    let report = vec![f64::NAN, -1.0, f64::INFINITY];
    harness.handle(Event::ProbeEnded {
        server: 1,
        outcome: Outcome::Served,
        elapsed_s: f64::NAN,
        report,
    });
    let invalid = Request {
        prompt_tokens: f64::NAN,
        prefix_tokens: f64::INFINITY,
        class: 60_000,
        ..new_request(1)
    };
    harness.arrive(invalid);
    harness.end_attempt(1, Outcome::PrefillDone, f64::NAN, f64::NAN);
    harness.end_attempt(1, Outcome::Served, f64::NAN, 0.0);
    harness.serve(new_request(2), 0.0);
    assert_eq!(harness.sends.iter().filter(|s| s.0 == 2).count(), 2);
}

#[test]
fn interleaved_routers_act_as_they_do_alone() {
    let run = |harness: &mut RouterHarness, id: u32| {
        harness.arrive(Request {
            prefix: u64::from(id % 3) + 1,
            ..new_request(id)
        });
        harness.advance(0.02);
        harness.end_attempt(id, Outcome::PrefillDone, 0.02, 0.0);
    };
    let mut alone = RouterHarness::new(settings(Effect::Idempotent));
    (1..40).for_each(|id| run(&mut alone, id));
    let (mut one, mut other) = (
        RouterHarness::new(settings(Effect::Idempotent)),
        RouterHarness::new(settings(Effect::Idempotent)),
    );
    for id in 1..40 {
        run(&mut one, id);
        run(&mut other, 1000 + id);
    }
    assert_eq!(alone.log, one.log);
}

#[test]
fn decode_server_that_failed_a_request_is_not_retried_beside_a_slightly_busier_one() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.update_server(ServerEntry {
        status: ServerStatus::Draining,
        ..server(11, 1, 0)
    });
    for id in 1..51 {
        harness.arrive(without_prefix(id));
        harness.advance(0.05);
        harness.end_attempt(id, Outcome::PrefillDone, 0.05, 0.0);
        harness.start_stream(id);
        harness.advance(0.3);
    }
    harness.update_server(server(11, 1, 0));
    harness.arrive(without_prefix(99));
    harness.advance(0.05);
    harness.end_attempt(99, Outcome::PrefillDone, 0.05, 0.0);
    assert_eq!(
        harness.last_send(),
        (99, 11),
        "the idle server is chosen first"
    );
    harness.end_attempt(99, Outcome::Error, 0.001, 0.0);
    assert_eq!(
        harness.last_send(),
        (99, 12),
        "the idle server is not retried, although its immediate failure leaves it idle"
    );
}
