//! The quorum state, that is how much of the roster is present, and which requests a dispatcher admits in each state.

use serde::{Deserialize, Serialize};

/// How many members of the roster are present, this one included; members under suspicion still count as present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuorumState {
    /// No other member is present. This member assumes that it is isolated, not that all others have failed.
    Alone,
    /// Other members are present, but no more than half of the roster with this one.
    CutOff,
    /// More than half of the members of the roster are present, but not all.
    Majority,
    /// All members of the roster are present.
    Whole,
}

impl QuorumState {
    /// The state of a member that counts `present` members, itself included, of `roster`. A roster of one is always
    /// [`QuorumState::Whole`].
    pub fn of(present: usize, roster: usize) -> QuorumState {
        match present {
            _ if present >= roster => QuorumState::Whole,
            0 | 1 => QuorumState::Alone,
            _ if 2 * present > roster => QuorumState::Majority,
            _ => QuorumState::CutOff,
        }
    }
}

/// Whether a request may be repeated, according to its request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectClass {
    /// The request has no side effects or is safe to repeat.
    Idempotent,
    /// The request carries an idempotency key, by which a repetition is detected.
    IdempotencyKey,
    /// The request has side effects and must not be repeated.
    NonIdempotent,
}

/// The part of a shared quota that a dispatcher may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaFraction {
    /// The unleased fraction only, which each member of the roster may use without a lease in any quorum state.
    Unleased,
    /// The unleased fraction and the member's quota lease until it expires.
    Leased,
}

/// How a dispatcher treats requests of one effect class in one quorum state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionMode {
    /// Whether requests are admitted. Others are rejected at once, with the addresses of other dispatchers to try.
    pub admits: bool,
    /// The part of the shared quotas that may be used. Slow start needs no quota: each dispatcher decides at random for
    /// each request, so that the total is proportional to the traffic, however it is spread over dispatchers.
    pub quota: QuotaFraction,
    /// Whether the readiness check succeeds.
    pub ready: bool,
}

impl AdmissionMode {
    /// The admission mode for a quorum state and an effect class, as tabulated in `docs/design/membership.md`.
    ///
    /// `servers_reachable` means that at least one model server is connected. Draining is honoured in every quorum state,
    /// because the endpoint list that announces it does not come from peers; where that list cannot be read, the report of
    /// any single peer counts. Idempotent requests are admitted wherever that does no harm.
    pub fn of(quorum: QuorumState, servers_reachable: bool, effect: EffectClass) -> AdmissionMode {
        use EffectClass::{IdempotencyKey, Idempotent, NonIdempotent};
        use QuorumState::{Alone, CutOff, Majority, Whole};
        let mode = |admits, quota, ready| AdmissionMode {
            admits,
            quota,
            ready,
        };
        match (quorum, effect) {
            // Peers are present but no model server is reachable: other dispatchers may still reach the servers.
            (Whole | Majority | CutOff, _) if !servers_reachable => {
                mode(false, QuotaFraction::Unleased, false)
            }
            (Whole | Majority, _) => mode(true, QuotaFraction::Leased, true),
            (CutOff, Idempotent) => mode(true, QuotaFraction::Unleased, true),
            // Another dispatcher may be running a request with the same idempotency key. Without a majority this one
            // cannot find out, so it does not run the request.
            (CutOff, IdempotencyKey | NonIdempotent) => mode(false, QuotaFraction::Unleased, true),
            // All others failing at once is less likely than this dispatcher being isolated. The readiness check fails, so
            // that clients go elsewhere; idempotent requests are admitted for clients that can reach no other dispatcher.
            (Alone, Idempotent) => mode(true, QuotaFraction::Unleased, false),
            (Alone, IdempotencyKey | NonIdempotent) => mode(false, QuotaFraction::Unleased, false),
        }
    }
}

#[cfg(test)]
mod tests;
