//! One access-log record: follows a request from arrival to end and formats its line.

use std::fmt;

use bitternlatch_policy::interface::{Cause, ChoiceExplanation, Outcome, Request, ServerId};

use super::DecisionReasons;

/// Most attempts listed in one line.
const MAX_ATTEMPTS: usize = 8;
/// Most changes of the KV cache state listed in one line.
const MAX_STATE_CHANGES: usize = 8;

/// How a request ended for its client. The words in a line are part of the log format and do not follow these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalResponse {
    Served,
    Broken,
    Disconnected,
    Rejected,
    Failed,
}

impl fmt::Display for FinalResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FinalResponse::Served => "served",
            FinalResponse::Broken => "broken",
            FinalResponse::Disconnected => "gone",
            FinalResponse::Rejected => "refused",
            FinalResponse::Failed => "failed",
        })
    }
}

/// Change of the KV cache state that a prefill server holds for a request, as far as the decision module knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KvStateChange {
    HeldAt(ServerId),
    MayBeHeldAt(ServerId),
    Taken,
    Missing,
    Released,
}

impl fmt::Display for KvStateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KvStateChange::HeldAt(server) => write!(f, "HeldAt({server})"),
            KvStateChange::MayBeHeldAt(server) => write!(f, "MayBeHeldAt({server})"),
            KvStateChange::Taken => f.write_str("Taken"),
            KvStateChange::Missing => f.write_str("Missing"),
            KvStateChange::Released => f.write_str("Released"),
        }
    }
}

/// A change of the KV cache state with its time.
#[derive(Clone, Copy, Debug)]
struct KvStateEvent {
    /// Time of the change, seconds from the request's arrival.
    at_s: f64,
    change: KvStateChange,
}

/// How and when an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    pub(super) elapsed_s: f64,
    /// Prompt tokens that the server found in its prefix cache.
    pub(super) prefix_hit_tokens: f64,
}

/// One attempt of a request.
#[derive(Debug)]
struct AttemptRecord {
    server: ServerId,
    /// Start of the attempt, seconds from the request's arrival.
    at_s: f64,
    explanation: Option<ChoiceExplanation>,
    /// How the attempt ended; `None` while it is in flight.
    result: Option<AttemptResult>,
}

impl AttemptRecord {
    fn has_succeeded(&self) -> bool {
        let outcome = self.result.map(|result| result.outcome);
        matches!(outcome, Some(Outcome::Served | Outcome::PrefillDone))
    }
}

/// Record of one request.
#[derive(Debug)]
pub(super) struct RequestRecord {
    id: String,
    request: Request,
    /// Latency objective for the first token, seconds.
    latency_objective_s: f64,
    arrived_s: f64,
    /// The first `MAX_ATTEMPTS` attempts; `attempts_made` counts all of them.
    attempts: Vec<AttemptRecord>,
    attempts_made: usize,
    first_token_s: Option<f64>,
    response: Option<FinalResponse>,
    /// Why the decision module rejected or failed the request.
    ended_by: DecisionReasons,
    states: Vec<KvStateEvent>,
}

impl RequestRecord {
    pub(super) fn new(
        id: String,
        request: Request,
        latency_objective_s: f64,
        arrived_s: f64,
    ) -> RequestRecord {
        RequestRecord {
            id,
            request,
            latency_objective_s,
            arrived_s,
            attempts: Vec::new(),
            attempts_made: 0,
            first_token_s: None,
            response: None,
            ended_by: DecisionReasons::default(),
            states: Vec::new(),
        }
    }

