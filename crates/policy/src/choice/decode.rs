//! The choice of the server that writes: the least loaded, after the read.

use super::*;

const WRITER_FULL: f64 = 0.9; // Writer load at which answers wait for memory.
const WRITER_TURNOVER_S: f64 = 5.0; // Seconds in which a full writer's memory turns over.
/// Seconds that an answer pushed out of memory stands for, by share of that memory.
const PUSHED_OUT_S: f64 = 100.0;

impl Router {
    pub(super) fn load(&self, s: &Server, now: f64) -> f64 {
        self.report(s, now).load.max(s.own(|t| t.0) / s.memory) / self.capacity(s, now)
    }

    /// Seconds that an answer waits: little until memory runs out, then for the queue's turnover.
    pub(super) fn write_wait(&self, s: &Server, now: f64) -> f64 {
        let load = self.load(s, now);
        let queued = self.report(s, now).others * self.typical.1 / s.memory / self.capacity(s, now);
        load * WRITER_LOAD_S + ((load - WRITER_FULL).max(0.0) + queued) * WRITER_TURNOVER_S
    }

    /// Seconds that answers pushed out of memory stand for, by told lengths. Harm: refuses before it is full.
    pub(super) fn crowd(&self, s: &Server, job: &Job, now: f64) -> f64 {
        let Some(_) = job.ask.output_tokens else {
            return 0.0;
        };
        let peak = s.own(|t| t.1) + job.tokens.0 + job.tokens.1;
        (self.load(s, now) + peak / s.memory - 1.0).max(0.0) * PUSHED_OUT_S
    }

    pub(super) fn best_writer(&self, job: &Job, now: f64) -> Option<ServerId> {
        let from = job
            .held
            .known()
            .and_then(|at| self.servers.get(&at.0))
            .map(|s| (s.entry.cell, s.entry.zone));
        let scene = self.scene(now);
        let link = from
            .and_then(|(cell, _)| scene.cells.get(&cell))
            .map_or(0.0, |c| c.link);
        let price = |s: &Server| {
            let apart = match from {
                Some((cell, _)) if cell == s.entry.cell => 0.0,
                Some((_, zone)) if zone != s.entry.zone => 2.0 * CELL_MARGIN + link,
                _ => CELL_MARGIN + link,
            };
            let mixed =
                self.crowd(s, job, now) + f64::from(s.role == Role::Mixed) * 2.0 * CELL_MARGIN;
            let delay = s.overdue(now) + s.excess(now) + self.risk_s(s, job, now);
            self.load(s, now)
                + self.write_wait(s, now)
                + delay
                + apart
                + mixed
                + SPREAD * self.draw(job, s)
        };
        let may = |s: &&Server| {
            s.role != Role::Prefill
                && self.usable(s, job, now)
                && self.cold_turn(s, job, &scene, false, now)
        };
        let priced = self
            .servers
            .values()
            .filter(may)
            .map(|s| (price(s), s.entry.id));
        priced.min_by(|a, b| a.0.total_cmp(&b.0)).map(|best| best.1)
    }
}
