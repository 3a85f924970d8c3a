//! Outcomes of attempts: what they tell of health and speed, by own experience, reports and hearsay.

use super::*;

const ROLE_LOAD_NEWEST_WEIGHT: f64 = 0.25; // Weight of the newest report in its kind's mean.
const REPORTED_FAILURE_COST_S: f64 = 0.25; // Mean loss, in seconds, of a server that others have seen failing.
const REPORTED_DRAIN_S: f64 = 1.0; // Seconds for which others' word of a drain counts.
const REPORTED_FAILING_S: f64 = 3.0; // Seconds for which a server counts as told to fail.
const MAX_REPORTED_FAILING_FRACTION: f64 = 0.25; // Share of its like that may be told to fail for it to be believed.
const REJECTION_PAUSE_S: f64 = 0.2; // Seconds for which a server that said `full` is passed over.

impl Router {
    pub(super) fn on_first(&mut self, now: f64, id: RequestId, server: ServerId, elapsed: f64) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        (state.stage, state.first_after) = (Stage::Streaming, non_negative(elapsed));
        state.kv_state.taken();
        let expected_lateness = (now - state.expected_first_token_at).max(0.0);
        let before = decayed(self.lateness, now, HALF_LIFE_S);
        self.lateness = (
            before + 0.5 * NEWEST_WEIGHT * (expected_lateness - before),
            now,
        );
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        if let Some(p) = server.in_flight.remove(&id) {
            let (seen, half) = match p.link {
                None => (&mut server.excess_delay, EXCESS_HALF_LIFE_S),
                Some(cell) => (self.links.entry(cell).or_default(), HALF_LIFE_S),
            };
            *seen = (
                0.5 * decayed(*seen, now, half) + 0.5 * (now - p.due).max(0.0),
                now,
            );
            server.streaming.insert(id, p.tokens);
        }
        server.mark(now, false, elapsed);
        self.response_rates[server.role as usize].0 += 1.0;
    }

    pub(super) fn on_end(&mut self, now: f64, end: AttemptEnd, actions: &mut Actions) {
        let server = self.servers.get_mut(&end.server);
        let waited = server.is_some_and(|server| {
            server.streaming.remove(&end.request);
            server.in_flight.remove(&end.request).is_some()
        });
        self.record_load_report(now, end.server, &end.report);
        let Some(state) = self
            .requests
            .get(&end.request)
            .filter(|state| state.at == end.server)
        else {
            return;
        };
        let (id, state) = (end.request, state.clone());
        self.record_outcome(now, &end, &state, waited);
        let ran = self.execution(&end) == Execution::MayHaveRun;
        let at_prefill = self
            .servers
            .get(&end.server)
            .is_some_and(|server| server.role == Role::Prefill);
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.may_have_run = state
            .may_have_run
            .or(ran.then_some((end.server, state.sent)));
        let expired = state.kv_state.is_released();
        state.kv_state.attempt_ended(now, &end, at_prefill);
        state.stage = if state.kv_state.known().is_some() {
            Stage::AwaitingDecode
        } else {
            Stage::Idle
        };
        if end.finished || state.answered {
            state.answered = true;
            return self.finish(id, None, actions);
        }
        self.schedule_release(id, actions);
        self.continue_after(now, &end, expired, actions);
    }

    fn record_outcome(&mut self, now: f64, end: &AttemptEnd, state: &RequestState, waited: bool) {
        let cut = now + 2.0 * self.settings.tick_s >= state.deadline;
        let mark = match end.outcome {
            Outcome::Served | Outcome::PrefillDone => Some(false),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => Some(true),
            Outcome::TimedOut | Outcome::Cancelled if !cut && !state.answered && waited => {
                Some(true)
            }
            _ => None,
        };
        let Some(server) = self.servers.get_mut(&end.server) else {
            return;
        };
        let whole = server.role != Role::Prefill && state.kv_state.known().is_none();
        mark.into_iter()
            .for_each(|bad| server.mark(now, bad, end.elapsed_s));
        match end.outcome {
            Outcome::TimedOut | Outcome::Cancelled if waited => {
                server.excess_delay = (
                    server.excess_delay(now).max(non_negative(end.elapsed_s)),
                    now,
                );
            }
            Outcome::Rejected {
                state_missing: false,
            } => server.closed_until = server.closed_until.max(now + REJECTION_PAUSE_S),
            Outcome::PrefillDone => {
                self.learn_prefill_time(now, end, state, non_negative(end.elapsed_s));
                self.response_rates[Role::Prefill as usize].0 += 1.0;
                self.count_choice(Role::Decode);
            }
            Outcome::Served if whole => self.learn_prefill_time(now, end, state, state.first_after),
            _ => {}
        }
    }

    /// What others have seen. One voice condemns no server, and what was heard here since counts more.
    /// Failing costs time as an own failure does, young is as by the list, draining closes it while told.
    /// Harm: where two are wrong together it is passed by for a while, by a price or for a second.
    pub(super) fn on_peer_report(
        &mut self,
        now: f64,
        id: ServerId,
        told: (Observation, u32, u32, f64),
    ) {
        let (observation, reporters, of, age_s) = told;
        let Some(server) = self.servers.get_mut(&id).filter(|_| reporters >= 2) else {
            return;
        };
        match observation {
            Observation::Failing if server.last_success_at < now - age_s => {
                let (role, failure_cost) = (
                    server.role,
                    decayed(server.failure_cost, now, HALF_LIFE_S).max(REPORTED_FAILURE_COST_S),
                );
                server.reported_failing_at = now;
                // Where many of its like are told to fail it is the way to them.
                let like = || {
                    self.servers
                        .values()
                        .filter(|server| server.role == role && server.ready())
                };
                let failing = like()
                    .filter(|server| now - server.reported_failing_at < REPORTED_FAILING_S)
                    .count() as f64;
                let few = failing <= 1.0
                    || failing <= MAX_REPORTED_FAILING_FRACTION * like().count() as f64;
                self.servers.entry(id).and_modify(|server| {
                    server.failure_cost = if few {
                        (failure_cost, now)
                    } else {
                        server.failure_cost
                    }
                });
            }
            Observation::WarmingUp if server.entry.booted_at <= 0.0 => {
                server.entry.booted_at = now - age_s
            }
            Observation::Draining if 2 * reporters > of => {
                server.closed_until = server.closed_until.max(now + REPORTED_DRAIN_S)
            }
            _ => {}
        }
    }

    fn learn_prefill_time(&mut self, now: f64, end: &AttemptEnd, state: &RequestState, took: f64) {
        let hit = non_negative(end.prefix_hit_tokens).min(state.request.prompt_tokens);
        self.prefixes.note(now, end.server, &state.request);
        let total = state.request.prompt_tokens;
        self.typical_prompt.0 += 2.0 * NEWEST_WEIGHT * (total - hit - self.typical_prompt.0);
        self.typical_prompt.1 += 2.0 * NEWEST_WEIGHT * (total - self.typical_prompt.1);
        let Some(server) = self.servers.get(&end.server) else {
            return;
        };
        let (alone, capacity) = (
            self.prefill_s(server, total - hit, total),
            self.capacity(server, now),
        );
        let Some(server) = self.servers.get_mut(&end.server) else {
            return;
        };
        if state.queue_s < 0.5 * alone {
            // A queue unseen is the excess's part, so that surprises upwards pull less.
            let ratio = ((took - state.queue_s) * capacity / alone * server.pace).clamp(0.3, 8.0);
            let step = if ratio > server.pace {
                0.5 * NEWEST_WEIGHT
            } else {
                NEWEST_WEIGHT
            };
            server.pace = (server.pace + step * (ratio - server.pace)).clamp(0.6, 8.0);
        }
        let surprise = (took - state.queue_s - alone / capacity).max(0.0);
        server.excess_delay = (0.5 * server.excess_delay(now) + 0.5 * surprise, now);
    }

    pub(super) fn record_load_report(&mut self, now: f64, id: ServerId, report: &[f64]) {
        let told = !report.is_empty() && report.iter().all(|v| v.is_finite());
        let Some(server) = self.servers.get_mut(&id).filter(|_| told) else {
            return;
        };
        let reads = server.role == Role::Prefill;
        let own_held = (server.in_flight.len() + server.streaming.len()) as f64;
        let mut told = Report::default();
        for (field, &value) in self.settings.report_fields.iter().zip(report) {
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
        (server.report, server.reported_at, server.tokens_at_report) =
            (told, now, server.own(|t| t.0));
        let kind = usize::from(server.entry.kind);
        let cold = self
            .servers
            .get(&id)
            .is_some_and(|server| self.capacity(server, now) < 1.0);
        let similar_load = &mut self.role_load[kind][usize::from(cold)];
        *similar_load = (told.blend(similar_load.0, ROLE_LOAD_NEWEST_WEIGHT), now);
    }

    pub(super) fn on_probe(
        &mut self,
        now: f64,
        id: ServerId,
        end: Outcome,
        took: f64,
        actions: &mut Actions,
    ) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.probe_in_flight = false;
            if matches!(end, Outcome::ConnectFailed | Outcome::Reset) {
                server.mark(now, true, took);
            }
        }
        let answered = |(request, state): (&RequestId, &mut RequestState)| {
            state.probed.retain(|probed| *probed != id);
            (state.probed.is_empty() && matches!(state.stage, Stage::Probing(_)))
                .then_some(*request)
        };
        let done: Vec<RequestId> = self.requests.iter_mut().filter_map(answered).collect();
        done.into_iter()
            .for_each(|state| self.place(now, state, actions));
    }
}
