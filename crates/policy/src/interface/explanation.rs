//! Explanations of routing decisions, for logs.

use std::fmt;

use super::RequestId;

/// Why a router ended a request without serving it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No prefill server was available for the prompt.
    NoPrefillServer,
    /// No endpoint list came in the time that the request may wait for one.
    NoEndpointList,
    /// No decode server became available in the time that the KV cache state may wait for one.
    NoDecodeServer,
    /// The estimated time to the first token exceeded the limit for admission.
    ExpectedLate,
    /// The retry budget was exhausted.
    NoRetryLeft,
    /// An attempt may have run, and requests of the class must not run twice.
    MayHaveRun,
    /// The KV cache state was released, or would be held longer than
    /// [`Settings::kv_hold_limit_s`](super::Settings::kv_hold_limit_s) during another attempt.
    StateExpired,
    /// The client's deadline had come, or no further attempt could meet it.
    Deadline,
    /// The dispatcher could not send the attempt.
    NotSent,
    /// A final check before sending forbade the chosen attempt.
    Forbidden,
}

/// Time estimates, in seconds, behind a choice of prefill server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChoiceExplanation {
    /// Estimated time in the prefill server's queue, seconds.
    pub queue_s: f64,
    /// Estimated time that the prefill itself takes, seconds.
    pub prefill_s: f64,
    /// Estimated time to the first token, seconds: queue, prefill, wait at a decode server and an
    /// allowance for the risk of failure.
    pub total_s: f64,
    /// How much later than estimated first tokens are currently expected to come, seconds; added to
    /// `total_s` before the comparison with `limit_s`.
    pub lateness_s: f64,
    /// Longest expected time to the first token at which the request is admitted, seconds.
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

/// What slow start assumes of a warming server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartStatus {
    /// Fraction of its full capacity that the server is assumed to have.
    pub assumed_capacity: f64,
    /// Work that this router might have sent since it learned of the start, in requests of mean
    /// work.
    pub granted_work: f64,
    /// Cost of the attempts that this router has sent: their work, and at least that of a mean
    /// request each, scaled to the budget.
    pub sent_work: f64,
    /// Speed of the server as a multiple of the mean of its role, at most 1.
    pub speed: f64,
    /// Work that this router may send in one window at the assumed capacity, in requests of mean
    /// work; `None` until answers have shown what a server of the role does.
    pub window_budget: Option<f64>,
}

impl fmt::Display for SlowStartStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "assumed_capacity={:.3} ", self.assumed_capacity)?;
        write!(f, "granted_work={:.1} ", self.granted_work)?;
        write!(f, "speed={:.2} ", self.speed)?;
        if let Some(budget) = self.window_budget {
            write!(f, "window_budget={budget:.1} ")?;
        }
        write!(f, "sent_work={:.1}", self.sent_work)
    }
}

/// A router's latest choice of a prefill server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExplainedChoice {
    /// The request that the choice was made for.
    pub request: RequestId,
    /// The time estimates that the choice was based on.
    pub explanation: ChoiceExplanation,
}

/// The latest request that a router ended without serving it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedRequest {
    /// The request that was rejected or failed.
    pub request: RequestId,
    /// Why the request was rejected or failed.
    pub cause: Cause,
}
