//! A quantile sketch of output lengths: counts in logarithmic bins. Sketches merge by addition and give quantiles with a bounded
//! relative error.
//!
//! The mapping of lengths to bins is that of DDSketch (Masson and others, 2019), shifted by one so that short responses have
//! bins of their own. The bins are stored by this module and not by a library because counts are serialized for peers and
//! added up with weights by age, which the stores of libraries do not support.

use serde::{Deserialize, Serialize};

/// Number of bins; the last one holds all lengths from about 1.8 million tokens on.
pub const BINS: usize = 128;
/// Ratio of a bin's upper to its lower edge, which gives quantiles within 6%.
const BIN_RATIO: f64 = 1.12;

pub(crate) fn bin_of(tokens: u32) -> usize {
    ((f64::from(tokens) + 1.0).ln() / BIN_RATIO.ln()).min((BINS - 1) as f64) as usize
}

/// The lower edge of a bin, tokens.
pub(crate) fn lower_edge(bin: usize) -> f64 {
    BIN_RATIO.powi(bin as i32) - 1.0
}

/// Numbers of responses by length, sparse: pairs of a bin and its count, in order of bins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts(Vec<(u8, u16)>);

impl Counts {
    /// Counts one response of `tokens` output tokens.
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

    /// Whether [`Counts::add`] could have produced the counts; those received from a peer may be invalid.
    pub(crate) fn is_valid(&self) -> bool {
        let ascending = self.0.windows(2).all(|w| w[0].0 < w[1].0);
        ascending && self.0.iter().all(|b| usize::from(b.0) < BINS && b.1 > 0)
    }

    pub(crate) fn bins(&self) -> impl Iterator<Item = (usize, f32)> + '_ {
        self.0.iter().map(|b| (usize::from(b.0), f32::from(b.1)))
    }
}

/// Weighted numbers of responses by bin of length: complete responses, and censored ones, whose full length is only known to be
/// no shorter.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct WeightedCounts {
    pub complete: [f32; BINS],
    pub censored: [f32; BINS],
}

impl Default for WeightedCounts {
    fn default() -> Self {
        WeightedCounts {
            complete: [0.0; BINS],
            censored: [0.0; BINS],
        }
    }
}

impl WeightedCounts {
    pub fn total(&self) -> f32 {
        self.complete.iter().sum::<f32>() + self.censored.iter().sum::<f32>()
    }

    /// Adds other counts, multiplied by `weight`.
    pub fn add(&mut self, other: &WeightedCounts, weight: f32) {
        for bin in 0..BINS {
            self.complete[bin] += weight * other.complete[bin];
            self.censored[bin] += weight * other.censored[bin];
        }
    }

    /// Adds the counts of complete and of censored responses, multiplied by `weight`.
    pub fn add_counts(&mut self, complete: &Counts, censored: &Counts, weight: f32) {
        complete
            .bins()
            .for_each(|(bin, n)| self.complete[bin] += weight * n);
        censored
            .bins()
            .for_each(|(bin, n)| self.censored[bin] += weight * n);
    }

    /// Shrinks the counts towards another distribution: adds it scaled to a total of `weight`, or unscaled if its total is lower.
    /// The fewer responses these counts have, the more the other distribution decides.
    pub fn shrink_towards(mut self, other: &WeightedCounts, weight: f32) -> WeightedCounts {
        let total = other.total();
        if total > 0.0 {
            self.add(other, weight.min(total) / total);
        }
        self
    }

    /// The share of responses that are no longer than each bin's upper edge, by the product-limit estimator (Kaplan and Meier,
    /// 1958). Probability that remains beyond the longest complete response is assigned to the last bin in use.
    pub fn cumulative_distribution(&self) -> [f32; BINS] {
        let mut at_risk = self.total();
        let mut survival = 1.0f32;
        let mut distribution = [0.0; BINS];
        let used = |bin: &usize| self.complete[*bin] > 0.0 || self.censored[*bin] > 0.0;
        let last = (0..BINS).rev().find(used).unwrap_or(0);
        for (bin, share) in distribution.iter_mut().enumerate() {
            if at_risk > 1e-6 {
                survival *= (1.0 - self.complete[bin] / at_risk).max(0.0);
            }
            at_risk -= self.complete[bin] + self.censored[bin];
            *share = if bin >= last { 1.0 } else { 1.0 - survival };
        }
        distribution
    }
}

/// The length, tokens, that a share of the responses does not exceed, by linear interpolation within its bin.
pub(crate) fn quantile(distribution: &[f32; BINS], share: f64) -> f64 {
    let bin = distribution
        .iter()
        .position(|r| f64::from(*r) >= share)
        .unwrap_or(BINS - 1);
    let before = if bin == 0 {
        0.0
    } else {
        f64::from(distribution[bin - 1])
    };
    let within = (share - before) / (f64::from(distribution[bin]) - before).max(1e-9);
    lower_edge(bin) + (lower_edge(bin + 1) - lower_edge(bin)) * within.clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_agree_with_the_ddsketch_library() {
        let mut weighted = WeightedCounts::default();
        let mut library = sketches_ddsketch::DDSketch::new(sketches_ddsketch::Config::defaults());
        let mut counts = Counts::default();
        for i in 0..5000u32 {
            let tokens = 3 + (i * 7919 % 5000) * (i * 31 % 97) / 20;
            counts.add(tokens);
            library.add(f64::from(tokens));
        }
        weighted.add_counts(&counts, &Counts::default(), 1.0);
        let distribution = weighted.cumulative_distribution();
        for share in [0.1, 0.5, 0.9, 0.99] {
            let (estimate, reference) = (
                quantile(&distribution, share),
                library.quantile(share).unwrap().unwrap(),
            );
            assert!(
                (estimate - reference).abs() <= 0.07 * reference + 1.0,
                "{share}: {estimate} and {reference}"
            );
        }
    }

    #[test]
    fn censored_responses_do_not_lower_the_median() {
        let (mut complete, mut censored) = (Counts::default(), Counts::default());
        (0..100).for_each(|i| complete.add(180 + i / 3));
        (0..100).for_each(|_| censored.add(20));
        let mut weighted = WeightedCounts::default();
        weighted.add_counts(&complete, &censored, 1.0);
        assert!(quantile(&weighted.cumulative_distribution(), 0.5) > 170.0);
    }

    #[test]
    fn every_length_lies_between_the_edges_of_its_bin() {
        for tokens in [0, 1, 2, 9, 100, 4096, 1_000_000] {
            let bin = bin_of(tokens);
            assert!(
                lower_edge(bin) <= f64::from(tokens) + 1e-6
                    && f64::from(tokens) < lower_edge(bin + 1),
                "{tokens}"
            );
        }
        assert_eq!(bin_of(u32::MAX), BINS - 1);
        assert!(!Counts(vec![(3, 1), (3, 1)]).is_valid() && !Counts(vec![(200, 1)]).is_valid());
    }
}
