//! What an operation makes of the latest state that a majority knows.

use super::{Operation, Outcome, Proposal, Write};
use crate::ids::IdAllocator;
use crate::register::{State, Version};
use crate::RegisterError;

/// What a call has asked replicas to accept. From then on it may be written, whoever answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct OwnWrite {
    pub(super) version: Version,
    /// Version that it was to replace.
    pub(super) base: Option<Version>,
}

/// A state to have accepted, if any, and the outcome once that, or the latest state, is settled.
pub(super) struct Decision {
    pub(super) state: Option<State>,
    pub(super) outcome: Outcome,
}

impl Decision {
    fn write(state: State) -> Decision {
        let outcome = Outcome::Written(state.version);
        Decision {
            state: Some(state),
            outcome,
        }
    }

    fn keep(outcome: Outcome) -> Decision {
        Decision {
            state: None,
            outcome,
        }
    }

    fn fail(error: RegisterError) -> Decision {
        Decision::keep(Outcome::Failed(error))
    }
}

impl Proposal {
    /// What the operation makes of the latest state.
    pub(super) fn decide(&mut self, latest: Option<&State>, ids: &mut IdAllocator) -> Decision {
        let Operation::Write(write) = &self.operation else {
            let found = latest.and_then(|state| Some((state.version, state.body.clone()?)));
            return Decision::keep(Outcome::Read(found));
        };
        if let Some(own) = self.own_write {
            return decide_again(own, write, latest);
        }
        let visible = latest.and_then(State::visible_version);
        let base = latest.map(|state| state.version);
        if let Some(passed) = base.filter(|base| base.epoch > write.epoch) {
            return Decision::fail(RegisterError::StaleEpoch {
                epoch: passed.epoch,
            });
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

/// What becomes of a write that replicas were asked to accept before: it may have been accepted, and others may have written on
/// top of it.
fn decide_again(own: OwnWrite, write: &Write, latest: Option<&State>) -> Decision {
    let version = latest.map(|state| state.version);
    let replaces = latest.and_then(|state| state.replaces);
    if version == Some(own.version) {
        return Decision::keep(Outcome::Written(own.version));
    }
    if version == own.base {
        return Decision::write(State {
            version: own.version,
            replaces: version,
            body: write.body.clone(),
        });
    }
    if replaces == Some(own.version) {
        return Decision::keep(Outcome::Written(own.version));
    }
    if version.is_some() && replaces == own.base {
        let latest = latest.and_then(State::visible_version);
        return Decision::fail(RegisterError::Conflict { latest });
    }
    Decision::fail(RegisterError::TimedOut)
}
