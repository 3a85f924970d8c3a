//! The simulated processes: dispatcher, worker, tool server, and a claimant that claims many workflows at once.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{ClusterService, Process, ServiceInput, ServiceOutput};
use bitternlatch_simulation::{ms, Node, Sent};
use bitternlatch_workflow::*;

/// Number of steps of each workflow.
pub const STEPS: u32 = 10;

/// Request of a worker or an operator to a dispatcher.
#[derive(Clone, Debug)]
pub enum WorkerRequest {
    Claim,
    Step { epoch: u64, step: u32 },
    Finish { epoch: u64 },
    Settle { step: u32, outcome: AttemptOutcome },
}

/// Answer of a dispatcher to a [`WorkerRequest`].
#[derive(Clone, Debug)]
pub enum WorkerResponse {
    Claimed { epoch: u64, steps: Vec<Step> },
    Result(String),
    Committed,
    Rejected(RejectReason),
}

/// Message between the simulated processes.
#[derive(Clone, Debug)]
pub enum Message {
    Frame(Process, Vec<u8>),
    Command {
        id: u64,
        worker: String,
        workflow: u32,
        request: WorkerRequest,
    },
    Reply {
        id: u64,
        workflow: u32,
        response: WorkerResponse,
    },
    Call {
        call: Call,
        workflow: u32,
        step: u32,
    },
    Result {
        call: Call,
        result: String,
    },
}

pub fn name(workflow: u32) -> String {
    format!("tenant/owner/{workflow}")
}

/// Returns the effect class of a step: of three consecutive steps one is safe, one keyed and one unsafe.
pub fn effect(step: u32) -> Effect {
    [Effect::Unsafe, Effect::Safe, Effect::Keyed][step as usize % 3]
}

/// Facts recorded during a run, from which the invariants are checked.
#[derive(Default)]
pub struct Observations {
    /// Number of effects of each step, keyed by workflow and step, as counted by the tool server. A keyed step counts once per key.
    pub effects: BTreeMap<(u32, u32), u32>,
    /// Result of each step that a worker received, keyed by workflow and step.
    pub results: BTreeMap<(u32, u32), String>,
    /// Workflows that workers finished, or found ended.
    pub finished: BTreeSet<u32>,
    /// Unsettled and parked workflows, with the reason that a worker was given.
    pub stopped: BTreeMap<u32, RejectReason>,
    /// Invariant violations found so far.
    pub violations: Vec<String>,
    /// Last rejection of each workflow's requests, printed with a failure.
    pub last_rejections: BTreeMap<u32, RejectReason>,
    /// Calls that the tool server received, to drop duplicates.
    calls: BTreeSet<(usize, Call)>,
}

/// Stops one dispatcher before a chosen output, counted over the outputs of all dispatchers.
#[derive(Default)]
pub struct StopPoint {
    /// Number of outputs until the stop; `None` if no stop is planned.
    pub outputs_left: Cell<Option<u32>>,
    /// Place of the dispatcher that was stopped and not handled yet.
    pub stopped: Cell<Option<usize>>,
}

/// SplitMix64 random number generator.
pub struct Random(pub u64);

impl Random {
    /// Returns a number below `n`, or 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % n.max(1)
    }
}

pub type Disk = BTreeMap<Vec<u8>, Vec<u8>>;

/// An action that a dispatcher performs after a short delay.
enum Delayed {
    /// A batch of records reaches the disk.
    Persisted(Vec<u64>, Vec<(Vec<u8>, Option<Vec<u8>>)>),
    /// The dispatcher sends the call to the tool server if the dispatch permit still lasts.
    Send { call: Call, until_us: u64 },
    /// The call to the tool server times out.
    TimeOut(Call),
}

/// A command to the workflow machine that has no final answer yet.
struct PendingCall {
    /// Place of the worker to answer.
    from: usize,
    id: u64,
    workflow: u32,
    request: WorkerRequest,
    /// Result of the step, once the tool server returned it.
    result: Option<String>,
    /// A dispatch permit was received.
    permitted: bool,
    /// Deadline of the command, microseconds.
    until_us: u64,
}

