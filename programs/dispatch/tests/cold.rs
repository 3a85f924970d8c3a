//! Runs ten dispatchers with servers that count requests. All dispatchers together must keep to the slow-start budget of a cold
//! server, except for random variation, while each learns of the server at a different time, some are killed and restarted, and
//! most requests have the same prefix.
mod common;
#[path = "common/crowd.rs"]
mod crowd;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::*;
use crowd::{Discovery, Outage};

const PREFILL_SERVERS: usize = 8;
/// Number of clients of each dispatcher; each sends its next request shortly after its response.
const CLIENTS: [usize; 10] = [8, 5, 3, 2, 2, 1, 1, 1, 1, 1];
/// `overloadFactor` in the configuration.
const OVERLOAD_FACTOR: f64 = 2.5;
/// `startCapacity` in the configuration.
const START_CAPACITY: f64 = 0.25;
/// `warmAfterS` in the configuration.
const WARM_AFTER: Duration = Duration::from_secs(14);
const WINDOW: Duration = Duration::from_secs(3);
/// How long the cold server is observed.
const OBSERVED: Duration = Duration::from_millis(8500);
const HOT: &str = "5c0f6e1a";

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a prefill or decode server that records when each request arrives. A busy server reports a long queue, another one an
/// empty queue.
fn counting_server(is_prefill: bool, busy: bool) -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let arrivals = Arrivals::default();
    let counted = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let arrivals = counted.clone();
            thread::spawn(move || serve(stream, is_prefill, busy, &arrivals));
        }
    });
    (address, arrivals)
}

fn serve(stream: TcpStream, is_prefill: bool, busy: bool, arrivals: &Arrivals) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut to = stream.try_clone().ok()?;
    let mut from = BufReader::new(stream);
    let load = if busy {
        "util=0.5,queue=15,x0=0.5"
    } else {
        "util=0.0,queue=0,x0=0.0"
    };
    while let Some((first, _)) = message(&mut from) {
        let answer = match first.split(' ').next() {
            Some("POST") => {
                arrivals.lock().expect("its times").push(Instant::now());
                let body = "{\"cached_tokens\":1500}";
                match is_prefill {
                    true => format!(
                        "HTTP/1.1 202 Accepted\r\nSrv-Load: {load}\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    ),
                    false => {
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n"
                            .into()
                    }
                }
            }
            _ => "HTTP/1.1 204 No Content\r\n\r\n".into(),
        };
        to.write_all(answer.as_bytes()).ok()?;
    }
    Some(())
}

/// An agent of discovery for each dispatcher.
fn agents() -> Vec<Discovery> {
    let agent = |_| Discovery::with_outage(Outage::Silent);
    CLIENTS.iter().map(agent).collect()
}

fn ask(at: SocketAddr, id: u64, prefix: &str) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(SOON))?;
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Kind: ask\r\nReq-Key: {id:x}\r\n\
         Req-Deadline-Ms: 6000\r\nReq-Extra: prefix={prefix},prompt_len=2000,prefix_len=1500,max_out=100\r\n\
         Connection: close\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(text.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.starts_with("HTTP/1.1 200"))
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the time")
        .as_millis()
}

struct CountingServers {
    prefill: Vec<(SocketAddr, Arrivals)>,
    decode: Vec<(SocketAddr, Arrivals)>,
}

impl CountingServers {
    /// Returns the endpoint list with one prefill server left out, or with its boot time set.
    fn list(&self, cold: usize, booted_ms: Option<u128>) -> Vec<String> {
        let mut targets = Vec::new();
        for (n, (at, _)) in self.prefill.iter().enumerate() {
            let entry = target(&format!("r{n}"), *at, "reads");
            match booted_ms {
                _ if n != cold => targets.push(entry),
                Some(ms) => {
                    targets.push(entry.replace("\"boot_ms\":0", &format!("\"boot_ms\":{ms}")))
                }
                None => {}
            }
        }
        let decode = self.decode.iter().enumerate();
        targets.extend(decode.map(|(n, (at, _))| target(&format!("w{n}"), *at, "writes")));
        targets
    }
}

fn started(
    name: &str,
    listen: SocketAddr,
    at: SocketAddr,
    seed: usize,
    targets: &[String],
) -> Dispatcher {
    let text = configuration_with(listen, at, targets)
        .replace("\"name\":\"d0\"", &format!("\"name\":\"{name}\""))
        .replace(
            "\"seed\":\"1f\"",
            &format!("\"seed\":\"{:x}\"", 7919 * (seed + 1)),
        )
        .replace(
            "\"balancers\":1",
            &format!("\"balancers\":{}", CLIENTS.len()),
        );
    Dispatcher::start_with(&format!("cold-{name}"), listen, text, program)
}

