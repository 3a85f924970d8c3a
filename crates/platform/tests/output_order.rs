//! Regression test for the order of the node's commands over seeded inputs, as a digest over explicitly encoded
//! commands.
//!
//! The encoding is defined in this file, so that renaming a type or field does not change the digest. Log texts are not
//! part of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::access_log::AccessLog;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::node::Node;
use bitternlatch_platform::types::{Command, ConnId, Input, Level};
use xxhash_rust::xxh3::Xxh3;

mod common;

/// Iterations of one run.
const STEPS: usize = 4000;

/// A pseudo-random number generator with the same output on every machine.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    fn one_in(&mut self, bound: usize) -> bool {
        self.below(bound) == 0
    }

    fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        (!from.is_empty()).then(|| from[self.below(from.len())])
    }
}

/// One connection that the node has opened.
struct Opened {
    to: SocketAddr,
    connected: bool,
    /// Calls that were written and have no complete response yet.
    pending_calls: Vec<String>,
}

/// A node with simulated clients, servers and discovery.
struct Simulation {
    node: Node,
    now: Micros,
    random: Random,
    digest: Xxh3,
    clients: BTreeSet<ConnId>,
    opened: BTreeMap<ConnId, Opened>,
    unsent: BTreeMap<ConnId, usize>,
    discovery: SocketAddr,
    rev: u64,
    requests_sent: u64,
    commands: [u64; 12],
    stopped: bool,
    stop_listening: bool,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut out = Vec::new();
        let config = common::config();
        let discovery = config.discovery;
        let mut node = Node::new(common::START, config, &mut out);
        node.enable_access_log(AccessLog::new(&common::config().settings));
        let mut simulation = Simulation {
            node,
            now: common::START,
            random: Random(seed),
            digest: Xxh3::new(),
            clients: BTreeSet::new(),
            opened: BTreeMap::new(),
            unsent: BTreeMap::new(),
            discovery,
            rev: 7,
            requests_sent: 0,
            commands: [0; 12],
            stopped: false,
            stop_listening: false,
        };
        simulation.apply(out);
        simulation
    }

    fn digest_number(&mut self, value: u64) {
        self.digest.update(&value.to_le_bytes());
    }

    fn encode(&mut self, kind: u64, conn: Option<ConnId>, bytes: &[u8]) {
        self.commands[kind as usize] += 1;
        self.digest_number(kind);
        self.digest_number(conn.map_or(u64::MAX, |c| c.0));
        self.digest_number(bytes.len() as u64);
        self.digest.update(bytes);
    }

    fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.node.step(self.now, input, &mut out);
        self.apply(out);
    }

    fn apply(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect { conn, to } => {
                    self.encode(0, Some(conn), to.to_string().as_bytes());
                    let (connected, pending_calls) = (false, Vec::new());
                    self.opened.insert(
                        conn,
                        Opened {
                            to,
                            connected,
                            pending_calls,
                        },
                    );
                }
                Command::Write { conn, bytes } => {
                    self.encode(1, Some(conn), &bytes);
                    self.record_write(conn, &bytes);
                }
                Command::Reuse { conn, bytes } => {
                    self.encode(2, Some(conn), &bytes);
                    self.record_write(conn, &bytes);
                }
                Command::AbortUndelivered { conn } => self.encode(11, Some(conn), b""),
                Command::Close { conn } | Command::Abort { conn } => {
                    self.encode(3, Some(conn), b"");
                    self.remove(conn);
                }
                Command::Finish { conn } => {
                    self.encode(4, Some(conn), b"");
                    self.remove(conn);
                }
                Command::Pause { conn, paused } => self.encode(5, Some(conn), &[u8::from(paused)]),
                Command::Datagram { to, data } => {
                    self.encode(6, None, to.to_string().as_bytes());
                    self.digest.update(&data);
                }
                Command::StopListening => {
                    self.encode(7, None, b"");
                    self.stop_listening = true;
                }
                Command::Stopped => {
                    self.encode(8, None, b"");
                    self.stopped = true;
                }
                Command::AccessLog { .. } => self.encode(9, None, b""),
                Command::Log { level, .. } => {
                    self.encode(10, None, &[u8::from(level == Level::Warn)]);
                }
            }
        }
        let due = self.node.next_due().map_or(u64::MAX, |at| at.0);
        self.digest_number(due);
    }

    fn remove(&mut self, conn: ConnId) {
        self.clients.remove(&conn);
        self.opened.remove(&conn);
        self.unsent.remove(&conn);
    }

    fn record_write(&mut self, conn: ConnId, bytes: &[u8]) {
        *self.unsent.entry(conn).or_default() += bytes.len();
        if let Some(opened) = self.opened.get_mut(&conn) {
            opened
                .pending_calls
                .push(String::from_utf8_lossy(bytes).into_owned());
        }
    }

    /// Advances the clock by a random time and runs each timer that becomes due.
    fn advance(&mut self) {
        let max_ms = [2, 20, 20, 200, 200, 1500][self.random.below(6)];
        let until = self.now.after(self.random.below(max_ms) as f64 / 1e3);
        while let Some(at) = self.node.next_due().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.step(Input::Tick);
        }
        self.now = until;
    }

    fn accept(&mut self) -> ConnId {
        let conn = self.node.next_conn();
        self.clients.insert(conn);
        self.step(Input::Accepted { conn });
        conn
    }

    fn send_request(&mut self) {
        let clients: Vec<ConnId> = self.clients.iter().copied().collect();
        let conn = match self.random.pick(&clients) {
            Some(conn) if !self.random.one_in(3) => conn,
            _ => self.accept(),
        };
        self.requests_sent += 1;
        let kind = ["ask", "book"][self.random.below(2)];
        let deadline_ms = [10, 900, 4800, 12_000][self.random.below(4)];
        let mut text = common::request(&format!("q{}", self.requests_sent), kind, deadline_ms);
        match self.random.below(24) {
            0 => text = text.replace("Content-Length", "Content-Size"),
            1 => text = text.replace("POST /v1/chat/completions", "GET /ready"),
            2 => text = text.replace("Req-Kind", "Connection: close\r\nReq-Kind"),
            3 => text.truncate(text.len() / 2),
            _ => {}
        }
        text = text.replace("7f3a9c21e0b4d655", &format!("{:x}", self.random.below(6)));
        let cut = self.random.below(text.len() + 1);
        self.step(Input::Received {
            conn,
            bytes: &text.as_bytes()[..cut],
        });
        self.step(Input::Received {
            conn,
            bytes: &text.as_bytes()[cut..],
        });
    }

    fn establish_connections(&mut self) {
        let connecting: Vec<ConnId> = self
            .opened
            .iter()
            .filter(|o| !o.1.connected)
            .map(|o| *o.0)
            .collect();
        for conn in connecting {
            match self.random.below(20) {
                0 => {}
                1 => self.end(conn),
                _ => {
                    if let Some(opened) = self.opened.get_mut(&conn) {
                        opened.connected = true;
                        self.step(Input::Connected { conn });
                    }
                }
            }
        }
    }

    fn end(&mut self, conn: ConnId) {
        self.remove(conn);
        self.step(Input::Ended { conn });
    }

    fn report_written(&mut self) {
        let conns: Vec<ConnId> = self.unsent.keys().copied().collect();
        for conn in conns {
            if self.opened.get(&conn).is_some_and(|o| !o.connected) || self.random.one_in(4) {
                continue;
            }
            if self.opened.contains_key(&conn) && self.random.one_in(40) {
                self.opened.remove(&conn);
                self.unsent.remove(&conn);
                self.step(Input::Stale { conn });
                continue;
            }
            let all = self.unsent.get(&conn).copied().unwrap_or_default();
            let count = if self.random.one_in(5) {
                self.random.below(all + 1)
            } else {
                all
            };
            if count == all {
                self.unsent.remove(&conn);
            } else {
                self.unsent.insert(conn, all - count);
            }
            self.step(Input::Wrote { conn, count });
        }
    }

    fn respond(&mut self) {
        let conns: Vec<ConnId> = self
            .opened
            .iter()
            .filter(|o| o.1.connected)
            .map(|o| *o.0)
            .collect();
        for conn in conns {
            if self.unsent.contains_key(&conn) || self.random.one_in(3) {
                continue;
            }
            let Some(opened) = self.opened.get_mut(&conn) else {
                continue;
            };
            if opened.to == self.discovery {
                self.respond_discovery(conn);
                continue;
            }
            if opened.pending_calls.is_empty() {
                if self.random.one_in(60) {
                    self.end(conn);
                }
                continue;
            }
            let call = opened.pending_calls.remove(0);
            let prefill = matches!(
                opened.to.ip().to_string().as_str(),
                "127.0.1.1" | "127.0.1.2"
            );
            self.respond_to(conn, &call, prefill);
        }
    }

    fn respond_to(&mut self, conn: ConnId, call: &str, prefill: bool) {
        let load = format!(
            "util=0.{},queue={},x0=0.1",
            self.random.below(9),
            self.random.below(4)
        );
        let text = if call.starts_with("GET ") {
            common::plain_response("200 OK", "", &load)
        } else if call.starts_with("DELETE ") {
            match self.random.below(4) {
                0 => common::plain_response("500 Oops", "", ""),
                _ => common::RELEASED.to_string(),
            }
        } else {
            match self.random.below(24) {
                0 => return,
                1 => return self.end(conn),
                2 => common::plain_response("500 Oops", "", ""),
                3 => common::plain_response("503 Busy", "Srv-Declined: 1\r\n", ""),
                4 => common::plain_response("410 Gone", "Srv-Declined: 1\r\n", ""),
                5 => "HTTP/1.1 two\r\n\r\n".to_string(),
                _ if prefill => common::plain_response(
                    "202 Accepted",
                    &format!("Srv-Load: {load}\r\n"),
                    r#"{"cached_tokens":64}"#,
                ),
                _ => return self.stream(conn, &load),
            }
        };
        self.step(Input::Received {
            conn,
            bytes: text.as_bytes(),
        });
    }

    fn stream(&mut self, conn: ConnId, load: &str) {
        let long = if self.random.one_in(8) { 140_000 } else { 20 };
        let mut text = common::STREAM_HEAD.to_string();
        for _ in 0..self.random.below(4) {
            text += &common::chunk(&common::stream_event(&"x".repeat(long)));
        }
        text += &common::chunk(&format!(": Srv-Load: {load}\n\n"));
        match self.random.below(12) {
            0 => {}
            1 => {
                self.step(Input::Received {
                    conn,
                    bytes: text.as_bytes(),
                });
                if self.opened.contains_key(&conn) {
                    self.end(conn);
                }
                return;
            }
            2 => text += "0\r\n\r\nHTTP/1.1 200 OK\r\n",
            _ => text += "0\r\n\r\n",
        }
        let cut = self.random.below(text.len() + 1);
        self.step(Input::Received {
            conn,
            bytes: &text.as_bytes()[..cut],
        });
        if self.opened.contains_key(&conn) {
            self.step(Input::Received {
                conn,
                bytes: &text.as_bytes()[cut..],
            });
        }
    }

    fn respond_discovery(&mut self, conn: ConnId) {
        let Some(opened) = self.opened.get_mut(&conn) else {
            return;
        };
        let head = if opened.pending_calls.is_empty() {
            ""
        } else {
            common::DISCOVERY_HEAD
        };
        opened.pending_calls.clear();
        let line = match self.random.below(12) {
            0 => {
                self.rev += 1;
                let states = ["in_service", "in_service", "terminating", "terminated"];
                let (uid, endpoint, model) = common::servers()[self.random.below(4)];
                let state = states[self.random.below(4)];
                let target = common::endpoint_json(uid, endpoint, model, state);
                common::endpoint_list_json(self.rev, false, &[target])
            }
            1 => {
                self.rev += 1;
                let all: Vec<String> = common::servers()
                    .iter()
                    .map(|h| common::endpoint_json(h.0, h.1, h.2, "in_service"))
                    .collect();
                common::endpoint_list_json(self.rev, true, &all)
            }
            2 if self.random.one_in(4) => "{\"rev\":".to_string(),
            3 if self.random.one_in(4) => return self.end(conn),
            _ => String::new(),
        };
        let text = format!("{head}{}", common::chunk(&format!("{line}\n")));
        self.step(Input::Received {
            conn,
            bytes: text.as_bytes(),
        });
    }

    fn inject_fault(&mut self) {
        let clients: Vec<ConnId> = self.clients.iter().copied().collect();
        match self.random.below(12) {
            0 | 1 => {
                if let Some(conn) = self.random.pick(&clients) {
                    self.end(conn);
                }
            }
            2 => {
                let data: Vec<u8> = (0..self.random.below(40)).map(|i| i as u8).collect();
                let from = "127.0.3.2:7946".parse().expect("the address is valid");
                self.step(Input::Datagram { from, data: &data });
            }
            3 if self.random.one_in(30) => {
                let port = 8500 + self.random.below(3);
                let text = common::config_json(256)
                    .replace("127.0.2.1:8500", &format!("127.0.2.1:{port}"));
                let config = Config::parse(&text).expect("the configuration of the test is valid");
                self.discovery = config.discovery;
                let mut out = Vec::new();
                self.node.reload(self.now, config, &mut out);
                self.apply(out);
            }
            _ => {}
        }
    }

    fn run_iteration(&mut self) {
        if self.random.one_in(3) {
            self.send_request();
        }
        self.establish_connections();
        self.report_written();
        self.respond();
        self.inject_fault();
        if std::mem::take(&mut self.stop_listening) {
            self.step(Input::NotListening);
        }
        self.advance();
    }

    /// Adds the current counts and table sizes to the digest, in a fixed order.
    fn encode_totals(&mut self) {
        let counts = self.node.counts();
        let resource_usage = self.node.resource_usage();
        let totals = [
            counts.arrived,
            counts.served,
            counts.shed,
            counts.failed,
            counts.broken,
            counts.disconnected,
            counts.rejected,
            counts.attempts,
            counts.releases,
            counts.release_calls,
            counts.releases_confirmed,
            counts.releases_late,
            counts.releases_unconfirmed,
            resource_usage.requests as u64,
            resource_usage.clients as u64,
            resource_usage.server_connections as u64,
            resource_usage.servers as u64,
            resource_usage.releases as u64,
            resource_usage.timers as u64,
            resource_usage.unfinished_bytes as u64,
        ];
        totals
            .into_iter()
            .for_each(|total| self.digest_number(total));
    }
}

