//! What a cold server may be sent.

use super::*;

const OVERLOAD_BUDGET_FRACTION: f64 = 0.8; // Share of the fall-over multiple used on what a cold server likely has.
const WARM_UP_GROWTH: f64 = 1.3; // Growth of what a cold server likely has, by what it is sent until it is warm.
const REPLICA_KEYS_FRACTION: f64 = 0.6; // Part of a cold reader for the keys of which it is a home.
const RESPONSES_KEPT: f64 = 0.9; // What a choice leaves of the most answers, for servers back from an outage.

impl Router {
    /// Share of its capacity that a server likely has: a straight line from the told start to the warm time.
    pub(super) fn capacity(&self, server: &Server, now: f64) -> f64 {
        let cold = &self.settings.slow_start;
        if server.entry.booted_at <= 0.0 || now >= server.entry.booted_at + cold.warm_after_s {
            return 1.0;
        }
        let age = (now - server.entry.booted_at).max(0.0) / cold.warm_after_s.max(0.1);
        (cold.start_capacity + (1.0 - cold.start_capacity) * age).clamp(0.05, 1.0)
    }

    /// Counts a choice among a role's servers and mixed ones.
    pub(super) fn count_choice(&mut self, role: Role) {
        for role in [role, Role::Mixed] {
            let (fresh, kv_state) = &mut self.response_rates[role as usize];
            (*fresh, *kv_state) = (
                *fresh * (1.0 - NEWEST_WEIGHT),
                (*kv_state * RESPONSES_KEPT).max(*fresh * (1.0 - NEWEST_WEIGHT)),
            );
        }
    }

    /// Whether it is this request's turn at a cold server: by chance, so that the sum over all routers keeps
    /// the told multiple. An even part of what its like are seen to answer, and of what is asked at most; for
    /// its keys mostly, at a reader, as often as they come. What it is sent warms it: more may follow.
    pub(super) fn slow_start_admits(
        &self,
        server: &Server,
        state: &RequestState,
        context: &DecisionContext,
        replica: bool,
        now: f64,
    ) -> bool {
        if self.capacity(server, now) >= 1.0 {
            return true;
        }
        let (cold, (ready, able)) = (
            &self.settings.slow_start,
            context.ready[server.role as usize],
        );
        let age = ((now - server.start_known_at) / cold.warm_after_s.max(0.1)).clamp(0.0, 1.0);
        let likely = (cold.start_capacity * (WARM_UP_GROWTH * age).exp()).min(1.0);
        let response_rates =
            self.response_rates[server.role as usize].1 * NEWEST_WEIGHT / (1.0 - NEWEST_WEIGHT);
        let even = (response_rates / able).min(1.0 / ready);
        let often = state.key_share + context.prefix_replicas as f64 / ready;
        let keys = if replica {
            REPLICA_KEYS_FRACTION / often
        } else {
            1.0 - REPLICA_KEYS_FRACTION
        };
        let quota_fraction = even
            * if server.role == Role::Prefill {
                keys
            } else {
                1.0
            };
        self.draw(state, server)
            < OVERLOAD_BUDGET_FRACTION * cold.overload_factor * likely * quota_fraction
    }
}
