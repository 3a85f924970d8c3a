//! Runs a machine beside the plane: a loop on a thread of its own, reached through a bounded channel, and a thread for its disk.

use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use bitternlatch_net::clock::Clock;
use bitternlatch_net::lock;
use bitternlatch_quota_lease::{Beside, Found, Given, KeepError, Together, Wanted};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};

use crate::links::Links;
use crate::plane::now;
use crate::routes::{Heard, Routes};

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
    fn load(&mut self) -> Result<Found, KeepError>;

    /// Makes a batch durable, whole or not at all.
    ///
    /// # Errors
    /// Where it is not.
    fn put(&mut self, batch: Batch) -> Result<(), KeepError>;
}

/// Why a question does not reach a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AskError {
    #[error("too many inputs wait for it")]
    Full,
    #[error("its loop has ended")]
    Ended,
}

impl AskError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            AskError::Full => {
                "give the process more of a core, or its callers fewer requests; it goes on by itself"
            }
            AskError::Ended => "start the process again; its log says why the loop ended",
        }
    }
}

/// Asks a machine, from any thread.
pub struct Asker<A>(Sender<Given<A>>);

impl<A> Clone for Asker<A> {
    fn clone(&self) -> Self {
        Asker(self.0.clone())
    }
}

impl<A> Asker<A> {
    /// Puts a question; never waits.
    ///
    /// # Errors
    /// Where it is not taken.
    pub fn ask(&self, ask: A) -> Result<(), AskError> {
        self.0
            .try_send(Given::Ask(ask))
            .map_err(|e| match e.is_full() {
                true => AskError::Full,
                false => AskError::Ended,
            })
    }
}

/// What runs machines: the plane's sockets, clock and routes.
pub(crate) struct Ground {
    pub whole: Arc<Mutex<Together>>,
    pub socket: UdpSocket,
    pub links: Arc<Links>,
    pub clock: Clock,
    pub routes: Arc<Routes>,
}

/// Ends a machine's loop: tells it to leave, and waits for it.
pub(crate) type End = Box<dyn FnOnce() + Send>;

impl Ground {
    /// Starts a machine; `told` is called from its thread.
    pub(crate) fn start<B>(
        &self,
        machine: B,
        store: Option<Box<dyn Store>>,
        told: impl FnMut(B::Told) + Send + 'static,
    ) -> std::io::Result<(Asker<B::Ask>, End)>
    where
        B: Beside + Send + 'static,
        B::Ask: Send + 'static,
        B::Told: 'static,
    {
        let (to, given) = bounded(INPUTS);
        let ears = to.clone();
        let route = move |heard: Heard| {
            // What does not fit is lost, as a datagram may be; what must arrive is sent again.
            let _ = ears.try_send(match heard {
                Heard::Said { from, said } => Given::Said { from, said },
                Heard::Frame { from, said } => Given::Frame { from, said },
                Heard::Peers(peers) => Given::Peers(peers),
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
            let _ = leave.send(Given::Leave);
            let _ = thread.join();
        };
        Ok((Asker(to), Box::new(end)))
    }
}

struct Ticketed {
    tickets: Vec<u64>,
    batch: Batch,
}

/// The thread of a machine's disk: gives what is there, then makes batches durable, several at once where several wait.
fn disk<A: Send + 'static>(
    mut store: Box<dyn Store>,
    to: Sender<Given<A>>,
) -> std::io::Result<Sender<Ticketed>> {
    let (wanted, batches) = bounded::<Ticketed>(BATCHES);
    let run = move || {
        if to.send(Given::Found(store.load())).is_err() {
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
                    .send(Given::Kept {
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

struct Loop<B: Beside> {
    machine: B,
    told: Box<dyn FnMut(B::Told) + Send>,
    given: Receiver<Given<B::Ask>>,
    disk: Option<Sender<Ticketed>>,
    whole: Arc<Mutex<Together>>,
    socket: UdpSocket,
    links: Arc<Links>,
    clock: Clock,
}

impl<B: Beside> Loop<B> {
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
                Err(RecvTimeoutError::Timeout) => Given::Wake,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let last = matches!(given, Given::Leave);
            self.machine.step(now(&self.clock), given, &mut out);
            // Inputs may come so densely that nothing else wakes it.
            if !last
                && self
                    .machine
                    .wake_at()
                    .is_some_and(|at| at <= now(&self.clock))
            {
                self.machine.step(now(&self.clock), Given::Wake, &mut out);
            }
            self.carry(&mut out);
            if last {
                return;
            }
        }
    }

    fn carry(&mut self, out: &mut Vec<Wanted<B::Told>>) {
        let mut kept = Ticketed {
            tickets: vec![],
            batch: vec![],
        };
        for wanted in out.drain(..) {
            match wanted {
                Wanted::Say(to, said) => {
                    let sealed = lock(&self.whole).say(B::TOPIC, to, &said);
                    // A datagram that cannot be sent is as good as lost.
                    sealed
                        .into_iter()
                        .for_each(|(at, bytes)| drop(self.socket.send_to(&bytes, at)));
                }
                Wanted::Send(to, said) => self.links.send(B::TOPIC, to, &said),
                Wanted::Tell(told) => (self.told)(told),
                Wanted::Keep {
                    ticket,
                    name,
                    bytes,
                } => {
                    kept.tickets.push(ticket);
                    kept.batch.push((name, bytes));
                }
                Wanted::Log { warn: true, text } => tracing::warn!(topic = ?B::TOPIC, "{text}"),
                Wanted::Log { warn: false, text } => tracing::info!(topic = ?B::TOPIC, "{text}"),
            }
        }
        if !kept.tickets.is_empty() {
            self.keep(kept);
        }
    }

    fn keep(&mut self, kept: Ticketed) {
        let tickets = kept.tickets.clone();
        let fault = match &self.disk {
            None => KeepError::NoDisk,
            Some(disk) => match disk.try_send(kept) {
                Ok(()) => return,
                Err(_) => KeepError::Io("too much waits for the disk".to_string()),
            },
        };
        let mut out = Vec::new();
        for ticket in tickets {
            let done = Err(fault.clone());
            self.machine
                .step(now(&self.clock), Given::Kept { ticket, done }, &mut out);
        }
        // What it wants kept in answer to that is its own affair: it would be refused likewise.
        out.retain(|wanted| !matches!(wanted, Wanted::Keep { .. }));
        self.carry(&mut out);
    }
}
