//! Admission control: a new request is judged by the wait that it has to expect at decode servers.
mod common;

use bitternlatch_policy::interface::*;
use common::*;

/// Returns a router with a warm decode server, 12, whose queue takes seconds, an idle one, 11, that
/// has just started, and the servers in `more`.
fn with_overloaded_and_warming(more: &[ServerEntry]) -> RouterHarness {
    let warming = ServerEntry {
        booted_at: T0 - 0.1,
        ..server(11, 1, 0)
    };
    let fleet = [
        &[server(1, 0, 0), server(2, 0, 0), warming, server(12, 1, 1)],
        more,
    ]
    .concat();
    let mut harness = RouterHarness::with_fleet(settings(Effect::Idempotent), fleet);
    for id in 1..20 {
        harness.arrive(new_request(id));
        harness.end_attempt(id, Outcome::PrefillDone, 0.05, 0.0);
        let chosen = harness.last_send().1;
        let report = if chosen == 12 {
            vec![1.0, 30.0, 1.0]
        } else {
            vec![0.0; 3]
        };
        let outcome = Outcome::Served;
        let (elapsed_s, prefix_hit_tokens, finished) = (0.1, 0.0, true);
        let (request, attempt, server) = (id, 1, chosen);
        harness.handle(Event::FirstToken {
            request,
            attempt,
            server,
            elapsed_s,
        });
        let end = AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed_s,
            finished,
            prefix_hit_tokens,
            output_tokens: None,
            report,
        };
        harness.handle(Event::AttemptEnded(end));
    }
    assert!(
        harness.sends.iter().any(|s| s.1 == 12),
        "the queue at server 12 is reported"
    );
    harness
}

/// A request that slow start keeps from the idle warming decode server would have to wait at the
/// overloaded one, even if the idle one is nearer. It is rejected on arrival instead of being
/// prefilled first. Every admitted request goes to the warming decode server.
#[test]
fn request_without_a_turn_at_a_warming_server_counts_the_wait_at_others() {
    let mut harness = with_overloaded_and_warming(&[]);
    let (mut admitted, mut rejections) = (0, 0);
    for id in 1000..1100 {
        let out = harness.arrive(new_request(id));
        if rejected(&out, id) {
            rejections += 1;
            continue;
        }
        admitted += 1;
        harness.end_attempt(id, Outcome::PrefillDone, 0.05, 0.0);
        assert_eq!(harness.last_send(), (id, 11));
        harness.start_stream(id);
        harness.end_attempt(id, Outcome::Served, 0.1, 0.0);
    }
    assert!(
        admitted >= 5 && rejections >= 50,
        "{admitted} admitted, {rejections} rejected"
    );
}

/// With an idle warm decode server no request is rejected.
#[test]
fn idle_warm_decode_server_takes_all() {
    let mut harness = with_overloaded_and_warming(&[server(13, 1, 1)]);
    for id in 1000..1020 {
        let out = harness.arrive(new_request(id));
        assert!(!rejected(&out, id));
        harness.end_attempt(id, Outcome::PrefillDone, 0.05, 0.0);
        assert_ne!(harness.last_send().1, 12);
        harness.start_stream(id);
        harness.end_attempt(id, Outcome::Served, 0.1, 0.0);
    }
}

/// Guards against a slow start that refuses a quiet fleet's requests when all of its servers have
/// just restarted.
#[test]
fn request_is_served_while_all_servers_are_warming_up() {
    for seed_requests in 0..6 {
        let list: Vec<ServerEntry> = [(1, 0), (2, 0), (11, 1), (12, 1)]
            .into_iter()
            .map(|(id, kind)| ServerEntry {
                booted_at: T0 - 1.0,
                ..server(id, kind, 0)
            })
            .collect();
        let mut harness = RouterHarness::with_fleet(settings(Effect::Idempotent), list);
        harness.advance(0.5);
        let request = new_request(100 + seed_requests);
        let prefill = harness.serve(request, 0.0);
        assert!([1, 2].contains(&prefill), "served by {prefill}");
    }
}
