//! What a tenant may use, as the settings give it.

use std::collections::BTreeMap;

use jiff::tz::TimeZone;
use serde::Deserialize;

use crate::period::Per;

/// One tenant's budget, over all dispatchers. What is not set is not bounded.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub rate: Option<Rate>,
    pub period: Option<Period>,
    /// Shares of both that only the named class may use, 0 to 1.
    #[serde(default)]
    pub reserve: BTreeMap<String, f64>,
}

/// Tokens a second, and the most that are saved.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    pub tokens_per_s: f64,
    pub burst_tokens: f64,
}

/// Tokens a day or month.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Period {
    pub tokens: u64,
    pub per: Per,
    /// A name of the time zone database; its midnights begin the periods.
    #[serde(default = "utc")]
    pub zone: String,
}

fn utc() -> String {
    "UTC".to_string()
}

impl Period {
    /// The zone of its name.
    pub fn time_zone(&self) -> Option<TimeZone> {
        TimeZone::get(&self.zone).ok()
    }
}

impl Budget {
    /// Checks what types cannot.
    ///
    /// # Errors
    /// The key at fault, below the budget, and why.
    pub fn check(&self, class: impl Fn(&str) -> bool) -> Result<(), (String, String)> {
        let bad = |key: &str, why: String| Err((key.to_string(), why));
        if let Some(rate) = &self.rate {
            if !(rate.tokens_per_s > 0.0 && rate.tokens_per_s <= 1e12) {
                return bad(
                    "rate.tokens_per_s",
                    format!("{} is not above 0 and at most 1e12", rate.tokens_per_s),
                );
            }
            if !(rate.burst_tokens >= 1.0 && rate.burst_tokens <= 1e15) {
                return bad(
                    "rate.burst_tokens",
                    format!("{} is not between 1 and 1e15", rate.burst_tokens),
                );
            }
        }
        if let Some(period) = &self.period {
            if period.time_zone().is_none() {
                return bad("period.zone", format!("'{}' is no time zone", period.zone));
            }
        }
        for (name, share) in &self.reserve {
            if !class(name) {
                return bad("reserve", format!("'{name}' is no class"));
            }
            if !(0.0..=1.0).contains(share) {
                return bad(
                    "reserve",
                    format!("{share} for '{name}' is not between 0 and 1"),
                );
            }
        }
        let sum: f64 = self.reserve.values().sum();
        if sum > 1.0 {
            return bad(
                "reserve",
                format!("the shares add up to {sum}, more than 1"),
            );
        }
        Ok(())
    }
}
