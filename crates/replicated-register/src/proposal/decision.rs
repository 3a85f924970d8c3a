//! The new state and outcome of an operation, given the latest state that a majority has reported.

use super::{Operation, Outcome, Proposal, Write};
use crate::ids::IdAllocator;
use crate::register::{State, Version};
use crate::RegisterError;

/// A write that replicas were asked to accept. It may take effect even if they do not respond to the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct OwnWrite {
    /// Version of the write.
    pub(super) version: Version,
    /// Version that the write was to replace; `None` if the register had no state.
    pub(super) base: Option<Version>,
}

/// Result of an operation on the latest state.
pub(super) struct Decision {
    /// New state to propose; `None` if the operation leaves the latest state unchanged.
    pub(super) state: Option<State>,
    /// Outcome of the call once a majority has accepted the new state, or the latest state if there is no new one.
    pub(super) outcome: Outcome,
}

impl Decision {
    /// Proposes a new state.
    fn write(state: State) -> Decision {
        let outcome = Outcome::Written(state.version);
        Decision {
            state: Some(state),
            outcome,
        }
    }

    /// Leaves the latest state unchanged.
    fn unchanged(outcome: Outcome) -> Decision {
        Decision {
            state: None,
            outcome,
        }
    }

    /// Leaves the latest state unchanged and fails the call.
    fn fail(error: RegisterError) -> Decision {
        Decision::unchanged(Outcome::Failed(error))
    }
}

impl Proposal {
    /// Applies the operation to the latest state. A write is remembered as [`OwnWrite`], as it may take effect from then on.
    pub(super) fn decide(&mut self, latest: Option<&State>, ids: &mut IdAllocator) -> Decision {
        let Operation::Write(write) = &self.operation else {
            let found = latest.and_then(|state| Some((state.version, state.body.clone()?)));
            return Decision::unchanged(Outcome::Read(found));
        };
        if let Some(own) = self.own_write {
            return decide_retried_write(own, write, latest);
        }
        let visible = latest.and_then(State::visible_version);
        let base = latest.map(|state| state.version);
        if let Some(newer) = base.filter(|base| base.epoch > write.epoch) {
            return Decision::fail(RegisterError::StaleEpoch { epoch: newer.epoch });
        }
        if visible != write.expected {
            return Decision::fail(RegisterError::Conflict { latest: visible });
        }
        let version = ids.version(write.epoch, base);
        let state = State {
            version,
            replaces: base,
            body: write.body.clone(),
        };
        self.own_write = Some(OwnWrite { version, base });
        Decision::write(state)
    }
}

/// Decides about a write that replicas were asked to accept in an earlier attempt. They may have accepted it, and other writers may
/// have replaced it since.
fn decide_retried_write(own: OwnWrite, write: &Write, latest: Option<&State>) -> Decision {
    let version = latest.map(|state| state.version);
    let replaces = latest.and_then(|state| state.replaces);
    if version == Some(own.version) {
        return Decision::unchanged(Outcome::Written(own.version));
    }
    // The write has not taken effect: proposes it again under the same version.
    if version == own.base {
        return Decision::write(State {
            version: own.version,
            replaces: version,
            body: write.body.clone(),
        });
    }
    // The latest state names the version of this write as the one that it replaces, so this write had taken effect.
    if replaces == Some(own.version) {
        return Decision::unchanged(Outcome::Written(own.version));
    }
    // The latest state replaced the version that this write was to replace, so another writer was first.
    if version.is_some() && replaces == own.base {
        let latest = latest.and_then(State::visible_version);
        return Decision::fail(RegisterError::Conflict { latest });
    }
    // Several writes have followed, or the register was deleted and forgotten since: the outcome cannot be determined.
    Decision::fail(RegisterError::TimedOut)
}
