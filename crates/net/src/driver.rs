//! The event loop of one dispatcher: receives events from all threads, runs one step of the core for each and
//! executes the outputs of that step.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_budget::charge::Entry;
use bitternlatch_budget::ledger::QuotaRequest;
use bitternlatch_core::record::{self, Writer};
use bitternlatch_core::settings::Engines;
use bitternlatch_core::{
    Input, Level, LinkId, Machine, Micros, Output, ServerObservation, SessionId, Settings,
};
use bitternlatch_identity::Caller;
use bitternlatch_journal::output_barrier::{Charge, OutputBarrier};
use bitternlatch_protocol::client::{parse_renewal, Renewal};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender, TrySendError};

use crate::accept::Handler;
use crate::charges::ChargeQueue;
use crate::clock::Clock;
use crate::dial::{dial_with_options, DialOptions};
use crate::guard::Authenticator;
use crate::ledger::QuotaServerLink;
use crate::socket::{running_writers, Limits, Outbox, ReadOutcome, READER_STACK};
use crate::tls;

/// Capacity of the event queue. When it is full, the sending thread blocks and stops reading its socket.
const MAX_QUEUED_EVENTS: usize = 16 * 1024;
/// Capacity of the queue of record entries. When it is full, recording ends with an error in the log.
const MAX_QUEUED_RECORD_ENTRIES: usize = 64 * 1024;
/// Longest time at shutdown to wait for queued messages and close frames to be written.
const CLOSE_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time an answer is held back until its charge is durable, seconds. After it the answer is sent anyway: a slow
/// disk must not delay answers further.
const MAX_CHARGE_WAIT_S: f64 = 0.5;
/// Longest time that record entries stay in the write buffer while no new entry arrives.
const RECORD_FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// An event that another thread sends to the loop.
pub enum Event {
    Input(Input),
    /// A client's WebSocket upgrade succeeded; the caller is present where authentication is configured.
    SessionOpened(SessionId, Outbox, Option<Caller>),
    /// A connection to a model server is open.
    LinkOpened(LinkId, Outbox),
    /// The journal thread has committed more charges.
    ChargesDurable,
}

/// Creates the bounded event queue of a loop.
pub fn event_queue() -> (Sender<Event>, Receiver<Event>) {
    bounded(MAX_QUEUED_EVENTS)
}

/// The connection handler for clients: authenticates them and turns what their connections do into events of the loop.
pub struct SessionEndpoint {
    pub events: Sender<Event>,
    pub ready: Arc<AtomicBool>,
    /// Checks the credentials of clients; `None` admits every client without a caller.
    pub authenticator: Option<Arc<Authenticator>>,
}

impl SessionEndpoint {
    fn send_event(&self, event: Event) {
        // Sending fails only after the loop has ended, when the process is shutting down.
        let _ = self.events.send(event);
    }
}

impl Handler for SessionEndpoint {
    fn authenticate(
        &self,
        authorization: Option<&str>,
        certificate: Option<&[u8]>,
    ) -> Result<Option<Caller>, (u16, String)> {
        let Some(authenticator) = &self.authenticator else {
            return Ok(None);
        };
        let bearer = |a: &str| {
            a.get(..7)
                .filter(|s| s.eq_ignore_ascii_case("bearer "))
                .map(|_| a[7..].trim().to_string())
        };
        let rejected = |code: &str, why: String| {
            tracing::info!(
                code,
                why,
                "client authentication failed; the connection is rejected"
            );
            (401, format!("{code}: {why}"))
        };
        // A token takes precedence over the certificate: behind a gateway, the certificate is the gateway's and the
        // token is the client's.
        match (authorization.and_then(bearer), certificate) {
            (Some(token), _) => authenticator
                .check_token(&token)
                .map(Some)
                .map_err(|e| rejected(e.code(), e.to_string())),
            (None, Some(der)) => authenticator
                .check_certificate(der)
                .map(Some)
                .map_err(|e| rejected(e.code(), e.to_string())),
            (None, None) => Err((401, "token_missing: a bearer token is expected".to_string())),
        }
    }

    fn opened(&self, connection: u64, outbox: Outbox, caller: Option<Caller>) {
        let admitted = caller.clone();
        self.send_event(Event::SessionOpened(SessionId(connection), outbox, caller));
        // Checks the credential again: a revocation between authentication and this event reached the loop before it
        // knew the session, and so did not close it.
        if let (Some(authenticator), Some(caller)) = (&self.authenticator, admitted) {
            if !authenticator.is_valid(&caller) {
                self.send_event(Event::Input(Input::CredentialsRevoked(vec![caller.key_id])));
            }
        }
    }

