//! How far a replica's memory can be trusted, and so for which registers it counts: its incarnation, what others know of earlier
//! ones, and which members it has caught up with.
//!
//! An *incarnation* is one unbroken memory. With a disk it goes on over restarts, without one it ends with the process; it also ends
//! where the disk is corrupt or an older one. Other members remember the latest incarnation of each and how many changes it
//! reported, so that a replica whose memory is gone or set back learns of it from whichever member it asks first.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::quorum::majority;

/// How much of what a replica once held it holds. The order goes from the best to the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Completeness {
    /// All.
    Complete,
    /// Nothing, and no other member has reported yet that there was more.
    Fresh,
    /// Less than all.
    Lost,
}

/// What is known of another member's latest incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Start number of the process that began it.
    pub number: u64,
    /// Changes that it reported.
    pub count: u64,
    /// An earlier one has ended.
    pub lost: bool,
}

impl Incarnation {
    /// The later of two reports about one member.
    fn join(self, other: Incarnation) -> Incarnation {
        let (earlier, later) = match self.number <= other.number {
            true => (self, other),
            false => (other, self),
        };
        if earlier.number < later.number {
            // The earlier one may have held more than was reported.
            return Incarnation {
                lost: true,
                ..later
            };
        }
        Incarnation {
            number: later.number,
            count: earlier.count.max(later.count),
            lost: earlier.lost || later.lost,
        }
    }
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IncarnationChange {
    /// The incarnation is a later one than was known.
    pub is_later: bool,
    /// An earlier incarnation that was known has ended.
    pub is_loss: bool,
}

/// State of another replica when all that it holds had been fetched from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// How much it held itself.
    pub completeness: Completeness,
    /// Members that it had not caught up with.
    pub missing: BTreeSet<NameKey>,
}

/// What a replica knows of its own memory and of others'.
pub struct RecoveryState {
    own: NameKey,
    others: BTreeSet<NameKey>,
    /// How much of what it once held it holds.
    pub completeness: Completeness,
    /// Number of the current incarnation.
    pub incarnation: u64,
    /// Changes of the current incarnation so far.
    pub changes: u64,
    incarnations: BTreeMap<NameKey, Incarnation>,
    /// The best state of each source; what it made known stays known, whatever becomes of the source.
    sources: BTreeMap<NameKey, Source>,
    /// The latest state of each source.
    latest: BTreeMap<NameKey, Source>,
    missing: BTreeSet<NameKey>,
}

impl RecoveryState {
    /// A replica that has not caught up with anybody.
    pub fn new(
        own: NameKey,
        roster: &BTreeSet<NameKey>,
        completeness: Completeness,
        incarnation: u64,
    ) -> RecoveryState {
        let others: BTreeSet<NameKey> =
            roster.iter().copied().filter(|name| *name != own).collect();
        RecoveryState {
            own,
            missing: others.clone(),
            others,
            completeness,
            incarnation,
            changes: 0,
            incarnations: BTreeMap::new(),
            sources: BTreeMap::new(),
            latest: BTreeMap::new(),
        }
    }

    /// With what was on disk.
    pub fn with(self, changes: u64, incarnations: BTreeMap<NameKey, Incarnation>) -> RecoveryState {
        RecoveryState {
            changes,
            incarnations,
            ..self
        }
    }

    /// The latest known incarnation of each other member.
    pub fn incarnations(&self) -> &BTreeMap<NameKey, Incarnation> {
        &self.incarnations
    }

    /// Number of a member's latest known incarnation; 0 where none is known.
    pub fn incarnation_of(&self, name: NameKey) -> u64 {
        self.incarnations
            .get(&name)
            .map_or(0, |incarnation| incarnation.number)
    }

    /// Takes a report about another member.
    pub fn note_incarnation(&mut self, name: NameKey, reported: Incarnation) -> IncarnationChange {
        if !self.others.contains(&name) {
            return IncarnationChange::default();
        }
        let known = self.incarnations.get(&name).copied();
        let joined = known.map_or(reported, |known| known.join(reported));
        self.incarnations.insert(name, joined);
        let is_later =
            known.is_none_or(|known| known.number < joined.number || known.lost != joined.lost);
        IncarnationChange {
            is_later,
            is_loss: is_later && joined.lost && known.is_some(),
        }
    }

    /// Whether what another member knows of this replica shows that it once held more.
    pub fn is_contradicted_by(&self, known: Incarnation) -> bool {
        match known.number.cmp(&self.incarnation) {
            Ordering::Greater => true,
            Ordering::Equal => {
                let was_lost = known.lost && self.completeness == Completeness::Fresh;
                known.count > self.changes || was_lost
            }
            // A member that is asked notes this incarnation first, and reports the end of the earlier one by `lost`.
            Ordering::Less => false,
        }
    }

