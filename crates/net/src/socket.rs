//! One WebSocket with a reader thread and a writer thread.
//!
//! The reader uses `tungstenite` for frames, masks, fragments, pings and close frames. The stream that `tungstenite`
//! writes to queues each flush as one unit for the writer thread, so that its pongs and close frames are never written
//! in the middle of a data frame.

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

use crate::wire::{is_timeout, Transport};

/// Stack size of a reader thread, bytes. It is the larger one because the reader also parses the messages.
pub const READER_STACK: usize = 128 * 1024;
/// Stack size of a writer thread, bytes.
pub const WRITER_STACK: usize = 64 * 1024;
/// Size from which the writer stops adding queued messages to one write, bytes.
const WRITE_BATCH_BYTES: usize = 32 * 1024;
/// Number of ping intervals without received bytes after which the connection is aborted. Each received message resets the
/// count; a ping is sent at the end of each earlier interval.
const MAX_SILENT_INTERVALS: u32 = 3;

/// Number of writer threads in this process that have not ended.
static RUNNING_WRITERS: AtomicUsize = AtomicUsize::new(0);

/// Returns the number of writer threads in this process that have not ended.
pub fn running_writers() -> usize {
    RUNNING_WRITERS.load(Ordering::Relaxed)
}

/// Called with the id of each message that expired in the queue before its first byte was written.
pub type UnsentCallback = Box<dyn Fn(String) + Send>;

/// Limits and timeouts of one socket.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest message accepted from the peer, bytes.
    pub max_message_bytes: usize,
    /// Maximum number of messages that wait to be written.
    pub max_queued_messages: usize,
    /// Time without received bytes after which a ping is sent.
    pub ping_interval: Duration,
    /// Longest time without a text message in either direction before the connection is closed; `None` for no limit.
    pub idle_timeout: Option<Duration>,
}

/// A message in the send queue.
struct QueuedMessage {
    body: Body,
    /// Time of queueing, longest wait and message id. A message that has waited longer is not written; its id is passed to
    /// the [`UnsentCallback`].
    expiry: Option<(Instant, Duration, String)>,
}

enum Body {
    Text(String),
    Raw(Vec<u8>),
    Ping,
    Close(u16, String),
}

/// A bounded queue that allocates memory only for the messages in it. With a preallocated array of slots, the queues of
/// thousands of sessions would make up most of their memory.
#[derive(Clone)]
struct Queue {
    messages: Sender<QueuedMessage>,
    /// Number of messages in the queue.
    len: Arc<AtomicUsize>,
    capacity: usize,
}

impl Queue {
    fn push(&self, message: QueuedMessage) -> Result<(), NotQueued> {
        if self.len.fetch_add(1, Ordering::AcqRel) < self.capacity
            && self.messages.send(message).is_ok()
        {
            return Ok(());
        }
        self.len.fetch_sub(1, Ordering::AcqRel);
        Err(NotQueued)
    }
}

/// The sending side of a socket: the queue to its writer thread.
#[derive(Clone)]
pub struct Outbox {
    queue: Queue,
    transport: Arc<Transport>,
    started: Instant,
    /// Time of the last queued message, milliseconds after `started`.
    last_sent_ms: Arc<AtomicU64>,
}

/// The message was not queued: the queue is full or the socket has ended.
#[derive(Debug, PartialEq, Eq)]
pub struct NotQueued;

impl Outbox {
    /// Queues a text message.
    ///
    /// # Errors
    /// [`NotQueued`] if the queue is full, because the peer reads too slowly, or the socket has ended.
    pub fn text(&self, text: String) -> Result<(), NotQueued> {
        self.push(Body::Text(text), None)
    }

    /// Queues a text message with a time limit. If its first byte is not written within `max_wait`, the message is dropped
    /// and `id` is passed to the socket's [`UnsentCallback`].
    ///
    /// # Errors
    /// As for [`Outbox::text`].
    pub fn text_within(
        &self,
        text: String,
        max_wait: Duration,
        id: String,
    ) -> Result<(), NotQueued> {
        self.push(Body::Text(text), Some((Instant::now(), max_wait, id)))
    }

    fn push(
        &self,
        body: Body,
        expiry: Option<(Instant, Duration, String)>,
    ) -> Result<(), NotQueued> {
        self.last_sent_ms
            .store(self.started.elapsed().as_millis() as u64, Ordering::Relaxed);
        self.queue.push(QueuedMessage { body, expiry })
    }

    /// Closes the socket with a close frame after the queued messages. If the queue is full, aborts it instead.
    pub fn close(&self, code: u16, reason: &str) {
        if self
            .push(Body::Close(code, reason.to_string()), None)
            .is_err()
        {
            self.abort();
        }
    }

    /// Shuts the connection down at once, without a close frame; queued messages are lost.
    pub fn abort(&self) {
        self.transport.abort();
    }
}

