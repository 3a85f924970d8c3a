//! The program between model hosts that fall silent: what a prefill server holds is released within the limit, whatever
//! has not arrived. Judged by the hosts' own record: from a prefill's answer to the first DELETE that arrives anywhere.
#[path = "common/bench.rs"]
mod bench;
mod common;
#[path = "common/gated.rs"]
mod gated;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use bench::*;
use common::*;
use gated::*;

/// What the platform allows beyond the settings' limit: 300 ms, and the 50 ms of every time limit on sockets.
const SLACK: Duration = Duration::from_millis(350);
/// Clients wait for so long, which is far beyond every limit here.
const DEADLINE: (&str, &str) = ("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 4000");
const REQUESTS: usize = 8;
const LIMIT_OF_1_S: &str = r#""pinLimitS":1.0"#;

/// What is wrong with the decode servers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// They take connections and bytes, and nothing arrives.
    Silent,
    /// No connection to them comes up, and none is refused.
    NotComingUp,
}

struct Case {
    name: &'static str,
    fault: Fault,
    limit_ms: u64,
    changes: &'static [(&'static str, &'static str)],
    /// The clients go once the prompts are read.
    clients_go: bool,
}

const UNSAFE: (&str, &str) = (r#""effect":"free""#, r#""effect":"single_shot""#);
const NO_CANCEL: (&str, &str) = (r#""cancel":true"#, r#""cancel":false"#);
const LIMIT_OF_300_MS: (&str, &str) = (LIMIT_OF_1_S, r#""pinLimitS":0.3"#);
const FEW_SOCKETS: (&str, &str) = (r#""sockets":256"#, r#""sockets":64"#);

const CASES: [Case; 8] = [
    Case {
        name: "safe",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[],
        clients_go: false,
    },
    Case {
        name: "patient",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[PATIENT],
        clients_go: false,
    },
    Case {
        name: "unsafe",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[UNSAFE],
        clients_go: false,
    },
    Case {
        name: "short-limit",
        fault: Fault::Silent,
        limit_ms: 300,
        changes: &[UNSAFE, LIMIT_OF_300_MS],
        clients_go: false,
    },
    Case {
        name: "clients-gone",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[NO_CANCEL, PATIENT],
        clients_go: true,
    },
    Case {
        name: "few-sockets",
        fault: Fault::Silent,
        limit_ms: 1000,
        changes: &[UNSAFE, FEW_SOCKETS],
        clients_go: false,
    },
    Case {
        name: "not-up",
        fault: Fault::NotComingUp,
        limit_ms: 300,
        changes: &[LIMIT_OF_300_MS],
        clients_go: false,
    },
    Case {
        name: "not-up-unsafe",
        fault: Fault::NotComingUp,
        limit_ms: 300,
        changes: &[LIMIT_OF_300_MS, UNSAFE],
        clients_go: false,
    },
];

/// Two decode servers with this fault, and what keeps them so.
fn decode_servers(fault: Fault) -> (Vec<SocketAddr>, Vec<(TcpListener, Vec<TcpStream>)>) {
    let one = || match fault {
        Fault::Silent => (
            TcpListener::bind("127.0.0.1:0").expect("a port"),
            Vec::new(),
        ),
        Fault::NotComingUp => full_listener(),
    };
    let kept = vec![one(), one()];
    (
        kept.iter()
            .map(|k| k.0.local_addr().expect("an address"))
            .collect(),
        kept,
    )
}

fn ask(bench: &Bench, id: &str) -> TcpStream {
    use std::io::Write;
    let mut client = bench.dispatcher.connect();
    client
        .write_all(changed(request(id, ""), &[DEADLINE]).as_bytes())
        .expect("asked");
    client
}

/// How long a state was held beyond its limit and the slack, by the hosts' record; none where it was not.
fn held_too_long(hosts: &Gated, id: &str, since: Instant, limit: Duration) -> Option<String> {
    let until = since + limit + SLACK;
    let released = hosts.first(What::Delete, id)?;
    let over = released.saturating_duration_since(until);
    (!over.is_zero()).then(|| format!("{id} {:.2} s", released.duration_since(since).as_secs_f64()))
}

/// What became of the states of one case that were held too long.
fn play(case: &Case) -> Vec<String> {
    let hosts = Gated::default();
    let (decode, _kept) = decode_servers(case.fault);
    let prefill = (0..2).map(|i| target(&format!("p{i}"), hosts.host(i, true), model(true)));
    let decode = decode
        .iter()
        .enumerate()
        .map(|(i, at)| target(&format!("d{i}"), *at, model(false)));
    let targets: Vec<String> = prefill.chain(decode).collect();
    let bench = Bench::with(
        &format!("held-{}", case.name),
        hosts,
        &targets,
        case.changes,
    );
    let ids: Vec<String> = (0..REQUESTS)
        .map(|i| format!("{AT_ONCE}{}-{i}", case.name))
        .collect();
    let mut clients: Vec<TcpStream> = ids.iter().map(|id| ask(&bench, id)).collect();
    let read: Vec<&String> = ids
        .iter()
        .filter(|id| read_in_time(&bench.hosts, id))
        .collect();
    assert!(!read.is_empty(), "{}: some prompts are read", case.name);
    if case.clients_go {
        clients.clear();
    }
    let limit = Duration::from_millis(case.limit_ms);
    let judged = read.into_iter().filter_map(|id| {
        let since = bench.hosts.first(What::Answered, id).expect("it was read");
        bench.hosts.wait(What::Delete, id, 1);
        held_too_long(&bench.hosts, id, since, limit)
    });
    judged.collect()
}

/// Where few descriptors are left some requests are refused before they are read.
fn read_in_time(hosts: &Gated, id: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(1);
    while hosts.first(What::Answered, id).is_none() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    true
}

#[test]
fn a_state_is_released_within_its_limit_though_the_decode_send_has_not_arrived() {
    let late: Vec<(&str, Vec<String>)> = std::thread::scope(|scope| {
        let plays = CASES
            .iter()
            .map(|case| (case.name, scope.spawn(|| play(case))))
            .collect::<Vec<_>>();
        plays
            .into_iter()
            .map(|(name, play)| (name, play.join().expect("a play")))
            .collect()
    });
    let late: Vec<_> = late.into_iter().filter(|l| !l.1.is_empty()).collect();
    assert!(late.is_empty(), "held too long: {late:#?}");
}

/// The prefill broke just as it ended, so that its state may be held; the prefill sent elsewhere does not arrive.
#[test]
fn what_a_broken_prefill_may_have_left_is_released_though_the_next_send_has_not_arrived() {
    let bench = Bench::start("held-broken", 2, &[PATIENT]);
    let _client = ask(&bench, "broken");
    bench.hosts.wait(What::Post, "broken", 1);
    let at = bench.hosts.asked("broken")[0];
    bench.hosts.fall_silent(1 - at);
    let since = Instant::now();
    bench.hosts.hang_up(at);
    bench.hosts.wait(What::Delete, "broken", 1);
    let late = held_too_long(&bench.hosts, "broken", since, Duration::from_secs(1));
    assert_eq!(late, None);
}

/// Any server takes a release, and all but one have fallen silent that were heard of a moment before.
#[test]
fn a_release_reaches_the_one_server_that_is_not_silent_within_the_limit() {
    const PAIRS: usize = 8;
    let bench = Bench::start("held-one", PAIRS, &[PATIENT]);
    for i in 0..2 * PAIRS {
        let other = request(&format!("{AT_ONCE}one-{i}"), "")
            .replace("Req-Key: 1", &format!("Req-Key: {i}"));
        let mut client = bench.dispatcher.connect();
        std::io::Write::write_all(&mut client, other.as_bytes()).expect("asked");
        assert!(answer(&mut client).starts_with("HTTP/1.1 200"));
    }
    let _client = ask(&bench, "one");
    bench.hosts.wait(What::Post, "one", 1);
    bench.hosts.let_go("one", READ);
    bench.hosts.wait(What::Post, "one", 2);
    let since = bench.hosts.first(What::Answered, "one").expect("read");
    let asked = bench.hosts.asked("one");
    let live = (PAIRS..2 * PAIRS)
        .rev()
        .find(|host| !asked.contains(host))
        .expect("another decode server");
    (0..2 * PAIRS)
        .filter(|host| *host != live)
        .for_each(|host| bench.hosts.fall_silent(host));
    bench.hosts.wait(What::Delete, "one", 1);
    let late = held_too_long(&bench.hosts, "one", since, Duration::from_secs(1));
    assert_eq!(late, None);
}
