//! Choice of the decode server after a prefill, by the lowest cost.

use super::request_state::RequestState;
use super::selection::{Selector, CROSS_CELL_COST, TIE_BREAK_COST};
use super::server::Server;
use crate::interface::{Role, ServerEntry, ServerId};

impl Selector<'_> {
    /// Returns the decode server with the lowest cost for the request's KV state.
    pub fn best_decode_server(&self, state: &RequestState, now: f64) -> Option<ServerId> {
        let source = state
            .kv_holds
            .known_hold()
            .and_then(|held| self.servers.get(held.server))
            .map(|server| &server.entry);
        let context = self.context(now);
        let link_s = source.map_or(0.0, |entry| context.link_s(entry.cell));
        let cheapest = |slow_start_admits: &dyn Fn(&Server) -> bool| {
            let may_decode = |server: &&Server| {
                server.role != Role::Prefill
                    && self.is_usable(server, state, now)
                    && slow_start_admits(server)
            };
            let costs = self.servers.iter().filter(may_decode).map(|server| {
                let distance = distance_cost(source, &server.entry, link_s);
                let cost = self.decode_cost(server, state, distance, now);
                (cost, server.entry.id)
            });
            costs
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .map(|cheapest| cheapest.1)
        };
        cheapest(&|server| self.slow_start_admits(server, state, now))
            .or_else(|| cheapest(&|server| self.slow_start_admits_as_last_resort(server)))
    }

    fn decode_cost(&self, server: &Server, state: &RequestState, distance: f64, now: f64) -> f64 {
        let memory_and_role_cost = self.eviction_cost_s(server, state, now)
            + f64::from(server.role == Role::Mixed) * 2.0 * CROSS_CELL_COST;
        let delay_s = server.overdue_s(now)
            + server.health.excess_delay_s(now)
            + self.failure_risk_s(server, state, now);
        let capacity = self.capacity(server, now);
        self.load.utilization(server, capacity, now)
            + self.load.decode_wait_s(server, capacity, now)
            + delay_s
            + distance
            + memory_and_role_cost
            + TIE_BREAK_COST * self.draw(server, state)
    }
}

/// Cost of transferring a KV state from the prefill server `source` to the decode server `to`; 0
/// within a cell.
fn distance_cost(source: Option<&ServerEntry>, to: &ServerEntry, link_s: f64) -> f64 {
    match source {
        Some(from) if from.cell == to.cell => 0.0,
        Some(from) if from.zone != to.zone => 2.0 * CROSS_CELL_COST + link_s,
        _ => CROSS_CELL_COST + link_s,
    }
}
