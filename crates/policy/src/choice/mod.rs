//! Routing decisions: [`Router`] passes each event to its components and is the only type that
//! emits actions.
//!
//! Each component owns its state and returns values. `selection::Selector` chooses servers; it
//! reads the components and modifies none. The router's event handlers are in `arrivals`,
//! `attempts`, `completion` and `endpoint_list_wait`.

mod admission;
mod answer_rate;
mod arrivals;
mod attempts;
mod completion;
mod decay;
mod decode_choice;
mod endpoint_list_wait;
mod hash;
mod health;
mod held_states;
mod load;
mod output_work;
mod prefill_choice;
mod prefix_cache;
mod replica_ranking;
mod request_state;
mod retry_budget;
mod retry_safety;
mod selection;
mod server;
mod server_table;
mod slow_start;
mod slow_start_account;
mod slow_start_turns;
mod traffic_mean;

use std::collections::BTreeMap;

use self::admission::AdmissionController;
use self::answer_rate::AnswerRates;
use self::decay::non_negative;
use self::load::LoadEstimator;
use self::prefix_cache::PrefixCacheIndex;
use self::request_state::RequestState;
use self::retry_budget::RetryBudget;
use self::retry_safety::RetrySafety;
use self::selection::Selector;
use self::server_table::{PeerObservation, ServerTable};
use self::slow_start::SlowStartLimiter;
use self::traffic_mean::TrafficMean;
use crate::interface::{
    Action, Cause, Event, ExplainedChoice, FailedRequest, ListForm, Outcome, RequestId,
    ServerEntry, ServerId, Settings, SlowStartStatus,
};

/// Weight of the newest sample in exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// Seconds that a new request waits for the load probes sent for it: a few round trips, including a
/// connection handshake.
const PROBE_WAIT_S: f64 = 0.015;

/// Actions in the order in which the dispatcher carries them out.
type Actions = Vec<Action>;

/// Makes the routing decisions of one dispatcher: takes events, returns actions, and has no clock,
/// I/O or randomness of its own.
pub struct Router {
    settings: Settings,
    seed: u64,
    servers: ServerTable,
    requests: BTreeMap<RequestId, RequestState>,
    /// Whether no endpoint list may be used yet.
    endpoint_list_pending: bool,
    prefix_cache_index: PrefixCacheIndex,
    load: LoadEstimator,
    slow_start: SlowStartLimiter,
    traffic_mean: TrafficMean,
    answer_rates: AnswerRates,
    admission: AdmissionController,
    retry_budget: RetryBudget,
    retry_safety: RetrySafety,
    last_choice: ExplainedChoice,
    last_failure: Option<FailedRequest>,
}