pub struct Dispatcher {
    /// Index of this process's node in the simulated world.
    pub place: usize,
    pub own: Process,
    pub machine: Workflows,
    pub disk: Disk,
    pub disk_full: bool,
    /// Stopped before an output: it handles no messages or timers until it is resumed.
    pub stopped: bool,
    place_by_name: BTreeMap<NameKey, usize>,
    /// Place (index of the node) of the tool server.
    tool: usize,
    /// Outputs of the machine that are not performed yet.
    outputs: VecDeque<ServiceOutput<Event>>,
    /// Messages received while stopped.
    stopped_inbox: Vec<(usize, Message)>,
    delayed: BTreeMap<(Duration, u64), Delayed>,
    pending_calls: BTreeMap<Call, PendingCall>,
    calls: u64,
    random: Random,
    stop_point: Rc<StopPoint>,
    observed: Rc<RefCell<Observations>>,
}

/// Parameters of a new dispatcher process.
pub struct DispatcherConfig {
    pub place: usize,
    pub dispatcher_count: usize,
    pub start: u64,
    pub seed: u64,
    pub settings: Settings,
    pub safety_checks: SafetyChecks,
}

impl Dispatcher {
    pub fn new(
        config: DispatcherConfig,
        now: Duration,
        disk: Disk,
        stop_point: Rc<StopPoint>,
        observed: Rc<RefCell<Observations>>,
    ) -> Dispatcher {
        let key = |i: usize| NameKey::of(&format!("d{i}"));
        let own = Process {
            name: key(config.place),
            start: config.start,
        };
        let roster = (0..config.dispatcher_count).map(key).collect();
        let seed = config.seed ^ config.start << 8 ^ config.place as u64;
        let machine = Workflows::with_safety_checks(
            own,
            roster,
            &config.settings,
            true,
            seed,
            now,
            config.safety_checks,
        );
        let mut dispatcher = Dispatcher {
            place: config.place,
            own,
            machine,
            disk_full: false,
            stopped: false,
            place_by_name: (0..config.dispatcher_count).map(|i| (key(i), i)).collect(),
            tool: config.dispatcher_count,
            outputs: VecDeque::new(),
            stopped_inbox: vec![],
            delayed: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            calls: config.start << 32,
            random: Random(seed),
            stop_point,
            observed,
            disk: Disk::new(),
        };
        let found = disk.clone().into_iter().collect();
        dispatcher.disk = disk;
        let mut out = vec![];
        dispatcher.handle_input(now, ServiceInput::Loaded(Ok(found)), &mut out);
        dispatcher
    }

    pub fn handle_input(
        &mut self,
        now: Duration,
        input: ServiceInput<Command>,
        out: &mut Sent<Message>,
    ) {
        let mut outputs = vec![];
        self.machine.step(now, input, &mut outputs);
        self.outputs.extend(outputs);
        self.perform_outputs(now, out);
    }

    /// Performs the pending outputs one by one, unless the dispatcher is stopped before one of them.
    fn perform_outputs(&mut self, now: Duration, out: &mut Sent<Message>) {
        let (mut tickets, mut batch) = (vec![], vec![]);
        while !self.stopped {
            let Some(output) = self.outputs.pop_front() else {
                break;
            };
            if let Some(left) = self.stop_point.outputs_left.get() {
                self.stop_point.outputs_left.set(left.checked_sub(1));
                if left == 0 {
                    self.stop_point.stopped.set(Some(self.place));
                    self.stopped = true;
                    self.outputs.push_front(output);
                    break;
                }
            }
            match output {
                ServiceOutput::SendFrame(to, payload) => {
                    out.push((self.place_by_name[&to], Message::Frame(self.own, payload)))
                }
                ServiceOutput::Persist {
                    ticket,
                    name,
                    bytes,
                } => {
                    tickets.push(ticket);
                    batch.push((name, bytes));
                }
                ServiceOutput::Event(event) => self.on_event(now, event, out),
                ServiceOutput::SendDatagram(..) | ServiceOutput::Log { .. } => {}
            }
        }
        if !tickets.is_empty() {
            self.delay(now, 300, Delayed::Persisted(tickets, batch));
        }
    }

    fn delay(&mut self, from: Duration, max_us: u64, action: Delayed) {
        let at = from + Duration::from_micros(100 + self.random.below(max_us));
        self.calls += 1;
        self.delayed.insert((at, self.calls), action);
    }

    fn add_call(&mut self, now: Duration, pending: PendingCall) -> (Call, u64) {
        self.calls += 1;
        let until_us = (now + ms(2500)).as_micros() as u64;
        self.pending_calls.insert(
            Call(self.calls),
            PendingCall {
                until_us,
                ..pending
            },
        );
        (Call(self.calls), until_us)
    }