    /// Begins an incarnation that holds less than the last one.
    pub fn begin_incomplete(&mut self, incarnation: u64) {
        self.completeness = Completeness::Lost;
        self.incarnation = incarnation;
        self.sources.clear();
        self.update_missing();
    }

    /// What was lost does not matter any more, as it has ended since.
    pub fn assume_complete(&mut self) {
        self.completeness = Completeness::Complete;
        self.missing.clear();
    }

    /// All that another replica holds has been fetched.
    pub fn add_source(&mut self, from: NameKey, source: Source) {
        self.latest.insert(from, source.clone());
        let gaps = self.gaps(from, &source);
        let is_better = self
            .sources
            .get(&from)
            .is_none_or(|known| gaps.is_subset(&self.gaps(from, known)));
        if is_better {
            self.sources.insert(from, source);
        }
        self.update_missing();
    }

    /// Members that this replica has not caught up with.
    pub fn missing(&self) -> &BTreeSet<NameKey> {
        &self.missing
    }

    /// Members that everything was fetched from.
    pub fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// Members to fetch from: those that nothing was fetched from, and those that lacked something which they may hold by now.
    pub fn pending_sources(&self) -> Vec<NameKey> {
        self.others
            .iter()
            .copied()
            .filter(|name| !self.sources.contains_key(name) || self.may_have_gained(*name))
            .collect()
    }

    fn may_have_gained(&self, name: NameKey) -> bool {
        let Some(source) = self.sources.get(&name) else {
            return false;
        };
        self.completeness == Completeness::Lost
            && self
                .gaps(name, source)
                .iter()
                .any(|member| self.sources.contains_key(member))
    }

    /// Members whose common registers with a source it could not vouch for.
    fn gaps(&self, name: NameKey, source: &Source) -> BTreeSet<NameKey> {
        match source.completeness {
            // Restored from a disk, and not yet compared with what any other member knows.
            Completeness::Complete if source.missing.len() >= self.others.len() => {
                BTreeSet::from([name])
            }
            Completeness::Complete => BTreeSet::new(),
            Completeness::Fresh | Completeness::Lost => source
                .missing
                .iter()
                .map(|member| if *member == self.own { name } else { *member })
                .collect(),
        }
    }

    fn update_missing(&mut self) {
        let mut missing: BTreeSet<NameKey> = self
            .others
            .iter()
            .copied()
            .filter(|name| !self.sources.contains_key(name))
            .collect();
        if self.completeness == Completeness::Lost {
            let gaps = self
                .sources
                .iter()
                .flat_map(|(name, source)| self.gaps(*name, source));
            missing.extend(gaps);
        }
        self.missing = missing;
        if self.missing.is_empty() && !self.others.is_empty() {
            self.completeness = Completeness::Complete;
        }
    }

    /// Whether this replica counts for a register with these replicas. `waited`: others have had the time to report.
    pub fn counts_for(&self, replicas: &[NameKey], waited: bool) -> bool {
        let quorum = majority(replicas.len());
        let missing = replicas
            .iter()
            .filter(|name| self.missing.contains(name))
            .count();
        match self.completeness {
            // Any other member can report whether there was more, also one that does not hold the register.
            Completeness::Fresh => missing == 0 && (self.missing.is_empty() || waited),
            // Of each majority that it was part of it has to have caught up with one.
            Completeness::Lost => missing + 2 <= quorum,
            // It holds all that it accepted, unless a member knows better: one has to have been asked.
            Completeness::Complete => {
                missing + quorum <= replicas.len() && (missing == 0 || waited)
            }
        }
    }

    /// Whether what a register with these replicas held is lost for good: a majority has lost it, and none of them can fetch it
    /// from the others.
    pub fn is_lost(&self, replicas: &[NameKey]) -> bool {
        let others = || replicas.iter().filter(|name| **name != self.own);
        let lost_by_others = others()
            .filter(|name| self.is_lost_by(**name, replicas))
            .count();
        self.completeness == Completeness::Lost
            && !self.counts_for(replicas, true)
            && others().all(|name| self.sources.contains_key(name))
            && lost_by_others + 1 >= majority(replicas.len())
    }

    /// Whether another replica has lost the register and cannot fetch it, by its latest state.
    fn is_lost_by(&self, name: NameKey, replicas: &[NameKey]) -> bool {
        let Some(source) = self.latest.get(&name) else {
            return false;
        };
        let missing = replicas
            .iter()
            .filter(|replica| **replica != name && source.missing.contains(replica))
            .count();
        source.completeness == Completeness::Lost && missing + 2 > majority(replicas.len())
    }
}
