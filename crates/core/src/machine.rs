//! The [`Machine`]: one step per input, the loop that runs the decision module, and the handling of timers.

use std::collections::{BTreeMap, VecDeque};

use bitternlatch_budget::book::Accounts;
use bitternlatch_identity::rights::AccessRights;
use bitternlatch_identity::Caller;
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::{Action, Event, Outcome, RequestId};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::budget_leases::BudgetLeases;
use crate::cluster_mode::Peers;
use crate::contexts::Contexts;
use crate::idempotency::IdempotencyKeys;
use crate::links::Links;
use crate::load_shedding::{self, LoadShedding};
use crate::observations::{self, Observations};
use crate::output_lengths::OutputLengths;
use crate::quota::QuotaLease;
use crate::requests::Requests;
use crate::response_ids::ResponseIds;
use crate::servers::ServerTable;
use crate::sessions::Sessions;
use crate::settings::Settings;
use crate::timers::{Timer, Timers};
use crate::types::{Input, Level, LinkId, Micros, Output, SessionId};
use crate::workflows::{Workflows, RESULT_DURABLE_WITHIN_S};

/// Shortest interval between two batches of events that the decision module may assume, seconds. It keeps a margin of
/// some such intervals before deadlines.
pub(crate) const TICK_S: f64 = 0.002;
/// Interval at which expired keys and conversation contexts are removed and idle links are closed, seconds.
const SWEEP_S: f64 = 1.0;
/// Time after which a health check of a model server counts as timed out, seconds.
pub(crate) const HEALTH_CHECK_TIMEOUT_S: f64 = 1.0;

/// A health check that was sent to a model server and is not answered yet.
pub(crate) struct PendingHealthCheck {
    pub link: LinkId,
    pub sent: Micros,
}

/// One event passed to the decision module and the actions it returned, for programs that compare the decision module
/// with another implementation.
#[derive(Clone, Debug, PartialEq)]
pub struct TracedDecision {
    /// Clock time, seconds.
    pub now_s: f64,
    /// The event passed to the decision module.
    pub event: Event,
    /// The actions that the decision module returned, in order.
    pub actions: Vec<Action>,
}

/// Passes one event to the router and appends the actions it returns. If `trace` is `Some`, the event and the actions
/// are appended to it.
pub fn decide(
    router: &mut Router,
    now: Micros,
    event: Event,
    trace: &mut Option<Vec<TracedDecision>>,
    actions: &mut Vec<Action>,
) {
    let traced = trace.is_some().then(|| event.clone());
    router.handle(now.seconds(), event, actions);
    if let (Some(trace), Some(event)) = (trace.as_mut(), traced) {
        trace.push(TracedDecision {
            now_s: now.seconds(),
            event,
            actions: actions.clone(),
        });
    }
}

/// Sizes of the machine's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Open client sessions.
    pub sessions: usize,
    /// Requests in the table, including answered ones whose attempt has not ended.
    pub requests: usize,
    /// Listed model servers.
    pub servers: usize,
    /// Connections over which the model server has sent its hello message.
    pub open_links: usize,
    /// Idempotency keys that are stored.
    pub keys: usize,
}

/// One dispatcher. See the crate documentation.
pub struct Machine {
    pub(crate) settings: Settings,
    /// Number that identifies this run of the dispatcher; part of every id that it sends out.
    pub(crate) instance: u64,
    pub(crate) response_ids: ResponseIds,
    pub(crate) router: Router,
    pub(crate) requests: Requests,
    pub(crate) next_request: RequestId,
    /// Total size of the prompts of all requests in the table, bytes.
    pub(crate) prompt_bytes: usize,
    pub(crate) sessions: Sessions,
    pub(crate) rights: Option<AccessRights>,
    /// How far the wall clock by which credentials expire is ahead of the machine's clock, microseconds.
    pub(crate) credential_clock_offset_us: i64,
    pub(crate) links: Links,
    pub(crate) servers: ServerTable,
    pub(crate) keys: IdempotencyKeys,
    pub(crate) contexts: Contexts,
    pub(crate) accounts: Accounts,
    pub(crate) leases: BudgetLeases,
    pub(crate) peers: Peers,
    pub(crate) quota_lease: QuotaLease,
    pub(crate) observations: Observations,
    pub(crate) load_shedding: LoadShedding,
    pub(crate) output_lengths: OutputLengths,
    pub(crate) workflows: Workflows,
    pub(crate) timers: Timers<Timer>,
    pub(crate) health_checks: BTreeMap<u64, PendingHealthCheck>,
    pub(crate) next_health_check: u64,
    pub(crate) events: VecDeque<Event>,
    pub(crate) stopping: bool,
    stopped: bool,
    /// Whether the first step has set the periodic timers.
    periodic_timers_set: bool,
    rng: Xoshiro256PlusPlus,
    trace: Option<Vec<TracedDecision>>,
}

