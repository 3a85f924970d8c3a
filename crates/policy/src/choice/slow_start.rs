//! Slow start: what a server that warms up may be sent.

use super::EWMA_WEIGHT;
use crate::interface::{Role, SlowStart};

/// Share of the overload factor that is used on what a server likely has.
const OVERLOAD_BUDGET_FRACTION: f64 = 0.8;
/// Growth of what a server likely has, by what it is sent until it is warm.
const WARM_UP_GROWTH: f64 = 1.3;
/// Part of a prefill server for the keys of which it is a prefix replica.
const REPLICA_TRAFFIC_FRACTION: f64 = 0.6;
/// What a choice leaves of the peak of responses, for servers back from an outage.
const PEAK_RETAINED_PER_CHOICE: f64 = 0.9;
/// Responses for each choice before any is seen, as if twice too much were asked.
const INITIAL_RESPONSES_PER_CHOICE: f64 = 0.5;
/// Shortest warm-up that is reckoned with, seconds.
const MIN_WARM_UP_S: f64 = 0.1;
/// Least share of capacity that a server is taken to have.
const MIN_CAPACITY: f64 = 0.05;

/// Responses seen at servers of a role, by choice.
#[derive(Clone, Copy, Debug)]
struct ResponseRate {
    recent: f64,
    peak: f64,
}

impl ResponseRate {
    fn record_choice(&mut self) {
        let recent = self.recent * (1.0 - EWMA_WEIGHT);
        self.peak = (self.peak * PEAK_RETAINED_PER_CHOICE).max(recent);
        self.recent = recent;
    }
}

/// The servers of one role that answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoleCapacity {
    /// How many there are.
    pub live_servers: f64,
    /// How many warm ones could do as much.
    pub warm_equivalents: f64,
}

/// A request's turn at a server that warms up.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartInput {
    pub role: Role,
    /// When the server's start became known.
    pub start_learned_at: f64,
    pub role_capacity: RoleCapacity,
    /// Prefix replicas that a key has.
    pub replicas_per_key: usize,
    /// Share of the latest requests by the same key.
    pub recent_key_fraction: f64,
    /// The server is a prefix replica of the request's key.
    pub is_replica: bool,
    /// The request's draw for this server, from 0 to 1.
    pub draw: f64,
}

/// Keeps the sum that all routers send a server which warms up within what it bears.
#[derive(Debug)]
pub(super) struct SlowStartLimiter {
    settings: SlowStart,
    /// By role.
    responses: [ResponseRate; 3],
}

impl SlowStartLimiter {
    /// No response has been seen.
    pub fn new(settings: SlowStart) -> Self {
        let initial = INITIAL_RESPONSES_PER_CHOICE / EWMA_WEIGHT;
        let rate = ResponseRate {
            recent: initial,
            peak: initial,
        };
        SlowStartLimiter {
            settings,
            responses: [rate; 3],
        }
    }

    /// Share of its capacity that a server likely has: a straight line from its start to the warm
    /// time.
    pub fn capacity(&self, booted_at: f64, now: f64) -> f64 {
        let settings = &self.settings;
        if booted_at <= 0.0 || now >= booted_at + settings.warm_after_s {
            return 1.0;
        }
        let age = (now - booted_at).max(0.0) / settings.warm_after_s.max(MIN_WARM_UP_S);
        let capacity = settings.start_capacity + (1.0 - settings.start_capacity) * age;
        capacity.clamp(MIN_CAPACITY, 1.0)
    }

    /// Counts a choice among a role's servers and mixed ones.
    pub fn record_choice(&mut self, role: Role) {
        for role in [role, Role::Mixed] {
            self.responses[role as usize].record_choice();
        }
    }

    /// Counts a response of a server of this role.
    pub fn record_response(&mut self, role: Role) {
        self.responses[role as usize].recent += 1.0;
    }

    /// Whether it is this request's turn at a server that warms up: by chance, so that the sum over
    /// all routers keeps the overload factor. The server gets an even part of what its like are
    /// seen to answer, and of what is asked at most; a prefill server mostly for its keys, as often
    /// as they come. What it is sent warms it, so that more may follow.
    pub fn admits(&self, input: SlowStartInput, now: f64) -> bool {
        let settings = &self.settings;
        let (live_servers, warm_equivalents) = (
            input.role_capacity.live_servers,
            input.role_capacity.warm_equivalents,
        );
        let warm_after_s = settings.warm_after_s.max(MIN_WARM_UP_S);
        let age = ((now - input.start_learned_at) / warm_after_s).clamp(0.0, 1.0);
        let likely_capacity = (settings.start_capacity * (WARM_UP_GROWTH * age).exp()).min(1.0);
        let responses =
            self.responses[input.role as usize].peak * EWMA_WEIGHT / (1.0 - EWMA_WEIGHT);
        let even_fraction = (responses / warm_equivalents).min(1.0 / live_servers);
        let key_rate = input.recent_key_fraction + input.replicas_per_key as f64 / live_servers;
        let key_factor = if input.is_replica {
            REPLICA_TRAFFIC_FRACTION / key_rate
        } else {
            1.0 - REPLICA_TRAFFIC_FRACTION
        };
        let server_fraction = even_fraction
            * if input.role == Role::Prefill {
                key_factor
            } else {
                1.0
            };
        input.draw
            < OVERLOAD_BUDGET_FRACTION
                * settings.overload_factor
                * likely_capacity
                * server_fraction
    }
}

#[cfg(test)]
#[path = "../part_tests/slow_start.rs"]
mod tests;
