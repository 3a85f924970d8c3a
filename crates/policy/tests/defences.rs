//! Each defence against a kind of symptom, alone and two together.
mod common;
use bitternlatch_policy::interface::*;
use common::*;

fn plain(id: RequestId) -> Request {
    Request {
        prefix: 0,
        prefix_tokens: 0.0,
        ..ask(id)
    }
}

/// A turn of one session, so that its homes stand in one order.
fn same(id: RequestId) -> Request {
    Request {
        session: 5,
        ..ask(id)
    }
}

fn reads_at(desk: &Desk, from: usize, server: ServerId) -> usize {
    desk.sends[from..].iter().filter(|s| s.1 == server).count()
}

#[test]
fn an_overdue_read_turns_its_homes_next_requests_away() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    let home = desk.serve(same(1), 0.0);
    desk.arrive(same(2));
    assert_eq!(desk.last().1, home);
    desk.pass(0.8);
    desk.arrive(same(3));
    assert_ne!(desk.last().1, home);
}

#[test]
fn one_evicted_text_does_not_turn_a_homes_requests_away() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    let home = desk.serve(same(1), 1500.0);
    desk.pass(5.0);
    desk.serve(same(2), 0.0);
    desk.pass(5.0);
    assert_eq!(desk.serve(same(3), 1500.0), home);
}

#[test]
fn a_reader_that_fails_at_once_does_not_look_like_a_short_queue() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    let mut from = 0;
    for id in 1..80 {
        from = if id == 40 { desk.sends.len() } else { from };
        desk.arrive(plain(id));
        if desk.last().1 == 1 {
            desk.end(id, Outcome::Error, 0.002, 0.0);
        }
        desk.pass(0.05);
        desk.end(id, Outcome::PrefillDone, 0.05, 0.0);
        desk.stream(id);
        desk.end(id, Outcome::Served, 0.1, 0.0);
        desk.pass(0.3);
    }
    assert!(
        reads_at(&desk, from, 1) <= 5,
        "{} reads at the failing server",
        reads_at(&desk, from, 1)
    );
}

/// When a read is called back whose reader was last heard of so long before.
fn called_back_after(quiet_s: f64) -> Option<usize> {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.change(ServerEntry {
        status: ServerStatus::Draining,
        ..server(2, 0, 1)
    });
    desk.serve(same(1), 0.0);
    desk.pass(quiet_s);
    desk.arrive(same(2));
    (1..60).find(|_| {
        desk.pass(0.1).contains(&Action::Cancel {
            request: 2,
            attempt: 0,
        })
    })
}

#[test]
fn a_silent_servers_read_is_called_back_and_read_elsewhere() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    let silent = desk.serve(same(1), 0.0);
    desk.pass(1.0);
    desk.arrive(same(2));
    assert_eq!(desk.last(), (2, silent));
    assert!(desk.pass(2.5).contains(&Action::Cancel {
        request: 2,
        attempt: 0
    }));
    desk.end(2, Outcome::Cancelled, 2.5, 0.0);
    assert_ne!(desk.last().1, silent);
}

#[test]
fn silence_of_a_server_seldom_heard_of_proves_less() {
    let (often, seldom) = (called_back_after(1.0), called_back_after(20.0));
    assert!(
        often.is_some() && seldom > often,
        "{often:?} against {seldom:?}"
    );
}

#[test]
fn a_late_read_at_a_server_that_answers_others_is_left_alone() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.change(ServerEntry {
        status: ServerStatus::Draining,
        ..server(2, 0, 1)
    });
    desk.arrive(same(1));
    desk.arrive(same(2));
    assert_eq!(desk.sends[0].1, desk.sends[1].1);
    desk.pass(1.0);
    desk.end(2, Outcome::PrefillDone, 1.0, 0.0);
    assert!(!desk
        .pass(1.5)
        .iter()
        .any(|a| matches!(a, Action::Cancel { request: 1, .. })));
}

