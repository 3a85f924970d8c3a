//! Links between members, for messages that are longer than a datagram or need reliable delivery. A link is one TCP connection
//! per direction, to the address that also serves the member's status. Frames are signed as datagrams are, and delimited by COBS.
//!
//! A frame is lost when its link breaks, when the link's queue is full, or while the peer cannot be reached, so a sender repeats a
//! message that must arrive until it is answered. The signed content begins with the receiver's short name, so that a frame
//! cannot be replayed to another member.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bitternlatch_membership::{Kind, NameKey, Secret, Signer, Topic, Verifier, AUTH_BYTES};
use bitternlatch_net::lock;
use bitternlatch_quota_lease::{Process, MAX_FRAME};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};

use crate::routes::{Incoming, Routes};

/// First word of the line `link 1 NAME`, which the sender writes when it opens a link.
pub(crate) const LINK_WORD: &str = "link";
/// Capacity of the send queue of a link, in frames. Frames are lost when it is full.
const SEND_QUEUE_LEN: usize = 256;
/// Maximum number of incoming links. Further links are closed at once.
const MAX_INCOMING_LINKS: usize = 1024;
/// The sender closes a link after this time without a frame; the receiver, after twice this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of connecting a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a write to a link.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a link is opened again after a failed attempt or write. Frames sent in the meantime are lost.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Stack size of the thread of a link, bytes.
const THREAD_STACK_BYTES: usize = 256 * 1024;
/// Size of a short name, bytes.
const NAME_BYTES: usize = 4;
/// Maximum length of a signed frame before COBS encoding, bytes.
const MAX_SIGNED_FRAME: usize = MAX_FRAME + NAME_BYTES + AUTH_BYTES;

/// All links of one process.
pub(crate) struct Links {
    name: String,
    own: NameKey,
    addresses: BTreeMap<NameKey, SocketAddrV4>,
    signer: Mutex<Signer>,
    /// Verifies incoming frames. Of the signer, only the key is used.
    verifier: Mutex<(Verifier, Signer)>,
    outgoing: Mutex<BTreeMap<NameKey, Sender<Vec<u8>>>>,
    incoming: AtomicUsize,
    routes: Arc<Routes>,
}

impl Links {
    pub(crate) fn new(
        name: &str,
        start: u64,
        secret: &Secret,
        addresses: BTreeMap<NameKey, SocketAddrV4>,
        routes: Arc<Routes>,
    ) -> Links {
        let own = NameKey::of(name);
        let signer = || Signer::new(secret.for_links(), own, start);
        Links {
            name: name.to_string(),
            own,
            addresses,
            signer: Mutex::new(signer()),
            verifier: Mutex::new((Verifier::default(), signer())),
            outgoing: Mutex::new(BTreeMap::new()),
            incoming: AtomicUsize::new(0),
            routes,
        }
    }