    fn command_of(
        &mut self,
        now: Duration,
        from: usize,
        id: u64,
        worker: String,
        workflow: u32,
        request: WorkerRequest,
    ) -> Command {
        let pending = PendingCall {
            from,
            id,
            workflow,
            request: request.clone(),
            result: None,
            permitted: false,
            until_us: 0,
        };
        let (call, until_us) = self.add_call(now, pending);
        let workflow_name = name(workflow);
        match request {
            WorkerRequest::Claim => Command::Claim {
                call,
                workflow: workflow_name,
                worker,
                until_us,
            },
            WorkerRequest::Step { epoch, step } => {
                let (key, request_digest) = (format!("{workflow}-{step}"), u64::from(step));
                Command::Intend {
                    call,
                    workflow: workflow_name,
                    epoch,
                    step,
                    effect: effect(step),
                    key,
                    request_digest,
                    until_us,
                }
            }
            WorkerRequest::Finish { epoch } => Command::Finish {
                call,
                workflow: workflow_name,
                epoch,
                cancelled: false,
                until_us,
            },
            WorkerRequest::Settle { step, outcome } => Command::Settle {
                call,
                workflow: workflow_name,
                step,
                outcome,
                until_us,
            },
        }
    }

    fn on_event(&mut self, now: Duration, event: Event, out: &mut Sent<Message>) {
        let call = match &event {
            Event::Claimed { call, .. }
            | Event::SendPermitted { call, .. }
            | Event::AlreadyDone { call, .. } => *call,
            Event::Committed { call } | Event::Rejected { call, .. } => *call,
        };
        if let Event::SendPermitted { until_us, .. } = event {
            self.delay(now, 1500, Delayed::Send { call, until_us });
            if let Some(pending) = self.pending_calls.get_mut(&call) {
                pending.permitted = true;
            }
            return;
        }
        let Some(pending) = self.pending_calls.remove(&call) else {
            return self
                .observed
                .borrow_mut()
                .violations
                .push(format!("answered twice: {event:?}"));
        };
        if now.as_micros() as u64 > pending.until_us {
            self.observed
                .borrow_mut()
                .violations
                .push(format!("answered late: {event:?}"));
        }
        let response = match event {
            Event::Claimed { epoch, steps, .. } => WorkerResponse::Claimed { epoch, steps },
            Event::AlreadyDone { result, .. } => WorkerResponse::Result(result),
            Event::Committed { .. } => match (pending.result, &pending.request) {
                (Some(result), _) => WorkerResponse::Result(result),
                // The step never ran or may have run: the worker requests it again.
                (None, WorkerRequest::Step { .. }) => WorkerResponse::Rejected(RejectReason::Busy),
                (None, _) => WorkerResponse::Committed,
            },
            Event::Rejected { reason, .. } => WorkerResponse::Rejected(reason),
            Event::SendPermitted { .. } => return,
        };
        out.push((
            pending.from,
            Message::Reply {
                id: pending.id,
                workflow: pending.workflow,
                response,
            },
        ));
    }

    /// Reports the outcome of an attempt to the machine; the worker is answered when the outcome is committed.
    fn report_outcome(
        &mut self,
        now: Duration,
        call: Call,
        outcome: AttemptOutcome,
        out: &mut Sent<Message>,
    ) {
        let Some(pending) = self.pending_calls.remove(&call) else {
            return;
        };
        let WorkerRequest::Step { epoch, step } = pending.request else {
            return;
        };
        let result = if let AttemptOutcome::Done { result, .. } = &outcome {
            Some(result.clone())
        } else {
            None
        };
        let workflow = name(pending.workflow);
        let (call, until_us) = self.add_call(
            now,
            PendingCall {
                result,
                permitted: false,
                ..pending
            },
        );
        self.handle_input(
            now,
            ServiceInput::Request(Command::ReportOutcome {
                call,
                workflow,
                epoch,
                step,
                outcome,
                until_us,
            }),
            out,
        );
    }

