//! Test harness: runs a node against scripted clients and model servers, with a clock that the test advances.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::node::Node;
use bitternlatch_platform::types::{Command, ConnId, Input};

/// Time at which each test starts.
pub const START: Micros = Micros(1_800_000_000_000_000);
/// Time after which a release that no server confirms is abandoned, in seconds.
pub const RELEASE_TIMEOUT_SECS: f64 = 60.0;
/// Longest duration of one round of release calls, in seconds. The last round of an abandoned release may end this much
/// after `RELEASE_TIMEOUT_SECS`.
pub const MAX_RELEASE_ROUND_SECS: f64 = 4.0;
/// Load report that the scripted servers send.
pub const LOAD: &str = "util=0.10,queue=0,x0=0.05";

/// Uid, address and model of two prefill servers and two decode servers of one pod group.
pub fn servers() -> Vec<(&'static str, &'static str, &'static str)> {
    vec![
        ("h-r1", "127.0.1.1:80", "reads"),
        ("h-r2", "127.0.1.2:80", "reads"),
        ("h-w1", "127.0.1.3:80", "writes"),
        ("h-w2", "127.0.1.4:80", "writes"),
    ]
}

/// One entry of an endpoint list, as discovery sends it.
pub fn endpoint_json(uid: &str, endpoint: &str, model: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"hall","model":"{model}","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// An endpoint list, or a change to one if `is_complete` is false, as discovery sends it.
pub fn endpoint_list_json(rev: u64, is_complete: bool, targets: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"all":{is_complete},"targets":[{}]}}"#,
        targets.join(",")
    )
}

pub fn settings_json() -> &'static str {
    r#"{"balancers":2,"classes":[
        {"name":"ask","effect":"free","aimS":1.5,"deadlineS":6.0,"worth":1.0,"lateWorth":0.3},
        {"name":"book","effect":"single_shot","aimS":2.5,"deadlineS":12.0,"worth":2.0,"lateWorth":0.2}],
      "contract":{"overloadFactor":2.5,"startCapacity":0.25,"fallS":3.0,"warmAfterS":14.0},
      "customers":[],
      "extra":{"kindRole":["read","write"],"pinLimitS":1.0,"aimUsPer1000PromptTokens":[40000.0,120000.0],
        "tokenAimS":[0.07,0.08],"kindMemoryTokens":[200000,150000],"localRead":true,"resume":true,
        "reportX0":"share of memory that is held"},
      "kinds":["reads","writes"],"zones":["hall"],"locality":0,"membershipMode":"pushed","tickS":0.002,
      "limits":{"maxAttempts":4,"cancel":true,"probing":true,"maxRetryAfterS":2.0,"retryAfter":true,
        "connIdleS":15.0,"connectTimeoutS":0.25,"mostHeld":100,"peers":true},
      "report":{"how":"inline","fields":["load_share","depth","x0"]}}"#
}

pub fn config_json(sockets: u32) -> String {
    let targets: Vec<String> = servers()
        .iter()
        .map(|h| endpoint_json(h.0, h.1, h.2, "in_service"))
        .collect();
    format!(
        r#"{{"name":"d0","listen":"127.0.0.1:8081","discovery":"127.0.2.1:8500","seed":"1f",
        "limits":{{"cores":0.2,"memory_mb":64,"sockets":{sockets}}},
        "peer_listen":"127.0.0.1:7946","peers":["127.0.3.1:7946","127.0.3.2:7946"],"peers_all":"127.0.3.9:7946",
        "known":{},"settings":{}}}"#,
        endpoint_list_json(7, true, &targets),
        settings_json()
    )
}

pub fn config() -> Config {
    Config::parse(&config_json(256)).expect("the configuration of the test is valid")
}

/// One request written to a server or to discovery.
#[derive(Clone, Debug)]
pub struct Call {
    pub conn: ConnId,
    pub to: SocketAddr,
    pub text: String,
}

impl Call {
    /// First line of the request.
    pub fn request_line(&self) -> &str {
        self.text.lines().next().unwrap_or_default()
    }

    /// Whether this is a request to a prefill server.
    pub fn is_prefill(&self) -> bool {
        self.request_line().starts_with("POST")
            && matches!(self.to.ip().to_string().as_str(), "127.0.1.1" | "127.0.1.2")
    }

    /// Whether this is a request to a decode server.
    pub fn is_decode(&self) -> bool {
        self.request_line().starts_with("POST") && !self.is_prefill()
    }
}

