//! Checks that the dispatcher applies a change within 6 s after discovery has it and is reachable, whatever call failed before.
//!
//! The check measures when discovery receives the call that returns the change: at worst 4.5 s after its recovery, which leaves
//! 1.5 s for a busy machine. All other waits are for events, and their limits do not affect the result.
mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use rustix::process::Signal;

/// Maximum time from when discovery has a change and is reachable to the call that returns the change.
const MAX_DELAY: Duration = Duration::from_secs(6);

/// How discovery responds to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ResponseMode {
    /// Sends the changed list, then empty lines.
    Normal,
    /// Sends nothing.
    Silent,
    /// Sends half a line, then nothing.
    HalfLine,
    /// Sends an endless line byte by byte.
    Trickle,
    /// Responds 500 with a `Retry-After` of an hour.
    Error500,
}

/// A scripted discovery server: each call is handled in the mode that was set when it arrived.
struct Discovery {
    at: SocketAddr,
    script: Arc<Mutex<(ResponseMode, String)>>,
    calls: Receiver<(ResponseMode, Instant)>,
    tell: Sender<(ResponseMode, Instant)>,
}

impl Discovery {
    /// Reserves an address, without listening on it yet.
    fn shut(list_line: String) -> Discovery {
        let (tell, calls) = channel();
        let script = Arc::new(Mutex::new((ResponseMode::Normal, list_line)));
        Discovery {
            at: reserved_address(),
            script,
            calls,
            tell,
        }
    }

    /// Accepts one call, answers it with an empty line, and stops listening. Returns the open watch.
    fn confirm_one_call(&self) -> thread::JoinHandle<TcpStream> {
        let listener = TcpListener::bind(self.at).expect("its port");
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a call");
            message(&mut BufReader::new(stream.try_clone().expect("a stream"))).expect("a call");
            let line = format!("{STREAM_HEAD}{}", chunk("\n"));
            stream.write_all(line.as_bytes()).expect("a watch");
            stream
        })
    }

    fn open(&self) {
        let listener = listen_again(self.at);
        let (script, tell) = (self.script.clone(), self.tell.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, tell) = (script.clone(), tell.clone());
                thread::spawn(move || serve_call(stream, &script, &tell));
            }
        });
    }

    /// Sets the mode for calls from now on and returns the time.
    fn set(&self, mode: ResponseMode) -> Instant {
        self.script.lock().expect("no other has failed").0 = mode;
        Instant::now()
    }

    /// Waits for the next call in a mode and returns the time of its arrival.
    fn called(&self, mode: ResponseMode) -> Instant {
        loop {
            let (was, at) = self.calls.recv_timeout(3 * SOON).expect("a call");
            if was == mode {
                return at;
            }
        }
    }
}

fn serve_call(
    stream: TcpStream,
    script: &Mutex<(ResponseMode, String)>,
    tell: &Sender<(ResponseMode, Instant)>,
) -> Option<()> {
    let mut to = stream.try_clone().ok()?;
    let mut from = BufReader::new(stream);
    message(&mut from)?;
    let (mode, list_line) = {
        // The mode is read and the call reported under one lock, so that a mode set after the report does not apply to this call.
        let script = script.lock().ok()?;
        tell.send((script.0, Instant::now())).ok()?;
        script.clone()
    };
    let pause = match mode {
        ResponseMode::Silent => {
            // Returns when the other side closes the connection.
            return message(&mut from).map(|_| ());
        }
        ResponseMode::Error500 => {
            to.write_all(b"HTTP/1.1 500 No\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n")
                .ok()?;
            return message(&mut from).map(|_| ());
        }
        ResponseMode::HalfLine => {
            let half = &list_line[..list_line.len() / 2];
            to.write_all(format!("{STREAM_HEAD}{}", chunk(half)).as_bytes())
                .ok()?;
            return message(&mut from).map(|_| ());
        }
        ResponseMode::Trickle => {
            to.write_all(STREAM_HEAD.as_bytes()).ok()?;
            Duration::from_millis(100)
        }
        ResponseMode::Normal => {
            to.write_all(format!("{STREAM_HEAD}{}", chunk(&format!("{list_line}\n"))).as_bytes())
                .ok()?;
            Duration::from_secs(1)
        }
    };
    while to
        .write_all(if mode == ResponseMode::Normal {
            b"1\r\n\n\r\n"
        } else {
            b"1\r\n[\r\n"
        })
        .is_ok()
    {
        thread::sleep(pause);
    }
    Some(())
}

