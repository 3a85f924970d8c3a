//! Unit tests of `choice/retry_budget.rs`.

use super::*;

#[test]
fn retries_are_bounded_by_tokens_and_earned_by_arrivals() {
    let mut budget = RetryBudget::new();
    (0..4).for_each(|_| assert!(budget.try_spend(1.0)));
    assert!(!budget.has_token() && !budget.try_spend(1.0));
    assert!(
        budget.try_spend(0.0),
        "sending the decode attempt after a prefill costs nothing"
    );
    (0..2).for_each(|_| budget.record_arrival());
    assert!(!budget.has_token());
    budget.record_arrival();
    assert!(budget.has_token() && budget.try_spend(1.0));
}

#[test]
fn saved_tokens_have_a_maximum() {
    let mut budget = RetryBudget::new();
    (0..100).for_each(|_| budget.record_arrival());
    assert!(budget.try_spend(MAX_TOKENS) && !budget.has_token());
}
