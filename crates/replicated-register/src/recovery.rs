//! How far a copy's memory can be trusted: which life of it this is, what others know of earlier ones, with whom it has caught up,
//! and so for which registers it counts.
//!
//! A *life* is one unbroken memory: with a disk it goes on over restarts, without one it ends with the process, and it ends where the
//! disk is torn or an older one. Others remember the latest life of each and how many changes it has told of, so that one whose
//! memory is gone or set back is told so, by whoever it asks first.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

/// What this memory began with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Completeness {
    /// All that this copy was ever told.
    Complete,
    /// Nothing, and nobody has said yet that there ever was more.
    Fresh,
    /// Less than this copy once held.
    Lost,
}

/// What is known of another one's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    pub incarnation: u64,
    /// Changes that it told of.
    pub count: u64,
    /// It was not the first.
    pub lost: bool,
}

impl Incarnation {
    /// The later of two words about one member.
    fn join(self, other: Incarnation) -> Incarnation {
        let (early, late) = if self.incarnation <= other.incarnation {
            (self, other)
        } else {
            (other, self)
        };
        match early.incarnation == late.incarnation {
            true => Incarnation {
                count: early.count.max(late.count),
                lost: early.lost || late.lost,
                ..late
            },
            // What was cut off may have held more than anybody heard of.
            false => Incarnation { lost: true, ..late },
        }
    }
}

/// What another one's memory was like when all that it holds had been fetched from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    pub completeness: Completeness,
    pub missing: BTreeSet<NameKey>,
}

pub struct RecoveryState {
    own: NameKey,
    others: BTreeSet<NameKey>,
    pub completeness: Completeness,
    pub incarnation: u64,
    /// Changes so far.
    pub count: u64,
    incarnations: BTreeMap<NameKey, Incarnation>,
    /// The best that was fetched of each: what was missed is known then, whatever becomes of that one later.
    sources: BTreeMap<NameKey, Source>,
    /// The latest word of each about its memory.
    latest: BTreeMap<NameKey, Source>,
    missing: BTreeSet<NameKey>,
}

/// Of so many copies.
pub fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}

impl RecoveryState {
    pub fn new(
        own: NameKey,
        roster: &BTreeSet<NameKey>,
        completeness: Completeness,
        incarnation: u64,
    ) -> RecoveryState {
        let others: BTreeSet<NameKey> =
            roster.iter().copied().filter(|name| *name != own).collect();
        let missing = others.clone();
        let (sources, latest) = (BTreeMap::new(), BTreeMap::new());
        RecoveryState {
            own,
            others,
            completeness,
            incarnation,
            count: 0,
            incarnations: BTreeMap::new(),
            sources,
            latest,
            missing,
        }
    }

    /// From the disk.
    pub fn with(
        mut self,
        count: u64,
        incarnations: BTreeMap<NameKey, Incarnation>,
    ) -> RecoveryState {
        (self.count, self.incarnations) = (count, incarnations);
        self
    }

    pub fn incarnations(&self) -> &BTreeMap<NameKey, Incarnation> {
        &self.incarnations
    }

    /// Which life of that one is the latest known.
    pub fn incarnation_of(&self, name: NameKey) -> u64 {
        self.incarnations
            .get(&name)
            .map_or(0, |incarnation| incarnation.incarnation)
    }

    /// Takes a word about another's memory. Tells whether its life is a later one than was known, and whether that is a loss.
    pub fn note_incarnation(&mut self, name: NameKey, incarnation: Incarnation) -> (bool, bool) {
        if !self.others.contains(&name) {
            return (false, false);
        }
        let known = self.incarnations.get(&name).copied();
        let joined = known.map_or(incarnation, |known| known.join(incarnation));
        self.incarnations.insert(name, joined);
        let later =
            known.is_none_or(|k| k.incarnation < joined.incarnation || k.lost != joined.lost);
        (later, later && joined.lost && known.is_some())
    }

