//! Streams over the program itself: each event is passed on as its host writes it, and a stream to its end, also while
//! the process stops.
//!
//! A host writes an event only when all clients have got the one before it, so that events cannot come in lumps.
#[path = "common/bench.rs"]
mod bench;
mod common;
#[path = "common/gated.rs"]
mod gated;

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use bench::*;
use common::{chunk, LAST_CHUNK, STREAM_HEAD};
use gated::*;
use rustix::process::Signal;

const STREAMS: usize = 8;
const EVENTS: usize = 12;
/// The hosts that write, of two pairs.
const WRITERS: [usize; 2] = [2, 3];
/// From an event's writing to its client.
const PASSED_ON: Duration = Duration::from_millis(300);
/// Between the pieces in which a host writes an event.
const BETWEEN_PIECES: Duration = Duration::from_millis(20);

/// A client of a stream that goes on, and what it has got.
struct Reader {
    stream: TcpStream,
    got: String,
}

impl Reader {
    /// Reads until this has come.
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

/// How a host writes an event: what it sends, piece by piece.
type Manner = fn(&str) -> Vec<String>;

fn at_once(event: &str) -> Vec<String> {
    vec![chunk(event)]
}

/// The chunk that holds the event is cut.
fn cut_chunk(event: &str) -> Vec<String> {
    let whole = chunk(event);
    let (first, rest) = whole.split_at(whole.len() / 2);
    vec![first.to_string(), rest.to_string()]
}

/// The event stands in two chunks.
fn two_chunks(event: &str) -> Vec<String> {
    let (first, rest) = event.split_at(event.len() / 2);
    vec![chunk(first), chunk(rest)]
}

/// Begins streams at both writers.
fn begin(bench: &Bench) -> Vec<Reader> {
    let ids: Vec<String> = (0..STREAMS).map(|i| format!("stream-{i}")).collect();
    let clients: Vec<TcpStream> = ids.iter().map(|id| bench.ask(id)).collect();
    for id in &ids {
        bench.hosts.wait(What::Post, id, 1);
        bench.hosts.let_go(id, READ);
        bench.hosts.wait(What::Post, id, 2);
        bench.hosts.let_go(id, STREAM_HEAD);
    }
    clients
        .into_iter()
        .map(|stream| Reader {
            stream,
            got: String::new(),
        })
        .collect()
}

/// Writes one event on every stream and waits until all clients have it; gives how many got it late.
fn pass_on(bench: &Bench, readers: &mut [Reader], manner: Manner, number: usize) -> usize {
    let event = event(number);
    let pieces = manner(&event);
    for (i, piece) in pieces.iter().enumerate() {
        if i > 0 {
            std::thread::sleep(BETWEEN_PIECES);
        }
        WRITERS
            .iter()
            .for_each(|host| bench.hosts.say(*host, piece));
    }
    let written = Instant::now();
    let mut late = 0;
    for reader in readers {
        reader.until(&event);
        late += usize::from(written.elapsed() > PASSED_ON);
    }
    late
}

fn end(bench: &Bench, readers: Vec<Reader>, name: &str) {
    WRITERS
        .iter()
        .for_each(|host| bench.hosts.say(*host, LAST_CHUNK));
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

/// The platform lets one stream in twenty be late: of a busy machine's, no more than that here.
fn in_time(late: usize, name: &str) {
    assert!(
        late * 20 <= STREAMS * EVENTS,
        "{name}: {late} of {} events late",
        STREAMS * EVENTS
    );
}

#[test]
fn each_event_is_passed_on_before_the_next_is_written() {
    let table: [(&str, Manner); 3] = [
        ("at-once", at_once),
        ("cut-chunk", cut_chunk),
        ("two-chunks", two_chunks),
    ];
    for (name, manner) in table {
        let bench = Bench::start(&format!("streams-{name}"), 2, &[PATIENT]);
        let mut readers = begin(&bench);
        let late = (0..EVENTS)
            .map(|n| pass_on(&bench, &mut readers, manner, n))
            .sum();
        in_time(late, name);
        end(&bench, readers, name);
    }
}

/// The process is told to stop while streams run; it passes them on as before, to their ends, and then ends itself.
#[test]
fn streams_are_passed_on_to_their_ends_while_the_process_stops() {
    let mut bench = Bench::start("streams-stop", 2, &[PATIENT]);
    let mut readers = begin(&bench);
    let mut late = 0;
    for number in 0..EVENTS {
        if number == 3 {
            bench.dispatcher.signal(Signal::TERM);
        }
        std::thread::sleep(Duration::from_millis(100));
        late += pass_on(&bench, &mut readers, at_once, number);
    }
    in_time(late, "stop");
    end(&bench, readers, "stop");
    assert_eq!(bench.dispatcher.ended().and_then(|s| s.code()), Some(0));
}
