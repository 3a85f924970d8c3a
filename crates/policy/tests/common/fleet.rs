//! A discrete-event simulation of many routers that share one fleet of servers.
//!
//! A prefill server processes one prompt at a time. At a decode server each answer holds memory,
//! and requests wait until enough is free. Prefills and first tokens take longer at a server that
//! warms up. Load reports are exact at the time they are sent.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;

#[path = "digest.rs"]
pub mod digest;
use digest::Digest;

/// Network delay of each message, seconds.
const NETWORK_DELAY_S: f64 = 0.001;
/// Time from the first token of an answer to its end, seconds.
const STREAM_S: f64 = 4.0;
/// Time that a warm decode server takes to produce the first token of a scheduled request, seconds.
const FIRST_TOKEN_S: f64 = 0.03;

/// An attempt: the index of its router, its request, and its index among the request's attempts.
type Attempt = (usize, RequestId, u16);

struct ServerModel {
    kind: KindSettings,
    booted_at: f64,
    /// Queued attempts with their arrival times.
    waiting: VecDeque<(Attempt, f64)>,
    /// Running attempts with the memory that they hold, tokens.
    running: BTreeMap<Attempt, f64>,
    /// Prefixes in the prefix cache, which never evicts.
    cached: BTreeSet<u64>,
    accepted: u32,
    /// Arrival times of all attempts, in order.
    arrived_at: Vec<f64>,
    /// Requests of the attempts in `arrived_at`.
    arrived_requests: Vec<RequestId>,
    fault: Option<Fault>,
}

/// A fault of a server.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// The server accepts requests and never answers.
    Silent,
    /// The server answers each request with an error at once.
    Errors,
    /// The server resets one attempt in this many.
    Resets(u64),
}

/// A scheduled event of the simulation. Events at a server carry the time at which the attempt
/// arrived there.
enum PlannedEvent {
    /// A router receives an event.
    Handle(usize, Event),
    /// A router is replaced by a new one with this seed, which receives an endpoint list.
    Restart(usize, u64, Event),
    /// An attempt arrives at a server.
    ArriveAtServer(ServerId, Attempt),
    /// A prefill ends; the last field is its prefix cache hit in tokens.
    PrefillEnd(ServerId, Attempt, f64, f64),
    /// A decode server produces the first token of an answer.
    FirstToken(ServerId, Attempt, f64),
    /// A decode server produces the last token of an answer.
    StreamEnd(ServerId, Attempt, f64),
}

/// The simulated routers, servers and clients.
pub struct Fleet {
    pub now: f64,
    settings: Settings,
    routers: Vec<Router>,
    servers: BTreeMap<ServerId, ServerModel>,
    /// Scheduled events by time in microseconds, then in the order of their scheduling.
    planned: BTreeMap<(u64, u64), PlannedEvent>,
    planned_count: u64,
    /// Each request with its arrival time and the number of its attempts.
    requests: BTreeMap<RequestId, (Request, f64, u16)>,
    /// Time from the arrival of each request to its first token, seconds; infinite if none came.
    pub first_token_s: BTreeMap<RequestId, f64>,
    /// Time of each router's latest failure at a server, removed by its next success there.
    last_failures: BTreeMap<(ServerId, usize), f64>,
    /// Attempts at silent servers, which end only when they are cancelled.
    unanswered: BTreeMap<Attempt, ServerId>,
    /// Number of times that a client retries a rejected request.
    pub client_retries: u32,
    /// Retries so far of each request that is itself a retry.
    client_attempts: BTreeMap<RequestId, u32>,
    /// Requests that each warm server adds to the queue in its load reports. If it is positive,
    /// warming servers report no load at all, so that a router prefers a warming server whenever
    /// the slow start lets it choose one.
    pub extra_reported_queue: f64,
    /// Digest of all actions so far, if enabled.
    pub digest: Option<Digest>,
}

