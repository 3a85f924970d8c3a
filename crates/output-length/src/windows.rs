//! Counts of responses by output length, stored by cell, origin and window number.
//!
//! A cell is a group of similar requests: same model, same request class and similar prompt length. An origin is the incarnation
//! of a member that counted the responses. A window holds the counts of one cell and origin during a short period. It only grows,
//! so of two copies the one with more responses is the later one, whether copies arrive late, twice or out of order. Sums are
//! computed from the latest copy of each window, so no response is counted twice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, Origin, WindowNumber};
use crate::sketch::{Counts, WeightedCounts};

/// Limit of stored windows per origin and cell; a further window replaces the one with the lowest number.
pub(crate) const MAX_ORIGIN_WINDOWS: usize = 8;
/// Limit of responses in one window; a received window with more is rejected as invalid.
pub(crate) const MAX_WINDOW_RESPONSES: u32 = 256;
/// Limit of cells for windows from peers; windows of further cells are ignored. Twice as many fit once this process's own
/// cells are included.
pub const MAX_CELLS: usize = 512;
/// Limit of stored windows. Memory use is 5 MB at a typical 300 bytes per window and 32 MB at the largest possible 2 KB. Beyond
/// the limit, the oldest sixteenth is dropped.
pub const MAX_WINDOWS: usize = 16 * 1024;
/// Time since the last response of a window ended after which the weight of the window has decayed to half.
const HALF_LIFE: Duration = Duration::from_secs(240);
/// Lowest weight of each response of a window, where 1 is that of a new one, so that after a night without traffic the earlier
/// responses still give an estimate.
const MIN_WEIGHT: f64 = 0.02;
/// Time since the last response of a window ended after which the window is dropped.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(24 * 3600);
/// Weight, in responses, that one origin may have in a cell whatever the weight of the other origins.
const MIN_ORIGIN_WEIGHT_LIMIT: f32 = 64.0;
/// Limit of an origin's weight in a cell, as a multiple of the mean weight of the other origins.
const MAX_ORIGIN_WEIGHT_RATIO: f32 = 2.0;

/// Responses of one cell, counted by one origin during a limited time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Number of responses that the model ended by itself, by length in tokens.
    pub complete: Counts,
    /// Number of responses that were cut off by the limit of output tokens or by a disconnected client, by length in tokens at
    /// that point. The length is a lower bound of the length that the response would have had.
    pub censored: Counts,
    /// When the window's first response ended, by this process's clock.
    pub first_end: Duration,
    /// When the window's last response so far ended, by this process's clock.
    pub last_end: Duration,
}

impl Window {
    /// Number of counted responses. As a window only grows, this number also serves as the version of a copy.
    pub fn responses(&self) -> u32 {
        self.complete.total() + self.censored.total()
    }

    /// The weight of each response of the window: 1 when the window's last response ended, halved every [`HALF_LIFE`] from then
    /// on, and no less than [`MIN_WEIGHT`].
    fn weight(&self, now: Duration) -> f32 {
        let age = now.saturating_sub(self.last_end).as_secs_f64();
        0.5f64.powf(age / HALF_LIFE.as_secs_f64()).max(MIN_WEIGHT) as f32
    }
}

/// A [`Window`] as sent to peers and stored in snapshots. The record holds ages instead of times, as clocks of processes differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRecord {
    pub cell: Cell,
    pub number: WindowNumber,
    /// Time since the window's first response ended, tenths of a second.
    #[serde(rename = "begun")]
    pub first_end_age: u32,
    /// Time since the window's last response ended, tenths of a second.
    #[serde(rename = "last")]
    pub last_end_age: u32,
    /// Number of responses that the model ended by itself, by length in tokens.
    #[serde(rename = "ended")]
    pub complete: Counts,
    /// Number of responses that were cut off by the limit of output tokens or by a disconnected client, by length in tokens at
    /// that point.
    #[serde(rename = "cut")]
    pub censored: Counts,
}

/// Time from `at` to `now`, in tenths of a second.
pub(crate) fn age_in_tenths(now: Duration, at: Duration) -> u32 {
    (now.saturating_sub(at).as_millis() / 100).min(u128::from(u32::MAX)) as u32
}

impl WindowRecord {
    pub(crate) fn of(
        now: Duration,
        cell: Cell,
        number: WindowNumber,
        window: &Window,
    ) -> WindowRecord {
        let (complete, censored) = (window.complete.clone(), window.censored.clone());
        WindowRecord {
            cell,
            number,
            first_end_age: age_in_tenths(now, window.first_end),
            last_end_age: age_in_tenths(now, window.last_end),
            complete,
            censored,
        }
    }

