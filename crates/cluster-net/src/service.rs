//! Runs services, which are state machines that exchange messages with their peers through the network runtime. Each service has an event loop on a thread of its own, which receives its inputs over a
//! bounded channel, and a second thread for its disk store.

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
use crate::routes::{Incoming, Routes};
use crate::runtime::now;

/// Capacity of the input queue of a service. When it is full, messages from peers are dropped and requests are rejected.
const INPUT_QUEUE_LEN: usize = 8 * 1024;
/// Capacity of the write queue of a disk store, in batches. When it is full, writes are rejected with an error.
const WRITE_QUEUE_LEN: usize = 1024;
/// Maximum number of queued batches that are added to a batch and become durable with it in one write.
const MAX_GROUPED_BATCHES: usize = 256;
/// Maximum wait of an event loop for an input.
const MAX_INPUT_WAIT: Duration = Duration::from_secs(1);

/// Entries to write: a name with its value, or with `None` to remove the entry.
pub type Batch = Vec<(Vec<u8>, Option<Vec<u8>>)>;

/// Durable storage of a service. Used by one thread.
pub trait Store: Send + 'static {
    /// Reads all stored entries.
    ///
    /// # Errors
    /// If the store cannot be read.
    fn load(&mut self) -> Result<StoredEntries, StorageError>;

    /// Makes a batch durable atomically.
    ///
    /// # Errors
    /// If the batch is not durable.
    fn put(&mut self, batch: Batch) -> Result<(), StorageError>;
}

/// Why a request is not accepted by a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    #[error("the input queue of the service is full")]
    Full,
    #[error("the event loop of the service has ended")]
    Ended,
}

impl RequestError {
    /// Advice for the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            RequestError::Full => {
                "give the process more CPU time, or send fewer requests; the service recovers by itself"
            }
            RequestError::Ended => "restart the process; its log says why the event loop ended",
        }
    }
}

/// Sends requests to a service, from any thread.
pub struct ServiceHandle<R>(Sender<ServiceInput<R>>);

impl<R> Clone for ServiceHandle<R> {
    fn clone(&self) -> Self {
        ServiceHandle(self.0.clone())
    }
}

impl<R> ServiceHandle<R> {
    /// Queues a request without blocking.
    ///
    /// # Errors
    /// If the queue is full or the service has ended.
    pub fn request(&self, request: R) -> Result<(), RequestError> {
        self.0
            .try_send(ServiceInput::Request(request))
            .map_err(|e| match e.is_full() {
                true => RequestError::Full,
                false => RequestError::Ended,
            })
    }
}

/// What services need of the runtime: the cluster member, sockets, clock and routes.
pub(crate) struct ServiceContext {
    pub cluster_member: Arc<Mutex<ClusterMember>>,
    pub socket: UdpSocket,
    pub links: Arc<Links>,
    pub clock: Clock,
    pub routes: Arc<Routes>,
}

/// Stops a service: sends it the leave input, and waits until its thread has ended.
pub(crate) type StopService = Box<dyn FnOnce() + Send>;

impl ServiceContext {
    /// Starts a service. `on_event` is called from the service's thread.
    pub(crate) fn start<B>(
        &self,
        service: B,
        store: Option<Box<dyn Store>>,
        on_event: impl FnMut(B::Event) + Send + 'static,
    ) -> std::io::Result<(ServiceHandle<B::Request>, StopService)>
    where
        B: ClusterService + Send + 'static,
        B::Request: Send + 'static,
        B::Event: 'static,
    {
        let (input_tx, inputs) = bounded(INPUT_QUEUE_LEN);
        let message_tx = input_tx.clone();
        let route = move |message: Incoming| {
            // A message that does not fit into the queue is lost, as a datagram may be. Senders repeat messages that must arrive.
            let _ = message_tx.try_send(match message {
                Incoming::Datagram { from, payload } => ServiceInput::Datagram { from, payload },
                Incoming::Frame { from, payload } => ServiceInput::Frame { from, payload },
                Incoming::Peers(peers) => ServiceInput::Peers(peers),
            });
        };
        self.routes.add(B::TOPIC, Box::new(route));
        let disk = store
            .map(|store| start_disk(store, input_tx.clone()))
            .transpose()?;
        let event_loop = Loop {
            service,
            on_event: Box::new(on_event),
            inputs,
            disk,
            cluster_member: Arc::clone(&self.cluster_member),
            socket: self.socket.try_clone()?,
            links: Arc::clone(&self.links),
            clock: self.clock,
        };
        let thread = std::thread::Builder::new().name(format!("{:?}", B::TOPIC).to_lowercase());
        let thread: JoinHandle<()> = thread.spawn(move || event_loop.run())?;
        let leave_tx = input_tx.clone();
        let stop = move || {
            let _ = leave_tx.send(ServiceInput::Leave);
            let _ = thread.join();
        };
        Ok((ServiceHandle(input_tx), Box::new(stop)))
    }
}

