//! The choice of the server that writes: the least loaded, after the read.

use super::*;

const FULL_DECODE_LOAD: f64 = 0.9; // Writer load at which answers wait for memory.
const DECODE_TURNOVER_S: f64 = 5.0; // Seconds in which a full writer's memory turns over.
/// Seconds that an answer pushed out of memory stands for, by share of that memory.
const EVICTION_COST_S: f64 = 100.0;

impl Router {
    pub(super) fn load(&self, server: &Server, now: f64) -> f64 {
        self.report(server, now)
            .load
            .max(server.own(|t| t.0) / server.memory)
            / self.capacity(server, now)
    }

    /// Seconds that an answer waits: little until memory runs out, then for the queue's turnover.
    pub(super) fn decode_wait_s(&self, server: &Server, now: f64) -> f64 {
        let load = self.load(server, now);
        let queued = self.report(server, now).others * self.typical_prompt.1
            / server.memory
            / self.capacity(server, now);
        load * DECODE_LOAD_S + ((load - FULL_DECODE_LOAD).max(0.0) + queued) * DECODE_TURNOVER_S
    }

    /// Seconds that answers pushed out of memory stand for, by told lengths. Harm: refuses before it is full.
    pub(super) fn eviction_cost_s(&self, server: &Server, state: &RequestState, now: f64) -> f64 {
        let Some(_) = state.request.output_tokens else {
            return 0.0;
        };
        let peak = server.own(|t| t.1) + state.tokens.0 + state.tokens.1;
        (self.load(server, now) + peak / server.memory - 1.0).max(0.0) * EVICTION_COST_S
    }

    pub(super) fn best_decode_server(&self, state: &RequestState, now: f64) -> Option<ServerId> {
        let from = state
            .kv_state
            .known()
            .and_then(|at| self.servers.get(&at.0))
            .map(|server| (server.entry.cell, server.entry.zone));
        let context = self.context(now);
        let link = from
            .and_then(|(cell, _)| context.cells.get(&cell))
            .map_or(0.0, |c| c.link);
        let price = |server: &Server| {
            let apart = match from {
                Some((cell, _)) if cell == server.entry.cell => 0.0,
                Some((_, zone)) if zone != server.entry.zone => 2.0 * CELL_MARGIN + link,
                _ => CELL_MARGIN + link,
            };
            let mixed = self.eviction_cost_s(server, state, now)
                + f64::from(server.role == Role::Mixed) * 2.0 * CELL_MARGIN;
            let delay =
                server.overdue(now) + server.excess_delay(now) + self.risk_s(server, state, now);
            self.load(server, now)
                + self.decode_wait_s(server, now)
                + delay
                + apart
                + mixed
                + SPREAD * self.draw(state, server)
        };
        let may = |server: &&Server| {
            server.role != Role::Prefill
                && self.usable(server, state, now)
                && self.slow_start_admits(server, state, &context, false, now)
        };
        let priced = self
            .servers
            .values()
            .filter(may)
            .map(|server| (price(server), server.entry.id));
        priced.min_by(|a, b| a.0.total_cmp(&b.0)).map(|best| best.1)
    }
}
