//! Admission of an arrival, by its estimate and its tenant's share, and the probes for it.

use super::*;

/// Seconds for which a report or a probe under way is fresh enough not to probe again.
const PROBE_EVERY_S: f64 = 0.5;
/// Servers probed for one choice: power of two choices; each probe costs as much as 0.3% of a request.
const PROBES: usize = 2;
/// Multiple of an estimate that it may add, so that a place which looks free is still tried.
const SLIP_MOST: f64 = 2.0;
/// Share of the output ceiling that an answer holds of memory in the mean of its run.
const OUTPUT_SHARE: f64 = 0.2;
const REFUSE_AT: f64 = 1.2; // Refuse when the first token is expected later than this multiple of its aim.
const OVER_SHARE_REFUSE_AT: f64 = 0.35; // The same for what is over its tenant's share.
const RETRIES_EARNED: f64 = 0.4; // Further attempts earned by one arrival.
const SHARE_BURST_S: f64 = 2.0; // Seconds of a tenant's share that may come at once.
const SHARE_BURST: f64 = 3.0; // Requests beyond that, as few arrivals are a rough count.
const RECENT_KEYS: usize = 16; // Latest requests that show a hot key.

impl Router {
    pub(super) fn on_arrival(&mut self, now: f64, mut ask: Request, out: &mut Actions) {
        ask.class = ask
            .class
            .min(self.set.classes.len().saturating_sub(1) as u16);
        ask.prompt_tokens = sane(ask.prompt_tokens).max(1.0);
        ask.prefix_tokens = sane(ask.prefix_tokens).min(ask.prompt_tokens);
        ask.max_output_tokens = sane(ask.max_output_tokens).max(1.0);
        let told = ask
            .output_tokens
            .map(|t| (0.5 * sane(t.mean), sane(t.p90 - 0.5 * sane(t.mean))));
        let (mean, more) = told.unwrap_or((OUTPUT_SHARE * ask.max_output_tokens, 0.0));
        let tokens = (ask.prompt_tokens + mean, more);
        let (id, left) = (ask.id, sane(ask.time_left_s));
        let aim = self.aim(&ask);
        let over = self.over_share(now, ask.tenant);
        let late_s = (aim
            * if over {
                OVER_SHARE_REFUSE_AT
            } else {
                REFUSE_AT
            })
        .min(left);
        let key = if ask.prefix != 0 {
            ask.prefix
        } else {
            ask.session
        };
        self.count_choice(Role::Prefill);
        let same = self.recent.iter().filter(|k| **k == key).count() as f64;
        let alike = same / self.recent.len().max(1) as f64;
        self.recent.push_front(key);
        self.recent.truncate(RECENT_KEYS);
        let (deadline, promised) = (now + left, now + aim);
        let job = Job {
            ask,
            key,
            alike,
            tokens,
            deadline,
            late_s,
            promised,
            ..Job::default()
        };
        self.retries = (self.retries + RETRIES_EARNED).min(RETRIES_MOST);
        let homes = self.homes(now, &job, &self.scene(now));
        self.jobs.insert(id, job);
        wake(id, now + (left - 2.0 * self.set.tick_s).max(0.0), out);
        let asked = self.probe(now, &homes, out);
        if asked.is_empty() || left < 10.0 * ASK_WAIT_S {
            return self.place(now, id, out);
        }
        let until = now + ASK_WAIT_S;
        self.jobs
            .entry(id)
            .and_modify(|j| (j.stage, j.asked) = (Stage::Asking(until), asked));
        wake(id, until, out);
    }

    pub(super) fn place(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        self.jobs.entry(id).and_modify(|j| j.stage = Stage::Idle);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(e) = self.best_reader(job, now) else {
            return self.give_up(id, 1.0, Cause::NoPrefillServer, out);
        };
        let (total_s, late_s, slip_s) = (
            e.total_s,
            job.late_s,
            self.slip(now).min(SLIP_MOST * e.total_s),
        );
        self.last_choice = ExplainedChoice {
            request: id,
            explanation: ChoiceExplanation {
                queue_s: e.queue_s,
                prefill_s: e.read_s,
                total_s,
                lateness_s: slip_s,
                limit_s: late_s,
            },
        };
        self.jobs
            .entry(id)
            .and_modify(|j| j.promised = now + e.total_s);
        if total_s + slip_s > late_s {
            return self.give_up(
                id,
                (total_s + slip_s - late_s).max(0.2),
                Cause::ExpectedLate,
                out,
            );
        }
        self.send_read(now, id, e, out);
    }

