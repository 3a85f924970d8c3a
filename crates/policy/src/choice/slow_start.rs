//! Slow start: limits the work that is sent to a warming server. Prefix replicas and placement keys
//! are defined in `prefill_choice`.

use super::slow_start_account::{Grant, SlowStartAccount};
use super::EWMA_WEIGHT;
use crate::interface::{Role, SlowStart, SlowStartStatus};

/// Fraction of [`SlowStart::overload_factor`] up to which slow start loads a warming server; the
/// rest is a safety margin.
const OVERLOAD_BUDGET_FRACTION: f64 = 0.8;
/// Fraction of a warming prefill server's requests that have a placement key of which it is a
/// prefix replica.
const REPLICA_TRAFFIC_FRACTION: f64 = 0.6;
/// Fraction of the peak response count of a role's servers that remains each time one of them is
/// chosen. The peak decays slowly for the sake of servers that return from an outage.
const PEAK_RETAINED_PER_CHOICE: f64 = 0.9;
/// Responses per choice assumed before any response arrives, as if demand were twice the capacity.
const INITIAL_RESPONSES_PER_CHOICE: f64 = 0.5;
/// Lower bound of the warm-up time, in seconds.
const MIN_WARM_UP_S: f64 = 0.1;
/// Lower bound of the capacity fraction assumed for a server.
const MIN_CAPACITY: f64 = 0.05;

/// Decaying count of the responses from servers of one role, and the peak of that count. Both decay
/// each time a server of the role is chosen.
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

/// Capacity of the live servers of one role.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoleCapacity {
    /// Number of live servers of the role.
    pub live_servers: f64,
    /// Number of warm servers with the same total capacity.
    pub warm_equivalents: f64,
}

/// Inputs to the slow-start decision for one request and one warming server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartInput {
    pub role: Role,
    pub role_capacity: RoleCapacity,
    /// Number of prefix replicas of each placement key.
    pub replicas_per_key: usize,
    /// Fraction, from 0 to 1, of the latest requests that had the request's placement key.
    pub recent_key_fraction: f64,
    /// The server is a prefix replica of the request's placement key.
    pub is_replica: bool,
    /// Cost of the request in the server's account, in requests of mean work.
    pub cost: f64,
    /// Usual rate, per second, at which requests arrive at this router.
    pub arrivals_per_s: f64,
    /// Speed of the server as a multiple of the mean of its role.
    pub speed: f64,
    /// Requests per second that a mean warm server of the role answers for this router, if known.
    pub answers_per_s: Option<f64>,
    /// Pseudo-random number from 0 to 1 for this router and process of the server.
    pub first_turn: f64,
}

/// Keeps the total load that all routers send to a warming server within what it can handle.
#[derive(Debug)]
pub(super) struct SlowStartLimiter {
    settings: SlowStart,
    /// Response rates indexed by [`Role`].
    responses: [ResponseRate; 3],
}

impl SlowStartLimiter {
    /// Creates a limiter that has seen no responses.
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

    /// Fraction of its full capacity that a server is estimated to have, which grows linearly from
    /// the start of the server's process to the end of the warm-up.
    pub fn capacity(&self, booted_at: f64, now: f64) -> f64 {
        let settings = &self.settings;
        if booted_at <= 0.0 || now >= booted_at + settings.warm_after_s {
            return 1.0;
        }
        let age = (now - booted_at).max(0.0) / settings.warm_after_s.max(MIN_WARM_UP_S);
        let capacity = settings.start_capacity + (1.0 - settings.start_capacity) * age;
        capacity.clamp(MIN_CAPACITY, 1.0)
    }

    /// Fraction of its full capacity that a server is assumed to have. Requests warm the server, so
    /// it grows with what the server receives, and no faster than with the time since this router
    /// learned of the server's start.
    pub fn assumed_capacity(
        &self,
        account: &SlowStartAccount,
        start_learned_at: f64,
        now: f64,
    ) -> f64 {
        let settings = &self.settings;
        let age = (now - start_learned_at) / settings.warm_after_s.max(MIN_WARM_UP_S);
        let progress = account.progress().min(age.clamp(0.0, 1.0));
        settings.start_capacity + (1.0 - settings.start_capacity) * progress
    }

