//! All stand-ins of one process: a thread that takes messages and timers in order of time.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_core::settings::ListenTls;
use bitternlatch_identity::Caller;
use bitternlatch_net::accept::{Acceptor, Door, Handler};
use bitternlatch_net::socket::{Limits, Outbox};
use bitternlatch_net::tls;
use bitternlatch_protocol::engine::{
    decode, encode, Choice, Chunk, CompletionRequest, EngineError, EngineState, EngineUsage, FromEngine,
    KvTransferParams, PromptDetails, ToEngine, CODE_FULL, CODE_STATE_GONE,
};
use bitternlatch_protocol::tokens_of;
use crossbeam_channel::{unbounded, Receiver, RecvTimeoutError, Sender};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::capture::Capture;
use crate::config::{Config, Role, Trouble};
use crate::host::{answer_len, Host, State, Work};
use crate::signed::word;

enum Message {
    Open(usize, u64, Outbox),
    Text(usize, u64, String),
    Close(usize, u64),
    Trouble(Trouble, f64, f64, String),
    Stop,
}

enum Due {
    Greet(usize, u64),
    ReadDone(usize, u64),
    Fetched(usize, u64),
    Token(usize, u64),
    Late(usize, u64, String),
    FaultOn(usize),
    FaultOff(usize),
}

