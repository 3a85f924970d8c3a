//! Checks when a stream is ended whose model server writes no further event, whatever else it writes, and that one whose
//! events still come is not.
mod common;
#[path = "common/shaped.rs"]
mod shaped;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use shaped::*;

/// The platform counts a client as lost that waits so long after its server's last event; the second part is the slack
/// of every limit on sockets.
const MAX_WAIT: Duration = Duration::from_millis(5000 + 50);
/// A dispatcher may be held up for so long. Up to that before the limit, an event may still come.
const HELD_UP: Duration = Duration::from_millis(150);
/// From an event at its server to its event at the dispatcher, and the resolution of timers.
const TRANSIT: Duration = Duration::from_millis(50);
/// Whole events with a longer pause than this between them cannot be waited for.
const LONGEST_PAUSE: Duration = Duration::from_millis(4850);
const DEADLINE: Duration = Duration::from_millis(1500);
/// A final answer may come so much after its deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(550);

/// A client that is not ended waits so long: longer than the longest of the answers.
const PATIENCE: Duration = Duration::from_secs(20);

/// How a request ends for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The whole stream arrives.
    Whole,
    /// The connection ends without the last chunk as late as the limit allows: an event could still have come.
    Stalled,
    /// The connection ends without the last chunk, at the latest at the limit.
    Spoilt,
    /// A final answer comes by the deadline.
    Failed,
}

fn event(text: &str) -> Step {
    Step::Event(chunk(&format!("data: {text}\n\n")))
}

fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

fn pause(ms: u64) -> Step {
    Step::Pause(Duration::from_millis(ms))
}

fn repeat(text: impl Into<String>, ms: u64) -> Step {
    Step::Repeat(text.into(), Duration::from_millis(ms))
}

/// An answer of two whole events, and what comes after them.
fn begun(rest: Vec<Step>) -> Vec<Step> {
    [vec![write(CHUNKED_HEAD), event("1"), event("2")], rest].concat()
}

/// Nothing more comes on a connection that stays open.
fn silence() -> Step {
    pause(60_000)
}

/// An answer of events with so long pauses between them, in milliseconds.
fn with_pauses(ms: u64) -> Vec<Step> {
    let later = [pause(ms), event("3"), pause(ms), event("4")];
    begun([later.to_vec(), vec![write(LAST_CHUNK)]].concat())
}

