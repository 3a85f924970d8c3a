//! One WebSocket with a thread that reads and a thread that writes.
//!
//! `tungstenite` reads: frames, masks, fragments, pings and closes are its matter. The stream that it is given hands
//! every write on to the writing thread as whole bytes, so that its pongs and closes never cut into a data frame.

use std::io::{self, Read, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{unbounded, Receiver, Sender};
use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tungstenite::protocol::frame::coding::{Data, OpCode};
use tungstenite::protocol::frame::{CloseFrame, Frame};
use tungstenite::protocol::{Role, WebSocketConfig};
use tungstenite::{Error, Message, WebSocket};

use crate::wire::{is_wait, Wire};

/// Stacks of a socket's two threads, bytes. A reader also parses what it reads.
pub const READER_STACK: usize = 128 * 1024;
pub const WRITER_STACK: usize = 64 * 1024;
/// Bytes that are gathered into one write.
const GATHER_BYTES: usize = 32 * 1024;
/// Looks without a byte after which a peer counts as silent; a ping goes out at each.
const SILENT_LOOKS: u32 = 3;

/// Writing threads that have not ended, over the process.
static WRITERS: AtomicUsize = AtomicUsize::new(0);

/// Writing threads of this process that still run.
pub fn writers() -> usize {
    WRITERS.load(Ordering::Relaxed)
}

/// Told of each message that went stale before its first byte was written.
pub type Unsent = Box<dyn Fn(String) + Send>;

/// Bounds of one socket.
#[derive(Clone, Debug)]
pub struct Limits {
    pub message_bytes: usize,
    /// Messages that may wait to be written.
    pub queue: usize,
    /// Time between two looks at a silent peer.
    pub ping: Duration,
    /// Longest time without a message either way; `None` = none.
    pub idle: Option<Duration>,
}

struct Letter {
    body: Body,
    /// Not to be written once this old; with the name to give back.
    stale: Option<(Instant, Duration, String)>,
}

enum Body {
    Text(String),
    Raw(Vec<u8>),
    Ping,
    Close(u16, String),
}

/// A queue with a bound that takes memory for what is in it alone: a ready array of slots for each of thousands of
/// sessions would be most of their memory.
#[derive(Clone)]
struct Queue {
    letters: Sender<Letter>,
    waiting: Arc<AtomicUsize>,
    most: usize,
}

impl Queue {
    fn put(&self, letter: Letter) -> Result<(), NotTaken> {
        if self.waiting.fetch_add(1, Ordering::AcqRel) < self.most
            && self.letters.send(letter).is_ok()
        {
            return Ok(());
        }
        self.waiting.fetch_sub(1, Ordering::AcqRel);
        Err(NotTaken)
    }
}

/// The queue to a socket's writing thread.
#[derive(Clone)]
pub struct Outbox {
    queue: Queue,
    wire: Arc<Wire>,
    started: Instant,
    last_ms: Arc<AtomicU64>,
}

/// The queue is at its bound or the socket has ended: the message was not taken.
#[derive(Debug, PartialEq, Eq)]
pub struct NotTaken;

impl Outbox {
    /// Queues a text message.
    ///
    /// # Errors
    /// [`NotTaken`] at the queue's bound; the peer does not drain it.
    pub fn text(&self, text: String) -> Result<(), NotTaken> {
        self.put(Body::Text(text), None)
    }

    /// Queues a text message that is given back under its name if its first byte is not written in time.
    ///
    /// # Errors
    /// As for [`Outbox::text`].
    pub fn text_within(
        &self,
        text: String,
        within: Duration,
        name: String,
    ) -> Result<(), NotTaken> {
        self.put(Body::Text(text), Some((Instant::now(), within, name)))
    }

    fn put(&self, body: Body, stale: Option<(Instant, Duration, String)>) -> Result<(), NotTaken> {
        self.last_ms
            .store(self.started.elapsed().as_millis() as u64, Ordering::Relaxed);
        self.queue.put(Letter { body, stale })
    }

    /// Closes the socket once all that is queued has been written.
    pub fn close(&self, code: u16, reason: &str) {
        if self
            .put(Body::Close(code, reason.to_string()), None)
            .is_err()
        {
            self.cut();
        }
    }

    /// Ends the socket at once.
    pub fn cut(&self) {
        self.wire.cut();
    }
}

/// What the reading side gave.
#[derive(Debug)]
pub enum Heard {
    Text(String),
    /// The end, with the cause. Nothing follows.
    Ended(String),
}

/// The stream that `tungstenite` is given.
struct Duplex {
    wire: Arc<Wire>,
    queue: Queue,
    pending: Vec<u8>,
}

impl Read for Duplex {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let got = self.wire.receive(buf);
        if self.wire.wants_write() {
            // Nothing to add: the writing thread takes along what the session has to say.
            let nudge = Letter {
                body: Body::Raw(Vec::new()),
                stale: None,
            };
            let _ = self.queue.put(nudge);
        }
        got
    }
}