    /// Converts the record back into a window. `extra_age` is added to the record's ages: the time since the snapshot was saved
    /// for a record from a snapshot, zero for one from a peer.
    pub(crate) fn window(self, now: Duration, extra_age: Duration) -> (Cell, WindowNumber, Window) {
        let at = |t: u32| now.saturating_sub(extra_age + Duration::from_millis(100 * u64::from(t)));
        let (first_end, last_end) = (
            at(self.first_end_age.max(self.last_end_age)),
            at(self.last_end_age),
        );
        (
            self.cell,
            self.number,
            Window {
                complete: self.complete,
                censored: self.censored,
                first_end,
                last_end,
            },
        )
    }

    /// Whether the record has a form that this crate produces; records from peers or from disk may not.
    pub(crate) fn is_valid(&self) -> bool {
        let responses = self.complete.total().saturating_add(self.censored.total());
        self.complete.is_valid()
            && self.censored.is_valid()
            && (1..=MAX_WINDOW_RESPONSES).contains(&responses)
    }
}

/// The windows of one cell, by origin and number.
type CellWindows = BTreeMap<(Origin, WindowNumber), Window>;

/// The latest copies of the windows of all origins, within fixed limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WindowStore {
    cells: BTreeMap<Cell, CellWindows>,
    /// For each cell whose length distribution was found to have changed, the time up to which windows are obsolete. If a peer
    /// or a snapshot supplies a window of the cell whose last response ended by this time, the window is not stored.
    discarded_until: BTreeMap<Cell, Duration>,
    /// Number of stored windows.
    count: usize,
}

impl WindowStore {
    /// Stores a copy of a window if it is later than the stored one. Returns whether it was.
    pub fn merge(
        &mut self,
        cell: Cell,
        origin: Origin,
        number: WindowNumber,
        window: Window,
    ) -> bool {
        self.merge_within(MAX_CELLS, cell, (origin, number), window)
    }

    /// Stores a window counted by this process. Such windows may add [`MAX_CELLS`] cells beyond the limit for windows from peers.
    pub(crate) fn merge_own(
        &mut self,
        cell: Cell,
        origin: Origin,
        number: WindowNumber,
        window: Window,
    ) -> bool {
        self.merge_within(2 * MAX_CELLS, cell, (origin, number), window)
    }

    /// Stores a copy of a window if the copy has more responses than the stored one, the cell is among the stored cells or these
    /// are fewer than `max_cells`, and the copy's last response ended after the last detected change of the cell's distribution.
    /// A window whose number is lower than those of [`MAX_ORIGIN_WINDOWS`] stored ones of the same origin is not stored.
    fn merge_within(
        &mut self,
        max_cells: usize,
        cell: Cell,
        (origin, number): (Origin, WindowNumber),
        window: Window,
    ) -> bool {
        let room = self.cells.len() < max_cells || self.cells.contains_key(&cell);
        let is_outdated = self
            .discarded_until
            .get(&cell)
            .is_some_and(|discarded_until| window.last_end <= *discarded_until);
        if !room || is_outdated {
            return false;
        }
        let cell_windows = self.cells.entry(cell).or_default();
        let stored = cell_windows.get(&(origin, number));
        if stored.is_some_and(|w| w.responses() >= window.responses()) {
            return false;
        }
        if stored.is_none() {
            let same_origin =
                cell_windows.range((origin, WindowNumber(0))..=(origin, WindowNumber(u32::MAX)));
            let numbers: Vec<WindowNumber> = same_origin.map(|w| w.0 .1).collect();
            match numbers.first() {
                Some(first) if numbers.len() >= MAX_ORIGIN_WINDOWS && number < *first => {
                    return false
                }
                Some(first) if numbers.len() >= MAX_ORIGIN_WINDOWS => {
                    drop(cell_windows.remove(&(origin, *first)))
                }
                _ => self.count += 1,
            }
        }
        cell_windows.insert((origin, number), window);
        if self.count > MAX_WINDOWS {
            self.drop_oldest();
        }
        true
    }

    /// Drops the sixteenth of the windows whose last responses ended earliest.
    fn drop_oldest(&mut self) {
        let all = self
            .cells
            .values()
            .flat_map(|c| c.values().map(|w| w.last_end));
        let mut end_times: Vec<Duration> = all.collect();
        end_times.sort_unstable();
        let cutoff = end_times[MAX_WINDOWS / 16];
        self.retain(|_, _, w| w.last_end > cutoff);
    }

    fn retain(&mut self, keep: impl Fn(&Cell, &Origin, &Window) -> bool) {
        for (cell, cell_windows) in &mut self.cells {
            cell_windows.retain(|key, window| keep(cell, &key.0, window));
        }
        self.cells
            .retain(|_, cell_windows| !cell_windows.is_empty());
        self.count = self.cells.values().map(BTreeMap::len).sum();
    }

