//! Outcomes of attempts: what they tell of health and speed, by own experience, reports and hearsay.

use super::*;

const KIND_BLEND: f64 = 0.25; // Weight of the newest report in its kind's mean.
const HEARSAY_LOSS_S: f64 = 0.25; // Mean loss, in seconds, of a server that others have seen failing.
const HEARSAY_DRAIN_S: f64 = 1.0; // Seconds for which others' word of a drain counts.
const TOLD_FAILING_S: f64 = 3.0; // Seconds for which a server counts as told to fail.
const TOLD_FAILING_MOST: f64 = 0.25; // Share of its like that may be told to fail for it to be believed.
const FULL_PAUSE_S: f64 = 0.2; // Seconds for which a server that said `full` is passed over.

impl Router {
    pub(super) fn on_first(&mut self, now: f64, id: RequestId, server: ServerId, elapsed: f64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        (job.stage, job.first_after) = (Stage::Streaming, sane(elapsed));
        job.held.taken();
        let slip = (now - job.promised).max(0.0);
        let before = fade(self.lateness, now, FADE_HALF_S);
        self.lateness = (before + 0.5 * BLEND * (slip - before), now);
        let Some(s) = self.servers.get_mut(&server) else {
            return;
        };
        if let Some(p) = s.pending.remove(&id) {
            let (seen, half) = match p.link {
                None => (&mut s.excess, EXCESS_HALF_S),
                Some(cell) => (self.links.entry(cell).or_default(), FADE_HALF_S),
            };
            *seen = (
                0.5 * fade(*seen, now, half) + 0.5 * (now - p.due).max(0.0),
                now,
            );
            s.streams.insert(id, p.tokens);
        }
        s.mark(now, false, elapsed);
        self.answers[s.role as usize].0 += 1.0;
    }

    pub(super) fn on_end(&mut self, now: f64, end: AttemptEnd, out: &mut Actions) {
        let s = self.servers.get_mut(&end.server);
        let waited = s.is_some_and(|s| {
            s.streams.remove(&end.request);
            s.pending.remove(&end.request).is_some()
        });
        self.take_report(now, end.server, &end.report);
        let Some(job) = self.jobs.get(&end.request).filter(|j| j.at == end.server) else {
            return;
        };
        let (id, job) = (end.request, job.clone());
        self.judge(now, &end, &job, waited);
        let ran = self.execution(&end) == Execution::MayHaveRun;
        let at_prefill = self
            .servers
            .get(&end.server)
            .is_some_and(|s| s.role == Role::Prefill);
        let Some(j) = self.jobs.get_mut(&id) else {
            return;
        };
        j.may_have_run = j.may_have_run.or(ran.then_some((end.server, j.sent)));
        let expired = j.held.is_released();
        j.held.attempt_ended(now, &end, at_prefill);
        j.stage = if j.held.known().is_some() {
            Stage::Held
        } else {
            Stage::Idle
        };
        if end.finished || j.over {
            j.over = true;
            return self.finish(id, None, out);
        }
        self.watch_held(id, out);
        self.go_on(now, &end, expired, out);
    }

    fn judge(&mut self, now: f64, end: &AttemptEnd, job: &Job, waited: bool) {
        let cut = now + 2.0 * self.set.tick_s >= job.deadline;
        let mark = match end.outcome {
            Outcome::Served | Outcome::PrefillDone => Some(false),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => Some(true),
            Outcome::TimedOut | Outcome::Cancelled if !cut && !job.over && waited => Some(true),
            _ => None,
        };
        let Some(s) = self.servers.get_mut(&end.server) else {
            return;
        };
        let whole = s.role != Role::Prefill && job.held.known().is_none();
        mark.into_iter()
            .for_each(|bad| s.mark(now, bad, end.elapsed_s));
        match end.outcome {
            Outcome::TimedOut | Outcome::Cancelled if waited => {
                s.excess = (s.excess(now).max(sane(end.elapsed_s)), now);
            }
            Outcome::Rejected {
                state_missing: false,
            } => s.shut_until = s.shut_until.max(now + FULL_PAUSE_S),
            Outcome::PrefillDone => {
                self.learn_read(now, end, job, sane(end.elapsed_s));
                self.answers[Role::Prefill as usize].0 += 1.0;
                self.count_choice(Role::Decode);
            }
            Outcome::Served if whole => self.learn_read(now, end, job, job.first_after),
            _ => {}
        }
    }