/// A node with scripted clients, servers and discovery around it. Commands of the node are executed at once.
pub struct Harness {
    pub node: Node,
    pub now: Micros,
    pub calls: Vec<Call>,
    /// Text that was written to each client connection.
    pub client_output: BTreeMap<ConnId, String>,
    pub closed: BTreeSet<ConnId>,
    pub finished: BTreeSet<ConnId>,
    pub paused: BTreeSet<ConnId>,
    pub connects: Vec<(ConnId, SocketAddr)>,
    pub logs: Vec<String>,
    /// Lines of the access log.
    pub access_log_lines: Vec<String>,
    pub stopped: bool,
    /// Whether the node has stopped listening.
    pub listener_closed: bool,
    /// If set, the harness does not report `NotListening` by itself: clients are still waiting to be accepted, and the
    /// test sends the report when none is left.
    pub delays_listener_close: bool,
    /// Addresses to which no connection is established.
    pub unreachable_addresses: BTreeSet<SocketAddr>,
    /// Idle connections that are reported as stale when the node reuses them.
    pub stale: BTreeSet<ConnId>,
    /// Connections to servers on which written bytes have not been delivered.
    pub undelivered: BTreeSet<ConnId>,
    /// Addresses of servers to which written bytes are not reported as sent.
    pub blocked_servers: BTreeSet<SocketAddr>,
    /// Whether servers answer health checks.
    pub answers_health_checks: bool,
    /// Whether servers confirm release calls.
    pub answers_releases: bool,
    /// Load report in the responses of the servers.
    pub load: &'static str,
    /// Whether bytes written to clients are not reported as sent.
    pub clients_blocked: bool,
    server_connections: BTreeMap<ConnId, SocketAddr>,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_config(config())
    }

    pub fn with_config(config: Config) -> Harness {
        Harness::starting(config).confirmed()
    }

    /// A harness whose discovery has not answered yet.
    pub fn starting(config: Config) -> Harness {
        let mut out = Vec::new();
        let node = Node::new(START, config, &mut out);
        Harness::from_started_node(node, out)
    }

    /// Discovery confirms the endpoint list of the configuration: nothing has changed.
    fn confirmed(mut self) -> Harness {
        let conn = self.watch_conn();
        self.receive_text(conn, &format!("{DISCOVERY_HEAD}{}", chunk("\n")));
        self
    }

    /// A harness whose node traces the events passed to its decision module from the first one on.
    pub fn with_tracing() -> Harness {
        let mut out = Vec::new();
        let node = Node::traced(START, config(), &mut out);
        Harness::from_started_node(node, out).confirmed()
    }

    /// Wraps a started node and executes the commands that it has issued so far.
    pub fn from_started_node(node: Node, out: Vec<Command>) -> Harness {
        let mut harness = Harness {
            node,
            now: START,
            calls: Vec::new(),
            client_output: BTreeMap::new(),
            closed: BTreeSet::new(),
            finished: BTreeSet::new(),
            paused: BTreeSet::new(),
            connects: Vec::new(),
            logs: Vec::new(),
            access_log_lines: Vec::new(),
            stopped: false,
            listener_closed: false,
            delays_listener_close: false,
            unreachable_addresses: BTreeSet::new(),
            stale: BTreeSet::new(),
            undelivered: BTreeSet::new(),
            blocked_servers: BTreeSet::new(),
            answers_health_checks: true,
            answers_releases: false,
            load: LOAD,
            clients_blocked: false,
            server_connections: BTreeMap::new(),
        };
        harness.run_commands(out);
        harness.step(Input::Tick);
        harness
    }

    pub fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.node.step(self.now, input, &mut out);
        self.run_commands(out);
    }

    pub fn reload(&mut self, config: Config) {
        let mut out = Vec::new();
        self.node.reload(self.now, config, &mut out);
        self.run_commands(out);
    }

    fn run_commands(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect { conn, to } => {
                    self.connects.push((conn, to));
                    self.server_connections.insert(conn, to);
                    if !self.unreachable_addresses.contains(&to) {
                        self.step(Input::Connected { conn });
                    }
                }
                Command::Write { conn, bytes } => self.on_write(conn, bytes),
                Command::Reuse { conn, .. } if self.stale.remove(&conn) => {
                    self.step(Input::Stale { conn })
                }
                Command::Reuse { conn, bytes } => self.on_write(conn, bytes),
                Command::AbortUndelivered { conn } => {
                    if self.undelivered.remove(&conn) {
                        self.closed.insert(conn);
                        self.step(Input::Undelivered { conn });
                    }
                }
                Command::Close { conn } | Command::Abort { conn } => {
                    self.closed.insert(conn);
                }
                Command::Finish { conn } => {
                    self.finished.insert(conn);
                }
                Command::Pause { conn, paused: true } => {
                    self.paused.insert(conn);
                }
                Command::Pause {
                    conn,
                    paused: false,
                } => {
                    self.paused.remove(&conn);
                }
                Command::Log { text, .. } => self.logs.push(text),
                Command::AccessLog { text } => self.access_log_lines.push(text),
                Command::StopListening => {
                    self.listener_closed = true;
                    if !self.delays_listener_close {
                        self.step(Input::NotListening);
                    }
                }
                Command::Stopped => self.stopped = true,
                Command::Datagram { .. } => {}
            }
        }
    }

    fn on_write(&mut self, conn: ConnId, bytes: Vec<u8>) {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some(to) = self.server_connections.get(&conn).copied() else {
            self.client_output.entry(conn).or_default().push_str(&text);
            if !self.clients_blocked {
                self.step(Input::Wrote {
                    conn,
                    count: bytes.len(),
                });
            }
            return;
        };
        if !self.blocked_servers.contains(&to) {
            self.step(Input::Wrote {
                conn,
                count: bytes.len(),
            });
        }
        let is_health_check = text.starts_with("GET /status/load");
        let is_release = text.starts_with("DELETE ");
        self.calls.push(Call { conn, to, text });
        if is_health_check && self.answers_health_checks {
            let body = plain_response("200 OK", "", self.load);
            self.step(Input::Received {
                conn,
                bytes: body.as_bytes(),
            });
        }
        if is_release && self.answers_releases {
            self.step(Input::Received {
                conn,
                bytes: RELEASED.as_bytes(),
            });
        }
    }

    /// Advances the clock by `seconds` and runs every timer that becomes due.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now.after(seconds);
        while let Some(at) = self.node.next_due().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.step(Input::Tick);
        }
        self.now = until;
    }

    pub fn connect_client(&mut self) -> ConnId {
        let conn = self.node.next_conn();
        self.step(Input::Accepted { conn });
        conn
    }

    pub fn receive(&mut self, conn: ConnId, bytes: &[u8]) {
        self.step(Input::Received { conn, bytes });
    }

    pub fn receive_text(&mut self, conn: ConnId, text: &str) {
        self.receive(conn, text.as_bytes());
    }

    /// Connects a new client and sends a request with a deadline of 4.8 s. Returns the client connection.
    pub fn send_request(&mut self, id: &str, kind: &str) -> ConnId {
        let conn = self.connect_client();
        self.receive_text(conn, &request(id, kind, 4800));
        self.advance(0.02);
        conn
    }

    /// Returns the most recent call that satisfies `fits`.
    pub fn last_call(&self, fits: impl Fn(&Call) -> bool) -> Call {
        self.calls
            .iter()
            .rev()
            .find(|c| fits(c))
            .cloned()
            .expect("no call satisfies the condition")
    }

    pub fn count_calls(&self, fits: impl Fn(&Call) -> bool) -> usize {
        self.calls.iter().filter(|c| fits(c)).count()
    }

    /// The prefill server that was called last completes its prefill.
    pub fn complete_prefill(&mut self) {
        let call = self.last_call(Call::is_prefill);
        self.receive_text(
            call.conn,
            &plain_response(
                "202 Accepted",
                &format!("Srv-Load: {}\r\n", self.load),
                r#"{"cached_tokens":64}"#,
            ),
        );
    }

    /// Sends a request and completes its prefill. Returns the client connection and the connection to the decode
    /// server.
    pub fn start_decode(&mut self, id: &str, kind: &str) -> (ConnId, ConnId) {
        let client = self.send_request(id, kind);
        self.complete_prefill();
        (client, self.last_call(Call::is_decode).conn)
    }

    /// Connection of the latest watch of discovery.
    pub fn watch_conn(&self) -> ConnId {
        let to = config().discovery;
        let mut connects = self.connects.iter().rev();
        connects
            .find(|connect| connect.1 == to)
            .expect("the node connects to discovery")
            .0
    }

    pub fn client_output(&self, conn: ConnId) -> &str {
        self.client_output.get(&conn).map_or("", String::as_str)
    }

    pub fn status(&self, conn: ConnId) -> &str {
        self.client_output(conn)
            .split(' ')
            .nth(1)
            .unwrap_or_default()
    }
}

pub fn request(id: &str, kind: &str, deadline_ms: u64) -> String {
    let body = r#"{"model":"chat","stream":true}"#;
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\n\
         Req-Key: 7f3a9c21e0b4d655\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
         Req-Extra: prefix=5c0f6e1a2b3d4c59,prompt_len=1200,prefix_len=800,max_out=300\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn plain_response(status: &str, extra_headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{extra_headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Head of a response of discovery to a watch.
pub const DISCOVERY_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn stream_event(content: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{content}\"}}}}]}}\n\n")
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Decodes the body of a chunked response.
pub fn decode_chunked(response: &str) -> String {
    let mut rest = response.split_once("\r\n\r\n").map_or("", |s| s.1);
    let mut out = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let n = usize::from_str_radix(size, 16).expect("the chunk size is valid");
        out.push_str(&after[..n]);
        rest = &after[n + 2..];
    }
    out
}
