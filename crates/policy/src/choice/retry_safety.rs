//! Whether an attempt may have had an effect, and what that leaves to be sent or said.

use super::request_state::{PossibleExecution, RequestState, Stage};
use super::server::Server;
use crate::interface::{Effect, KeyScope, Outcome, Role, ServerEntry, Settings};

/// Seconds that a written request may take to its server: a few ways there, or one turn of a busy
/// process.
const REQUEST_DELIVERY_S: f64 = 0.02;
/// Share of a deduplication window that is left unused at the least, as servers count from another
/// moment.
const RETRY_WINDOW_MARGIN_FRACTION: f64 = 0.1;

/// Whether an attempt that has ended may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    NeverRan,
    MayHaveRun,
}

/// The rules on retries that the settings give.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetrySafety {
    connect_timeout_s: f64,
    lost_prefill_may_have_run: bool,
}

impl RetrySafety {
    /// The rules of these settings.
    pub fn new(settings: &Settings) -> Self {
        RetrySafety {
            connect_timeout_s: settings.limits.connect_timeout_s,
            lost_prefill_may_have_run: settings.lost_prefill_may_have_run,
        }
    }

    /// The one place that says whether an attempt may have had an effect, by its outcome, which
    /// tells whether the request's last byte was written, and by its server. A prefill has none
    /// once it has ended, which only an answer shows: one that was given up or broke may go on, or
    /// its answer may have been lost.
    pub fn execution(self, outcome: Outcome, at_prefill: bool) -> Execution {
        match outcome {
            Outcome::PrefillDone
            | Outcome::Rejected { .. }
            | Outcome::ConnectFailed
            | Outcome::NotSent => Execution::NeverRan,
            Outcome::Error if at_prefill => Execution::NeverRan,
            _ if at_prefill && !self.lost_prefill_may_have_run => Execution::NeverRan,
            _ => Execution::MayHaveRun,
        }
    }

    /// Whether an attempt there may not be followed by another unless it is known not to have run.
    pub fn is_at_most_once(self, effect: Effect, server: &Server) -> bool {
        let may_execute = server.role != Role::Prefill || self.lost_prefill_may_have_run;
        may_execute && effect == Effect::NonIdempotent
    }

    /// Whether another attempt may be sent to a server after one that may have run at `first`, an
    /// entry that is missing where its server is gone.
    pub fn allows_retry(
        self,
        effect: Effect,
        execution: PossibleExecution,
        first: Option<&ServerEntry>,
        next: &ServerEntry,
        now: f64,
    ) -> bool {
        match effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotencyKey { scope, window_s } => {
                let in_scope =
                    scope == KeyScope::All || first.is_some_and(|f| is_same_scope(scope, f, next));
                in_scope && now - execution.sent_at + self.retry_arrival_s(window_s) < window_s
            }
        }
    }

    /// Seconds until a retry that is sent now has arrived: a connection may have to come up for it
    /// first.
    fn retry_arrival_s(self, window_s: f64) -> f64 {
        (self.connect_timeout_s + REQUEST_DELIVERY_S).max(RETRY_WINDOW_MARGIN_FRACTION * window_s)
    }

    /// Whether a client may be told that a retry is harmless.
    pub fn may_reject(self, effect: Effect, state: &RequestState) -> bool {
        let any_server = matches!(
            effect,
            Effect::Idempotent
                | Effect::IdempotencyKey {
                    scope: KeyScope::All,
                    ..
                }
        );
        any_server || state.may_have_run.is_none() && state.stage != Stage::InFlight
    }
}

fn is_same_scope(scope: KeyScope, a: &ServerEntry, b: &ServerEntry) -> bool {
    match scope {
        KeyScope::Zone => a.zone == b.zone,
        KeyScope::All | KeyScope::Cell => a.cell == b.cell,
    }
}

#[cfg(test)]
#[path = "../part_tests/retry_safety.rs"]
mod tests;
