//! Links between members, for what is longer than a datagram or should arrive: one connection a direction, at the addresses
//! where views are told, with frames that are sealed as datagrams are and framed by COBS.
//!
//! A frame is lost where its link breaks under it, where the link's queue is full, or while the peer cannot be reached: what must arrive
//! is sent until it is answered. In front of what is said stands the receiver's short name, so that a frame cannot be passed on to another.

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

use crate::routes::{Heard, Routes};

/// First word of the line that opens a link: `link 1 NAME`.
pub(crate) const WORD: &str = "link";
/// Frames that wait for one link; past it they are lost.
const QUEUE: usize = 256;
/// Links that others have opened to this one; further ones are closed.
const INCOMING_MOST: usize = 1024;
/// A link without frames is closed.
const IDLE: Duration = Duration::from_secs(60);
const CONNECT: Duration = Duration::from_millis(500);
const WRITE: Duration = Duration::from_secs(1);
/// Pause after a try that failed; frames that come meanwhile are lost.
const AGAIN: Duration = Duration::from_millis(200);
const STACK: usize = 256 * 1024;
const NAME_BYTES: usize = 4;
const SEALED_MOST: usize = MAX_FRAME + NAME_BYTES + AUTH_BYTES;

/// All links of one process.
pub(crate) struct Links {
    name: String,
    own: NameKey,
    addresses: BTreeMap<NameKey, SocketAddrV4>,
    signer: Mutex<Signer>,
    /// Opens what comes, for which a key is all that it takes of a signer.
    verifier: Mutex<(Verifier, Signer)>,
    out: Mutex<BTreeMap<NameKey, Sender<Vec<u8>>>>,
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
            out: Mutex::new(BTreeMap::new()),
            incoming: AtomicUsize::new(0),
            routes,
        }
    }

    /// Puts a frame on its way, or loses it.
    pub(crate) fn send(self: &Arc<Self>, topic: Topic, to: NameKey, said: &[u8]) {
        let Some(address) = self
            .addresses
            .get(&to)
            .copied()
            .filter(|_| said.len() <= MAX_FRAME)
        else {
            return;
        };
        let mut out = lock(&self.out);
        // A link that ended for want of frames is opened anew.
        let lost = match out.get(&to) {
            Some(queue) => match queue.try_send(self.seal(topic, to, said)) {
                Ok(()) => return,
                Err(e) => e.is_disconnected(),
            },
            None => true,
        };
        if !lost {
            return;
        }
        let (queue, frames) = bounded(QUEUE);
        let (name, sealed) = (self.name.clone(), self.seal(topic, to, said));
        let write = move || write(&name, address, &frames);
        let thread = std::thread::Builder::new()
            .name("link".into())
            .stack_size(STACK)
            .spawn(write);
        if thread.is_ok() && queue.try_send(sealed).is_ok() {
            out.insert(to, queue);
        }
    }

    fn seal(&self, topic: Topic, to: NameKey, said: &[u8]) -> Vec<u8> {
        let addressed = [&to.0.to_le_bytes()[..], said].concat();
        let sealed = lock(&self.signer).sign(Kind::Topic(topic), &addressed);
        let mut framed = cobs::encode_vec(&sealed);
        framed.push(0);
        framed
    }

    /// Reads a link that another has opened, on a thread of its own.
    pub(crate) fn accept(self: &Arc<Self>, reader: BufReader<TcpStream>) {
        let links = Arc::clone(self);
        if links.incoming.fetch_add(1, Ordering::SeqCst) >= INCOMING_MOST {
            links.incoming.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let read = move || {
            let ended = links.read(reader);
            links.incoming.fetch_sub(1, Ordering::SeqCst);
            tracing::debug!(?ended, "a link from a peer has ended");
        };
        if std::thread::Builder::new()
            .name("link".into())
            .stack_size(STACK)
            .spawn(read)
            .is_err()
        {
            self.incoming.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn read(&self, mut reader: BufReader<TcpStream>) -> io::Result<()> {
        reader.get_ref().set_read_timeout(Some(IDLE * 2))?;
        let most = cobs::max_encoding_length(SEALED_MOST) as u64 + 1;
        let mut framed = Vec::new();
        loop {
            framed.clear();
            (&mut reader).take(most).read_until(0, &mut framed)?;
            if framed.pop() != Some(0) {
                // The end, or a frame longer than any of ours.
                return Ok(());
            }
            let Ok(sealed) = cobs::decode_vec(&framed) else {
                return Err(ErrorKind::InvalidData.into());
            };
            self.take(&sealed);
        }
    }

    /// Frames that are not proven, came before, or are meant for another are dropped.
    fn take(&self, sealed: &[u8]) {
        let mut verifier = lock(&self.verifier);
        let (verifier, secret) = &mut *verifier;
        let Ok((from, addressed)) = verifier.verify_up_to(secret, sealed, SEALED_MOST) else {
            return;
        };
        let Kind::Topic(topic) = from.kind else {
            return;
        };
        let Some((to, said)) = addressed.split_first_chunk::<NAME_BYTES>() else {
            return;
        };
        if u32::from_le_bytes(*to) == self.own.0 && self.addresses.contains_key(&from.name) {
            let from = Process {
                name: from.name,
                start: from.process,
            };
            self.routes.tell(
                topic,
                Heard::Frame {
                    from,
                    said: said.to_vec(),
                },
            );
        }
    }
}

/// Writes frames until none has come for a while, or nobody is left to give one.
fn write(name: &str, address: SocketAddrV4, frames: &Receiver<Vec<u8>>) {
    let mut stream: Option<TcpStream> = None;
    let mut not_before = Instant::now();
    loop {
        let frame = match frames.recv_timeout(IDLE) {
            Ok(frame) => frame,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        };
        if stream.as_mut().is_some_and(ended) {
            stream = None;
        }
        if stream.is_none() {
            if Instant::now() < not_before {
                continue;
            }
            stream = open(name, address).ok();
        }
        let written = stream.as_mut().map(|s| s.write_all(&frame));
        if !matches!(written, Some(Ok(()))) {
            stream = None;
            not_before = Instant::now() + AGAIN;
        }
    }
}

fn open(name: &str, address: SocketAddrV4) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), CONNECT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE))?;
    writeln!(stream, "{WORD} 1 {name}")?;
    Ok(stream)
}

/// Whether the other side has closed; it never says anything.
fn ended(stream: &mut TcpStream) -> bool {
    let nonblocking = stream.set_nonblocking(true);
    let read = stream.read(&mut [0; 1]);
    let blocking = stream.set_nonblocking(false);
    let open = matches!(&read, Err(e) if e.kind() == ErrorKind::WouldBlock);
    nonblocking.is_err() || blocking.is_err() || !open
}
