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
pub enum Kind {
    /// All that this copy was ever told.
    Whole,
    /// Nothing, and nobody has said yet that there ever was more.
    Fresh,
    /// Less than this copy once held.
    Lost,
}

/// What is known of another one's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    pub life: u64,
    /// Changes that it told of.
    pub count: u64,
    /// It was not the first.
    pub lost: bool,
}

impl Life {
    /// The later of two words about one member.
    fn join(self, other: Life) -> Life {
        let (early, late) = if self.life <= other.life {
            (self, other)
        } else {
            (other, self)
        };
        match early.life == late.life {
            true => Life {
                count: early.count.max(late.count),
                lost: early.lost || late.lost,
                ..late
            },
            // What was cut off may have held more than anybody heard of.
            false => Life { lost: true, ..late },
        }
    }
}

/// What another one's memory was like when all that it holds had been fetched from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    pub kind: Kind,
    pub miss: BTreeSet<NameKey>,
}

pub struct Memory {
    own: NameKey,
    others: BTreeSet<NameKey>,
    pub kind: Kind,
    pub life: u64,
    /// Changes so far.
    pub count: u64,
    lives: BTreeMap<NameKey, Life>,
    /// The best that was fetched of each: what was missed is known then, whatever becomes of that one later.
    sources: BTreeMap<NameKey, Source>,
    /// The latest word of each about its memory.
    latest: BTreeMap<NameKey, Source>,
    miss: BTreeSet<NameKey>,
}

/// Of so many copies.
pub fn majority(copies: usize) -> usize {
    copies / 2 + 1
}

impl Memory {
    pub fn new(own: NameKey, roster: &BTreeSet<NameKey>, kind: Kind, life: u64) -> Memory {
        let others: BTreeSet<NameKey> =
            roster.iter().copied().filter(|name| *name != own).collect();
        let miss = others.clone();
        let (sources, latest) = (BTreeMap::new(), BTreeMap::new());
        Memory {
            own,
            others,
            kind,
            life,
            count: 0,
            lives: BTreeMap::new(),
            sources,
            latest,
            miss,
        }
    }

    /// From the disk.
    pub fn with(mut self, count: u64, lives: BTreeMap<NameKey, Life>) -> Memory {
        (self.count, self.lives) = (count, lives);
        self
    }

    pub fn lives(&self) -> &BTreeMap<NameKey, Life> {
        &self.lives
    }

    /// Which life of that one is the latest known.
    pub fn life_of(&self, name: NameKey) -> u64 {
        self.lives.get(&name).map_or(0, |life| life.life)
    }

    /// Takes a word about another's memory. Tells whether its life is a later one than was known, and whether that is a loss.
    pub fn note(&mut self, name: NameKey, life: Life) -> (bool, bool) {
        if !self.others.contains(&name) {
            return (false, false);
        }
        let known = self.lives.get(&name).copied();
        let joined = known.map_or(life, |known| known.join(life));
        self.lives.insert(name, joined);
        let later = known.is_none_or(|k| k.life < joined.life || k.lost != joined.lost);
        (later, later && joined.lost && known.is_some())
    }

    /// Whether what another one knows of this memory shows that it is not all there was.
    pub fn contradicted(&self, known: Life) -> bool {
        match known.life.cmp(&self.life) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => {
                known.count > self.count || (known.lost && self.kind == Kind::Fresh)
            }
            // Whoever is asked has noted this life first, and says so by `lost`.
            std::cmp::Ordering::Less => false,
        }
    }

    /// Begins a life that holds less than the last one.
    pub fn lose(&mut self, life: u64) {
        (self.kind, self.life) = (Kind::Lost, life);
        self.sources.clear();
        self.reckon();
    }

    /// So long after a loss that nothing of what was lost is of use any more.
    pub fn forgive(&mut self) {
        (self.kind, self.miss) = (Kind::Whole, BTreeSet::new());
    }

    /// All that another one holds has been fetched.
    pub fn fetched(&mut self, from: NameKey, source: Source) {
        self.latest.insert(from, source.clone());
        let lacks = self.lacks(from, &source);
        if self
            .sources
            .get(&from)
            .is_none_or(|known| lacks.is_subset(&self.lacks(from, known)))
        {
            self.sources.insert(from, source);
        }
        self.reckon();
    }

    /// With whom it has not caught up.
    pub fn miss(&self) -> &BTreeSet<NameKey> {
        &self.miss
    }

    pub fn heard(&self) -> usize {
        self.sources.len()
    }

    /// Whom to fetch from: those that were not, and those that lacked something themselves that they may have by now.
    pub fn wanting(&self) -> Vec<NameKey> {
        let unheard = |name: &NameKey| !self.sources.contains_key(name);
        let worth = |name: &NameKey| {
            let source = self.sources.get(name).filter(|_| self.kind == Kind::Lost);
            source.is_some_and(|s| self.lacks(*name, s).iter().any(|x| !unheard(x)))
        };
        self.others
            .iter()
            .copied()
            .filter(|name| unheard(name) || worth(name))
            .collect()
    }

    /// What a source could not tell: whatever it shares with these.
    fn lacks(&self, name: NameKey, source: &Source) -> BTreeSet<NameKey> {
        match source.kind {
            // From a disk, and not yet held against what anybody else knows.
            Kind::Whole if source.miss.len() >= self.others.len() => BTreeSet::from([name]),
            Kind::Whole => BTreeSet::new(),
            Kind::Fresh | Kind::Lost => source
                .miss
                .iter()
                .map(|x| if *x == self.own { name } else { *x })
                .collect(),
        }
    }

    fn reckon(&mut self) {
        let unheard = self
            .others
            .iter()
            .copied()
            .filter(|name| !self.sources.contains_key(name));
        let mut miss: BTreeSet<NameKey> = unheard.collect();
        if self.kind == Kind::Lost {
            miss.extend(
                self.sources
                    .iter()
                    .flat_map(|(name, source)| self.lacks(*name, source)),
            );
        }
        self.miss = miss;
        if self.miss.is_empty() && !self.others.is_empty() {
            self.kind = Kind::Whole;
        }
    }

    /// Whether this copy counts for a register with these copies. `waited`: long enough for others to have spoken.
    pub fn ready(&self, copies: &[NameKey], waited: bool) -> bool {
        let most = majority(copies.len());
        let missing = copies
            .iter()
            .filter(|name| self.miss.contains(name))
            .count();
        match self.kind {
            // Whether there ever was more can be told by any of the others, those without a copy too.
            Kind::Fresh => missing == 0 && (self.miss.is_empty() || waited),
            // One of each majority that it was part of has to be among those it has heard.
            Kind::Lost => missing + 2 <= most,
            // It knows all it ever took, unless somebody knows better: one has to have been asked.
            Kind::Whole => missing + most <= copies.len() && (missing == 0 || waited),
        }
    }

    /// Whether what a register with these copies held is lost for good: a majority has lost it, and none of them can get it
    /// back from the rest.
    pub fn lost(&self, copies: &[NameKey]) -> bool {
        let most = majority(copies.len());
        let others = || copies.iter().filter(|name| **name != self.own);
        let lost = |name: &NameKey| {
            let Some(source) = self.latest.get(name).filter(|s| s.kind == Kind::Lost) else {
                return false;
            };
            copies
                .iter()
                .filter(|x| *x != name && source.miss.contains(x))
                .count()
                + 2
                > most
        };
        self.kind == Kind::Lost
            && !self.ready(copies, true)
            && others().all(|name| self.sources.contains_key(name))
            && others().filter(|name| lost(name)).count() + 1 >= most
    }
}
