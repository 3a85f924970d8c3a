//! Limits on the tokens used per day or month in a time zone.

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};

use crate::bucket::InsufficientBudget;

/// Length of a budget period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeriodUnit {
    /// A calendar day.
    Day,
    /// A calendar month.
    Month,
}

/// Identifies a period by its begin, Unix seconds. A reservation is settled in the period in which it was made, even if
/// that period has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeriodId(pub i64);

/// Begin and end of the period that contains `now_s`, Unix seconds. A day has 23, 24 or 25 hours, depending on
/// daylight saving time changes.
pub fn bounds(per: PeriodUnit, zone: &TimeZone, now_s: f64) -> Option<(i64, i64)> {
    let now = Timestamp::from_second(now_s as i64).ok()?;
    let today = zone.to_datetime(now).date();
    let (first, next): (Date, Date) = match per {
        PeriodUnit::Day => (today, today.checked_add(1.day()).ok()?),
        PeriodUnit::Month => {
            let first = today.first_of_month();
            (first, first.checked_add(1.month()).ok()?)
        }
    };
    let begins = |d: Date| Some(zone.to_timestamp(d.into()).ok()?.as_second());
    Some((begins(first)?, begins(next)?))
}

/// A limit on the tokens used per period, with the usage in the current period.
#[derive(Clone, Debug)]
pub struct PeriodAllowance {
    /// Tokens per period.
    tokens: u64,
    per: PeriodUnit,
    zone: TimeZone,
    /// Begin of the current period, Unix seconds.
    begins: i64,
    /// End of the current period, Unix seconds.
    ends: i64,
    /// Tokens used or reserved in the current period.
    used: u64,
}

impl PeriodAllowance {
    /// Creates an allowance of which nothing has been used.
    pub fn new(tokens: u64, per: PeriodUnit, zone: TimeZone) -> PeriodAllowance {
        PeriodAllowance {
            tokens,
            per,
            zone,
            begins: i64::MIN,
            ends: i64::MIN,
            used: 0,
        }
    }

    /// Advances to the period that contains `now_s`. Never returns to an earlier period: a clock that is set back past
    /// midnight would otherwise grant an allowance twice.
    fn advance(&mut self, now_s: f64) {
        if now_s < self.ends as f64 {
            return;
        }
        if let Some((begins, ends)) = bounds(self.per, &self.zone, now_s) {
            (self.begins, self.ends, self.used) = (begins, ends, 0);
        }
    }

    /// Checks whether `amount` tokens can be taken while `floor` tokens, reserved for other classes, remain.
    ///
    /// # Errors
    /// [`InsufficientBudget`], with the time until the next period, or `Never` if the sum exceeds a whole period's tokens.
    pub fn check(&mut self, now_s: f64, amount: u64, floor: u64) -> Result<(), InsufficientBudget> {
        self.advance(now_s);
        let needed = amount.saturating_add(floor);
        if self.used.saturating_add(needed) <= self.tokens {
            Ok(())
        } else if needed > self.tokens {
            Err(InsufficientBudget::Never)
        } else {
            Err(InsufficientBudget::RetryAfter(
                (self.ends as f64 - now_s).max(0.0),
            ))
        }
    }

    /// Takes `amount` tokens and returns the period from which they were taken.
    pub fn take(&mut self, amount: u64) -> PeriodId {
        self.used = self.used.saturating_add(amount);
        PeriodId(self.begins)
    }

    /// Replaces a reservation of `reserved` tokens by the actual usage. Has no effect if its period has ended; the bill
    /// still accounts for it.
    pub fn settle(&mut self, period: PeriodId, reserved: u64, used: u64) {
        if period == PeriodId(self.begins) {
            self.used = self.used.saturating_sub(reserved).saturating_add(used);
        }
    }

    /// Tokens left in the period that contains `now_s`.
    pub fn remaining(&mut self, now_s: f64) -> u64 {
        self.advance(now_s);
        self.tokens.saturating_sub(self.used)
    }

    /// Seconds until the current period ends.
    pub fn time_until_end_s(&mut self, now_s: f64) -> f64 {
        self.advance(now_s);
        (self.ends as f64 - now_s).max(0.0)
    }

    /// Sets the tokens per period; the usage in the current period is unchanged.
    pub fn set_tokens(&mut self, tokens: u64) {
        self.tokens = tokens;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn zone(name: &str) -> TimeZone {
        TimeZone::get(name).expect("a zone")
    }

    #[test]
    fn days_and_months_follow_the_time_zone() {
        // 2026-03-29 in Berlin has 23 hours, 2026-10-25 has 25; Port of Spain has no daylight saving time.
        let day = |name, at: i64| {
            bounds(PeriodUnit::Day, &zone(name), at as f64).map(|(b, e)| (e - b) / 3600)
        };
        assert_eq!(day("Europe/Berlin", 1_774_780_000), Some(23));
        assert_eq!(day("Europe/Berlin", 1_792_920_000), Some(25));
        assert_eq!(day("America/Port_of_Spain", 1_774_780_000), Some(24));
        let (begins, ends) = bounds(
            PeriodUnit::Month,
            &zone("America/Port_of_Spain"),
            1_770_000_000.0,
        )
        .expect("a month");
        assert_eq!((ends - begins) / 86_400, 28, "February 2026");
        assert_eq!(begins % 86_400, 4 * 3600, "midnight in Port of Spain");
    }

    #[test]
    fn allowance_is_per_period_and_settled_in_the_period_of_the_reservation() {
        let midnight = 1_770_004_800.0;
        let mut a = PeriodAllowance::new(100, PeriodUnit::Day, TimeZone::UTC);
        let before = midnight - 10.0 - midnight % 86_400.0 + 86_400.0;
        assert_eq!(a.check(before, 80, 0), Ok(()));
        let first = a.take(80);
        assert_eq!(
            a.check(before, 80, 0),
            Err(InsufficientBudget::RetryAfter(10.0))
        );
        assert_eq!(a.check(before, 101, 0), Err(InsufficientBudget::Never));
        assert_eq!(
            a.check(before, 10, 20),
            Err(InsufficientBudget::RetryAfter(10.0)),
            "the reserve is not used"
        );
        // The period ends before the reservation is settled: the new period is neither charged nor refunded for it.
        let after = before + 20.0;
        assert_eq!(a.remaining(after), 100);
        let second = a.take(30);
        a.settle(first, 80, 10);
        assert_eq!((a.remaining(after), first < second), (70, true));
        a.settle(second, 30, 45);
        assert_eq!(a.remaining(after), 55);
        // The clock is set back past midnight, to the earlier day: the allowance stays in the new day's period, whose usage of 45
        // tokens is still subtracted.
        assert_eq!(a.remaining(before), 55);
    }
}