impl Machine {
    /// A dispatcher without servers, sessions or requests. The seed is the only source of randomness; together with the
    /// dispatcher's name it identifies the run.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let limits = &settings.requests;
        let response_ids = ResponseIds::new(&settings.name, seed);
        Machine {
            instance: response_ids.instance(),
            response_ids,
            router: Router::new(settings.policy(), rng.next_u64()),
            requests: Requests::new(),
            next_request: 1,
            prompt_bytes: 0,
            sessions: Sessions::default(),
            rights: None,
            credential_clock_offset_us: 0,
            links: Links::default(),
            servers: ServerTable::new(&settings.zone),
            keys: IdempotencyKeys::new(
                limits.max_idempotency_keys,
                limits.max_idempotency_bytes,
                limits.idempotency_key_lifetime_s,
            ),
            contexts: Contexts::new(limits.max_context_bytes),
            accounts: Accounts::default(),
            leases: BudgetLeases::default(),
            peers: Peers::default(),
            quota_lease: QuotaLease::default(),
            observations: Observations::default(),
            load_shedding: LoadShedding::new(&settings, seed.rotate_left(17)),
            output_lengths: OutputLengths::default(),
            workflows: Workflows::default(),
            timers: Timers::default(),
            health_checks: BTreeMap::new(),
            next_health_check: 1,
            events: VecDeque::new(),
            stopping: false,
            stopped: false,
            periodic_timers_set: false,
            rng,
            trace: None,
            settings,
        }
    }

    /// The seed that a machine created with `seed` passes to its decision module.
    pub fn router_seed(seed: u64) -> u64 {
        Xoshiro256PlusPlus::seed_from_u64(seed).next_u64()
    }

    /// Records the decision module's events and actions from now on, for [`Machine::take_trace`].
    pub fn enable_trace(&mut self) {
        self.trace = Some(Vec::new());
    }

    /// The trace since the last call; empty unless [`Machine::enable_trace`] was called.
    pub fn take_trace(&mut self) -> Vec<TracedDecision> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Sizes of the machine's tables now.
    pub fn counts(&self) -> Counts {
        Counts {
            sessions: self.sessions.len(),
            requests: self.requests.len(),
            servers: self.servers.len(),
            open_links: self.links.open_count(),
            keys: self.keys.len(),
        }
    }

    /// When the next [`Input::Tick`] is due at the latest; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Processes one input at clock time `now` and appends the resulting outputs, in order. Timers that are due run
    /// before the input.
    pub fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if !self.periodic_timers_set {
            self.periodic_timers_set = true;
            self.timers.set(now.after(SWEEP_S), Timer::Sweep);
            self.open_accounts(now);
            self.open_budget_leases(now);
            if self.settings.cluster.is_some() {
                self.timers.set(
                    now.after(observations::OBSERVE_INTERVAL_S),
                    Timer::Observations,
                );
            }
            if self.load_shedding.is_on() {
                self.timers.set(
                    now.after(load_shedding::REPORT_INTERVAL_S),
                    Timer::LoadShedding,
                );
            }
        }
        self.apply_quota_lease(now);
        for timer in self.timers.take_due(now) {
            self.on_timer(now, timer, out);
            self.process_events(now, out);
        }
        self.on_input(now, input, out);
        self.process_events(now, out);
        self.close_ending_sessions(out);
        if self.stopping
            && !self.stopped
            && !self.workflows.has_pending()
            && self.requests.values().all(|r| r.answered)
        {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }

    fn on_input(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::ServerList(list) => self.on_server_list(now, list, out),
            Input::SessionOpened { session, caller } => self.on_session(session, caller, out),
            Input::SessionRenewed { session, caller } => {
                self.on_session_renewed(session, caller, out)
            }
            Input::RenewalRejected { session, code } => {
                self.on_renewal_rejected(session, &code, out)
            }
            Input::BudgetLeases { number, leases } => {
                self.on_budget_leases(now, number, &leases, out)
            }
            Input::CredentialsRevoked(ids) => self.on_credentials_revoked(&ids, out),
            Input::CredentialClockOffset { ahead_us } => {
                self.on_credential_clock_offset(now, ahead_us, out)
            }
            Input::Rights(text) => self.on_rights(&text, out),
            Input::SessionText { session, text } => self.on_client_text(now, session, &text, out),
            Input::SessionClosed { session } => self.on_session_closed(now, session, out),
            Input::LinkUp { link } => self.on_link_up(link, out),
            Input::LinkFailed { link, reason } => self.on_link_down(now, link, false, &reason, out),
            Input::LinkClosed { link, reason } => self.on_link_down(now, link, true, &reason, out),
            Input::LinkText { link, text } => self.on_engine_text(now, link, &text, out),
            Input::LinkUnsent { link, attempt } => self.on_unsent(now, link, &attempt, out),
            Input::QuorumState {
                state,
                present,
                until,
            } => self.on_quorum_state(state, present, until),
            Input::PeerReports {
                sent_at,
                reporters,
                reports,
            } => self.on_peer_reports(now, sent_at, reporters, &reports, out),
            Input::Overload(event) => self.on_overload(now, event, out),
            Input::OutputLength(update) => self.output_lengths.on_update(now, update),
            Input::Workflow(event) => {
                let act = self.workflows.on_event(now, event);
                self.on_workflow(now, act, out);
            }
            Input::ServerListUnreadable(unreadable) => {
                self.on_server_list_unreadable(unreadable, out)
            }
            Input::QuotaLease { leased, until } => self.on_quota_lease(now, leased, until),
            Input::Tick => {}
            Input::Stop => {
                self.stopping = true;
                log(
                    out,
                    Level::Info,
                    format!("stopping: {} sessions open", self.sessions.len()),
                );
            }
        }
    }

    /// Passes each queued event to the decision module and applies the actions it returns.
    fn process_events(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            decide(&mut self.router, now, event, &mut self.trace, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action, out);
            }
        }
    }

    fn on_session(&mut self, session: SessionId, caller: Option<Caller>, out: &mut Vec<Output>) {
        if self.stopping || self.sessions.len() >= self.settings.listen.max_sessions {
            let reason = if self.stopping {
                "stopping; come back elsewhere"
            } else {
                "too many sessions"
            };
            let code = if self.stopping { 1001 } else { 1013 };
            return out.push(Output::CloseSession {
                session,
                code,
                reason: reason.to_string(),
            });
        }
        self.sessions.open(session);
        if let Some(caller) = caller {
            self.set_caller(session, caller);
        }
    }

    fn on_timer(&mut self, now: Micros, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Router { label } => self.events.push_back(Event::Timer { label }),
            Timer::AttemptTimeout { request, attempt } => {
                self.on_attempt_timeout(now, request, attempt, out)
            }
            Timer::Deadline { request } => self.on_deadline(now, request, out),
            Timer::Stall { request } => self.on_stall(now, request, out),
            Timer::HealthCheck { id } => {
                self.end_health_check(now, id, Outcome::TimedOut, Vec::new())
            }
            Timer::Link { server, epoch } => self.on_link_timer(now, LinkId { server, epoch }, out),
            Timer::CredentialExpiry { session } => self.on_credential_expiry(now, session),
            Timer::Sweep => self.sweep(now, out),
            Timer::BudgetLeases => self.request_budget_leases(now, out),
            Timer::Observations => self.observe_servers(now, out),
            Timer::WorkflowQuery { call } => {
                let act = self.workflows.on_timeout(call);
                if self.workflows.is_pending(call) {
                    self.timers.set(
                        now.after(RESULT_DURABLE_WITHIN_S),
                        Timer::WorkflowQuery { call },
                    );
                }
                self.on_workflow(now, act, out);
            }
            Timer::StepEnd { request } => self.resend_step_end(request, out),
            Timer::LoadShedding => self.report_load(now, out),
        }
    }

    fn sweep(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.timers.set(now.after(SWEEP_S), Timer::Sweep);
        self.keys.sweep(now);
        let retention_us = (self.settings.requests.context_lifetime_s * 1e6) as u64;
        self.contexts
            .sweep(Micros(now.0.saturating_sub(retention_us)));
        for server in self.links.closing() {
            self.close_link(server, false, out);
        }
    }

    /// A random number from 0 (inclusive) to 1 (exclusive), for the jitter of reconnect delays.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub(crate) fn log(out: &mut Vec<Output>, level: Level, text: impl Into<String>) {
    out.push(Output::Log {
        level,
        text: text.into(),
    });
}