/// What a read from a socket returned.
#[derive(Debug)]
pub enum ReadOutcome {
    /// A text message.
    Text(String),
    /// The socket has ended, with the reason. Nothing follows.
    Ended(String),
}

/// The stream that `tungstenite` uses: reads from the transport, passes writes to the writer thread.
struct Duplex {
    transport: Arc<Transport>,
    queue: Queue,
    pending: Vec<u8>,
}

impl Read for Duplex {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let got = self.transport.receive(buf);
        if self.transport.wants_write() {
            // An empty message wakes the writer thread, which also writes the pending TLS records.
            let wake_up = QueuedMessage {
                body: Body::Raw(Vec::new()),
                expiry: None,
            };
            let _ = self.queue.push(wake_up);
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
                "the send queue is full: the peer does not read",
            )
        };
        self.queue
            .push(QueuedMessage { body, expiry: None })
            .map_err(|NotQueued| full())
    }
}

/// The receiving side of a socket.
pub struct Reader {
    socket: WebSocket<Duplex>,
    outbox: Outbox,
    limits: Limits,
    /// Time of the last text message from the peer.
    last_received: Instant,
    /// Ping intervals without received bytes since the last message from the peer.
    silent_intervals: u32,
}

/// Starts a socket after its WebSocket upgrade and spawns its writer thread. `left` holds the bytes already read beyond
/// the upgrade; `unsent` is called for messages that expire in the send queue.
///
/// # Errors
/// If the thread cannot be started or an option of the stream cannot be set.
pub fn start(
    transport: impl Into<Transport>,
    left: Vec<u8>,
    role: Role,
    limits: Limits,
    unsent: Option<UnsentCallback>,
) -> io::Result<(Reader, Outbox)> {
    let transport = Arc::new(transport.into());
    transport.set_nodelay()?;
    transport.set_read_timeout(Some(limits.ping_interval))?;
    transport.set_write_timeout(None)?;
    let (sender, messages) = unbounded();
    let queue_len = Arc::new(AtomicUsize::new(0));
    let queue = Queue {
        messages: sender,
        len: Arc::clone(&queue_len),
        capacity: limits.max_queued_messages,
    };
    let outbox = Outbox {
        queue: queue.clone(),
        transport: Arc::clone(&transport),
        started: Instant::now(),
        last_sent_ms: Arc::new(AtomicU64::new(0)),
    };
    let writer = Writer {
        transport: Arc::clone(&transport),
        messages,
        queue_len,
        mask: (role == Role::Client).then(mask_generator),
        unsent,
    };
    RUNNING_WRITERS.fetch_add(1, Ordering::Relaxed);
    let spawned = std::thread::Builder::new()
        .stack_size(WRITER_STACK)
        .name("ws-write".into())
        .spawn(move || {
            writer.run();
            RUNNING_WRITERS.fetch_sub(1, Ordering::Relaxed);
        });
    if let Err(e) = spawned {
        RUNNING_WRITERS.fetch_sub(1, Ordering::Relaxed);
        return Err(e);
    }
    let config = WebSocketConfig::default()
        .read_buffer_size(4096)
        .write_buffer_size(0)
        .max_message_size(Some(limits.max_message_bytes))
        .max_frame_size(Some(limits.max_message_bytes));
    let duplex = Duplex {
        transport,
        queue,
        pending: Vec::new(),
    };
    let socket = WebSocket::from_partially_read(duplex, left, role, Some(config));
    Ok((
        Reader {
            socket,
            outbox: outbox.clone(),
            limits,
            last_received: Instant::now(),
            silent_intervals: 0,
        },
        outbox,
    ))
}

impl Reader {
    /// Waits for the next text message or the end.
    pub fn read(&mut self) -> ReadOutcome {
        loop {
            match self.socket.read() {
                Ok(Message::Text(text)) => {
                    (self.last_received, self.silent_intervals) = (Instant::now(), 0);
                    return ReadOutcome::Text(text.as_str().to_string());
                }
                Ok(Message::Close(frame)) => {
                    let code = frame.map_or(1005, |f| u16::from(f.code));
                    self.answer_close();
                    return ReadOutcome::Ended(format!("closed by the peer with code {code}"));
                }
                Ok(Message::Binary(_)) => {
                    return self.close(
                        1003,
                        "binary messages are not served here; text is expected",
                    );
                }
                Ok(Message::Ping(_) | Message::Pong(_) | Message::Frame(_)) => {
                    self.silent_intervals = 0
                }
                Err(Error::Io(e)) if is_timeout(&e) => {
                    if let Some(ended) = self.check_silence() {
                        return ended;
                    }
                }
                Err(Error::Capacity(e)) => {
                    return self.close(1009, &format!("message too long: {e}"))
                }
                Err(Error::Utf8(_)) => return self.close(1007, "a text message is not UTF-8"),
                Err(Error::Protocol(e)) => {
                    return self.close(1002, &format!("protocol fault: {e}"))
                }
                Err(e) => {
                    self.outbox.abort();
                    return ReadOutcome::Ended(e.to_string());
                }
            }
        }
    }