    fn text(&self, connection: u64, text: String) {
        let session = SessionId(connection);
        // The token is not passed on to the loop, since inputs of the loop may be recorded.
        let input = match (parse_renewal(&text), &self.authenticator) {
            (Renewal::None, _) | (_, None) => Input::SessionText { session, text },
            (Renewal::Malformed, Some(_)) => Input::RenewalRejected {
                session,
                code: "token_malformed".to_string(),
            },
            (Renewal::Token(token), Some(authenticator)) => match authenticator.check_token(&token)
            {
                Ok(caller) => Input::SessionRenewed { session, caller },
                Err(refusal) => {
                    tracing::info!(
                        session = connection,
                        code = refusal.code(),
                        "session renewal rejected"
                    );
                    Input::RenewalRejected {
                        session,
                        code: refusal.code().to_string(),
                    }
                }
            },
        };
        self.send_event(Event::Input(input));
    }

    fn closed(&self, connection: u64, why: String) {
        tracing::debug!(session = connection, why, "session closed");
        self.send_event(Event::Input(Input::SessionClosed {
            session: SessionId(connection),
        }));
    }

    fn get(&self, path: &str) -> (u16, String) {
        match (path, self.ready.load(Ordering::Relaxed)) {
            ("/ready", true) => (200, "ready\n".to_string()),
            ("/ready", false) => (503, "not ready\n".to_string()),
            _ => (
                404,
                "sessions are opened with a WebSocket upgrade; /ready tells whether to come\n"
                    .to_string(),
            ),
        }
    }
}

/// Sinks for the core's commands to the cluster services. A sink never blocks; it returns false if the service did not
/// accept the command. `None` where the service is not configured.
#[derive(Default)]
pub struct ServiceSinks {
    pub overload: Option<Box<dyn Fn(bitternlatch_overload::Command) -> bool>>,
    pub output_length: Option<Box<dyn Fn(bitternlatch_output_length::Command) -> bool>>,
    pub workflow: Option<Box<dyn Fn(bitternlatch_workflow::Command) -> bool>>,
}

/// The event loop of one dispatcher with its connections and the core.
pub struct Driver {
    machine: Machine,
    clock: Clock,
    engines: Engines,
    tls: Option<Arc<tls::ClientTls>>,
    events: Receiver<Event>,
    event_sender: Sender<Event>,
    sessions: HashMap<SessionId, Outbox>,
    links: HashMap<LinkId, Outbox>,
    /// Inputs produced while executing outputs, processed before the event queue.
    internal_inputs: VecDeque<Input>,
    ready: Arc<AtomicBool>,
    recorder: Option<Recorder>,
    charges: Option<ChargeQueue>,
    quota_server: Option<QuotaServerLink>,
    /// Receives the core's observations of model servers, for the cluster's peers.
    observation_sink: Option<Box<dyn Fn(Vec<ServerObservation>)>>,
    services: ServiceSinks,
    /// Answers held back until their charge is durable.
    output_barrier: OutputBarrier<SessionId, Output>,
    stopping: bool,
}

impl Driver {
    pub fn new(
        settings: Settings,
        seed: u64,
        (event_sender, events): (Sender<Event>, Receiver<Event>),
        ready: Arc<AtomicBool>,
    ) -> Self {
        Driver {
            engines: settings.engines.clone(),
            tls: None,
            machine: Machine::new(settings, seed),
            clock: Clock::start(),
            events,
            event_sender,
            sessions: HashMap::new(),
            links: HashMap::new(),
            internal_inputs: VecDeque::new(),
            ready,
            recorder: None,
            charges: None,
            quota_server: None,
            observation_sink: None,
            services: ServiceSinks::default(),
            output_barrier: OutputBarrier::new(MAX_CHARGE_WAIT_S),
            stopping: false,
        }
    }

    /// Uses TLS for connections to model servers.
    pub fn set_server_tls(&mut self, tls: Arc<tls::ClientTls>) {
        self.tls = Some(tls);
    }

    /// Journals charges; answers are held back until their charge is durable.
    pub fn set_charge_queue(&mut self, charges: ChargeQueue) {
        self.charges = Some(charges);
    }

    /// Requests budget leases from the quota server over this link.
    pub fn set_quota_server(&mut self, link: QuotaServerLink) {
        self.quota_server = Some(link);
    }