    /// Returns what slow start assumes of a server, for logs.
    pub fn status(
        &self,
        account: &SlowStartAccount,
        start_learned_at: f64,
        now: f64,
    ) -> SlowStartStatus {
        SlowStartStatus {
            assumed_capacity: self.assumed_capacity(account, start_learned_at, now),
            granted_work: account.granted(),
            sent_work: account.sent(),
            ..SlowStartStatus::default()
        }
    }

    /// Work that a server may receive in one window, if it answers `own_per_s` requests per second
    /// when it is warm.
    pub fn window_budget(&self, status: &SlowStartStatus, own_per_s: f64) -> f64 {
        let load = OVERLOAD_BUDGET_FRACTION * self.settings.overload_factor;
        load * status.assumed_capacity * own_per_s * self.settings.window_s
    }

    /// Counts a choice of a server of this role. Mixed servers are counted too, since they may
    /// serve any role.
    pub fn record_choice(&mut self, role: Role) {
        for role in [role, Role::Mixed] {
            self.responses[role as usize].record_choice();
        }
    }

    /// Counts a response from a server of this role.
    pub fn record_response(&mut self, role: Role) {
        self.responses[role as usize].recent += 1.0;
    }

    /// Counts a request that has arrived in the account of a warming server and returns whether the
    /// request gets a turn there, so that the total over all routers stays within the overload
    /// factor. The server gets an even fraction of the responses that all servers of its role are
    /// seen to give, and at most an even fraction of the demand on the role. Neither rises above
    /// what a server of its speed answers when it is warm, however many others of the role are
    /// away. A prefill server gets
    /// mostly requests for placement keys of which it is a prefix replica; the more often such
    /// requests come, the smaller the fraction of them that gets a turn. A request of more than
    /// mean work gets a turn so much more rarely.
    pub fn grant_turn(
        &self,
        account: &mut SlowStartAccount,
        input: SlowStartInput,
        start_learned_at: f64,
        now: f64,
    ) -> bool {
        let settings = &self.settings;
        let (live_servers, warm_equivalents) = (
            input.role_capacity.live_servers,
            input.role_capacity.warm_equivalents,
        );
        let capacity = self.assumed_capacity(account, start_learned_at, now);
        let responses =
            self.responses[input.role as usize].peak * EWMA_WEIGHT / (1.0 - EWMA_WEIGHT);
        let even_fraction = (responses / warm_equivalents).min(1.0 / live_servers);
        let key_rate = input.recent_key_fraction + input.replicas_per_key as f64 / live_servers;
        let key_factor = match input.role {
            Role::Prefill if input.is_replica => REPLICA_TRAFFIC_FRACTION / key_rate,
            Role::Prefill => 1.0 - REPLICA_TRAFFIC_FRACTION,
            Role::Decode | Role::Mixed => 1.0,
        };
        let load = OVERLOAD_BUDGET_FRACTION * settings.overload_factor * capacity * input.speed;
        let by_share = load * even_fraction;
        let work = match input.answers_per_s {
            Some(answers_per_s) => account.earn(load * answers_per_s, by_share, now),
            None => by_share,
        };
        let warm_up_s = settings.warm_after_s.max(MIN_WARM_UP_S);
        let progress = match input.answers_per_s {
            Some(answers_per_s) => work / (answers_per_s * input.speed * warm_up_s),
            None => load / (input.arrivals_per_s * warm_up_s).max(1.0),
        };
        account.grant(Grant {
            turn_probability: work * key_factor / input.cost,
            work,
            progress,
            first_turn: input.first_turn,
        })
    }
}

#[cfg(test)]
#[path = "../part_tests/slow_start.rs"]
mod tests;
