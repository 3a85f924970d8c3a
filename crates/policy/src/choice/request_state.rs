//! State of one request from its arrival to the end of its last attempt.

use super::held_states::KvHolds;
use super::server::MemoryUse;
use crate::interface::{ExpectedTokens, Request, ServerId};

use super::decay::non_negative;

/// Mean memory of an answer over its run, as a fraction of its output limit, when its length is not
/// predicted.
const MEAN_OUTPUT_MEMORY_FRACTION: f64 = 0.2;

/// Stage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Stage {
    /// An attempt was sent and has neither ended nor delivered its first token.
    InFlight,
    /// A KV state waits at a prefill server and no attempt is in flight.
    AwaitingDecode,
    /// The request waits for the first endpoint list.
    AwaitingEndpointList {
        /// Clock time, in seconds, at which the request arrived.
        since: f64,
        /// Clock time, in seconds, at which the wait ends.
        until: f64,
    },
    /// The request waits for load probes before its prefill server is chosen.
    Probing {
        /// Clock time, in seconds, at which the wait for probes ends.
        until: f64,
    },
    /// The first token has arrived and the answer is streaming.
    Streaming,
    /// A prefill server must be chosen: no attempt is in flight and no KV state is known to be
    /// held.
    #[default]
    Idle,
}

/// An attempt that may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PossibleExecution {
    pub server: ServerId,
    pub sent_at: f64,
}

/// State of a request that has not ended. Times are clock times in seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    pub request: Request,
    /// Key that determines the request's prefix replicas, which are the servers where its prefix is
    /// preferably prefilled and cached.
    pub placement_key: u64,
    /// Fraction, from 0 to 1, of the latest requests at this router that had the same placement
    /// key.
    pub recent_key_fraction: f64,
    pub memory: MemoryUse,
    pub deadline: f64,
    pub stage: Stage,
    pub attempts: u32,
    /// Server of the request's latest attempt.
    pub server: ServerId,
    /// Time at which the latest attempt was sent.
    pub sent_at: f64,
    /// Time until which the server of the latest attempt was told that the router will wait.
    pub told_until: f64,
    pub kv_holds: KvHolds,
    /// Queueing time, in seconds, estimated when the request was sent for prefill.
    pub expected_queue_s: f64,
    /// Prefill time, in seconds, estimated when the request was sent for prefill.
    pub expected_prefill_s: f64,
    /// Servers whose probes the request is waiting for.
    pub pending_probes: Vec<ServerId>,
    /// Warming servers that slow start lets the request use.
    pub slow_start_turns: Vec<ServerId>,
    /// The first attempt that may have had an effect, if any.
    pub may_have_run: Option<PossibleExecution>,
    /// The final answer has been given; the state is kept until the last attempt ends.
    pub answered: bool,
    /// Seconds from sending the latest attempt to its first token.
    pub attempt_ttft_s: f64,
    /// Longest estimated time to first token, in seconds, at which the request is admitted.
    pub max_ttft_s: f64,
    /// Time at which the first token was expected when the request was admitted.
    pub first_token_due_at: f64,
}

impl RequestState {
    /// Seconds by which the first token is later than expected; 0 if it is not late.
    pub fn lateness_s(&self, now: f64) -> f64 {
        (now - self.first_token_due_at).max(0.0)
    }

    /// Returns whether the request is waiting for load probes.
    pub fn is_probing(&self) -> bool {
        matches!(self.stage, Stage::Probing { .. })
    }

    /// Returns whether the request waits for a first token: an attempt is in flight, or a KV state
    /// waits for a decode server.
    pub fn awaits_first_token(&self) -> bool {
        !self.answered && matches!(self.stage, Stage::InFlight | Stage::AwaitingDecode)
    }
}

/// Key that determines a request's prefix replicas: its prefix, or its session if it has no prefix.
pub(super) fn placement_key(request: &Request) -> u64 {
    if request.prefix != 0 {
        request.prefix
    } else {
        request.session
    }
}

/// Estimates the memory, in tokens, that a request holds at a decode server.
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

/// Replaces values that are out of range, since requests come from the network unchecked.
pub(super) fn sanitize(request: &mut Request, classes: usize) {
    request.class = request.class.min(classes.saturating_sub(1) as u16);
    request.prompt_tokens = non_negative(request.prompt_tokens).max(1.0);
    request.prefix_tokens = non_negative(request.prefix_tokens).min(request.prompt_tokens);
    request.max_output_tokens = non_negative(request.max_output_tokens).max(1.0);
}
