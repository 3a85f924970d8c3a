//! Handling of a new request: admission, load probes and the choice of its prefill server.

use super::admission::AdmissionController;
use super::decay::non_negative;
use super::request_state::{memory_use, placement_key, sanitize, RequestState, Stage};
use super::server::Server;
use super::{set_timer, Actions, Router, PROBE_WAIT_S};
use crate::interface::{
    Action, Cause, ChoiceExplanation, ExplainedChoice, ReportMode, Request, RequestId, Role,
    ServerId,
};

/// Number of servers probed per choice, as in the power of two choices. One probe costs about 0.3%
/// of a request.
const PROBES_PER_CHOICE: usize = 2;
/// A request waits for its probes only if the client's remaining time is at least this multiple of
/// the probe wait.
const MIN_TIME_LEFT_IN_PROBE_WAITS: f64 = 10.0;
/// Retry-after, in seconds, when no server may take the prompt.
pub(super) const NO_SERVER_RETRY_AFTER_S: f64 = 1.0;
/// Lowest retry-after, in seconds, when the first token is expected too late.
const MIN_LATE_RETRY_AFTER_S: f64 = 0.2;

/// A decode server that may be probed. Servers in the prefill server's cell sort first, then
/// servers sort by a pseudo-random draw.
#[derive(Clone, Copy, Debug)]
struct ProbeCandidate {
    other_cell: bool,
    draw: f64,
    server: ServerId,
}

impl ProbeCandidate {
    /// Returns whether this candidate sorts before `other` or equal to it.
    fn precedes(&self, other: &ProbeCandidate) -> bool {
        self.other_cell
            .cmp(&other.other_cell)
            .then(self.draw.total_cmp(&other.draw))
            .is_le()
    }
}

impl Router {
    pub(super) fn on_arrival(&mut self, now: f64, mut request: Request, out: &mut Actions) {
        sanitize(&mut request, self.settings.classes.len());
        let (id, time_left_s) = (request.id, non_negative(request.time_left_s));
        let state = self.register_arrival(now, request, time_left_s);
        self.retry_budget.record_arrival();
        let deadline_margin_s = 2.0 * self.settings.tick_s;
        set_timer(id, now + (time_left_s - deadline_margin_s).max(0.0), out);
        if self.endpoint_list_pending {
            return self.await_endpoint_list(now, state, out);
        }
        self.admit(now, state, time_left_s, out);
    }

    /// Grants a new request its slow-start turns and routes it, after probes of its prefix replicas
    /// if these are needed.
    pub(super) fn admit(
        &mut self,
        now: f64,
        mut state: RequestState,
        time_left_s: f64,
        out: &mut Actions,
    ) {
        let id = state.request.id;
        let context = self.selector().context(now);
        self.answer_rates.observe(now, &context);
        self.grant_slow_start_turns(now, &mut state, &context);
        let replicas = self.selector().prefix_replicas(&state, &context, now);
        self.requests.insert(id, state);
        let probed = self.probe(now, &replicas, out);
        if probed.is_empty() || time_left_s < MIN_TIME_LEFT_IN_PROBE_WAITS * PROBE_WAIT_S {
            return self.route_new_request(now, id, out);
        }
        let until = now + PROBE_WAIT_S;
        if let Some(state) = self.requests.get_mut(&id) {
            state.stage = Stage::Probing { until };
            state.pending_probes = probed;
        }
        set_timer(id, until, out);
    }

    /// Counts a new request in the tenant's quota, in the occurrences of its placement key and in
    /// the slow-start statistics, and creates the request's state.
    fn register_arrival(&mut self, now: f64, request: Request, time_left_s: f64) -> RequestState {
        let objective_s = self.selector().latency_objective_s(&request);
        let over_quota = self.admission.is_over_quota(now, request.tenant);
        let key = placement_key(&request);
        self.slow_start.record_choice(Role::Prefill);
        self.traffic_mean.record_arrival(&request, now);
        RequestState {
            placement_key: key,
            recent_key_fraction: self.admission.record_key(key),
            memory: memory_use(&request),
            deadline: now + time_left_s,
            max_ttft_s: AdmissionController::max_ttft_s(objective_s, over_quota, time_left_s),
            first_token_due_at: now + objective_s,
            request,
            ..RequestState::default()
        }
    }

