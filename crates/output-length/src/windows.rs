//! What all origins counted, by cell, origin and window: each window only grows, so of two copies the one with more answers is
//! the later, whatever came late, twice or out of order. Sums are made anew from the latest of each and count nothing twice.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Cell, Number, Origin};
use crate::sketch::{Counts, Mass};

/// Windows kept of one origin and cell; a further one takes the place of the earliest.
pub(crate) const OF_ONE: usize = 8;
/// Answers in a window; one that tells of more is not believed.
pub(crate) const ANSWERS_MOST: u32 = 256;
/// Cells that are told apart; answers of further ones count for all cells together, peers' are passed over.
pub const CELLS_MOST: usize = 512;
/// Windows in all: with some 300 bytes each 5 MB, with 2 KB, the most that one can take, 32. Past it the oldest sixteenth goes.
pub const WINDOWS_MOST: usize = 16 * 1024;
/// After which a window counts half, what it counts at the least, and until when: a quiet night leaves a hint of what was.
const HALF: Duration = Duration::from_secs(240);
const LEAST: f64 = 0.02;
pub(crate) const GONE: Duration = Duration::from_secs(24 * 3600);
/// Weight that one origin may have in a cell whatever the others have, and else as a multiple of their mean.
const ORIGIN: (f32, f32) = (64.0, 2.0);

/// Answers of one origin and cell that ended within a while.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    pub ended: Counts,
    pub cut: Counts,
    /// When its first and its last answer ended, by the clock of this process.
    pub begun: Duration,
    pub last: Duration,
}

impl Window {
    /// Its version: it only grows.
    pub fn answers(&self) -> u32 {
        self.ended.total() + self.cut.total()
    }

    fn weight(&self, now: Duration) -> f32 {
        let age = now.saturating_sub(self.last).as_secs_f64();
        0.5f64.powf(age / HALF.as_secs_f64()).max(LEAST) as f32
    }
}

/// One window as it is said and kept: ages in place of times, as clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub cell: Cell,
    pub number: Number,
    /// Tenths of seconds since its first and its last answer.
    pub begun: u32,
    pub last: u32,
    pub ended: Counts,
    pub cut: Counts,
}

pub(crate) fn tenths(now: Duration, at: Duration) -> u32 {
    (now.saturating_sub(at).as_millis() / 100).min(u128::from(u32::MAX)) as u32
}

impl Record {
    pub(crate) fn of(now: Duration, cell: Cell, number: Number, window: &Window) -> Record {
        let (ended, cut) = (window.ended.clone(), window.cut.clone());
        Record {
            cell,
            number,
            begun: tenths(now, window.begun),
            last: tenths(now, window.last),
            ended,
            cut,
        }
    }

    /// `late`: by how much older it is than it says.
    pub(crate) fn window(self, now: Duration, late: Duration) -> (Cell, Number, Window) {
        let at = |t: u32| now.saturating_sub(late + Duration::from_millis(100 * u64::from(t)));
        let (begun, last) = (at(self.begun.max(self.last)), at(self.last));
        (
            self.cell,
            self.number,
            Window {
                ended: self.ended,
                cut: self.cut,
                begun,
                last,
            },
        )
    }

    /// Whether an origin that works as this one does can have said it.
    pub(crate) fn sound(&self) -> bool {
        let answers = self.ended.total().saturating_add(self.cut.total());
        self.ended.sound() && self.cut.sound() && (1..=ANSWERS_MOST).contains(&answers)
    }
}

type OfCell = BTreeMap<(Origin, Number), Window>;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Windows {
    cells: BTreeMap<Cell, OfCell>,
    /// Where a change of behaviour was found: what is older does not come back.
    since: BTreeMap<Cell, Duration>,
    count: usize,
}

impl Windows {
    /// Takes a window where it is later than what is known of it; whether it was.
    pub fn merge(&mut self, cell: Cell, origin: Origin, number: Number, window: Window) -> bool {
        self.merge_within(CELLS_MOST, cell, (origin, number), window)
    }

    /// The same of this process's own, for whose cells there is room beside all peers'.
    pub(crate) fn merge_own(
        &mut self,
        cell: Cell,
        origin: Origin,
        number: Number,
        window: Window,
    ) -> bool {
        self.merge_within(2 * CELLS_MOST, cell, (origin, number), window)
    }

