//! Explanations of decisions, for logs.

use std::fmt;

use super::RequestId;

/// Why the module ended a request without serving it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No server that may take the prompt.
    NoPrefillServer,
    /// No server that may take the KV state in the time for which it may wait.
    NoDecodeServer,
    /// The first token was expected too late.
    ExpectedLate,
    /// The retry budget is used up.
    NoRetryLeft,
    /// An attempt may have run, and the class allows no other.
    MayHaveRun,
    /// Its KV state waited as long as it may.
    StateExpired,
    /// The client's deadline is near.
    Deadline,
    /// The attempt could not be sent.
    NotSent,
    /// A rule forbids the attempt that was chosen.
    Forbidden,
}

/// Seconds behind a choice of prefill server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChoiceExplanation {
    /// Expected in the queue.
    pub queue_s: f64,
    /// Expected for the prefill.
    pub prefill_s: f64,
    /// Both, with the wait at a decode server and the risk of failure.
    pub total_s: f64,
    /// Lateness of first tokens seen of late, on top.
    pub lateness_s: f64,
    /// The latest first token at which the request is taken.
    pub limit_s: f64,
}

impl fmt::Display for ChoiceExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "queue {:.3} ", self.queue_s)?;
        write!(f, "read {:.3} ", self.prefill_s)?;
        write!(f, "in all {:.3} ", self.total_s)?;
        write!(f, "slip {:.3} ", self.lateness_s)?;
        write!(f, "of {:.3}", self.limit_s)
    }
}

/// What stood behind a router's last choice of a prefill server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExplainedChoice {
    /// The request that the choice was made for.
    pub request: RequestId,
    /// The estimate that the choice was made by.
    pub explanation: ChoiceExplanation,
}

/// The last request that a router ended without serving it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedRequest {
    /// The request that was rejected or failed.
    pub request: RequestId,
    /// Why it was.
    pub cause: Cause,
}
