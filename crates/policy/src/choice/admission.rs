//! Admission of an arrival, by its estimate and its tenant's share, and the probes for it.

use super::*;

/// Seconds for which a report or a probe under way is fresh enough not to probe again.
const MIN_PROBE_INTERVAL_S: f64 = 0.5;
/// Servers probed for one choice: power of two choices; each probe costs as much as 0.3% of a request.
const PROBES_PER_CHOICE: usize = 2;
/// Multiple of an estimate that it may add, so that a place which looks free is still tried.
const MAX_LATENESS_RATIO: f64 = 2.0;
/// Share of the output ceiling that an answer holds of memory in the mean of its run.
const OUTPUT_SHARE: f64 = 0.2;
const REJECT_RATIO: f64 = 1.2; // Refuse when the first token is expected later than this multiple of its aim.
const OVER_QUOTA_REJECT_RATIO: f64 = 0.35; // The same for what is over its tenant's share.
const RETRY_TOKENS_PER_ARRIVAL: f64 = 0.4; // Further attempts earned by one arrival.
const QUOTA_BURST_S: f64 = 2.0; // Seconds of a tenant's share that may come at once.
const QUOTA_BURST_REQUESTS: f64 = 3.0; // Requests beyond that, as few arrivals are a rough count.
const MAX_RECENT_KEYS: usize = 16; // Latest requests that show a hot key.

