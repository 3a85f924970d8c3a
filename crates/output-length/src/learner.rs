//! Learns the distribution of output lengths from finished responses, for each cell (model, request class and range of prompt
//! lengths), and computes the estimates. Used with peers and without.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::change::detect_change;
use crate::coverage::{Calibration, TARGET_MISS_RATE};
use crate::curve::{CurveTable, LengthEstimate, QuantileCurve};
use crate::ids::{Cell, ClassKey, ModelKey, Origin, WindowNumber};
use crate::io::{FinishedResponse, ResponseEnd};
use crate::own::{Counted, LocalWindows};
use crate::sketch::WeightedCounts;
use crate::windows::{Window, WindowStore};

/// Weight, in responses, with which the distribution of a class enters the estimate of each of its cells.
const CLASS_WEIGHT_IN_CELL: f32 = 12.0;
/// Weight, in responses, with which the distribution of all requests enters the estimate of a class.
const ALL_WEIGHT_IN_CLASS: f32 = 6.0;
/// Least number of stored responses for an estimate.
const MIN_RESPONSES: u64 = 8;
/// Interval at which a cell without new responses is computed anew, as the weight of its windows decays.
const RECOMPUTE_INTERVAL: Duration = Duration::from_secs(5);

/// The weighted counts of a cell and the time at which they were computed.
struct CellCounts {
    counts: WeightedCounts,
    computed_at: Duration,
}

/// Windows of counted responses, the estimates computed from the windows, and the calibration of the estimates.
pub struct Learner {
    /// Windows of all origins.
    pub(crate) windows: WindowStore,
    /// The windows that this process is counting into.
    pub(crate) own: LocalWindows,
    pub(crate) calibration: Calibration,
    curves: CurveTable,
    cell_counts: BTreeMap<Cell, CellCounts>,
    /// Cells whose estimates are to be computed anew.
    dirty: BTreeSet<Cell>,
    /// Number of detected changes of a cell's length distribution.
    pub(crate) changes: u64,
}

impl Learner {
    pub fn new(origin: Origin) -> Learner {
        Learner {
            windows: WindowStore::default(),
            own: LocalWindows::new(origin),
            calibration: Calibration::default(),
            curves: CurveTable::default(),
            cell_counts: BTreeMap::new(),
            dirty: BTreeSet::new(),
            changes: 0,
        }
    }

    /// Counts a finished response and adjusts the calibration of the estimated 90th percentile by its length. Returns the window
    /// in which the response was counted, `None` if it was not counted.
    pub(crate) fn record(&mut self, now: Duration, response: &FinishedResponse) -> Option<Counted> {
        if let Some(predicted_p90) = response.predicted_p90 {
            let longer = response.output_tokens > predicted_p90;
            // If the client disconnected, the full length is unknown: the response is certainly a miss if it is already longer
            // than the estimate, and otherwise says nothing.
            if response.end != ResponseEnd::ClientDisconnected || longer {
                self.calibration
                    .record(response.model, response.class, !longer);
            }
        }
        if response.end == ResponseEnd::ClientDisconnected && response.output_tokens == 0 {
            return None;
        }
        let cell = Cell::of(response.model, response.class, response.prompt_tokens);
        let length = (
            response.output_tokens,
            response.end == ResponseEnd::Complete,
        );
        let counted = self
            .own
            .count(now, cell, response.tenant, length, &mut self.windows)?;
        self.dirty.insert(counted.cell);
        Some(counted)
    }

    /// Stores a window of another origin: a peer, or an earlier incarnation of this member. Returns whether the window was stored:
    /// not if the stored copy has as many responses, a limit of the store is reached, or a detected change made the window obsolete.
    pub(crate) fn merge(
        &mut self,
        (cell, origin, number, window): (Cell, Origin, WindowNumber, Window),
    ) -> bool {
        let is_newer = self.windows.merge(cell, origin, number, window);
        if is_newer {
            self.dirty.insert(cell);
        }
        is_newer
    }

