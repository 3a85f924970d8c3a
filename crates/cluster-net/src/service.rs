//! Runs a machine beside the runtime: a loop on a thread of its own, reached through a bounded channel, and a thread for its disk.

use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use bitternlatch_net::clock::Clock;
use bitternlatch_net::lock;
use bitternlatch_quota_lease::{
    ClusterMember, ClusterService, ServiceInput, ServiceOutput, StorageError, StoredEntries,
};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};

use crate::links::Links;
use crate::routes::{Heard, Routes};
use crate::runtime::now;

/// Inputs that may wait for a machine: what peers say past it is lost, as in a full socket, and the core is told so.
const INPUTS: usize = 8 * 1024;
/// Batches that may wait for the disk; past it they are not kept, and the machine is told so.
const BATCHES: usize = 1024;
/// Batches that become durable together.
const TOGETHER: usize = 256;
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Names and bytes, or none to remove a name.
pub type Batch = Vec<(Vec<u8>, Option<Vec<u8>>)>;

/// Where a machine keeps what must outlive its process. Used by one thread.
pub trait Store: Send + 'static {
    /// All that is kept.
    ///
    /// # Errors
    /// Where it cannot be read.
    fn load(&mut self) -> Result<StoredEntries, StorageError>;

    /// Makes a batch durable, whole or not at all.
    ///
    /// # Errors
    /// Where it is not.
    fn put(&mut self, batch: Batch) -> Result<(), StorageError>;
}

/// Why a question does not reach a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    #[error("too many inputs wait for it")]
    Full,
    #[error("its loop has ended")]
    Ended,
}

impl RequestError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            RequestError::Full => {
                "give the process more of a core, or its callers fewer requests; it goes on by itself"
            }
            RequestError::Ended => "start the process again; its log says why the loop ended",
        }
    }
}

/// Asks a machine, from any thread.
pub struct ServiceHandle<A>(Sender<ServiceInput<A>>);

impl<A> Clone for ServiceHandle<A> {
    fn clone(&self) -> Self {
        ServiceHandle(self.0.clone())
    }
}

impl<A> ServiceHandle<A> {
    /// Puts a question; never waits.
    ///
    /// # Errors
    /// Where it is not taken.
    pub fn request(&self, request: A) -> Result<(), RequestError> {
        self.0
            .try_send(ServiceInput::Request(request))
            .map_err(|e| match e.is_full() {
                true => RequestError::Full,
                false => RequestError::Ended,
            })
    }
}

/// What runs machines: the runtime's sockets, clock and routes.
pub(crate) struct ServiceContext {
    pub whole: Arc<Mutex<ClusterMember>>,
    pub socket: UdpSocket,
    pub links: Arc<Links>,
    pub clock: Clock,
    pub routes: Arc<Routes>,
}

/// Ends a machine's loop: tells it to leave, and waits for it.
pub(crate) type End = Box<dyn FnOnce() + Send>;

impl ServiceContext {
    /// Starts a machine; `told` is called from its thread.
    pub(crate) fn start<B>(
        &self,
        machine: B,
        store: Option<Box<dyn Store>>,
        told: impl FnMut(B::Event) + Send + 'static,
    ) -> std::io::Result<(ServiceHandle<B::Request>, End)>
    where
        B: ClusterService + Send + 'static,
        B::Request: Send + 'static,
        B::Event: 'static,
    {
        let (to, given) = bounded(INPUTS);
        let ears = to.clone();
        let route = move |heard: Heard| {
            // What does not fit is lost, as a datagram may be; what must arrive is sent again.
            let _ = ears.try_send(match heard {
                Heard::Said { from, said } => ServiceInput::Datagram {
                    from,
                    payload: said,
                },
                Heard::Frame { from, said } => ServiceInput::Frame {
                    from,
                    payload: said,
                },
                Heard::Peers(peers) => ServiceInput::Peers(peers),
            });
        };
        self.routes.add(B::TOPIC, Box::new(route));
        let disk = store.map(|store| disk(store, to.clone())).transpose()?;
        let run = Loop {
            machine,
            told: Box::new(told),
            given,
            disk,
            whole: Arc::clone(&self.whole),
            socket: self.socket.try_clone()?,
            links: Arc::clone(&self.links),
            clock: self.clock,
        };
        let thread = std::thread::Builder::new().name(format!("{:?}", B::TOPIC).to_lowercase());
        let thread: JoinHandle<()> = thread.spawn(move || run.run())?;
        let leave = to.clone();
        let end = move || {
            let _ = leave.send(ServiceInput::Leave);
            let _ = thread.join();
        };
        Ok((ServiceHandle(to), Box::new(end)))
    }
}