/// Finds the prefill server that receives most requests of the hot prefix while all servers are warm and idle.
fn find_home_server(servers: &CountingServers) -> usize {
    let dispatcher = started(
        "first",
        reserved_address(),
        Discovery::with_outage(Outage::Silent).at,
        99,
        &servers.list(PREFILL_SERVERS, None),
    );
    (0..20).for_each(|n| assert!(ask(dispatcher.listen, 0xF000 + n, HOT).expect("an answer")));
    let count = |n: &usize| servers.prefill[*n].1.lock().expect("its times").len();
    (0..PREFILL_SERVERS).max_by_key(count).expect("a reader")
}

/// Clients of all dispatchers; each sends its next request shortly after its response.
#[derive(Clone)]
struct Traffic {
    stop: Arc<AtomicBool>,
    /// No request is sent while this is set.
    quiet: Arc<AtomicBool>,
    count: Arc<AtomicU64>,
    answered: Arc<AtomicU64>,
    listen: Arc<Vec<Mutex<SocketAddr>>>,
}

impl Traffic {
    fn start(&self, clients: &[usize]) -> Vec<thread::JoinHandle<()>> {
        let dispatchers = clients.iter().enumerate();
        dispatchers
            .flat_map(|(n, many)| (0..*many).map(move |_| n))
            .map(|n| {
                let traffic = self.clone();
                thread::spawn(move || traffic.send_to(n))
            })
            .collect()
    }

    fn send_to(&self, dispatcher: usize) {
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(60));
            if self.quiet.load(Ordering::Relaxed) {
                continue;
            }
            let id = 1 + self.count.fetch_add(1, Ordering::Relaxed);
            let other = format!("{:x}", 0xA000 + id * 7919 % 40);
            let at = *self.listen[dispatcher].lock().expect("an address");
            let well = ask(at, id, if id % 5 < 3 { HOT } else { &other });
            self.answered
                .fetch_add(u64::from(matches!(well, Ok(true))), Ordering::Relaxed);
        }
    }
}

impl CountingServers {
    /// Arrivals at all prefill servers, and at the cold one, since `from`.
    fn prefills_since(&self, cold: usize, from: Instant) -> (Vec<Instant>, Vec<Instant>) {
        let arrivals = |n: usize| -> Vec<Instant> {
            let times = self.prefill[n].1.lock().expect("its times");
            times.iter().copied().filter(|t| *t >= from).collect()
        };
        let all = (0..self.prefill.len()).flat_map(arrivals).collect();
        (all, arrivals(cold))
    }
}

/// Returns the window at the cold server with the most requests beyond its budget N and the margin for it: the excess,
/// the requests and N. The settings do not say how a server warms up; the budget grows with the requests that it has
/// received, but not faster than with time.
fn worst_window(
    all: &[Instant],
    at_cold: &[Instant],
    from: Instant,
    until: Instant,
    margin: impl Fn(f64) -> f64,
) -> (f64, f64, f64) {
    let within = |times: &[Instant], start: Instant| {
        times
            .iter()
            .filter(|t| **t >= start && t.duration_since(start) < WINDOW)
            .count() as f64
    };
    let allowed = |start: Instant| {
        let even = within(all, start) / PREFILL_SERVERS as f64;
        let whole = even * WARM_AFTER.as_secs_f64() / WINDOW.as_secs_f64();
        let received = at_cold.iter().filter(|t| **t < start).count() as f64;
        let age = start.duration_since(from).as_secs_f64() / WARM_AFTER.as_secs_f64();
        let warmed = (received / whole).min(age);
        OVERLOAD_FACTOR * (START_CAPACITY + (1.0 - START_CAPACITY) * warmed) * even
    };
    let mut worst: (f64, f64, f64) = (f64::MIN, 0.0, 0.0);
    for start in at_cold.iter().filter(|t| **t + WINDOW <= until) {
        let (sent, n) = (within(at_cold, *start), allowed(*start));
        let over = sent - (n + margin(n));
        if over > worst.0 {
            worst = (over, sent, n);
        }
    }
    worst
}