#[test]
fn a_server_shut_out_for_silence_gets_trials_and_comes_back() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    for id in 1..4 {
        desk.change(ServerEntry {
            status: ServerStatus::Draining,
            ..server(2, 0, 1)
        });
        desk.arrive(plain(id));
        desk.pass(2.0);
        desk.change(server(2, 0, 1));
        desk.end(id, Outcome::Reset, 2.0, 0.0);
        desk.end(id, Outcome::PrefillDone, 0.05, 0.0);
        desk.stream(id);
        desk.end(id, Outcome::Served, 0.1, 0.0);
    }
    let from = desk.sends.len();
    for id in 200..400 {
        let group = [id, id + 1000, id + 2000];
        group.iter().for_each(|id| drop(desk.arrive(plain(*id))));
        desk.pass(0.1);
        for id in group {
            desk.end(id, Outcome::PrefillDone, 0.1, 0.0);
            desk.stream(id);
            desk.end(id, Outcome::Served, 0.1, 0.0);
        }
    }
    assert!(
        reads_at(&desk, from, 1) > 100,
        "{} reads",
        reads_at(&desk, from, 1)
    );
}

#[test]
fn retries_have_a_budget() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    let mut given_up = 0;
    for id in 1..200 {
        desk.arrive(plain(id));
        while final_answers(&desk.log, id) == 0 {
            desk.end(id, Outcome::Error, 0.002, 0.0);
        }
        given_up += final_answers(&desk.log, id);
    }
    assert_eq!(given_up, 199);
    assert!(desk.sends.len() < 199 * 3 / 2, "{} sends", desk.sends.len());
}

#[test]
fn a_slow_cell_link_keeps_the_next_state_in_its_cell() {
    let fleet = vec![server(1, 0, 0), server(11, 1, 0), server(12, 1, 1)];
    let mut desk = Desk::with_fleet(settings(Effect::Idempotent), fleet);
    let busy = |desk: &mut Desk, load: f64| {
        let report = vec![load, 0.0, load];
        desk.tell(Event::ProbeEnded {
            server: 11,
            outcome: Outcome::Served,
            elapsed_s: 0.01,
            report,
        });
    };
    busy(&mut desk, 0.8);
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(desk.last().1, 12);
    desk.pass(1.2);
    desk.stream(1);
    busy(&mut desk, 0.8);
    desk.arrive(ask(2));
    desk.end(2, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(desk.last().1, 11);
}

#[test]
fn a_burst_beyond_the_aim_is_refused_at_once_with_a_time_to_come_back() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    for id in 1..80 {
        desk.arrive(plain(id));
    }
    let refusals: Vec<f64> = desk
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
fn lateness_seen_refuses_sooner_and_is_forgotten() {
    let sends = |late: bool, rest: f64| {
        let mut desk = Desk::new(settings(Effect::Idempotent));
        for id in 1..20 {
            desk.arrive(plain(id));
            desk.end(id, Outcome::PrefillDone, 0.05, 0.0);
        }
        desk.now += if late { 2.5 } else { 0.1 };
        for id in 1..20 {
            desk.stream(id);
            desk.end(id, Outcome::Served, 0.1, 0.0);
        }
        desk.pass(rest);
        let from = desk.sends.len();
        for id in 100..180 {
            desk.arrive(plain(id));
        }
        desk.sends.len() - from
    };
    let (usual, soon, later) = (sends(false, 1.0), sends(true, 0.1), sends(true, 30.0));
    assert!(soon < usual, "{soon} against {usual}");
    assert!(later + 3 >= usual, "{later} against {usual}");
}

#[test]
fn a_tenant_over_its_share_is_refused_first() {
    let tenants = vec![
        TenantSettings { quota_rps: 2.0 },
        TenantSettings { quota_rps: 200.0 },
    ];
    let mut desk = Desk::new(Settings {
        tenants,
        over_quota_weight_fraction: 0.05,
        ..settings(Effect::Idempotent)
    });
    for id in 1..30 {
        desk.arrive(Request {
            tenant: id % 2,
            ..plain(id)
        });
    }
    let refused_of = |tenant: u32| {
        (1..30)
            .filter(|id| id % 2 == tenant && refused(&desk.log, *id))
            .count()
    };
    assert!(refused_of(0) > refused_of(1));
}

#[test]
fn a_part_of_the_share_counts_from_its_moment_and_shrinks_at_once() {
    // Of 200 requests a second a router of a hundred has two; with the whole, a burst of 400.
    let refused_with = |parts: &[(f64, f64)]| {
        let tenants = vec![TenantSettings { quota_rps: 200.0 }];
        let set = Settings {
            tenants,
            dispatchers: 100,
            over_quota_weight_fraction: 0.0,
            ..settings(Effect::Idempotent)
        };
        let mut desk = Desk::new(set);
        for (part, ago) in parts {
            desk.tell(Event::QuotaFraction {
                fraction: *part,
                since: desk.now - ago,
            });
            desk.pass(10.0);
        }
        (1..60).for_each(|id| drop(desk.arrive(plain(id))));
        (1..60).filter(|id| refused(&desk.log, *id)).count()
    };
    let alone = refused_with(&[]);
    assert!(alone > 40, "{alone}");
    // What the fleet cannot bear is refused whatever the share.
    let whole = refused_with(&[(1.0, 0.0)]);
    assert!(whole < alone / 2, "{whole} against {alone}");
    assert_eq!(refused_with(&[(1.0, 0.0), (0.01, 0.0)]), alone, "shrunk");
    assert!(refused_with(&[(0.0, 20.0), (0.0, 0.0)]) >= alone);
}

#[test]
fn restarts_are_told_by_boot_time_and_clear_what_was_believed() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    let home = desk.serve(ask(1), 0.0);
    desk.pass(1.0);
    desk.change(ServerEntry {
        booted_at: desk.now,
        ..server(home, 0, (home - 1) as u16)
    });
    desk.arrive(ask(2));
    assert_ne!(desk.last().1, home);
}

