//! The state of one request from its arrival to the end of its last attempt.

use super::held_states::KvHolds;
use super::server::MemoryUse;
use crate::interface::{ExpectedTokens, Request, ServerId};

use super::decay::non_negative;

/// Share of the output limit that an answer holds of memory in the mean of its run.
const MEAN_OUTPUT_MEMORY_FRACTION: f64 = 0.2;

/// Where a request is in its course.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Stage {
    /// An attempt is sent and has neither ended nor begun to stream.
    InFlight,
    /// A KV state waits at a prefill server and no attempt is in flight.
    AwaitingDecode,
    /// Probes are in flight for the choice of a prefill server.
    Probing {
        /// Clock time at which they are waited for no longer.
        until: f64,
    },
    /// The first token has come.
    Streaming,
    /// A choice is due.
    #[default]
    Idle,
}

/// An attempt that may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PossibleExecution {
    pub server: ServerId,
    pub sent_at: f64,
}

/// A request that has not ended. Times are seconds of the clock.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    pub request: Request,
    /// The key by which it has prefix replicas.
    pub placement_key: u64,
    /// Share of the latest requests by the same key.
    pub recent_key_fraction: f64,
    pub memory: MemoryUse,
    pub deadline: f64,
    pub stage: Stage,
    pub attempts: u32,
    /// Server of the attempt that is in flight or streams.
    pub server: ServerId,
    /// When that attempt was sent.
    pub sent_at: f64,
    pub kv_holds: KvHolds,
    /// Seconds in the queue, as estimated when it was sent to be prefilled.
    pub expected_queue_s: f64,
    /// The same of the prefill.
    pub expected_prefill_s: f64,
    /// Servers whose probes it waits for.
    pub pending_probes: Vec<ServerId>,
    /// The first attempt that may have had an effect.
    pub may_have_run: Option<PossibleExecution>,
    /// The final answer is given; only an outcome is waited for.
    pub answered: bool,
    /// Seconds from the last attempt's sending to its first token.
    pub attempt_ttft_s: f64,
    /// Longest time to the first token at which it is taken, seconds.
    pub max_ttft_s: f64,
    /// When its first token was expected, at admission.
    pub first_token_due_at: f64,
}

impl RequestState {
    /// How late its first token is against expectation, seconds.
    pub fn lateness_s(&self, now: f64) -> f64 {
        (now - self.first_token_due_at).max(0.0)
    }

    /// It waits for the answers of its probes.
    pub fn is_probing(&self) -> bool {
        matches!(self.stage, Stage::Probing { .. })
    }

    /// Its first token is owed by an attempt, or by the next one after a prefill.
    pub fn awaits_first_token(&self) -> bool {
        !self.answered && matches!(self.stage, Stage::InFlight | Stage::AwaitingDecode)
    }
}

/// The key by which a request has prefix replicas: its prefix, else its session.
pub(super) fn placement_key(request: &Request) -> u64 {
    if request.prefix != 0 {
        request.prefix
    } else {
        request.session
    }
}

/// Memory that a request holds at a decode server.
pub(super) fn memory_use(request: &Request) -> MemoryUse {
    let output = match request.output_tokens {
        Some(expected) => expected_output_memory(expected),
        None => MemoryUse {
            mean: MEAN_OUTPUT_MEMORY_FRACTION * request.max_output_tokens,
            growth: 0.0,
        },
    };
    MemoryUse {
        mean: request.prompt_tokens + output.mean,
        growth: output.growth,
    }
}

fn expected_output_memory(expected: ExpectedTokens) -> MemoryUse {
    let mean = 0.5 * non_negative(expected.mean);
    MemoryUse {
        mean,
        growth: non_negative(expected.p90 - mean),
    }
}

/// Replaces values out of range, as the wire may bring them.
pub(super) fn sanitize(request: &mut Request, classes: usize) {
    request.class = request.class.min(classes.saturating_sub(1) as u16);
    request.prompt_tokens = non_negative(request.prompt_tokens).max(1.0);
    request.prefix_tokens = non_negative(request.prefix_tokens).min(request.prompt_tokens);
    request.max_output_tokens = non_negative(request.max_output_tokens).max(1.0);
}
