//! The choice of a decode server after the prefill: the least loaded.

use super::request_state::RequestState;
use super::selection::{DecisionContext, Selector, CELL_MARGIN, SPREAD};
use super::server::Server;
use crate::interface::{Role, ServerEntry, ServerId};

impl Selector<'_> {
    /// The server that a held KV state goes to at the lowest price.
    pub fn best_decode_server(&self, state: &RequestState, now: f64) -> Option<ServerId> {
        let holder = state
            .held
            .known()
            .and_then(|held| self.servers.get(held.server))
            .map(|server| &server.entry);
        let context = self.context(now);
        let link_s = holder.map_or(0.0, |entry| context.link_s(entry.cell));
        let priced = self
            .servers
            .iter()
            .filter(|server| self.may_decode(server, state, &context, now))
            .map(|server| {
                let distance = distance_price(holder, &server.entry, link_s);
                let price = self.decode_price(server, state, distance, now);
                (price, server.entry.id)
            });
        priced
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|cheapest| cheapest.1)
    }

    fn may_decode(
        &self,
        server: &Server,
        state: &RequestState,
        context: &DecisionContext,
        now: f64,
    ) -> bool {
        server.role != Role::Prefill
            && self.is_usable(server, state, now)
            && self.takes_turn(server, state, context, false, now)
    }

    fn decode_price(&self, server: &Server, state: &RequestState, distance: f64, now: f64) -> f64 {
        let mixed = self.eviction_cost_s(server, state, now)
            + f64::from(server.role == Role::Mixed) * 2.0 * CELL_MARGIN;
        let delay_s = server.overdue_s(now)
            + server.health.excess_delay_s(now)
            + self.failure_risk_s(server, state, now);
        let capacity = self.capacity(server, now);
        self.load.utilization(server, capacity, now)
            + self.load.decode_wait_s(server, capacity, now)
            + delay_s
            + distance
            + mixed
            + SPREAD * self.draw(server, state)
    }
}

/// What a KV state's way from its holder costs.
fn distance_price(holder: Option<&ServerEntry>, to: &ServerEntry, link_s: f64) -> f64 {
    match holder {
        Some(from) if from.cell == to.cell => 0.0,
        Some(from) if from.zone != to.zone => 2.0 * CELL_MARGIN + link_s,
        _ => CELL_MARGIN + link_s,
    }
}