impl Router {
    pub(super) fn on_arrival(&mut self, now: f64, mut request: Request, actions: &mut Actions) {
        request.class = request
            .class
            .min(self.settings.classes.len().saturating_sub(1) as u16);
        request.prompt_tokens = non_negative(request.prompt_tokens).max(1.0);
        request.prefix_tokens = non_negative(request.prefix_tokens).min(request.prompt_tokens);
        request.max_output_tokens = non_negative(request.max_output_tokens).max(1.0);
        let told = request.output_tokens.map(|t| {
            (
                0.5 * non_negative(t.mean),
                non_negative(t.p90 - 0.5 * non_negative(t.mean)),
            )
        });
        let (mean, more) = told.unwrap_or((OUTPUT_SHARE * request.max_output_tokens, 0.0));
        let tokens = (request.prompt_tokens + mean, more);
        let (id, left) = (request.id, non_negative(request.time_left_s));
        let latency_objective = self.latency_objective(&request);
        let answered = self.over_quota(now, request.tenant);
        let max_first_token_s = (latency_objective
            * if answered {
                OVER_QUOTA_REJECT_RATIO
            } else {
                REJECT_RATIO
            })
        .min(left);
        let key = if request.prefix != 0 {
            request.prefix
        } else {
            request.session
        };
        self.count_choice(Role::Prefill);
        let same = self.recent_keys.iter().filter(|k| **k == key).count() as f64;
        let key_share = same / self.recent_keys.len().max(1) as f64;
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(MAX_RECENT_KEYS);
        let (deadline, expected_first_token_at) = (now + left, now + latency_objective);
        let state = RequestState {
            request,
            key,
            key_share,
            tokens,
            deadline,
            max_first_token_s,
            expected_first_token_at,
            ..RequestState::default()
        };
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_ARRIVAL).min(MAX_RETRY_TOKENS);
        let prefix_replicas = self.prefix_replicas(now, &state, &self.context(now));
        self.requests.insert(id, state);
        set_timer(
            id,
            now + (left - 2.0 * self.settings.tick_s).max(0.0),
            actions,
        );
        let probed = self.probe(now, &prefix_replicas, actions);
        if probed.is_empty() || left < 10.0 * PROBE_WAIT_S {
            return self.place(now, id, actions);
        }
        let until = now + PROBE_WAIT_S;
        self.requests
            .entry(id)
            .and_modify(|state| (state.stage, state.probed) = (Stage::Probing(until), probed));
        set_timer(id, until, actions);
    }

    pub(super) fn place(&mut self, now: f64, id: RequestId, actions: &mut Actions) {
        self.requests
            .entry(id)
            .and_modify(|state| state.stage = Stage::Idle);
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let Some(e) = self.best_prefill_server(state, now) else {
            return self.reject_or_fail(id, 1.0, Cause::NoPrefillServer, actions);
        };
        let (total_s, max_first_token_s, slip_s) = (
            e.total_s,
            state.max_first_token_s,
            self.expected_lateness(now)
                .min(MAX_LATENESS_RATIO * e.total_s),
        );
        self.last_choice = ExplainedChoice {
            request: id,
            explanation: ChoiceExplanation {
                queue_s: e.queue_s,
                prefill_s: e.prefill_s,
                total_s,
                lateness_s: slip_s,
                limit_s: max_first_token_s,
            },
        };
        self.requests
            .entry(id)
            .and_modify(|state| state.expected_first_token_at = now + e.total_s);
        if total_s + slip_s > max_first_token_s {
            return self.reject_or_fail(
                id,
                (total_s + slip_s - max_first_token_s).max(0.2),
                Cause::ExpectedLate,
                actions,
            );
        }
        self.send_prefill(now, id, e, actions);
    }

    /// Probes the first few of which nothing fresh is known; returns those asked. Tied to a choice at hand:
    /// many routers probing by the clock would load the fleet for nothing.
    pub(super) fn probe(
        &mut self,
        now: f64,
        servers: &[ServerId],
        actions: &mut Actions,
    ) -> Vec<ServerId> {
        let pays = self.settings.report_mode != ReportMode::Off && self.settings.limits.may_probe;
        let mut probed = Vec::new();
        for &id in servers
            .iter()
            .take(if pays { PROBES_PER_CHOICE } else { 0 })
        {
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            if now - server.reported_at.max(server.probed_at) > MIN_PROBE_INTERVAL_S {
                (server.probed_at, server.probe_in_flight) = (now, true);
                actions.push(Action::Probe { server: id });
                probed.push(id);
            }
        }
        probed
    }

    /// Probes a few writers that a read's state may go to, its own cell's first, while it is read.
    pub(super) fn probe_decode_servers(
        &mut self,
        now: f64,
        id: RequestId,
        prefill_server: ServerId,
        actions: &mut Actions,
    ) {
        let (Some(state), Some(from)) = (self.requests.get(&id), self.servers.get(&prefill_server))
        else {
            return;
        };
        let writes = |server: &&Server| {
            server.role == Role::Decode && server.ready() && from.role == Role::Prefill
        };
        let rank = |server: &Server| {
            (
                server.entry.cell != from.entry.cell,
                self.draw(state, server),
                server.entry.id,
            )
        };
        let before = |a: &(bool, f64, ServerId), b: &(bool, f64, ServerId)| {
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        // The first few of them in order, without ordering the others.
        let mut few: Vec<_> = Vec::with_capacity(PROBES_PER_CHOICE + 1);
        for ranked in self.servers.values().filter(writes).map(rank) {
            let at = few.partition_point(|known| before(known, &ranked).is_le());
            few.insert(at, ranked);
            few.truncate(PROBES_PER_CHOICE);
        }
        let few: Vec<ServerId> = few.into_iter().map(|w| w.2).collect();
        self.probe(now, &few, actions);
    }

    /// How late first tokens come against the estimate at admission, whatever the cause. Harm: over-refusal.
    fn expected_lateness(&self, now: f64) -> f64 {
        let waits = |state: &&RequestState| {
            !state.answered && matches!(state.stage, Stage::InFlight | Stage::AwaitingDecode)
        };
        let ages = || {
            self.requests
                .values()
                .filter(waits)
                .map(|state| (now - state.expected_first_token_at).max(0.0))
        };
        decayed(self.lateness, now, HALF_LIFE_S)
            .max(ages().sum::<f64>() / ages().count().max(1) as f64)
    }

    /// Another part of what all share, from a moment on that may lie back; until then the last one counts.
    pub(super) fn on_quota_fraction(&mut self, quota_fraction: f64, since: f64) {
        (0..self.tenant_allowances.len() as u32)
            .for_each(|tenant| _ = self.refill_quota(tenant, since));
        self.quota_fraction = quota_fraction;
    }

    /// Requests that a tenant may begin here within its share.
    fn refill_quota(&mut self, tenant: u32, now: f64) -> Option<&mut (f64, f64)> {
        let slot = self.tenant_allowances.get_mut(tenant as usize)?;
        let quota_fraction = self.settings.tenants[tenant as usize].quota_rps * self.quota_fraction;
        let burst = QUOTA_BURST_S * quota_fraction + QUOTA_BURST_REQUESTS;
        *slot = (
            (slot.0 + (now - slot.1).max(0.0) * quota_fraction).min(burst),
            now.max(slot.1),
        );
        Some(slot)
    }

    /// Whether a tenant's traffic here runs above this router's part of its share.
    fn over_quota(&mut self, now: f64, tenant: u32) -> bool {
        let Some(slot) = self.refill_quota(tenant, now) else {
            return false;
        };
        let left = slot.0;
        slot.0 = (left - 1.0).max(0.0);
        left < 1.0
    }
}
