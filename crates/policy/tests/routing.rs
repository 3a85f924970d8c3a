//! The ordinary path: lowest estimated first-token time, then the lightest decode server.
mod common;
use bitternlatch_policy::interface::*;
use common::*;

#[test]
fn session_finds_its_prefill_server_at_another_router() {
    let mut a = RouterHarness::new(settings(Effect::Idempotent));
    let mut b = RouterHarness::new(settings(Effect::Idempotent));
    for prefix in 1..20u64 {
        let one = Request {
            prefix,
            session: prefix + 500,
            ..new_request(prefix as u32)
        };
        assert_eq!(a.serve(one.clone(), 0.0), b.serve(one, 0.0));
        a.pass(1.0);
        b.pass(1.0);
    }
}

#[test]
fn one_prefix_has_few_replicas() {
    let mut fleet: Vec<_> = (1..9).map(|id| server(id, 0, 0)).collect();
    fleet.push(server(11, 1, 0));
    let mut harness = RouterHarness::with_fleet(settings(Effect::Idempotent), fleet);
    let mut prefill_servers = std::collections::BTreeSet::new();
    for id in 1..30 {
        prefill_servers.insert(harness.serve(new_request(id), 1500.0));
        harness.pass(3.0);
    }
    assert_eq!(prefill_servers.len(), 2);
}

#[test]
fn long_own_queue_diverts_a_request_from_its_replica() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    for id in 1..12 {
        harness.arrive(new_request(id));
    }
    let prefill_servers: std::collections::BTreeSet<_> =
        harness.sends.iter().map(|s| s.1).collect();
    assert_eq!(prefill_servers.len(), 2);
}

#[test]
fn decode_server_is_chosen_after_the_prefill_in_its_cell() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    assert_eq!(harness.sends.len(), 1);
    let prefill_server = harness.last().1;
    harness.end(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(harness.last().1, prefill_server + 10);
}

#[test]
fn loaded_decode_server_loses_to_a_lighter_one_in_another_cell() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    let near = harness.last().1 + 10;
    let report = vec![0.9, 3.0, 0.9];
    harness.handle(Event::ProbeEnded {
        server: near,
        outcome: Outcome::Served,
        elapsed_s: 0.01,
        report,
    });
    harness.end(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_ne!(harness.last().1, near);
}

#[test]
fn mixed_server_takes_prefill_and_decode() {
    let mut harness =
        RouterHarness::with_fleet(settings(Effect::Idempotent), vec![server(1, 2, 0)]);
    harness.arrive(new_request(1));
    harness.stream(1);
    harness.end(1, Outcome::Served, 2.0, 0.0);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn rejected_kv_state_goes_to_the_next_decode_server() {
    let mut harness = RouterHarness::new(settings(Effect::NonIdempotent));
    harness.arrive(new_request(1));
    harness.end(1, Outcome::PrefillDone, 0.1, 0.0);
    let first = harness.last().1;
    harness.end(
        1,
        Outcome::Rejected {
            state_missing: false,
        },
        0.01,
        0.0,
    );
    assert!(harness.last().1 > 10 && harness.last().1 != first);
}

#[test]
fn lost_kv_state_is_prefilled_again() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    harness.end(1, Outcome::PrefillDone, 0.1, 0.0);
    harness.end(
        1,
        Outcome::Rejected {
            state_missing: true,
        },
        0.01,
        0.0,
    );
    assert!(harness.last().1 < 10);
}

#[test]
fn long_answer_avoids_servers_where_it_would_evict_others() {
    let long = Some(ExpectedTokens {
        mean: 9_000.0,
        p90: 30_000.0,
    });
    let chosen = |told: Option<ExpectedTokens>| {
        let mut harness = RouterHarness::new(settings(Effect::Idempotent));
        harness.arrive(Request {
            output_tokens: told,
            ..new_request(1)
        });
        let near = harness.last().1 + 10;
        let far = if near == 11 { 12 } else { 11 };
        // Nearly equal now; the far one has the room that the answer needs at its end.
        for (server, load) in [(near, 0.88), (far, 0.80)] {
            let report = vec![load, 0.0, load];
            harness.handle(Event::ProbeEnded {
                server,
                outcome: Outcome::Served,
                elapsed_s: 0.01,
                report,
            });
        }
        harness.end(1, Outcome::PrefillDone, 0.1, 0.0);
        (harness.last().1 == near, harness)
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
