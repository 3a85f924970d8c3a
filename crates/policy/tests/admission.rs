//! What a request has to expect of the decode servers, when it is taken in.
mod common;

use bitternlatch_policy::interface::*;
use common::*;

/// A warm decode server whose queue lasts for seconds, and an idle one that has just started;
/// another, perhaps.
fn jammed_and_warming(more: &[ServerEntry]) -> RouterHarness {
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
        harness.end(id, Outcome::PrefillDone, 0.05, 0.0);
        let to = harness.last().1;
        let report = if to == 12 {
            vec![1.0, 30.0, 1.0]
        } else {
            vec![0.0; 3]
        };
        let outcome = Outcome::Served;
        let (elapsed_s, prefix_hit_tokens, finished) = (0.1, 0.0, true);
        let (request, attempt, server) = (id, 1, to);
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
            report,
        };
        harness.handle(Event::AttemptEnded(end));
    }
    assert!(
        harness.sends.iter().any(|s| s.1 == 12),
        "its queue is known"
    );
    harness
}

/// Whose turn at the idle warming decode server it is not has to wait at the other one, however
/// near the idle one is: it is rejected at once, and not read first. Each of those that are taken
/// in goes to the warming decode server.
#[test]
fn request_without_a_turn_at_a_warming_server_counts_the_wait_at_others() {
    let mut harness = jammed_and_warming(&[]);
    let (mut accepted, mut turned_away) = (0, 0);
    for id in 1000..1100 {
        let out = harness.arrive(new_request(id));
        if rejected(&out, id) {
            turned_away += 1;
            continue;
        }
        accepted += 1;
        harness.end(id, Outcome::PrefillDone, 0.05, 0.0);
        assert_eq!(harness.last(), (id, 11));
        harness.stream(id);
        harness.end(id, Outcome::Served, 0.1, 0.0);
    }
    assert!(
        accepted >= 5 && turned_away >= 50,
        "{accepted} taken in, {turned_away} turned away"
    );
}

/// Beside a warm one that is idle nobody is rejected.
#[test]
fn idle_warm_decode_server_takes_all() {
    let mut harness = jammed_and_warming(&[server(13, 1, 1)]);
    for id in 1000..1020 {
        let out = harness.arrive(new_request(id));
        assert!(!rejected(&out, id));
        harness.end(id, Outcome::PrefillDone, 0.05, 0.0);
        assert_ne!(harness.last().1, 12);
        harness.stream(id);
        harness.end(id, Outcome::Served, 0.1, 0.0);
    }
}