/// Answers of servers that write no further event, or whose events still come.
fn shapes() -> Vec<(&'static str, Vec<Step>, Expected)> {
    use Expected::*;
    let half = &chunk("data: half\n\n")[..9];
    let open_chunk = format!("{:x}\r\n", 200 * 1024);
    let slow = |text: &str| Step::SlowEvent(chunk(text), Duration::from_millis(300));
    let long_event = chunk("data: slowly written\n\n");
    vec![
        ("nothing", begun(vec![silence()]), Stalled),
        ("half-event", begun(vec![pause(600), write(half), silence()]), Stalled),
        ("late-half-event", begun(vec![pause(2500), write(half), silence()]), Stalled),
        ("half-chunk-size", begun(vec![pause(600), write("1"), silence()]), Stalled),
        ("bytes-of-one-event", begun(vec![write("fff\r\ndata: "), repeat("x", 400)]), Stalled),
        ("rare-bytes-of-one-event", begun(vec![write("fff\r\ndata: "), repeat("x", 3000)]), Stalled),
        ("one-event-of-ten-seconds", begun(vec![Step::SlowEvent(long_event, Duration::from_millis(400))]), Stalled),
        ("comments", begun(vec![repeat(chunk(": still here\n"), 400)]), Stalled),
        ("load-reports", begun(vec![repeat(chunk(": Srv-Load: util=0.1,queue=0,x0=0.1\n\n"), 400)]), Stalled),
        ("empty-lines", begun(vec![repeat(chunk("\n"), 400)]), Stalled),
        ("fields-without-data", begun(vec![repeat(chunk("event: ping\nid: 1\n\n"), 400)]), Stalled),
        ("noise", begun(vec![write(&open_chunk), repeat("~".repeat(1024), 100)]), Stalled),
        ("noise-in-lines", begun(vec![write(&open_chunk), repeat("~#%\n\n".repeat(100), 100)]), Stalled),
        ("large-chunk", begun(vec![write(&open_chunk), repeat("y".repeat(2048), 100)]), Stalled),
        ("huge-chunk-at-speed", begun(vec![pause(100), write("c0000000\r\n"), repeat("z".repeat(65_536), 1)]), Spoilt),
        ("unreadable-chunk-size", begun(vec![pause(100), write("zz\r\n"), silence()]), Spoilt),
        ("chunk-too-short", begun(vec![pause(100), write("3\r\ndata: 3\n\n\r\n"), silence()]), Spoilt),
        ("chunk-extension", begun(vec![write("1;"), repeat("e", 400)]), Stalled),
        ("zeros-of-a-chunk-size", begun(vec![repeat("0", 400)]), Stalled),
        ("trailers", begun(vec![write("0\r\n"), repeat("X-More: 1\r\n", 400)]), Stalled),
        ("no-last-chunk", begun(vec![event("[DONE]"), silence()]), Stalled),
        ("events-then-one-without-end",
            begun(vec![pause(2500), event("3"), pause(2500), event("4"), write("fff\r\ndata: "), repeat("x", 400)]), Stalled),
        ("length-too-long",
            vec![write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 900\r\n\r\n"),
                Step::Event("data: 1\n\n".into()), repeat("x", 400)], Stalled),
        ("pauses-of-4.5-s", with_pauses(4500), Whole),
        ("pauses-of-4.7-s", with_pauses(4700), Whole),
        ("pauses-of-4.85-s", with_pauses(LONGEST_PAUSE.as_millis() as u64), Whole),
        ("events-byte-by-byte",
            begun(vec![slow("data: 3\n\n"), slow("data: 4\n\n"), slow("data: 5\n\n"), write(LAST_CHUNK)]), Whole),
        ("comments-between-events",
            begun(vec![pause(2400), write(chunk(": still here\n\n")), pause(2400), event("3"), write(LAST_CHUNK)]), Whole),
        ("fields-before-an-event",
            begun(vec![write(chunk("id: 7\n\n")), pause(1000), event("3"), write(LAST_CHUNK)]), Whole),
        ("length-with-pauses",
            vec![write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 18\r\n\r\n"),
                Step::Event("data: 1\n\n".into()), pause(4700), Step::Event("data: 2\n\n".into())], Whole),
        ("head-without-end", vec![write("HTTP/1.1 200 OK\r\nX-Head: "), repeat("h", 200)], Failed),
        ("interim-answers", vec![repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 200)], Failed),
        ("head-then-comments", vec![write(CHUNKED_HEAD), repeat(chunk(": wait\n"), 200)], Failed),
        ("head-then-half-event", vec![write(CHUNKED_HEAD), write("fff\r\n"), repeat("d", 200)], Failed),
        ("error-without-end",
            vec![write("HTTP/1.1 500 Oops\r\nContent-Length: 999\r\n\r\n"), repeat("e", 200)], Failed),
    ]
}

/// What a client received, and when.
struct Heard {
    text: String,
    /// From the request to the end.
    took: Duration,
    /// The longest time without a byte after the first one.
    longest_wait: Duration,
    ended_at: Instant,
}

/// Sends a request and reads to the end of the connection.
fn ask(to: SocketAddr, id: &str, deadline: Option<Duration>) -> Heard {
    let mut client = TcpStream::connect(to).expect("a connection");
    client.set_read_timeout(Some(PATIENCE)).expect("a bound");
    let text = request(id, "Connection: close\r\n");
    let text = match deadline {
        Some(deadline) => text.replace("20000", &deadline.as_millis().to_string()),
        None => text,
    };
    let asked_at = Instant::now();
    client.write_all(text.as_bytes()).expect("asked");
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    let (mut heard_at, mut longest_wait) = (None::<Instant>, Duration::ZERO);
    // A connection that does not end runs into the bound, which the caller finds in the times.
    while asked_at.elapsed() < PATIENCE {
        let read = client.read(&mut buffer).unwrap_or(0);
        longest_wait = longest_wait.max(heard_at.map_or(Duration::ZERO, |at| at.elapsed()));
        if read == 0 {
            break;
        }
        heard_at = Some(Instant::now());
        received.extend_from_slice(&buffer[..read]);
    }
    Heard {
        text: String::from_utf8_lossy(&received).into_owned(),
        took: asked_at.elapsed(),
        longest_wait,
        ended_at: Instant::now(),
    }
}

