//! Told by discovery, over the program itself: whatever call failed before, a change is acted on inside 6 s of
//! discovery having it and being reachable.
//!
//! The verdict hangs on when discovery sees the call that brings the change: 4.5 s after its return at the worst, which
//! leaves 1.5 s for a busy machine. All other waits are on events, and their bounds decide nothing.
mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use rustix::process::Signal;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// How discovery answers a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    /// The news, then empty lines.
    Well,
    Silent,
    /// Half a line, then silence.
    HalfLine,
    /// A line that goes on byte by byte without end.
    Trickle,
    /// 500 with a `Retry-After` of an hour.
    Error500,
}

/// Discovery by script: each call keeps the manner of the moment at which it came.
struct Discovery {
    at: SocketAddr,
    script: Arc<Mutex<(Manner, String)>>,
    calls: Receiver<(Manner, Instant)>,
    tell: Sender<(Manner, Instant)>,
}

impl Discovery {
    /// Has an address, on which nobody listens yet.
    fn shut(news: String) -> Discovery {
        let (tell, calls) = channel();
        let script = Arc::new(Mutex::new((Manner::Well, news)));
        Discovery {
            at: own_address(),
            script,
            calls,
            tell,
        }
    }

    fn open(&self) {
        let listener = TcpListener::bind(self.at).expect("its port");
        let (script, tell) = (self.script.clone(), self.tell.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, tell) = (script.clone(), tell.clone());
                thread::spawn(move || answer(stream, &script, &tell));
            }
        });
    }

    /// From now on calls are answered so; gives the time.
    fn set(&self, manner: Manner) -> Instant {
        self.script.lock().expect("no other has failed").0 = manner;
        Instant::now()
    }

    /// When the next call of a manner came.
    fn called(&self, manner: Manner) -> Instant {
        loop {
            let (was, at) = self.calls.recv_timeout(3 * SOON).expect("a call");
            if was == manner {
                return at;
            }
        }
    }
}

