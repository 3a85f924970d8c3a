//! Discovery faults: whatever call failed before, a change of the endpoint list is acted on within 6 s after discovery
//! has it and is reachable. Many nodes that lose their watch at once do not reconnect in step.
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::types::{ConnId, Input};
use common::*;

/// Longest time until a change is acted on, in seconds from when discovery has it and is reachable.
const MAX_NOTIFICATION_SECS: f64 = 6.0;
/// Start of the fault, in seconds after the start of the test: between two keep-alive lines.
const FAULT_START_SECS: f64 = 4.7;
/// Address of discovery at the start.
const OLD_ADDRESS: &str = "127.0.2.1:8500";
/// Address of discovery after a reload.
const NEW_ADDRESS: &str = "127.0.2.7:8500";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Connections are refused.
    Refused,
    /// Connections are established, and no bytes are sent.
    Silent,
    /// Connections are never established.
    ConnectTimeout,
    /// The list stops in the middle of a line.
    HalfLine,
    /// The list stops in the middle of a line, and keep-alive lines continue.
    HalfLineKeptAlive,
    /// A line is sent byte by byte without end.
    TrickledLine,
    /// The response head is sent byte by byte without end.
    TrickledResponseHead,
    /// Every call is answered with status 500.
    Error500,
    /// The response ends regularly right after its head.
    EndedAfterHead,
    /// A line is not valid JSON.
    Unreadable,
}

const FAULTS: [Fault; 10] = [
    Fault::Refused,
    Fault::Silent,
    Fault::ConnectTimeout,
    Fault::HalfLine,
    Fault::HalfLineKeptAlive,
    Fault::TrickledLine,
    Fault::TrickledResponseHead,
    Fault::Error500,
    Fault::EndedAfterHead,
    Fault::Unreadable,
];

/// One scripted address of discovery.
#[derive(Clone, Copy, Debug)]
struct DiscoveryServer {
    at: &'static str,
    fault: Fault,
    /// Start and end of the fault, in seconds after the start of the test.
    fault_window: (f64, f64),
    /// Connections are refused from this time until the fault starts, so that the backoff has grown by then; in seconds
    /// after the start of the test.
    refused_from: f64,
}

impl DiscoveryServer {
    fn address(&self) -> SocketAddr {
        self.at.parse().expect("the address is valid")
    }

    fn new(at: &'static str, fault: Fault, fault_window: (f64, f64)) -> DiscoveryServer {
        DiscoveryServer {
            at,
            fault,
            fault_window,
            refused_from: fault_window.0,
        }
    }

    fn fault_at(&self, t: f64) -> Option<Fault> {
        if self.refused_from <= t && t < self.fault_window.0 {
            return Some(Fault::Refused);
        }
        (self.fault_window.0 <= t && t < self.fault_window.1).then_some(self.fault)
    }
}

/// One watch connection, as discovery sees it.
#[derive(Clone, Copy, Debug)]
struct WatchConnection {
    server: usize,
    watch_requested: bool,
    /// The fault that affects this connection. It persists after the server has recovered.
    fault: Option<Fault>,
    is_notified: bool,
    next_at: f64,
}

/// A node connected to scripted discovery servers.
struct DiscoveryHarness {
    harness: Harness,
    servers: Vec<DiscoveryServer>,
    change_at: f64,
    connections: BTreeMap<ConnId, WatchConnection>,
    processed: (usize, usize),
    /// Times of the connects to discovery, in seconds after the start of the test.
    connect_times: Vec<f64>,
}

/// A change line that drains one server and adds another.
fn change_line() -> String {
    let old = endpoint_json("h-r1", "127.0.1.1:80", "reads", "terminating");
    endpoint_list_json(
        8,
        false,
        &[
            old,
            endpoint_json("h-r3", "127.0.1.5:80", "reads", "in_service"),
        ],
    )
}

impl DiscoveryHarness {
    fn new(seed: u64, servers: &[DiscoveryServer], change_at: f64) -> DiscoveryHarness {
        let text = config_json(256).replace("\"seed\":\"1f\"", &format!("\"seed\":\"{seed:x}\""));
        DiscoveryHarness {
            harness: Harness::starting(Config::parse(&text).expect("the configuration is valid")),
            servers: servers.to_vec(),
            change_at,
            connections: BTreeMap::new(),
            processed: (0, 0),
            connect_times: Vec::new(),
        }
    }

