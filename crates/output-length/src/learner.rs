//! Learns from answers and tells what to expect; with peers or without.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::change::changed;
use crate::coverage::{Coverage, AIM};
use crate::curve::{Curve, Curves, Expected};
use crate::ids::{Cell, ClassKey, ModelKey, Number, Origin};
use crate::io::{End, Ended};
use crate::own::{Counted, Own};
use crate::sketch::Mass;
use crate::windows::{Window, Windows};

/// Answers' weight that a cell's class has in it, and that all have in a class.
const TOWARDS: (f32, f32) = (12.0, 6.0);
/// Answers without which nothing is told.
const TOLD_FROM: u64 = 8;
/// After which a cell that nothing came to is reckoned again, as it fades.
const AGAIN: Duration = Duration::from_secs(5);

struct Known {
    mass: Mass,
    at: Duration,
}

/// See the module's front.
pub struct Learner {
    pub(crate) windows: Windows,
    pub(crate) own: Own,
    pub(crate) coverage: Coverage,
    curves: Curves,
    known: BTreeMap<Cell, Known>,
    dirty: BTreeSet<Cell>,
    /// Changes of behaviour found so far.
    pub(crate) changes: u64,
}

impl Learner {
    pub fn new(origin: Origin) -> Learner {
        Learner {
            windows: Windows::default(),
            own: Own::new(origin),
            coverage: Coverage::default(),
            curves: Curves::default(),
            known: BTreeMap::new(),
            dirty: BTreeSet::new(),
            changes: 0,
        }
    }

    /// Takes an answer's end; where it was counted.
    pub(crate) fn ended(&mut self, now: Duration, ended: &Ended) -> Option<Counted> {
        if let Some(told) = ended.told {
            let longer = ended.tokens > told;
            // Of an answer that its client left, a miss is sure and all else is not known.
            if ended.end != End::Left || longer {
                self.coverage.judge(ended.model, ended.class, !longer);
            }
        }
        if ended.end == End::Left && ended.tokens == 0 {
            return None;
        }
        let cell = Cell::of(ended.model, ended.class, ended.prompt_tokens);
        let counted = (ended.tokens, ended.end == End::Whole);
        let counted = self
            .own
            .count(now, cell, ended.tenant, counted, &mut self.windows)?;
        self.dirty.insert(counted.cell);
        Some(counted)
    }

    /// A window of another origin, or of an earlier start; whether it brought anything.
    pub(crate) fn merge(
        &mut self,
        (cell, origin, number, window): (Cell, Origin, Number, Window),
    ) -> bool {
        let news = self.windows.merge(cell, origin, number, window);
        if news {
            self.dirty.insert(cell);
        }
        news
    }

    /// Reckons anew what has changed; gives the curves that say something else than before.
    pub fn refresh(&mut self, now: Duration) -> Vec<(Cell, Curve)> {
        let faded = self
            .known
            .iter()
            .filter(|(_, k)| now.saturating_sub(k.at) >= AGAIN)
            .map(|(cell, _)| *cell);
        self.dirty.extend(faded.collect::<Vec<_>>());
        let dirty = std::mem::take(&mut self.dirty);
        if dirty.is_empty() {
            return vec![];
        }
        for cell in &dirty {
            if let Some(at) = changed(&self.windows, cell, now) {
                self.windows.drop_until(cell, at);
                self.own.begin_anew(cell, now);
                self.changes += 1;
            }
            self.known.insert(
                *cell,
                Known {
                    mass: self.windows.mass(cell, now),
                    at: now,
                },
            );
        }
        let held: BTreeSet<Cell> = self.windows.cells().copied().collect();
        self.known.retain(|cell, _| held.contains(cell));
        self.curves_of(&dirty)
    }

    fn curves_of(&mut self, dirty: &BTreeSet<Cell>) -> Vec<(Cell, Curve)> {
        let mut all = Mass::default();
        let mut classes: BTreeMap<Cell, Mass> = BTreeMap::new();
        for (cell, known) in &self.known {
            all.add(&known.mass, 1.0);
            if *cell != Cell::default() {
                classes
                    .entry(cell.whole_class())
                    .or_default()
                    .add(&known.mass, 1.0);
            }
        }
        let mut told = Vec::new();
        if self.windows.answers() < TOLD_FROM {
            return told;
        }
        self.tell(Cell::ALL, &all, all.total(), AIM, &mut told);
        let touched: BTreeSet<Cell> = dirty.iter().map(|cell| cell.whole_class()).collect();
        for (class, mass) in classes {
            if !touched.contains(&class) {
                continue;
            }
            let miss = self.coverage.miss(class.model, class.class);
            let answers = mass.total();
            let mass = mass.towards(&all, TOWARDS.1);
            self.tell(class, &mass, answers, miss, &mut told);
            let cells = self
                .known
                .iter()
                .filter(|(cell, _)| cell.whole_class() == class);
            let leaves: Vec<(Cell, Mass, f32)> = cells
                .map(|(c, k)| (*c, k.mass.clone().towards(&mass, TOWARDS.0), k.mass.total()))
                .collect();
            for (cell, mass, answers) in leaves {
                self.tell(cell, &mass, answers, miss, &mut told);
            }
        }
        told
    }

    fn tell(
        &mut self,
        cell: Cell,
        mass: &Mass,
        answers: f32,
        miss: f64,
        told: &mut Vec<(Cell, Curve)>,
    ) {
        let curve = Curve::of(mass, answers, miss);
        if !self.curves.get(&cell).is_some_and(|last| last.near(&curve)) {
            self.curves.set(cell, curve.clone());
            told.push((cell, curve));
        }
    }

    pub fn windows(&self) -> &Windows {
        &self.windows
    }

    pub fn curves(&self) -> &Curves {
        &self.curves
    }

    pub fn expect(
        &self,
        model: ModelKey,
        class: ClassKey,
        prompt_tokens: u32,
        ceiling: u32,
    ) -> Option<Expected> {
        Some(
            self.curves
                .find(model, class, prompt_tokens)?
                .expected(ceiling),
        )
    }

    /// Lets go of what is a day old.
    pub(crate) fn sweep(&mut self, now: Duration) {
        self.windows.sweep(now);
        let held: BTreeSet<Cell> = self.windows.cells().copied().collect();
        let classes: BTreeSet<Cell> = held.iter().map(|cell| cell.whole_class()).collect();
        self.curves
            .keep(|cell| held.contains(cell) || classes.contains(cell) || *cell == Cell::ALL);
    }
}
