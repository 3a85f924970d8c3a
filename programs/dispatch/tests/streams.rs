//! Checks that each event of a stream is forwarded as soon as its server writes it, and that a stream is forwarded to its
//! end, also while the process stops.
//!
//! A server writes an event only after all clients have received the previous one, so that the dispatcher cannot collect events.
mod common;
#[path = "common/bench.rs"]
mod harness;
#[path = "common/gated.rs"]
mod scripted_servers;

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::{chunk, LAST_CHUNK, STREAM_HEAD};
use harness::*;
use rustix::process::Signal;
use scripted_servers::*;

const STREAMS: usize = 8;
const EVENTS: usize = 12;
/// Numbers of the decode servers with two pairs of servers.
const DECODE_SERVERS: [usize; 2] = [2, 3];
/// Maximum time from writing an event to its arrival at the client.
const MAX_FORWARD_DELAY: Duration = Duration::from_millis(300);
/// Delay between the pieces in which a server writes an event.
const PIECE_INTERVAL: Duration = Duration::from_millis(20);

/// A client of a running stream and the data that it has received.
struct Reader {
    stream: TcpStream,
    got: String,
}

impl Reader {
    /// Reads until the received data contains this text.
    fn until(&mut self, text: &str) {
        let mut bytes = [0; 4096];
        while !self.got.contains(text) {
            let n = self.stream.read(&mut bytes).expect("the next event");
            assert!(n > 0, "the end before '{}' in {:?}", text.trim(), self.got);
            self.got.push_str(&String::from_utf8_lossy(&bytes[..n]));
        }
    }
}

fn event(number: usize) -> String {
    format!("data: event {number} of {EVENTS}\n\n")
}

/// Splits an event into the pieces that a server writes one after the other.
type Chunking = fn(&str) -> Vec<String>;

fn at_once(event: &str) -> Vec<String> {
    vec![chunk(event)]
}

/// Splits the chunk that contains the event into two pieces.
fn cut_chunk(event: &str) -> Vec<String> {
    let whole = chunk(event);
    let (first, rest) = whole.split_at(whole.len() / 2);
    vec![first.to_string(), rest.to_string()]
}

/// Writes the event as two chunks.
fn two_chunks(event: &str) -> Vec<String> {
    let (first, rest) = event.split_at(event.len() / 2);
    vec![chunk(first), chunk(rest)]
}

/// Starts streams at both decode servers.
fn begin(harness: &Harness) -> Vec<Reader> {
    let ids: Vec<String> = (0..STREAMS).map(|i| format!("stream-{i}")).collect();
    let clients: Vec<TcpStream> = ids.iter().map(|id| harness.send_request(id)).collect();
    for id in &ids {
        harness.servers.wait(EventKind::Post, id, 1);
        harness.servers.respond(id, PREFILL_RESPONSE);
        harness.servers.wait(EventKind::Post, id, 2);
        harness.servers.respond(id, STREAM_HEAD);
    }
    clients
        .into_iter()
        .map(|stream| Reader {
            stream,
            got: String::new(),
        })
        .collect()
}

/// Writes one event on every stream and waits until all clients have it; returns how many received it late.
fn forward_event(
    harness: &Harness,
    readers: &mut [Reader],
    chunking: Chunking,
    number: usize,
) -> usize {
    let event = event(number);
    let pieces = chunking(&event);
    for (i, piece) in pieces.iter().enumerate() {
        if i > 0 {
            std::thread::sleep(PIECE_INTERVAL);
        }
        DECODE_SERVERS
            .iter()
            .for_each(|server| harness.servers.send_unsolicited(*server, piece));
    }
    let written = Instant::now();
    let mut late = 0;
    for reader in readers {
        reader.until(&event);
        late += usize::from(written.elapsed() > MAX_FORWARD_DELAY);
    }
    late
}

fn end(harness: &Harness, readers: Vec<Reader>, name: &str) {
    DECODE_SERVERS
        .iter()
        .for_each(|server| harness.servers.send_unsolicited(*server, LAST_CHUNK));
    for mut reader in readers {
        reader.until(LAST_CHUNK);
        let got = reader.got;
        assert!(
            got.starts_with("HTTP/1.1 200") && got.ends_with(LAST_CHUNK),
            "{name}: {got:?}"
        );
        assert_eq!(got.matches("data: ").count(), EVENTS, "{name}: {got:?}");
    }
}

/// The platform allows one stream in twenty to be late; on a busy machine at most one event in twenty may be.
fn assert_in_time(late: usize, name: &str) {
    assert!(
        late * 20 <= STREAMS * EVENTS,
        "{name}: {late} of {} events late",
        STREAMS * EVENTS
    );
}

#[test]
fn each_event_is_forwarded_before_the_next_is_written() {
    let table: [(&str, Chunking); 3] = [
        ("at-once", at_once),
        ("cut-chunk", cut_chunk),
        ("two-chunks", two_chunks),
    ];
    for (name, chunking) in table {
        let harness = Harness::start(&format!("streams-{name}"), 2, &[LONG_LATENCY_OBJECTIVE]);
        let mut readers = begin(&harness);
        let late = (0..EVENTS)
            .map(|n| forward_event(&harness, &mut readers, chunking, n))
            .sum();
        assert_in_time(late, name);
        end(&harness, readers, name);
    }
}

/// The process gets SIGTERM while streams run; it must forward them to their ends and then exit.
#[test]
fn streams_are_forwarded_to_their_ends_while_the_process_stops() {
    let mut harness = Harness::start("streams-stop", 2, &[LONG_LATENCY_OBJECTIVE]);
    let mut readers = begin(&harness);
    let mut late = 0;
    for number in 0..EVENTS {
        if number == 3 {
            harness.dispatcher.signal(Signal::TERM);
        }
        std::thread::sleep(Duration::from_millis(100));
        late += forward_event(&harness, &mut readers, at_once, number);
    }
    assert_in_time(late, "stop");
    end(&harness, readers, "stop");
    assert_eq!(
        harness.dispatcher.exit_status().and_then(|s| s.code()),
        Some(0)
    );
}
