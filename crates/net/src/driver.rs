//! The loop of one dispatcher: events in from all threads, one step of the core each, outputs carried out.

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
use bitternlatch_protocol::client::{renewal, Renewal};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender, TrySendError};

use crate::accept::Handler;
use crate::charges::Charges;
use crate::clock::Clock;
use crate::dial::{dial_as, Manner};
use crate::guard::Guard;
use crate::ledger::LedgerLink;
use crate::socket::{writers, Heard, Limits, Outbox, READER_STACK};
use crate::tls;

/// Events that may wait for the loop; a thread that has more waits itself, and its socket with it.
const EVENTS: usize = 16 * 1024;
/// Entries that may wait to be recorded; past it the record ends, and says so in the log.
const RECORD_ENTRIES: usize = 64 * 1024;
/// Longest wait for closing words to go out at the end.
const LAST_WORDS: Duration = Duration::from_secs(2);
/// Longest that an answer waits for its charge to be on disk, seconds; then it goes, as an answer in time comes first.
const CHARGE_WAIT_S: f64 = 0.5;
/// Longest time between two writes of a record.
const RECORD_EVERY: Duration = Duration::from_millis(100);

/// What threads tell the loop.
pub enum Event {
    Input(Input),
    Session(SessionId, Outbox, Option<Caller>),
    Link(LinkId, Outbox),
    /// More charges are on disk.
    Written,
}

/// The queue to the loop.
pub fn events() -> (Sender<Event>, Receiver<Event>) {
    bounded(EVENTS)
}

/// The clients' side of the loop, for an acceptor.
pub struct Front {
    pub events: Sender<Event>,
    pub ready: Arc<AtomicBool>,
    /// Where callers have to prove who they are.
    pub guard: Option<Arc<Guard>>,
}

impl Front {
    fn tell(&self, event: Event) {
        // Without a loop the process is ending.
        let _ = self.events.send(event);
    }
}

impl Handler for Front {
    fn admit(
        &self,
        authorization: Option<&str>,
        certificate: Option<&[u8]>,
    ) -> Result<Option<Caller>, (u16, String)> {
        let Some(guard) = &self.guard else {
            return Ok(None);
        };
        let bearer = |a: &str| {
            a.get(..7)
                .filter(|s| s.eq_ignore_ascii_case("bearer "))
                .map(|_| a[7..].trim().to_string())
        };
        let refused = |code: &str, why: String| {
            tracing::info!(code, why, "a caller is not let in");
            (401, format!("{code}: {why}"))
        };
        // A token says who calls even where the connection is another's, as a gateway's is.
        match (authorization.and_then(bearer), certificate) {
            (Some(token), _) => guard
                .check(&token)
                .map(Some)
                .map_err(|r| refused(r.code(), r.to_string())),
            (None, Some(der)) => guard
                .check_certificate(der)
                .map(Some)
                .map_err(|r| refused(r.code(), r.to_string())),
            (None, None) => Err((401, "token_missing: a bearer token is expected".to_string())),
        }
    }

    fn opened(&self, connection: u64, outbox: Outbox, caller: Option<Caller>) {
        let proof = caller.clone();
        self.tell(Event::Session(SessionId(connection), outbox, caller));
        // What was withdrawn between the check and this moment was told before the session was known.
        if let (Some(guard), Some(caller)) = (&self.guard, proof) {
            if !guard.counts(&caller) {
                self.tell(Event::Input(Input::CredentialsRevoked(vec![caller.key_id])));
            }
        }
    }

    fn text(&self, connection: u64, text: String) {
        let session = SessionId(connection);
        // A token goes no further than here: what the loop is told may be recorded.
        let input = match (renewal(&text), &self.guard) {
            (Renewal::None, _) | (_, None) => Input::SessionText { session, text },
            (Renewal::Broken, Some(_)) => Input::RenewalRejected {
                session,
                code: "token_malformed".to_string(),
            },
            (Renewal::Token(token), Some(guard)) => match guard.check(&token) {
                Ok(caller) => Input::SessionRenewed { session, caller },
                Err(refusal) => {
                    tracing::info!(
                        session = connection,
                        code = refusal.code(),
                        "a renewal is refused"
                    );
                    Input::RenewalRejected {
                        session,
                        code: refusal.code().to_string(),
                    }
                }
            },
        };
        self.tell(Event::Input(input));
    }

    fn closed(&self, connection: u64, why: String) {
        tracing::debug!(session = connection, why, "session closed");
        self.tell(Event::Input(Input::SessionClosed {
            session: SessionId(connection),
        }));
    }