    /// Passes the core's observations of model servers to the cluster's peers.
    pub fn set_observation_sink(&mut self, sink: Box<dyn Fn(Vec<ServerObservation>)>) {
        self.observation_sink = Some(sink);
    }

    /// Passes the core's commands to the cluster services.
    pub fn set_service_sinks(&mut self, services: ServiceSinks) {
        self.services = services;
    }

    /// Records every later step of the core.
    pub fn set_recorder(&mut self, recorder: Recorder) {
        self.recorder = Some(recorder);
    }

    /// Runs until a stop is requested and all requests are answered, or until `stop_timeout` after the stop request.
    pub fn run(mut self, stop_timeout: Duration) {
        let mut stop_by = None;
        while let Some(input) = self.next_input(stop_by) {
            if input == Input::Stop {
                stop_by = Some(Instant::now() + stop_timeout);
                self.stopping = true;
            }
            if self.step(input) {
                break;
            }
        }
        self.shut_down();
    }

    /// Waits for the next input. `None` when the stop deadline has passed or all event senders are gone.
    fn next_input(&mut self, stop_by: Option<Instant>) -> Option<Input> {
        if let Some(input) = self.internal_inputs.pop_front() {
            return Some(input);
        }
        if stop_by.is_some_and(|by| Instant::now() >= by) {
            tracing::error!("the stop timeout expired with requests still in progress; their sessions are closed");
            return None;
        }
        let wait = self
            .machine
            .next_wake()
            .map_or(Duration::from_secs(1), |at| self.clock.until(at));
        let wait = stop_by.map_or(wait, |by| {
            wait.min(by.saturating_duration_since(Instant::now()))
        });
        let barrier_wait = self
            .output_barrier
            .next_s()
            .map(|at| self.clock.until(Micros::from_seconds(at)));
        let wait = barrier_wait.map_or(wait, |barrier_wait| wait.min(barrier_wait));
        match self.events.recv_timeout(wait) {
            Ok(Event::Input(input)) => Some(input),
            Ok(Event::SessionOpened(session, outbox, caller)) => {
                self.sessions.insert(session, outbox);
                Some(Input::SessionOpened { session, caller })
            }
            Ok(Event::LinkOpened(link, outbox)) => {
                self.links.insert(link, outbox);
                Some(Input::LinkUp { link })
            }
            Ok(Event::ChargesDurable) | Err(RecvTimeoutError::Timeout) => Some(Input::Tick),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }

    /// Runs one step of the core and executes its outputs. Returns true once all requests are answered after a stop.
    fn step(&mut self, input: Input) -> bool {
        match &input {
            Input::SessionClosed { session } => {
                self.output_barrier.forget(*session);
                drop(self.sessions.remove(session));
            }
            Input::LinkClosed { link, .. } => drop(self.links.remove(link)),
            _ => {}
        }
        let at = self.clock.now();
        let recorded_input = self.recorder.is_some().then(|| input.clone());
        let mut outputs = Vec::new();
        self.machine.step(at, input, &mut outputs);
        if let (Some(recorder), Some(input)) = (&self.recorder, recorded_input) {
            if !recorder.push(record::Entry::Step {
                at,
                input,
                outputs: outputs.clone(),
            }) {
                tracing::error!("recording stops: the record grows faster than it can be written to disk; requests are served on");
                self.recorder = None;
            }
        }
        self.ready.store(
            !self.stopping && self.machine.is_ready(at),
            Ordering::Relaxed,
        );
        if let Some(charges) = &self.charges {
            let released = self.output_barrier.written(charges.written());
            self.execute_all(released);
        }
        let late = self.output_barrier.overdue(at.seconds());
        if !late.is_empty() {
            tracing::error!(
                outputs = late.len(),
                "answers are sent before their charges are durable: the journal is too slow"
            );
            self.execute_all(late);
        }
        self.execute_in_order(at, outputs)
    }

    /// Executes the outputs of one step in order. An output to a client that comes after a charge is held back until the
    /// charge is durable. Returns true if [`Output::Stopped`] was among them.
    fn execute_in_order(&mut self, at: Micros, outputs: Vec<Output>) -> bool {
        let mut pending_charge = None;
        let mut stopped = false;
        for output in outputs {
            let output = match output {
                Output::Charge(entry) => {
                    pending_charge = self.queue_charge(entry).or(pending_charge);
                    continue;
                }
                output => output,
            };
            let to = match &output {
                Output::SendToClient { session, .. } | Output::CloseSession { session, .. } => {
                    *session
                }
                _ => {
                    stopped |= self.execute(output);
                    continue;
                }
            };
            if let Some(output) =
                self.output_barrier
                    .offer(at.seconds(), to, pending_charge, output)
            {
                stopped |= self.execute(output);
            }
        }
        stopped
    }

    fn execute_all(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            self.execute(output);
        }
    }

