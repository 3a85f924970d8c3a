//! Unit tests of `choice/traffic_mean.rs`.

use super::*;

fn request(prompt_tokens: f64, max_output_tokens: f64) -> Request {
    Request {
        prompt_tokens,
        max_output_tokens,
        ..Request::default()
    }
}

/// Two requests in five are four times as long as the others.
fn unlike_requests() -> TrafficMean {
    let mut mean = TrafficMean::default();
    for n in 0..1000 {
        let tokens = if n % 5 < 2 { 400.0 } else { 100.0 };
        mean.record_arrival(&request(tokens, 300.0), 0.1 * f64::from(n));
    }
    mean
}

#[test]
fn work_is_relative_to_the_mean_length_of_the_role() {
    let mean = unlike_requests();
    let work = |request: &Request, role| mean.relative_work(request, role);
    let long = request(400.0, 30.0);
    assert!((work(&long, Role::Prefill) - 400.0 / 220.0).abs() < 0.05);
    assert!((work(&long, Role::Decode) - 0.1).abs() < 1e-9);
    assert_eq!(work(&long, Role::Mixed), work(&long, Role::Prefill));
}

/// Turns at even costs are neither more requests nor more work than requests of mean work.
#[test]
fn costs_bound_the_number_and_the_work_of_turns() {
    let mean = unlike_requests();
    let (mut count, mut work) = (0.0, 0.0);
    for tokens in [400.0, 400.0, 100.0, 100.0, 100.0] {
        let request = request(tokens, 300.0);
        let turns = 0.2 / mean.slow_start_cost(&request, Role::Prefill);
        count += turns;
        work += turns * mean.relative_work(&request, Role::Prefill);
    }
    assert!(count < 1.03 && work < 1.03, "{count} {work}");
    assert!(count.max(work) > 0.97, "{count} {work}");
}

/// A lull must not make the usual rate look small: little traffic would count as a large part of
/// what a server can do.
#[test]
fn lull_hardly_lowers_the_usual_rate() {
    let mut mean = TrafficMean::default();
    for n in 0..300 {
        mean.record_arrival(&request(100.0, 100.0), 0.1 * f64::from(n));
    }
    let before = mean.usual_per_s();
    assert!((before - 10.0).abs() < 1.0, "{before}");
    mean.record_arrival(&request(100.0, 100.0), 30.0 + 12.0);
    assert!(mean.usual_per_s() > 0.6 * before, "{}", mean.usual_per_s());
}
