//! Whether an attempt may have had an effect, and which retries and answers are still safe.

use super::request_state::{PossibleExecution, RequestState, Stage};
use super::server::Server;
use crate::interface::{Effect, KeyScope, Outcome, Role, ServerEntry, Settings};

/// Seconds until a request that was written to a connection reaches its server: a few one-way
/// trips, or one scheduling delay of a busy process.
const REQUEST_DELIVERY_S: f64 = 0.02;
/// Lowest fraction of a deduplication window that retries leave unused, because servers start the
/// window at a different time than the router.
const RETRY_WINDOW_MARGIN_FRACTION: f64 = 0.1;

/// Whether an ended attempt may have had an effect. `NeverRan` includes prefills that have ended,
/// since a prefill alone has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    NeverRan,
    MayHaveRun,
}

/// Rules for safe retries, taken from the settings.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetrySafety {
    connect_timeout_s: f64,
    lost_prefill_may_have_run: bool,
}

impl RetrySafety {
    /// Creates the rules from these settings.
    pub fn new(settings: &Settings) -> Self {
        RetrySafety {
            connect_timeout_s: settings.limits.connect_timeout_s,
            lost_prefill_may_have_run: settings.lost_prefill_may_have_run,
        }
    }

    /// Decides whether an ended attempt may have had an effect; no other code decides this. The
    /// outcome shows whether the request's last byte was written. A completed prefill has no
    /// effect, but only an answer shows that it completed: after a lost connection or a
    /// cancellation it may still run, or its answer may have been lost.
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

    /// Returns whether an attempt at this server may be followed by another only if it is known not
    /// to have run.
    pub fn is_at_most_once(self, effect: Effect, server: &Server) -> bool {
        let may_execute = server.role != Role::Prefill || self.lost_prefill_may_have_run;
        may_execute && effect == Effect::NonIdempotent
    }

    /// Returns whether a retry may be sent to `next` after an attempt that may have run. `first` is
    /// the list entry of that attempt's server, or `None` if the server is no longer listed.
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

    /// Seconds until a retry that is sent now reaches its server, which may include establishing a
    /// connection.
    fn retry_arrival_s(self, window_s: f64) -> f64 {
        (self.connect_timeout_s + REQUEST_DELIVERY_S).max(RETRY_WINDOW_MARGIN_FRACTION * window_s)
    }

    /// Returns whether the client may be told that retrying the request is harmless.
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
