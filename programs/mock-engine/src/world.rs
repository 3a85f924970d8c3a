//! All stand-ins of one process: a thread that takes messages and timers in order of time.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternlatch_core::settings::ListenTls;
use bitternlatch_engine::{EngineError, Id, Input};
use bitternlatch_identity::Caller;
use bitternlatch_net::accept::{Acceptor, Handler, ListenerOptions};
use bitternlatch_net::socket::{Limits, Outbox};
use bitternlatch_net::tls;
use bitternlatch_protocol::engine::{
    decode, encode, EngineError as Said, EngineState, FromEngine, ToEngine,
};
use crossbeam_channel::{unbounded, Receiver, RecvTimeoutError, Sender};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::capture::Capture;
use crate::config::{Config, Trouble};
use crate::host::Host;

enum Message {
    Open(usize, u64, Outbox),
    Text(usize, u64, String),
    Close(usize, u64),
    Trouble(Trouble, f64, f64, String),
    Stop,
}

pub(crate) enum Due {
    Greet(usize, u64),
    Engine(usize),
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
        let mut world = World::new(config, capture, to.clone()).map_err(std::io::Error::other)?;
        let mut addresses = BTreeMap::new();
        for i in 0..world.hosts.len() {
            let address = world.listen(i)?;
            // A restart takes the same port again.
            world.hosts[i].config.listen = address.to_string();
            addresses.insert(world.hosts[i].config.name.clone(), address);
        }
        let run = move || world.run(&from);
        let thread = std::thread::Builder::new()
            .name("standins".into())
            .spawn(run)?;
        Ok(Standins {
            to,
            thread: Some(thread),
            addresses,
        })
    }

    /// Where each host listens.
    pub fn addresses(&self) -> &BTreeMap<String, SocketAddr> {
        &self.addresses
    }

    /// Begins a trouble at one host now, for tests.
    pub fn trouble(&self, host: &str, trouble: Trouble, strength: f64, for_s: f64) {
        let _ = self
            .to
            .send(Message::Trouble(trouble, strength, for_s, host.to_string()));
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
    fn get(&self, _path: &str) -> (u16, String) {
        (404, "a stand-in host\n".to_string())
    }
}

pub(crate) struct World {
    pub(crate) config: Config,
    pub(crate) hosts: Vec<Host>,
    pub(crate) due: BTreeMap<(u64, u64), Due>,
    pub(crate) serial: u64,
    pub(crate) start: Instant,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) capture: Capture,
    to: Sender<Message>,
}

impl World {
    fn new(config: Config, capture: Capture, to: Sender<Message>) -> Result<World, EngineError> {
        let mut world = World {
            hosts: config
                .hosts
                .iter()
                .cloned()
                .map(Host::new)
                .collect::<Result<_, _>>()?,
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
        Ok(world)
    }

    pub(crate) fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn after(&mut self, seconds: f64, due: Due) {
        self.serial += 1;
        self.due
            .insert((((self.now() + seconds) * 1e6) as u64, self.serial), due);
    }

    pub(crate) fn chance(&mut self, of: Option<f64>) -> bool {
        let draw = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        of.is_some_and(|p| draw < p)
    }

    fn listen(&mut self, i: usize) -> std::io::Result<SocketAddr> {
        let tls = self.tls(i)?;
        let host = &mut self.hosts[i];
        let listener = TcpListener::bind(&host.config.listen)?;
        let socket = Limits {
            max_message_bytes: 8 << 20,
            max_queued_messages: 65_536,
            ping_interval: Duration::from_secs(5),
            idle_timeout: None,
        };
        let mut door = ListenerOptions::plaintext(1024, Duration::from_secs(5), socket);
        door.tls = tls;
        let name = host.config.name.clone();
        self.capture.put(&name, "", "up", "");
        let handler = HostDoor {
            host: i,
            name,
            to: self.to.clone(),
            capture: self.capture.clone(),
        };
        let acceptor = Acceptor::start(listener, door, Arc::new(handler))?;
        let address = acceptor.address();
        host.acceptor = Some(acceptor);
        Ok(address)
    }

    /// The host's own certificate, from the folder that the config names.
    fn tls(&self, i: usize) -> std::io::Result<Option<Arc<tls::ServerTls>>> {
        let Some(dir) = &self.config.tls else {
            return Ok(None);
        };
        let name = &self.hosts[i].config.name;
        let settings = ListenTls {
            certificate: format!("{name}.pem"),
            key: format!("{name}.key"),
            client_authorities: Some("authority.pem".to_string()),
            client_certificate_required: true,
            revocation_lists: Vec::new(),
        };
        let server = tls::ServerTls::load(&settings, dir).map_err(std::io::Error::other)?;
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
            let wait = next.map_or(Duration::from_secs(1), |k| {
                Duration::from_micros(k.0 - now_us)
            });
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
            Due::Greet(i, _) | Due::Late(i, _, _) => *i,
            Due::Engine(i) => {
                self.hosts[*i].wakes = None;
                return self.tell(*i, Input::Time);
            }
            Due::FaultOn(f) => return self.fault(*f, true),
            Due::FaultOff(f) => return self.fault(*f, false),
        };
        let left = self.hosts[host].paused_until - self.now();
        if left > 0.0 {
            return self.after(left, due);
        }
        match due {
            Due::Greet(i, conn) => self.greet(i, conn),
            Due::Late(i, conn, text) => self.on_text(i, conn, &text),
            Due::Engine(_) | Due::FaultOn(_) | Due::FaultOff(_) => {}
        }
    }