    fn time(&self) -> f64 {
        self.harness.now.since(START)
    }

    /// Advances the clock to the next timer of the node, by 50 ms at most.
    fn advance_to_next_timer(&mut self) {
        let t = self.time();
        for server in &self.servers {
            let is_unreachable = matches!(
                server.fault_at(t),
                Some(Fault::Refused | Fault::ConnectTimeout)
            );
            if is_unreachable {
                self.harness.unreachable_addresses.insert(server.address());
            } else {
                self.harness.unreachable_addresses.remove(&server.address());
            }
        }
        self.process_output();
        let due = self.harness.node.next_due().unwrap_or(Micros(u64::MAX));
        self.harness
            .advance((due.since(self.harness.now) + 1e-6).min(0.05));
        self.process_output();
    }

    fn process_output(&mut self) {
        let t = self.time();
        while let Some((conn, to)) = self.harness.connects.get(self.processed.0).copied() {
            self.processed.0 += 1;
            let Some(server) = self.servers.iter().position(|p| p.address() == to) else {
                continue;
            };
            self.connect_times.push(t);
            let open = WatchConnection {
                server,
                watch_requested: false,
                fault: self.servers[server].fault_at(t),
                is_notified: false,
                next_at: t,
            };
            self.connections.insert(conn, open);
            if open.fault == Some(Fault::Refused) {
                self.end(conn);
            }
        }
        while let Some(call) = self.harness.calls.get(self.processed.1).cloned() {
            self.processed.1 += 1;
            if call.request_line().contains("watch=1") {
                assert!(
                    call.request_line().contains("from=7 ")
                        || self.is_notified()
                        || call.request_line().contains("from=0 ") && self.has_no_list(),
                    "{}",
                    call.request_line()
                );
                let Some(open) = self.connections.get_mut(&call.conn) else {
                    continue;
                };
                open.watch_requested = true;
                let fault = open.fault;
                match fault {
                    Some(
                        Fault::Silent
                        | Fault::TrickledResponseHead
                        | Fault::Refused
                        | Fault::ConnectTimeout,
                    ) => {}
                    Some(Fault::Error500) => {
                        let response =
                            "HTTP/1.1 500 No\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n";
                        self.harness.receive_text(call.conn, response);
                    }
                    _ => self.harness.receive_text(call.conn, DISCOVERY_HEAD),
                }
                if let Some(fault) = fault {
                    self.start_fault(call.conn, fault);
                }
            }
        }
        for conn in self.connections.keys().copied().collect::<Vec<_>>() {
            self.send_line(conn, t);
        }
    }

    fn end(&mut self, conn: ConnId) {
        self.connections.remove(&conn);
        self.harness.step(Input::Ended { conn });
    }

    /// Sends what a connection sends when the fault starts, and marks the connection as affected.
    fn start_fault(&mut self, conn: ConnId, fault: Fault) {
        if let Some(open) = self.connections.get_mut(&conn) {
            (open.fault, open.next_at) = (Some(fault), self.harness.now.since(START));
        }
        let line = change_line();
        let partial = &line[..line.len() - 60];
        match fault {
            Fault::HalfLine | Fault::HalfLineKeptAlive => {
                self.harness.receive_text(conn, &chunk(partial))
            }
            Fault::TrickledLine => self
                .harness
                .receive_text(conn, &chunk("{\"rev\":8,\"all\":false,\"targets\":[")),
            Fault::TrickledResponseHead => self
                .harness
                .receive_text(conn, "HTTP/1.1 200 OK\r\nServer: "),
            Fault::EndedAfterHead => self.harness.receive_text(conn, "0\r\n\r\n"),
            Fault::Unreadable => self
                .harness
                .receive_text(conn, &chunk("{\"rev\":8,\"all\":perhaps}\n")),
            Fault::Refused | Fault::Silent | Fault::ConnectTimeout | Fault::Error500 => {}
        }
    }