/// Starts a prefill server that reports the time of each request.
fn prefill_server() -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let (tell, asked) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tell: Sender<Instant> = tell.clone();
            thread::spawn(move || {
                let mut to = stream.try_clone().ok()?;
                let mut from = BufReader::new(stream);
                while let Some((first, _)) = message(&mut from) {
                    let (status, body) = match first.split(' ').next() {
                        Some("DELETE") => ("204 No Content", ""),
                        Some("GET") => ("200 OK", "util=0.1,queue=0,x0=0.1"),
                        _ => {
                            tell.send(Instant::now()).ok()?;
                            ("202 Accepted", "{\"cached_tokens\":0}")
                        }
                    };
                    let length = match body.len() {
                        0 => String::new(),
                        n => format!("Content-Length: {n}\r\n"),
                    };
                    to.write_all(format!("HTTP/1.1 {status}\r\n{length}\r\n{body}").as_bytes())
                        .ok()?;
                }
                Some(())
            });
        }
    });
    (at, asked)
}

/// A dispatcher with scripted discovery, whose changed list drains one prefill server and adds another.
struct Case {
    name: &'static str,
    dispatcher: Dispatcher,
    discovery: Discovery,
    old: Receiver<Instant>,
    new: Receiver<Instant>,
    logs: Arc<Mutex<Vec<String>>>,
}

impl Case {
    /// Starts the dispatcher; discovery confirms its list and then stops listening.
    fn start(name: &'static str) -> Case {
        let ((old_at, old), (new_at, new)) = (prefill_server(), prefill_server());
        let drains = target("a", old_at, "reads").replace("in_service", "terminating");
        let list_line = list(8, false, &[drains, target("c", new_at, "reads")]);
        let discovery = Discovery::shut(list_line);
        let known = [
            target("a", old_at, "reads"),
            target("b", server(false), "writes"),
        ];
        let listen = reserved_address();
        let text = configuration_with(listen, discovery.at, &known);
        let confirming = discovery.confirm_one_call();
        let mut dispatcher = Dispatcher::start_with(name, listen, text, program);
        let logs = Arc::new(Mutex::new(Vec::new()));
        let from = BufReader::new(dispatcher.child.stderr.take().expect("its log"));
        let kept = logs.clone();
        thread::spawn(move || {
            for line in from.lines().map_while(Result::ok) {
                kept.lock().expect("no other has failed").push(line);
            }
        });
        dispatcher.assert_served("before");
        drop(confirming.join().expect("no panic"));
        old.recv_timeout(SOON)
            .expect("the host of the configuration is asked");
        Case {
            name,
            dispatcher,
            discovery,
            old,
            new,
            logs,
        }
    }

    /// Refuses connections, then responds 500, until the dispatcher's backoff has reached its maximum.
    fn fail_for_three_seconds(&self) {
        let until = Instant::now() + Duration::from_secs(3);
        self.discovery.set(ResponseMode::Error500);
        self.discovery.open();
        while Instant::now() < until {
            self.discovery.called(ResponseMode::Error500);
        }
    }