#[test]
fn dispatchers_keep_the_slow_start_budget_of_a_cold_server_with_a_hot_prefix() {
    let idle = |is_prefill: bool, n: usize| {
        (0..n)
            .map(|_| counting_server(is_prefill, false))
            .collect::<Vec<_>>()
    };
    let cold = find_home_server(&CountingServers {
        prefill: idle(true, PREFILL_SERVERS),
        decode: idle(false, 2),
    });
    let prefill = (0..PREFILL_SERVERS)
        .map(|n| counting_server(true, n != cold))
        .collect();
    let servers = CountingServers {
        prefill,
        decode: idle(false, 4),
    };

    let before = servers.list(cold, None);
    let agents = agents();
    let start = |n: usize, again: usize, targets: &[String]| {
        started(
            &format!("d{n}-{again}"),
            reserved_address(),
            agents[n].at,
            n + 100 * again,
            targets,
        )
    };
    let mut dispatchers: Vec<_> = (0..CLIENTS.len()).map(|n| start(n, 0, &before)).collect();
    let listen: Arc<Vec<_>> = Arc::new(dispatchers.iter().map(|d| Mutex::new(d.listen)).collect());

    let (stop, count, answered) = (
        Arc::<AtomicBool>::default(),
        Arc::<AtomicU64>::default(),
        Arc::<AtomicU64>::default(),
    );
    let traffic = Traffic {
        stop: stop.clone(),
        quiet: Arc::default(),
        count,
        answered: answered.clone(),
        listen: listen.clone(),
    };
    let clients = traffic.start(&CLIENTS);
    thread::sleep(Duration::from_secs(1));
    let from = Instant::now();
    let booted_ms = unix_ms();
    let after = servers.list(cold, Some(booted_ms));
    for agent in &agents {
        agent.tell(&list(8, false, &after[cold..cold + 1]));
        thread::sleep(Duration::from_millis(150));
    }
    for (again, n) in [1, 6, 1].into_iter().enumerate() {
        dispatchers[n].child.kill().expect("it runs");
        dispatchers[n] = start(n, again + 1, &after);
        *listen[n].lock().expect("an address") = dispatchers[n].listen;
        thread::sleep(Duration::from_millis(600));
    }
    thread::sleep(OBSERVED.saturating_sub(from.elapsed()));
    stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));

    let (all, at_cold) = servers.prefills_since(cold, from);
    let margin = |n: f64| 2.0 * n.sqrt() + 2.0;
    let worst = worst_window(&all, &at_cold, from, Instant::now(), margin);
    let answered = answered.load(Ordering::Relaxed);
    println!(
        "{} reads, {} at the cold host, {answered} answered; worst window: {worst:?}",
        all.len(),
        at_cold.len()
    );
    assert!(
        answered > 100 && all.len() > 100,
        "{answered} answered, {} reads",
        all.len()
    );
    assert!(!at_cold.is_empty(), "no read at the cold host");
    assert!(
        worst.0 <= 0.0,
        "{} sent within the window where N is {}",
        worst.1,
        worst.2
    );
}

/// Guards against a limit that opens with time while the server, which warms up by requests, has got none: a lull after
/// its start and then a burst.
#[test]
fn burst_after_a_lull_keeps_the_budget_of_a_cold_server() {
    const CLIENTS: [usize; 8] = [6; 8];
    // Most requests beyond N that the platform leaves to chance.
    let margin = |n: f64| {
        let deviations = if n < 30.0 { 3.0 } else { 2.0 };
        deviations * n.sqrt() + deviations
    };
    const LULL: Duration = Duration::from_secs(9);
    const BURST: Duration = Duration::from_millis(4500);
    let started_servers = |is_prefill: bool, n: usize, busy: bool| -> Vec<_> {
        (0..n).map(|_| counting_server(is_prefill, busy)).collect()
    };
    let cold = PREFILL_SERVERS - 1;
    let mut prefill = started_servers(true, PREFILL_SERVERS - 1, true);
    prefill.extend(started_servers(true, 1, false));
    let servers = CountingServers {
        prefill,
        decode: started_servers(false, 4, false),
    };
    let before = servers.list(cold, None);
    let agents = agents();
    let dispatchers: Vec<_> = (0..CLIENTS.len())
        .map(|n| {
            started(
                &format!("lull{n}"),
                reserved_address(),
                agents[n].at,
                n,
                &before,
            )
        })
        .collect();
    let listen = dispatchers.iter().map(|d| Mutex::new(d.listen)).collect();
    let traffic = Traffic {
        stop: Arc::default(),
        quiet: Arc::default(),
        count: Arc::default(),
        answered: Arc::default(),
        listen: Arc::new(listen),
    };
    let clients = traffic.start(&CLIENTS);
    thread::sleep(Duration::from_secs(2));
    traffic.quiet.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(200));
    let from = Instant::now();
    let booted_ms = unix_ms();
    let after = servers.list(cold, Some(booted_ms));
    for agent in &agents {
        agent.tell(&list(8, false, &after[cold..cold + 1]));
    }
    thread::sleep(LULL);
    traffic.quiet.store(false, Ordering::Relaxed);
    thread::sleep(BURST);
    traffic.stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));
    let (all, at_cold) = servers.prefills_since(cold, from);
    let worst = worst_window(&all, &at_cold, from, Instant::now(), margin);
    println!(
        "{} prefills, {} at the cold server; worst window: {worst:?}",
        all.len(),
        at_cold.len()
    );
    assert!(all.len() > 100 && !at_cold.is_empty(), "no traffic");
    let (over, sent, budget) = worst;
    assert!(
        over <= 0.0,
        "{sent} sent within the window where N is {budget}"
    );
}
