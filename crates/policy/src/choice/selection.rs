//! Choices of servers, read from the parts and nothing else: what all candidates of a choice share
//! is here.

use std::collections::BTreeMap;

use super::hash::{hash_pair, unit_interval_24_bits};
use super::load::LoadEstimator;
use super::prefix_cache::PrefixCacheIndex;
use super::request_state::RequestState;
use super::retry_safety::RetrySafety;
use super::server::Server;
use super::server_table::ServerTable;
use super::slow_start::{RoleCapacity, SlowStartInput, SlowStartLimiter};
use crate::interface::{Effect, Request, Role, Settings};

/// Load and seconds by which equals are spread over routers, and a key's next replica must be
/// quicker.
pub(super) const TIE_BREAK_COST: f64 = 0.05;
/// Load by which another cell's decode server must be lighter; twice for another zone's, or a mixed
/// server.
pub(super) const CROSS_CELL_COST: f64 = 0.15;
/// Prefix replicas of a key, each of which prefills it once, at least.
const MIN_PREFIX_REPLICAS: usize = 2;
/// The same as a share of prefill servers.
const PREFIX_REPLICA_FRACTION: f64 = 0.1;
/// Seconds that a server costs where it has failed this request.
const SAME_SERVER_PENALTY_S: f64 = 1.0;
/// What a server's mean time lost by failures counts, as failures come in spells.
const FAILURE_COST_WEIGHT: f64 = 4.0;
/// The same for what may not be retried.
const AT_MOST_ONCE_FAILURE_COST_WEIGHT: f64 = 40.0;
/// Seconds of silence past which a server does not count as live.
const MAX_LIVE_SILENCE_S: f64 = 1.0;
/// Share of the latency objective past due after which a silent attempt is called back from a
/// server that was heard of lately.
const ACTIVE_SERVER_SILENCE_RATIO: f64 = 0.3;
/// The same elsewhere, as the silence of a server seldom heard of proves little.
const INACTIVE_SERVER_SILENCE_RATIO: f64 = 1.5;
/// Seconds within which a server was heard of lately.
const RECENT_SUCCESS_WINDOW_S: f64 = 4.0;

/// Conditions at the decode servers of a cell, or of all.
#[derive(Debug, Default)]
pub(super) struct DecodeConditions {
    /// Least wait at those that the request may go to, seconds.
    pub min_wait_s: Option<f64>,
    /// Delay of KV states over the cell's link, seconds.
    pub link_s: f64,
}

/// What the candidates of one decision share, worked out once for it.
#[derive(Debug, Default)]
pub(super) struct DecisionContext {
    pub cells: BTreeMap<u16, DecodeConditions>,
    /// Least wait at all decode servers that the request may go to, seconds.
    pub min_wait_s: Option<f64>,
    /// By role.
    pub role_capacities: [RoleCapacity; 3],
    /// Number of prefix replicas that a key has.
    pub replicas_per_key: usize,
}

/// The parts of a router, to choose by.
#[derive(Clone, Copy)]
pub(super) struct Selector<'a> {
    pub settings: &'a Settings,
    pub seed: u64,
    pub servers: &'a ServerTable,
    pub load: &'a LoadEstimator,
    pub slow_start: &'a SlowStartLimiter,
    pub prefix_cache_index: &'a PrefixCacheIndex,
    pub retry_safety: RetrySafety,
}

