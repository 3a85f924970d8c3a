//! Each defence against a kind of symptom, alone and two together.
mod common;
use bitternlatch_policy::interface::*;
use common::*;

fn plain(id: RequestId) -> Request {
    Request {
        prefix: 0,
        prefix_tokens: 0.0,
        ..new_request(id)
    }
}

/// A turn of one session, so that its replicas stand in one order.
fn same(id: RequestId) -> Request {
    Request {
        session: 5,
        ..new_request(id)
    }
}

fn reads_at(harness: &RouterHarness, from: usize, server: ServerId) -> usize {
    harness.sends[from..]
        .iter()
        .filter(|s| s.1 == server)
        .count()
}

#[test]
fn overdue_prefill_diverts_requests_from_its_replica() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let replica = harness.serve(same(1), 0.0);
    harness.arrive(same(2));
    assert_eq!(harness.last().1, replica);
    harness.pass(0.8);
    harness.arrive(same(3));
    assert_ne!(harness.last().1, replica);
}

#[test]
fn one_evicted_prefix_does_not_divert_requests_from_its_replica() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let replica = harness.serve(same(1), 1500.0);
    harness.pass(5.0);
    harness.serve(same(2), 0.0);
    harness.pass(5.0);
    assert_eq!(harness.serve(same(3), 1500.0), replica);
}

#[test]
fn fast_failing_server_does_not_look_like_a_short_queue() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let mut from = 0;
    for id in 1..80 {
        from = if id == 40 { harness.sends.len() } else { from };
        harness.arrive(plain(id));
        if harness.last().1 == 1 {
            harness.end(id, Outcome::Error, 0.002, 0.0);
        }
        harness.pass(0.05);
        harness.end(id, Outcome::PrefillDone, 0.05, 0.0);
        harness.stream(id);
        harness.end(id, Outcome::Served, 0.1, 0.0);
        harness.pass(0.3);
    }
    assert!(
        reads_at(&harness, from, 1) <= 5,
        "{} reads at the failing server",
        reads_at(&harness, from, 1)
    );
}

/// When a read is called back whose prefill server was last heard of so long before.
fn called_back_after(quiet_s: f64) -> Option<usize> {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.change(ServerEntry {
        status: ServerStatus::Draining,
        ..server(2, 0, 1)
    });
    harness.serve(same(1), 0.0);
    harness.pass(quiet_s);
    harness.arrive(same(2));
    (1..60).find(|_| {
        harness.pass(0.1).contains(&Action::Cancel {
            request: 2,
            attempt: 0,
        })
    })
}

#[test]
fn prefill_at_a_silent_server_is_cancelled_and_retried_elsewhere() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let silent = harness.serve(same(1), 0.0);
    harness.pass(1.0);
    harness.arrive(same(2));
    assert_eq!(harness.last(), (2, silent));
    assert!(harness.pass(2.5).contains(&Action::Cancel {
        request: 2,
        attempt: 0
    }));
    harness.end(2, Outcome::Cancelled, 2.5, 0.0);
    assert_ne!(harness.last().1, silent);
}

#[test]
fn silence_counts_less_at_a_server_not_heard_of_lately() {
    let (often, seldom) = (called_back_after(1.0), called_back_after(20.0));
    assert!(
        often.is_some() && seldom > often,
        "{often:?} against {seldom:?}"
    );
}

#[test]
fn late_prefill_at_a_server_that_answers_others_is_not_cancelled() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.change(ServerEntry {
        status: ServerStatus::Draining,
        ..server(2, 0, 1)
    });
    harness.arrive(same(1));
    harness.arrive(same(2));
    assert_eq!(harness.sends[0].1, harness.sends[1].1);
    harness.pass(1.0);
    harness.end(2, Outcome::PrefillDone, 1.0, 0.0);
    assert!(!harness
        .pass(1.5)
        .iter()
        .any(|a| matches!(a, Action::Cancel { request: 1, .. })));
}

#[test]
fn silent_server_gets_trials_and_recovers() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    for id in 1..4 {
        harness.change(ServerEntry {
            status: ServerStatus::Draining,
            ..server(2, 0, 1)
        });
        harness.arrive(plain(id));
        harness.pass(2.0);
        harness.change(server(2, 0, 1));
        harness.end(id, Outcome::Reset, 2.0, 0.0);
        harness.end(id, Outcome::PrefillDone, 0.05, 0.0);
        harness.stream(id);
        harness.end(id, Outcome::Served, 0.1, 0.0);
    }
    let from = harness.sends.len();
    for id in 200..400 {
        let group = [id, id + 1000, id + 2000];
        group.iter().for_each(|id| drop(harness.arrive(plain(*id))));
        harness.pass(0.1);
        for id in group {
            harness.end(id, Outcome::PrefillDone, 0.1, 0.0);
            harness.stream(id);
            harness.end(id, Outcome::Served, 0.1, 0.0);
        }
    }
    assert!(
        reads_at(&harness, from, 1) > 100,
        "{} reads",
        reads_at(&harness, from, 1)
    );
}

