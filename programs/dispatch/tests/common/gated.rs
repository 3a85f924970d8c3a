//! Scripted servers: model servers that hold every response until the test releases it, and record all events in order.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use super::common::{whole_message, Message, SOON};

/// Prefix of the ids of requests that the servers answer immediately.
pub const IMMEDIATE_PREFIX: &str = "now-";
pub const PREFILL_RESPONSE: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
pub const DECLINED: &str = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
pub const STATE_MISSING: &str = "HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
pub const FAILED: &str = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
pub const STREAM_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n0\r\n\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    Post,
    Delete,
    Probe,
    /// The dispatcher has closed the connection of a request before its response.
    Closed,
    /// A server has written a response.
    Responded,
}

/// An event at a server, for the request with this id.
#[derive(Clone, Debug)]
pub struct RecordedEvent {
    pub kind: EventKind,
    pub id: String,
    pub server: usize,
    pub at: Instant,
    /// How long the dispatcher said that it would wait, in a `Post`.
    pub told: Duration,
}

#[derive(Default)]
struct State {
    events: Vec<RecordedEvent>,
    /// Responses released by the test, by request id; each is sent once.
    answers: BTreeMap<String, Vec<String>>,
    hold_probes: bool,
    /// Connections that each server has accepted, the newest last.
    connections: Vec<(usize, TcpStream)>,
    /// Servers that handle no more data, though their connections stay open and new ones are established.
    silent: BTreeSet<usize>,
}

/// Scripted servers and the events recorded at them.
#[derive(Clone, Default)]
pub struct ScriptedServers {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl ScriptedServers {
    /// Starts a prefill or decode server and returns its address.
    pub fn server(&self, number: usize, is_prefill: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        self.serve(listener, number, is_prefill);
        address
    }

    /// Serves connections of a listener, including those that wait in its accept queue.
    pub fn serve(&self, listener: TcpListener, number: usize, is_prefill: bool) {
        let servers = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let servers = servers.clone();
                thread::spawn(move || servers.serve_connection(stream, number, is_prefill));
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the book")
    }

    fn record(&self, kind: EventKind, id: &str, server: usize) {
        self.record_told(kind, id, server, Duration::ZERO);
    }

    fn record_told(&self, kind: EventKind, id: &str, server: usize, told: Duration) {
        let event = RecordedEvent {
            kind,
            id: id.to_string(),
            server,
            at: Instant::now(),
            told,
        };
        self.lock().events.push(event);
        self.state.1.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream, server: usize, is_prefill: bool) -> Option<()> {
        let mut to = stream.try_clone().ok()?;
        self.lock()
            .connections
            .push((server, stream.try_clone().ok()?));
        let mut from = BufReader::new(stream);
        while let Some(Message {
            first: line,
            fields,
            ..
        }) = whole_message(&mut from)
        {
            if self.lock().silent.contains(&server) {
                // The shared state has another handle of this connection, so it stays open.
                return None;
            }
            let id = fields.get("req-id").cloned().unwrap_or_default();
            let answer = if line.starts_with("DELETE") {
                let id = line.split(' ').nth(1)?.rsplit('/').next()?;
                self.record(EventKind::Delete, id, server);
                "HTTP/1.1 204 No Content\r\n\r\n".to_string()
            } else if line.starts_with("GET") {
                self.record(EventKind::Probe, "", server);
                self.wait_unless_closed(&from, |state| (!state.hold_probes).then_some(()))?;
                "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nutil=0.1,queue=0,x0=0.1".to_string()
            } else {
                let told_ms = fields.get("req-deadline-ms").and_then(|ms| ms.parse().ok());
                let told = Duration::from_millis(told_ms.unwrap_or(0));
                self.record_told(EventKind::Post, &id, server, told);
                if id.starts_with(IMMEDIATE_PREFIX) {
                    if is_prefill {
                        PREFILL_RESPONSE
                    } else {
                        STREAM_RESPONSE
                    }
                    .to_string()
                } else {
                    let next = |state: &mut State| state.answers.get_mut(&id)?.pop();
                    let Some(answer) = self.wait_unless_closed(&from, next) else {
                        self.record(EventKind::Closed, &id, server);
                        return None;
                    };
                    answer
                }
            };
            to.write_all(answer.as_bytes()).ok()?;
            if !id.is_empty() {
                self.record(EventKind::Responded, &id, server);
            }
        }
        Some(())
    }

