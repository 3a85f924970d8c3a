//! How much of the roster is present, and which requests a dispatcher admits in that state.

use serde::{Deserialize, Serialize};

/// Judged against the roster, itself included; members under suspicion still count as there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuorumState {
    /// Nobody of the roster is heard: it is taken to be this one that is cut off, not all others that are dead.
    Alone,
    /// Some are heard, half of the roster or fewer.
    CutOff,
    /// More than half, not all.
    Majority,
    /// All members of the roster are present.
    Whole,
}

impl QuorumState {
    /// By the number of members that are there, of a roster of so many. A roster of one is whole.
    pub fn of(there: usize, roster: usize) -> QuorumState {
        match there {
            _ if there >= roster => QuorumState::Whole,
            0 | 1 => QuorumState::Alone,
            _ if 2 * there > roster => QuorumState::Majority,
            _ => QuorumState::CutOff,
        }
    }
}

/// What a request may do to the world, as its class says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectClass {
    /// Without an effect, or safe to repeat.
    Safe,
    /// With an idempotency key.
    Keyed,
    /// With an effect that must not be repeated.
    Unsafe,
}

/// Which part of a quota that all dispatchers share may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaFraction {
    /// What each of the roster may spend whatever happens, at once and though what it was lent would count for a while yet.
    Unleased,
    /// That, and what it was lent, while that counts.
    Leased,
}

/// What a dispatcher does in one standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionMode {
    /// Whether a request is taken on; one that is not is refused at once, with other addresses to try.
    pub takes: bool,
    /// Its part of even parts of budgets. The guard of cold hosts has no parts: it draws for each request by itself, so that its sum
    /// follows the traffic whoever sends it.
    pub share: QuotaFraction,
    /// Whether the ready check says so.
    pub ready: bool,
    /// Whether a refusal names members to try: only those that may be better placed.
    pub names_others: bool,
}

impl AdmissionMode {
    /// The table of the design note. Drains are kept in every standing: the list that tells of them has its own way in,
    /// and where it cannot be read the word of any peer counts. What has no effect is served wherever that harms nobody.
    /// `hosts` tells whether any model host is reached.
    pub fn of(standing: QuorumState, hosts: bool, work: EffectClass) -> AdmissionMode {
        use EffectClass::{Keyed, Safe, Unsafe};
        use QuorumState::{Alone, CutOff, Majority, Whole};
        let duty = |takes, share, ready, names_others| AdmissionMode {
            takes,
            share,
            ready,
            names_others,
        };
        match (standing, work) {
            // Peers are heard and hosts are not: it is this one that is cut off from them, and others may do better.
            (Whole | Majority | CutOff, Safe | Keyed | Unsafe) if !hosts => {
                duty(false, QuotaFraction::Unleased, false, true)
            }
            (Whole | Majority, Safe | Keyed | Unsafe) => {
                duty(true, QuotaFraction::Leased, true, true)
            }
            (CutOff, Safe) => duty(true, QuotaFraction::Unleased, true, true),
            // A key seen elsewhere may be running there: one that cannot ask does not run it again.
            (CutOff, Keyed | Unsafe) => duty(false, QuotaFraction::Unleased, true, true),
            // All others dead at once is judged as this one cut off: callers are sent away, what harms nobody
            // is still served for those who can reach no other.
            (Alone, Safe) => duty(true, QuotaFraction::Unleased, false, true),
            (Alone, Keyed | Unsafe) => duty(false, QuotaFraction::Unleased, false, true),
        }
    }
}

#[cfg(test)]
mod tests;