#[test]
fn retries_have_a_budget() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let mut given_up = 0;
    for id in 1..200 {
        harness.arrive(plain(id));
        while final_answers(&harness.log, id) == 0 {
            harness.end(id, Outcome::Error, 0.002, 0.0);
        }
        given_up += final_answers(&harness.log, id);
    }
    assert_eq!(given_up, 199);
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
    harness.end(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(harness.last().1, 12);
    harness.pass(1.2);
    harness.stream(1);
    busy(&mut harness, 0.8);
    harness.arrive(new_request(2));
    harness.end(2, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(harness.last().1, 11);
}

#[test]
fn burst_beyond_the_latency_objective_is_rejected_with_retry_after() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    for id in 1..80 {
        harness.arrive(plain(id));
    }
    let refusals: Vec<f64> = harness
        .log
        .iter()
        .filter_map(|a| match a {
            Action::Reject { retry_after_s, .. } => Some(*retry_after_s),
            _ => None,
        })
        .collect();
    assert!(!refusals.is_empty() && refusals.iter().all(|t| *t > 0.0 && *t <= 2.0));
}

#[test]
fn observed_lateness_rejects_sooner_and_decays() {
    let sends = |late: bool, rest: f64| {
        let mut harness = RouterHarness::new(settings(Effect::Idempotent));
        for id in 1..20 {
            harness.arrive(plain(id));
            harness.end(id, Outcome::PrefillDone, 0.05, 0.0);
        }
        harness.now += if late { 2.5 } else { 0.1 };
        for id in 1..20 {
            harness.stream(id);
            harness.end(id, Outcome::Served, 0.1, 0.0);
        }
        harness.pass(rest);
        let from = harness.sends.len();
        for id in 100..180 {
            harness.arrive(plain(id));
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
            ..plain(id)
        });
    }
    let refused_of = |tenant: u32| {
        (1..30)
            .filter(|id| id % 2 == tenant && rejected(&harness.log, *id))
            .count()
    };
    assert!(refused_of(0) > refused_of(1));
}

#[test]
fn quota_fraction_counts_from_its_time_and_shrinks_at_once() {
    // Of 200 requests a second a router of a hundred has two; with the whole, a burst of 400.
    let refused_with = |parts: &[(f64, f64)]| {
        let tenants = vec![TenantSettings { quota_rps: 200.0 }];
        let set = Settings {
            tenants,
            dispatchers: 100,
            over_quota_weight_fraction: 0.0,
            ..settings(Effect::Idempotent)
        };
        let mut harness = RouterHarness::new(set);
        for (part, ago) in parts {
            harness.handle(Event::QuotaFraction {
                fraction: *part,
                since: harness.now - ago,
            });
            harness.pass(10.0);
        }
        (1..60).for_each(|id| drop(harness.arrive(plain(id))));
        (1..60).filter(|id| rejected(&harness.log, *id)).count()
    };
    let alone = refused_with(&[]);
    assert!(alone > 40, "{alone}");
    // What the fleet cannot bear is rejected whatever the share.
    let whole = refused_with(&[(1.0, 0.0)]);
    assert!(whole < alone / 2, "{whole} against {alone}");
    assert_eq!(refused_with(&[(1.0, 0.0), (0.01, 0.0)]), alone, "shrunk");
    assert!(refused_with(&[(0.0, 20.0), (0.0, 0.0)]) >= alone);
}

#[test]
fn restart_is_seen_by_boot_time_and_clears_the_prefix_cache() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    let replica = harness.serve(new_request(1), 0.0);
    harness.pass(1.0);
    harness.change(ServerEntry {
        booted_at: harness.now,
        ..server(replica, 0, (replica - 1) as u16)
    });
    harness.arrive(new_request(2));
    assert_ne!(harness.last().1, replica);
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
    let first = harness.last().1;
    harness.end(1, Outcome::Reset, 0.01, 0.0);
    assert!(harness.last().1 != first && harness.last().1 != 3);
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
    let odd = Request {
        prompt_tokens: f64::NAN,
        prefix_tokens: f64::INFINITY,
        class: 60_000,
        ..new_request(1)
    };
    harness.arrive(odd);
    harness.end(1, Outcome::PrefillDone, f64::NAN, f64::NAN);
    harness.end(1, Outcome::Served, f64::NAN, 0.0);
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
        harness.pass(0.02);
        harness.end(id, Outcome::PrefillDone, 0.02, 0.0);
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
    harness.change(ServerEntry {
        status: ServerStatus::Draining,
        ..server(11, 1, 0)
    });
    for id in 1..51 {
        harness.arrive(plain(id));
        harness.pass(0.05);
        harness.end(id, Outcome::PrefillDone, 0.05, 0.0);
        harness.stream(id);
        harness.pass(0.3);
    }
    harness.change(server(11, 1, 0));
    harness.arrive(plain(99));
    harness.pass(0.05);
    harness.end(99, Outcome::PrefillDone, 0.05, 0.0);
    assert_eq!(harness.last(), (99, 11), "the empty one first");
    harness.end(99, Outcome::Error, 0.001, 0.0);
    assert_eq!(
        harness.last(),
        (99, 12),
        "and not again, as it fails at once and stays empty"
    );
}