    /// Waits until the test provides a value; returns `None` if the dispatcher closes the connection first.
    fn wait_unless_closed<T>(
        &self,
        from: &BufReader<TcpStream>,
        mut ready: impl FnMut(&mut State) -> Option<T>,
    ) -> Option<T> {
        let stream = from.get_ref();
        stream
            .set_read_timeout(Some(Duration::from_millis(2)))
            .ok()?;
        loop {
            if let Some(found) = ready(&mut self.lock()) {
                stream.set_read_timeout(None).ok()?;
                return Some(found);
            }
            match stream.peek(&mut [0]) {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Ok(n) if n > 0 => thread::sleep(Duration::from_millis(2)),
                _ => return None,
            }
        }
    }

    /// Releases one response and waits until it has been written.
    pub fn respond(&self, id: &str, answer: &str) {
        let before = self.count(EventKind::Responded, id);
        self.lock()
            .answers
            .entry(id.to_string())
            .or_default()
            .push(answer.to_string());
        self.wait(EventKind::Responded, id, before + 1);
    }

    /// Sends data on every connection of a server without a request.
    pub fn send_unsolicited(&self, server: usize, text: &str) {
        for (_, stream) in self.lock().connections.iter_mut().filter(|t| t.0 == server) {
            // A connection that has been closed meanwhile is skipped.
            let _ = stream.write_all(text.as_bytes());
        }
    }

    /// Shuts down every connection of a server in the order of their acceptance.
    pub fn close_connections(&self, server: usize) {
        for (_, stream) in self.lock().connections.iter().filter(|t| t.0 == server) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// From now on a server handles no data; its connections stay open, so that no error shows it.
    pub fn stop_responding(&self, server: usize) {
        self.lock().silent.insert(server);
    }

    /// Time of the first event of this kind for a request.
    pub fn first_time(&self, kind: EventKind, id: &str) -> Option<Instant> {
        self.lock()
            .events
            .iter()
            .find(|s| s.kind == kind && s.id == id)
            .map(|s| s.at)
    }

    /// Events of this kind for a request, in order.
    pub fn events(&self, kind: EventKind, id: &str) -> Vec<RecordedEvent> {
        let state = self.lock();
        let events = state.events.iter();
        events
            .filter(|s| s.kind == kind && s.id == id)
            .cloned()
            .collect()
    }

    pub fn hold_probes(&self, hold: bool) {
        self.lock().hold_probes = hold;
    }

    pub fn count(&self, kind: EventKind, id: &str) -> usize {
        self.lock()
            .events
            .iter()
            .filter(|s| s.kind == kind && s.id == id)
            .count()
    }

    /// Waits until this many events of a kind have been recorded for a request.
    pub fn wait(&self, kind: EventKind, id: &str, many: usize) {
        let deadline = Instant::now() + SOON;
        let mut state = self.lock();
        while state
            .events
            .iter()
            .filter(|s| s.kind == kind && s.id == id)
            .count()
            < many
        {
            let left = deadline.saturating_duration_since(Instant::now());
            assert!(
                !left.is_zero(),
                "{many} of {kind:?} for '{id}' in time: {:?}",
                state.events
            );
            state = self.state.1.wait_timeout(state, left).expect("the book").0;
        }
    }

    /// Returns the servers that received a request, in order.
    pub fn request_servers(&self, id: &str) -> Vec<usize> {
        self.lock()
            .events
            .iter()
            .filter(|s| s.kind == EventKind::Post && s.id == id)
            .map(|s| s.server)
            .collect()
    }

    /// Returns the ids of all received requests; an id is repeated for each time it was received.
    pub fn request_ids(&self) -> Vec<String> {
        self.lock()
            .events
            .iter()
            .filter(|s| s.kind == EventKind::Post)
            .map(|s| s.id.clone())
            .collect()
    }
}