    fn fault(&mut self, f: usize, on: bool) {
        let fault = self.config.faults[f].clone();
        let now = self.now();
        for name in &fault.hosts {
            let Some(i) = self.hosts.iter().position(|h| h.config.name == *name) else {
                continue;
            };
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
                Trouble::Pause => {
                    host.paused_until = now + fault.for_s;
                    self.tell(i, Input::PauseUntil(now + fault.for_s));
                }
                Trouble::Flush => self.tell(i, Input::Flush),
                Trouble::LoseStates => {
                    self.tell(i, Input::LoseStates);
                    let host = &mut self.hosts[i];
                    host.works.retain(|id, _| host.engine.has(*id));
                    host.names.retain(|_, id| host.works.contains_key(id));
                }
                Trouble::Crash => self.down(i),
                Trouble::Deploy => {
                    host.draining = true;
                    self.say_all(
                        i,
                        &FromEngine::State {
                            state: EngineState::Draining,
                        },
                    );
                }
                _ => {}
            }
        }
    }

    pub(crate) fn down(&mut self, i: usize) {
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

    pub(crate) fn say(&self, i: usize, conn: u64, message: &FromEngine) {
        self.say_text(i, conn, encode(message));
    }

    pub(crate) fn say_text(&self, i: usize, conn: u64, text: String) {
        let host = &self.hosts[i];
        if let Some(outbox) = host.conns.get(&conn) {
            self.capture.put(&host.config.name, conn, "out", &text);
            if outbox.text(text).is_err() {
                outbox.abort();
            }
        }
    }

    fn say_all(&self, i: usize, message: &FromEngine) {
        self.hosts[i]
            .conns
            .keys()
            .for_each(|conn| self.say(i, *conn, message));
    }

    fn greet(&mut self, i: usize, conn: u64) {
        let host = &self.hosts[i];
        if host.trouble(Trouble::Mute).is_some() {
            return;
        }
        let state = if host.draining {
            EngineState::Draining
        } else {
            EngineState::Ready
        };
        let uptime_s = (self.now() - host.born).min(1e6);
        self.say(
            i,
            conn,
            &FromEngine::Hello {
                engine_id: host.config.name.clone(),
                uptime_s,
                state,
            },
        );
    }

    /// A link's end ends what its dispatcher had here and lets go of its states.
    fn on_close(&mut self, i: usize, conn: u64) {
        let host = &mut self.hosts[i];
        host.conns.remove(&conn);
        let its: Vec<Id> = host
            .works
            .iter()
            .filter(|(_, w)| w.conn == conn)
            .map(|(id, _)| *id)
            .collect();
        its.into_iter().for_each(|id| self.end(i, id));
    }

    /// Ends one request at its engine, and its state.
    pub(crate) fn end(&mut self, i: usize, id: Id) {
        self.hosts[i].take(id);
        self.tell(i, Input::Cancel(id));
    }

    fn on_text(&mut self, i: usize, conn: u64, text: &str) {
        match decode::<ToEngine>(text) {
            Ok(ToEngine::Completion { id, body }) => self.completion(i, conn, id, *body),
            Ok(ToEngine::Cancel { id }) => {
                // A state whose answer was lost goes with its request.
                let host = &self.hosts[i];
                let known = host.names.get(&id).copied();
                let may = |k: &Id| {
                    host.engine.holds(*k) || host.works.get(k).is_some_and(|w| w.conn == conn)
                };
                if let Some(known) = known.filter(may) {
                    self.end(i, known);
                }
            }
            Ok(ToEngine::Release { id }) => {
                if let Some(state) = self.hosts[i].state(&id) {
                    self.end(i, state);
                }
            }
            Ok(ToEngine::Probe { id }) => {
                self.tell(i, Input::Time);
                let load = self.hosts[i].load().unwrap_or_default();
                self.say(i, conn, &FromEngine::Load { id, load });
            }
            Ok(ToEngine::Fault { .. }) | Err(_) => {}
        }
    }

    pub(crate) fn error(&self, i: usize, conn: u64, id: &str, status: u16, code: Option<&str>) {
        let error = Said {
            message: "not served".to_string(),
            code: code.map(str::to_string),
        };
        let load = self.hosts[i].load();
        self.say(
            i,
            conn,
            &FromEngine::Error {
                id: id.to_string(),
                status,
                error,
                load,
            },
        );
    }
}