    fn send_line(&mut self, conn: ConnId, t: f64) {
        if self.harness.closed.contains(&conn) {
            self.connections.remove(&conn);
            return;
        }
        let Some(open) = self
            .connections
            .get(&conn)
            .copied()
            .filter(|o| o.watch_requested)
        else {
            return;
        };
        if let (None, Some(fault)) = (open.fault, self.servers[open.server].fault_at(t)) {
            return match fault {
                Fault::Refused | Fault::Error500 => self.end(conn),
                fault => self.start_fault(conn, fault),
            };
        }
        let due = t >= open.next_at;
        let text = match open.fault {
            None if !open.is_notified && t >= self.change_at => {
                chunk(&format!("{}\n", change_line()))
            }
            None | Some(Fault::HalfLineKeptAlive) if due => chunk("\n"),
            Some(Fault::TrickledLine) if due => chunk(" "),
            Some(Fault::TrickledResponseHead) if due => "x".to_string(),
            _ => return,
        };
        let interval_s = if matches!(
            open.fault,
            Some(Fault::TrickledLine | Fault::TrickledResponseHead)
        ) {
            0.1
        } else {
            2.0
        };
        let is_notified = open.fault.is_none() && t >= self.change_at;
        self.connections.insert(
            conn,
            WatchConnection {
                is_notified,
                next_at: t + interval_s,
                ..open
            },
        );
        self.harness.receive_text(conn, &text);
    }

    fn has_no_list(&self) -> bool {
        self.harness.node.resource_usage().servers == 0
    }

    fn is_notified(&self) -> bool {
        self.harness.node.resource_usage().servers == 5
    }

    /// Runs until the node has applied the change. Returns the time in seconds after the start, or `None` past `limit`.
    fn run_until_notified(&mut self, limit: f64) -> Option<f64> {
        while !self.is_notified() {
            if self.time() > limit {
                return None;
            }
            self.advance_to_next_timer();
        }
        Some(self.time())
    }

    fn reload(&mut self, to: &str) {
        let new_config = config_json(256).replace(OLD_ADDRESS, to);
        self.harness
            .reload(Config::parse(&new_config).expect("the configuration is valid"));
    }

    /// Checks that requests are forwarded, and not to the draining server.
    fn assert_prefills_avoid_draining_server(&mut self, case: &str) {
        for i in 0..4 {
            let is_request = |c: &Call| c.request_line().starts_with("POST");
            let requests_before = self.harness.count_calls(is_request);
            self.harness.send_request(&format!("z{i}"), "ask");
            assert!(
                self.harness.count_calls(is_request) > requests_before,
                "{case}: a request is not forwarded"
            );
            let to = self.harness.last_call(is_request).to.to_string();
            assert_ne!(to, "127.0.1.1:80", "{case}");
        }
    }
}

/// Times from `from` to `to` in steps of 0.1 s.
fn tenths(from: f64, to: f64) -> impl Iterator<Item = f64> {
    let n = ((to - from) * 10.0).round() as u32;
    (0..=n).map(move |i| from + f64::from(i) / 10.0)
}

/// The longest of several delays, in seconds, and its case.
#[derive(Default)]
struct LongestDelay(f64, String);

impl LongestDelay {
    fn record(&mut self, s: f64, case: String) {
        if s > self.0 {
            *self = LongestDelay(s, case);
        }
    }
}

