//! The machine itself: one step an input, the loop around the decision module, and the timers.

use std::collections::{BTreeMap, VecDeque};

use bitternlatch_budget::book::Book;
use bitternlatch_identity::rights::Rights;
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

/// Shortest time between two steps that the decision module may count on, seconds.
pub(crate) const TICK_S: f64 = 0.002;
/// Seconds between two sweeps of the tables.
const SWEEP_S: f64 = 1.0;
/// Seconds after which a probe counts as unanswered.
pub(crate) const PROBE_S: f64 = 1.0;

/// A probe that is out.
pub(crate) struct Probe {
    pub link: LinkId,
    pub sent: Micros,
}

/// One event that the decision module took and what it answered, for programs that check it elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub struct Traced {
    /// Clock time, seconds.
    pub now_s: f64,
    /// The event that the decision module was given.
    pub event: Event,
    /// Its actions, in order.
    pub actions: Vec<Action>,
}

/// Tells a router one event and appends what it answers; both are kept where a trace is.
pub fn decide(
    router: &mut Router,
    now: Micros,
    event: Event,
    trace: &mut Option<Vec<Traced>>,
    actions: &mut Vec<Action>,
) {
    let kept = trace.is_some().then(|| event.clone());
    router.handle(now.seconds(), event, actions);
    if let (Some(trace), Some(event)) = (trace.as_mut(), kept) {
        trace.push(Traced {
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
    /// Requests in the table, answered ones included whose attempt has not ended.
    pub requests: usize,
    /// Listed model servers.
    pub servers: usize,
    /// Connections to model servers that have greeted.
    pub open_links: usize,
    /// Idempotency keys known.
    pub keys: usize,
}

/// One dispatcher. See the crate's front page.
pub struct Machine {
    pub(crate) settings: Settings,
    /// Number of this run, part of every id that leaves it.
    pub(crate) instance: u64,
    pub(crate) response_ids: ResponseIds,
    pub(crate) router: Router,
    pub(crate) requests: Requests,
    pub(crate) next_request: RequestId,
    /// Bytes of the prompts of all requests in the table.
    pub(crate) prompt_bytes: usize,
    pub(crate) sessions: Sessions,
    pub(crate) rights: Option<Rights>,
    /// How far the time by which proofs are judged is ahead of the clock.
    pub(crate) credential_clock_offset_us: i64,
    pub(crate) links: Links,
    pub(crate) servers: ServerTable,
    pub(crate) keys: IdempotencyKeys,
    pub(crate) contexts: Contexts,
    pub(crate) book: Book,
    pub(crate) leases: BudgetLeases,
    pub(crate) peers: Peers,
    pub(crate) quota_lease: QuotaLease,
    pub(crate) observations: Observations,
    pub(crate) load_shedding: LoadShedding,
    pub(crate) output_lengths: OutputLengths,
    pub(crate) workflows: Workflows,
    pub(crate) timers: Timers<Timer>,
    pub(crate) probes: BTreeMap<u64, Probe>,
    pub(crate) next_probe: u64,
    pub(crate) events: VecDeque<Event>,
    pub(crate) stopping: bool,
    stopped: bool,
    sweeping: bool,
    rng: Xoshiro256PlusPlus,
    trace: Option<Vec<Traced>>,
}

impl Machine {
    /// A dispatcher without servers, sessions or requests. The seed is the only source of randomness, and identifies the run.
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
            book: Book::default(),
            leases: BudgetLeases::default(),
            peers: Peers::default(),
            quota_lease: QuotaLease::default(),
            observations: Observations::default(),
            load_shedding: LoadShedding::new(&settings, seed.rotate_left(17)),
            output_lengths: OutputLengths::default(),
            workflows: Workflows::default(),
            timers: Timers::default(),
            probes: BTreeMap::new(),
            next_probe: 1,
            events: VecDeque::new(),
            stopping: false,
            stopped: false,
            sweeping: false,
            rng,
            trace: None,
            settings,
        }
    }

    /// The seed of the decision module of a machine with this seed.
    pub fn router_seed(seed: u64) -> u64 {
        Xoshiro256PlusPlus::seed_from_u64(seed).next_u64()
    }

    /// Keeps the decision module's events and actions from now on, for [`Machine::take_trace`].
    pub fn enable_trace(&mut self) {
        self.trace = Some(Vec::new());
    }

    /// The trace since the last call; empty unless [`Machine::enable_trace`] was called.
    pub fn take_trace(&mut self) -> Vec<Traced> {
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

    /// When the next [`Input::Tick`] is due at the latest; none where no timer is set.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Takes one input at clock time `now` and appends the actions that follow, in order. Timers that are due run first.
    pub fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if !self.sweeping {
            self.sweeping = true;
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
            self.pump(now, out);
        }
        self.on_input(now, input, out);
        self.pump(now, out);
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
            Input::BudgetLeases {
                number,
                leases: parts,
            } => self.on_budget_leases(now, number, &parts, out),
            Input::CredentialsRevoked(ids) => self.on_credentials_revoked(&ids, out),
            Input::CredentialClockOffset { ahead_us } => {
                self.on_credential_clock_offset(now, ahead_us, out)
            }
            Input::Rights(text) => self.on_rights(&text, out),
            Input::SessionText { session, text } => self.on_client_text(now, session, &text, out),
            Input::SessionClosed { session } => self.on_session_closed(now, session, out),
            Input::LinkUp { link } => self.on_link_up(link, out),
            Input::LinkFailed { link, reason: why } => {
                self.on_link_down(now, link, false, &why, out)
            }
            Input::LinkClosed { link, reason: why } => {
                self.on_link_down(now, link, true, &why, out)
            }
            Input::LinkText { link, text } => self.on_engine_text(now, link, &text, out),
            Input::LinkUnsent { link, attempt } => self.on_unsent(now, link, &attempt, out),
            Input::QuorumState {
                state: standing,
                present: there,
                until,
            } => self.on_quorum_state(standing, there, until),
            Input::PeerReports {
                sent_at: at,
                reporters: of,
                reports: heard,
            } => self.on_peer_reports(now, at, of, &heard, out),
            Input::Overload(told) => self.on_overload(now, told, out),
            Input::OutputLength(told) => self.output_lengths.told(now, told),
            Input::Workflow(told) => {
                let act = self.workflows.on_event(now, told);
                self.on_workflow(now, act, out);
            }
            Input::ServerListUnreadable(lost) => self.on_server_list_unreadable(lost, out),
            Input::QuotaLease {
                leased: quota_lease,
                until,
            } => self.on_quota_lease(now, quota_lease, until),
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

    /// Gives the decision module each waiting event and carries out what it answers.
    fn pump(&mut self, now: Micros, out: &mut Vec<Output>) {
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
            Timer::Attempt { request, attempt } => {
                self.on_attempt_timeout(now, request, attempt, out)
            }
            Timer::Deadline { request } => self.on_deadline(now, request, out),
            Timer::Stall { request } => self.on_stall(now, request, out),
            Timer::Probe { id } => self.end_probe(now, id, Outcome::TimedOut, Vec::new()),
            Timer::Link { server, epoch } => self.on_link_time(now, LinkId { server, epoch }, out),
            Timer::Caller { session } => self.on_credential_expiry(now, session),
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
        let kept_us = (self.settings.requests.context_lifetime_s * 1e6) as u64;
        self.contexts.sweep(Micros(now.0.saturating_sub(kept_us)));
        for server in self.links.closing() {
            self.close_link(server, false, out);
        }
    }

    /// A number from 0 to 1 for the spread of repeated steps.
    pub(crate) fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub(crate) fn log(out: &mut Vec<Output>, level: Level, text: impl Into<String>) {
    out.push(Output::Log {
        level,
        text: text.into(),
    });
}
