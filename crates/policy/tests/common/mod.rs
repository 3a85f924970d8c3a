//! A test harness that drives one router through its public interface, with default settings and
//! requests.
#![allow(dead_code)]

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;

/// Clock time at which a test starts, seconds.
pub const T0: f64 = 1000.0;

pub fn class(effect: Effect) -> ClassSettings {
    ClassSettings {
        effect,
        ttft_objective_s: 1.5,
        ttft_objective_per_token_s: 4e-5,
        inter_token_objective_s: 0.07,
        deadline_s: 6.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.3,
    }
}

pub fn settings(effect: Effect) -> Settings {
    let kind = |role| KindSettings {
        role,
        memory_tokens: 150_000.0,
    };
    Settings {
        dispatchers: 2,
        zone: 0,
        classes: vec![class(effect)],
        tenants: vec![],
        kinds: vec![kind(Role::Prefill), kind(Role::Decode), kind(Role::Mixed)],
        report_fields: vec![
            ReportField::SlotUtilization,
            ReportField::Queue,
            ReportField::MemoryUtilization,
        ],
        report_mode: ReportMode::WithResponses,
        slow_start: SlowStart {
            start_capacity: 0.25,
            overload_factor: 2.5,
            window_s: 3.0,
            warm_after_s: 14.0,
        },
        limits: Limits {
            max_attempts: 4,
            may_cancel: true,
            may_probe: true,
            max_retry_after_s: 2.0,
            connect_timeout_s: 0.25,
        },
        kv_hold_limit_s: 1.0,
        over_quota_weight_fraction: 1.0,
        must_subscribe: false,
        lost_prefill_may_have_run: false,
        decode_servers_prefill: false,
        tick_s: 0.002,
    }
}

pub fn server(id: ServerId, kind: u16, cell: u16) -> ServerEntry {
    ServerEntry {
        id,
        status: ServerStatus::Ready,
        kind,
        cell,
        zone: 0,
        weight: 1.0,
        booted_at: 0.0,
    }
}

pub fn new_request(id: RequestId) -> Request {
    Request {
        id,
        class: 0,
        tenant: 0,
        session: u64::from(id) + 10_000,
        prefix: 77,
        prompt_tokens: 2000.0,
        prefix_tokens: 1500.0,
        max_output_tokens: 300.0,
        output_tokens: None,
        output_hint_s: None,
        time_left_s: 6.0,
    }
}

/// Drives one router with a simulated clock and records the actions that it returns.
pub struct RouterHarness {
    pub router: Router,
    pub now: f64,
    /// Timers that have not fired: clock time and label.
    pub timers: Vec<(f64, u64)>,
    /// Attempts sent so far: request, server and timeout in seconds.
    pub sends: Vec<(RequestId, ServerId, f64)>,
    /// All actions so far, in order.
    pub log: Vec<Action>,
    /// Whether each probe is answered at once, without a load report.
    pub answers_probes: bool,
}

impl RouterHarness {
    /// Creates a router for prefill servers 1 and 2 and decode servers 11 and 12; servers 1 and 11
    /// are in cell 0, servers 2 and 12 in cell 1.
    pub fn new(settings: Settings) -> Self {
        let fleet = vec![
            server(1, 0, 0),
            server(2, 0, 1),
            server(11, 1, 0),
            server(12, 1, 1),
        ];
        RouterHarness::with_fleet(settings, fleet)
    }

    pub fn with_fleet(settings: Settings, fleet: Vec<ServerEntry>) -> Self {
        let router = Router::new(settings, 7);
        let mut harness = RouterHarness {
            router,
            now: T0,
            timers: vec![],
            sends: vec![],
            log: vec![],
            answers_probes: true,
        };
        harness.handle(Event::Servers {
            form: ListForm::Cached,
            entries: fleet,
        });
        harness
    }

