//! Stand-ins in this process, a dispatcher as a process of its own, and clients.
#![allow(dead_code)]

pub mod cluster;
pub mod lengths;
pub mod surge;
pub mod workflows;

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bitternlatch_chaos::between::{Between, Rule};
use bitternlatch_chaos::client::{Came, Client};
use bitternlatch_chaos::day::Day;
use bitternlatch_chaos::process::{own_address, Dispatcher};
use bitternlatch_mock_engine::capture::{Capture, Line};
use bitternlatch_mock_engine::Standins;
use bitternlatch_net::dial::DialOptions;
use bitternlatch_protocol::client::ServerEvent;
use crossbeam_channel::Receiver;

pub const SETTINGS: &str = include_str!("../../../../deploy/dispatch.toml");

pub fn image() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_bitternlatch-chaos"))
}

/// A folder of this test's own.
pub fn folder_of(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// The same, empty.
pub fn folder(name: &str) -> PathBuf {
    let dir = folder_of(name);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

pub struct Rig {
    pub hosts: Option<Standins>,
    pub lines: Receiver<Line>,
    pub dispatchers: Vec<Dispatcher>,
    pub dir: PathBuf,
    day: Day,
    connections: std::sync::atomic::AtomicU64,
}

/// Hosts of a day's text and some dispatchers, ready. `edit` may change the dispatchers' settings.
pub fn rig(name: &str, hosts: &str, dispatchers: usize, edit: impl Fn(&mut toml::Table)) -> Rig {
    rig_with(name, hosts, dispatchers, None, edit)
}

/// As [`rig`]; `each` may change one dispatcher's place before its start, by number from 0.
pub fn rig_each(
    name: &str,
    hosts: &str,
    dispatchers: usize,
    each: impl Fn(usize, &mut Dispatcher),
) -> Rig {
    rig_of(name, hosts, dispatchers, None, |_| (), each)
}

/// As [`rig`]; with a folder of certificates and a manner of asking dispatchers, hosts speak TLS.
pub fn rig_with(
    name: &str,
    hosts: &str,
    dispatchers: usize,
    tls: Option<(PathBuf, DialOptions)>,
    edit: impl Fn(&mut toml::Table),
) -> Rig {
    rig_of(name, hosts, dispatchers, tls, edit, |_, _| ())
}

fn rig_of(
    name: &str,
    hosts: &str,
    dispatchers: usize,
    tls: Option<(PathBuf, DialOptions)>,
    edit: impl Fn(&mut toml::Table),
    each: impl Fn(usize, &mut Dispatcher),
) -> Rig {
    let text =
        format!("for_s = 1\nrate_rps = 1\nmix = []\ndispatchers = {{ count = 1, settings = \"\" }}\n{hosts}");
    let day = Day::parse(&text).expect("a day");
    let dir = folder(name);
    let (capture, lines) = Capture::channel();
    let mut config = day.standins();
    config.tls = tls.as_ref().map(|t| t.0.clone());
    let standins = Standins::start(config, capture).expect("stand-ins");
    let mut rig = Rig {
        hosts: Some(standins),
        lines,
        dispatchers: vec![],
        dir,
        day,
        connections: 0.into(),
    };
    rig.write_list(&[]);
    let mut settings: toml::Table = toml::from_str(SETTINGS).expect("settings");
    edit(&mut settings);
    for number in 1..=dispatchers {
        let mut one = Dispatcher::new(&rig.dir, number, dispatchers, &settings);
        if let Some((_, manner)) = &tls {
            one.secured(manner.clone());
        }
        each(number - 1, &mut one);
        one.start(&image()).expect("a process");
        rig.dispatchers.push(one);
    }
    for one in &rig.dispatchers {
        assert!(one.ready(Duration::from_secs(20)), "{} is ready", one.name);
    }
    rig
}

pub const FOUR: &str = r#"
[[hosts]]
name = "reader-[1:2]"
kind = "reader"
role = "reader"
[[hosts]]
name = "writer-[1:2]"
kind = "writer"
role = "writer"
"#;

impl Rig {
    pub fn standins(&self) -> &Standins {
        self.hosts.as_ref().expect("running")
    }

    /// Writes the list in place; the hosts named are told to drain.
    pub fn write_list(&self, draining: &[&str]) {
        let mut text = String::from("name,address,port,kind,cell,zone,state\n");
        for host in &self.day.hosts {
            let (name, address) = (
                &host.config.name,
                self.standins().addresses()[&host.config.name],
            );
            let state = if draining.contains(&name.as_str()) {
                "draining"
            } else {
                "ready"
            };
            text.push_str(&format!(
                "{name},{},{},{},{},pos-site,{state}\n",
                address.ip(),
                address.port(),
                host.kind,
                host.cell
            ));
        }
        std::fs::write(self.dir.join("hosts.csv"), text).expect("the list");
    }

    pub fn client(&self, dispatcher: usize) -> Client {
        let n = self
            .connections
            .fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let address = &self.dispatchers[dispatcher].address;
        Client::connect(address, &format!("t{n}"), "d", Capture::none()).expect("a session")
    }

    /// Completions that hosts got, as (host, text).
    pub fn completions(&self, of: &[Line]) -> Vec<(String, String)> {
        let told = of
            .iter()
            .filter(|l| l.dir == "in" && l.text.contains("\"op\":\"completion\""));
        told.map(|l| (l.who.clone(), l.text.clone())).collect()
    }

    /// Lines until one that fits has come.
    pub fn until(&self, what: &str, fits: impl Fn(&Line) -> bool) -> Vec<Line> {
        let by = Instant::now() + Duration::from_secs(20);
        let mut seen = Vec::new();
        while let Ok(line) = self.lines.recv_deadline(by) {
            let found = fits(&line);
            seen.push(line);
            if found {
                return seen;
            }
        }
        panic!("{what} has not come");
    }

    /// Ends dispatchers in order.
    pub fn end(mut self) {
        self.dispatchers.iter().for_each(Dispatcher::terminate);
        for one in &mut self.dispatchers {
            assert!(
                one.ended(Duration::from_secs(20)),
                "{} ends in order",
                one.name
            );
        }
        if let Some(hosts) = self.hosts.take() {
            hosts.stop();
        }
    }
}

pub fn create(class: &str, key: &str, text: &str) -> String {
    serde_json::json!({
        "type": "response.create", "model": "m", "input": text, "max_output_tokens": 200,
        "metadata": { "class": class, "idempotency_key": key, "try": key },
    })
    .to_string()
}

/// Nothing passes.
pub const CUT: Rule = Rule {
    cut: true,
    lost: 0.0,
    twice: 0.0,
    delay_s: 0.0,
    jitter_s: 0.0,
    bytes_s: 0.0,
};

/// Addresses for datagrams and connections both.
pub fn free_for_peers(count: usize) -> Vec<SocketAddrV4> {
    (0..count).map(|_| own_address(7811)).collect()
}

/// A `[cluster]` table: its secret's file, where it listens, its roster of names, addresses and clients' addresses.
pub fn cluster_table(
    secret: &str,
    own: SocketAddrV4,
    kept: &str,
    roster: &[(String, SocketAddrV4, String)],
) -> toml::Value {
    let line = |(name, address, clients): &(String, SocketAddrV4, String)| serde_json::json!({ "name": name, "address": address, "clients": clients });
    let roster: Vec<serde_json::Value> = roster.iter().map(line).collect();
    let table = serde_json::json!(
        { "name": "hall", "secret": secret, "kept": kept, "address": own, "roster": roster }
    );
    serde_json::from_value(table).expect("a table")
}

/// Relays before so many members, and the roster that leads through them.
pub fn between(addresses: &[SocketAddrV4]) -> (Between, Vec<(String, SocketAddrV4, String)>) {
    let name = |i: usize| format!("dispatch-{}", i + 1);
    let members: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(i, at)| (name(i), *at))
        .collect();
    let between = Between::start(&members, 7).expect("relays");
    let line = |i: usize| {
        (
            name(i),
            between.front(i).expect("a front"),
            format!("clients-of-{}", i + 1),
        )
    };
    let roster = (0..addresses.len()).map(line).collect();
    (between, roster)
}

/// Listens until the final event, or panics after a time that no answer may take.
pub fn to_the_end(client: &Client) -> Vec<ServerEvent> {
    let mut events = Vec::new();
    loop {
        match client.next(Duration::from_secs(30)) {
            Came::Event(event) => {
                let last = event.is_final();
                events.push(*event);
                if last {
                    return events;
                }
            }
            other => panic!("{other:?} after {} events", events.len()),
        }
    }
}

pub fn final_kind(client: &Client) -> String {
    to_the_end(client)
        .last()
        .map(|e| e.kind.clone())
        .unwrap_or_default()
}

/// The wall clock, Unix seconds.
pub fn now() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("after 1970")
        .as_secs()
}

/// Waits until something holds, or panics.
pub fn wait_for(what: &str, fits: impl Fn() -> bool) {
    let by = Instant::now() + Duration::from_secs(30);
    while !fits() {
        assert!(Instant::now() < by, "{what} has not come");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The last event's kind, or the code of its error.
pub fn error_code(client: &Client) -> String {
    let last = to_the_end(client).pop().expect("an event");
    last.error.map_or(last.kind, |e| {
        e["code"].as_str().unwrap_or_default().to_string()
    })
}

/// Waits for a session's end, and gives why.
pub fn closed(client: &Client) -> String {
    loop {
        match client.next(Duration::from_secs(20)) {
            Came::Closed(why) => return why,
            Came::Silence => panic!("it is not closed"),
            Came::Event(_) => {}
        }
    }
}

/// The log of the first dispatcher's first run.
pub fn log_of(rig: &Rig) -> String {
    std::fs::read_to_string(rig.dir.join("dispatch-1.1.log")).expect("the log")
}
