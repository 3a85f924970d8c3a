//! Counts by logarithmic bins: a sketch whose merge is a sum, with quantiles to a relative error.
//!
//! The mapping is DDSketch's (Masson and others, 2019), shifted by one so that short answers have bins of their own. The
//! store is our own: counts leave it for the wire, and enter sums weighed by age, which the libraries' stores do not let.

use serde::{Deserialize, Serialize};

/// Bins; the last one holds all from two million tokens on.
pub const BINS: usize = 128;
/// Ratio of a bin's edges: values are right within 6%.
const RATIO: f64 = 1.12;

pub(crate) fn bin_of(tokens: u32) -> usize {
    ((f64::from(tokens) + 1.0).ln() / RATIO.ln()).min((BINS - 1) as f64) as usize
}

/// Tokens at a bin's lower edge.
pub(crate) fn edge(bin: usize) -> f64 {
    RATIO.powi(bin as i32) - 1.0
}

/// Whole counts, few bins of them used: bin and count, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts(Vec<(u8, u16)>);

impl Counts {
    /// Counts one answer.
    pub fn add(&mut self, tokens: u32) {
        let bin = bin_of(tokens) as u8;
        match self.0.binary_search_by_key(&bin, |b| b.0) {
            Ok(at) => self.0[at].1 = self.0[at].1.saturating_add(1),
            Err(at) => self.0.insert(at, (bin, 1)),
        }
    }

    pub fn total(&self) -> u32 {
        self.0.iter().map(|b| u32::from(b.1)).sum()
    }

    /// Whether it is as [`Counts::add`] makes it: what a peer says may not be.
    pub(crate) fn sound(&self) -> bool {
        let rising = self.0.windows(2).all(|w| w[0].0 < w[1].0);
        rising && self.0.iter().all(|b| usize::from(b.0) < BINS && b.1 > 0)
    }

    pub(crate) fn bins(&self) -> impl Iterator<Item = (usize, f32)> + '_ {
        self.0.iter().map(|b| (usize::from(b.0), f32::from(b.1)))
    }
}

/// Weighed counts of answers that ended by themselves, and of those cut short, of which only that they were not shorter is known.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Mass {
    pub ended: [f32; BINS],
    pub cut: [f32; BINS],
}

impl Default for Mass {
    fn default() -> Self {
        Mass {
            ended: [0.0; BINS],
            cut: [0.0; BINS],
        }
    }
}

impl Mass {
    pub fn total(&self) -> f32 {
        self.ended.iter().sum::<f32>() + self.cut.iter().sum::<f32>()
    }

    pub fn add(&mut self, other: &Mass, weight: f32) {
        for bin in 0..BINS {
            self.ended[bin] += weight * other.ended[bin];
            self.cut[bin] += weight * other.cut[bin];
        }
    }

    pub fn count(&mut self, ended: &Counts, cut: &Counts, weight: f32) {
        ended
            .bins()
            .for_each(|(bin, n)| self.ended[bin] += weight * n);
        cut.bins().for_each(|(bin, n)| self.cut[bin] += weight * n);
    }

    /// With another one's shape added at a weight, or at its own where that is less: what little is known shrinks towards it.
    pub fn towards(mut self, other: &Mass, weight: f32) -> Mass {
        let total = other.total();
        if total > 0.0 {
            self.add(other, weight.min(total) / total);
        }
        self
    }

    /// Share of answers that are no longer than each bin's upper edge, by the product limit (Kaplan and Meier, 1958); what is
    /// left past the longest that ended lies in the last bin used.
    pub fn reached(&self) -> [f32; BINS] {
        let mut at_risk = self.total();
        let mut left = 1.0f32;
        let mut reached = [0.0; BINS];
        let used = |bin: &usize| self.ended[*bin] > 0.0 || self.cut[*bin] > 0.0;
        let last = (0..BINS).rev().find(used).unwrap_or(0);
        for (bin, at) in reached.iter_mut().enumerate() {
            if at_risk > 1e-6 {
                left *= (1.0 - self.ended[bin] / at_risk).max(0.0);
            }
            at_risk -= self.ended[bin] + self.cut[bin];
            *at = if bin >= last { 1.0 } else { 1.0 - left };
        }
        reached
    }
}

/// Tokens below which a share of answers stays, within a bin by a straight line.
pub(crate) fn quantile(reached: &[f32; BINS], share: f64) -> f64 {
    let bin = reached
        .iter()
        .position(|r| f64::from(*r) >= share)
        .unwrap_or(BINS - 1);
    let before = if bin == 0 {
        0.0
    } else {
        f64::from(reached[bin - 1])
    };
    let within = (share - before) / (f64::from(reached[bin]) - before).max(1e-9);
    edge(bin) + (edge(bin + 1) - edge(bin)) * within.clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_agree_with_an_independent_sketch() {
        let mut mass = Mass::default();
        let mut other = sketches_ddsketch::DDSketch::new(sketches_ddsketch::Config::defaults());
        let mut counts = Counts::default();
        for i in 0..5000u32 {
            let tokens = 3 + (i * 7919 % 5000) * (i * 31 % 97) / 20;
            counts.add(tokens);
            other.add(f64::from(tokens));
        }
        mass.count(&counts, &Counts::default(), 1.0);
        let reached = mass.reached();
        for share in [0.1, 0.5, 0.9, 0.99] {
            let (ours, theirs) = (
                quantile(&reached, share),
                other.quantile(share).unwrap().unwrap(),
            );
            assert!(
                (ours - theirs).abs() <= 0.07 * theirs + 1.0,
                "{share}: {ours} and {theirs}"
            );
        }
    }

    #[test]
    fn what_was_cut_short_is_not_taken_for_short() {
        let (mut ended, mut cut) = (Counts::default(), Counts::default());
        (0..100).for_each(|i| ended.add(180 + i / 3));
        (0..100).for_each(|_| cut.add(20));
        let mut mass = Mass::default();
        mass.count(&ended, &cut, 1.0);
        assert!(quantile(&mass.reached(), 0.5) > 170.0);
    }

    #[test]
    fn bins_hold_their_values() {
        for tokens in [0, 1, 2, 9, 100, 4096, 1_000_000] {
            let bin = bin_of(tokens);
            assert!(
                edge(bin) <= f64::from(tokens) + 1e-6 && f64::from(tokens) < edge(bin + 1),
                "{tokens}"
            );
        }
        assert_eq!(bin_of(u32::MAX), BINS - 1);
        assert!(!Counts(vec![(3, 1), (3, 1)]).sound() && !Counts(vec![(200, 1)]).sound());
    }
}