    fn plain(&self, path: &str) -> (u16, String) {
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

/// Where what the core wants of the machines beside the plane is told; each takes it without waiting. False: it was not taken.
#[derive(Default)]
pub struct Beside {
    pub overload: Option<Box<dyn Fn(bitternlatch_overload::Command) -> bool>>,
    pub lengths: Option<Box<dyn Fn(bitternlatch_output_length::Command) -> bool>>,
    pub workflow: Option<Box<dyn Fn(bitternlatch_workflow::Command) -> bool>>,
}

/// One dispatcher's loop.
pub struct Driver {
    machine: Machine,
    clock: Clock,
    engines: Engines,
    tls: Option<Arc<tls::Client>>,
    events: Receiver<Event>,
    back: Sender<Event>,
    sessions: HashMap<SessionId, Outbox>,
    links: HashMap<LinkId, Outbox>,
    /// Inputs that carrying out gave, ahead of the queue.
    own: VecDeque<Input>,
    ready: Arc<AtomicBool>,
    recorder: Option<Recorder>,
    charges: Option<Charges>,
    ledger: Option<LedgerLink>,
    /// Where what is seen of hosts is told.
    peers: Option<Box<dyn Fn(Vec<ServerObservation>)>>,
    beside: Beside,
    /// Answers that wait for their charge.
    held: OutputBarrier<SessionId, Output>,
    stopping: bool,
}

impl Driver {
    pub fn new(
        settings: Settings,
        seed: u64,
        (back, events): (Sender<Event>, Receiver<Event>),
        ready: Arc<AtomicBool>,
    ) -> Self {
        Driver {
            engines: settings.engines.clone(),
            tls: None,
            machine: Machine::new(settings, seed),
            clock: Clock::start(),
            events,
            back,
            sessions: HashMap::new(),
            links: HashMap::new(),
            own: VecDeque::new(),
            ready,
            recorder: None,
            charges: None,
            ledger: None,
            peers: None,
            beside: Beside::default(),
            held: OutputBarrier::new(CHARGE_WAIT_S),
            stopping: false,
        }
    }

    /// Secures the links to hosts.
    pub fn secure(&mut self, tls: Arc<tls::Client>) {
        self.tls = Some(tls);
    }

    /// Keeps charges on disk; answers wait for them.
    pub fn charge(&mut self, charges: Charges) {
        self.charges = Some(charges);
    }

    /// Borrows of a ledger.
    pub fn borrow(&mut self, ledger: LedgerLink) {
        self.ledger = Some(ledger);
    }

    /// Tells peers what is seen of hosts.
    pub fn tell_peers(&mut self, tell: Box<dyn Fn(Vec<ServerObservation>)>) {
        self.peers = Some(tell);
    }

    /// Tells machines beside the plane what the core wants of them.
    pub fn tell_beside(&mut self, beside: Beside) {
        self.beside = beside;
    }

    /// Records every step from now on.
    pub fn record(&mut self, recorder: Recorder) {
        self.recorder = Some(recorder);
    }

    /// Runs until all is answered after a stop, or the time after the stop is over.
    pub fn run(mut self, stop_within: Duration) {
        let mut stop_by = None;
        while let Some(input) = self.next_input(stop_by) {
            if input == Input::Stop {
                stop_by = Some(Instant::now() + stop_within);
                self.stopping = true;
            }
            if self.step(input) {
                break;
            }
        }
        self.end();
    }

    /// The next input, or `None` when the stop's time is over or nobody is left to give one.
    fn next_input(&mut self, stop_by: Option<Instant>) -> Option<Input> {
        if let Some(input) = self.own.pop_front() {
            return Some(input);
        }
        if stop_by.is_some_and(|by| Instant::now() >= by) {
            tracing::error!("the time to stop is over with requests in hand");
            return None;
        }
        let wait = self
            .machine
            .next_wake()
            .map_or(Duration::from_secs(1), |at| self.clock.until(at));
        let wait = stop_by.map_or(wait, |by| {
            wait.min(by.saturating_duration_since(Instant::now()))
        });
        let held = self
            .held
            .next_s()
            .map(|at| self.clock.until(Micros::from_seconds(at)));
        let wait = held.map_or(wait, |held| wait.min(held));
        match self.events.recv_timeout(wait) {
            Ok(Event::Input(input)) => Some(input),
            Ok(Event::Session(session, outbox, caller)) => {
                self.sessions.insert(session, outbox);
                Some(Input::SessionOpened { session, caller })
            }
            Ok(Event::Link(link, outbox)) => {
                self.links.insert(link, outbox);
                Some(Input::LinkUp { link })
            }
            Ok(Event::Written) | Err(RecvTimeoutError::Timeout) => Some(Input::Tick),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }

    /// One step; true when all is answered after a stop.
    fn step(&mut self, input: Input) -> bool {
        match &input {
            Input::SessionClosed { session } => {
                self.held.forget(*session);
                drop(self.sessions.remove(session));
            }
            Input::LinkClosed { link, .. } => drop(self.links.remove(link)),
            _ => {}
        }
        let at = self.clock.now();
        let kept = self.recorder.is_some().then(|| input.clone());
        let mut outputs = Vec::new();
        self.machine.step(at, input, &mut outputs);
        if let (Some(recorder), Some(input)) = (&self.recorder, kept) {
            if !recorder.put(record::Entry::Step {
                at,
                input,
                outputs: outputs.clone(),
            }) {
                tracing::error!("the record ends here: it cannot be written as fast as it grows");
                self.recorder = None;
            }
        }
        self.ready.store(
            !self.stopping && self.machine.is_ready(at),
            Ordering::Relaxed,
        );
        if let Some(charges) = &self.charges {
            let free = self.held.written(charges.written());
            self.carry_all(free);
        }
        let late = self.held.overdue(at.seconds());
        if !late.is_empty() {
            tracing::error!(
                outputs = late.len(),
                "answers go before their charges are on disk"
            );
            self.carry_all(late);
        }
        self.carry_in_order(at, outputs)
    }

    /// Carries a step's outputs out; what follows a charge to a session waits for the charge. True for the last output.
    fn carry_in_order(&mut self, at: Micros, outputs: Vec<Output>) -> bool {
        let mut behind = None;
        let mut stopped = false;
        for output in outputs {
            let output = match output {
                Output::Charge(entry) => {
                    behind = self.put_charge(entry).or(behind);
                    continue;
                }
                output => output,
            };
            let to = match &output {
                Output::SendToClient { session, .. } | Output::CloseSession { session, .. } => {
                    *session
                }
                _ => {
                    stopped |= self.carry(output);
                    continue;
                }
            };
            if let Some(output) = self.held.offer(at.seconds(), to, behind, output) {
                stopped |= self.carry(output);
            }
        }
        stopped
    }

    fn carry_all(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            self.carry(output);
        }
    }

    fn put_charge(&mut self, entry: Entry) -> Option<Charge> {
        match &mut self.charges {
            Some(charges) => charges.put(entry),
            None => {
                tracing::debug!(target: "charge", response = entry.response, number = entry.number,
                    tenant = entry.tenant, class = entry.class, used = ?entry.used, "charged");
                None
            }
        }
    }

    /// Carries one output out; true for the last one.
    fn carry(&mut self, output: Output) -> bool {
        match output {
            Output::SendToClient { session, text } => {
                if let Some(outbox) = self.sessions.get(&session) {
                    if outbox.text(text).is_err() {
                        tracing::warn!(
                            session = session.0,
                            "closed: it does not read what it is sent"
                        );
                        outbox.cut();
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
                deadline: stale,
            } => self.tell(link, text, stale),
            Output::CloseLink { link } => {
                if let Some(outbox) = self.links.get(&link) {
                    outbox.cut();
                }
            }
            Output::RequestBudgetLeases {
                holder,
                number,
                tenants,
            } => {
                if let Some(ledger) = &self.ledger {
                    ledger.ask(&QuotaRequest::RequestLeases {
                        holder,
                        number,
                        tenants,
                    });
                }
            }
            Output::Observations(seen) => {
                if let Some(tell) = &self.peers {
                    tell(seen);
                }
            }
            // What is not taken is as if it had been lost on the way to peers, which the machines and the core bear by time.
            Output::Overload(ask) => drop(self.beside.overload.as_ref().map(|to| to(ask))),
            Output::OutputLength(ask) => drop(self.beside.lengths.as_ref().map(|to| to(ask))),
            Output::Workflow(ask) => {
                let call = ask.call();
                if !self.beside.workflow.as_ref().is_some_and(|to| to(ask)) {
                    // A step waits for its answer: it is told at once that there will be none.
                    let why = bitternlatch_workflow::RejectReason::Busy;
                    let told = bitternlatch_workflow::Event::Rejected { call, reason: why };
                    self.own.push_back(Input::Workflow(told));
                }
            }
            // Put on its way before; see carry_in_order.
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

    fn tell(&mut self, link: LinkId, text: String, stale: Option<bitternlatch_core::SendDeadline>) {
        let Some(outbox) = self.links.get(&link) else {
            return;
        };
        match stale {
            None => {
                if outbox.text(text).is_err() {
                    outbox.cut();
                }
            }
            Some(stale) => {
                let within = Duration::from_secs_f64(stale.max_wait_s);
                if outbox
                    .text_within(text, within, stale.attempt.clone())
                    .is_err()
                {
                    self.own.push_back(Input::LinkUnsent {
                        link,
                        attempt: stale.attempt,
                    });
                }
            }
        }
    }

    /// Dials from a thread of the link's own, which then reads it.
    fn dial(&mut self, link: LinkId, endpoint: String, name: String) {
        let tls = self.tls.as_ref().map(|tls| (tls.config(), name));
        let manner = Manner { token: None, tls };
        let (back, engines) = (self.back.clone(), self.engines.clone());
        let thread = std::thread::Builder::new()
            .stack_size(READER_STACK)
            .name("link".into());
        if let Err(e) = thread.spawn(move || run_link(link, &endpoint, &manner, &engines, &back)) {
            self.own.push_back(Input::LinkFailed {
                link,
                reason: format!("no thread: {e}"),
            });
        }
    }

    fn end(mut self) {
        if let Some(charges) = self.charges.take() {
            charges.end();
        }
        let rest = self.held.written(Charge(u64::MAX));
        self.carry_all(rest);
        for outbox in self.sessions.values() {
            outbox.close(1001, "the dispatcher stops");
        }
        for outbox in self.links.values() {
            outbox.close(1001, "the dispatcher stops");
        }
        let by = Instant::now() + LAST_WORDS;
        while writers() > 0 && Instant::now() < by {
            std::thread::sleep(Duration::from_millis(2));
        }
        if let Some(recorder) = self.recorder {
            recorder.end();
        }
    }
}

fn run_link(
    link: LinkId,
    endpoint: &str,
    manner: &Manner,
    engines: &Engines,
    back: &Sender<Event>,
) {
    let limits = Limits {
        message_bytes: engines.max_message_bytes,
        queue: engines.max_queued_messages,
        ping: Duration::from_secs_f64(engines.ping_interval_s),
        idle: None,
    };
    let tell = |input| back.send(Event::Input(input)).is_ok();
    let unsent_to = back.clone();
    let unsent = Box::new(move |attempt| {
        let _ = unsent_to.send(Event::Input(Input::LinkUnsent { link, attempt }));
    });
    let within = Duration::from_secs_f64(engines.connect_timeout_s);
    let mut reader = match dial_as(endpoint, "/v1/engine", manner, within, limits, Some(unsent)) {
        Ok((reader, outbox)) => {
            if back.send(Event::Link(link, outbox)).is_err() {
                return;
            }
            reader
        }
        Err(e) => {
            tell(Input::LinkFailed {
                link,
                reason: e.to_string(),
            });
            return;
        }
    };
    loop {
        match reader.hear() {
            Heard::Text(text) => {
                if !tell(Input::LinkText { link, text }) {
                    return;
                }
            }
            Heard::Ended(why) => {
                tell(Input::LinkClosed { link, reason: why });
                return;
            }
        }
    }
}

/// Writes the record from a thread of its own.
pub struct Recorder {
    queue: Sender<record::Entry>,
    thread: std::thread::JoinHandle<()>,
}

impl Recorder {
    /// Begins a record file.
    ///
    /// # Errors
    /// Where the file cannot be made or the system gives no thread.
    pub fn begin(path: &PathBuf, settings: String, seed: u64) -> io::Result<Recorder> {
        let file = std::fs::File::create(path)?;
        let mut writer = Writer::new(file)?;
        writer.append(&record::Entry::Start { settings, seed })?;
        writer.flush()?;
        let (queue, entries) = bounded::<record::Entry>(RECORD_ENTRIES);
        let write = move || loop {
            let done = match entries.recv_timeout(RECORD_EVERY) {
                Ok(entry) => writer.append(&entry),
                Err(RecvTimeoutError::Timeout) => writer.flush(),
                Err(RecvTimeoutError::Disconnected) => {
                    if let Err(e) = writer.flush() {
                        tracing::error!(error = %e, "the record's end cannot be written");
                    }
                    return;
                }
            };
            if let Err(e) = done {
                tracing::error!(error = %e, "the record ends here");
                return;
            }
        };
        let thread = std::thread::Builder::new()
            .name("record".into())
            .spawn(write)?;
        Ok(Recorder { queue, thread })
    }

    /// False once the record has ended.
    fn put(&self, entry: record::Entry) -> bool {
        match self.queue.try_send(entry) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    fn end(self) {
        drop(self.queue);
        let _ = self.thread.join();
    }
}