#[test]
fn a_failing_reader_and_a_drain_together_still_get_the_request_read() {
    let mut fleet = vec![
        server(1, 0, 0),
        server(2, 0, 1),
        server(3, 0, 0),
        server(11, 1, 0),
    ];
    fleet[2].status = ServerStatus::Draining;
    let mut desk = Desk::with_fleet(settings(Effect::NonIdempotent), fleet);
    desk.arrive(ask(1));
    let first = desk.last().1;
    desk.end(1, Outcome::Reset, 0.01, 0.0);
    assert!(desk.last().1 != first && desk.last().1 != 3);
}

#[test]
fn odd_figures_and_unknown_ids_are_passed_over() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.tell(Event::Timer { label: 12345 });
    desk.tell(Event::ClientDisconnected { request: 999 });
    desk.tell(Event::FirstToken {
        request: 999,
        attempt: 0,
        server: 5,
        elapsed_s: f64::NAN,
    });
    let report = vec![f64::NAN, -1.0, f64::INFINITY];
    desk.tell(Event::ProbeEnded {
        server: 1,
        outcome: Outcome::Served,
        elapsed_s: f64::NAN,
        report,
    });
    let odd = Request {
        prompt_tokens: f64::NAN,
        prefix_tokens: f64::INFINITY,
        class: 60_000,
        ..ask(1)
    };
    desk.arrive(odd);
    desk.end(1, Outcome::PrefillDone, f64::NAN, f64::NAN);
    desk.end(1, Outcome::Served, f64::NAN, 0.0);
    desk.serve(ask(2), 0.0);
    assert_eq!(desk.sends.iter().filter(|s| s.0 == 2).count(), 2);
}

#[test]
fn interleaved_routers_act_as_they_do_alone() {
    let run = |desk: &mut Desk, id: u32| {
        desk.arrive(Request {
            prefix: u64::from(id % 3) + 1,
            ..ask(id)
        });
        desk.pass(0.02);
        desk.end(id, Outcome::PrefillDone, 0.02, 0.0);
    };
    let mut alone = Desk::new(settings(Effect::Idempotent));
    (1..40).for_each(|id| run(&mut alone, id));
    let (mut one, mut other) = (
        Desk::new(settings(Effect::Idempotent)),
        Desk::new(settings(Effect::Idempotent)),
    );
    for id in 1..40 {
        run(&mut one, id);
        run(&mut other, 1000 + id);
    }
    assert_eq!(alone.log, one.log);
}

#[test]
fn the_writer_that_has_just_failed_a_request_is_not_asked_again_while_another_is_a_little_busier() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.change(ServerEntry {
        status: ServerStatus::Draining,
        ..server(11, 1, 0)
    });
    for id in 1..51 {
        desk.arrive(plain(id));
        desk.pass(0.05);
        desk.end(id, Outcome::PrefillDone, 0.05, 0.0);
        desk.stream(id);
        desk.pass(0.3);
    }
    desk.change(server(11, 1, 0));
    desk.arrive(plain(99));
    desk.pass(0.05);
    desk.end(99, Outcome::PrefillDone, 0.05, 0.0);
    assert_eq!(desk.last(), (99, 11), "the empty one first");
    desk.end(99, Outcome::Error, 0.001, 0.0);
    assert_eq!(
        desk.last(),
        (99, 12),
        "and not again, as it fails at once and stays empty"
    );
}