    /// Whether what another one knows of this memory shows that it is not all there was.
    pub fn contradicted(&self, known: Incarnation) -> bool {
        match known.incarnation.cmp(&self.incarnation) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => {
                known.count > self.count || (known.lost && self.completeness == Completeness::Fresh)
            }
            // Whoever is asked has noted this life first, and says so by `lost`.
            std::cmp::Ordering::Less => false,
        }
    }

    /// Begins a life that holds less than the last one.
    pub fn lose(&mut self, incarnation: u64) {
        (self.completeness, self.incarnation) = (Completeness::Lost, incarnation);
        self.sources.clear();
        self.recompute_missing();
    }

    /// So long after a loss that nothing of what was lost is of use any more.
    pub fn assume_complete(&mut self) {
        (self.completeness, self.missing) = (Completeness::Complete, BTreeSet::new());
    }

    /// All that another one holds has been fetched.
    pub fn fetched(&mut self, from: NameKey, source: Source) {
        self.latest.insert(from, source.clone());
        let unknown_through = self.unknown_through(from, &source);
        if self
            .sources
            .get(&from)
            .is_none_or(|known| unknown_through.is_subset(&self.unknown_through(from, known)))
        {
            self.sources.insert(from, source);
        }
        self.recompute_missing();
    }

    /// With whom it has not caught up.
    pub fn missing(&self) -> &BTreeSet<NameKey> {
        &self.missing
    }

    pub fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// Whom to fetch from: those that were not, and those that lacked something themselves that they may have by now.
    pub fn pending_sources(&self) -> Vec<NameKey> {
        let unheard = |name: &NameKey| !self.sources.contains_key(name);
        let worth = |name: &NameKey| {
            let source = self
                .sources
                .get(name)
                .filter(|_| self.completeness == Completeness::Lost);
            source.is_some_and(|s| self.unknown_through(*name, s).iter().any(|x| !unheard(x)))
        };
        self.others
            .iter()
            .copied()
            .filter(|name| unheard(name) || worth(name))
            .collect()
    }

    /// What a source could not tell: whatever it shares with these.
    fn unknown_through(&self, name: NameKey, source: &Source) -> BTreeSet<NameKey> {
        match source.completeness {
            // From a disk, and not yet held against what anybody else knows.
            Completeness::Complete if source.missing.len() >= self.others.len() => {
                BTreeSet::from([name])
            }
            Completeness::Complete => BTreeSet::new(),
            Completeness::Fresh | Completeness::Lost => source
                .missing
                .iter()
                .map(|x| if *x == self.own { name } else { *x })
                .collect(),
        }
    }

    fn recompute_missing(&mut self) {
        let unheard = self
            .others
            .iter()
            .copied()
            .filter(|name| !self.sources.contains_key(name));
        let mut missing: BTreeSet<NameKey> = unheard.collect();
        if self.completeness == Completeness::Lost {
            missing.extend(
                self.sources
                    .iter()
                    .flat_map(|(name, source)| self.unknown_through(*name, source)),
            );
        }
        self.missing = missing;
        if self.missing.is_empty() && !self.others.is_empty() {
            self.completeness = Completeness::Complete;
        }
    }

    /// Whether this copy counts for a register with these copies. `waited`: long enough for others to have spoken.
    pub fn ready(&self, replicas: &[NameKey], waited: bool) -> bool {
        let majority_size = majority(replicas.len());
        let missing = replicas
            .iter()
            .filter(|name| self.missing.contains(name))
            .count();
        match self.completeness {
            // Whether there ever was more can be told by any of the others, those without a copy too.
            Completeness::Fresh => missing == 0 && (self.missing.is_empty() || waited),
            // One of each majority that it was part of has to be among those it has heard.
            Completeness::Lost => missing + 2 <= majority_size,
            // It knows all it ever took, unless somebody knows better: one has to have been asked.
            Completeness::Complete => {
                missing + majority_size <= replicas.len() && (missing == 0 || waited)
            }
        }
    }

    /// Whether what a register with these copies held is lost for good: a majority has lost it, and none of them can get it
    /// back from the rest.
    pub fn lost(&self, replicas: &[NameKey]) -> bool {
        let majority_size = majority(replicas.len());
        let others = || replicas.iter().filter(|name| **name != self.own);
        let lost = |name: &NameKey| {
            let Some(source) = self
                .latest
                .get(name)
                .filter(|s| s.completeness == Completeness::Lost)
            else {
                return false;
            };
            replicas
                .iter()
                .filter(|x| *x != name && source.missing.contains(x))
                .count()
                + 2
                > majority_size
        };
        self.completeness == Completeness::Lost
            && !self.ready(replicas, true)
            && others().all(|name| self.sources.contains_key(name))
            && others().filter(|name| lost(name)).count() + 1 >= majority_size
    }
}