    /// Checks that the change was fetched in time and that requests go only to the new server.
    fn assert_updated_in_time(&self, discovery: &Discovery, from: Instant) {
        let told = discovery
            .called(ResponseMode::Normal)
            .saturating_duration_since(from);
        assert!(
            told < MAX_DELAY,
            "{}: the call came {told:?} after discovery's return",
            self.name
        );
        let until = Instant::now() + SOON;
        let asked = (0..).find_map(|i| {
            self.dispatcher.assert_served(&format!("w{i}"));
            assert!(
                Instant::now() < until,
                "{}: the new host is not asked",
                self.name
            );
            self.new.try_recv().ok()
        });
        println!(
            "{}: called after {told:?}, asked after {:?}",
            self.name,
            asked.map(|at| at - from)
        );
        while self.old.try_recv().is_ok() {}
        for i in 0..5 {
            self.dispatcher.assert_served(&format!("x{i}"));
            self.new.recv_timeout(SOON).expect("the new host is asked");
        }
        assert!(
            self.old.try_recv().is_err(),
            "{}: the host that drains is asked",
            self.name
        );
    }

    /// Counts the log lines that name discovery's address.
    fn lines_on_discovery(&self) -> usize {
        let place = format!("discovery at {}", self.discovery.at);
        self.logs
            .lock()
            .expect("no other has failed")
            .iter()
            .filter(|l| l.contains(&place))
            .count()
    }
}

#[test]
fn refused_for_three_seconds() {
    let case = Case::start("told-refused");
    thread::sleep(Duration::from_secs(3));
    let from = case.discovery.set(ResponseMode::Normal);
    case.discovery.open();
    case.assert_updated_in_time(&case.discovery, from);
    let lines = case.lines_on_discovery();
    assert!((1..=3).contains(&lines), "{lines} lines on what is refused");
}

#[test]
fn answered_500_with_a_long_retry_after() {
    let case = Case::start("told-500");
    case.fail_for_three_seconds();
    let from = case.discovery.set(ResponseMode::Normal);
    case.assert_updated_in_time(&case.discovery, from);
    let lines = case.lines_on_discovery();
    assert!((1..=3).contains(&lines), "{lines} lines on one cause");
}

/// Discovery recovers just after a call in this mode, while the dispatcher's backoff is at its maximum.
fn recovers_after(name: &'static str, mode: ResponseMode) {
    let case = Case::start(name);
    case.fail_for_three_seconds();
    case.discovery.set(mode);
    case.discovery.called(mode);
    let from = case.discovery.set(ResponseMode::Normal);
    case.assert_updated_in_time(&case.discovery, from);
}

#[test]
fn accepted_and_never_answered() {
    recovers_after("told-silent", ResponseMode::Silent);
}

#[test]
fn half_a_line_and_then_silence() {
    recovers_after("told-half", ResponseMode::HalfLine);
}

#[test]
fn a_line_that_trickles_on_without_end() {
    recovers_after("told-trickle", ResponseMode::Trickle);
}

/// Discovery moves to another address during a fault, and the new configuration file stays half written for two seconds.
fn moved_during(name: &'static str, mode: ResponseMode) {
    let case = Case::start(name);
    case.discovery.set(mode);
    case.discovery.open();
    case.discovery.called(mode);
    let list_line = case
        .discovery
        .script
        .lock()
        .expect("no other has failed")
        .1
        .clone();
    let moved = Discovery::shut(list_line);
    moved.open();
    let (file, text) = (&case.dispatcher.file, &case.dispatcher.text);
    let text = text.replace(&case.discovery.at.to_string(), &moved.at.to_string());
    std::fs::write(file, &text[..text.len() / 2]).expect("half a file");
    case.dispatcher.signal(Signal::HUP);
    thread::sleep(Duration::from_secs(2));
    let from = Instant::now();
    std::fs::write(file, &text).expect("the whole file");
    case.assert_updated_in_time(&moved, from);
}

#[test]
fn moved_while_silent() {
    moved_during("told-moved-silent", ResponseMode::Silent);
}

#[test]
fn moved_while_half_a_line_hangs() {
    moved_during("told-moved-half", ResponseMode::HalfLine);
}

#[test]
fn moved_while_answered_500() {
    moved_during("told-moved-500", ResponseMode::Error500);
}