    /// Drops windows, and discard times of cells, that are older than `MAX_AGE`.
    pub fn drop_expired(&mut self, now: Duration) {
        self.retain(|_, _, w| now.saturating_sub(w.last_end) < MAX_AGE);
        self.discarded_until
            .retain(|_, discarded_until| now.saturating_sub(*discarded_until) < MAX_AGE);
    }

    /// The sum of a cell's windows, weighted by age. An origin's total weight is limited relative to the mean of the others, which
    /// bounds the effect of a member that counts wrongly or has most of the traffic.
    pub(crate) fn weighted_counts(&self, cell: &Cell, now: Duration) -> WeightedCounts {
        let mut origins: BTreeMap<Origin, f32> = BTreeMap::new();
        let cell_windows = self.cells.get(cell);
        for ((origin, _), w) in cell_windows.into_iter().flatten() {
            *origins.entry(*origin).or_default() += w.weight(now) * w.responses() as f32;
        }
        let (sum, others) = (
            origins.values().sum::<f32>(),
            origins.len().saturating_sub(1) as f32,
        );
        let factor = |origin: &Origin| {
            let own = origins.get(origin).copied().unwrap_or(0.0);
            let limit = MIN_ORIGIN_WEIGHT_LIMIT
                .max(MAX_ORIGIN_WEIGHT_RATIO * (sum - own) / others.max(1.0));
            if others > 0.0 && own > limit {
                limit / own
            } else {
                1.0
            }
        };
        let mut weighted = WeightedCounts::default();
        for ((origin, _), w) in cell_windows.into_iter().flatten() {
            weighted.add_counts(&w.complete, &w.censored, w.weight(now) * factor(origin));
        }
        weighted
    }

    /// Complete responses of a cell, unweighted: first the windows whose first response ended by `at`, then the later windows.
    pub(crate) fn split_by_start(&self, cell: &Cell, at: Duration) -> [WeightedCounts; 2] {
        let mut halves = [WeightedCounts::default(), WeightedCounts::default()];
        for w in self.cells.get(cell).into_iter().flat_map(BTreeMap::values) {
            halves[usize::from(w.first_end > at)].add_counts(&w.complete, &Counts::default(), 1.0);
        }
        halves
    }

    /// Drops a cell's windows whose first response ended by `at`, after a change of the length distribution was detected.
    pub(crate) fn drop_begun_by(&mut self, cell: &Cell, at: Duration) {
        let dropped = self
            .cells
            .get(cell)
            .into_iter()
            .flat_map(BTreeMap::values)
            .filter(|w| w.first_end <= at);
        let latest = dropped.map(|w| w.last_end).max();
        self.retain(|c, _, w| c != cell || w.first_end > at);
        if let Some(latest) = latest.filter(|_| {
            self.discarded_until.len() < MAX_CELLS || self.discarded_until.contains_key(cell)
        }) {
            self.discarded_until.insert(*cell, latest.min(at));
        }
    }

    pub fn get(&self, cell: &Cell, origin: Origin, number: WindowNumber) -> Option<&Window> {
        self.cells.get(cell)?.get(&(origin, number))
    }

    pub(crate) fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.keys()
    }

    /// All windows, sorted by cell, origin and number.
    pub fn all(&self) -> impl Iterator<Item = (Cell, Origin, WindowNumber, &Window)> {
        self.cells
            .iter()
            .flat_map(|(cell, of)| of.iter().map(|((o, n), w)| (*cell, *o, *n, w)))
    }

    /// For each origin, a hash over the stored windows of the origin and their numbers of responses. Peers compare the hashes to
    /// find origins of which they store different windows.
    pub(crate) fn digest(&self) -> BTreeMap<Origin, u64> {
        let mut digest = BTreeMap::new();
        for (cell, origin, number, w) in self.all() {
            let words = [
                cell.model.0,
                cell.class.0,
                u32::from(cell.prompt_bin.0),
                number.0,
                w.responses(),
            ];
            let hash = words.into_iter().fold(0xCBF2_9CE4_8422_2325u64, |h, word| {
                (h ^ u64::from(word))
                    .wrapping_mul(0x0000_0100_0000_01B3)
                    .rotate_left(23)
            });
            let sum: &mut u64 = digest.entry(origin).or_default();
            *sum = sum.wrapping_add(hash);
        }
        digest
    }

    pub(crate) fn origins(&self) -> usize {
        self.all().map(|w| w.1).collect::<BTreeSet<Origin>>().len()
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Number of responses in all stored windows, not weighted by age.
    pub fn responses(&self) -> u64 {
        self.all().map(|w| u64::from(w.3.responses())).sum()
    }
}
