//! Work that repeats work: a tenth of the fresh work of all in any 5 s, of which each may spend its part.

use std::time::Duration;

use crate::io::Cut;
use crate::window::Span;

/// Of fresh work.
const SHARE: f64 = 0.1;
const SPAN: Duration = Duration::from_secs(5);

/// What was taken here and what of it repeated work.
#[derive(Debug)]
pub struct Repeats {
    careful: f64,
    spent: Span,
    fresh: Span,
}

impl Repeats {
    /// `careful`: the share of what all may repeat that this dispatcher spends whatever it knows.
    pub fn new(careful: f64) -> Repeats {
        Repeats {
            careful,
            spent: Span::new(SPAN),
            fresh: Span::new(SPAN),
        }
    }

    pub fn fresh(&mut self, now: Duration, work: f64) {
        self.fresh.add(now, work);
    }

    /// Fresh and repeated work of the last 5 s.
    pub fn sums(&mut self, now: Duration) -> (f64, f64) {
        (self.fresh.sum(now), self.spent.sum(now))
    }

    /// Whether so much may be repeated now; it is spent then. All is checked at this moment: a part that has ended is none, and what
    /// was told of the others' fresh work counts until its own end. Where all fits, one at a time may be repeated whatever its size.
    pub fn may(&mut self, now: Duration, work: f64, cut: Option<&Cut>) -> bool {
        let told = cut.filter(|c| now < c.until);
        let part = cut
            .filter(|c| now < c.part_until)
            .map_or(0.0, |c| c.part.get().min(1.0));
        let own = self.fresh.sum(now);
        let fresh = told.map_or(own, |c| c.fresh.get().max(own));
        let spent = self.spent.sum(now);
        let first = spent == 0.0 && told.is_none_or(|c| c.rank.get() == 0.0);
        let leave = first || spent + work <= SHARE * fresh * (self.careful + part).min(1.0);
        if leave {
            self.spent.add(now, work);
        }
        leave
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Millionths;
    use proptest::prelude::*;

    proptest! {
        /// Whatever is asked when, by however many, all together repeat a tenth in any 5 s, also where a part ends meanwhile.
        #[test]
        fn all_together_repeat_a_tenth(
            asked in prop::collection::vec((0usize..4, 0u64..200, 0.01f64..0.4), 1..200), ends in 0u64..15_000,
        ) {
            let fresh = 40.0;
            let mut all: Vec<Repeats> = (0..4).map(|_| Repeats::new(0.025)).collect();
            let cut = Cut {
                until: Duration::from_secs(3600), rank: Millionths::of(3.0), fresh: Millionths::of(fresh), part: Millionths::of(0.225),
                part_until: Duration::from_millis(ends), ..Cut::default()
            };
            let (mut now, mut done) = (Duration::from_millis(1), Vec::new());
            for (who, gap, work) in asked {
                now += Duration::from_millis(gap);
                if all[who].may(now, work, Some(&cut)) {
                    done.push((now, work));
                }
            }
            for (from, _) in &done {
                let within = done.iter().filter(|(at, _)| at >= from && *at < *from + SPAN);
                prop_assert!(within.map(|d| d.1).sum::<f64>() <= SHARE * fresh + 1e-9);
            }
        }
    }

    #[test]
    fn one_that_knows_nothing_spends_its_careful_part_of_its_own() {
        let mut repeats = Repeats::new(0.1);
        repeats.fresh(Duration::from_secs(10), 100.0);
        let at = Duration::from_secs(11);
        let done = (0..50).filter(|_| repeats.may(at, 0.1, None)).count();
        assert_eq!(done, 10);
    }
}
