//! Decode servers that write each answer as a script says, and note when its last whole event was written.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::common::*;

pub const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One thing that a server does within its answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes bytes that are no whole event.
    Write(String),
    /// Writes bytes that end a whole event.
    Event(String),
    /// Writes a whole event byte by byte, with a pause before each byte.
    SlowEvent(String, Duration),
    Pause(Duration),
    /// Writes the bytes again and again, with a pause before each time.
    Repeat(String, Duration),
}

/// Scripts by the ids of the requests.
pub type Scripts = BTreeMap<String, Vec<Step>>;

/// Servers that answer by scripts, and the time of the last whole event of each request.
#[derive(Clone, Default)]
pub struct ShapedServers(Arc<Mutex<BTreeMap<String, Instant>>>);

impl ShapedServers {
    /// Starts a server; a request without a script, and each `DELETE`, is answered at once.
    pub fn start(&self, scripts: Scripts) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (servers, scripts) = (self.clone(), Arc::new(scripts));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (servers, scripts) = (servers.clone(), Arc::clone(&scripts));
                thread::spawn(move || servers.serve(stream, &scripts));
            }
        });
        address
    }

    /// When the last whole event of a request was written.
    pub fn last_event(&self, id: &str) -> Option<Instant> {
        self.0.lock().expect("the times").get(id).copied()
    }

    fn serve(&self, stream: TcpStream, scripts: &Scripts) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut to = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        while let Some(message) = whole_message(&mut from) {
            let id = message.fields.get("req-id").cloned().unwrap_or_default();
            if message.first.starts_with("DELETE") {
                to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
            } else if let Some(script) = scripts.get(&id) {
                for step in script {
                    self.play(&mut to, &id, step)?;
                }
            } else {
                let answer = [
                    STREAM_HEAD,
                    &chunk("data: 1\n\n"),
                    &chunk("data: 2\n\n"),
                    LAST_CHUNK,
                ];
                to.write_all(answer.concat().as_bytes())?;
            }
        }
        Ok(())
    }

    fn play(&self, to: &mut TcpStream, id: &str, step: &Step) -> std::io::Result<()> {
        match step {
            Step::Write(text) => return to.write_all(text.as_bytes()),
            Step::Event(text) => to.write_all(text.as_bytes())?,
            Step::SlowEvent(text, pause) => {
                for byte in text.bytes() {
                    thread::sleep(*pause);
                    to.write_all(&[byte])?;
                }
            }
            Step::Pause(pause) => {
                thread::sleep(*pause);
                return Ok(());
            }
            Step::Repeat(text, pause) => loop {
                thread::sleep(*pause);
                to.write_all(text.as_bytes())?;
            },
        }
        let mut times = self.0.lock().expect("the times");
        times.insert(id.to_string(), Instant::now());
        Ok(())
    }
}
