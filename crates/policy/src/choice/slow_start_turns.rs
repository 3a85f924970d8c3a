//! Turns of new requests at warming servers.

use std::collections::BTreeMap;

use super::hash::{hash_pair, unit_interval_24_bits};
use super::replica_ranking::RankedReplica;
use super::request_state::RequestState;
use super::selection::DecisionContext;
use super::server::Server;
use super::slow_start::SlowStartInput;
use super::Router;
use crate::interface::{Role, ServerId};

impl Router {
    /// Counts a new request in the accounts of all warming servers and gives it a turn at those
    /// where one is due. The turns hold for all attempts of the request.
    pub(super) fn grant_slow_start_turns(
        &mut self,
        now: f64,
        state: &mut RequestState,
        context: &DecisionContext,
    ) {
        let is_warming = |server: &&Server| {
            server.is_ready() && self.slow_start.capacity(server.booted_at(), now) < 1.0
        };
        let warming: BTreeMap<ServerId, Role> = self
            .servers
            .iter()
            .filter(is_warming)
            .map(|server| (server.entry.id, server.role))
            .collect();
        if warming.is_empty() {
            return;
        }
        // The order is needed for warming servers that may be replicas alone, and costs a sort.
        if warming.values().any(|role| *role != Role::Decode) {
            let mut replicas = 0;
            for id in self.replicas_in_order(state) {
                let is_replica = replicas < context.replicas_per_key;
                let may_use = !warming.contains_key(&id)
                    || self.grant_turn(now, id, state, context, is_replica);
                replicas += usize::from(may_use);
            }
        }
        for (id, role) in warming {
            if role == Role::Decode {
                self.grant_turn(now, id, state, context, false);
            }
        }
    }

    /// Ready servers that may be prefix replicas, the best ones for the request's placement key
    /// first.
    fn replicas_in_order(&self, state: &RequestState) -> Vec<ServerId> {
        let may_prefill = |server: &&Server| server.is_ready() && server.role != Role::Decode;
        let rank = |server| RankedReplica::new(server, state.placement_key, self.settings.zone);
        let mut ranked: Vec<RankedReplica> =
            self.servers.iter().filter(may_prefill).map(rank).collect();
        ranked.sort_unstable_by(RankedReplica::compare);
        ranked.iter().map(RankedReplica::server).collect()
    }

    fn grant_turn(
        &mut self,
        now: f64,
        id: ServerId,
        state: &mut RequestState,
        context: &DecisionContext,
        is_replica: bool,
    ) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let input = SlowStartInput {
            role: server.role,
            role_capacity: context.role_capacities[server.role as usize],
            replicas_per_key: context.replicas_per_key,
            recent_key_fraction: state.recent_key_fraction,
            is_replica,
            cost: self
                .traffic_mean
                .slow_start_cost(&state.request, server.role),
            arrivals_per_s: self.traffic_mean.usual_per_s(),
            speed: self.answer_rates.speed(id),
            answers_per_s: self.answer_rates.per_server_s(server.role),
            first_turn: first_turn(self.seed, server),
        };
        let start_learned_at = server.start_learned_at;
        let account = &mut server.slow_start;
        let has_turn = self
            .slow_start
            .grant_turn(account, input, start_learned_at, now);
        if has_turn {
            state.slow_start_turns.push(id);
        }
        has_turn
    }
}

/// Offset of the first turn at a server's process, from 0 to 1, different for each router.
fn first_turn(seed: u64, server: &Server) -> f64 {
    let process_hash = hash_pair(u64::from(server.entry.id), server.booted_at().to_bits());
    unit_interval_24_bits(hash_pair(seed, process_hash))
}
