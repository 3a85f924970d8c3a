//! Identification of requests between replicas, and conversion of outcomes into answers to callers.

use crate::proposal::{Outcome, Proposal};
use crate::register::{Ballot, RegisterKey};
use crate::Output;

/// Identifies a request between replicas by its register and ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Request {
    pub(super) key: RegisterKey,
    pub(super) ballot: Ballot,
}

/// Builds the answer to the caller of a proposal.
pub(super) fn answer(proposal: &Proposal, outcome: Outcome) -> Output {
    let call = proposal.call;
    match outcome {
        Outcome::Read(found) => Output::Read {
            call,
            result: Ok(found),
        },
        Outcome::Written(version) => Output::Written {
            call,
            result: Ok(version),
        },
        Outcome::Failed(error) if proposal.is_read() => Output::Read {
            call,
            result: Err(error),
        },
        Outcome::Failed(error) => Output::Written {
            call,
            result: Err(error),
        },
    }
}