    /// Chooses the prefill server of a new request, or rejects the request if its first token is
    /// expected too late.
    pub(super) fn route_new_request(&mut self, now: f64, id: RequestId, out: &mut Actions) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.stage = Stage::Idle;
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let Some(estimate) = self.selector().best_prefill_server(state, now) else {
            return self.reject_or_fail(id, NO_SERVER_RETRY_AFTER_S, Cause::NoPrefillServer, out);
        };
        let limit_s = state.max_ttft_s;
        let total_s = estimate.ttft_s;
        let lateness_s = self.expected_lateness_s(now, total_s);
        self.last_choice = ExplainedChoice {
            request: id,
            explanation: ChoiceExplanation {
                queue_s: estimate.queue_s,
                prefill_s: estimate.prefill_s,
                total_s,
                lateness_s,
                limit_s,
            },
        };
        if let Some(state) = self.requests.get_mut(&id) {
            state.first_token_due_at = now + total_s;
        }
        if total_s + lateness_s > limit_s {
            let retry_after_s = (total_s + lateness_s - limit_s).max(MIN_LATE_RETRY_AFTER_S);
            return self.reject_or_fail(id, retry_after_s, Cause::ExpectedLate, out);
        }
        self.send_prefill(now, id, estimate, out);
    }

    fn expected_lateness_s(&self, now: f64, estimate_s: f64) -> f64 {
        let waiting_s = self
            .requests
            .values()
            .filter(|state| state.awaits_first_token())
            .map(|state| state.lateness_s(now));
        self.admission
            .expected_lateness_s(now, estimate_s, waiting_s)
    }

    /// Probes those of the first few servers that have no recent load report or probe, and returns
    /// the ones probed. Probes are sent only for a pending choice, because many routers that probe
    /// periodically would load the servers to no purpose.
    pub(super) fn probe(
        &mut self,
        now: f64,
        servers: &[ServerId],
        out: &mut Actions,
    ) -> Vec<ServerId> {
        let mut probed = Vec::new();
        if self.settings.report_mode == ReportMode::Off || !self.settings.limits.may_probe {
            return probed;
        }
        for &id in servers.iter().take(PROBES_PER_CHOICE) {
            let Some(server) = self.servers.get_mut(id) else {
                continue;
            };
            if server.health.needs_probe(server.load.reported_at(), now) {
                server.health.probe_sent(now);
                out.push(Action::Probe { server: id });
                probed.push(id);
            }
        }
        probed
    }

    /// Probes a few decode servers that may take the KV state while the prefill runs, those in the
    /// prefill server's cell first.
    pub(super) fn probe_decode_servers(
        &mut self,
        now: f64,
        id: RequestId,
        prefill_server_id: ServerId,
        out: &mut Actions,
    ) {
        let (Some(state), Some(prefill_server)) =
            (self.requests.get(&id), self.servers.get(prefill_server_id))
        else {
            return;
        };
        if prefill_server.role != Role::Prefill {
            return;
        }
        let candidates = self.decode_servers_to_probe(state, prefill_server);
        self.probe(now, &candidates, out);
    }

    /// Returns the first few decode servers in probing order, without sorting all of them.
    fn decode_servers_to_probe(
        &self,
        state: &RequestState,
        prefill_server: &Server,
    ) -> Vec<ServerId> {
        let selector = self.selector();
        let mut candidates: Vec<ProbeCandidate> = Vec::with_capacity(PROBES_PER_CHOICE + 1);
        for server in self.servers.iter() {
            if server.role != Role::Decode || !server.is_ready() {
                continue;
            }
            let candidate = ProbeCandidate {
                other_cell: server.entry.cell != prefill_server.entry.cell,
                draw: selector.draw(server, state),
                server: server.entry.id,
            };
            let position = candidates.partition_point(|other| other.precedes(&candidate));
            candidates.insert(position, candidate);
            candidates.truncate(PROBES_PER_CHOICE);
        }
        candidates
            .into_iter()
            .map(|candidate| candidate.server)
            .collect()
    }
}