    fn queue_charge(&mut self, entry: Entry) -> Option<Charge> {
        match &mut self.charges {
            Some(charges) => charges.push(entry),
            None => {
                tracing::debug!(target: "charge", response = entry.response, number = entry.number,
                    tenant = entry.tenant, class = entry.class, used = ?entry.used, "charged");
                None
            }
        }
    }

    /// Executes one output. Returns true for [`Output::Stopped`], the last one.
    fn execute(&mut self, output: Output) -> bool {
        match output {
            Output::SendToClient { session, text } => {
                if let Some(outbox) = self.sessions.get(&session) {
                    if outbox.text(text).is_err() {
                        tracing::warn!(
                            session = session.0,
                            "session closed: the client reads too slowly and its send queue is full"
                        );
                        outbox.abort();
                    }
                }
            }
            Output::CloseSession {
                session,
                code,
                reason,
            } => {
                if let Some(outbox) = self.sessions.remove(&session) {
                    outbox.close(code, &reason);
                }
            }
            Output::Connect {
                link,
                endpoint,
                name,
            } => self.dial(link, endpoint, name),
            Output::SendToServer {
                link,
                text,
                deadline,
            } => self.send_to_server(link, text, deadline),
            Output::CloseLink { link } => {
                if let Some(outbox) = self.links.get(&link) {
                    outbox.abort();
                }
            }
            Output::RequestBudgetLeases {
                holder,
                number,
                tenants,
            } => {
                if let Some(quota_server) = &self.quota_server {
                    quota_server.request(&QuotaRequest::RequestLeases {
                        holder,
                        number,
                        tenants,
                    });
                }
            }
            Output::Observations(observations) => {
                if let Some(sink) = &self.observation_sink {
                    sink(observations);
                }
            }
            // A command that a service does not accept is lost, like a message lost on its way to a peer. Timeouts in the
            // services and in the core cover both cases.
            Output::Overload(command) => {
                let _ = self.services.overload.as_ref().map(|sink| sink(command));
            }
            Output::OutputLength(command) => {
                let sink = &self.services.output_length;
                let _ = sink.as_ref().map(|sink| sink(command));
            }
            Output::Workflow(command) => {
                let call = command.call();
                if !self
                    .services
                    .workflow
                    .as_ref()
                    .is_some_and(|sink| sink(command))
                {
                    // The workflow request waits for an answer, so it is rejected at once instead of timing out.
                    let reason = bitternlatch_workflow::RejectReason::Busy;
                    let rejected = bitternlatch_workflow::Event::Rejected { call, reason };
                    self.internal_inputs.push_back(Input::Workflow(rejected));
                }
            }
            // Charges were already queued to the journal in `execute_in_order`.
            Output::Charge(_) => {}
            Output::Log { level, text } => match level {
                Level::Info => tracing::info!("{text}"),
                Level::Warn => tracing::warn!("{text}"),
                Level::Error => tracing::error!("{text}"),
            },
            Output::Stopped => return true,
        }
        false
    }

    fn send_to_server(
        &mut self,
        link: LinkId,
        text: String,
        deadline: Option<bitternlatch_core::SendDeadline>,
    ) {
        let Some(outbox) = self.links.get(&link) else {
            return;
        };
        match deadline {
            None => {
                if outbox.text(text).is_err() {
                    outbox.abort();
                }
            }
            Some(deadline) => {
                let max_wait = Duration::from_secs_f64(deadline.max_wait_s);
                if outbox
                    .text_within(text, max_wait, deadline.attempt.clone())
                    .is_err()
                {
                    self.internal_inputs.push_back(Input::LinkUnsent {
                        link,
                        attempt: deadline.attempt,
                    });
                }
            }
        }
    }