    /// Passes an event to the router, answers its probes if that is enabled, and returns the
    /// actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        let probed: Vec<ServerId> = out.iter().filter_map(probe).collect();
        for action in &out {
            match *action {
                Action::SetTimer { at, label } => self.timers.push((at, label)),
                Action::Send {
                    request,
                    server,
                    timeout_s,
                } => self.sends.push((request, server, timeout_s)),
                _ => {}
            }
        }
        self.log.extend(out.iter().cloned());
        let answered = if self.answers_probes { probed } else { vec![] };
        for server in answered {
            let outcome = Outcome::Served;
            let answer = Event::ProbeEnded {
                server,
                outcome,
                elapsed_s: 0.001,
                report: vec![],
            };
            out.extend(self.handle(answer));
        }
        out
    }

    /// Notifies the router of a changed entry of the endpoint list.
    pub fn update_server(&mut self, entry: ServerEntry) {
        self.handle(Event::Servers {
            form: ListForm::Delta,
            entries: vec![entry],
        });
    }

    pub fn arrive(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Arrival(request))
    }

    /// Advances the clock, fires the timers that come due and returns their actions.
    pub fn advance(&mut self, seconds: f64) -> Vec<Action> {
        let end = self.now + seconds;
        let mut all = Vec::new();
        loop {
            self.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            match self.timers.first().copied() {
                Some((at, label)) if at <= end => {
                    self.timers.remove(0);
                    self.now = at.max(self.now);
                    all.extend(self.handle(Event::Timer { label }));
                }
                _ => break,
            }
        }
        self.now = end;
        all
    }

    /// Returns the request and the server of the latest attempt.
    pub fn last_send(&self) -> (RequestId, ServerId) {
        self.sends
            .last()
            .map(|s| (s.0, s.1))
            .expect("something was sent")
    }

    /// Ends the latest attempt of a request and returns the router's actions.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        elapsed_s: f64,
        prefix_hit_tokens: f64,
    ) -> Vec<Action> {
        let sent: Vec<_> = self.sends.iter().filter(|s| s.0 == request).collect();
        if sent.is_empty() {
            return vec![]; // The request was rejected.
        }
        let (attempt, server) = ((sent.len() - 1) as u16, sent[sent.len() - 1].1);
        let finished = outcome == Outcome::Served;
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed_s,
            finished,
            prefix_hit_tokens,
            output_tokens: None,
            report: vec![],
        }))
    }

    /// Serves a request from its arrival to the end of its answer and returns its prefill server.
    pub fn serve(&mut self, request: Request, prefix_hit_tokens: f64) -> ServerId {
        let id = request.id;
        self.arrive(request);
        let prefill_server = self.last_send().1;
        self.advance(0.05);
        self.end_attempt(id, Outcome::PrefillDone, 0.05, prefix_hit_tokens);
        self.start_stream(id);
        self.advance(0.05);
        self.end_attempt(id, Outcome::Served, 0.1, 0.0);
        prefill_server
    }

    /// Reports the first token of a request's answer from the server of its latest attempt.
    pub fn start_stream(&mut self, request: RequestId) {
        let Some(server) = self
            .sends
            .iter()
            .rev()
            .find(|s| s.0 == request)
            .map(|s| s.1)
        else {
            return;
        };
        self.handle(Event::FirstToken {
            request,
            attempt: 1,
            server,
            elapsed_s: 0.05,
        });
    }
}

/// Returns the probed server if the action is a probe.
pub fn probe(action: &Action) -> Option<ServerId> {
    match action {
        Action::Probe { server } => Some(*server),
        _ => None,
    }
}

pub fn rejected(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail { request: id })
}

pub fn released(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Release { request, .. } if *request == id))
}

/// Counts the rejections and failures of a request, of which there may be at most one.
pub fn final_answers(log: &[Action], id: RequestId) -> usize {
    log.iter()
        .filter(|a| rejected(std::slice::from_ref(a), id) || failed(std::slice::from_ref(a), id))
        .count()
}
