//! Choice of the prefill server by the estimated time to first token and by where the prompt's
//! prefix is likely to be cached.
//!
//! A request's placement key is its prompt prefix or, without a shared prefix, its session. The
//! prefix replicas of a placement key are the few prefill and mixed servers that rendezvous hashing
//! assigns to the key. Requests with the key are preferably prefilled there, so that the other
//! servers need not prefill and cache the same prefix.

use super::load::DECODE_WAIT_PER_UTILIZATION_S;
use super::prefix_cache::CachedPrompt;
use super::replica_ranking::{RankedReplica, ReplicaRanking};
use super::request_state::RequestState;
use super::selection::{DecisionContext, Selector, CROSS_CELL_COST, TIE_BREAK_COST};
use super::server::Server;
use crate::interface::{Effect, Role, ServerId};

/// Fraction of the prompt beyond the shared prefix that the first prefix replica is assumed to have
/// cached from earlier turns of the session, if those were sent by other dispatchers.
const SESSION_CACHED_FRACTION: f64 = 0.6;
/// Up to this many dispatchers, each is assumed to know the sessions that it has served, so nothing
/// is assumed cached from turns sent by others.
const FEW_DISPATCHERS: f64 = 4.0;
/// Lowest fraction of a prompt that a prefix replica is assumed to have cached.
const MIN_CACHED_FRACTION: f64 = 0.1;
/// Delay that a prefill causes to requests that arrive at the server later, as a multiple of the
/// prefill's own time. Prefills that spill over to servers without a cached prefix take longer and
/// prolong congestion.
const CONGESTION_WEIGHT: f64 = 1.0;
/// Seconds by which a prefill at a decode server must be faster than elsewhere to be chosen,
/// because the prefill slows the answers running there.
const DECODE_SERVER_PREFILL_PENALTY_S: f64 = 1.0;
/// Rank, after the prefix replicas, of a server that is not a prefix replica of the request's
/// placement key; each rank costs one [`TIE_BREAK_COST`].
const NON_REPLICA_RANK: f64 = 2.0;

/// Estimated times, in seconds, behind the choice of a prefill server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillEstimate {
    pub server: ServerId,
    pub queue_s: f64,
    pub prefill_s: f64,
    /// Estimated time to first token, in seconds, including the wait at a decode server and the
    /// risk of failure.
    pub ttft_s: f64,
    /// Estimated time to first token plus costs to other requests, in seconds. The server with the
    /// lowest value is chosen.
    cost_s: f64,
}