    /// Computes the estimates of the changed cells and returns those that differ noticeably from before.
    pub fn refresh(&mut self, now: Duration) -> Vec<(Cell, QuantileCurve)> {
        let decayed = self
            .cell_counts
            .iter()
            .filter(|(_, c)| now.saturating_sub(c.computed_at) >= RECOMPUTE_INTERVAL)
            .map(|(cell, _)| *cell);
        self.dirty.extend(decayed.collect::<Vec<_>>());
        let dirty = std::mem::take(&mut self.dirty);
        if dirty.is_empty() {
            return vec![];
        }
        for cell in &dirty {
            if let Some(at) = detect_change(&self.windows, cell, now) {
                self.windows.drop_begun_by(cell, at);
                self.own.start_new_window(cell, now);
                self.changes += 1;
            }
            self.cell_counts.insert(
                *cell,
                CellCounts {
                    counts: self.windows.weighted_counts(cell, now),
                    computed_at: now,
                },
            );
        }
        let stored: BTreeSet<Cell> = self.windows.cells().copied().collect();
        self.cell_counts.retain(|cell, _| stored.contains(cell));
        self.update_curves(&dirty)
    }

    /// Computes the estimates of all requests, of the classes with changed cells and of all cells of those classes. Returns the
    /// estimates that differ noticeably from before.
    fn update_curves(&mut self, dirty: &BTreeSet<Cell>) -> Vec<(Cell, QuantileCurve)> {
        let mut all = WeightedCounts::default();
        let mut classes: BTreeMap<Cell, WeightedCounts> = BTreeMap::new();
        for (cell, cell_counts) in &self.cell_counts {
            all.add(&cell_counts.counts, 1.0);
            if *cell != Cell::default() {
                classes
                    .entry(cell.any_prompt())
                    .or_default()
                    .add(&cell_counts.counts, 1.0);
            }
        }
        let mut updated = Vec::new();
        if self.windows.responses() < MIN_RESPONSES {
            return updated;
        }
        self.update_curve(Cell::ALL, &all, all.total(), TARGET_MISS_RATE, &mut updated);
        let changed_classes: BTreeSet<Cell> = dirty.iter().map(|cell| cell.any_prompt()).collect();
        for (class, counts) in classes {
            if !changed_classes.contains(&class) {
                continue;
            }
            let miss_rate = self.calibration.miss_rate(class.model, class.class);
            let responses = counts.total();
            let counts = counts.shrink_towards(&all, ALL_WEIGHT_IN_CLASS);
            self.update_curve(class, &counts, responses, miss_rate, &mut updated);
            let cells = self
                .cell_counts
                .iter()
                .filter(|(cell, _)| cell.any_prompt() == class);
            let cells: Vec<(Cell, WeightedCounts, f32)> = cells
                .map(|(cell, c)| {
                    (
                        *cell,
                        c.counts
                            .clone()
                            .shrink_towards(&counts, CLASS_WEIGHT_IN_CELL),
                        c.counts.total(),
                    )
                })
                .collect();
            for (cell, counts, responses) in cells {
                self.update_curve(cell, &counts, responses, miss_rate, &mut updated);
            }
        }
        updated
    }

    /// Computes the estimate of one cell; stores it and adds it to `updated` if it differs noticeably from the stored one.
    fn update_curve(
        &mut self,
        cell: Cell,
        counts: &WeightedCounts,
        responses: f32,
        miss_rate: f64,
        updated: &mut Vec<(Cell, QuantileCurve)>,
    ) {
        let curve = QuantileCurve::of(counts, responses, miss_rate);
        if !self
            .curves
            .get(&cell)
            .is_some_and(|last| last.is_close(&curve))
        {
            self.curves.set(cell, curve.clone());
            updated.push((cell, curve));
        }
    }

    pub fn windows(&self) -> &WindowStore {
        &self.windows
    }

    pub fn curves(&self) -> &CurveTable {
        &self.curves
    }

    /// The estimated output length of a response with a limit of `max_output_tokens`; `None` without an estimate.
    pub fn estimate(
        &self,
        model: ModelKey,
        class: ClassKey,
        prompt_tokens: u32,
        max_output_tokens: u32,
    ) -> Option<LengthEstimate> {
        Some(
            self.curves
                .find(model, class, prompt_tokens)?
                .estimate(max_output_tokens),
        )
    }

    /// Drops windows whose last response ended `MAX_AGE` ago or earlier, and estimates of cells that have no windows left.
    pub(crate) fn drop_expired(&mut self, now: Duration) {
        self.windows.drop_expired(now);
        let stored: BTreeSet<Cell> = self.windows.cells().copied().collect();
        let classes: BTreeSet<Cell> = stored.iter().map(|cell| cell.any_prompt()).collect();
        self.curves
            .retain(|cell| stored.contains(cell) || classes.contains(cell) || *cell == Cell::ALL);
    }
}
