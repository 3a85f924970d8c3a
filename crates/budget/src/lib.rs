//! Token budgets of tenants, and the charges against them.
//!
//! - [`plan`]: a tenant's budget in the settings: a rate with a burst, an amount per day or month, and fractions
//!   reserved for named classes.
//! - [`bucket`] and [`period`]: the two kinds of limit; both accept a clock that is set back.
//! - [`book`]: the accounts of one dispatcher: tokens are reserved at admission and settled to the actual usage.
//! - [`charge`]: append-only charge entries and their corrections, and the bills computed from them.
//! - [`lease`]: how many dispatchers share one rate without a round trip for each request.
//! - [`ledger`]: the messages between dispatchers and the quota server, and the quota server's decisions.
//!
//! The crate performs no I/O and reads no clock; the caller passes the time in.

pub mod book;
pub mod bucket;
pub mod charge;
pub mod lease;
pub mod ledger;
pub mod period;
pub mod plan;

use serde::{Deserialize, Serialize};

/// Token usage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens.
    pub output: u32,
}

impl Amount {
    /// Sum of prompt and output tokens.
    pub fn total(self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }
}
