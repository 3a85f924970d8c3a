//! How much of the roster is present, and which requests a dispatcher admits in that state.

use serde::{Deserialize, Serialize};

/// How many members of the roster are present, this one included; members under suspicion still count as present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuorumState {
    /// No other member is received from: this one is taken to be cut off, rather than all others dead.
    Alone,
    /// Some members are present, half of the roster or fewer.
    CutOff,
    /// More than half, not all.
    Majority,
    /// All members of the roster are present.
    Whole,
}

impl QuorumState {
    /// The state with so many members present, of a roster of so many. A roster of one is whole.
    pub fn of(present: usize, roster: usize) -> QuorumState {
        match present {
            _ if present >= roster => QuorumState::Whole,
            0 | 1 => QuorumState::Alone,
            _ if 2 * present > roster => QuorumState::Majority,
            _ => QuorumState::CutOff,
        }
    }
}

/// What a request may do to the world, as its class says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectClass {
    /// Without an effect, or safe to repeat.
    Idempotent,
    /// With an idempotency key.
    IdempotencyKey,
    /// With an effect that must not be repeated.
    NonIdempotent,
}

/// Which part of a quota that all dispatchers share may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaFraction {
    /// The part that each member of the roster may use without a lease, whatever happens.
    Unleased,
    /// That part, and the member's lease until it expires.
    Leased,
}

/// What a dispatcher does with requests of one class in one quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionMode {
    /// Whether a request is admitted. One that is not is refused at once, with other addresses to try.
    pub admits: bool,
    /// The part of shared quotas that may be used. Slow start has no quota: each dispatcher draws for each request by
    /// itself, so that the sum follows the traffic whoever sends it.
    pub quota: QuotaFraction,
    /// Whether the readiness check succeeds.
    pub ready: bool,
}

impl AdmissionMode {
    /// The table of the design note (`docs/design/membership.md`). Draining is honoured in every quorum state, as the
    /// list that tells of it does not come from peers; where it cannot be read, any peer's report counts. Idempotent
    /// requests are served wherever that harms nobody. `servers_reachable`: at least one model server is connected.
    pub fn of(quorum: QuorumState, servers_reachable: bool, effect: EffectClass) -> AdmissionMode {
        use EffectClass::{IdempotencyKey, Idempotent, NonIdempotent};
        use QuorumState::{Alone, CutOff, Majority, Whole};
        let mode = |admits, quota, ready| AdmissionMode {
            admits,
            quota,
            ready,
        };
        match (quorum, effect) {
            // Peers are received from and no model server is: this dispatcher is cut off from them, others may do better.
            (Whole | Majority | CutOff, _) if !servers_reachable => {
                mode(false, QuotaFraction::Unleased, false)
            }
            (Whole | Majority, _) => mode(true, QuotaFraction::Leased, true),
            (CutOff, Idempotent) => mode(true, QuotaFraction::Unleased, true),
            // A key seen elsewhere may be running there: a dispatcher that cannot ask does not run it again.
            (CutOff, IdempotencyKey | NonIdempotent) => mode(false, QuotaFraction::Unleased, true),
            // All others dead at once is judged as this one cut off: callers are sent away, and idempotent requests are
            // still served for those who can reach no other.
            (Alone, Idempotent) => mode(true, QuotaFraction::Unleased, false),
            (Alone, IdempotencyKey | NonIdempotent) => mode(false, QuotaFraction::Unleased, false),
        }
    }
}

#[cfg(test)]
mod tests;
