//! What many routers do together, each alone: spreading, probes and the warming rule's sum.
mod common;
use std::collections::BTreeMap;

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;
use common::*;

/// Sends of each server when each of many routers takes one request to its decode server.
fn sends_of(
    routers: u32,
    fleet: &[ServerEntry],
    one: impl Fn(u32) -> Request,
) -> BTreeMap<ServerId, u32> {
    let mut counts = BTreeMap::new();
    for me in 0..routers {
        let mut harness = RouterHarness::with_fleet(
            Settings {
                dispatchers: routers,
                ..settings(Effect::Idempotent)
            },
            vec![],
        );
        harness.router = Router::new(
            Settings {
                dispatchers: routers,
                ..settings(Effect::Idempotent)
            },
            u64::from(me),
        );
        harness.handle(Event::Servers {
            form: ListForm::Full,
            entries: fleet.to_vec(),
        });
        harness.serve(one(me), 0.0);
        harness
            .sends
            .iter()
            .for_each(|s| *counts.entry(s.1).or_default() += 1);
    }
    counts
}

fn fleet() -> Vec<ServerEntry> {
    let prefill_servers = (1..21).map(|id| server(id, 0, 0));
    prefill_servers
        .chain((101..121).map(|id| server(id, 1, 0)))
        .collect()
}

#[test]
fn hundred_routers_with_one_view_spread_their_load() {
    let counts = sends_of(100, &fleet(), |me| Request {
        prefix: u64::from(me) + 1,
        ..new_request(me + 1)
    });
    let limit = |of: std::ops::Range<u32>| counts.range(of).map(|c| *c.1).max().unwrap_or(0);
    assert!(limit(1..21) <= 15, "{} reads at one reader", limit(1..21));
    assert!(
        limit(101..121) <= 15,
        "{} answers at one writer",
        limit(101..121)
    );
}

#[test]
fn hundred_routers_prefill_one_prefix_at_its_replicas() {
    let counts = sends_of(100, &fleet(), |me| Request {
        session: u64::from(me) + 1,
        ..new_request(1)
    });
    assert!(counts.range(1..21).count() <= 5, "{counts:?}");
}

/// Each prefill server that has to read it once costs a whole read, and the memory that it takes
/// there.
#[test]
fn one_prefix_has_replicas_at_a_tenth_of_many_prefill_servers() {
    let many: Vec<ServerEntry> = (1..81)
        .map(|id| server(id, 0, 0))
        .chain((101..121).map(|id| server(id, 1, 0)))
        .collect();
    let counts = sends_of(300, &many, |me| Request {
        session: u64::from(me) + 1,
        ..new_request(1)
    });
    let prefill_servers = counts.range(1..81).count();
    assert!(
        (4..=10).contains(&prefill_servers),
        "{prefill_servers} readers: {counts:?}"
    );
}

#[test]
fn three_hundred_routers_together_keep_slow_start() {
    // The told start capacity times the multiple is 0.625 of what a warm server of the same load
    // takes.
    let mut warming = fleet();
    warming[20].booted_at = T0 - 0.5;
    let counts = sends_of(300, &warming, |me| new_request(me + 1));
    let warm = counts.range(102..121).map(|c| *c.1).sum::<u32>() / 19;
    let at_cold = counts.get(&101).copied().unwrap_or(0);
    assert!(
        f64::from(at_cold) <= 0.625 * f64::from(warm),
        "{at_cold} against {warm} at a warm writer"
    );
}

#[test]
fn probes_are_tied_to_arrivals_and_few() {
    let mut harness = RouterHarness::with_fleet(
        Settings {
            dispatchers: 100,
            ..settings(Effect::Idempotent)
        },
        fleet(),
    );
    harness.advance(60.0);
    assert!(harness.log.iter().filter_map(probe).next().is_none() && harness.timers.is_empty());
    for id in 1..50 {
        harness.serve(new_request(id), 0.0);
        harness.advance(2.0);
    }
    assert!(harness.log.iter().filter_map(probe).count() <= 4 * 49);
}

#[test]
fn arrival_waits_briefly_for_its_probes() {
    let mut harness = RouterHarness::with_fleet(settings(Effect::Idempotent), fleet());
    harness.answers_probes = false;
    harness.advance(1.0);
    harness.arrive(new_request(1));
    assert!(harness.sends.is_empty());
    harness.advance(0.02);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn prefill_is_not_cancelled_at_a_server_that_reports_a_queue() {
    let late = |queue: f64| {
        let mut harness = RouterHarness::new(settings(Effect::Idempotent));
        harness.update_server(ServerEntry {
            status: ServerStatus::Draining,
            ..server(2, 0, 1)
        });
        harness.answers_probes = false;
        harness.arrive(Request {
            time_left_s: 12.0,
            ..new_request(1)
        });
        harness.advance(0.02);
        for _ in 0..60 {
            let report = vec![0.2, queue, 0.1];
            let outcome = Outcome::Served;
            harness.handle(Event::ProbeEnded {
                server: 1,
                outcome,
                elapsed_s: 0.001,
                report,
            });
            harness.advance(0.1);
        }
        harness.log.contains(&Action::Cancel {
            request: 1,
            attempt: 0,
        })
    };
    assert!(late(0.0) && !late(80.0));
}

#[test]
fn long_session_stays_at_its_first_replica_behind_a_short_queue() {
    let stays = |dispatchers: u32| {
        let long = Request {
            prompt_tokens: 12_000.0,
            ..new_request(1)
        };
        let new = || {
            RouterHarness::with_fleet(
                Settings {
                    dispatchers,
                    ..settings(Effect::Idempotent)
                },
                fleet(),
            )
        };
        let mut idle = new();
        let replica = idle.serve(long.clone(), 0.0);
        let mut harness = new();
        let report = vec![0.1, 3.0, 0.1];
        let outcome = Outcome::Served;
        harness.handle(Event::ProbeEnded {
            server: replica,
            outcome,
            elapsed_s: 0.001,
            report,
        });
        harness.serve(long, 0.0) == replica
    };
    assert!(stays(100) && !stays(2));
}