    /// Called after a ping interval without received bytes. Sends a ping, or ends the socket if the peer has been silent or
    /// idle for too long.
    fn check_silence(&mut self) -> Option<ReadOutcome> {
        self.silent_intervals += 1;
        if self.silent_intervals >= MAX_SILENT_INTERVALS {
            self.outbox.abort();
            return Some(ReadOutcome::Ended(
                "the peer does not respond to pings".to_string(),
            ));
        }
        let last_sent = Duration::from_millis(self.outbox.last_sent_ms.load(Ordering::Relaxed));
        let idle_time = self
            .last_received
            .elapsed()
            .min(self.outbox.started.elapsed().saturating_sub(last_sent));
        if self
            .limits
            .idle_timeout
            .is_some_and(|timeout| idle_time > timeout)
        {
            return Some(self.close(1001, "idle for longer than it may be"));
        }
        let ping = QueuedMessage {
            body: Body::Ping,
            expiry: None,
        };
        if self.outbox.queue.push(ping).is_err() {
            self.outbox.abort();
            return Some(ReadOutcome::Ended(
                "the send queue is full: the peer does not read".to_string(),
            ));
        }
        None
    }

    /// Closes the socket with a close frame and returns its reason as the outcome.
    fn close(&mut self, code: u16, reason: &str) -> ReadOutcome {
        self.outbox.close(code, reason);
        ReadOutcome::Ended(reason.to_string())
    }

    /// Answers the peer's close frame. `tungstenite` has prepared the answer but writes it only at the next flush.
    fn answer_close(&mut self) {
        let _ = self.socket.flush();
        self.outbox.close(1000, "");
    }
}

/// Random number generator for frame masks. Between this project's own processes the masks need not be unpredictable, but
/// they must differ from run to run (RFC 6455, section 5.3).
fn mask_generator() -> Xoshiro256PlusPlus {
    use std::hash::{BuildHasher, RandomState};
    Xoshiro256PlusPlus::seed_from_u64(RandomState::new().hash_one(0u8))
}

/// The state of a writer thread.
struct Writer {
    transport: Arc<Transport>,
    messages: Receiver<QueuedMessage>,
    queue_len: Arc<AtomicUsize>,
    /// Generates frame masks; `None` on the server side, which sends unmasked frames.
    mask: Option<Xoshiro256PlusPlus>,
    unsent: Option<UnsentCallback>,
}

impl Writer {
    /// Writes queued messages until a close frame, a write error or the end of all senders.
    fn run(mut self) {
        let mut buffer = Vec::new();
        let mut closing = false;
        while let (false, Ok(first)) = (closing, self.messages.recv()) {
            buffer.clear();
            closing = self.encode(first, &mut buffer);
            while !closing && buffer.len() < WRITE_BATCH_BYTES {
                let Ok(next) = self.messages.try_recv() else {
                    break;
                };
                closing = self.encode(next, &mut buffer);
            }
            if self.transport.send(&buffer).is_err() {
                closing = true;
            }
            if buffer.capacity() > 2 * WRITE_BATCH_BYTES {
                buffer = Vec::new();
            }
        }
        self.transport.finish();
    }

    /// Appends the bytes of a message, unless it has expired. Returns true for a close frame, after which nothing is written.
    fn encode(&mut self, message: QueuedMessage, buffer: &mut Vec<u8>) -> bool {
        self.queue_len.fetch_sub(1, Ordering::AcqRel);
        if let Some((queued, max_wait, id)) = message.expiry {
            if queued.elapsed() > max_wait {
                if let Some(unsent) = &self.unsent {
                    unsent(id);
                }
                return false;
            }
        }
        let (frame, last) = match message.body {
            Body::Raw(bytes) => {
                buffer.extend_from_slice(&bytes);
                return false;
            }
            Body::Text(text) => (Frame::message(text, OpCode::Data(Data::Text), true), false),
            Body::Ping => (Frame::ping(Vec::new()), false),
            Body::Close(code, reason) => {
                let reason: String = reason.chars().take(40).collect();
                (
                    Frame::close(Some(CloseFrame {
                        code: code.into(),
                        reason: reason.into(),
                    })),
                    true,
                )
            }
        };
        self.append_frame(frame, buffer);
        last
    }

    /// Masks the frame on the client side and appends its bytes.
    fn append_frame(&mut self, mut frame: Frame, buffer: &mut Vec<u8>) {
        if let Some(source) = &mut self.mask {
            frame.header_mut().mask = Some(source.next_u32().to_le_bytes());
        }
        // Writing to a buffer in memory cannot fail.
        let _ = frame.format(buffer);
    }
}