#[test]
fn change_around_any_fault_is_followed_in_time() {
    let mut failures = Vec::new();
    for fault in FAULTS {
        let mut longest = LongestDelay::default();
        for duration_s in [0.3, 3.0, 8.0] {
            let recovers_at = FAULT_START_SECS + duration_s;
            for change_at in tenths(FAULT_START_SECS - 2.0, recovers_at + 2.0) {
                let server =
                    DiscoveryServer::new(OLD_ADDRESS, fault, (FAULT_START_SECS, recovers_at));
                let seed = (change_at * 10.0).round() as u64 + 1;
                let mut discovery = DiscoveryHarness::new(seed, &[server], change_at);
                // The time counts from the change if discovery works at that time, and otherwise from its recovery.
                let available_at = if change_at < FAULT_START_SECS {
                    change_at
                } else {
                    change_at.max(recovers_at)
                };
                let case = format!("{fault:?} for {duration_s} s, change at {change_at:.1} s");
                match discovery.run_until_notified(available_at + 20.0) {
                    Some(at) => longest.record(at - available_at, case.clone()),
                    None => longest.record(20.0, case.clone()),
                }
                if discovery.is_notified() {
                    discovery.assert_prefills_avoid_draining_server(&case);
                }
            }
        }
        println!("{:.2} s at most: {}", longest.0, longest.1);
        if longest.0 >= MAX_NOTIFICATION_SECS {
            failures.push(format!("{:.2} s: {}", longest.0, longest.1));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn fault_at_longest_backoff_ends_in_time() {
    let mut failures = Vec::new();
    for fault in FAULTS {
        let mut longest = LongestDelay::default();
        for fault_at in [6.0, 6.4, 6.8, 7.2, 7.6].map(|after| FAULT_START_SECS + after) {
            for duration_s in tenths(0.1, 6.0) {
                let recovers_at = fault_at + duration_s;
                let server = DiscoveryServer {
                    refused_from: FAULT_START_SECS,
                    ..DiscoveryServer::new(OLD_ADDRESS, fault, (fault_at, recovers_at))
                };
                let seed = (fault_at * 100.0 + duration_s) as u64;
                let mut discovery = DiscoveryHarness::new(seed, &[server], FAULT_START_SECS + 1.0);
                let waited = discovery
                    .run_until_notified(recovers_at + 20.0)
                    .map_or(20.0, |at| at - recovers_at);
                longest.record(
                    waited,
                    format!("{fault:?} from {fault_at:.1} s for {duration_s:.1} s"),
                );
            }
        }
        println!("{:.2} s at most: {}", longest.0, longest.1);
        if longest.0 >= MAX_NOTIFICATION_SECS {
            failures.push(format!("{:.2} s: {}", longest.0, longest.1));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn new_address_during_any_fault_is_followed_in_time() {
    let mut failures = Vec::new();
    for fault in FAULTS {
        let mut longest = LongestDelay::default();
        let recovers_at = FAULT_START_SECS + 3.0;
        for new_recovers_at in [0.0, recovers_at + 1.0] {
            for (reload_at, change_at) in tenths(FAULT_START_SECS - 1.0, recovers_at + 1.0)
                .flat_map(|r| [(r, FAULT_START_SECS + 1.0), (r, r + 0.05), (r, r + 2.0)])
            {
                let old = DiscoveryServer::new(OLD_ADDRESS, fault, (FAULT_START_SECS, 1e9));
                let new = DiscoveryServer::new(NEW_ADDRESS, fault, (0.0, new_recovers_at));
                let mut discovery =
                    DiscoveryHarness::new((reload_at * 10.0) as u64 + 1, &[old, new], change_at);
                while discovery.time() < reload_at && !discovery.is_notified() {
                    discovery.advance_to_next_timer();
                }
                discovery.reload(NEW_ADDRESS);
                let available_at = change_at.max(reload_at).max(new_recovers_at);
                let case =
                    format!("{fault:?}, reload at {reload_at:.1} s, change at {change_at:.2} s");
                match discovery.run_until_notified(available_at + 20.0) {
                    Some(at) => longest.record(at - available_at, case.clone()),
                    None => longest.record(20.0, case.clone()),
                }
                if discovery.is_notified() {
                    discovery.assert_prefills_avoid_draining_server(&case);
                }
            }
        }
        println!("{:.2} s at most: {}", longest.0, longest.1);
        if longest.0 >= MAX_NOTIFICATION_SECS {
            failures.push(format!("{:.2} s: {}", longest.0, longest.1));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Largest number of these times that lie within `window` seconds.
fn max_within(times: &[f64], window: f64) -> usize {
    let mut times = times.to_vec();
    times.sort_by(f64::total_cmp);
    times
        .iter()
        .enumerate()
        .map(|(i, t)| times[i..].iter().take_while(|u| *u - t <= window).count())
        .max()
        .unwrap_or(0)
}

/// Difference between the first and the last of these times, in seconds.
fn spread(times: &[f64]) -> f64 {
    let ends = times
        .iter()
        .fold((f64::MAX, f64::MIN), |m, t| (m.0.min(*t), m.1.max(*t)));
    ends.1 - ends.0
}

#[test]
fn reconnects_of_many_nodes_are_spread() {
    for fault in [
        Fault::Refused,
        Fault::Error500,
        Fault::Silent,
        Fault::ConnectTimeout,
        Fault::HalfLine,
    ] {
        let mut connect_times: Vec<Vec<f64>> = Vec::new();
        for seed in 1..=300 {
            let server = DiscoveryServer::new(OLD_ADDRESS, fault, (FAULT_START_SECS, 1e9));
            let mut discovery = DiscoveryHarness::new(seed, &[server], 1e9);
            // The first 20 nodes run for a full minute, so that their connects per minute can be counted.
            let calls = |discovery: &DiscoveryHarness| {
                discovery
                    .connect_times
                    .iter()
                    .filter(|t| **t > FAULT_START_SECS)
                    .count()
            };
            let runs_full_minute = seed <= 20;
            while discovery.time() < FAULT_START_SECS + 64.0
                && (runs_full_minute || calls(&discovery) < 8)
            {
                discovery.advance_to_next_timer();
            }
            let mut after: Vec<f64> = discovery
                .connect_times
                .iter()
                .copied()
                .filter(|t| *t > FAULT_START_SECS)
                .collect();
            let max_per_minute = after
                .iter()
                .map(|t| {
                    after
                        .iter()
                        .filter(|u| (0.0..60.0).contains(&(*u - t)))
                        .count()
                })
                .max();
            // Once the backoff has grown, consecutive connects are at least half a second apart.
            let bounds = if runs_full_minute { 12..=125 } else { 8..=125 };
            assert!(
                max_per_minute.is_some_and(|n| bounds.contains(&n)),
                "{fault:?}: {max_per_minute:?} connects in a minute"
            );
            after.truncate(8);
            assert_eq!(after.len(), 8, "{fault:?}");
            connect_times.push(after);
        }
        let nth_connect = |n: usize| connect_times.iter().map(|d| d[n]).collect::<Vec<_>>();
        let (first, eighth) = (nth_connect(0), nth_connect(7));
        println!(
            "{fault:?}: first connects spread over {:.3} s, at most {} of 300 in 10 ms; eighth over {:.3} s, {} in 50 ms",
            spread(&first),
            max_within(&first, 0.01),
            spread(&eighth),
            max_within(&eighth, 0.05),
        );
        assert!(spread(&first) >= 0.04, "{fault:?}: {}", spread(&first));
        assert!(max_within(&first, 0.01) <= 100, "{fault:?}");
        assert!(spread(&eighth) >= 0.5, "{fault:?}: {}", spread(&eighth));
        assert!(max_within(&eighth, 0.05) <= 75, "{fault:?}");
    }
}

#[test]
fn backoff_depends_on_seed_and_name() {
    let connect_times = |text: &str| {
        let server = DiscoveryServer::new(OLD_ADDRESS, Fault::Refused, (0.0, 1e9));
        let mut discovery = DiscoveryHarness::new(7, &[server], 1e9);
        discovery.harness =
            Harness::starting(Config::parse(text).expect("the configuration is valid"));
        while discovery.time() < 10.0 {
            discovery.advance_to_next_timer();
        }
        discovery.connect_times
    };
    let config_text = config_json(256);
    assert_eq!(connect_times(&config_text), connect_times(&config_text));
    assert_ne!(
        connect_times(&config_text),
        connect_times(&config_text.replace("\"name\":\"d0\"", "\"name\":\"d1\""))
    );
}

#[test]
fn hour_without_discovery_leaves_few_lines_and_timers() {
    for fault in [
        Fault::Refused,
        Fault::Error500,
        Fault::Silent,
        Fault::Unreadable,
    ] {
        let server = DiscoveryServer::new(OLD_ADDRESS, fault, (FAULT_START_SECS, 1e9));
        let mut discovery = DiscoveryHarness::new(3, &[server], 1e9);
        while discovery.time() < 60.0 {
            discovery.advance_to_next_timer();
        }
        let timers = discovery.harness.node.resource_usage().timers;
        while discovery.time() < 3600.0 {
            discovery.advance_to_next_timer();
        }
        let added = discovery
            .harness
            .node
            .resource_usage()
            .timers
            .saturating_sub(timers);
        assert!(added <= 10, "{fault:?}: {added} more timers");
        let lines: Vec<&String> = discovery
            .harness
            .logs
            .iter()
            .filter(|l| l.contains("discovery"))
            .collect();
        assert!(
            (1..=180).contains(&lines.len()),
            "{fault:?}: {} lines in an hour",
            lines.len()
        );
        assert!(
            lines
                .iter()
                .all(|l| l.contains(OLD_ADDRESS) && l.chars().count() < 300),
            "{:?}",
            lines[0]
        );
    }
}
