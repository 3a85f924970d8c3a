//! Recovery of a replica after a restart: detects whether it lost state, tracks which members it has caught up with, and decides
//! for which registers it counts toward a majority.
//!
//! An *incarnation* is a period during which a replica loses no state. With a disk it continues across restarts, without one it
//! ends with the process. It also ends if the disk is found erased, corrupt or set back to an older state. The other members
//! remember the latest incarnation of each member and how many changes it reported. A replica whose state is gone or set back is
//! therefore notified of it by whichever member it asks first.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_membership::NameKey;
use serde::{Deserialize, Serialize};

use crate::quorum::majority;

/// Whether a replica holds all state that it once held. The variants are ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Completeness {
    /// The replica holds all state that it once held.
    Complete,
    /// The replica started without state, and no other member has reported so far that it held any before.
    Fresh,
    /// The replica has lost some or all of its state.
    Lost,
}

/// What is known about a member's latest incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Number of the incarnation: the start number of the process that began it.
    pub number: u64,
    /// Highest number of changes that the member reported in this incarnation.
    pub count: u64,
    /// Whether an earlier incarnation of the member has ended, so that the member may have lost state.
    pub lost: bool,
}

impl Incarnation {
    /// Merges two reports about one member; the result does not depend on their order.
    fn join(self, other: Incarnation) -> Incarnation {
        let (earlier, later) = match self.number <= other.number {
            true => (self, other),
            false => (other, self),
        };
        if earlier.number < later.number {
            // The earlier incarnation may have held state that was never reported.
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

/// How a report about a member changed what is known of its incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IncarnationChange {
    /// The incarnation is later than the known one, or it became known that an earlier one has ended.
    pub is_later: bool,
    /// The member has lost the state of an incarnation that was known.
    pub is_loss: bool,
}

/// State of recovery of another replica at the time when a state transfer from it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Completeness that the other replica reported.
    pub completeness: Completeness,
    /// Members that the other replica had not caught up with.
    pub missing: BTreeSet<NameKey>,
}

/// What a replica knows about the completeness of its own state and that of the other members.
pub struct RecoveryState {
    own: NameKey,
    others: BTreeSet<NameKey>,
    /// Whether this replica holds all state that it once held.
    pub completeness: Completeness,
    /// Number of this replica's current incarnation.
    pub incarnation: u64,
    /// Number of changes in this replica's current incarnation so far.
    pub changes: u64,
    incarnations: BTreeMap<NameKey, Incarnation>,
    /// For each member that state was transferred from, its best state of recovery at the end of a transfer. What this replica
    /// received then remains valid even if the member loses its state later.
    best_sources: BTreeMap<NameKey, Source>,
    /// For each member that state was transferred from, its state of recovery at the end of the latest transfer.
    latest_sources: BTreeMap<NameKey, Source>,
    /// Members that this replica has not caught up with.
    missing: BTreeSet<NameKey>,
}

impl RecoveryState {
    /// Creates the state of a replica that has not caught up with any other member.
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
            best_sources: BTreeMap::new(),
            latest_sources: BTreeMap::new(),
        }
    }

    /// Sets the number of changes and the known incarnations of other members, as restored from disk.
    pub fn with_restored(
        self,
        changes: u64,
        incarnations: BTreeMap<NameKey, Incarnation>,
    ) -> RecoveryState {
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

    /// Number of a member's latest known incarnation; 0 if none is known.
    pub fn incarnation_of(&self, name: NameKey) -> u64 {
        self.incarnations
            .get(&name)
            .map_or(0, |incarnation| incarnation.number)
    }

    /// Merges a report about another member's incarnation into what is known.
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

    /// Whether `known`, which another member knows about this replica, proves that this replica once held more state than now.
    pub fn is_contradicted_by(&self, known: Incarnation) -> bool {
        match known.number.cmp(&self.incarnation) {
            Ordering::Greater => true,
            Ordering::Equal => {
                let was_lost = known.lost && self.completeness == Completeness::Fresh;
                known.count > self.changes || was_lost
            }
            // A member that is asked for state first records the incarnation in the request. If it knew an earlier one, it then
            // reports the current one with `lost` set, so a lower number comes only from a report that is out of date.
            Ordering::Less => false,
        }
    }

    /// Begins an incarnation that has lost state of the previous one.
    pub fn begin_incomplete(&mut self, incarnation: u64) {
        self.completeness = Completeness::Lost;
        self.incarnation = incarnation;
        self.best_sources.clear();
        self.update_missing();
    }

    /// Treats this replica as complete although it has lost state, because that state has become irrelevant.
    pub fn assume_complete(&mut self) {
        self.completeness = Completeness::Complete;
        self.missing.clear();
    }

    /// Records that a state transfer from another replica has ended, with the state of recovery that the replica reported.
    pub fn add_source(&mut self, from: NameKey, source: Source) {
        self.latest_sources.insert(from, source.clone());
        let gaps = self.gaps(from, &source);
        let is_better = self
            .best_sources
            .get(&from)
            .is_none_or(|known| gaps.is_subset(&self.gaps(from, known)));
        if is_better {
            self.best_sources.insert(from, source);
        }
        self.update_missing();
    }

    /// Members that this replica has not caught up with.
    pub fn missing(&self) -> &BTreeSet<NameKey> {
        &self.missing
    }

    /// Number of members from which a complete state transfer was made.
    pub fn source_count(&self) -> usize {
        self.best_sources.len()
    }

    /// Members from which a state transfer is needed: those without a transfer so far, and those that reported gaps which they may
    /// have closed since.
    pub fn pending_sources(&self) -> Vec<NameKey> {
        self.others
            .iter()
            .copied()
            .filter(|name| !self.best_sources.contains_key(name) || self.may_have_gained(*name))
            .collect()
    }

    /// Whether a repeated transfer from a member may yield registers that the member lacked before.
    fn may_have_gained(&self, name: NameKey) -> bool {
        let Some(source) = self.best_sources.get(&name) else {
            return false;
        };
        self.completeness == Completeness::Lost
            && self
                .gaps(name, source)
                .iter()
                .any(|member| self.best_sources.contains_key(member))
    }

    /// Members with which the source shares registers whose state it cannot guarantee to be complete.
    fn gaps(&self, name: NameKey, source: &Source) -> BTreeSet<NameKey> {
        match source.completeness {
            // The source restored its state from disk and has not yet checked with any other member whether its disk was set back.
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

    /// Recomputes the members that this replica has not caught up with. The replica is complete once there are none.
    fn update_missing(&mut self) {
        let mut missing: BTreeSet<NameKey> = self
            .others
            .iter()
            .copied()
            .filter(|name| !self.best_sources.contains_key(name))
            .collect();
        if self.completeness == Completeness::Lost {
            let gaps = self
                .best_sources
                .iter()
                .flat_map(|(name, source)| self.gaps(*name, source));
            missing.extend(gaps);
        }
        self.missing = missing;
        if self.missing.is_empty() && !self.others.is_empty() {
            self.completeness = Completeness::Complete;
        }
    }

    /// Whether this replica counts toward a majority of a register with these replicas. `waited`: whether the catch-up grace period
    /// has passed, in which other members could report lost state.
    pub fn counts_toward_majority(&self, replicas: &[NameKey], waited: bool) -> bool {
        let quorum = majority(replicas.len());
        let missing = replicas
            .iter()
            .filter(|name| self.missing.contains(name))
            .count();
        match self.completeness {
            // Any other member may know that this replica held state before, even one that does not hold the register.
            Completeness::Fresh => missing == 0 && (self.missing.is_empty() || waited),
            // At most `quorum - 2` replicas are missing, so each majority that this replica was once part of includes another
            // replica that it has caught up with.
            Completeness::Lost => missing + 2 <= quorum,
            // The disk holds all that this replica accepted, unless it was set back, which other replicas may know. So this replica
            // has to have caught up with enough replicas to form a majority together with them.
            Completeness::Complete => {
                missing + quorum <= replicas.len() && (missing == 0 || waited)
            }
        }
    }

    /// Whether the state of a register with these replicas cannot be recovered: a majority of the replicas has lost it, and none of
    /// them can fetch it from the others.
    pub fn is_lost(&self, replicas: &[NameKey]) -> bool {
        let others = || replicas.iter().filter(|name| **name != self.own);
        let lost_by_others = others()
            .filter(|name| self.is_lost_by(**name, replicas))
            .count();
        self.completeness == Completeness::Lost
            && !self.counts_toward_majority(replicas, true)
            && others().all(|name| self.best_sources.contains_key(name))
            && lost_by_others + 1 >= majority(replicas.len())
    }

    /// Whether another replica has lost a register and cannot fetch it from the others, by the replica's latest report.
    fn is_lost_by(&self, name: NameKey, replicas: &[NameKey]) -> bool {
        let Some(source) = self.latest_sources.get(&name) else {
            return false;
        };
        let missing = replicas
            .iter()
            .filter(|replica| **replica != name && source.missing.contains(replica))
            .count();
        source.completeness == Completeness::Lost && missing + 2 > majority(replicas.len())
    }
}