    fn perform_delayed(&mut self, now: Duration, action: Delayed, out: &mut Sent<Message>) {
        match action {
            Delayed::Persisted(tickets, batch) => {
                let done = if self.disk_full {
                    Err(bitternlatch_quota_lease::StorageError::Full)
                } else {
                    Ok(())
                };
                for (name, bytes) in batch.into_iter().filter(|_| !self.disk_full) {
                    match bytes {
                        Some(bytes) => drop(self.disk.insert(name, bytes)),
                        None => drop(self.disk.remove(&name)),
                    }
                }
                for ticket in tickets {
                    self.handle_input(
                        now,
                        ServiceInput::Persisted {
                            ticket,
                            done: done.clone(),
                        },
                        out,
                    );
                }
            }
            // The dispatch permit is checked when the call is sent.
            Delayed::Send { call, until_us } if (now.as_micros() as u64) < until_us => {
                let Some(pending) = self.pending_calls.get(&call) else {
                    return;
                };
                let WorkerRequest::Step { step, .. } = pending.request else {
                    return;
                };
                out.push((
                    self.tool,
                    Message::Call {
                        call,
                        workflow: pending.workflow,
                        step,
                    },
                ));
                self.delay(now + ms(4000), 100, Delayed::TimeOut(call));
            }
            Delayed::Send { call, .. } => {
                self.report_outcome(now, call, AttemptOutcome::NeverRan, out)
            }
            Delayed::TimeOut(call) => {
                self.report_outcome(now, call, AttemptOutcome::MayHaveRun, out)
            }
        }
    }

    /// Resumes the dispatcher after a stop before an output.
    pub fn resume(&mut self, now: Duration, out: &mut Sent<Message>) {
        (self.stopped, self.disk_full) = (false, false);
        // Calls that were pending during the stop may be answered late.
        self.pending_calls
            .values_mut()
            .for_each(|pending| pending.until_us = u64::MAX);
        self.perform_outputs(now, out);
        for (from, message) in std::mem::take(&mut self.stopped_inbox) {
            self.receive(now, from, message, out);
        }
    }

    pub fn wake_at(&self) -> Option<Duration> {
        let delayed = self.delayed.keys().next().map(|k| k.0);
        [delayed, self.machine.wake_at()]
            .into_iter()
            .flatten()
            .min()
            .filter(|_| !self.stopped)
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<Message>) {
        while let Some(key) = self
            .delayed
            .keys()
            .next()
            .copied()
            .filter(|k| k.0 <= now && !self.stopped)
        {
            if let Some(action) = self.delayed.remove(&key) {
                self.perform_delayed(now, action, out);
            }
        }
        if !self.stopped {
            self.handle_input(now, ServiceInput::Wake, out);
        }
    }

    pub fn receive(
        &mut self,
        now: Duration,
        from: usize,
        message: Message,
        out: &mut Sent<Message>,
    ) {
        if self.stopped {
            return self.stopped_inbox.push((from, message));
        }
        match message {
            Message::Frame(from, payload) => {
                self.handle_input(now, ServiceInput::Frame { from, payload }, out)
            }
            Message::Command {
                id,
                worker,
                workflow,
                request,
            } => {
                let command = self.command_of(now, from, id, worker, workflow, request);
                self.handle_input(now, ServiceInput::Request(command), out);
            }
            Message::Result { call, result } => {
                self.report_outcome(now, call, AttemptOutcome::Done { result, tokens: 1 }, out)
            }
            Message::Reply { .. } | Message::Call { .. } => {}
        }
    }
}

/// Tool server: runs steps and counts their effects. A keyed step has one effect per key.
pub struct ToolServer {
    pub observed: Rc<RefCell<Observations>>,
    pub random: Random,
    /// Results to return, by time.
    pub results_due: BTreeMap<(Duration, u64), (usize, Message)>,
    pub count: u64,
}

impl ToolServer {
    fn take(&mut self, now: Duration, from: usize, message: Message) {
        let Message::Call {
            call,
            workflow,
            step,
        } = message
        else {
            return;
        };
        let mut observed = self.observed.borrow_mut();
        // A duplicated message is dropped: each call arrives once, as over a connection.
        if !observed.calls.insert((from, call)) {
            return;
        }
        let runs = observed.effects.entry((workflow, step)).or_insert(0);
        if effect(step) != Effect::Keyed || *runs == 0 {
            *runs += 1;
        }
        let result = format!("{workflow}.{step}#{runs}");
        let slow = if self.random.below(12) == 0 { 3000 } else { 40 };
        self.count += 1;
        let at = now + ms(1 + self.random.below(slow));
        self.results_due
            .insert((at, self.count), (from, Message::Result { call, result }));
    }
}

