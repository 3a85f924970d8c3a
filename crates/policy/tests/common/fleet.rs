//! Many routers over one fleet in simulated time: prefill servers that read one prompt after the
//! other, decode servers whose answers hold memory and wait for it, all slower while warming;
//! reports tell the truth, each as it is sent.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;

#[path = "digest.rs"]
pub mod digest;
use digest::Digest;

/// Seconds that a message takes, and an answer from its first token on, at a warm decode server.
const WAY_S: f64 = 0.001;
const ANSWER_S: f64 = 4.0;
const FIRST_S: f64 = 0.03;

type Attempt = (usize, RequestId, u16);

struct Model {
    kind: KindSettings,
    booted_at: f64,
    waiting: VecDeque<(Attempt, f64)>, // With the time at which it came.
    running: BTreeMap<Attempt, f64>,   // With the tokens held.
    cached: BTreeSet<u64>,
    accepted: u32,
    arrived_at: Vec<f64>, // When each attempt came.
    fault: Option<Fault>,
}

/// What goes wrong with a server: it takes requests and says nothing, or an error at once.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    Silent,
    Errors,
    /// One attempt in so many is reset.
    Resets(u64),
}

enum PlannedEvent {
    Handle(usize, Event),
    Restart(usize, u64, Event),
    ArriveAtServer(ServerId, Attempt),
    Read(ServerId, Attempt, f64, f64),
    First(ServerId, Attempt, f64),
    End(ServerId, Attempt, f64),
}

pub struct Fleet {
    pub now: f64,
    settings: Settings,
    routers: Vec<Router>,
    servers: BTreeMap<ServerId, Model>,
    due: BTreeMap<(u64, u64), PlannedEvent>, // In microseconds, and in the order of asking.
    count: u64,
    arrived: BTreeMap<RequestId, (Request, f64, u16)>, // With the time of arrival and the attempts made.
    /// Waits for the first token; infinite where none came.
    pub waits: BTreeMap<RequestId, f64>,
    /// Last failures at each server that no success has followed, by router.
    failed: BTreeMap<(ServerId, usize), f64>,
    swallowed: BTreeMap<Attempt, ServerId>,
    /// How often a client comes again that was rejected, a moment later, and the tries of those
    /// that did.
    pub client_retries: u32,
    client_attempts: BTreeMap<RequestId, u32>,
    /// Requests that warm servers report queued beyond the truth, while warming ones say that they
    /// are empty: whoever has its turn at one takes it.
    pub extra_reported_queue: f64,
    /// Of all actions so far, where it is asked for.
    pub digest: Option<Digest>,
}

/// A draw from 0 to 1.
pub fn draw(seed: u64, n: u64) -> f64 {
    let z = (seed ^ n.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 29)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (z >> 11) as f64 / (1u64 << 53) as f64
}

/// Seconds to the next of arrivals that come by chance, so many a second.
pub fn gap_s(seed: u64, n: u64, rate: f64) -> f64 {
    -draw(seed, n).max(1e-9).ln() / rate
}

