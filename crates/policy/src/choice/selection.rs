//! Selection of servers for requests. The selection reads the router's components and modifies none
//! of them. This module holds what all candidates of a choice share.
//!
//! A silent attempt is one whose server has sent neither the end of the prefill nor a first token
//! for longer than a limit, which is twice the expected time plus a fraction or multiple of the
//! latency objective. An attempt is past due from the time at which its prefill end or first token
//! was expected. Prefix replicas and placement keys are defined in `prefill_choice`.

use std::collections::BTreeMap;

use super::hash::{hash_pair, unit_interval_24_bits};
use super::load::LoadEstimator;
use super::prefix_cache::PrefixCacheIndex;
use super::request_state::RequestState;
use super::retry_safety::RetrySafety;
use super::server::Server;
use super::server_table::ServerTable;
use super::slow_start::{RoleCapacity, SlowStartLimiter};
use crate::interface::{Effect, Request, Role, Settings};

/// Upper bound of the random cost, in utilization or seconds, that spreads the choices of different
/// routers over servers of equal cost. It is also the cost, in seconds, that each prefix replica
/// after the first has over the one before.
pub(super) const TIE_BREAK_COST: f64 = 0.05;
/// Extra cost, in utilization, of a decode server in another cell than the prefill server; doubled
/// for another zone and for a mixed server.
pub(super) const CROSS_CELL_COST: f64 = 0.15;
/// Minimum number of prefix replicas of a placement key. Each replica has to prefill the prefix
/// once.
const MIN_PREFIX_REPLICAS: usize = 2;
/// Number of prefix replicas of a placement key, as a fraction of the ready prefill servers in the
/// router's zone.
const PREFIX_REPLICA_FRACTION: f64 = 0.1;
/// Cost, in seconds, of sending a request again to the server of its latest attempt, because that
/// attempt may have failed there.
const SAME_SERVER_PENALTY_S: f64 = 1.0;
/// Factor from the mean time that recent failures at a server lost per attempt to the cost of the
/// server. It is above 1 because failures come in bursts.
const FAILURE_COST_WEIGHT: f64 = 4.0;
/// The factor [`FAILURE_COST_WEIGHT`] for a request that may not be retried.
const AT_MOST_ONCE_FAILURE_COST_WEIGHT: f64 = 40.0;
/// A server no longer counts as live when an attempt there is this many seconds past due and the
/// server has not answered any attempt for as long.
const MAX_LIVE_SILENCE_S: f64 = 1.0;
/// Time, beyond twice the expected time of an attempt, after which the attempt counts as silent, as
/// a fraction of the request's latency objective for the first token, at a server that had answered
/// another attempt within [`RECENT_SUCCESS_WINDOW_S`] before this one was sent.
const ACTIVE_SERVER_SILENCE_RATIO: f64 = 0.3;
/// Time, beyond twice the expected time of an attempt, after which the attempt counts as silent, as
/// a multiple of the request's latency objective for the first token, at a server that had not
/// answered another attempt within [`RECENT_SUCCESS_WINDOW_S`] before this one was sent. The
/// silence of a rarely used server proves little.
const INACTIVE_SERVER_SILENCE_RATIO: f64 = 1.5;
/// Seconds after a server's last answer for which the server counts as having answered recently.
const RECENT_SUCCESS_WINDOW_S: f64 = 4.0;

/// Up to this many dispatchers, one may send a request without a turn to a warming server if no
/// other server may take it.
const MAX_LAST_RESORT_DISPATCHERS: u32 = 4;

/// Conditions of one cell: the wait at the cell's decode servers and the delay of its link to the
/// other cells.
#[derive(Debug, Default)]
pub(super) struct DecodeConditions {
    /// Shortest wait, in seconds, at the cell's decode servers that may take the request.
    pub min_wait_s: Option<f64>,
    /// Delay, in seconds, of KV transfers over the cell's link beyond the predicted transfer time.
    pub link_s: f64,
}

/// Values that all candidates of one decision share, computed once per decision.
#[derive(Debug, Default)]
pub(super) struct DecisionContext {
    pub cells: BTreeMap<u16, DecodeConditions>,
    /// Shortest wait, in seconds, at all decode servers that may take the request.
    pub min_wait_s: Option<f64>,
    /// Capacity of the live servers of each role, indexed by [`Role`].
    pub role_capacities: [RoleCapacity; 3],
    /// Number of prefix replicas of each placement key.
    pub replicas_per_key: usize,
}

