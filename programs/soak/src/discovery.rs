//! Mock discovery: one list of servers, and an agent for each process that tells its changes on a watch.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::{Record, Seen};
use crate::servers::Server;

/// An empty line comes so often while nothing changes.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(10);
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

struct Listed {
    server: Arc<Server>,
    state: State,
    booted_ms: u64,
    changed: u64,
}

#[derive(Default)]
struct List {
    version: u64,
    servers: Vec<Listed>,
}

impl List {
    fn line(&self, since: u64) -> String {
        let all = since == 0;
        let is_told = |s: &&Listed| s.changed > since && !(all && s.state == State::Gone);
        let targets: Vec<String> = self.servers.iter().filter(is_told).map(target).collect();
        format!(
            r#"{{"rev":{},"all":{all},"targets":[{}]}}"#,
            self.version,
            targets.join(",")
        )
    }
}

fn target(listed: &Listed) -> String {
    let server = &listed.server;
    let model = if server.decode { "writes" } else { "reads" };
    let state = match listed.state {
        State::Ready => "in_service",
        State::Draining => "terminating",
        State::Gone => "terminated",
    };
    format!(
        r#"{{"uid":"{}","endpoint":"{}","az":"hall","model":"{model}","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{}}}"#,
        server.uid, server.address, listed.booted_ms
    )
}

/// The list and its agents.
#[derive(Clone)]
pub struct Discovery {
    list: Arc<(Mutex<List>, Condvar)>,
    down: Arc<AtomicBool>,
    record: Record,
}

impl Discovery {
    pub fn new(record: Record) -> Discovery {
        Discovery {
            list: Arc::default(),
            down: Arc::default(),
            record,
        }
    }

    fn change(&self, change: impl FnOnce(&mut List)) {
        let mut list = self.list.0.lock().unwrap_or_else(|e| e.into_inner());
        list.version += 1;
        change(&mut list);
        self.list.1.notify_all();
    }

    pub fn add(&self, server: Arc<Server>) {
        self.change(|list| {
            let changed = list.version;
            list.servers.push(Listed {
                booted_ms: server.booted_ms(),
                server,
                state: State::Ready,
                changed,
            });
        });
    }

    pub fn drain(&self, number: usize) {
        self.set(number, State::Draining);
    }

    /// Lists a server's state, and its start as it is now.
    pub fn set(&self, number: usize, state: State) {
        self.change(|list| {
            let changed = list.version;
            let listed = list.servers.iter_mut().find(|s| s.server.number == number);
            if let Some(listed) = listed {
                listed.state = state;
                listed.booted_ms = listed.server.booted_ms();
                listed.changed = changed;
            }
        });
    }

    /// The whole list as a process may have known it.
    pub fn known(&self) -> String {
        self.list
            .0
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .line(0)
    }

    /// Silent from now on, or not.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// An agent for one process, which learns of changes every `period`; gives its address.
    ///
    /// # Errors
    /// Where there is no address for it.
    pub fn agent(&self, process: usize, period: Duration) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let known = Arc::new(AtomicU64::new(0));
        let (discovery, learnt) = (self.clone(), Arc::clone(&known));
        thread::spawn(move || discovery.learn(process, period, &learnt));
        let discovery = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (discovery, known) = (discovery.clone(), Arc::clone(&known));
                // A watch that breaks is begun anew by the other side.
                thread::spawn(move || drop(discovery.serve(stream, process, &known)));
            }
        });
        Ok(address)
    }

    /// Keeps the version up to which an agent knows the list. What it has counts as told to its process, whether or not
    /// a watch is open.
    fn learn(&self, process: usize, period: Duration, known: &AtomicU64) {
        loop {
            self.until_up();
            let list = self.list.0.lock().unwrap_or_else(|e| e.into_inner());
            let since = known.swap(list.version, Ordering::SeqCst);
            self.note_changes(&list, process, since);
            drop(list);
            thread::sleep(period.max(LOOK));
        }
    }

    fn note_changes(&self, list: &List, process: usize, since: u64) {
        for listed in list.servers.iter().filter(|s| s.changed > since) {
            let booted_ms = listed.booted_ms;
            self.record.note(Seen::Listed {
                process,
                server: listed.server.number,
                ready: listed.state == State::Ready,
                tells_start: booted_ms > 0 && booted_ms == listed.server.booted_ms(),
            });
        }
    }

    fn until_up(&self) {
        while self.down.load(Ordering::SeqCst) {
            thread::sleep(LOOK);
        }
    }

    fn serve(&self, stream: TcpStream, process: usize, known: &AtomicU64) -> std::io::Result<()> {
        let mut to = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        let mut first = String::new();
        from.read_line(&mut first)?;
        let since = first
            .split("from=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        let mut since: u64 = since.and_then(|n| n.parse().ok()).unwrap_or(0);
        self.until_up();
        to.write_all(HEAD.as_bytes())?;
        let mut said = None::<Instant>;
        loop {
            self.until_up();
            let line = {
                let list = self.list.0.lock().unwrap_or_else(|e| e.into_inner());
                let (list, _) = self
                    .list
                    .1
                    .wait_timeout(list, LOOK)
                    .unwrap_or_else(|e| e.into_inner());
                let is_known = known.load(Ordering::SeqCst) > since;
                if is_known {
                    self.note_changes(&list, process, since);
                }
                is_known.then(|| (list.line(since), list.version, draining(&list, since)))
            };
            if let Some((line, version, draining)) = line {
                to.write_all(chunk(&format!("{line}\n")).as_bytes())?;
                draining.into_iter().for_each(|server| {
                    self.record.note(Seen::Drained { process, server });
                });
                (since, said) = (version, Some(Instant::now()));
            } else if said.is_none_or(|at| at.elapsed() >= KEEP_ALIVE) {
                to.write_all(chunk("\n").as_bytes())?;
                said = Some(Instant::now());
            }
        }
    }
}

fn draining(list: &List, since: u64) -> Vec<usize> {
    let news = list
        .servers
        .iter()
        .filter(|s| s.state == State::Draining && s.changed > since);
    news.map(|s| s.server.number).collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