impl Selector<'_> {
    /// Whether an attempt of a request may go to a server by the list and by the rules on retries.
    pub fn is_usable(&self, server: &Server, state: &RequestState, now: f64) -> bool {
        if !server.is_ready() || server.health.is_excluded(now) {
            return false;
        }
        let Some(execution) = state.may_have_run else {
            return true;
        };
        let first = self.servers.get(execution.server).map(|first| &first.entry);
        self.retry_safety
            .allows_retry(self.effect(state), execution, first, &server.entry, now)
    }

    /// What repeating a request may do.
    pub fn effect(&self, state: &RequestState) -> Effect {
        self.settings.classes[usize::from(state.request.class)].effect
    }

    /// Whether an attempt there may not be followed by another unless it is known not to have run.
    pub fn is_at_most_once(&self, server: &Server, state: &RequestState) -> bool {
        self.retry_safety
            .is_at_most_once(self.effect(state), server)
    }

    /// Time to the first token that earns the full weight, seconds.
    pub fn latency_objective_s(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[usize::from(request.class)];
        class.ttft_objective_s + class.ttft_objective_per_token_s * request.prompt_tokens
    }

    /// Seconds past due after which an attempt sent at `sent_at` counts as silent.
    pub fn silence_threshold_s(&self, request: &Request, server: &Server, sent_at: f64) -> f64 {
        let ratio = if sent_at - server.health.last_success_at() < RECENT_SUCCESS_WINDOW_S {
            ACTIVE_SERVER_SILENCE_RATIO
        } else {
            INACTIVE_SERVER_SILENCE_RATIO
        };
        self.latency_objective_s(request) * ratio
    }

    /// Share of its capacity that a server likely has.
    pub fn capacity(&self, server: &Server, now: f64) -> f64 {
        self.slow_start.capacity(server.entry.booted_at, now)
    }

    /// Seconds that an answer waits at a decode server.
    pub fn decode_wait_s(&self, server: &Server, now: f64) -> f64 {
        let capacity = self.capacity(server, now);
        self.load.decode_wait_s(server, capacity, now)
    }

    /// Seconds that others' work takes at a server.
    pub fn other_dispatchers_queue_s(&self, server: &Server, now: f64) -> f64 {
        let capacity = self.capacity(server, now);
        self.load.other_dispatchers_queue_s(server, capacity, now)
    }

    /// The request's draw for a server, from 0 to 1.
    pub fn draw(&self, server: &Server, state: &RequestState) -> f64 {
        let request_hash = hash_pair(self.seed, u64::from(state.request.id));
        unit_interval_24_bits(hash_pair(request_hash, u64::from(server.entry.id)))
    }

    /// Whether a server is warm, or it is this request's turn there.
    pub fn slow_start_admits(
        &self,
        server: &Server,
        state: &RequestState,
        role_capacity: RoleCapacity,
        replicas_per_key: usize,
        is_replica: bool,
        now: f64,
    ) -> bool {
        if self.capacity(server, now) >= 1.0 {
            return true;
        }
        let input = SlowStartInput {
            role: server.role,
            start_learned_at: server.start_learned_at,
            role_capacity,
            replicas_per_key,
            recent_key_fraction: state.recent_key_fraction,
            is_replica,
            draw: self.draw(server, state),
        };
        self.slow_start.admits(input, now)
    }

    /// The same by the role capacities and the replicas of a decision.
    pub fn slow_start_admits_in_context(
        &self,
        server: &Server,
        state: &RequestState,
        context: &DecisionContext,
        is_replica: bool,
        now: f64,
    ) -> bool {
        let role_capacity = context.role_capacities[server.role as usize];
        self.slow_start_admits(
            server,
            state,
            role_capacity,
            context.replicas_per_key,
            is_replica,
            now,
        )
    }

    /// Seconds that answers stand for which a request evicts from memory, where its length is
    /// expected.
    pub fn eviction_cost_s(&self, server: &Server, state: &RequestState, now: f64) -> f64 {
        if state.request.output_tokens.is_none() {
            return 0.0;
        }
        let capacity = self.capacity(server, now);
        self.load
            .eviction_cost_s(server, capacity, state.memory, now)
    }

    /// Seconds that the risk of failure stands for.
    pub fn failure_risk_s(&self, server: &Server, state: &RequestState, now: f64) -> f64 {
        let same_server_s = if state.attempts > 0 && state.server == server.entry.id {
            SAME_SERVER_PENALTY_S
        } else {
            0.0
        };
        let weight = if self.is_at_most_once(server, state) {
            AT_MOST_ONCE_FAILURE_COST_WEIGHT
        } else {
            FAILURE_COST_WEIGHT
        };
        same_server_s + server.health.failure_cost_s(now) * weight
    }

    /// What all candidates share, without the waits at decode servers: a choice of prefill server
    /// alone needs those.
    pub fn context(&self, now: f64) -> DecisionContext {
        let mut context = DecisionContext::default();
        for (cell, link_s) in self.load.link_delays(now) {
            let conditions = DecodeConditions {
                link_s,
                ..DecodeConditions::default()
            };
            context.cells.insert(cell, conditions);
        }
        let mut replica_candidates = 0usize;
        for server in self.servers.iter() {
            context.raise_link_delays(server, now);
            let silence_s = now - server.health.last_success_at();
            let is_ready = server.is_ready();
            let is_live = is_ready && server.overdue_s(now).min(silence_s) < MAX_LIVE_SILENCE_S;
            let live = f64::from(is_live);
            let role = &mut context.role_capacities[server.role as usize];
            role.live_servers += live;
            role.warm_equivalents += live * self.capacity(server, now);
            let in_zone = server.entry.zone == self.settings.zone;
            replica_candidates += usize::from(is_ready && server.role == Role::Prefill && in_zone);
        }
        let replicas = (replica_candidates as f64 * PREFIX_REPLICA_FRACTION).round() as usize;
        context.replicas_per_key = MIN_PREFIX_REPLICAS.max(replicas);
        context
    }
}

impl DecisionContext {
    /// KV states that are late at a server show the delay over their cell's link.
    fn raise_link_delays(&mut self, server: &Server, now: f64) {
        for attempt in server.in_flight.values() {
            if let Some(cell) = attempt.crossed_link_cell {
                let conditions = self.cells.entry(cell).or_default();
                conditions.link_s = conditions.link_s.max(now - attempt.due_at);
            }
        }
    }

    /// Delay of KV states over a cell's link, seconds.
    pub fn link_s(&self, cell: u16) -> f64 {
        self.cells
            .get(&cell)
            .map_or(0.0, |conditions| conditions.link_s)
    }
}
