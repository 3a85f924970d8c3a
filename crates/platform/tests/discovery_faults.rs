//! Told by discovery: whatever call failed before, a change is acted on inside 6 s of discovery having it and being
//! reachable; and many nodes that lose their watch at once do not call again in step.
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::types::{ConnId, Input};
use common::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A change counts as told so long after discovery had it and could be reached, seconds.
const TOLD_SECS: f64 = 6.0;
/// When the fault begins, seconds after the start: between two empty lines.
const FAULT_AT: f64 = 4.7;
const OLD: &str = "127.0.2.1:8500";
const NEW: &str = "127.0.2.7:8500";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Nobody listens.
    Refused,
    /// Connections come up and nothing is said.
    Silent,
    NeverUp,
    /// The list stops in the middle of a line.
    HalfLine,
    /// The list stops in the middle of a line, and empty lines go on.
    HalfLineKeptAlive,
    /// A line goes on byte by byte without end.
    Trickle,
    /// So does a head.
    TrickledHead,
    Error500,
    /// The answer ends in order right after its head.
    Ended,
    Unreadable,
}

const FAULTS: [Fault; 10] = [
    Fault::Refused,
    Fault::Silent,
    Fault::NeverUp,
    Fault::HalfLine,
    Fault::HalfLineKeptAlive,
    Fault::Trickle,
    Fault::TrickledHead,
    Fault::Error500,
    Fault::Ended,
    Fault::Unreadable,
];

/// One address of discovery; the fault is there from one time until another, seconds after the start, and before it
/// calls may be refused, so that the back-off has grown.
#[derive(Clone, Copy, Debug)]
struct Place {
    at: &'static str,
    fault: Fault,
    ill: (f64, f64),
    refused_from: f64,
}

impl Place {
    fn address(&self) -> SocketAddr {
        self.at.parse().expect("an address")
    }

    fn new(at: &'static str, fault: Fault, ill: (f64, f64)) -> Place {
        Place {
            at,
            fault,
            ill,
            refused_from: ill.0,
        }
    }

    fn fault_at(&self, t: f64) -> Option<Fault> {
        if self.refused_from <= t && t < self.ill.0 {
            return Some(Fault::Refused);
        }
        (self.ill.0 <= t && t < self.ill.1).then_some(self.fault)
    }
}

/// One connection of the watch, as its place sees it.
#[derive(Clone, Copy, Debug)]
struct Open {
    place: usize,
    called: bool,
    /// It took the fault on and keeps it, also once its place is well.
    ill: Option<Fault>,
    told: bool,
    next_at: f64,
}

/// A node before scripted discovery.
struct Stand {
    harness: Harness,
    places: Vec<Place>,
    change_at: f64,
    open: BTreeMap<ConnId, Open>,
    seen: (usize, usize),
    /// Times of calls, seconds after the start.
    dials: Vec<f64>,
}