    /// Starts a thread for the link, which connects to the model server and then reads from the connection.
    fn dial(&mut self, link: LinkId, endpoint: String, name: String) {
        let tls = self.tls.as_ref().map(|tls| (tls.config(), name));
        let options = DialOptions { token: None, tls };
        let (events, engines) = (self.event_sender.clone(), self.engines.clone());
        let thread = std::thread::Builder::new()
            .stack_size(READER_STACK)
            .name("link".into());
        if let Err(e) = thread.spawn(move || run_link(link, &endpoint, &options, &engines, &events))
        {
            self.internal_inputs.push_back(Input::LinkFailed {
                link,
                reason: format!("cannot start the link thread: {e}"),
            });
        }
    }

    /// Waits for the journal, sends the held outputs, closes all connections and ends the record.
    fn shut_down(mut self) {
        if let Some(charges) = self.charges.take() {
            charges.finish();
        }
        let rest = self.output_barrier.written(Charge(u64::MAX));
        self.execute_all(rest);
        for outbox in self.sessions.values() {
            outbox.close(1001, "the dispatcher stops");
        }
        for outbox in self.links.values() {
            outbox.close(1001, "the dispatcher stops");
        }
        let deadline = Instant::now() + CLOSE_WRITE_TIMEOUT;
        while running_writers() > 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
        }
        if let Some(recorder) = self.recorder {
            recorder.finish();
        }
    }
}

/// Connects to a model server and reads from the connection until it ends; reports all of it to the loop.
fn run_link(
    link: LinkId,
    endpoint: &str,
    options: &DialOptions,
    engines: &Engines,
    events: &Sender<Event>,
) {
    let limits = Limits {
        max_message_bytes: engines.max_message_bytes,
        max_queued_messages: engines.max_queued_messages,
        ping_interval: Duration::from_secs_f64(engines.ping_interval_s),
        idle_timeout: None,
    };
    let report = |input| events.send(Event::Input(input)).is_ok();
    let unsent_events = events.clone();
    let unsent = Box::new(move |attempt| {
        let _ = unsent_events.send(Event::Input(Input::LinkUnsent { link, attempt }));
    });
    let timeout = Duration::from_secs_f64(engines.connect_timeout_s);
    let mut reader = match dial_with_options(
        endpoint,
        "/v1/engine",
        options,
        timeout,
        limits,
        Some(unsent),
    ) {
        Ok((reader, outbox)) => {
            if events.send(Event::LinkOpened(link, outbox)).is_err() {
                return;
            }
            reader
        }
        Err(e) => {
            report(Input::LinkFailed {
                link,
                reason: e.to_string(),
            });
            return;
        }
    };
    loop {
        match reader.read() {
            ReadOutcome::Text(text) => {
                if !report(Input::LinkText { link, text }) {
                    return;
                }
            }
            ReadOutcome::Ended(reason) => {
                report(Input::LinkClosed { link, reason });
                return;
            }
        }
    }
}

/// Writes the record of the core's inputs and outputs to a file, from its own thread.
pub struct Recorder {
    queue: Sender<record::Entry>,
    thread: std::thread::JoinHandle<()>,
}

impl Recorder {
    /// Begins a record file.
    ///
    /// # Errors
    /// Where the file cannot be made or the system gives no thread.
    pub fn start(path: &PathBuf, settings: String, seed: u64) -> io::Result<Recorder> {
        let file = std::fs::File::create(path)?;
        let mut writer = Writer::new(file)?;
        writer.append(&record::Entry::Start { settings, seed })?;
        writer.flush()?;
        let (queue, entries) = bounded::<record::Entry>(MAX_QUEUED_RECORD_ENTRIES);
        let write = move || loop {
            let done = match entries.recv_timeout(RECORD_FLUSH_INTERVAL) {
                Ok(entry) => writer.append(&entry),
                Err(RecvTimeoutError::Timeout) => writer.flush(),
                Err(RecvTimeoutError::Disconnected) => {
                    if let Err(e) = writer.flush() {
                        tracing::error!(error = %e, "cannot write the end of the record file");
                    }
                    return;
                }
            };
            if let Err(e) = done {
                tracing::error!(error = %e, "recording stops: the record file cannot be written; requests are served on");
                return;
            }
        };
        let thread = std::thread::Builder::new()
            .name("record".into())
            .spawn(write)?;
        Ok(Recorder { queue, thread })
    }

    /// Queues an entry without blocking. False if the queue is full or the record has ended after a write error.
    fn push(&self, entry: record::Entry) -> bool {
        match self.queue.try_send(entry) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Writes the queued entries and waits for the thread to end.
    fn finish(self) {
        drop(self.queue);
        let _ = self.thread.join();
    }
}