/// Read-only view of a router's components, for choosing servers.
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
    /// Returns whether a request's next attempt may go to a server: the server is ready, is not
    /// excluded, and the retry rules allow it.
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

    /// Returns what a repeated execution of the request may cause, as set for its class.
    pub fn effect(&self, state: &RequestState) -> Effect {
        self.settings.classes[usize::from(state.request.class)].effect
    }

    /// Returns whether an attempt of the request at this server may be followed by another only if
    /// it is known not to have run.
    pub fn is_at_most_once(&self, server: &Server, state: &RequestState) -> bool {
        self.retry_safety
            .is_at_most_once(self.effect(state), server)
    }

    /// Latency objective of a request: the time to first token, in seconds, up to which an answer
    /// gets its full priority weight.
    pub fn latency_objective_s(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[usize::from(request.class)];
        class.ttft_objective_s + class.ttft_objective_per_token_s * request.prompt_tokens
    }

    /// Time, in seconds, beyond twice the expected time of an attempt, after which the attempt
    /// counts as silent if it was sent at clock time `sent_at`.
    pub fn silence_threshold_s(&self, request: &Request, server: &Server, sent_at: f64) -> f64 {
        let ratio = if sent_at - server.health.last_success_at() < RECENT_SUCCESS_WINDOW_S {
            ACTIVE_SERVER_SILENCE_RATIO
        } else {
            INACTIVE_SERVER_SILENCE_RATIO
        };
        self.latency_objective_s(request) * ratio
    }

    /// Fraction of its full capacity that a server is estimated to have; 1 when warm.
    pub fn capacity(&self, server: &Server, now: f64) -> f64 {
        self.slow_start.capacity(server.booted_at(), now)
    }

    /// Expected time, in seconds, that a request waits at a decode server before its decoding
    /// starts.
    pub fn decode_wait_s(&self, server: &Server, now: f64) -> f64 {
        let capacity = self.capacity(server, now);
        self.load.decode_wait_s(server, capacity, now)
    }

    /// Expected time, in seconds, that prefills of other dispatchers delay a new prefill at a
    /// server.
    pub fn other_dispatchers_queue_s(&self, server: &Server, now: f64) -> f64 {
        let capacity = self.capacity(server, now);
        self.load.other_dispatchers_queue_s(server, capacity, now)
    }

    /// Pseudo-random number from 0 to 1, fixed for this router, request and server.
    pub fn draw(&self, server: &Server, state: &RequestState) -> f64 {
        let request_hash = hash_pair(self.seed, u64::from(state.request.id));
        unit_interval_24_bits(hash_pair(request_hash, u64::from(server.entry.id)))
    }

    /// Returns whether slow start lets the request go to a server; always true for a warm server.
    pub fn slow_start_admits(&self, server: &Server, state: &RequestState, now: f64) -> bool {
        if self.capacity(server, now) >= 1.0 {
            return true;
        }
        state.slow_start_turns.contains(&server.entry.id) && server.slow_start.has_allowance()
    }

    /// Returns whether a request without a turn may go to a warming server because no other server
    /// may take it. The allowances of many dispatchers add up to more than a server can bear.
    pub fn slow_start_admits_as_last_resort(&self, server: &Server) -> bool {
        self.settings.dispatchers <= MAX_LAST_RESORT_DISPATCHERS
            && server.slow_start.has_allowance()
    }

    /// Cost, in seconds, of the answers that a request would evict from a server's memory; 0 if its
    /// output length is not predicted.
    pub fn eviction_cost_s(&self, server: &Server, state: &RequestState, now: f64) -> f64 {
        if state.request.output_tokens.is_none() {
            return 0.0;
        }
        let capacity = self.capacity(server, now);
        self.load
            .eviction_cost_s(server, capacity, state.memory, now)
    }

    /// Cost, in seconds, of the risk that an attempt of the request fails at a server.
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

    /// Computes the values that all candidates share, except the waits at decode servers, which
    /// only the choice of a prefill server needs.
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
    /// Raises the delay of cell links by the overdue KV transfers to one server.
    fn raise_link_delays(&mut self, server: &Server, now: f64) {
        for attempt in server.in_flight.values() {
            if let Some(cell) = attempt.crossed_link_cell {
                let conditions = self.cells.entry(cell).or_default();
                conditions.link_s = conditions.link_s.max(now - attempt.due_at);
            }
        }
    }

    /// Delay, in seconds, of KV transfers over a cell's link beyond the predicted transfer time; 0
    /// if unknown.
    pub fn link_s(&self, cell: u16) -> f64 {
        self.cells
            .get(&cell)
            .map_or(0.0, |conditions| conditions.link_s)
    }
}
