//! Unit tests of `choice/health.rs`.

use super::*;

const NOW: f64 = 1_000.0;

#[test]
fn failures_raise_the_failure_cost_and_successes_lower_it() {
    let mut health = ServerHealth::default();
    assert_eq!(health.failure_cost_s(NOW), 0.0);
    health.record_failure(0.9, NOW);
    let failed = health.failure_cost_s(NOW);
    assert!((failed - 0.3).abs() < 1e-9, "{failed}");
    assert_eq!(health.last_success_at(), 0.0);
    health.record_success(NOW);
    assert!(health.failure_cost_s(NOW) < failed);
    assert_eq!(health.last_success_at(), NOW);
    health.apply_reported_failure(NOW);
    assert_eq!(health.failure_cost_s(NOW), REPORTED_FAILURE_COST_S);
}

#[test]
fn rejection_and_reported_drain_exclude_a_server_temporarily() {
    let mut health = ServerHealth::default();
    health.record_reported_drain(NOW);
    health.record_rejection(NOW);
    assert!(health.is_excluded(NOW + 0.9));
    assert!(!health.is_excluded(NOW + 1.0));
}

#[test]
fn unanswered_probe_adds_delay_by_its_age_until_it_ends() {
    let mut health = ServerHealth::default();
    assert!(health.needs_probe(NOW - 1.0, NOW));
    health.probe_sent(NOW);
    assert!(!health.needs_probe(NOW - 1.0, NOW + 0.4));
    assert_eq!(health.unanswered_probe_delay_s(0.1, NOW + 0.05), 0.0);
    assert_eq!(health.unanswered_probe_delay_s(0.1, NOW + 0.5), 2.0);
    health.probe_ended();
    assert_eq!(health.unanswered_probe_delay_s(0.1, NOW + 0.5), 0.0);
}

#[test]
fn reported_failure_expires() {
    let mut health = ServerHealth::default();
    health.record_reported_failing(NOW);
    assert!(health.is_reported_failing(NOW + 2.9));
    assert!(!health.is_reported_failing(NOW + 3.0));
}
