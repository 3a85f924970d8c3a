//! When who is refused may come back, and who comes back: returns of all together fit what will be free.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::order::share;

/// Refused requests that are remembered, and for how long; past the bound the oldest is forgotten and counts as fresh.
const REFUSED_MOST: usize = 16 * 1024;
const REMEMBERED: Duration = Duration::from_secs(30);
/// The shortest time to come back.
const SOON_S: f64 = 0.2;

/// A calendar of what is free for returns, and who was refused.
#[derive(Debug)]
pub struct Returns {
    most_s: f64,
    draws: u64,
    /// What is free until then has been given away.
    booked: Duration,
    refused: BTreeMap<u64, Duration>,
    order: VecDeque<(Duration, u64)>,
}

impl Returns {
    pub fn new(most_s: f64, seed: u64) -> Returns {
        let most_s = if most_s.is_finite() {
            most_s.max(0.0)
        } else {
            1.0
        };
        Returns {
            most_s,
            draws: seed,
            booked: Duration::ZERO,
            refused: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    fn draw(&mut self) -> f64 {
        self.draws = self.draws.wrapping_add(1);
        share(self.draws)
    }

    /// Seconds after which a request of this much work may come back, where so much work a second will be free here. Each is given
    /// the next free time, and one that would have to wait past the bound is sent away for nearly as long as it may be: it will be
    /// judged anew.
    pub fn after(&mut self, now: Duration, work: f64, free: f64) -> f64 {
        let takes = work.max(0.0) / free.max(1e-6);
        let soon = now + Duration::from_secs_f64(SOON_S.min(self.most_s));
        let begins = self.booked.max(soon);
        let wait = begins.saturating_sub(now).as_secs_f64();
        let draw = self.draw();
        if wait + takes > self.most_s {
            return self.most_s * (0.5 + 0.5 * draw);
        }
        self.booked = begins + Duration::from_secs_f64(takes);
        // Anywhere within its own time: never in step, and never before it is free.
        wait + takes * draw
    }

    /// Remembers that this was refused.
    pub fn refuse(&mut self, now: Duration, fingerprint: u64) {
        if self.refused.insert(fingerprint, now).is_none() || self.order.len() < 2 * REFUSED_MOST {
            self.order.push_back((now, fingerprint));
        }
        while self.order.front().is_some_and(|(at, _)| {
            self.refused.len() > REFUSED_MOST || now.saturating_sub(*at) >= REMEMBERED
        }) {
            let Some((at, old)) = self.order.pop_front() else {
                break;
            };
            if self.refused.get(&old) == Some(&at) {
                self.refused.remove(&old);
            }
        }
    }

    /// Whether this was refused a while ago, so that it is a return.
    pub fn is_return(&self, now: Duration, fingerprint: u64) -> bool {
        self.refused
            .get(&fingerprint)
            .is_some_and(|at| now.saturating_sub(*at) < REMEMBERED)
    }

    /// It was taken: what comes with the same words is not a return of that refusal.
    pub fn taken(&mut self, fingerprint: u64) {
        self.refused.remove(&fingerprint);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_table_of_refused_is_bounded_and_fades() {
        let mut returns = Returns::new(5.0, 1);
        let at = Duration::from_secs(100);
        for i in 0..100_000 {
            returns.refuse(at, i % 40_000);
        }
        assert!(returns.refused.len() <= REFUSED_MOST && returns.order.len() <= 2 * REFUSED_MOST);
        assert!(returns.is_return(at, 19_999));
        assert!(!returns.is_return(at + REMEMBERED, 19_999));
        returns.taken(19_999);
        assert!(!returns.is_return(at, 19_999));
    }

    proptest! {
        /// Over any span, what was told to come back within it is no more than what is free in it, but for one.
        #[test]
        fn returns_never_exceed_what_is_free(
            refused in prop::collection::vec((0u64..50, 0.01f64..0.5), 1..300), free in 0.2f64..20.0, seed: u64,
        ) {
            let mut returns = Returns::new(1e6, seed);
            let (mut now, mut back) = (Duration::from_secs(1000), Vec::new());
            for (gap, work) in refused {
                now += Duration::from_millis(gap);
                back.push((now.as_secs_f64() + returns.after(now, work, free), work));
            }
            back.sort_by(|a, b| a.0.total_cmp(&b.0));
            let largest = back.iter().map(|b| b.1).fold(0.0, f64::max);
            for from in 0..back.len() {
                let mut sum = 0.0;
                for (at, work) in &back[from..] {
                    sum += work;
                    prop_assert!(sum <= (at - back[from].0) * free + 2.0 * largest + 1e-6);
                }
            }
        }

        #[test]
        fn past_the_bound_they_are_spread(seed: u64, most in 0.5f64..10.0) {
            let mut returns = Returns::new(most, seed);
            let at = Duration::from_secs(9);
            let waits: Vec<f64> = (0..400).map(|_| returns.after(at, 1.0, 0.1)).collect();
            prop_assert!(waits.iter().all(|w| (0.0..=most).contains(w)));
            let early = waits.iter().filter(|w| **w < 0.75 * most).count();
            prop_assert!((130..270).contains(&early), "{early}");
        }
    }
}