    /// Probes the first few of which nothing fresh is known; returns those asked. Tied to a choice at hand:
    /// many routers probing by the clock would load the fleet for nothing.
    pub(super) fn probe(&mut self, now: f64, of: &[ServerId], out: &mut Actions) -> Vec<ServerId> {
        let pays = self.set.report_mode != ReportMode::Off && self.set.limits.may_probe;
        let mut asked = Vec::new();
        for &id in of.iter().take(if pays { PROBES } else { 0 }) {
            let Some(s) = self.servers.get_mut(&id) else {
                continue;
            };
            if now - s.seen_at.max(s.probed_at) > PROBE_EVERY_S {
                (s.probed_at, s.probe_out) = (now, true);
                out.push(Action::Probe { server: id });
                asked.push(id);
            }
        }
        asked
    }

    /// Probes a few writers that a read's state may go to, its own cell's first, while it is read.
    pub(super) fn probe_writers(
        &mut self,
        now: f64,
        id: RequestId,
        reader: ServerId,
        out: &mut Actions,
    ) {
        let (Some(job), Some(from)) = (self.jobs.get(&id), self.servers.get(&reader)) else {
            return;
        };
        let writes =
            |s: &&Server| s.role == Role::Decode && s.ready() && from.role == Role::Prefill;
        let rank = |s: &Server| {
            (
                s.entry.cell != from.entry.cell,
                self.draw(job, s),
                s.entry.id,
            )
        };
        let before = |a: &(bool, f64, ServerId), b: &(bool, f64, ServerId)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        // The first few of them in order, without ordering the others.
        let mut few: Vec<_> = Vec::with_capacity(PROBES + 1);
        for ranked in self.servers.values().filter(writes).map(rank) {
            let at = few.partition_point(|known| before(known, &ranked).is_le());
            few.insert(at, ranked);
            few.truncate(PROBES);
        }
        let few: Vec<ServerId> = few.into_iter().map(|w| w.2).collect();
        self.probe(now, &few, out);
    }

    /// How late first tokens come against the estimate at admission, whatever the cause. Harm: over-refusal.
    fn slip(&self, now: f64) -> f64 {
        let waits = |j: &&Job| !j.over && matches!(j.stage, Stage::Out | Stage::Held);
        let ages = || {
            self.jobs
                .values()
                .filter(waits)
                .map(|j| (now - j.promised).max(0.0))
        };
        fade(self.lateness, now, FADE_HALF_S)
            .max(ages().sum::<f64>() / ages().count().max(1) as f64)
    }

    /// Another part of what all share, from a moment on that may lie back; until then the last one counts.
    pub(super) fn on_share(&mut self, part: f64, since: f64) {
        (0..self.allowance.len() as u32).for_each(|tenant| _ = self.fill_share(tenant, since));
        self.part = part;
    }

    /// Requests that a tenant may begin here within its share.
    fn fill_share(&mut self, tenant: u32, now: f64) -> Option<&mut (f64, f64)> {
        let slot = self.allowance.get_mut(tenant as usize)?;
        let part = self.set.tenants[tenant as usize].quota_rps * self.part;
        let burst = SHARE_BURST_S * part + SHARE_BURST;
        *slot = (
            (slot.0 + (now - slot.1).max(0.0) * part).min(burst),
            now.max(slot.1),
        );
        Some(slot)
    }

    /// Whether a tenant's traffic here runs above this router's part of its share.
    fn over_share(&mut self, now: f64, tenant: u32) -> bool {
        let Some(slot) = self.fill_share(tenant, now) else {
            return false;
        };
        let left = slot.0;
        slot.0 = (left - 1.0).max(0.0);
        left < 1.0
    }
}
