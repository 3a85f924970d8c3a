//! An amount a day or month, in a time zone.

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};

use crate::bucket::Short;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Per {
    Day,
    Month,
}

/// One period, by the Unix second at which it began: what is held in one is settled in it, whenever that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeriodId(pub i64);

/// Begin and end of the period that holds a time, Unix seconds. A day has 23, 24 or 25 hours as the zone has it.
pub fn bounds(per: Per, zone: &TimeZone, now_s: f64) -> Option<(i64, i64)> {
    let now = Timestamp::from_second(now_s as i64).ok()?;
    let today = zone.to_datetime(now).date();
    let (first, next): (Date, Date) = match per {
        Per::Day => (today, today.checked_add(1.day()).ok()?),
        Per::Month => {
            let first = today.first_of_month();
            (first, first.checked_add(1.month()).ok()?)
        }
    };
    let begins = |d: Date| Some(zone.to_timestamp(d.into()).ok()?.as_second());
    Some((begins(first)?, begins(next)?))
}

/// What is left of an amount until the period ends.
#[derive(Clone, Debug)]
pub struct Allowance {
    amount: u64,
    per: Per,
    zone: TimeZone,
    begins: i64,
    ends: i64,
    used: u64,
}

impl Allowance {
    /// Nothing used yet.
    pub fn new(amount: u64, per: Per, zone: TimeZone) -> Allowance {
        Allowance {
            amount,
            per,
            zone,
            begins: i64::MIN,
            ends: i64::MIN,
            used: 0,
        }
    }

    /// Goes into the period that holds a time; never back into one that has ended, as a clock that is set back over
    /// midnight would give its amount once more.
    fn roll(&mut self, now_s: f64) {
        if now_s < self.ends as f64 {
            return;
        }
        if let Some((begins, ends)) = bounds(self.per, &self.zone, now_s) {
            (self.begins, self.ends, self.used) = (begins, ends, 0);
        }
    }

    /// Whether an amount is left and `floor` with it.
    ///
    /// # Errors
    /// [`Short`]: until the next period, or for ever where no period has so much.
    pub fn check(&mut self, now_s: f64, amount: u64, floor: u64) -> Result<(), Short> {
        self.roll(now_s);
        let wanted = amount.saturating_add(floor);
        if self.used.saturating_add(wanted) <= self.amount {
            Ok(())
        } else if wanted > self.amount {
            Err(Short::Ever)
        } else {
            Err(Short::For((self.ends as f64 - now_s).max(0.0)))
        }
    }

    /// Takes an amount and tells of which period.
    pub fn take(&mut self, amount: u64) -> PeriodId {
        self.used = self.used.saturating_add(amount);
        PeriodId(self.begins)
    }

    /// Puts an amount that was held in a period right; one that has ended since is past changing here, the bill has it.
    pub fn settle(&mut self, period: PeriodId, held: u64, used: u64) {
        if period == PeriodId(self.begins) {
            self.used = self.used.saturating_sub(held).saturating_add(used);
        }
    }

    /// What is left now.
    pub fn left(&mut self, now_s: f64) -> u64 {
        self.roll(now_s);
        self.amount.saturating_sub(self.used)
    }

    /// Seconds until the period ends.
    pub fn ends_in(&mut self, now_s: f64) -> f64 {
        self.roll(now_s);
        (self.ends as f64 - now_s).max(0.0)
    }

    /// Another amount from now on; what is used stays used.
    pub fn change(&mut self, amount: u64) {
        self.amount = amount;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn zone(name: &str) -> TimeZone {
        TimeZone::get(name).expect("a zone")
    }

    #[test]
    fn days_and_months_are_the_zones_own() {
        // 2026-03-29 in Berlin has 23 hours, 2026-10-25 has 25; Port of Spain changes nothing.
        let day =
            |name, at: i64| bounds(Per::Day, &zone(name), at as f64).map(|(b, e)| (e - b) / 3600);
        assert_eq!(day("Europe/Berlin", 1_774_780_000), Some(23));
        assert_eq!(day("Europe/Berlin", 1_792_920_000), Some(25));
        assert_eq!(day("America/Port_of_Spain", 1_774_780_000), Some(24));
        let (begins, ends) =
            bounds(Per::Month, &zone("America/Port_of_Spain"), 1_770_000_000.0).expect("a month");
        assert_eq!((ends - begins) / 86_400, 28, "February 2026");
        assert_eq!(begins % 86_400, 4 * 3600, "midnight there");
    }

    #[test]
    fn an_amount_lasts_its_period_and_is_settled_where_it_was_taken() {
        let midnight = 1_770_004_800.0;
        let mut a = Allowance::new(100, Per::Day, TimeZone::UTC);
        let before = midnight - 10.0 - midnight % 86_400.0 + 86_400.0;
        assert_eq!(a.check(before, 80, 0), Ok(()));
        let first = a.take(80);
        assert_eq!(a.check(before, 80, 0), Err(Short::For(10.0)));
        assert_eq!(a.check(before, 101, 0), Err(Short::Ever));
        assert_eq!(
            a.check(before, 10, 20),
            Err(Short::For(10.0)),
            "a reserve is not touched"
        );
        // The period ends in mid-stream: the new one is not burdened, nor given what the old one gets back.
        let after = before + 20.0;
        assert_eq!(a.left(after), 100);
        let second = a.take(30);
        a.settle(first, 80, 10);
        assert_eq!((a.left(after), first < second), (70, true));
        a.settle(second, 30, 45);
        assert_eq!(a.left(after), 55);
        // Set back over midnight: still the new day.
        assert_eq!(a.left(before), 55);
    }
}