    fn merge_within(
        &mut self,
        cells: usize,
        cell: Cell,
        (origin, number): (Origin, Number),
        window: Window,
    ) -> bool {
        let room = self.cells.len() < cells || self.cells.contains_key(&cell);
        let before = self
            .since
            .get(&cell)
            .is_some_and(|since| window.last <= *since);
        if !room || before {
            return false;
        }
        let of_cell = self.cells.entry(cell).or_default();
        let known = of_cell.get(&(origin, number));
        if known.is_some_and(|w| w.answers() >= window.answers()) {
            return false;
        }
        if known.is_none() {
            let own = of_cell.range((origin, Number(0))..=(origin, Number(u32::MAX)));
            let numbers: Vec<Number> = own.map(|w| w.0 .1).collect();
            match numbers.first() {
                Some(first) if numbers.len() >= OF_ONE && number < *first => return false,
                Some(first) if numbers.len() >= OF_ONE => drop(of_cell.remove(&(origin, *first))),
                _ => self.count += 1,
            }
        }
        of_cell.insert((origin, number), window);
        if self.count > WINDOWS_MOST {
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        let all = self.cells.values().flat_map(|c| c.values().map(|w| w.last));
        let mut dates: Vec<Duration> = all.collect();
        dates.sort_unstable();
        let until = dates[WINDOWS_MOST / 16];
        self.retain(|_, _, w| w.last > until);
    }

    fn retain(&mut self, keeps: impl Fn(&Cell, &Origin, &Window) -> bool) {
        for (cell, of_cell) in &mut self.cells {
            of_cell.retain(|key, window| keeps(cell, &key.0, window));
        }
        self.cells.retain(|_, of_cell| !of_cell.is_empty());
        self.count = self.cells.values().map(BTreeMap::len).sum();
    }

    /// Lets go of what is a day old.
    pub fn sweep(&mut self, now: Duration) {
        self.retain(|_, _, w| now.saturating_sub(w.last) < GONE);
        self.since
            .retain(|_, since| now.saturating_sub(*since) < GONE);
    }

    /// What a cell's answers weigh now. One origin weighs at most twice the others' mean, so that one that counts wrong, or all
    /// for itself, is bounded.
    pub(crate) fn mass(&self, cell: &Cell, now: Duration) -> Mass {
        let mut origins: BTreeMap<Origin, f32> = BTreeMap::new();
        let of_cell = self.cells.get(cell);
        for ((origin, _), w) in of_cell.into_iter().flatten() {
            *origins.entry(*origin).or_default() += w.weight(now) * w.answers() as f32;
        }
        let (sum, others) = (
            origins.values().sum::<f32>(),
            origins.len().saturating_sub(1) as f32,
        );
        let part = |origin: &Origin| {
            let own = origins.get(origin).copied().unwrap_or(0.0);
            let most = ORIGIN.0.max(ORIGIN.1 * (sum - own) / others.max(1.0));
            if others > 0.0 && own > most {
                most / own
            } else {
                1.0
            }
        };
        let mut mass = Mass::default();
        for ((origin, _), w) in of_cell.into_iter().flatten() {
            mass.count(&w.ended, &w.cut, w.weight(now) * part(origin));
        }
        mass
    }

    /// Answers that ended by themselves in windows begun by some time, and after it.
    pub(crate) fn split(&self, cell: &Cell, at: Duration) -> [Mass; 2] {
        let mut both = [Mass::default(), Mass::default()];
        for w in self.cells.get(cell).into_iter().flat_map(BTreeMap::values) {
            both[usize::from(w.begun > at)].count(&w.ended, &Counts::default(), 1.0);
        }
        both
    }

    /// The behaviour has changed: nothing begun by then counts any more.
    pub(crate) fn drop_until(&mut self, cell: &Cell, at: Duration) {
        let gone = self
            .cells
            .get(cell)
            .into_iter()
            .flat_map(BTreeMap::values)
            .filter(|w| w.begun <= at);
        let latest = gone.map(|w| w.last).max();
        self.retain(|c, _, w| c != cell || w.begun > at);
        if let Some(latest) =
            latest.filter(|_| self.since.len() < CELLS_MOST || self.since.contains_key(cell))
        {
            self.since.insert(*cell, latest.min(at));
        }
    }

    pub fn get(&self, cell: &Cell, origin: Origin, number: Number) -> Option<&Window> {
        self.cells.get(cell)?.get(&(origin, number))
    }

    pub(crate) fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.keys()
    }

    /// All windows, in order.
    pub fn all(&self) -> impl Iterator<Item = (Cell, Origin, Number, &Window)> {
        self.cells
            .iter()
            .flat_map(|(cell, of)| of.iter().map(|((o, n), w)| (*cell, *o, *n, w)))
    }

    /// Of each origin a number that differs where what is known of it differs.
    pub(crate) fn digest(&self) -> BTreeMap<Origin, u64> {
        let mut digest = BTreeMap::new();
        for (cell, origin, number, w) in self.all() {
            let words = [
                cell.model.0,
                cell.class.0,
                u32::from(cell.bin.0),
                number.0,
                w.answers(),
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

    /// Answers counted in all that is held, of any age.
    pub fn answers(&self) -> u64 {
        self.all().map(|w| u64::from(w.3.answers())).sum()
    }
}