impl Write for Duplex {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.pending.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let body = Body::Raw(std::mem::take(&mut self.pending));
        let full = || {
            io::Error::new(
                io::ErrorKind::BrokenPipe,
                "the peer does not drain its queue",
            )
        };
        self.queue
            .put(Letter { body, stale: None })
            .map_err(|NotTaken| full())
    }
}

/// The reading side of a socket.
pub struct Reader {
    socket: WebSocket<Duplex>,
    outbox: Outbox,
    limits: Limits,
    heard: Instant,
    silent: u32,
}

/// Starts a socket whose handshake is done; `left` are bytes read beyond it. Spawns the writing thread.
///
/// # Errors
/// Where the system gives no thread or refuses the stream's options.
pub fn start(
    wire: impl Into<Wire>,
    left: Vec<u8>,
    role: Role,
    limits: Limits,
    unsent: Option<Unsent>,
) -> io::Result<(Reader, Outbox)> {
    let wire = Arc::new(wire.into());
    wire.set_nodelay()?;
    wire.set_read_timeout(Some(limits.ping))?;
    wire.set_write_timeout(None)?;
    let (letters_to, letters) = unbounded();
    let waiting = Arc::new(AtomicUsize::new(0));
    let queue = Queue {
        letters: letters_to,
        waiting: Arc::clone(&waiting),
        most: limits.queue,
    };
    let outbox = Outbox {
        queue: queue.clone(),
        wire: Arc::clone(&wire),
        started: Instant::now(),
        last_ms: Arc::new(AtomicU64::new(0)),
    };
    let writer = Writer {
        wire: Arc::clone(&wire),
        letters,
        waiting,
        mask: (role == Role::Client).then(mask_source),
        unsent,
    };
    WRITERS.fetch_add(1, Ordering::Relaxed);
    let spawned = std::thread::Builder::new()
        .stack_size(WRITER_STACK)
        .name("ws-write".into())
        .spawn(move || {
            writer.run();
            WRITERS.fetch_sub(1, Ordering::Relaxed);
        });
    if let Err(e) = spawned {
        WRITERS.fetch_sub(1, Ordering::Relaxed);
        return Err(e);
    }
    let config = WebSocketConfig::default()
        .read_buffer_size(4096)
        .write_buffer_size(0)
        .max_message_size(Some(limits.message_bytes))
        .max_frame_size(Some(limits.message_bytes));
    let duplex = Duplex {
        wire,
        queue,
        pending: Vec::new(),
    };
    let socket = WebSocket::from_partially_read(duplex, left, role, Some(config));
    Ok((
        Reader {
            socket,
            outbox: outbox.clone(),
            limits,
            heard: Instant::now(),
            silent: 0,
        },
        outbox,
    ))
}

impl Reader {
    /// Waits for the next text message or the end.
    pub fn hear(&mut self) -> Heard {
        loop {
            match self.socket.read() {
                Ok(Message::Text(text)) => {
                    (self.heard, self.silent) = (Instant::now(), 0);
                    return Heard::Text(text.as_str().to_string());
                }
                Ok(Message::Close(frame)) => {
                    let code = frame.map_or(1005, |f| u16::from(f.code));
                    self.last_words();
                    return Heard::Ended(format!("closed by the peer with code {code}"));
                }
                Ok(Message::Binary(_)) => {
                    return self.end(
                        1003,
                        "binary messages are not served here; text is expected",
                    );
                }
                Ok(Message::Ping(_) | Message::Pong(_) | Message::Frame(_)) => self.silent = 0,
                Err(Error::Io(e)) if is_wait(&e) => {
                    if let Some(ended) = self.look() {
                        return ended;
                    }
                }
                Err(Error::Capacity(e)) => {
                    return self.end(1009, &format!("message too long: {e}"))
                }
                Err(Error::Utf8(_)) => return self.end(1007, "a text message is not UTF-8"),
                Err(Error::Protocol(e)) => return self.end(1002, &format!("protocol fault: {e}")),
                Err(e) => {
                    self.outbox.cut();
                    return Heard::Ended(e.to_string());
                }
            }
        }
    }