/// A batch of writes, with the ticket of each write.
struct PendingBatch {
    tickets: Vec<u64>,
    batch: Batch,
}

/// Starts the thread of a service's disk store. It loads the stored entries, then makes batches durable; batches that wait in
/// the queue become durable together.
fn start_disk<R: Send + 'static>(
    mut store: Box<dyn Store>,
    input_tx: Sender<ServiceInput<R>>,
) -> std::io::Result<Sender<PendingBatch>> {
    let (batch_tx, batches) = bounded::<PendingBatch>(WRITE_QUEUE_LEN);
    let run = move || {
        if input_tx.send(ServiceInput::Loaded(store.load())).is_err() {
            return;
        }
        while let Ok(first) = batches.recv() {
            let mut tickets = first.tickets;
            let mut batch = first.batch;
            for more in batches.try_iter().take(MAX_GROUPED_BATCHES) {
                tickets.extend(more.tickets);
                batch.extend(more.batch);
            }
            let result = store.put(batch);
            for ticket in tickets {
                if input_tx
                    .send(ServiceInput::Persisted {
                        ticket,
                        done: result.clone(),
                    })
                    .is_err()
                {
                    return;
                }
            }
        }
    };
    std::thread::Builder::new().name("disk".into()).spawn(run)?;
    Ok(batch_tx)
}

struct Loop<B: ClusterService> {
    service: B,
    on_event: Box<dyn FnMut(B::Event) + Send>,
    inputs: Receiver<ServiceInput<B::Request>>,
    disk: Option<Sender<PendingBatch>>,
    cluster_member: Arc<Mutex<ClusterMember>>,
    socket: UdpSocket,
    links: Arc<Links>,
    clock: Clock,
}

impl<B: ClusterService> Loop<B> {
    fn run(mut self) {
        let mut out = Vec::new();
        loop {
            let wait = self
                .service
                .wake_at()
                .map(|at| at.saturating_sub(now(&self.clock)));
            let input = match self
                .inputs
                .recv_timeout(wait.unwrap_or(MAX_INPUT_WAIT).min(MAX_INPUT_WAIT))
            {
                Ok(input) => input,
                Err(RecvTimeoutError::Timeout) => ServiceInput::Wake,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let last = matches!(input, ServiceInput::Leave);
            self.service.step(now(&self.clock), input, &mut out);
            // While inputs arrive without a gap, the receive never times out, so that a due timer is checked after each input.
            if !last
                && self
                    .service
                    .wake_at()
                    .is_some_and(|at| at <= now(&self.clock))
            {
                self.service
                    .step(now(&self.clock), ServiceInput::Wake, &mut out);
            }
            self.apply_outputs(&mut out);
            if last {
                return;
            }
        }
    }

    fn apply_outputs(&mut self, out: &mut Vec<ServiceOutput<B::Event>>) {
        let mut writes = PendingBatch {
            tickets: vec![],
            batch: vec![],
        };
        for output in out.drain(..) {
            match output {
                ServiceOutput::SendDatagram(to, payload) => {
                    let datagrams = lock(&self.cluster_member).sign_message(B::TOPIC, to, &payload);
                    // A datagram that cannot be sent counts as lost.
                    datagrams.into_iter().for_each(|datagram| {
                        drop(self.socket.send_to(&datagram.bytes, datagram.to))
                    });
                }
                ServiceOutput::SendFrame(to, payload) => self.links.send(B::TOPIC, to, &payload),
                ServiceOutput::Event(event) => (self.on_event)(event),
                ServiceOutput::Persist {
                    ticket,
                    name,
                    bytes,
                } => {
                    writes.tickets.push(ticket);
                    writes.batch.push((name, bytes));
                }
                ServiceOutput::Log { warn: true, text } => {
                    tracing::warn!(topic = ?B::TOPIC, "{text}")
                }
                ServiceOutput::Log { warn: false, text } => {
                    tracing::info!(topic = ?B::TOPIC, "{text}")
                }
            }
        }
        if !writes.tickets.is_empty() {
            self.queue_write(writes);
        }
    }

    fn queue_write(&mut self, writes: PendingBatch) {
        let tickets = writes.tickets.clone();
        let error = match &self.disk {
            None => StorageError::NoDisk,
            Some(batch_tx) => match batch_tx.try_send(writes) {
                Ok(()) => return,
                Err(_) => StorageError::Io("the write queue of the disk is full".to_string()),
            },
        };
        let mut out = Vec::new();
        for ticket in tickets {
            let done = Err(error.clone());
            self.service.step(
                now(&self.clock),
                ServiceInput::Persisted { ticket, done },
                &mut out,
            );
        }
        // Writes that the service requests in response to a rejected write are dropped: they would be rejected too.
        out.retain(|output| !matches!(output, ServiceOutput::Persist { .. }));
        self.apply_outputs(&mut out);
    }
}