/// Hosts at work.
pub struct Standins {
    to: Sender<Message>,
    thread: Option<std::thread::JoinHandle<()>>,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Standins {
    /// Starts all hosts of a config, warm.
    ///
    /// # Errors
    /// Where an address cannot be listened on, or the system gives no thread.
    pub fn start(config: Config, capture: Capture) -> std::io::Result<Standins> {
        let (to, from) = unbounded();
        let mut world = World::new(config, capture, to.clone());
        let mut addresses = BTreeMap::new();
        for i in 0..world.hosts.len() {
            let address = world.listen(i)?;
            // A restart takes the same port again.
            world.hosts[i].config.listen = address.to_string();
            addresses.insert(world.hosts[i].config.name.clone(), address);
        }
        let run = move || world.run(&from);
        let thread = std::thread::Builder::new().name("standins".into()).spawn(run)?;
        Ok(Standins { to, thread: Some(thread), addresses })
    }

    /// Where each host listens.
    pub fn addresses(&self) -> &BTreeMap<String, SocketAddr> {
        &self.addresses
    }

    /// Begins a trouble at one host now, for tests.
    pub fn trouble(&self, host: &str, trouble: Trouble, strength: f64, for_s: f64) {
        let _ = self.to.send(Message::Trouble(trouble, strength, for_s, host.to_string()));
    }

    /// Ends all hosts.
    pub fn stop(mut self) {
        let _ = self.to.send(Message::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct HostDoor {
    host: usize,
    name: String,
    to: Sender<Message>,
    capture: Capture,
}

impl Handler for HostDoor {
    fn opened(&self, connection: u64, outbox: Outbox, _caller: Option<Caller>) {
        self.capture.put(&self.name, connection, "open", "");
        let _ = self.to.send(Message::Open(self.host, connection, outbox));
    }
    fn text(&self, connection: u64, text: String) {
        self.capture.put(&self.name, connection, "in", &text);
        let _ = self.to.send(Message::Text(self.host, connection, text));
    }
    fn closed(&self, connection: u64, _why: String) {
        self.capture.put(&self.name, connection, "close", "");
        let _ = self.to.send(Message::Close(self.host, connection));
    }
    fn plain(&self, _path: &str) -> (u16, String) {
        (404, "a stand-in host\n".to_string())
    }
}

struct World {
    config: Config,
    hosts: Vec<Host>,
    due: BTreeMap<(u64, u64), Due>,
    serial: u64,
    start: Instant,
    rng: Xoshiro256PlusPlus,
    capture: Capture,
    to: Sender<Message>,
}

impl World {
    fn new(config: Config, capture: Capture, to: Sender<Message>) -> World {
        let mut world = World {
            hosts: config.hosts.iter().cloned().map(Host::new).collect(),
            rng: Xoshiro256PlusPlus::seed_from_u64(config.seed),
            due: BTreeMap::new(),
            serial: 0,
            start: Instant::now(),
            config,
            capture,
            to,
        };
        for i in 0..world.config.faults.len() {
            let fault = world.config.faults[i].clone();
            world.after(fault.at_s, Due::FaultOn(i));
            world.after(fault.at_s + fault.for_s, Due::FaultOff(i));
        }
        world
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn after(&mut self, seconds: f64, due: Due) {
        self.serial += 1;
        self.due.insert((((self.now() + seconds) * 1e6) as u64, self.serial), due);
    }

    fn chance(&mut self, of: Option<f64>) -> bool {
        let draw = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        of.is_some_and(|p| draw < p)
    }

    fn listen(&mut self, i: usize) -> std::io::Result<SocketAddr> {
        let tls = self.tls(i)?;
        let host = &mut self.hosts[i];
        let listener = TcpListener::bind(&host.config.listen)?;
        let socket =
            Limits { message_bytes: 8 << 20, queue: 65_536, ping: Duration::from_secs(5), idle: None };
        let mut door = Door::plain(1024, Duration::from_secs(5), socket);
        door.tls = tls;
        let name = host.config.name.clone();
        self.capture.put(&name, "", "up", "");
        let handler = HostDoor { host: i, name, to: self.to.clone(), capture: self.capture.clone() };
        let acceptor = Acceptor::start(listener, door, Arc::new(handler))?;
        let address = acceptor.address();
        host.acceptor = Some(acceptor);
        Ok(address)
    }

    /// The host's own certificate, from the folder that the config names.
    fn tls(&self, i: usize) -> std::io::Result<Option<Arc<tls::Server>>> {
        let Some(dir) = &self.config.tls else { return Ok(None) };
        let name = &self.hosts[i].config.name;
        let settings = ListenTls {
            certificate: format!("{name}.pem"),
            key: format!("{name}.key"),
            clients: Some("authority.pem".to_string()),
            clients_required: true,
            revoked: Vec::new(),
        };
        let server = tls::Server::load(&settings, dir).map_err(std::io::Error::other)?;
        Ok(Some(Arc::new(server)))
    }

    fn run(&mut self, from: &Receiver<Message>) {
        loop {
            let now_us = (self.now() * 1e6) as u64;
            let next = self.due.first_key_value().map(|(k, _)| *k);
            if let Some(key) = next.filter(|k| k.0 <= now_us) {
                if let Some(due) = self.due.remove(&key) {
                    self.on_due(due);
                }
                continue;
            }
            let wait = next.map_or(Duration::from_secs(1), |k| Duration::from_micros(k.0 - now_us));
            match from.recv_timeout(wait) {
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(message) => self.on_message(message),
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
        self.hosts.iter_mut().for_each(Host::clear);
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Open(i, conn, outbox) => {
                self.hosts[i].conns.insert(conn, outbox);
                let late_s = self.hosts[i].trouble(Trouble::SlowHandshake).unwrap_or(0.0);
                self.after(late_s, Due::Greet(i, conn));
            }
            Message::Text(i, conn, text) => {
                let left = self.hosts[i].paused_until - self.now();
                match left > 0.0 {
                    true => self.after(left, Due::Late(i, conn, text)),
                    false => self.on_text(i, conn, &text),
                }
            }
            Message::Close(i, conn) => self.on_close(i, conn),
            Message::Trouble(trouble, strength, for_s, host) => {
                self.config.faults.push(crate::config::Fault {
                    at_s: 0.0,
                    for_s,
                    trouble,
                    strength,
                    hosts: vec![host],
                });
                let fault = self.config.faults.len() - 1;
                self.fault(fault, true);
                self.after(for_s, Due::FaultOff(fault));
            }
            Message::Stop => {}
        }
    }

    fn on_due(&mut self, due: Due) {
        let host = match &due {
            Due::Greet(i, _)
            | Due::ReadDone(i, _)
            | Due::Fetched(i, _)
            | Due::Token(i, _)
            | Due::Late(i, _, _) => *i,
            Due::FaultOn(f) => return self.fault(*f, true),
            Due::FaultOff(f) => return self.fault(*f, false),
        };
        let left = self.hosts[host].paused_until - self.now();
        if left > 0.0 {
            return self.after(left, due);
        }
        match due {
            Due::Greet(i, conn) => self.greet(i, conn),
            Due::ReadDone(i, work) => self.read_done(i, work),
            Due::Fetched(i, work) => self.fetched(i, work),
            Due::Token(i, work) => self.token(i, work),
            Due::Late(i, conn, text) => self.on_text(i, conn, &text),
            Due::FaultOn(_) | Due::FaultOff(_) => {}
        }
    }

    fn fault(&mut self, f: usize, on: bool) {
        let fault = self.config.faults[f].clone();
        let now = self.now();
        for name in &fault.hosts {
            let Some(i) = self.hosts.iter().position(|h| h.config.name == *name) else { continue };
            let host = &mut self.hosts[i];
            if !on {
                host.troubles.remove(&f);
                if matches!(fault.trouble, Trouble::Deploy | Trouble::Crash) {
                    self.restart(i);
                }
                continue;
            }
            host.troubles.insert(f, (fault.trouble, fault.strength));
            match fault.trouble {
                Trouble::Pause => host.paused_until = now + fault.for_s,
                Trouble::Flush => host.kept.clear(),
                Trouble::LoseStates => host.states.clear(),
                Trouble::Crash => self.down(i),
                Trouble::Deploy => {
                    host.draining = true;
                    self.say_all(i, &FromEngine::State { state: EngineState::Draining });
                }
                _ => {}
            }
        }
    }

    fn down(&mut self, i: usize) {
        self.capture.put(&self.hosts[i].config.name, "", "down", "");
        self.hosts[i].clear();
    }

    fn restart(&mut self, i: usize) {
        if self.hosts[i].acceptor.is_some() {
            self.down(i);
        }
        self.hosts[i].born = self.now();
        // The old listener's thread may still be about to let go of the port.
        for _ in 0..100 {
            if self.listen(i).is_ok() {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn say(&self, i: usize, conn: u64, message: &FromEngine) {
        self.say_text(i, conn, encode(message));
    }

    fn say_text(&self, i: usize, conn: u64, text: String) {
        let host = &self.hosts[i];
        if let Some(outbox) = host.conns.get(&conn) {
            self.capture.put(&host.config.name, conn, "out", &text);
            if outbox.text(text).is_err() {
                outbox.cut();
            }
        }
    }

    fn say_all(&self, i: usize, message: &FromEngine) {
        self.hosts[i].conns.keys().for_each(|conn| self.say(i, *conn, message));
    }

    fn greet(&mut self, i: usize, conn: u64) {
        let host = &self.hosts[i];
        if host.trouble(Trouble::Mute).is_some() {
            return;
        }
        let state = if host.draining { EngineState::Draining } else { EngineState::Ready };
        let uptime_s = (self.now() - host.born).min(1e6);
        self.say(i, conn, &FromEngine::Hello { engine_id: host.config.name.clone(), uptime_s, state });
    }

    /// A link's end ends what its dispatcher had here and lets go of its states.
    fn on_close(&mut self, i: usize, conn: u64) {
        let host = &mut self.hosts[i];
        host.conns.remove(&conn);
        host.works.retain(|_, w| w.conn != conn);
        host.states.retain(|_, s| s.conn != conn);
        self.admit(i);
    }

    fn on_text(&mut self, i: usize, conn: u64, text: &str) {
        match decode::<ToEngine>(text) {
            Ok(ToEngine::Completion { id, body }) => self.completion(i, conn, id, *body),
            Ok(ToEngine::Cancel { id }) => {
                // A state whose answer was lost goes with its request.
                self.hosts[i].states.remove(&id);
                self.hosts[i].works.retain(|_, w| w.id != id || w.conn != conn);
                self.admit(i);
            }
            Ok(ToEngine::Release { id }) => drop(self.hosts[i].states.remove(&id)),
            Ok(ToEngine::Probe { id }) => {
                let load = self.hosts[i].load(self.now()).unwrap_or_default();
                self.say(i, conn, &FromEngine::Load { id, load });
            }
            Ok(ToEngine::Fault { .. }) | Err(_) => {}
        }
    }

    fn error(&self, i: usize, conn: u64, id: &str, status: u16, code: Option<&str>) {
        let error = EngineError { message: "not served".to_string(), code: code.map(str::to_string) };
        let load = self.hosts[i].load(self.now());
        self.say(i, conn, &FromEngine::Error { id: id.to_string(), status, error, load });
    }

    fn completion(&mut self, i: usize, conn: u64, id: String, body: CompletionRequest) {
        let now = self.now();
        let kv = body.kv_transfer_params.clone().unwrap_or_default();
        if self.chance(self.hosts[i].trouble(Trouble::FastErrors)) {
            return self.error(i, conn, &id, 500, None);
        }
        if self.chance(self.hosts[i].trouble(Trouble::Garbage)) {
            self.garbage(i, conn, &id);
        }
        let tokens = u64::from(tokens_of(body.prompt.len()));
        let host = &mut self.hosts[i];
        let reads = !kv.do_remote_prefill;
        let waits = if kv.do_remote_decode { host.works.len() } else { host.waiting.len() };
        if waits >= host.config.queue || host.memory() + tokens > host.config.memory_tokens {
            return self.error(i, conn, &id, 503, Some(CODE_FULL));
        }
        if reads && host.config.role == Role::Writer {
            return self.error(i, conn, &id, 409, Some(CODE_STATE_GONE));
        }
        let cached = if reads { host.take_prefix(&body.prompt) } else { 0 };
        let out = if kv.do_remote_decode { 0 } else { answer_len(&body) };
        let read_s = if reads {
            (tokens - u64::from(cached).min(tokens)) as f64 / host.config.read_tokens_per_s
        } else {
            0.0
        };
        let write_s = f64::from(out) * host.config.token_gap_s / host.config.slots as f64;
        let work = Work { conn, id, body, tokens, cached, out, produced: 0, running: false, begins: None };
        if host.pushed_over(&self.config.cold, now, read_s + write_s) {
            return self.down(i);
        }
        self.serial += 1;
        let serial = self.serial;
        let host = &mut self.hosts[i];
        host.works.insert(serial, work);
        if kv.do_remote_decode {
            let begins = host.busy_until.max(now);
            if let Some(work) = host.works.get_mut(&serial) {
                work.begins = Some(begins);
            }
            host.busy_until = begins + read_s * host.slowness(&self.config.cold, now);
            let wait = host.busy_until - now;
            return self.after(wait, Due::ReadDone(i, serial));
        }
        host.waiting.push_back(serial);
        self.admit(i);
    }

    /// Messages that a host must not send: broken, unknown, and about somebody else's request.
    fn garbage(&self, i: usize, conn: u64, id: &str) {
        self.say_text(i, conn, "{\"op\":\"chunk\",".to_string());
        self.say_text(i, conn, "{\"op\":\"sing\"}".to_string());
        self.say(i, conn, &FromEngine::Done { id: format!("{:0>24}-0", "beef"), load: None });
        self.say(i, conn, &FromEngine::Done { id: id.replace('-', "-9"), load: None });
    }

    fn read_done(&mut self, i: usize, serial: u64) {
        let lost = self.chance(self.hosts[i].trouble(Trouble::LostAnswers));
        let host = &mut self.hosts[i];
        let Some(work) = host.works.remove(&serial) else { return };
        host.states.insert(work.id.clone(), State { conn: work.conn, tokens: work.tokens });
        if lost {
            return;
        }
        let params = KvTransferParams {
            do_remote_prefill: true,
            do_remote_decode: false,
            remote_engine_id: Some(host.config.name.clone()),
            remote_block_ids: Some(vec![serial]),
            remote_host: Some("127.0.0.1".to_string()),
            remote_port: host.acceptor.as_ref().map(|a| a.address().port()),
            remote_request_id: Some(work.id.clone()),
        };
        let choice = Choice { finish_reason: Some("length".to_string()), ..Choice::default() };
        let body =
            Chunk { choices: vec![choice], usage: Some(usage(&work)), kv_transfer_params: Some(params) };
        self.say(i, work.conn, &FromEngine::Chunk { id: work.id.clone(), body });
        self.say(i, work.conn, &FromEngine::Done { id: work.id, load: self.hosts[i].load(self.now()) });
    }

    /// Lets waiting requests run as far as slots and memory go.
    fn admit(&mut self, i: usize) {
        loop {
            let host = &mut self.hosts[i];
            let Some(serial) = host.waiting.front().copied() else { return };
            if host.running() >= host.config.slots {
                return;
            }
            host.waiting.pop_front();
            let Some(work) = host.works.get_mut(&serial) else { continue };
            work.running = true;
            let (tokens, cached) = (work.tokens, u64::from(work.cached));
            let fetches = work.body.kv_transfer_params.as_ref().is_some_and(|k| k.do_remote_prefill);
            let now = self.now();
            let slowness = self.hosts[i].slowness(&self.config.cold, now);
            let config = &self.hosts[i].config;
            let rate = if fetches { config.transfer_tokens_per_s } else { config.read_tokens_per_s };
            let tokens = if fetches { tokens } else { tokens.saturating_sub(cached) };
            let hang_s =
                if fetches && self.hosts[i].trouble(Trouble::HangFetch).is_some() { 3600.0 } else { 0.0 };
            self.after(hang_s + tokens as f64 / rate * slowness, Due::Fetched(i, serial));
        }
    }

    fn fetched(&mut self, i: usize, serial: u64) {
        let Some(work) = self.hosts[i].works.get(&serial) else { return };
        let kv = work.body.kv_transfer_params.clone().unwrap_or_default();
        if kv.do_remote_prefill {
            let reader = self.hosts.iter().position(|h| Some(&h.config.name) == kv.remote_engine_id.as_ref());
            let made_by = kv.remote_request_id.unwrap_or_default();
            let taken = reader.and_then(|r| self.hosts[r].states.remove(&made_by));
            if taken.is_none() {
                if let Some(work) = self.hosts[i].works.remove(&serial) {
                    self.error(i, work.conn, &work.id, 409, Some(CODE_STATE_GONE));
                }
                return self.admit(i);
            }
        }
        self.token(i, serial);
    }

    fn token(&mut self, i: usize, serial: u64) {
        let now = self.now();
        let lost = self.hosts[i].trouble(Trouble::LostAnswers);
        let lost = self.hosts[i].works.get(&serial).is_some_and(|w| w.produced == 0) && self.chance(lost);
        let gap = self.hosts[i].config.token_gap_s * self.hosts[i].slowness(&self.config.cold, now);
        let Host { works, config, .. } = &mut self.hosts[i];
        let Some(work) = works.get_mut(&serial) else { return };
        if lost {
            self.hosts[i].works.remove(&serial);
            return self.admit(i);
        }
        work.produced += 1;
        let (conn, id, last) = (work.conn, work.id.clone(), work.produced >= work.out);
        let reason = if work.out == work.body.max_tokens { "length" } else { "stop" };
        let (usage, text) = (usage(work), word(&work.body.prompt, &config.name, serial, work.produced));
        let choice = Choice { text, ..Choice::default() };
        self.say(
            i,
            conn,
            &FromEngine::Chunk { id: id.clone(), body: Chunk { choices: vec![choice], ..Chunk::default() } },
        );
        if !last {
            return self.after(gap, Due::Token(i, serial));
        }
        if self.chance(self.hosts[i].trouble(Trouble::Reset)) {
            if let Some(outbox) = self.hosts[i].conns.get(&conn) {
                outbox.close(1011, "reset by script");
            }
            return;
        }
        let choice = Choice { finish_reason: Some(reason.to_string()), ..Choice::default() };
        let body = Chunk { choices: vec![choice], usage: Some(usage), kv_transfer_params: None };
        self.say(i, conn, &FromEngine::Chunk { id: id.clone(), body });
        self.hosts[i].works.remove(&serial);
        self.say(i, conn, &FromEngine::Done { id, load: self.hosts[i].load(self.now()) });
        self.admit(i);
    }
}

fn usage(work: &Work) -> EngineUsage {
    let prompt = work.tokens as u32;
    EngineUsage {
        prompt_tokens: prompt,
        completion_tokens: work.produced,
        total_tokens: prompt + work.produced,
        prompt_tokens_details: Some(PromptDetails { cached_tokens: work.cached }),
    }
}
