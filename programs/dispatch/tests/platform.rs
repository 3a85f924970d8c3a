//! Runs the dispatcher on the loopback interface: start, requests, malformed clients, configuration reload and stop.
mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use common::*;
use rustix::process::Signal;

#[test]
fn starts_serves_reloads_its_configuration_and_stops() {
    let mut dispatcher = Dispatcher::start("whole");
    let call = dispatcher.calls.recv_timeout(SOON).expect("a watch");
    assert_eq!(call, "GET /v1/endpoints?watch=1&from=0 HTTP/1.1");
    dispatcher.assert_served("a1");

    // An invalid configuration file is ignored.
    std::fs::write(&dispatcher.file, &dispatcher.text[..100]).expect("half a file");
    dispatcher.signal(Signal::HUP);
    dispatcher.assert_served("a2");

    let (moved, calls) = discovery();
    let old = dispatcher
        .text
        .split("\"discovery\":\"")
        .nth(1)
        .and_then(|t| t.split('"').next());
    let text = dispatcher
        .text
        .replace(old.expect("an address"), &moved.to_string());
    std::fs::write(&dispatcher.file, text).expect("the new file");
    dispatcher.signal(Signal::HUP);
    calls.recv_timeout(SOON).expect("the new address is called");
    dispatcher.assert_served("a3");

    // A request that is in flight at SIGTERM is answered.
    let mut kept = dispatcher.connect();
    kept.write_all(&request("a4", "").as_bytes()[..40])
        .expect("half a request");
    dispatcher.signal(Signal::TERM);
    kept.write_all(&request("a4", "").as_bytes()[40..])
        .expect("the other half");
    let mut answer = String::new();
    kept.read_to_string(&mut answer)
        .expect("an answer and the end");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
    assert_eq!(dispatcher.exit_status().and_then(|s| s.code()), Some(0));
}

#[test]
fn invalid_configuration_exits_with_one_error_line() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("broken.json");
    let text = configuration(reserved_address(), reserved_address())
        .replace("\"pinLimitS\":1.0", "\"pinLimitS\":\"x\"");
    std::fs::write(&file, text).expect("a file");
    let output = program(&file).output().expect("the program");
    let received = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{received}");
    assert_eq!(received.trim().lines().count(), 1, "{received}");
    assert!(
        received.contains("extra.pinLimitS") && received.contains("broken.json"),
        "{received}"
    );
}

/// If the configuration's endpoint list has a model that the settings do not define, the dispatcher starts and waits for
/// discovery's list.
#[test]
fn invalid_known_list_does_not_prevent_the_start() {
    let listen = reserved_address();
    let good = configuration(listen, discovery().0);
    let text = good.replace(r#""model":"reads""#, r#""model":"thinks""#);
    assert_ne!(text, good);
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("unknown-known.json");
    std::fs::write(&file, text).expect("a file");
    let mut child = program(&file).spawn().expect("the program");
    let until = Instant::now() + SOON;
    let mut answer = String::new();
    while answer.is_empty() && Instant::now() < until {
        assert_eq!(child.try_wait().expect("its state"), None, "it goes on");
        if let Ok(mut stream) = TcpStream::connect(listen) {
            stream
                .write_all(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
                .expect("asked");
            stream.read_to_string(&mut answer).expect("an answer");
        }
    }
    child.kill().expect("its end");
    child.wait().expect("its end");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Sends bytes and reads until the connection ends; returns the status of the response, if there is one.
fn bad_client(mut stream: TcpStream, bytes: &[u8], repeat: usize) -> Option<u16> {
    for _ in 0..repeat {
        if stream.write_all(bytes).is_err() {
            break;
        }
    }
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Ok(_) => {}
        Err(e) => assert!(
            e.kind() != ErrorKind::WouldBlock,
            "neither an answer nor an end"
        ),
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.split(' ').nth(1).and_then(|s| s.parse().ok())
}

#[test]
fn malformed_clients_are_answered_or_closed_and_others_served() {
    let dispatcher = Dispatcher::start("bad");
    let silent: Vec<TcpStream> = (0..300).map(|_| dispatcher.connect()).collect();
    dispatcher.assert_served("b1");
    let half = request("b2", "");
    let noise = [0u8, 1, 2, 3, 13, 10, 13, 10];
    let long = request("b3", "").replace("Content-Length: 2", "Content-Length: 62914560");
    let table: [(&[u8], usize, Option<u16>); 4] = [
        (&noise, 1, Some(400)),
        (&half.as_bytes()[..half.len() - 1], 1, Some(408)),
        (
            b"GET /ready HTTP/1.1\r\nX: aaaaaaaaaaaaaaaaaaaaaaaa",
            1,
            Some(408),
        ),
        (b"a-head-that-never-ends", 4000, Some(431)),
    ];
    for (bytes, repeat, status) in table {
        let got = bad_client(dispatcher.connect(), bytes, repeat);
        assert!(got == status || got.is_none(), "{got:?} and not {status:?}");
    }
    // The dispatcher reads and drops sixty megabytes, so that the client sees the response.
    let mut stream = dispatcher.connect();
    stream.write_all(long.as_bytes()).expect("a head");
    let got = bad_client(stream, &[b'x'; 65_536], 960);
    assert_eq!(got, Some(413));
    for mut stream in silent {
        let mut rest = Vec::new();
        // An error is a reset, which ends the connection as well as a close.
        if let Err(e) = stream.read_to_end(&mut rest) {
            assert!(
                e.kind() != ErrorKind::WouldBlock,
                "a silent connection stays open"
            );
        }
    }
    dispatcher.assert_served("b4");
}

/// Processor time that a process has used, in seconds.
fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("its state");
    let after = stat.rsplit(')').next().expect("fields");
    let ticks: Vec<f64> = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse().ok())
        .collect();
    ticks.iter().sum::<f64>() / 100.0
}

/// Command for the program with fewer file descriptors than configured.
fn program_with_few_descriptors(file: &std::path::Path) -> Command {
    let mut command = Command::new("/bin/sh");
    let run = format!(
        "ulimit -n 48; exec {} --platform",
        env!("CARGO_BIN_EXE_bitternlatch-dispatch")
    );
    command
        .args(["-c", &run])
        .env("EDGE_CONFIG", file)
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command
}

#[test]
fn without_free_descriptors_it_neither_spins_nor_exits_and_recovers() {
    let dispatcher = Dispatcher::start_by("need", program_with_few_descriptors);
    let before = cpu_s(dispatcher.child.id());
    // More clients than descriptors: some wait in the accept queue until the silent ones before them are closed.
    let silent: Vec<TcpStream> = (0..80).map(|_| dispatcher.connect()).collect();
    for mut stream in silent {
        let mut rest = Vec::new();
        if let Err(e) = stream.read_to_end(&mut rest) {
            assert!(
                e.kind() != ErrorKind::WouldBlock,
                "a silent connection stays open"
            );
        }
    }
    let used = cpu_s(dispatcher.child.id()) - before;
    assert!(used < 2.0, "{used} s of processor time for waiting");
    dispatcher.assert_served("c1");
}

/// Returns the inodes in a socket table under `/proc`; `column` is the position of the inode.
fn inodes(pid: u32, table: &str, column: usize) -> Vec<String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
    let rows = text
        .lines()
        .skip(1)
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    rows.filter_map(|row| row.get(column).map(|i| i.to_string()))
        .collect()
}

