//! Detects a change of the distribution of output lengths in a cell (a model, request class and range of prompt lengths) by a
//! two-sample Kolmogorov-Smirnov test of the recent responses against the earlier ones. The test
//! assumes no particular shape of the distributions.

use std::time::Duration;

use crate::ids::Cell;
use crate::sketch::WeightedCounts;
use crate::windows::WindowStore;

/// Time spans whose responses count as recent, tried in this order: the short one detects a change soon in a cell with much
/// traffic, the long one collects enough responses in a cell with little.
const RECENT_SPANS: [Duration; 2] = [Duration::from_secs(15), Duration::from_secs(60)];
/// Least number of responses in each of the two samples.
const MIN_SAMPLE_RESPONSES: f32 = 40.0;
/// Distance of the distributions that counts as a change, in units of `sqrt((n + m) / (n * m))` for samples of `n` and `m`
/// responses. This threshold gives about one false alarm in 50 000 tests; the test runs often.
const DISTANCE_THRESHOLD: f32 = 2.4;

/// The time of a change of the cell's length distribution, if one is detected. Windows of the cell whose first response ended by
/// that time are obsolete.
pub(crate) fn detect_change(windows: &WindowStore, cell: &Cell, now: Duration) -> Option<Duration> {
    RECENT_SPANS
        .into_iter()
        .map(|span| now.saturating_sub(span))
        .find(|at| {
            let [earlier, recent] = windows.split_by_start(cell, *at);
            distributions_differ(&earlier, &recent)
        })
}

fn distributions_differ(a: &WeightedCounts, b: &WeightedCounts) -> bool {
    let (n, m) = (a.total(), b.total());
    if n < MIN_SAMPLE_RESPONSES || m < MIN_SAMPLE_RESPONSES {
        return false;
    }
    let (mut a_share, mut b_share, mut max_distance) = (0.0f32, 0.0f32, 0.0f32);
    for (p, q) in a.complete.iter().zip(&b.complete) {
        a_share += p / n;
        b_share += q / m;
        max_distance = max_distance.max((a_share - b_share).abs());
    }
    max_distance > DISTANCE_THRESHOLD * ((n + m) / (n * m)).sqrt()
}