struct Ticketed {
    tickets: Vec<u64>,
    batch: Batch,
}

/// The thread of a machine's disk: gives what is there, then makes batches durable, several at once where several wait.
fn disk<A: Send + 'static>(
    mut store: Box<dyn Store>,
    to: Sender<ServiceInput<A>>,
) -> std::io::Result<Sender<Ticketed>> {
    let (wanted, batches) = bounded::<Ticketed>(BATCHES);
    let run = move || {
        if to.send(ServiceInput::Loaded(store.load())).is_err() {
            return;
        }
        while let Ok(first) = batches.recv() {
            let mut tickets = first.tickets;
            let mut batch = first.batch;
            for more in batches.try_iter().take(TOGETHER) {
                tickets.extend(more.tickets);
                batch.extend(more.batch);
            }
            let done = store.put(batch);
            for ticket in tickets {
                if to
                    .send(ServiceInput::Persisted {
                        ticket,
                        done: done.clone(),
                    })
                    .is_err()
                {
                    return;
                }
            }
        }
    };
    std::thread::Builder::new().name("disk".into()).spawn(run)?;
    Ok(wanted)
}

struct Loop<B: ClusterService> {
    machine: B,
    told: Box<dyn FnMut(B::Event) + Send>,
    given: Receiver<ServiceInput<B::Request>>,
    disk: Option<Sender<Ticketed>>,
    whole: Arc<Mutex<ClusterMember>>,
    socket: UdpSocket,
    links: Arc<Links>,
    clock: Clock,
}

impl<B: ClusterService> Loop<B> {
    fn run(mut self) {
        let mut out = Vec::new();
        loop {
            let wait = self
                .machine
                .wake_at()
                .map(|at| at.saturating_sub(now(&self.clock)));
            let given = match self
                .given
                .recv_timeout(wait.unwrap_or(LOOK_EVERY).min(LOOK_EVERY))
            {
                Ok(given) => given,
                Err(RecvTimeoutError::Timeout) => ServiceInput::Wake,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let last = matches!(given, ServiceInput::Leave);
            self.machine.step(now(&self.clock), given, &mut out);
            // Inputs may come so densely that nothing else wakes it.
            if !last
                && self
                    .machine
                    .wake_at()
                    .is_some_and(|at| at <= now(&self.clock))
            {
                self.machine
                    .step(now(&self.clock), ServiceInput::Wake, &mut out);
            }
            self.carry(&mut out);
            if last {
                return;
            }
        }
    }

    fn carry(&mut self, out: &mut Vec<ServiceOutput<B::Event>>) {
        let mut kept = Ticketed {
            tickets: vec![],
            batch: vec![],
        };
        for wanted in out.drain(..) {
            match wanted {
                ServiceOutput::SendDatagram(to, said) => {
                    let sealed = lock(&self.whole).sign_message(B::TOPIC, to, &said);
                    // A datagram that cannot be sent is as good as lost.
                    sealed.into_iter().for_each(|datagram| {
                        drop(self.socket.send_to(&datagram.bytes, datagram.to))
                    });
                }
                ServiceOutput::SendFrame(to, said) => self.links.send(B::TOPIC, to, &said),
                ServiceOutput::Event(told) => (self.told)(told),
                ServiceOutput::Persist {
                    ticket,
                    name,
                    bytes,
                } => {
                    kept.tickets.push(ticket);
                    kept.batch.push((name, bytes));
                }
                ServiceOutput::Log { warn: true, text } => {
                    tracing::warn!(topic = ?B::TOPIC, "{text}")
                }
                ServiceOutput::Log { warn: false, text } => {
                    tracing::info!(topic = ?B::TOPIC, "{text}")
                }
            }
        }
        if !kept.tickets.is_empty() {
            self.keep(kept);
        }
    }

    fn keep(&mut self, kept: Ticketed) {
        let tickets = kept.tickets.clone();
        let fault = match &self.disk {
            None => StorageError::NoDisk,
            Some(disk) => match disk.try_send(kept) {
                Ok(()) => return,
                Err(_) => StorageError::Io("too much waits for the disk".to_string()),
            },
        };
        let mut out = Vec::new();
        for ticket in tickets {
            let done = Err(fault.clone());
            self.machine.step(
                now(&self.clock),
                ServiceInput::Persisted { ticket, done },
                &mut out,
            );
        }
        // What it wants kept in answer to that is its own affair: it would be refused likewise.
        out.retain(|wanted| !matches!(wanted, ServiceOutput::Persist { .. }));
        self.carry(&mut out);
    }
}
