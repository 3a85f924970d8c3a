//! The ordinary path: lowest estimated first-token time, then the lightest writer.
mod common;
use bitternlatch_policy::interface::*;
use common::*;

#[test]
fn a_session_finds_its_reader_again_at_another_router() {
    let mut a = Desk::new(settings(Effect::Idempotent));
    let mut b = Desk::new(settings(Effect::Idempotent));
    for prefix in 1..20u64 {
        let one = Request {
            prefix,
            session: prefix + 500,
            ..ask(prefix as u32)
        };
        assert_eq!(a.serve(one.clone(), 0.0), b.serve(one, 0.0));
        a.pass(1.0);
        b.pass(1.0);
    }
}

#[test]
fn one_prefix_is_read_at_few_homes() {
    let mut fleet: Vec<_> = (1..9).map(|id| server(id, 0, 0)).collect();
    fleet.push(server(11, 1, 0));
    let mut desk = Desk::with_fleet(settings(Effect::Idempotent), fleet);
    let mut readers = std::collections::BTreeSet::new();
    for id in 1..30 {
        readers.insert(desk.serve(ask(id), 1500.0));
        desk.pass(3.0);
    }
    assert_eq!(readers.len(), 2);
}

#[test]
fn a_long_own_queue_sends_a_request_away_from_its_home() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    for id in 1..12 {
        desk.arrive(ask(id));
    }
    let readers: std::collections::BTreeSet<_> = desk.sends.iter().map(|s| s.1).collect();
    assert_eq!(readers.len(), 2);
}

#[test]
fn the_writer_is_picked_after_the_read_and_in_the_readers_cell() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.arrive(ask(1));
    assert_eq!(desk.sends.len(), 1);
    let reader = desk.last().1;
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(desk.last().1, reader + 10);
}

#[test]
fn a_loaded_writer_loses_to_a_lighter_one_in_another_cell() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.arrive(ask(1));
    let near = desk.last().1 + 10;
    let report = vec![0.9, 3.0, 0.9];
    desk.tell(Event::ProbeEnded {
        server: near,
        outcome: Outcome::Served,
        elapsed_s: 0.01,
        report,
    });
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_ne!(desk.last().1, near);
}

#[test]
fn a_mixed_server_takes_a_request_whole() {
    let mut desk = Desk::with_fleet(settings(Effect::Idempotent), vec![server(1, 2, 0)]);
    desk.arrive(ask(1));
    desk.stream(1);
    desk.end(1, Outcome::Served, 2.0, 0.0);
    assert_eq!(desk.sends.len(), 1);
}

#[test]
fn a_full_writer_passes_the_state_to_the_next() {
    let mut desk = Desk::new(settings(Effect::NonIdempotent));
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    let first = desk.last().1;
    desk.end(
        1,
        Outcome::Rejected {
            state_missing: false,
        },
        0.01,
        0.0,
    );
    assert!(desk.last().1 > 10 && desk.last().1 != first);
}

#[test]
fn a_lost_state_is_read_again() {
    let mut desk = Desk::new(settings(Effect::Idempotent));
    desk.arrive(ask(1));
    desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
    desk.end(
        1,
        Outcome::Rejected {
            state_missing: true,
        },
        0.01,
        0.0,
    );
    assert!(desk.last().1 < 10);
}

#[test]
fn a_long_answer_is_not_put_where_it_would_push_out_others() {
    let long = Some(ExpectedTokens {
        mean: 9_000.0,
        p90: 30_000.0,
    });
    let chosen = |told: Option<ExpectedTokens>| {
        let mut desk = Desk::new(settings(Effect::Idempotent));
        desk.arrive(Request {
            output_tokens: told,
            ..ask(1)
        });
        let near = desk.last().1 + 10;
        let far = if near == 11 { 12 } else { 11 };
        // Nearly equal now; the far one has the room that the answer needs at its end.
        for (server, load) in [(near, 0.88), (far, 0.80)] {
            let report = vec![load, 0.0, load];
            desk.tell(Event::ProbeEnded {
                server,
                outcome: Outcome::Served,
                elapsed_s: 0.01,
                report,
            });
        }
        desk.end(1, Outcome::PrefillDone, 0.1, 0.0);
        (desk.last().1 == near, desk)
    };
    assert!(chosen(None).0);
    assert!(!chosen(long).0);
    // What nobody can mean changes nothing.
    assert!(
        chosen(Some(ExpectedTokens {
            mean: f64::NAN,
            p90: -5.0
        }))
        .0
    );
}
