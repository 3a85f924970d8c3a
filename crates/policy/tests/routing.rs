//! Routing without faults: a request goes to the prefill server with the lowest estimated time to
//! the first token, then to the least loaded decode server.
mod common;
use bitternlatch_policy::interface::*;
use common::*;

#[test]
fn routers_agree_on_the_prefill_server_of_a_session() {
    let mut a = RouterHarness::new(settings(Effect::Idempotent));
    let mut b = RouterHarness::new(settings(Effect::Idempotent));
    for prefix in 1..20u64 {
        let request = Request {
            prefix,
            session: prefix + 500,
            ..new_request(prefix as u32)
        };
        assert_eq!(a.serve(request.clone(), 0.0), b.serve(request, 0.0));
        a.advance(1.0);
        b.advance(1.0);
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
        harness.advance(3.0);
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
    let prefill_server = harness.last_send().1;
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_eq!(harness.last_send().1, prefill_server + 10);
}

#[test]
fn loaded_decode_server_loses_to_a_lighter_one_in_another_cell() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    let near = harness.last_send().1 + 10;
    let report = vec![0.9, 3.0, 0.9];
    harness.handle(Event::ProbeEnded {
        server: near,
        outcome: Outcome::Served,
        elapsed_s: 0.01,
        report,
    });
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    assert_ne!(harness.last_send().1, near);
}

#[test]
fn mixed_server_takes_prefill_and_decode() {
    let mut harness =
        RouterHarness::with_fleet(settings(Effect::Idempotent), vec![server(1, 2, 0)]);
    harness.arrive(new_request(1));
    harness.start_stream(1);
    harness.end_attempt(1, Outcome::Served, 2.0, 0.0);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn rejected_kv_state_goes_to_the_next_decode_server() {
    let mut harness = RouterHarness::new(settings(Effect::NonIdempotent));
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    let first = harness.last_send().1;
    harness.end_attempt(
        1,
        Outcome::Rejected {
            state_missing: false,
        },
        0.01,
        0.0,
    );
    assert!(harness.last_send().1 > 10 && harness.last_send().1 != first);
}

#[test]
fn lost_kv_state_is_prefilled_again() {
    let mut harness = RouterHarness::new(settings(Effect::Idempotent));
    harness.arrive(new_request(1));
    harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
    harness.end_attempt(
        1,
        Outcome::Rejected {
            state_missing: true,
        },
        0.01,
        0.0,
    );
    assert!(harness.last_send().1 < 10);
}

#[test]
fn long_answer_avoids_servers_where_it_would_evict_others() {
    let long = Some(ExpectedTokens {
        mean: 9_000.0,
        p90: 30_000.0,
    });
    let stays_near = |expected: Option<ExpectedTokens>| {
        let mut harness = RouterHarness::new(settings(Effect::Idempotent));
        harness.arrive(Request {
            output_tokens: expected,
            ..new_request(1)
        });
        let near = harness.last_send().1 + 10;
        let far = if near == 11 { 12 } else { 11 };
        // Both servers have almost the same load now, but only the far one has the memory that a
        // long answer needs at its end.
        for (server, load) in [(near, 0.88), (far, 0.80)] {
            let report = vec![load, 0.0, load];
            harness.handle(Event::ProbeEnded {
                server,
                outcome: Outcome::Served,
                elapsed_s: 0.01,
                report,
            });
        }
        harness.end_attempt(1, Outcome::PrefillDone, 0.1, 0.0);
        (harness.last_send().1 == near, harness)
    };
    assert!(stays_near(None).0);
    assert!(!stays_near(long).0);
    // Invalid expected lengths are ignored.
    assert!(
        stays_near(Some(ExpectedTokens {
            mean: f64::NAN,
            p90: -5.0
        }))
        .0
    );
}
