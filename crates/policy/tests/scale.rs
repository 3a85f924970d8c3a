//! Combined effect of many independent routers: how they spread load, how much they probe, and
//! whether they keep slow start together.
mod common;
use std::collections::BTreeMap;

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;
use common::*;

/// Counts the attempts at each server when each of many routers serves one request.
fn sends_of(
    routers: u32,
    fleet: &[ServerEntry],
    request_of_router: impl Fn(u32) -> Request,
) -> BTreeMap<ServerId, u32> {
    let mut counts = BTreeMap::new();
    for router in 0..routers {
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
            u64::from(router),
        );
        harness.handle(Event::Servers {
            form: ListForm::Full,
            entries: fleet.to_vec(),
        });
        harness.serve(request_of_router(router), 0.0);
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
fn hundred_routers_with_the_same_knowledge_spread_their_load() {
    let counts = sends_of(100, &fleet(), |router| Request {
        prefix: u64::from(router) + 1,
        ..new_request(router + 1)
    });
    let max_count = |ids: std::ops::Range<u32>| counts.range(ids).map(|c| *c.1).max().unwrap_or(0);
    assert!(
        max_count(1..21) <= 15,
        "{} prefills at one server",
        max_count(1..21)
    );
    assert!(
        max_count(101..121) <= 15,
        "{} answers at one decode server",
        max_count(101..121)
    );
}

#[test]
fn hundred_routers_prefill_one_prefix_at_its_replicas() {
    let counts = sends_of(100, &fleet(), |router| Request {
        session: u64::from(router) + 1,
        ..new_request(1)
    });
    assert!(counts.range(1..21).count() <= 5, "{counts:?}");
}

/// Each replica of a prefix costs one full prefill and memory for the prefix at its server, so a
/// tenth of the prefill servers have to be enough.
#[test]
fn one_prefix_has_replicas_at_a_tenth_of_many_prefill_servers() {
    let many: Vec<ServerEntry> = (1..81)
        .map(|id| server(id, 0, 0))
        .chain((101..121).map(|id| server(id, 1, 0)))
        .collect();
    let counts = sends_of(300, &many, |router| Request {
        session: u64::from(router) + 1,
        ..new_request(1)
    });
    let prefill_servers = counts.range(1..81).count();
    assert!(
        (4..=10).contains(&prefill_servers),
        "{prefill_servers} prefill servers: {counts:?}"
    );
}

#[test]
fn three_hundred_routers_together_keep_slow_start() {
    // The start capacity times the overload factor, 0.25 * 2.5, is 0.625 of what a warm server
    // takes under the same load.
    let mut warming = fleet();
    warming[20].booted_at = T0 - 0.5;
    let counts = sends_of(300, &warming, |router| new_request(router + 1));
    let warm = counts.range(102..121).map(|c| *c.1).sum::<u32>() / 19;
    let at_warming = counts.get(&101).copied().unwrap_or(0);
    assert!(
        f64::from(at_warming) <= 0.625 * f64::from(warm),
        "{at_warming} against {warm} at a warm decode server"
    );
}

#[test]
fn probes_are_sent_only_on_arrivals_and_are_few() {
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
    let is_cancelled = |queue: f64| {
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
    assert!(is_cancelled(0.0) && !is_cancelled(80.0));
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