/// What is wrong with how a request ended, if anything is.
fn fault(servers: &ShapedServers, to: SocketAddr, id: &str, expected: Expected) -> Option<String> {
    let deadline = (expected == Expected::Failed).then_some(DEADLINE);
    let Heard {
        text,
        took,
        longest_wait,
        ended_at,
    } = ask(to, id, deadline);
    let waited = servers
        .last_event(id)
        .map_or(took, |at| ended_at.saturating_duration_since(at));
    let is_whole = text.ends_with(LAST_CHUNK);
    let is_waited_for = longest_wait <= MAX_WAIT;
    let held = match expected {
        Expected::Whole => is_whole && is_waited_for && text.contains("data: 2\n\n"),
        Expected::Stalled => {
            !is_whole
                && is_waited_for
                && waited <= MAX_WAIT
                && waited >= MAX_WAIT - HELD_UP - TRANSIT
        }
        Expected::Spoilt => !is_whole && text.contains("data: 2\n\n") && waited <= MAX_WAIT,
        Expected::Failed => text.starts_with("HTTP/1.1 50") && took <= DEADLINE + ANSWER_SLACK,
    };
    println!(
        "{id}: {waited:.3?} after the last event, {took:.3?} after the request, whole: {is_whole}"
    );
    (!held)
        .then(|| format!("{id} ({expected:?}): ended {waited:.3?} after the last event: {text:?}"))
}

/// Guards against clients that wait without end for a server that writes bytes and no event, and against streams that
/// are cut while their events still come.
#[test]
fn stream_is_ended_by_the_limit_after_its_last_whole_event_and_not_before() {
    let servers = ShapedServers::default();
    let shapes = shapes();
    let scripts = shapes
        .iter()
        .map(|(id, script, _)| (id.to_string(), script.clone()));
    let at = servers.start(scripts.collect());
    let known = [
        target("a", server(true), "reads"),
        target("b", at, "writes"),
    ];
    let listen = reserved_address();
    let text = configuration_with(listen, discovery().0, &known);
    let dispatcher = Dispatcher::start_with("stalled-streams", listen, text, program);
    let to = dispatcher.listen;
    let faults: Vec<String> = thread::scope(|scope| {
        let asked: Vec<_> = shapes
            .iter()
            .map(|(id, _, expected)| scope.spawn(|| fault(&servers, to, id, *expected)))
            .collect();
        asked
            .into_iter()
            .filter_map(|thread| thread.join().expect("a client"))
            .collect()
    });
    assert!(
        faults.is_empty(),
        "{} of {}:\n{}",
        faults.len(),
        shapes.len(),
        faults.join("\n")
    );
}

/// A client of a long answer reads nothing for so long.
const REST: Duration = Duration::from_secs(7);

/// Connects with a short receive buffer, asks, rests, and then reads to the end; gives what it read and the wait after
/// the last bytes.
fn rest_and_read(to: SocketAddr, id: &str) -> (String, Duration) {
    let mut client = slow_client(to);
    client
        .write_all(request(id, "Connection: close\r\n").as_bytes())
        .expect("asked");
    thread::sleep(REST);
    let (mut received, mut buffer) = (Vec::new(), [0; 65_536]);
    let mut last_bytes_at = Instant::now();
    while let Ok(read @ 1..) = client.read(&mut buffer) {
        received.extend_from_slice(&buffer[..read]);
        last_bytes_at = Instant::now();
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    (text, last_bytes_at.elapsed())
}

/// Guards against a stream that its resting client has paused and that is then cut while events still come, or is never
/// ended though none does.
#[test]
fn stream_that_its_client_has_paused_is_ended_by_the_limit_after_it_is_resumed() {
    let long = vec![event(&"l".repeat(4000)); 3000];
    let goes_on = [pause(4500), event("end"), write(LAST_CHUNK)];
    let scripts = Scripts::from([
        (
            "goes-on".into(),
            [begun(long.clone()), goes_on.to_vec()].concat(),
        ),
        (
            "stalls".into(),
            [begun(long), vec![write("fff\r\nd"), repeat("x", 400)]].concat(),
        ),
    ]);
    let at = ShapedServers::default().start(scripts);
    let known = [
        target("a", server(true), "reads"),
        target("b", at, "writes"),
    ];
    let listen = reserved_address();
    let text = configuration_with(listen, discovery().0, &known);
    let dispatcher = Dispatcher::start_with("resting-clients", listen, text, program);
    let to = dispatcher.listen;
    thread::scope(|scope| {
        let whole = scope.spawn(move || rest_and_read(to, "goes-on"));
        let (text, waited) = rest_and_read(to, "stalls");
        println!("stalls: ended {waited:.3?} after the last bytes");
        assert!(
            !text.ends_with(LAST_CHUNK) && waited <= MAX_WAIT,
            "{waited:?}"
        );
        assert_eq!(
            text.matches("data: ").count(),
            3002,
            "events before the one without an end"
        );
        let (text, waited) = whole.join().expect("a client");
        assert!(
            text.ends_with(LAST_CHUNK),
            "cut {waited:?} after the last bytes"
        );
        assert!(text.contains("data: end\n\n"), "without its last event");
    });
}
