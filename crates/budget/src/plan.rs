//! Tenant budgets as configured in the settings.

use std::collections::BTreeMap;

use jiff::tz::TimeZone;
use serde::Deserialize;

use crate::period::PeriodUnit;

/// One tenant's budget across all dispatchers. A limit that is not set does not apply.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Rate limit.
    pub rate: Option<Rate>,
    /// Limit per day or month.
    pub period: Option<Period>,
    /// Fractions of both limits that only the named class may use, 0 to 1, by class name.
    #[serde(default)]
    pub reserve: BTreeMap<String, f64>,
}

/// A rate limit enforced by a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Refill rate, tokens per second.
    pub tokens_per_s: f64,
    /// Maximum number of tokens that accumulate.
    pub burst_tokens: f64,
}

/// A limit on the tokens used per day or month.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Period {
    /// Tokens per period.
    pub tokens: u64,
    /// Length of the period.
    pub per: PeriodUnit,
    /// Name in the IANA time zone database; periods begin at midnight in this zone.
    #[serde(default = "utc")]
    pub zone: String,
}

fn utc() -> String {
    "UTC".to_string()
}

impl Period {
    /// The configured time zone; `None` if the name is unknown.
    pub fn time_zone(&self) -> Option<TimeZone> {
        TimeZone::get(&self.zone).ok()
    }
}

impl Budget {
    /// Checks the constraints that the types do not express. `class` reports whether a class name exists.
    ///
    /// # Errors
    /// The path of the invalid key relative to the budget, and the cause.
    pub fn validate(&self, class: impl Fn(&str) -> bool) -> Result<(), (String, String)> {
        let invalid = |key: &str, cause: String| Err((key.to_string(), cause));
        if let Some(rate) = &self.rate {
            if !(rate.tokens_per_s > 0.0 && rate.tokens_per_s <= 1e12) {
                return invalid(
                    "rate.tokens_per_s",
                    format!("{} is not above 0 and at most 1e12", rate.tokens_per_s),
                );
            }
            if !(rate.burst_tokens >= 1.0 && rate.burst_tokens <= 1e15) {
                return invalid(
                    "rate.burst_tokens",
                    format!("{} is not between 1 and 1e15", rate.burst_tokens),
                );
            }
        }
        if let Some(period) = &self.period {
            if period.time_zone().is_none() {
                return invalid(
                    "period.zone",
                    format!("'{}' is not a known time zone", period.zone),
                );
            }
        }
        for (name, share) in &self.reserve {
            if !class(name) {
                return invalid("reserve", format!("'{name}' is not a class"));
            }
            if !(0.0..=1.0).contains(share) {
                return invalid(
                    "reserve",
                    format!("{share} for '{name}' is not between 0 and 1"),
                );
            }
        }
        let sum: f64 = self.reserve.values().sum();
        if sum > 1.0 {
            return invalid(
                "reserve",
                format!("the shares add up to {sum}, more than 1"),
            );
        }
        Ok(())
    }
}