/// Returns the targets of a process's file descriptors.
fn descriptors(pid: u32) -> Vec<String> {
    let folder = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors");
    let links = folder
        .flatten()
        .filter_map(|f| std::fs::read_link(f.path()).ok());
    links.map(|l| l.to_string_lossy().into_owned()).collect()
}

fn children(pid: u32) -> usize {
    let processes = std::fs::read_dir("/proc").expect("the processes").flatten();
    let stats = processes.filter_map(|p| std::fs::read_to_string(p.path().join("stat")).ok());
    let parent = |stat: &String| {
        stat.rsplit(')')
            .next()?
            .split_whitespace()
            .nth(1)?
            .parse::<u32>()
            .ok()
    };
    stats.filter(|stat| parent(stat) == Some(pid)).count()
}

/// Returns the number of a process's IPv4 sockets, the inodes of sockets that are neither IPv4 nor Unix, and the targets of all
/// its descriptors.
fn sockets(pid: u32) -> (usize, Vec<String>, Vec<String>) {
    let four = [inodes(pid, "tcp", 9), inodes(pid, "udp", 9)].concat();
    // The Unix socket pairs that signal the event loop have no name, so no other process can connect to them.
    let pairs: Vec<String> = inodes(pid, "unix", 6);
    let links = descriptors(pid);
    let inodes = links
        .iter()
        .filter_map(|l| l.strip_prefix("socket:[")?.strip_suffix(']'));
    let (mut own, mut other) = (0, vec![]);
    for inode in inodes {
        match inode {
            _ if four.iter().any(|i| i == inode) => own += 1,
            _ if pairs.iter().any(|i| i == inode) => {}
            _ => other.push(inode.to_string()),
        }
    }
    (own, other, links)
}

/// The platform's test bench intercepts calls to the C library; a program that bypasses the library would not work there.
#[test]
fn is_one_process_linked_to_the_c_library_with_ipv4_sockets_only() {
    let dispatcher = Dispatcher::start("alone");
    let kept = dispatcher.connect();
    dispatcher.assert_served("c1");
    let pid = dispatcher.child.id();
    assert_eq!(children(pid), 0);
    let maps = std::fs::read_to_string(format!("/proc/{pid}/maps")).expect("its memory");
    assert!(
        maps.contains("/libc.so.6") && maps.contains("/ld-linux"),
        "{maps}"
    );
    // A socket is briefly in no table just before it is connected or after the other side has closed it.
    let by = Instant::now() + Duration::from_secs(20);
    let (own, other, links) = loop {
        let (own, other, links) = sockets(pid);
        if other.is_empty() || Instant::now() >= by {
            break (own, other, links);
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert!(own >= 2, "a listener and a connection are open: {links:?}");
    assert!(other.is_empty(), "neither IPv4 nor a pair: {other:?}");
    assert!(!links.iter().any(|l| l.contains("io_uring")), "{links:?}");
    drop(kept);
}