    /// What others have seen. One voice condemns no server, and what was heard here since counts more.
    /// Failing costs time as an own failure does, young is as by the list, draining closes it while told.
    /// Harm: where two are wrong together it is passed by for a while, by a price or for a second.
    pub(super) fn on_hearsay(
        &mut self,
        now: f64,
        id: ServerId,
        told: (Observation, u32, u32, f64),
    ) {
        let (sight, voices, of, age_s) = told;
        let Some(s) = self.servers.get_mut(&id).filter(|_| voices >= 2) else {
            return;
        };
        match sight {
            Observation::Failing if s.heard < now - age_s => {
                let (role, loss) = (s.role, fade(s.loss, now, FADE_HALF_S).max(HEARSAY_LOSS_S));
                s.told_failing = now;
                // Where many of its like are told to fail it is the way to them.
                let like = || {
                    self.servers
                        .values()
                        .filter(|s| s.role == role && s.ready())
                };
                let failing = like()
                    .filter(|s| now - s.told_failing < TOLD_FAILING_S)
                    .count() as f64;
                let few = failing <= 1.0 || failing <= TOLD_FAILING_MOST * like().count() as f64;
                self.servers
                    .entry(id)
                    .and_modify(|s| s.loss = if few { (loss, now) } else { s.loss });
            }
            Observation::WarmingUp if s.entry.booted_at <= 0.0 => s.entry.booted_at = now - age_s,
            Observation::Draining if 2 * voices > of => {
                s.shut_until = s.shut_until.max(now + HEARSAY_DRAIN_S)
            }
            _ => {}
        }
    }

    fn learn_read(&mut self, now: f64, end: &AttemptEnd, job: &Job, took: f64) {
        let hit = sane(end.prefix_hit_tokens).min(job.ask.prompt_tokens);
        self.prefixes.note(now, end.server, &job.ask);
        let total = job.ask.prompt_tokens;
        self.typical.0 += 2.0 * BLEND * (total - hit - self.typical.0);
        self.typical.1 += 2.0 * BLEND * (total - self.typical.1);
        let Some(s) = self.servers.get(&end.server) else {
            return;
        };
        let (alone, capacity) = (self.read_s(s, total - hit, total), self.capacity(s, now));
        let Some(s) = self.servers.get_mut(&end.server) else {
            return;
        };
        if job.queue_s < 0.5 * alone {
            // A queue unseen is the excess's part, so that surprises upwards pull less.
            let ratio = ((took - job.queue_s) * capacity / alone * s.pace).clamp(0.3, 8.0);
            let step = if ratio > s.pace { 0.5 * BLEND } else { BLEND };
            s.pace = (s.pace + step * (ratio - s.pace)).clamp(0.6, 8.0);
        }
        let surprise = (took - job.queue_s - alone / capacity).max(0.0);
        s.excess = (0.5 * s.excess(now) + 0.5 * surprise, now);
    }

    pub(super) fn take_report(&mut self, now: f64, id: ServerId, report: &[f64]) {
        let told = !report.is_empty() && report.iter().all(|v| v.is_finite());
        let Some(s) = self.servers.get_mut(&id).filter(|_| told) else {
            return;
        };
        let reads = s.role == Role::Prefill;
        let own_held = (s.pending.len() + s.streams.len()) as f64;
        let mut told = Report::default();
        for (field, &value) in self.set.report_fields.iter().zip(report) {
            match field {
                ReportField::SlotUtilization if !reads => told.load = told.load.max(value),
                ReportField::MemoryUtilization => told.load = told.load.max(value),
                ReportField::Concurrent if reads => {
                    told.others = (0.5 * (value - own_held)).max(0.0)
                }
                ReportField::Queue => {
                    told.others = if reads {
                        (value - own_held).max(0.0)
                    } else {
                        value
                    }
                }
                _ => {}
            }
        }
        (s.report, s.seen_at, s.seen_tokens) = (told, now, s.own(|t| t.0));
        let kind = usize::from(s.entry.kind);
        let cold = self
            .servers
            .get(&id)
            .is_some_and(|s| self.capacity(s, now) < 1.0);
        let pool = &mut self.pools[kind][usize::from(cold)];
        *pool = (told.blend(pool.0, KIND_BLEND), now);
    }

    pub(super) fn on_probe(
        &mut self,
        now: f64,
        id: ServerId,
        end: Outcome,
        took: f64,
        out: &mut Actions,
    ) {
        if let Some(s) = self.servers.get_mut(&id) {
            s.probe_out = false;
            if matches!(end, Outcome::ConnectFailed | Outcome::Reset) {
                s.mark(now, true, took);
            }
        }
        let answered = |(job, j): (&RequestId, &mut Job)| {
            j.asked.retain(|asked| *asked != id);
            (j.asked.is_empty() && matches!(j.stage, Stage::Asking(_))).then_some(*job)
        };
        let done: Vec<RequestId> = self.jobs.iter_mut().filter_map(answered).collect();
        done.into_iter().for_each(|job| self.place(now, job, out));
    }
}