/// Runs one workflow after the other, through any dispatcher.
pub struct Worker {
    pub name: String,
    pub dispatcher_count: usize,
    pub workflows: u32,
    pub observed: Rc<RefCell<Observations>>,
    pub random: Random,
    /// Number of the last request.
    pub id: u64,
    /// When it acts next.
    pub at: Duration,
    /// Workflow that the worker runs: its number, epoch (0 before the claim) and next step.
    pub current: Option<(u32, u64, u32)>,
    pub dispatcher: usize,
    /// Last step of the workflow whose result any worker had received when this worker sent its request.
    pub last_known_step: u32,
    /// Whether the worker waits for a response.
    pub awaits_response: bool,
}

impl Worker {
    fn send_request(
        &mut self,
        now: Duration,
        workflow: u32,
        request: WorkerRequest,
        out: &mut Sent<Message>,
    ) {
        self.id += 1;
        let observed = self.observed.borrow();
        self.last_known_step = observed
            .results
            .keys()
            .rfind(|(w, _)| *w == workflow)
            .map_or(0, |(_, s)| *s);
        drop(observed);
        (self.awaits_response, self.at) = (true, now + ms(2600));
        out.push((
            self.dispatcher,
            Message::Command {
                id: self.id,
                worker: self.name.clone(),
                workflow,
                request,
            },
        ));
    }

    fn continue_workflow(&mut self, now: Duration, out: &mut Sent<Message>) {
        match self.current {
            Some((workflow, 0, _)) => self.send_request(now, workflow, WorkerRequest::Claim, out),
            Some((workflow, epoch, step)) if step > STEPS => {
                self.send_request(now, workflow, WorkerRequest::Finish { epoch }, out)
            }
            Some((workflow, epoch, step)) => {
                self.send_request(now, workflow, WorkerRequest::Step { epoch, step }, out)
            }
            None => {
                let observed = self.observed.borrow();
                let open =
                    |w: &u32| !observed.finished.contains(w) && !observed.stopped.contains_key(w);
                let open: Vec<u32> = (0..self.workflows).filter(open).collect();
                drop(observed);
                let index = self.random.below(open.len() as u64) as usize;
                self.current = open.get(index).map(|w| (*w, 0, 1));
                self.at = now + ms(50 + self.random.below(200));
            }
        }
    }

    /// Sends the next request. If the last one had no response, it goes to a random dispatcher, in one of three cases after a new
    /// claim.
    fn wake(&mut self, now: Duration, out: &mut Sent<Message>) {
        if std::mem::take(&mut self.awaits_response) {
            self.dispatcher = self.random.below(self.dispatcher_count as u64) as usize;
            if self.random.below(3) == 0 {
                self.current = self.current.map(|(workflow, ..)| (workflow, 0, 1));
            }
        }
        self.continue_workflow(now, out);
    }

    fn take(&mut self, now: Duration, message: Message) {
        let Message::Reply {
            id,
            workflow,
            response,
        } = message
        else {
            return;
        };
        let Some((current, epoch, step)) =
            self.current.filter(|c| id == self.id && c.0 == workflow)
        else {
            return;
        };
        // A duplicated response is ignored.
        self.id += 1;
        if let WorkerResponse::Rejected(reason) = &response {
            self.observed
                .borrow_mut()
                .last_rejections
                .insert(workflow, *reason);
        }
        match response {
            WorkerResponse::Claimed { epoch, steps } => {
                let mut observed = self.observed.borrow_mut();
                let mut next = 1;
                for s in &steps {
                    if let Some(AttemptOutcome::Done { result, .. }) = &s.outcome {
                        next = s.number + 1;
                        check(&mut observed, workflow, s.number, result, false);
                    }
                }
                let last = self.last_known_step;
                if last >= next {
                    observed.violations.push(format!(
                        "{workflow}: a worker got the result of step {last}, but the claim returned {next} as the next step"
                    ));
                }
                self.current = Some((current, epoch, next));
            }
            WorkerResponse::Result(result) => {
                check(
                    &mut self.observed.borrow_mut(),
                    workflow,
                    step,
                    &result,
                    true,
                );
                self.current = Some((current, epoch, step + 1));
            }
            WorkerResponse::Committed => {
                self.observed.borrow_mut().finished.insert(workflow);
                self.current = None;
            }
            WorkerResponse::Rejected(RejectReason::Ended) => {
                self.observed.borrow_mut().finished.insert(workflow);
                self.current = None;
            }
            WorkerResponse::Rejected(reason @ (RejectReason::Unsettled | RejectReason::Parked)) => {
                self.observed.borrow_mut().stopped.insert(workflow, reason);
                self.current = None;
            }
            WorkerResponse::Rejected(RejectReason::LeaseHeld) => self.current = None,
            WorkerResponse::Rejected(RejectReason::Fenced | RejectReason::Unknown) => {
                self.current = Some((current, 0, 1))
            }
            // Another dispatcher may be able to answer.
            WorkerResponse::Rejected(_) if self.random.below(4) == 0 => {
                self.dispatcher = self.random.below(self.dispatcher_count as u64) as usize;
            }
            WorkerResponse::Rejected(_) => {}
        }
        // Delay until the next request, as if the worker computed it with its model.
        (self.awaits_response, self.at) = (false, now + ms(20 + self.random.below(300)));
    }
}