impl Router {
    /// Creates a router without servers. The same seed and events always give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Router {
            seed,
            servers: ServerTable::new(settings.kinds.clone()),
            requests: BTreeMap::new(),
            endpoint_list_pending: false,
            prefix_cache_index: PrefixCacheIndex::default(),
            load: LoadEstimator::new(&settings),
            slow_start: SlowStartLimiter::new(settings.slow_start.clone()),
            traffic_mean: TrafficMean::default(),
            answer_rates: AnswerRates::default(),
            admission: AdmissionController::new(settings.dispatchers, &settings.tenants),
            retry_budget: RetryBudget::new(),
            retry_safety: RetrySafety::new(&settings),
            last_choice: ExplainedChoice::default(),
            last_failure: None,
            settings,
        }
    }

    /// Returns the estimate behind the last choice of a prefill server; request 0 with all values 0
    /// before the first choice.
    pub fn last_choice(&self) -> ExplainedChoice {
        self.last_choice
    }

    /// Returns the last request that this router ended without serving it, and why.
    pub fn last_failure(&self) -> Option<FailedRequest> {
        self.last_failure
    }

    /// Returns what slow start assumes of a server at clock time `now`, or `None` if the server is
    /// unknown.
    pub fn slow_start_status(&self, server: ServerId, now: f64) -> Option<SlowStartStatus> {
        let server = self.servers.get(server)?;
        let (account, start_learned_at) = (&server.slow_start, server.start_learned_at);
        let speed = self.answer_rates.speed(server.entry.id);
        let answers_per_s = self.answer_rates.per_server_s(server.role);
        let own_per_s = answers_per_s.map(|mean| mean * speed);
        let status = self.slow_start.status(account, start_learned_at, now);
        Some(SlowStartStatus {
            speed,
            window_budget: own_per_s.map(|per_s| self.slow_start.window_budget(&status, per_s)),
            ..status
        })
    }

    /// Handles one event at clock time `now`, in seconds, and appends the resulting actions to
    /// `out`.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointListPending => self.endpoint_list_pending = true,
            Event::Servers { form, entries } => self.on_endpoint_list(now, form, entries, out),
            Event::Arrival(request) => self.on_arrival(now, request, out),
            Event::FirstToken {
                request,
                server,
                elapsed_s,
                ..
            } => self.on_first_token(now, request, server, elapsed_s),
            Event::AttemptEnded(end) => self.on_attempt_end(now, end, out),
            Event::ClientDisconnected { request } => {
                self.cancel(request, out);
                self.finish(request, None, out);
            }
            Event::Timer { label } => self.on_timer(now, label, out),
            Event::ProbeEnded {
                server,
                outcome,
                elapsed_s,
                report,
            } => {
                self.record_load_report(now, server, &report);
                self.on_probe_end(now, server, outcome, elapsed_s, out);
            }
            Event::PeerReport {
                server,
                observation,
                reporters,
                peers,
                age_s,
            } => {
                let age_s = non_negative(age_s);
                let report = PeerObservation {
                    observation,
                    reporters,
                    peers,
                    age_s,
                };
                self.servers.record_peer_report(now, server, report);
            }
            Event::QuotaFraction { fraction, since } => {
                self.admission.set_quota_fraction(fraction, since);
            }
            Event::ReservationAnswer { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn on_endpoint_list(
        &mut self,
        now: f64,
        form: ListForm,
        entries: Vec<ServerEntry>,
        out: &mut Actions,
    ) {
        let subscription_lost = matches!(form, ListForm::Cached | ListForm::Failed);
        if self.settings.must_subscribe && subscription_lost {
            out.push(Action::Subscribe);
        }
        self.servers.apply_endpoint_list(now, form, entries);
        if self.endpoint_list_pending && form != ListForm::Failed {
            self.route_waiting_requests(now, out);
        }
    }

    fn on_probe_end(
        &mut self,
        now: f64,
        id: ServerId,
        outcome: Outcome,
        elapsed_s: f64,
        out: &mut Actions,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.probe_ended();
            if matches!(outcome, Outcome::ConnectFailed | Outcome::Reset) {
                server.health.record_failure(elapsed_s, now);
            }
        }
        let mut fully_probed = Vec::new();
        for (request, state) in &mut self.requests {
            state.pending_probes.retain(|server| *server != id);
            if state.pending_probes.is_empty() && state.is_probing() {
                fully_probed.push(*request);
            }
        }
        for request in fully_probed {
            self.route_new_request(now, request, out);
        }
    }

    fn record_load_report(&mut self, now: f64, id: ServerId, values: &[f64]) {
        if let Some(server) = self.servers.get_mut(id) {
            let capacity = self.slow_start.capacity(server.booted_at(), now);
            self.load.record_report(now, server, capacity, values);
        }
    }

    fn selector(&self) -> Selector<'_> {
        Selector {
            settings: &self.settings,
            seed: self.seed,
            servers: &self.servers,
            load: &self.load,
            slow_start: &self.slow_start,
            prefix_cache_index: &self.prefix_cache_index,
            retry_safety: self.retry_safety,
        }
    }

    fn record_failed_request(&mut self, request: RequestId, cause: Cause) {
        self.last_failure = Some(FailedRequest { request, cause });
    }
}

/// Sets a timer at clock time `at`, in seconds; the timer's label is the request id.
fn set_timer(request: RequestId, at: f64, out: &mut Actions) {
    out.push(Action::SetTimer {
        at,
        label: u64::from(request),
    });
}