/// Returns the `n`-th pseudorandom number of a seed, uniform from 0 to 1.
pub fn draw(seed: u64, n: u64) -> f64 {
    let z = (seed ^ n.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 29)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (z >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns an exponentially distributed time between two arrivals at a mean rate per second.
pub fn interarrival_s(seed: u64, n: u64, rate: f64) -> f64 {
    -draw(seed, n).max(1e-9).ln() / rate
}

impl Fleet {
    /// Schedules Poisson arrivals at a mean rate per second for a duration. Each request arrives at
    /// a random router, with one of 40 unevenly used prefixes and one of 400 sessions;
    /// `new_request` creates it from its id.
    pub fn arrivals(
        &mut self,
        seed: u64,
        rate: f64,
        duration_s: f64,
        new_request: impl Fn(RequestId) -> Request,
    ) {
        let until = self.now + duration_s;
        let (mut at, mut id) = (self.now + 0.1, 0u32);
        while at < until {
            id += 1;
            let n = u64::from(id) * 8;
            at += interarrival_s(seed, n, rate);
            let router = (draw(seed, n + 1) * f64::from(self.settings.dispatchers)) as usize;
            let prefix = 1 + (40.0 * draw(seed, n + 2).powi(2)) as u64;
            let session = 1 + (draw(seed, n + 3) * 400.0) as u64;
            self.arrive(
                at,
                router,
                Request {
                    prefix,
                    session,
                    ..new_request(id)
                },
            );
        }
    }

    pub fn new(settings: Settings, now: f64) -> Fleet {
        let routers = (0..settings.dispatchers)
            .map(|router| Router::new(settings.clone(), u64::from(router)));
        let routers = routers.collect();
        let (servers, planned, requests) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (first_token_s, last_failures, unanswered) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (client_retries, client_attempts, extra_reported_queue, digest) =
            (0, BTreeMap::new(), 0.0, None);
        Fleet {
            now,
            settings,
            routers,
            servers,
            planned,
            planned_count: 0,
            requests,
            first_token_s,
            last_failures,
            unanswered,
            client_retries,
            client_attempts,
            extra_reported_queue,
            digest,
        }
    }

    /// Notifies all routers of an endpoint list at the same time.
    pub fn notify_all(&mut self, at: f64, form: ListForm, entries: &[ServerEntry]) {
        self.notify_each(|_| at, form, entries);
    }

    /// Notifies each router of an endpoint list, at a time that depends on the router's index.
    pub fn notify_each(
        &mut self,
        at: impl Fn(usize) -> f64,
        form: ListForm,
        entries: &[ServerEntry],
    ) {
        for e in entries {
            let kind = self.settings.kinds[usize::from(e.kind)].clone();
            let (waiting, running, cached) = (VecDeque::new(), BTreeMap::new(), BTreeSet::new());
            let (booted_at, accepted, arrived_at, fault) = (e.booted_at, 0, Vec::new(), None);
            let model = ServerModel {
                kind,
                booted_at,
                waiting,
                running,
                cached,
                accepted,
                arrived_at,
                arrived_requests: Vec::new(),
                fault,
            };
            self.servers.entry(e.id).or_insert(model).booted_at = booted_at;
        }
        for router in 0..self.routers.len() {
            self.plan(
                at(router),
                PlannedEvent::Handle(
                    router,
                    Event::Servers {
                        form,
                        entries: entries.to_vec(),
                    },
                ),
            );
        }
    }

    /// Schedules the replacement of a router by a new one that knows only an endpoint list.
    pub fn restart_router(&mut self, at: f64, router: usize, seed: u64, entries: &[ServerEntry]) {
        let list = Event::Servers {
            form: ListForm::Full,
            entries: entries.to_vec(),
        };
        self.plan(at, PlannedEvent::Restart(router, seed, list));
    }

    /// Schedules the arrival of a request at a router.
    pub fn arrive(&mut self, at: f64, router: usize, request: Request) {
        self.requests.insert(request.id, (request.clone(), at, 0));
        self.first_token_s.insert(request.id, f64::INFINITY);
        self.plan(at, PlannedEvent::Handle(router, Event::Arrival(request)));
    }

    /// Schedules an event, no earlier than now.
    fn plan(&mut self, at: f64, event: PlannedEvent) {
        self.planned_count += 1;
        self.planned
            .insert(((at.max(self.now) * 1e6) as u64, self.planned_count), event);
    }

    /// Runs the simulation until a clock time.
    pub fn run_until(&mut self, until: f64) {
        while let Some(next) = self
            .planned
            .first_entry()
            .filter(|e| e.key().0 <= (until * 1e6) as u64)
        {
            self.now = next.key().0 as f64 / 1e6;
            match next.remove() {
                PlannedEvent::Handle(router, event) => self.handle(router, event),
                PlannedEvent::Restart(router, seed, list) => {
                    self.routers[router] = Router::new(self.settings.clone(), seed);
                    self.handle(router, list);
                }
                PlannedEvent::ArriveAtServer(server, attempt) => {
                    self.arrive_at_server(server, attempt)
                }
                PlannedEvent::PrefillEnd(server, a, arrived_at, prefix_hit_tokens) => {
                    self.end_prefill(server, a, arrived_at, prefix_hit_tokens)
                }
                PlannedEvent::FirstToken(server, a, arrived_at) => {
                    self.send_first_token(server, a, arrived_at)
                }
                PlannedEvent::StreamEnd(server, a, arrived_at) => {
                    self.end_stream(server, a, arrived_at)
                }
            }
        }
        self.now = until;
    }

    /// Passes an event to a router and carries out its actions.
    fn handle(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[router].handle(self.now, event, &mut out);
        for action in out {
            if let Some(digest) = &mut self.digest {
                digest.number(router as u64);
                digest.action(&action);
            }
            match action {
                Action::Reject { request, .. } => self.retry_from_client(router, request),
                Action::SetTimer { at, label } => {
                    self.plan(at, PlannedEvent::Handle(router, Event::Timer { label }))
                }
                Action::Send {
                    request, server, ..
                } => {
                    let Some(entry) = self.requests.get_mut(&request) else {
                        continue;
                    };
                    entry.2 += 1;
                    let attempt = (router, request, entry.2 - 1);
                    self.plan(
                        self.now + NETWORK_DELAY_S,
                        PlannedEvent::ArriveAtServer(server, attempt),
                    );
                }
                Action::Cancel { request, attempt } => self.cancel((router, request, attempt)),
                Action::Probe { server } => {
                    let report = self.report(server);
                    let ended = Event::ProbeEnded {
                        server,
                        outcome: Outcome::Served,
                        elapsed_s: NETWORK_DELAY_S,
                        report,
                    };
                    self.plan(
                        self.now + 2.0 * NETWORK_DELAY_S,
                        PlannedEvent::Handle(router, ended),
                    );
                }
                _ => {}
            }
        }
    }

    /// Lets the client retry a rejected request after 0.3 s, under a new id, if it has retries
    /// left.
    fn retry_from_client(&mut self, router: usize, request: RequestId) {
        let client_attempts = self.client_attempts.get(&request).copied().unwrap_or(0);
        if client_attempts < self.client_retries {
            let retry = Request {
                id: request + 1_000_000,
                ..self.requests[&request].0.clone()
            };
            self.client_attempts.insert(retry.id, client_attempts + 1);
            self.arrive(self.now + 0.3, router, retry);
        }
    }

    /// Returns the fraction of its full capacity that a server has now: it grows linearly from the
    /// start capacity until the server is warm.
    fn capacity(&self, server: ServerId) -> f64 {
        let (warming, booted) = (&self.settings.slow_start, self.servers[&server].booted_at);
        let age = ((self.now - booted) / warming.warm_after_s).clamp(0.0, 1.0);
        if booted <= 0.0 {
            1.0
        } else {
            warming.start_capacity + (1.0 - warming.start_capacity) * age
        }
    }

    /// Returns a server's load report in the order of the harness's report fields.
    fn report(&self, server: ServerId) -> Vec<f64> {
        let s = &self.servers[&server];
        let held = s.running.values().sum::<f64>() / s.kind.memory_tokens / self.capacity(server);
        let share = if s.kind.role == Role::Prefill {
            s.running.len() as f64
        } else {
            held
        };
        match self.capacity(server) < 1.0 {
            true if self.extra_reported_queue > 0.0 => vec![0.0; 3],
            _ => vec![
                share,
                s.waiting.len() as f64 + self.extra_reported_queue,
                held,
            ],
        }
    }

    fn arrive_at_server(&mut self, server: ServerId, attempt: Attempt) {
        let now = self.now;
        let s = self.servers.get_mut(&server).expect("a known server");
        s.accepted += 1;
        s.arrived_at.push(now);
        s.arrived_requests.push(attempt.1);
        match s.fault {
            Some(Fault::Silent) => {
                self.unanswered.insert(attempt, server);
                return;
            }
            Some(Fault::Errors) => return self.answer(server, attempt, Outcome::Error, now, 0.0),
            Some(Fault::Resets(one_in))
                if (u64::from(attempt.1) * 7919 + u64::from(attempt.2) * 104_729) % one_in == 0 =>
            {
                return self.answer(server, attempt, Outcome::Reset, now, 0.0);
            }
            Some(Fault::Resets(_)) | None => {}
        }
        s.waiting.push_back((attempt, now));
        self.start_queued(server);
    }

    /// Starts queued attempts for as long as the server has room.
    fn start_queued(&mut self, server: ServerId) {
        let (now, capacity) = (self.now, self.capacity(server));
        loop {
            let s = self.servers.get_mut(&server).expect("a known server");
            let Some(&(attempt, arrived_at)) = s.waiting.front() else {
                return;
            };
            let request = &self.requests[&attempt.1].0;
            if s.kind.role == Role::Prefill {
                if !s.running.is_empty() {
                    return;
                }
                let prefix_hit_tokens = if s.cached.contains(&request.prefix) {
                    request.prefix_tokens
                } else {
                    0.0
                };
                s.cached.insert(request.prefix);
                let prefill_s = 0.02
                    + 0.06 * (request.prompt_tokens - prefix_hit_tokens) / 1000.0
                    + 0.003 * request.prompt_tokens / 1000.0;
                s.waiting.pop_front();
                s.running.insert(attempt, 0.0);
                self.plan(
                    now + prefill_s / capacity,
                    PlannedEvent::PrefillEnd(server, attempt, arrived_at, prefix_hit_tokens),
                );
                return;
            }
            let tokens = request.prompt_tokens + 0.2 * request.max_output_tokens;
            if s.running.values().sum::<f64>() + tokens > s.kind.memory_tokens * capacity {
                return;
            }
            s.waiting.pop_front();
            s.running.insert(attempt, tokens);
            self.plan(
                now + FIRST_TOKEN_S / capacity,
                PlannedEvent::FirstToken(server, attempt, arrived_at),
            );
        }
    }

    /// Ends a prefill, unless it was cancelled, and starts the next one.
    fn end_prefill(
        &mut self,
        server: ServerId,
        attempt: Attempt,
        arrived_at: f64,
        prefix_hit_tokens: f64,
    ) {
        let was_running = self
            .servers
            .get_mut(&server)
            .is_some_and(|s| s.running.remove(&attempt).is_some());
        self.start_queued(server);
        if was_running {
            self.answer(
                server,
                attempt,
                Outcome::PrefillDone,
                arrived_at,
                prefix_hit_tokens,
            );
        }
    }

    /// Sends the first token of an answer, unless the attempt was cancelled.
    fn send_first_token(
        &mut self,
        server: ServerId,
        (router, request, attempt): Attempt,
        arrived_at: f64,
    ) {
        if !self.servers[&server]
            .running
            .contains_key(&(router, request, attempt))
        {
            return;
        }
        let (arrived, elapsed_s) = (self.requests[&request].1, self.now - arrived_at);
        self.first_token_s.insert(request, self.now - arrived);
        let event = Event::FirstToken {
            request,
            attempt,
            server,
            elapsed_s,
        };
        self.plan(
            self.now + NETWORK_DELAY_S,
            PlannedEvent::Handle(router, event),
        );
        let end = self.now + STREAM_S;
        self.plan(
            end,
            PlannedEvent::StreamEnd(server, (router, request, attempt), arrived_at),
        );
    }

    /// Ends an answer and frees its memory.
    fn end_stream(&mut self, server: ServerId, attempt: Attempt, arrived_at: f64) {
        self.servers
            .get_mut(&server)
            .and_then(|s| s.running.remove(&attempt));
        self.start_queued(server);
        self.answer(server, attempt, Outcome::Served, arrived_at, 0.0);
    }

    /// Cancels an attempt wherever it is queued, running or unanswered.
    fn cancel(&mut self, attempt: Attempt) {
        let at = self.servers.iter_mut().find_map(|(id, s)| {
            let was_waiting = s
                .waiting
                .iter()
                .position(|w| w.0 == attempt)
                .map(|i| s.waiting.remove(i))
                .is_some();
            (was_waiting || s.running.remove(&attempt).is_some()).then_some(*id)
        });
        if let Some(server) = at.or_else(|| self.unanswered.remove(&attempt)) {
            self.answer(server, attempt, Outcome::Cancelled, self.now, 0.0);
            self.start_queued(server);
        }
    }

    /// Sends the end of an attempt to its router, with a load report.
    fn answer(
        &mut self,
        server: ServerId,
        ended: Attempt,
        outcome: Outcome,
        arrived_at: f64,
        prefix_hit_tokens: f64,
    ) {
        let (router, request, attempt) = ended;
        let (finished, elapsed_s) = (outcome == Outcome::Served, self.now - arrived_at);
        // Answers are as long as their requests allow.
        let output_tokens = finished.then(|| self.requests[&request].0.max_output_tokens);
        let report = self.report(server);
        match outcome {
            Outcome::Error | Outcome::Cancelled | Outcome::Reset => {
                self.last_failures.insert((server, router), self.now)
            }
            _ => self.last_failures.remove(&(server, router)),
        };
        let end = AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed_s,
            finished,
            prefix_hit_tokens,
            output_tokens,
            report,
        };
        self.plan(
            self.now + NETWORK_DELAY_S,
            PlannedEvent::Handle(router, Event::AttemptEnded(end)),
        );
    }

    pub fn set_fault(&mut self, server: ServerId, fault: Fault) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.fault = Some(fault);
        }
    }

    /// Sends each router a report of how many others, up to a maximum, have failed at a server
    /// within the last 3 s.
    pub fn send_peer_reports(&mut self, server: ServerId, max_reporters: usize) {
        let is_recent = |(_, at): &(&(ServerId, usize), &f64)| self.now - **at < 3.0;
        let failed = self
            .last_failures
            .range((server, 0)..(server + 1, 0))
            .filter(is_recent);
        let failed: Vec<(usize, f64)> = failed.map(|((_, router), at)| (*router, *at)).collect();
        for router in 0..self.routers.len() {
            let others = || failed.iter().filter(|f| f.0 != router).map(|f| f.1);
            let Some(last) = others().max_by(f64::total_cmp) else {
                continue;
            };
            let (reporters, peers) = (
                others().count().min(max_reporters) as u32,
                self.routers.len() as u32 - 1,
            );
            let (observation, age_s) = (Observation::Failing, self.now - last);
            self.handle(
                router,
                Event::PeerReport {
                    server,
                    observation,
                    reporters,
                    peers,
                    age_s,
                },
            );
        }
    }

    /// Returns the arrival times of all attempts at a server.
    pub fn arrived_at(&self, server: ServerId) -> &[f64] {
        self.servers.get(&server).map_or(&[], |s| &s.arrived_at)
    }

    /// Returns when attempts arrived at a server, and their requests.
    pub fn arrived_requests(&self, server: ServerId) -> impl Iterator<Item = (f64, &Request)> {
        let times = self.arrived_at(server).iter().copied();
        let requests = self
            .servers
            .get(&server)
            .map_or(&[][..], |s| &s.arrived_requests);
        times.zip(requests.iter().map(|id| &self.requests[id].0))
    }

    /// Returns the number of attempts queued at a server and the number it has received in all.
    pub fn queued_and_accepted(&self, server: ServerId) -> (usize, u32) {
        self.servers
            .get(&server)
            .map_or((0, 0), |s| (s.waiting.len(), s.accepted))
    }
}
