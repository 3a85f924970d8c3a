//! What many routers do together, each alone: spreading, probes and the cold rule's sum.
mod common;
use std::collections::BTreeMap;

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;
use common::*;

/// Sends of each server when each of many routers takes one request to its writer.
fn sends_of(
    routers: u32,
    fleet: &[ServerEntry],
    one: impl Fn(u32) -> Request,
) -> BTreeMap<ServerId, u32> {
    let mut counts = BTreeMap::new();
    for me in 0..routers {
        let mut desk = Desk::with_fleet(
            Settings {
                dispatchers: routers,
                ..settings(Effect::Idempotent)
            },
            vec![],
        );
        desk.router = Router::new(
            Settings {
                dispatchers: routers,
                ..settings(Effect::Idempotent)
            },
            u64::from(me),
        );
        desk.tell(Event::Servers {
            form: ListForm::Full,
            entries: fleet.to_vec(),
        });
        desk.serve(one(me), 0.0);
        desk.sends
            .iter()
            .for_each(|s| *counts.entry(s.1).or_default() += 1);
    }
    counts
}

fn fleet() -> Vec<ServerEntry> {
    let readers = (1..21).map(|id| server(id, 0, 0));
    readers
        .chain((101..121).map(|id| server(id, 1, 0)))
        .collect()
}

#[test]
fn a_hundred_routers_with_the_same_view_spread_their_reads_and_answers() {
    let counts = sends_of(100, &fleet(), |me| Request {
        prefix: u64::from(me) + 1,
        ..ask(me + 1)
    });
    let most = |of: std::ops::Range<u32>| counts.range(of).map(|c| *c.1).max().unwrap_or(0);
    assert!(most(1..21) <= 15, "{} reads at one reader", most(1..21));
    assert!(
        most(101..121) <= 15,
        "{} answers at one writer",
        most(101..121)
    );
}

#[test]
fn a_hundred_routers_read_one_prefix_at_its_homes() {
    let counts = sends_of(100, &fleet(), |me| Request {
        session: u64::from(me) + 1,
        ..ask(1)
    });
    assert!(counts.range(1..21).count() <= 5, "{counts:?}");
}

/// Each reader that has to read it once costs a whole read, and the memory that it takes there.
#[test]
fn one_prefix_is_read_at_a_tenth_of_many_readers() {
    let many: Vec<ServerEntry> = (1..81)
        .map(|id| server(id, 0, 0))
        .chain((101..121).map(|id| server(id, 1, 0)))
        .collect();
    let counts = sends_of(300, &many, |me| Request {
        session: u64::from(me) + 1,
        ..ask(1)
    });
    let readers = counts.range(1..81).count();
    assert!((4..=10).contains(&readers), "{readers} readers: {counts:?}");
}

#[test]
fn three_hundred_routers_together_keep_the_cold_rule() {
    // The told start capacity times the multiple is 0.625 of what a warm server of the same load takes.
    let mut cold = fleet();
    cold[20].booted_at = T0 - 0.5;
    let counts = sends_of(300, &cold, |me| ask(me + 1));
    let warm = counts.range(102..121).map(|c| *c.1).sum::<u32>() / 19;
    let at_cold = counts.get(&101).copied().unwrap_or(0);
    assert!(
        f64::from(at_cold) <= 0.625 * f64::from(warm),
        "{at_cold} against {warm} at a warm writer"
    );
}

#[test]
fn probes_are_tied_to_arrivals_and_few() {
    let mut desk = Desk::with_fleet(
        Settings {
            dispatchers: 100,
            ..settings(Effect::Idempotent)
        },
        fleet(),
    );
    desk.pass(60.0);
    assert!(desk.log.iter().filter_map(probe).next().is_none() && desk.timers.is_empty());
    for id in 1..50 {
        desk.serve(ask(id), 0.0);
        desk.pass(2.0);
    }
    assert!(desk.log.iter().filter_map(probe).count() <= 4 * 49);
}

#[test]
fn an_arrival_waits_for_its_probes_a_moment_only() {
    let mut desk = Desk::with_fleet(settings(Effect::Idempotent), fleet());
    desk.answers_probes = false;
    desk.pass(1.0);
    desk.arrive(ask(1));
    assert!(desk.sends.is_empty());
    desk.pass(0.02);
    assert_eq!(desk.sends.len(), 1);
}

#[test]
fn a_read_whose_server_reports_a_queue_is_not_called_back() {
    let late = |queue: f64| {
        let mut desk = Desk::new(settings(Effect::Idempotent));
        desk.change(ServerEntry {
            status: ServerStatus::Draining,
            ..server(2, 0, 1)
        });
        desk.answers_probes = false;
        desk.arrive(Request {
            time_left_s: 12.0,
            ..ask(1)
        });
        desk.pass(0.02);
        for _ in 0..60 {
            let report = vec![0.2, queue, 0.1];
            let outcome = Outcome::Served;
            desk.tell(Event::ProbeEnded {
                server: 1,
                outcome,
                elapsed_s: 0.001,
                report,
            });
            desk.pass(0.1);
        }
        desk.log.contains(&Action::Cancel {
            request: 1,
            attempt: 0,
        })
    };
    assert!(late(0.0) && !late(80.0));
}

#[test]
fn among_many_routers_a_long_session_stays_at_its_first_home_behind_a_short_queue() {
    let stays = |dispatchers: u32| {
        let long = Request {
            prompt_tokens: 12_000.0,
            ..ask(1)
        };
        let new = || {
            Desk::with_fleet(
                Settings {
                    dispatchers,
                    ..settings(Effect::Idempotent)
                },
                fleet(),
            )
        };
        let mut idle = new();
        let home = idle.serve(long.clone(), 0.0);
        let mut desk = new();
        let report = vec![0.1, 3.0, 0.1];
        let outcome = Outcome::Served;
        desk.tell(Event::ProbeEnded {
            server: home,
            outcome,
            elapsed_s: 0.001,
            report,
        });
        desk.serve(long, 0.0) == home
    };
    assert!(stays(100) && !stays(2));
}