/// Runs a node from start to planned stop. Returns the digest and the number of commands of each kind.
fn run(seed: u64) -> (u64, [u64; 12]) {
    let mut simulation = Simulation::new(seed);
    for _ in 0..STEPS {
        simulation.run_iteration();
        simulation.encode_totals();
    }
    simulation.step(Input::Stop);
    for _ in 0..200 {
        if simulation.stopped {
            break;
        }
        simulation.run_iteration();
    }
    assert!(simulation.stopped, "seed {seed} does not stop");
    simulation.encode_totals();
    (simulation.digest.digest(), simulation.commands)
}

#[test]
fn outputs_are_the_same_over_seeded_inputs() {
    let expected: [(u64, u64); 4] = [
        (1, 0x3a83357cdaffd17b),
        (2, 0xec45d2be8f7d95bf),
        (3, 0xffdf99beee627259),
        (4, 0x26fac369cf735959),
    ];
    let mut totals = [0; 12];
    let found: Vec<(u64, u64)> = expected
        .iter()
        .map(|(seed, _)| {
            let (digest, commands) = run(*seed);
            for (total, count) in totals.iter_mut().zip(commands) {
                *total += count;
            }
            (*seed, digest)
        })
        .collect();
    // With this configuration, the decision module never sends datagrams to peers.
    let never: Vec<usize> = (0..12).filter(|kind| totals[*kind] == 0).collect();
    assert_eq!(never, [6], "kinds of command that were never issued");
    assert_eq!(found, expected, "{found:#x?} {totals:?}");
}
