//! The retry budget: retries are earned by arrivals, so that they add a bounded share of load.

/// Retries that can be saved up.
const MAX_TOKENS: f64 = 4.0;
/// Retries earned by one arrival.
const TOKENS_PER_ARRIVAL: f64 = 0.4;

/// A token bucket: one token is one retry.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full bucket.
    pub fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// A request has arrived.
    pub fn record_arrival(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ARRIVAL).min(MAX_TOKENS);
    }

    /// A retry could be paid for.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes tokens where there are as many; `false` leaves them.
    pub fn try_spend(&mut self, tokens: f64) -> bool {
        let left = self.tokens - tokens;
        if left < 0.0 {
            return false;
        }
        self.tokens = left;
        true
    }
}

#[cfg(test)]
#[path = "../part_tests/retry_budget.rs"]
mod tests;
