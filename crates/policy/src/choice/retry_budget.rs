//! Retry budget: each arrival earns a fraction of a retry, so that retries add only a bounded
//! fraction of load.

/// Highest number of retries that the budget can save up.
const MAX_TOKENS: f64 = 4.0;
/// Retries earned by each arrival.
const TOKENS_PER_ARRIVAL: f64 = 0.4;

/// Token bucket in which one token pays for one retry.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full bucket.
    pub fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// Adds the tokens that one arrival earns, up to the maximum.
    pub fn record_arrival(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ARRIVAL).min(MAX_TOKENS);
    }

    /// Returns whether the budget can pay for a retry.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends tokens and returns true, or returns false and spends none if there are too few.
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