impl Fleet {
    /// So many requests a second for some time, each at any router, with a few prefixes much in use
    /// and many sessions; `new_request` makes one of its number.
    pub fn arrivals(
        &mut self,
        seed: u64,
        rate: f64,
        for_s: f64,
        new_request: impl Fn(RequestId) -> Request,
    ) {
        let until = self.now + for_s;
        let (mut at, mut id) = (self.now + 0.1, 0u32);
        while at < until {
            id += 1;
            let n = u64::from(id) * 8;
            at += gap_s(seed, n, rate);
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
        let routers =
            (0..settings.dispatchers).map(|me| Router::new(settings.clone(), u64::from(me)));
        let routers = routers.collect();
        let (servers, due, arrived) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (waits, failed, swallowed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (client_retries, client_attempts, extra_reported_queue, digest) =
            (0, BTreeMap::new(), 0.0, None);
        Fleet {
            now,
            settings,
            routers,
            servers,
            due,
            count: 0,
            arrived,
            waits,
            failed,
            swallowed,
            client_retries,
            client_attempts,
            extra_reported_queue,
            digest,
        }
    }

    /// Notifies all routers of these servers.
    pub fn list(&mut self, at: f64, form: ListForm, entries: &[ServerEntry]) {
        self.list_at(|_| at, form, entries);
    }

    /// Notifies each router of these servers at a time of its own.
    pub fn list_at(&mut self, at: impl Fn(usize) -> f64, form: ListForm, entries: &[ServerEntry]) {
        for e in entries {
            let kind = self.settings.kinds[usize::from(e.kind)].clone();
            let (waiting, running, cached) = (VecDeque::new(), BTreeMap::new(), BTreeSet::new());
            let (booted_at, accepted, arrived_at, fault) = (e.booted_at, 0, Vec::new(), None);
            let model = Model {
                kind,
                booted_at,
                waiting,
                running,
                cached,
                accepted,
                arrived_at,
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

    /// A router dies and another comes in its place that knows a list and nothing else.
    pub fn restart(&mut self, at: f64, router: usize, seed: u64, entries: &[ServerEntry]) {
        let list = Event::Servers {
            form: ListForm::Full,
            entries: entries.to_vec(),
        };
        self.plan(at, PlannedEvent::Restart(router, seed, list));
    }

    pub fn arrive(&mut self, at: f64, router: usize, new_request: Request) {
        self.arrived
            .insert(new_request.id, (new_request.clone(), at, 0));
        self.waits.insert(new_request.id, f64::INFINITY);
        self.plan(
            at,
            PlannedEvent::Handle(router, Event::Arrival(new_request)),
        );
    }

    fn plan(&mut self, at: f64, what: PlannedEvent) {
        self.count += 1;
        self.due
            .insert(((at.max(self.now) * 1e6) as u64, self.count), what);
    }

    pub fn run(&mut self, until: f64) {
        while let Some(next) = self
            .due
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
                PlannedEvent::Read(server, a, arrived_at, hit) => {
                    self.read(server, a, arrived_at, hit)
                }
                PlannedEvent::First(server, a, arrived_at) => self.first(server, a, arrived_at),
                PlannedEvent::End(server, a, arrived_at) => self.end(server, a, arrived_at),
            }
        }
        self.now = until;
    }

    fn handle(&mut self, me: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[me].handle(self.now, event, &mut out);
        for action in out {
            if let Some(digest) = &mut self.digest {
                digest.number(me as u64);
                digest.action(&action);
            }
            match action {
                Action::Reject { request, .. } => self.retry_from_client(me, request),
                Action::SetTimer { at, label } => {
                    self.plan(at, PlannedEvent::Handle(me, Event::Timer { label }))
                }
                Action::Send {
                    request, server, ..
                } => {
                    let Some(new_request) = self.arrived.get_mut(&request) else {
                        continue;
                    };
                    new_request.2 += 1;
                    let attempt = (me, request, new_request.2 - 1);
                    self.plan(
                        self.now + WAY_S,
                        PlannedEvent::ArriveAtServer(server, attempt),
                    );
                }
                Action::Cancel { request, attempt } => self.cancel((me, request, attempt)),
                Action::Probe { server } => {
                    let report = self.report(server);
                    let ended = Event::ProbeEnded {
                        server,
                        outcome: Outcome::Served,
                        elapsed_s: WAY_S,
                        report,
                    };
                    self.plan(self.now + 2.0 * WAY_S, PlannedEvent::Handle(me, ended));
                }
                _ => {}
            }
        }
    }

    fn retry_from_client(&mut self, me: usize, request: RequestId) {
        let client_attempts = self.client_attempts.get(&request).copied().unwrap_or(0);
        if client_attempts < self.client_retries {
            let new_request = Request {
                id: request + 1_000_000,
                ..self.arrived[&request].0.clone()
            };
            self.client_attempts
                .insert(new_request.id, client_attempts + 1);
            self.arrive(self.now + 0.3, me, new_request);
        }
    }

    fn capacity(&self, server: ServerId) -> f64 {
        let (warming, booted) = (&self.settings.slow_start, self.servers[&server].booted_at);
        let age = ((self.now - booted) / warming.warm_after_s).clamp(0.0, 1.0);
        if booted <= 0.0 {
            1.0
        } else {
            warming.start_capacity + (1.0 - warming.start_capacity) * age
        }
    }

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
        match s.fault {
            Some(Fault::Silent) => {
                self.swallowed.insert(attempt, server);
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
        self.start(server);
    }

    /// Starts what there is room for.
    fn start(&mut self, server: ServerId) {
        let (now, capacity) = (self.now, self.capacity(server));
        loop {
            let s = self.servers.get_mut(&server).expect("a known server");
            let Some(&(attempt, arrived_at)) = s.waiting.front() else {
                return;
            };
            let new_request = &self.arrived[&attempt.1].0;
            if s.kind.role == Role::Prefill {
                if !s.running.is_empty() {
                    return;
                }
                let hit = if s.cached.contains(&new_request.prefix) {
                    new_request.prefix_tokens
                } else {
                    0.0
                };
                s.cached.insert(new_request.prefix);
                let read = 0.02
                    + 0.06 * (new_request.prompt_tokens - hit) / 1000.0
                    + 0.003 * new_request.prompt_tokens / 1000.0;
                s.waiting.pop_front();
                s.running.insert(attempt, 0.0);
                self.plan(
                    now + read / capacity,
                    PlannedEvent::Read(server, attempt, arrived_at, hit),
                );
                return;
            }
            let tokens = new_request.prompt_tokens + 0.2 * new_request.max_output_tokens;
            if s.running.values().sum::<f64>() + tokens > s.kind.memory_tokens * capacity {
                return;
            }
            s.waiting.pop_front();
            s.running.insert(attempt, tokens);
            self.plan(
                now + FIRST_S / capacity,
                PlannedEvent::First(server, attempt, arrived_at),
            );
        }
    }

    fn read(&mut self, server: ServerId, attempt: Attempt, arrived_at: f64, hit: f64) {
        let there = self
            .servers
            .get_mut(&server)
            .is_some_and(|s| s.running.remove(&attempt).is_some());
        self.start(server);
        if there {
            self.answer(server, attempt, Outcome::PrefillDone, arrived_at, hit);
        }
    }

    fn first(&mut self, server: ServerId, (me, request, attempt): Attempt, arrived_at: f64) {
        if !self.servers[&server]
            .running
            .contains_key(&(me, request, attempt))
        {
            return;
        }
        let (arrived, elapsed_s) = (self.arrived[&request].1, self.now - arrived_at);
        self.waits.insert(request, self.now - arrived);
        let event = Event::FirstToken {
            request,
            attempt,
            server,
            elapsed_s,
        };
        self.plan(self.now + WAY_S, PlannedEvent::Handle(me, event));
        let end = self.now + ANSWER_S;
        self.plan(
            end,
            PlannedEvent::End(server, (me, request, attempt), arrived_at),
        );
    }

    fn end(&mut self, server: ServerId, attempt: Attempt, arrived_at: f64) {
        self.servers
            .get_mut(&server)
            .and_then(|s| s.running.remove(&attempt));
        self.start(server);
        self.answer(server, attempt, Outcome::Served, arrived_at, 0.0);
    }

    fn cancel(&mut self, attempt: Attempt) {
        let at = self.servers.iter_mut().find_map(|(id, s)| {
            let waits = s
                .waiting
                .iter()
                .position(|w| w.0 == attempt)
                .map(|i| s.waiting.remove(i))
                .is_some();
            (waits || s.running.remove(&attempt).is_some()).then_some(*id)
        });
        if let Some(server) = at.or_else(|| self.swallowed.remove(&attempt)) {
            self.answer(server, attempt, Outcome::Cancelled, self.now, 0.0);
            self.start(server);
        }
    }

    fn answer(
        &mut self,
        server: ServerId,
        of: Attempt,
        outcome: Outcome,
        arrived_at: f64,
        prefix_hit_tokens: f64,
    ) {
        let (me, request, attempt) = of;
        let (finished, elapsed_s) = (outcome == Outcome::Served, self.now - arrived_at);
        let report = self.report(server);
        match outcome {
            Outcome::Error | Outcome::Cancelled | Outcome::Reset => {
                self.failed.insert((server, me), self.now)
            }
            _ => self.failed.remove(&(server, me)),
        };
        let end = AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed_s,
            finished,
            prefix_hit_tokens,
            report,
        };
        self.plan(
            self.now + WAY_S,
            PlannedEvent::Handle(me, Event::AttemptEnded(end)),
        );
    }

    pub fn set_fault(&mut self, server: ServerId, fault: Fault) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.fault = Some(fault);
        }
    }

    /// Notifies each router how many others have failed at a server of late, up to so many.
    pub fn peer_report(&mut self, server: ServerId, max_reporters: usize) {
        let lately = |(_, at): &(&(ServerId, usize), &f64)| self.now - **at < 3.0;
        let failed = self
            .failed
            .range((server, 0)..(server + 1, 0))
            .filter(lately);
        let failed: Vec<(usize, f64)> = failed.map(|((_, me), at)| (*me, *at)).collect();
        for me in 0..self.routers.len() {
            let others = || failed.iter().filter(|f| f.0 != me).map(|f| f.1);
            let Some(last) = others().max_by(f64::total_cmp) else {
                continue;
            };
            let (reporters, of) = (
                others().count().min(max_reporters) as u32,
                self.routers.len() as u32 - 1,
            );
            let (sight, age_s) = (Observation::Failing, self.now - last);
            self.handle(
                me,
                Event::PeerReport {
                    server,
                    observation: sight,
                    reporters,
                    peers: of,
                    age_s,
                },
            );
        }
    }

    /// When each attempt came to a server.
    pub fn arrived_at(&self, server: ServerId) -> &[f64] {
        self.servers.get(&server).map_or(&[], |s| &s.arrived_at)
    }

    /// Requests that wait at a server, and those that it has been sent.
    pub fn queued_and_accepted(&self, server: ServerId) -> (usize, u32) {
        self.servers
            .get(&server)
            .map_or((0, 0), |s| (s.waiting.len(), s.accepted))
    }
}