/// Checks that the result of a step equals the one that workers received before. `received` records it as received.
fn check(observed: &mut Observations, workflow: u32, step: u32, result: &str, received: bool) {
    let before = observed.results.get(&(workflow, step)).cloned();
    if before.as_ref().is_some_and(|b| b != result) {
        observed.violations.push(format!(
            "{workflow}.{step}: result was {before:?}, now {result}"
        ));
    }
    if received {
        observed
            .results
            .insert((workflow, step), result.to_string());
    }
}

/// Claims many workflows at once and repeats each claim until it succeeds.
pub struct Claimant {
    pub name: &'static str,
    /// Places of the dispatchers to send to.
    pub dispatchers: Vec<usize>,
    /// When each workflow is claimed next.
    pub due: BTreeSet<(Duration, u32)>,
    /// When each workflow was claimed.
    pub claimed: BTreeMap<u32, Duration>,
    /// Number of rejections by response text.
    pub rejections: BTreeMap<String, u32>,
}

impl Claimant {
    fn wake(&mut self, now: Duration, out: &mut Sent<Message>) {
        while let Some((at, workflow)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, workflow));
            // If the response is lost, the claim is repeated at this time.
            self.due.insert((now + ms(2600), workflow));
            let worker = format!("{}{workflow}", self.name);
            let to = self.dispatchers[workflow as usize % self.dispatchers.len()];
            out.push((
                to,
                Message::Command {
                    id: 0,
                    worker,
                    workflow,
                    request: WorkerRequest::Claim,
                },
            ));
        }
    }

    fn take(&mut self, now: Duration, message: Message) {
        let Message::Reply {
            workflow, response, ..
        } = message
        else {
            return;
        };
        if self.claimed.contains_key(&workflow) {
            return;
        }
        self.due.retain(|(_, w)| *w != workflow);
        match response {
            WorkerResponse::Claimed { .. } => drop(self.claimed.insert(workflow, now)),
            response => {
                *self.rejections.entry(format!("{response:?}")).or_insert(0) += 1;
                self.due.insert((now + ms(200), workflow));
            }
        }
    }
}

pub enum Actor {
    Dispatcher(Box<Dispatcher>),
    Worker(Worker),
    ToolServer(ToolServer),
    Claimant(Claimant),
}

impl Node for Actor {
    type Message = Message;

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Actor::Dispatcher(d) => d.wake_at(),
            Actor::Worker(w) => Some(w.at),
            Actor::Claimant(c) => c.due.first().map(|(at, _)| *at),
            Actor::ToolServer(t) => t.results_due.keys().next().map(|k| k.0),
        }
    }

    fn wake(&mut self, now: Duration, out: &mut Sent<Message>) {
        match self {
            Actor::Dispatcher(d) => d.wake(now, out),
            Actor::Worker(w) => w.wake(now, out),
            Actor::Claimant(c) => c.wake(now, out),
            Actor::ToolServer(t) => out.extend(t.results_due.pop_first().map(|(_, result)| result)),
        }
    }

    fn take(&mut self, now: Duration, from: usize, message: Message, out: &mut Sent<Message>) {
        match self {
            Actor::Dispatcher(d) => d.receive(now, from, message, out),
            Actor::Worker(w) => w.take(now, message),
            Actor::Claimant(c) => c.take(now, message),
            Actor::ToolServer(t) => t.take(now, from, message),
        }
    }
}