    /// Queues a frame on the link to a member, and opens the link if there is none. The frame is dropped if it is longer than
    /// [`MAX_FRAME`], if the member is unknown, or if the queue is full.
    pub(crate) fn send(self: &Arc<Self>, topic: Topic, to: NameKey, payload: &[u8]) {
        let Some(address) = self
            .addresses
            .get(&to)
            .copied()
            .filter(|_| payload.len() <= MAX_FRAME)
        else {
            return;
        };
        let mut outgoing = lock(&self.outgoing);
        // The thread of a link ends when the link is idle; the next frame starts a new one.
        let closed = match outgoing.get(&to) {
            Some(queue) => match queue.try_send(self.encode_frame(topic, to, payload)) {
                Ok(()) => return,
                Err(e) => e.is_disconnected(),
            },
            None => true,
        };
        if !closed {
            return;
        }
        let (queue, frames) = bounded(SEND_QUEUE_LEN);
        let (name, signed) = (self.name.clone(), self.encode_frame(topic, to, payload));
        let write = move || write(&name, address, &frames);
        let thread = std::thread::Builder::new()
            .name("link".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(write);
        if thread.is_ok() && queue.try_send(signed).is_ok() {
            outgoing.insert(to, queue);
        }
    }

    fn encode_frame(&self, topic: Topic, to: NameKey, payload: &[u8]) -> Vec<u8> {
        let addressed = [&to.0.to_le_bytes()[..], payload].concat();
        let signed = lock(&self.signer).sign(Kind::Topic(topic), &addressed);
        let mut framed = cobs::encode_vec(&signed);
        framed.push(0);
        framed
    }

    /// Reads a link that a peer has opened, on a thread of its own.
    pub(crate) fn accept(self: &Arc<Self>, reader: BufReader<TcpStream>) {
        let links = Arc::clone(self);
        if links.incoming.fetch_add(1, Ordering::SeqCst) >= MAX_INCOMING_LINKS {
            links.incoming.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let read = move || {
            let result = links.read(reader);
            links.incoming.fetch_sub(1, Ordering::SeqCst);
            tracing::debug!(?result, "a link from a peer was closed");
        };
        if std::thread::Builder::new()
            .name("link".into())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(read)
            .is_err()
        {
            self.incoming.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn read(&self, mut reader: BufReader<TcpStream>) -> io::Result<()> {
        reader.get_ref().set_read_timeout(Some(IDLE_TIMEOUT * 2))?;
        let max_encoded = cobs::max_encoding_length(MAX_SIGNED_FRAME) as u64 + 1;
        let mut framed = Vec::new();
        loop {
            framed.clear();
            (&mut reader).take(max_encoded).read_until(0, &mut framed)?;
            if framed.pop() != Some(0) {
                // The connection was closed, or the frame is longer than the maximum.
                return Ok(());
            }
            let Ok(signed) = cobs::decode_vec(&framed) else {
                return Err(ErrorKind::InvalidData.into());
            };
            self.receive_frame(&signed);
        }
    }

    /// Passes a frame to the service of its topic. Frames that are not authenticated, are replayed, or are addressed to another
    /// member are dropped.
    fn receive_frame(&self, signed: &[u8]) {
        let mut verifier = lock(&self.verifier);
        let (verifier, signer) = &mut *verifier;
        let Ok((from, addressed)) = verifier.verify_up_to(signer, signed, MAX_SIGNED_FRAME) else {
            return;
        };
        let Kind::Topic(topic) = from.kind else {
            return;
        };
        let Some((to, payload)) = addressed.split_first_chunk::<NAME_BYTES>() else {
            return;
        };
        if u32::from_le_bytes(*to) == self.own.0 && self.addresses.contains_key(&from.name) {
            let from = Process {
                name: from.name,
                start: from.process,
            };
            self.routes.send(
                topic,
                Incoming::Frame {
                    from,
                    payload: payload.to_vec(),
                },
            );
        }
    }
}

/// Writes queued frames to a link. Returns after [`IDLE_TIMEOUT`] without a frame, or when the queue has no senders left.
fn write(name: &str, address: SocketAddrV4, frames: &Receiver<Vec<u8>>) {
    let mut stream: Option<TcpStream> = None;
    let mut reconnect_at = Instant::now();
    loop {
        let frame = match frames.recv_timeout(IDLE_TIMEOUT) {
            Ok(frame) => frame,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        };
        if stream.as_mut().is_some_and(is_closed) {
            stream = None;
        }
        if stream.is_none() {
            if Instant::now() < reconnect_at {
                continue;
            }
            stream = connect(name, address).ok();
        }
        let written = stream.as_mut().map(|stream| stream.write_all(&frame));
        if !matches!(written, Some(Ok(()))) {
            stream = None;
            reconnect_at = Instant::now() + RECONNECT_DELAY;
        }
    }
}

fn connect(name: &str, address: SocketAddrV4) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    writeln!(stream, "{LINK_WORD} 1 {name}")?;
    Ok(stream)
}

/// Whether the peer has closed the connection. A peer never sends data on a link that it has accepted.
fn is_closed(stream: &mut TcpStream) -> bool {
    let nonblocking = stream.set_nonblocking(true);
    let read = stream.read(&mut [0; 1]);
    let blocking = stream.set_nonblocking(false);
    let open = matches!(&read, Err(e) if e.kind() == ErrorKind::WouldBlock);
    nonblocking.is_err() || blocking.is_err() || !open
}
