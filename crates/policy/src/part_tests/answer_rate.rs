//! Unit tests of `choice/answer_rate.rs`.

use super::*;

const SECONDS: u32 = 60;

fn context(warm: f64) -> DecisionContext {
    let capacity = RoleCapacity {
        live_servers: warm,
        warm_equivalents: warm,
    };
    DecisionContext {
        role_capacities: [capacity; 3],
        ..DecisionContext::default()
    }
}

/// A minute in which each server of `per_s` answers so many requests a second.
fn answered(rates: &mut AnswerRates, from_s: u32, per_s: &[u32]) {
    for second in from_s..=from_s + SECONDS {
        rates.observe(f64::from(second), &context(per_s.len() as f64));
        for (id, answers) in per_s.iter().enumerate() {
            (0..*answers).for_each(|_| rates.record_answer(id as ServerId, Role::Decode, true));
        }
    }
}

#[test]
fn servers_that_are_away_do_not_change_the_rate_of_one() {
    let mut rates = AnswerRates::default();
    assert_eq!(rates.per_server_s(Role::Decode), None);
    answered(&mut rates, 0, &[5, 5, 5, 5]);
    let all = rates.per_server_s(Role::Decode).unwrap_or_default();
    answered(&mut rates, SECONDS, &[5, 5]);
    let half = rates.per_server_s(Role::Decode).unwrap_or_default();
    assert!(
        (all - 5.0).abs() < 0.2 && (half - 5.0).abs() < 0.2,
        "{all} {half}"
    );
}

#[test]
fn speed_is_that_of_the_server_and_at_most_the_mean() {
    let mut rates = AnswerRates::default();
    answered(&mut rates, 0, &[2, 6, 6, 6]);
    assert!((rates.speed(0) - 0.4).abs() < 0.1, "{}", rates.speed(0));
    assert_eq!((rates.speed(1), rates.speed(99)), (1.0, 1.0));
    rates.record_answer(0, Role::Decode, false);
    assert!(rates.speed(0) < 0.5, "also while its next process is cold");
}