impl Selector<'_> {
    /// Returns the estimate with the lowest cost among the servers that may prefill the request.
    pub fn best_prefill_server(&self, state: &RequestState, now: f64) -> Option<PrefillEstimate> {
        let context = self.context_with_decode_waits(state, now);
        let replicas = self.prefix_replicas(state, &context, now);
        let cached = self.prefix_cache_index.lookup(&state.request);
        let include_decode_servers =
            self.settings.decode_servers_prefill && self.effect(state) != Effect::NonIdempotent;
        let cheapest = |slow_start_admits: &dyn Fn(&Server) -> bool| {
            let may_prefill = |server: &&Server| {
                (include_decode_servers || server.role != Role::Decode)
                    && self.is_usable(server, state, now)
                    && slow_start_admits(server)
            };
            self.servers
                .iter()
                .filter(may_prefill)
                .map(|server| {
                    let rank = replicas.iter().position(|id| *id == server.entry.id);
                    self.estimate(server, state, rank, &cached, &context, now)
                })
                .min_by(|a, b| a.cost_s.total_cmp(&b.cost_s))
        };
        cheapest(&|server| self.slow_start_admits(server, state, now))
            .or_else(|| cheapest(&|server| self.slow_start_admits_as_last_resort(server)))
    }

    /// Returns the decision context, including the shortest waits at decode servers that may take
    /// the request.
    fn context_with_decode_waits(&self, state: &RequestState, now: f64) -> DecisionContext {
        let mut context = self.context(now);
        for server in self.servers.iter() {
            // Slow start may keep this request off an idle, warming decode server; such a server's
            // short wait is of no use to the request.
            let is_candidate = server.role == Role::Decode
                && self.is_usable(server, state, now)
                && self.slow_start_admits(server, state, now);
            if !is_candidate {
                continue;
            }
            let wait_s = self.decode_wait_s(server, now)
                + self.eviction_cost_s(server, state, now)
                + server.overdue_s(now)
                + server.health.excess_delay_s(now);
            let cell = context.cells.entry(server.entry.cell).or_default();
            for min_wait_s in [&mut context.min_wait_s, &mut cell.min_wait_s] {
                *min_wait_s = Some(min_wait_s.map_or(wait_s, |least| least.min(wait_s)));
            }
        }
        context
    }

    fn estimate(
        &self,
        server: &Server,
        state: &RequestState,
        replica_rank: Option<usize>,
        cached: &CachedPrompt<'_>,
        context: &DecisionContext,
        now: f64,
    ) -> PrefillEstimate {
        let capacity = self.capacity(server, now);
        let total_tokens = state.request.prompt_tokens;
        let cached_tokens = self.cached_tokens(server, state, replica_rank, cached, capacity);
        let uncached_tokens = total_tokens - cached_tokens;
        let prefill_s = self.load.prefill_s(server, uncached_tokens, total_tokens) / capacity;
        let own_queue_s = server
            .in_flight
            .values()
            .map(|attempt| attempt.queued_prefill_s)
            .sum::<f64>();
        let others_queue_s = self.load.other_dispatchers_queue_s(server, capacity, now);
        let queue_s = own_queue_s + others_queue_s + server.overdue_s(now);
        let decode_s = self.expected_decode_wait_s(server, context, now);
        let ttft_s = queue_s + prefill_s + decode_s + self.failure_risk_s(server, state, now);
        // A slow prefill at a warming server delays other requests no more than a fast one at a
        // warm server, because slow start admits few requests behind it.
        let queued_behind = self
            .load
            .mean_load_of_kind(server, capacity, now)
            .other_requests;
        let congestion_s = (CONGESTION_WEIGHT + queued_behind) * prefill_s * capacity;
        let cost_s = ttft_s
            + congestion_s
            + self.zone_cost_s(server)
            + self.decode_impact_s(server, state, now)
            + self.replica_rank_cost_s(server, state, replica_rank);
        PrefillEstimate {
            server: server.entry.id,
            queue_s,
            prefill_s,
            ttft_s,
            cost_s,
        }
    }

    /// Prompt tokens that a server has cached: those it is known to hold, or those it is assumed to
    /// hold as a prefix replica, whichever is more.
    fn cached_tokens(
        &self,
        server: &Server,
        state: &RequestState,
        replica_rank: Option<usize>,
        cached: &CachedPrompt<'_>,
        capacity: f64,
    ) -> f64 {
        let request = &state.request;
        // With many dispatchers, most turns of a session went through others, so this router does
        // not know what they left in the cache. With few, each knows its own sessions.
        let dispatchers = f64::from(self.settings.dispatchers);
        let session_cached_fraction =
            SESSION_CACHED_FRACTION * (1.0 - FEW_DISPATCHERS / dispatchers).max(0.0);
        let tokens_past_prefix = if replica_rank == Some(0) {
            request.prompt_tokens - request.prefix_tokens
        } else {
            0.0
        };
        let assumed_tokens = (request.prefix_tokens + session_cached_fraction * tokens_past_prefix)
            .max(MIN_CACHED_FRACTION * request.prompt_tokens);
        let assumed_at_server = if replica_rank.is_some() && capacity >= 1.0 {
            assumed_tokens
        } else {
            0.0
        };
        cached
            .tokens_at(server)
            .max(assumed_at_server)
            .min((request.prompt_tokens - 1.0).max(0.0))
    }

    /// Expected wait, in seconds, at the decode stage after a prefill at this server.
    fn expected_decode_wait_s(&self, server: &Server, context: &DecisionContext, now: f64) -> f64 {
        match server.role {
            Role::Prefill => context.min_decode_wait_s(server),
            Role::Decode | Role::Mixed => self.decode_wait_s(server, now),
        }
    }

    /// Delay, in seconds, that a prefill causes to the answers running at the same server; 0 at a
    /// prefill server.
    fn decode_impact_s(&self, server: &Server, state: &RequestState, now: f64) -> f64 {
        match server.role {
            Role::Prefill => 0.0,
            Role::Decode => {
                DECODE_SERVER_PREFILL_PENALTY_S + self.eviction_cost_s(server, state, now)
            }
            Role::Mixed => self.eviction_cost_s(server, state, now),
        }
    }

    /// Seconds by which a server in another zone must be faster than one in the router's own zone
    /// to be chosen; 0 for a server in the own zone.
    fn zone_cost_s(&self, server: &Server) -> f64 {
        if server.entry.zone == self.settings.zone {
            0.0
        } else {
            2.0 * CROSS_CELL_COST * DECODE_WAIT_PER_UTILIZATION_S
        }
    }

    /// Seconds by which a later prefix replica, or a server that is not a prefix replica, must be
    /// faster than the first replica to be chosen.
    fn replica_rank_cost_s(
        &self,
        server: &Server,
        state: &RequestState,
        replica_rank: Option<usize>,
    ) -> f64 {
        let rank = match replica_rank {
            Some(rank) => rank as f64,
            None => NON_REPLICA_RANK + self.draw(server, state),
        };
        rank * TIE_BREAK_COST
    }

    /// Prefix replicas of a request's placement key: the prefill and mixed servers with the best
    /// hash rank, those of the own zone first. All routers of a zone compute the same set, except
    /// that slow start may leave out a warming server. The session decides their order, so that its
    /// next turn finds the KV states that earlier turns left.
    pub fn prefix_replicas(
        &self,
        state: &RequestState,
        context: &DecisionContext,
        now: f64,
    ) -> Vec<ServerId> {
        let mut ranking = ReplicaRanking::new(context.replicas_per_key);
        for server in self.servers.iter() {
            if server.role == Role::Decode || !server.is_ready() {
                continue;
            }
            let ranked = RankedReplica::new(server, state.placement_key, self.settings.zone);
            if ranking.accepts(&ranked) && self.slow_start_admits(server, state, now) {
                ranking.insert(ranked);
            }
        }
        ranking.into_order_for(state.request.session)
    }
}

impl DecisionContext {
    /// Shortest wait at decode servers, in seconds, for a KV state that comes from
    /// `prefill_server`.
    fn min_decode_wait_s(&self, prefill_server: &Server) -> f64 {
        let Some(cell) = self.cells.get(&prefill_server.entry.cell) else {
            return 0.0;
        };
        let other_cell_wait_s = self
            .min_wait_s
            .map(|wait_s| wait_s + cell.link_s + CROSS_CELL_COST * DECODE_WAIT_PER_UTILIZATION_S);
        [cell.min_wait_s, other_cell_wait_s]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }
}