    /// Nothing came for a while: a ping, or the end of a silent or idle peer.
    fn look(&mut self) -> Option<Heard> {
        self.silent += 1;
        if self.silent >= SILENT_LOOKS {
            self.outbox.cut();
            return Some(Heard::Ended(
                "the peer is silent, pings included".to_string(),
            ));
        }
        let said = Duration::from_millis(self.outbox.last_ms.load(Ordering::Relaxed));
        let quiet = self
            .heard
            .elapsed()
            .min(self.outbox.started.elapsed().saturating_sub(said));
        if self.limits.idle.is_some_and(|idle| quiet > idle) {
            return Some(self.end(1001, "idle for longer than it may be"));
        }
        let ping = Letter {
            body: Body::Ping,
            stale: None,
        };
        if self.outbox.queue.put(ping).is_err() {
            self.outbox.cut();
            return Some(Heard::Ended(
                "the peer does not drain its queue".to_string(),
            ));
        }
        None
    }

    fn end(&mut self, code: u16, why: &str) -> Heard {
        self.outbox.close(code, why);
        Heard::Ended(why.to_string())
    }

    /// Lets the answer to a close go out: the library hands it over when it is read from again.
    fn last_words(&mut self) {
        let _ = self.socket.flush();
        self.outbox.close(1000, "");
    }
}

/// Masks need not be secret between the project's own processes, but must differ from run to run (RFC 6455, 5.3).
fn mask_source() -> Xoshiro256PlusPlus {
    use std::hash::{BuildHasher, RandomState};
    Xoshiro256PlusPlus::seed_from_u64(RandomState::new().hash_one(0u8))
}

struct Writer {
    wire: Arc<Wire>,
    letters: Receiver<Letter>,
    waiting: Arc<AtomicUsize>,
    mask: Option<Xoshiro256PlusPlus>,
    unsent: Option<Unsent>,
}

impl Writer {
    fn run(mut self) {
        let mut buffer = Vec::new();
        let mut closing = false;
        while let (false, Ok(first)) = (closing, self.letters.recv()) {
            buffer.clear();
            closing = self.encode(first, &mut buffer);
            while !closing && buffer.len() < GATHER_BYTES {
                let Ok(next) = self.letters.try_recv() else {
                    break;
                };
                closing = self.encode(next, &mut buffer);
            }
            if self.wire.send(&buffer).is_err() {
                closing = true;
            }
            if buffer.capacity() > 2 * GATHER_BYTES {
                buffer = Vec::new();
            }
        }
        self.wire.finish();
    }

    /// Appends a letter's bytes; true when it is the last.
    fn encode(&mut self, letter: Letter, buffer: &mut Vec<u8>) -> bool {
        self.waiting.fetch_sub(1, Ordering::AcqRel);
        if let Some((queued, within, name)) = letter.stale {
            if queued.elapsed() > within {
                if let Some(unsent) = &self.unsent {
                    unsent(name);
                }
                return false;
            }
        }
        let (frame, last) = match letter.body {
            Body::Raw(bytes) => {
                buffer.extend_from_slice(&bytes);
                return false;
            }
            Body::Text(text) => (Frame::message(text, OpCode::Data(Data::Text), true), false),
            Body::Ping => (Frame::ping(Vec::new()), false),
            Body::Close(code, reason) => {
                let cut: String = reason.chars().take(40).collect();
                (
                    Frame::close(Some(CloseFrame {
                        code: code.into(),
                        reason: cut.into(),
                    })),
                    true,
                )
            }
        };
        self.frame(frame, buffer);
        last
    }

    fn frame(&mut self, mut frame: Frame, buffer: &mut Vec<u8>) {
        if let Some(source) = &mut self.mask {
            frame.header_mut().mask = Some(source.next_u32().to_le_bytes());
        }
        // Writing to memory cannot fail.
        let _ = frame.format(buffer);
    }
}