fn answer(
    stream: TcpStream,
    script: &Mutex<(Manner, String)>,
    tell: &Sender<(Manner, Instant)>,
) -> Option<()> {
    let mut to = stream.try_clone().ok()?;
    let mut from = BufReader::new(stream);
    message(&mut from)?;
    let (manner, news) = {
        // The call and its manner are one: what is set after the call was told does not count for it.
        let script = script.lock().ok()?;
        tell.send((script.0, Instant::now())).ok()?;
        script.clone()
    };
    let pause = match manner {
        Manner::Silent => {
            // Ends with the other side.
            return message(&mut from).map(|_| ());
        }
        Manner::Error500 => {
            to.write_all(b"HTTP/1.1 500 No\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n")
                .ok()?;
            return message(&mut from).map(|_| ());
        }
        Manner::HalfLine => {
            let half = &news[..news.len() / 2];
            to.write_all(format!("{STREAM_HEAD}{}", chunk(half)).as_bytes())
                .ok()?;
            return message(&mut from).map(|_| ());
        }
        Manner::Trickle => {
            to.write_all(STREAM_HEAD.as_bytes()).ok()?;
            Duration::from_millis(100)
        }
        Manner::Well => {
            to.write_all(format!("{STREAM_HEAD}{}", chunk(&format!("{news}\n"))).as_bytes())
                .ok()?;
            Duration::from_secs(1)
        }
    };
    while to
        .write_all(if manner == Manner::Well {
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

/// A host that reads and tells of each prompt.
fn reader() -> (SocketAddr, Receiver<Instant>) {
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

/// The program before scripted discovery, with one reader that the news drains and one that they bring.
struct Case {
    name: &'static str,
    dispatcher: Dispatcher,
    discovery: Discovery,
    old: Receiver<Instant>,
    new: Receiver<Instant>,
    logs: Arc<Mutex<Vec<String>>>,
}

impl Case {
    /// Discovery is shut at first.
    fn start(name: &'static str) -> Case {
        let ((old_at, old), (new_at, new)) = (reader(), reader());
        let drains = target("a", old_at, "reads").replace("in_service", "terminating");
        let news = list(8, false, &[drains, target("c", new_at, "reads")]);
        let discovery = Discovery::shut(news);
        let known = [
            target("a", old_at, "reads"),
            target("b", host(false), "writes"),
        ];
        let listen = own_address();
        let text = configuration_with(listen, discovery.at, &known);
        let mut dispatcher = Dispatcher::start_with(name, listen, text, program);
        let logs = Arc::new(Mutex::new(Vec::new()));
        let from = BufReader::new(dispatcher.child.stderr.take().expect("its log"));
        let kept = logs.clone();
        thread::spawn(move || {
            for line in from.lines().map_while(Result::ok) {
                kept.lock().expect("no other has failed").push(line);
            }
        });
        dispatcher.served("before");
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

    /// Refuses, then answers 500, until the back-off has grown to its longest.
    fn fail_for_three_seconds(&self) {
        let until = Instant::now() + Duration::from_secs(3);
        self.discovery.set(Manner::Error500);
        self.discovery.open();
        while Instant::now() < until {
            self.discovery.called(Manner::Error500);
        }
    }

    /// The change was told in time, and requests go to the new host alone.
    fn assert_told(&self, discovery: &Discovery, from: Instant) {
        let told = discovery
            .called(Manner::Well)
            .saturating_duration_since(from);
        assert!(
            told < TOLD,
            "{}: the call came {told:?} after discovery's return",
            self.name
        );
        let until = Instant::now() + SOON;
        let asked = (0..).find_map(|i| {
            self.dispatcher.served(&format!("w{i}"));
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
            self.dispatcher.served(&format!("x{i}"));
            self.new.recv_timeout(SOON).expect("the new host is asked");
        }
        assert!(
            self.old.try_recv().is_err(),
            "{}: the host that drains is asked",
            self.name
        );
    }

    /// Lines on discovery that name its address.
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
    let from = case.discovery.set(Manner::Well);
    case.discovery.open();
    case.assert_told(&case.discovery, from);
    let lines = case.lines_on_discovery();
    assert!((1..=3).contains(&lines), "{lines} lines on what is refused");
}

#[test]
fn answered_500_with_a_long_retry_after() {
    let case = Case::start("told-500");
    case.fail_for_three_seconds();
    let from = case.discovery.set(Manner::Well);
    case.assert_told(&case.discovery, from);
    let lines = case.lines_on_discovery();
    assert!((1..=3).contains(&lines), "{lines} lines on one cause");
}

/// The back-off is at its longest, a call of this manner has just come, and then discovery is well for the next.
fn after(name: &'static str, manner: Manner) {
    let case = Case::start(name);
    case.fail_for_three_seconds();
    case.discovery.set(manner);
    case.discovery.called(manner);
    let from = case.discovery.set(Manner::Well);
    case.assert_told(&case.discovery, from);
}

#[test]
fn accepted_and_never_answered() {
    after("told-silent", Manner::Silent);
}

#[test]
fn half_a_line_and_then_silence() {
    after("told-half", Manner::HalfLine);
}

#[test]
fn a_line_that_trickles_on_without_end() {
    after("told-trickle", Manner::Trickle);
}

/// Discovery moves during a fault, and the file that says so stays half written for two seconds.
fn moved_during(name: &'static str, manner: Manner) {
    let case = Case::start(name);
    case.discovery.set(manner);
    case.discovery.open();
    case.discovery.called(manner);
    let news = case
        .discovery
        .script
        .lock()
        .expect("no other has failed")
        .1
        .clone();
    let moved = Discovery::shut(news);
    moved.open();
    let (file, text) = (&case.dispatcher.file, &case.dispatcher.text);
    let text = text.replace(&case.discovery.at.to_string(), &moved.at.to_string());
    std::fs::write(file, &text[..text.len() / 2]).expect("half a file");
    case.dispatcher.signal(Signal::HUP);
    thread::sleep(Duration::from_secs(2));
    let from = Instant::now();
    std::fs::write(file, &text).expect("the whole file");
    case.assert_told(&moved, from);
}

#[test]
fn moved_while_silent() {
    moved_during("told-moved-silent", Manner::Silent);
}

#[test]
fn moved_while_half_a_line_hangs() {
    moved_during("told-moved-half", Manner::HalfLine);
}

#[test]
fn moved_while_answered_500() {
    moved_during("told-moved-500", Manner::Error500);
}