    pub(super) fn begin_attempt(
        &mut self,
        server: ServerId,
        now_s: f64,
        explanation: Option<ChoiceExplanation>,
    ) {
        self.attempts_made += 1;
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push(AttemptRecord {
                server,
                at_s: now_s - self.arrived_s,
                explanation,
                result: None,
            });
        }
    }

    pub(super) fn end_attempt(&mut self, server: ServerId, now_s: f64, result: AttemptResult) {
        let in_flight = |a: &&mut AttemptRecord| a.server == server && a.result.is_none();
        if let Some(attempt) = self.attempts.iter_mut().rev().find(in_flight) {
            attempt.result = Some(result);
        }
        self.record_state_after(server, now_s, result.outcome);
        if result.outcome == Outcome::Served {
            self.response.get_or_insert(FinalResponse::Served);
        } else if self.first_token_s.is_some() {
            self.response.get_or_insert(FinalResponse::Broken);
        }
    }

    fn record_state_after(&mut self, server: ServerId, now_s: f64, outcome: Outcome) {
        let change = match outcome {
            Outcome::PrefillDone => KvStateChange::HeldAt(server),
            Outcome::Rejected {
                state_missing: true,
            } => KvStateChange::Missing,
            Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled if !self.holds_state() => {
                KvStateChange::MayBeHeldAt(server)
            }
            _ => return,
        };
        self.change_state(now_s, change);
    }

    pub(super) fn first_token(&mut self, now_s: f64) {
        self.first_token_s = Some(now_s - self.arrived_s);
        self.change_state(now_s, KvStateChange::Taken);
    }

    pub(super) fn change_state(&mut self, now_s: f64, change: KvStateChange) {
        if self.states.len() < MAX_STATE_CHANGES {
            let at_s = now_s - self.arrived_s;
            self.states.push(KvStateEvent { at_s, change });
        }
    }

    pub(super) fn disconnect(&mut self) {
        self.response.get_or_insert(FinalResponse::Disconnected);
    }

    /// Records that the decision module ended the request.
    pub(super) fn end(&mut self, response: FinalResponse, reasons: DecisionReasons) {
        (self.response, self.ended_by) = (Some(response), reasons);
    }

    /// Whether the request has its final response and no attempt is in flight.
    pub(super) fn is_complete(&self) -> bool {
        self.response.is_some() && self.attempts.iter().all(|a| a.result.is_some())
    }

    /// Whether the request deserves a line: it was not served, was retried, or missed its latency objective.
    pub(super) fn is_reportable(&self) -> bool {
        self.response != Some(FinalResponse::Served) || self.was_retried() || self.is_late()
    }

    fn holds_state(&self) -> bool {
        let last = self.states.last().map(|event| event.change);
        matches!(
            last,
            Some(KvStateChange::HeldAt(_) | KvStateChange::MayBeHeldAt(_))
        )
    }

    fn is_late(&self) -> bool {
        self.first_token_s
            .is_some_and(|s| s > self.latency_objective_s)
    }

    /// Whether any attempt ended in something other than a served response or a completed prefill.
    fn was_retried(&self) -> bool {
        let all_succeeded = self.attempts.iter().all(AttemptRecord::has_succeeded);
        !all_succeeded || self.attempts_made > self.attempts.len()
    }

    /// Formats the line of a request that ends at `now_s`.
    pub(super) fn line(&self, now_s: f64) -> String {
        let took_s = now_s - self.arrived_s;
        let head = self.head(took_s);
        let attempts: String = self.attempts.iter().map(AttemptRecord::to_string).collect();
        let states: String = self.states.iter().map(KvStateEvent::to_string).collect();
        format!("{head}{attempts}{states}")
    }

    fn head(&self, took_s: f64) -> String {
        let response = self.response.map_or_else(String::new, |r| r.to_string());
        let late = if self.is_late() { " late" } else { "" };
        let request = &self.request;
        let mut head = format!(
            "{} {response}{late} class {} prompt {} of which shared {} aim {:.3} took {took_s:.3}",
            self.id,
            request.class,
            request.prompt_tokens,
            request.prefix_tokens,
            self.latency_objective_s,
        );
        if let Some(first) = self.first_token_s {
            head += &format!(" first token {first:.3}");
        }
        if let Some(cause) = self.ended_by.cause {
            head += &format!(" because {}", cause_text(cause));
        }
        if let Some(explanation) = self.ended_by.explanation {
            head += &format!(" refused at {explanation}");
        }
        head
    }
}

impl fmt::Display for AttemptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "; {:.3} to {}", self.at_s, self.server)?;
        if let Some(explanation) = self.explanation {
            write!(f, " reckoned {explanation}")?;
        }
        let Some(result) = self.result else {
            return Ok(());
        };
        write!(
            f,
            " {} after {:.3} found {}",
            outcome_text(result.outcome),
            result.elapsed_s,
            result.prefix_hit_tokens
        )
    }
}

impl fmt::Display for KvStateEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "; {:.3} state {}", self.at_s, self.change)
    }
}

/// Returns the word for an outcome in a log line. Operators search for these words, so they stay even if the enum is
/// renamed.
fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "Served",
        Outcome::PrefillDone => "ReadDone",
        Outcome::Error => "Error",
        Outcome::Rejected {
            state_missing: true,
        } => "Full { state_gone: true }",
        Outcome::Rejected {
            state_missing: false,
        } => "Full { state_gone: false }",
        Outcome::TimedOut => "TimedOut",
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::Reset => "Reset",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "NotSent",
    }
}

/// Returns the word for a cause in a log line.
fn cause_text(cause: Cause) -> &'static str {
    match cause {
        Cause::NoPrefillServer => "NoPrefillServer",
        Cause::NoEndpointList => "NoEndpointList",
        Cause::NoDecodeServer => "NoDecodeServer",
        Cause::ExpectedLate => "ExpectedLate",
        Cause::NoRetryLeft => "NoRetryLeft",
        Cause::MayHaveRun => "MayHaveRun",
        Cause::StateExpired => "StateExpired",
        Cause::Deadline => "Deadline",
        Cause::NotSent => "NotSent",
        Cause::Forbidden => "Forbidden",
    }
}