/// A drain and a new host in one change.
fn news() -> String {
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

impl Stand {
    fn new(seed: u64, places: &[Place], change_at: f64) -> Stand {
        let text = config_json(256).replace("\"seed\":\"1f\"", &format!("\"seed\":\"{seed:x}\""));
        Stand {
            harness: Harness::with_config(Config::parse(&text).expect("good")),
            places: places.to_vec(),
            change_at,
            open: BTreeMap::new(),
            seen: (0, 0),
            dials: Vec::new(),
        }
    }

    fn time(&self) -> f64 {
        self.harness.now.since(START)
    }

    /// On to the next timer, 50 ms at the most.
    fn turn(&mut self) {
        let t = self.time();
        for place in &self.places {
            let shut = matches!(place.fault_at(t), Some(Fault::Refused | Fault::NeverUp));
            if shut {
                self.harness.unreachable_addresses.insert(place.address());
            } else {
                self.harness.unreachable_addresses.remove(&place.address());
            }
        }
        self.hear();
        let due = self.harness.node.next_due().unwrap_or(Micros(u64::MAX));
        self.harness
            .advance((due.since(self.harness.now) + 1e-6).min(0.05));
        self.hear();
    }

    fn hear(&mut self) {
        let t = self.time();
        while let Some((conn, to)) = self.harness.connects.get(self.seen.0).copied() {
            self.seen.0 += 1;
            let Some(place) = self.places.iter().position(|p| p.address() == to) else {
                continue;
            };
            self.dials.push(t);
            let open = Open {
                place,
                called: false,
                ill: self.places[place].fault_at(t),
                told: false,
                next_at: t,
            };
            self.open.insert(conn, open);
            if open.ill == Some(Fault::Refused) {
                self.end(conn);
            }
        }
        while let Some(call) = self.harness.calls.get(self.seen.1).cloned() {
            self.seen.1 += 1;
            if call.request_line().contains("watch=1") {
                assert!(
                    call.request_line().contains("from=7 ") || self.told(),
                    "{}",
                    call.request_line()
                );
                let Some(open) = self.open.get_mut(&call.conn) else {
                    continue;
                };
                open.called = true;
                let ill = open.ill;
                match ill {
                    Some(Fault::Silent | Fault::TrickledHead | Fault::Refused | Fault::NeverUp) => {
                    }
                    Some(Fault::Error500) => {
                        let answer =
                            "HTTP/1.1 500 No\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n";
                        self.harness.receive_text(call.conn, answer);
                    }
                    _ => self.harness.receive_text(call.conn, HEAD),
                }
                if let Some(fault) = ill {
                    self.fall_ill(call.conn, fault);
                }
            }
        }
        for conn in self.open.keys().copied().collect::<Vec<_>>() {
            self.send_line(conn, t);
        }
    }

    fn end(&mut self, conn: ConnId) {
        self.open.remove(&conn);
        self.harness.step(Input::Ended { conn });
    }

    /// What a connection says at the fault's begin.
    fn fall_ill(&mut self, conn: ConnId, fault: Fault) {
        if let Some(open) = self.open.get_mut(&conn) {
            (open.ill, open.next_at) = (Some(fault), self.harness.now.since(START));
        }
        let whole = news();
        let half = &whole[..whole.len() - 60];
        match fault {
            Fault::HalfLine | Fault::HalfLineKeptAlive => {
                self.harness.receive_text(conn, &chunk(half))
            }
            Fault::Trickle => self
                .harness
                .receive_text(conn, &chunk("{\"rev\":8,\"all\":false,\"targets\":[")),
            Fault::TrickledHead => self
                .harness
                .receive_text(conn, "HTTP/1.1 200 OK\r\nServer: "),
            Fault::Ended => self.harness.receive_text(conn, "0\r\n\r\n"),
            Fault::Unreadable => self
                .harness
                .receive_text(conn, &chunk("{\"rev\":8,\"all\":perhaps}\n")),
            Fault::Refused | Fault::Silent | Fault::NeverUp | Fault::Error500 => {}
        }
    }

    fn send_line(&mut self, conn: ConnId, t: f64) {
        if self.harness.closed.contains(&conn) {
            self.open.remove(&conn);
            return;
        }
        let Some(open) = self.open.get(&conn).copied().filter(|o| o.called) else {
            return;
        };
        if let (None, Some(fault)) = (open.ill, self.places[open.place].fault_at(t)) {
            return match fault {
                Fault::Refused | Fault::Error500 => self.end(conn),
                fault => self.fall_ill(conn, fault),
            };
        }
        let due = t >= open.next_at;
        let text = match open.ill {
            None if !open.told && t >= self.change_at => chunk(&format!("{}\n", news())),
            None | Some(Fault::HalfLineKeptAlive) if due => chunk("\n"),
            Some(Fault::Trickle) if due => chunk(" "),
            Some(Fault::TrickledHead) if due => "x".to_string(),
            _ => return,
        };
        let pause = if matches!(open.ill, Some(Fault::Trickle | Fault::TrickledHead)) {
            0.1
        } else {
            2.0
        };
        let told = open.ill.is_none() && t >= self.change_at;
        self.open.insert(
            conn,
            Open {
                told,
                next_at: t + pause,
                ..open
            },
        );
        self.harness.receive_text(conn, &text);
    }

    fn told(&self) -> bool {
        self.harness.node.resource_usage().servers == 5
    }

    /// Goes on until the change is acted on; gives the time, or `None` past the limit.
    fn until_notified(&mut self, limit: f64) -> Option<f64> {
        while !self.told() {
            if self.time() > limit {
                return None;
            }
            self.turn();
        }
        Some(self.time())
    }

    fn reload(&mut self, to: &str) {
        let moved = config_json(256).replace(OLD, to);
        self.harness.reload(Config::parse(&moved).expect("good"));
    }

    /// Requests go to what the change left, and not to the host that drains.
    fn assert_reads_avoid_the_drain(&mut self, case: &str) {
        for i in 0..4 {
            let all = |c: &Call| c.request_line().starts_with("POST");
            let asked = self.harness.count_calls(all);
            self.harness.send_request(&format!("z{i}"), "ask");
            assert!(
                self.harness.count_calls(all) > asked,
                "{case}: a request goes out"
            );
            let to = self.harness.last_call(all).to.to_string();
            assert_ne!(to, "127.0.1.1:80", "{case}");
        }
    }
}

/// From `from` to `to` in tenths of a second.
fn tenths(from: f64, to: f64) -> impl Iterator<Item = f64> {
    let n = ((to - from) * 10.0).round() as u32;
    (0..=n).map(move |i| from + f64::from(i) / 10.0)
}

/// The longest of several waits, with its case.
#[derive(Default)]
struct Worst(f64, String);

impl Worst {
    fn take(&mut self, s: f64, case: String) {
        if s > self.0 {
            *self = Worst(s, case);
        }
    }
}

#[test]
fn change_around_any_fault_is_followed_in_time() {
    let mut late = Vec::new();
    for fault in FAULTS {
        let mut worst = Worst::default();
        for lasts in [0.3, 3.0, 8.0] {
            let well_at = FAULT_AT + lasts;
            for change_at in tenths(FAULT_AT - 2.0, well_at + 2.0) {
                let place = Place::new(OLD, fault, (FAULT_AT, well_at));
                let seed = (change_at * 10.0).round() as u64 + 1;
                let mut stand = Stand::new(seed, &[place], change_at);
                // While it is well discovery tells at once; from the fault on it counts from its return.
                let had_at = if change_at < FAULT_AT {
                    change_at
                } else {
                    change_at.max(well_at)
                };
                let case = format!("{fault:?} for {lasts} s, change at {change_at:.1} s");
                match stand.until_notified(had_at + 20.0) {
                    Some(at) => worst.take(at - had_at, case.clone()),
                    None => worst.take(20.0, case.clone()),
                }
                if stand.told() {
                    stand.assert_reads_avoid_the_drain(&case);
                }
            }
        }
        println!("{:.2} s at the most: {}", worst.0, worst.1);
        if worst.0 >= TOLD_SECS {
            late.push(format!("{:.2} s: {}", worst.0, worst.1));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

#[test]
fn fault_at_longest_backoff_ends_in_time() {
    let mut late = Vec::new();
    for fault in FAULTS {
        let mut worst = Worst::default();
        for ill_at in [6.0, 6.4, 6.8, 7.2, 7.6].map(|after| FAULT_AT + after) {
            for lasts in tenths(0.1, 6.0) {
                let well_at = ill_at + lasts;
                let place = Place {
                    refused_from: FAULT_AT,
                    ..Place::new(OLD, fault, (ill_at, well_at))
                };
                let seed = (ill_at * 100.0 + lasts) as u64;
                let mut stand = Stand::new(seed, &[place], FAULT_AT + 1.0);
                let waited = stand
                    .until_notified(well_at + 20.0)
                    .map_or(20.0, |at| at - well_at);
                worst.take(
                    waited,
                    format!("{fault:?} from {ill_at:.1} s for {lasts:.1} s"),
                );
            }
        }
        println!("{:.2} s at the most: {}", worst.0, worst.1);
        if worst.0 >= TOLD_SECS {
            late.push(format!("{:.2} s: {}", worst.0, worst.1));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

#[test]
fn new_address_during_any_fault_is_followed_in_time() {
    let mut late = Vec::new();
    for fault in FAULTS {
        let mut worst = Worst::default();
        let well_at = FAULT_AT + 3.0;
        for new_well_at in [0.0, well_at + 1.0] {
            for (reload_at, change_at) in tenths(FAULT_AT - 1.0, well_at + 1.0)
                .flat_map(|r| [(r, FAULT_AT + 1.0), (r, r + 0.05), (r, r + 2.0)])
            {
                let old = Place::new(OLD, fault, (FAULT_AT, 1e9));
                let new = Place::new(NEW, fault, (0.0, new_well_at));
                let mut stand = Stand::new((reload_at * 10.0) as u64 + 1, &[old, new], change_at);
                while stand.time() < reload_at && !stand.told() {
                    stand.turn();
                }
                stand.reload(NEW);
                let had_at = change_at.max(reload_at).max(new_well_at);
                let case =
                    format!("{fault:?}, reload at {reload_at:.1} s, change at {change_at:.2} s");
                match stand.until_notified(had_at + 20.0) {
                    Some(at) => worst.take(at - had_at, case.clone()),
                    None => worst.take(20.0, case.clone()),
                }
                if stand.told() {
                    stand.assert_reads_avoid_the_drain(&case);
                }
            }
        }
        println!("{:.2} s at the most: {}", worst.0, worst.1);
        if worst.0 >= TOLD_SECS {
            late.push(format!("{:.2} s: {}", worst.0, worst.1));
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}

/// The most of these times that lie within `window` seconds.
fn most_within(times: &[f64], window: f64) -> usize {
    let mut times = times.to_vec();
    times.sort_by(f64::total_cmp);
    times
        .iter()
        .enumerate()
        .map(|(i, t)| times[i..].iter().take_while(|u| *u - t <= window).count())
        .max()
        .unwrap_or(0)
}

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
        Fault::NeverUp,
        Fault::HalfLine,
    ] {
        let mut dials: Vec<Vec<f64>> = Vec::new();
        for seed in 1..=300 {
            let place = Place::new(OLD, fault, (FAULT_AT, 1e9));
            let mut stand = Stand::new(seed, &[place], 1e9);
            // The first some are watched for longer, for their calls in a minute.
            let calls = |stand: &Stand| stand.dials.iter().filter(|t| **t > FAULT_AT).count();
            let minute = seed <= 20;
            while stand.time() < FAULT_AT + 64.0 && (minute || calls(&stand) < 8) {
                stand.turn();
            }
            let mut after: Vec<f64> = stand
                .dials
                .iter()
                .copied()
                .filter(|t| *t > FAULT_AT)
                .collect();
            let most = after
                .iter()
                .map(|t| {
                    after
                        .iter()
                        .filter(|u| (0.0..60.0).contains(&(*u - t)))
                        .count()
                })
                .max();
            // From one call's begin to the next it is half a second at least once the back-off has grown.
            let bounds = if minute { 12..=125 } else { 8..=125 };
            assert!(
                most.is_some_and(|n| bounds.contains(&n)),
                "{fault:?}: {most:?} calls in a minute"
            );
            after.truncate(8);
            assert_eq!(after.len(), 8, "{fault:?}");
            dials.push(after);
        }
        let nth = |n: usize| dials.iter().map(|d| d[n]).collect::<Vec<_>>();
        let (first, eighth) = (nth(0), nth(7));
        println!(
            "{fault:?}: first calls spread over {:.3} s, at the most {} of 300 in 10 ms; eighth over {:.3} s, {} in 50 ms",
            spread(&first),
            most_within(&first, 0.01),
            spread(&eighth),
            most_within(&eighth, 0.05),
        );
        assert!(spread(&first) >= 0.04, "{fault:?}: {}", spread(&first));
        assert!(most_within(&first, 0.01) <= 100, "{fault:?}");
        assert!(spread(&eighth) >= 0.5, "{fault:?}: {}", spread(&eighth));
        assert!(most_within(&eighth, 0.05) <= 75, "{fault:?}");
    }
}

#[test]
fn backoff_depends_on_seed_and_name() {
    let dials = |text: &str| {
        let place = Place::new(OLD, Fault::Refused, (0.0, 1e9));
        let mut stand = Stand::new(7, &[place], 1e9);
        stand.harness = Harness::with_config(Config::parse(text).expect("good"));
        while stand.time() < 10.0 {
            stand.turn();
        }
        stand.dials
    };
    let one = config_json(256);
    assert_eq!(dials(&one), dials(&one));
    assert_ne!(
        dials(&one),
        dials(&one.replace("\"name\":\"d0\"", "\"name\":\"d1\""))
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
        let place = Place::new(OLD, fault, (FAULT_AT, 1e9));
        let mut stand = Stand::new(3, &[place], 1e9);
        while stand.time() < 60.0 {
            stand.turn();
        }
        let timers = stand.harness.node.resource_usage().timers;
        while stand.time() < 3600.0 {
            stand.turn();
        }
        let grown = stand
            .harness
            .node
            .resource_usage()
            .timers
            .saturating_sub(timers);
        assert!(grown <= 10, "{fault:?}: {grown} more timers");
        let lines: Vec<&String> = stand
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
                .all(|l| l.contains(OLD) && l.chars().count() < 300),
            "{:?}",
            lines[0]
        );
    }
}
