//! Model hosts that hold every answer until the test lets it go, and keep what has come to them, in order.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use super::common::{whole_message, Message, SOON};

/// Requests whose ids begin so are answered at once.
pub const AT_ONCE: &str = "now-";
pub const READ: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
pub const DECLINED: &str = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
pub const FAILED: &str = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
pub const STREAM: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n0\r\n\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Post,
    Delete,
    Probe,
    /// The dispatcher has ended the connection on which a request stood.
    Ended,
    /// An answer has been written.
    Answered,
}

/// One thing that has come to a host, for the request of this id.
#[derive(Clone, Debug)]
pub struct Seen {
    pub what: What,
    pub id: String,
    pub host: usize,
    pub at: Instant,
}

#[derive(Default)]
struct Book {
    seen: Vec<Seen>,
    /// Answers that may go, by the request's id; each once.
    answers: BTreeMap<String, Vec<String>>,
    hold_probes: bool,
    /// Connections that a host has taken, the newest last.
    taken: Vec<(usize, TcpStream)>,
    /// Hosts to which nothing arrives any more, though their connections stay open and new ones come up.
    silent: BTreeSet<usize>,
}

/// Hosts and what has come to them.
#[derive(Clone, Default)]
pub struct Gated {
    book: Arc<(Mutex<Book>, Condvar)>,
}

impl Gated {
    /// Begins one host; it reads or writes.
    pub fn host(&self, number: usize, reads: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        self.serve(listener, number, reads);
        address
    }

    /// Serves what comes to a listener, now or in time.
    pub fn serve(&self, listener: TcpListener, number: usize, reads: bool) {
        let hosts = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let hosts = hosts.clone();
                thread::spawn(move || hosts.connection(stream, number, reads));
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Book> {
        self.book.0.lock().expect("the book")
    }

    fn note(&self, what: What, id: &str, host: usize) {
        let seen = Seen {
            what,
            id: id.to_string(),
            host,
            at: Instant::now(),
        };
        self.lock().seen.push(seen);
        self.book.1.notify_all();
    }

    fn connection(&self, stream: TcpStream, host: usize, reads: bool) -> Option<()> {
        let mut to = stream.try_clone().ok()?;
        self.lock().taken.push((host, stream.try_clone().ok()?));
        let mut from = BufReader::new(stream);
        while let Some(Message {
            first: line,
            fields,
            ..
        }) = whole_message(&mut from)
        {
            if self.lock().silent.contains(&host) {
                // The book holds the other handle of this connection, so that it stays open.
                return None;
            }
            let id = fields.get("req-id").cloned().unwrap_or_default();
            let answer = if line.starts_with("DELETE") {
                let id = line.split(' ').nth(1)?.rsplit('/').next()?;
                self.note(What::Delete, id, host);
                "HTTP/1.1 204 No Content\r\n\r\n".to_string()
            } else if line.starts_with("GET") {
                self.note(What::Probe, "", host);
                self.until(&from, |book| (!book.hold_probes).then_some(()))?;
                "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nutil=0.1,queue=0,x0=0.1".to_string()
            } else {
                self.note(What::Post, &id, host);
                if id.starts_with(AT_ONCE) {
                    if reads { READ } else { STREAM }.to_string()
                } else {
                    let next = |book: &mut Book| book.answers.get_mut(&id)?.pop();
                    let Some(answer) = self.until(&from, next) else {
                        self.note(What::Ended, &id, host);
                        return None;
                    };
                    answer
                }
            };
            to.write_all(answer.as_bytes()).ok()?;
            if !id.is_empty() {
                self.note(What::Answered, &id, host);
            }
        }
        Some(())
    }

    /// Waits for the test; `None` where the dispatcher ends the connection before.
    fn until<T>(
        &self,
        from: &BufReader<TcpStream>,
        mut ready: impl FnMut(&mut Book) -> Option<T>,
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

    /// Lets one answer go and waits until it is written.
    pub fn let_go(&self, id: &str, answer: &str) {
        let before = self.count(What::Answered, id);
        self.lock()
            .answers
            .entry(id.to_string())
            .or_default()
            .push(answer.to_string());
        self.wait(What::Answered, id, before + 1);
    }

    /// A host says something unasked on every connection that it has taken.
    pub fn say(&self, host: usize, text: &str) {
        for (_, stream) in self.lock().taken.iter_mut().filter(|t| t.0 == host) {
            // One that has ended by now hears nothing.
            let _ = stream.write_all(text.as_bytes());
        }
    }

    /// A host ends every connection that it has taken, in order.
    pub fn hang_up(&self, host: usize) {
        for (_, stream) in self.lock().taken.iter().filter(|t| t.0 == host) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// From now on nothing that is sent to a host arrives, and nothing says so.
    pub fn fall_silent(&self, host: usize) {
        self.lock().silent.insert(host);
    }

    /// When this came first for a request.
    pub fn first(&self, what: What, id: &str) -> Option<Instant> {
        self.lock()
            .seen
            .iter()
            .find(|s| s.what == what && s.id == id)
            .map(|s| s.at)
    }

    pub fn hold_probes(&self, hold: bool) {
        self.lock().hold_probes = hold;
    }

    pub fn count(&self, what: What, id: &str) -> usize {
        self.lock()
            .seen
            .iter()
            .filter(|s| s.what == what && s.id == id)
            .count()
    }

    /// Waits until so many such things have come.
    pub fn wait(&self, what: What, id: &str, many: usize) {
        let until = Instant::now() + SOON;
        let mut book = self.lock();
        while book
            .seen
            .iter()
            .filter(|s| s.what == what && s.id == id)
            .count()
            < many
        {
            let left = until.saturating_duration_since(Instant::now());
            assert!(
                !left.is_zero(),
                "{many} of {what:?} for '{id}' in time: {:?}",
                book.seen
            );
            book = self.book.1.wait_timeout(book, left).expect("the book").0;
        }
    }

    /// The hosts to which a request has come, in order.
    pub fn asked(&self, id: &str) -> Vec<usize> {
        self.lock()
            .seen
            .iter()
            .filter(|s| s.what == What::Post && s.id == id)
            .map(|s| s.host)
            .collect()
    }

    /// Ids of all requests that have come, each as often as it came.
    pub fn posts(&self) -> Vec<String> {
        self.lock()
            .seen
            .iter()
            .filter(|s| s.what == What::Post)
            .map(|s| s.id.clone())
            .collect()
    }
}
