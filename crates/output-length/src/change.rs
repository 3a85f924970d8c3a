//! Finds that a cell's answers are no longer as they were: the late ones against the earlier ones, by the largest distance of
//! their distributions (the test of Kolmogorov and Smirnov), so that nothing is taken of what they look like.

use std::time::Duration;

use crate::ids::Cell;
use crate::sketch::Mass;
use crate::windows::Windows;

/// What counts as late, tried in turn: a busy cell shows a change soon, a quiet one needs longer.
const LATE: [Duration; 2] = [Duration::from_secs(15), Duration::from_secs(60)];
/// Answers on each side.
const LEAST: f32 = 40.0;
/// Distance in units of what chance gives: one false alarm in some fifty thousand looks, as it is looked at often.
const FAR: f32 = 2.4;

/// The time by which the earlier ones ended to count, where there was a change.
pub(crate) fn changed(windows: &Windows, cell: &Cell, now: Duration) -> Option<Duration> {
    LATE.into_iter()
        .map(|late| now.saturating_sub(late))
        .find(|at| {
            let [before, after] = windows.split(cell, *at);
            differ(&before, &after)
        })
}

fn differ(a: &Mass, b: &Mass) -> bool {
    let (n, m) = (a.total(), b.total());
    if n < LEAST || m < LEAST {
        return false;
    }
    let (mut x, mut y, mut most) = (0.0f32, 0.0f32, 0.0f32);
    for (p, q) in a.ended.iter().zip(&b.ended) {
        x += p / n;
        y += q / m;
        most = most.max((x - y).abs());
    }
    most > FAR * ((n + m) / (n * m)).sqrt()
}
