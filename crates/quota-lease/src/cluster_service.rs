//! The interface of a state machine that decides something with its peers, on a loop of its own: its inputs and outputs.
//!
//! The same machine runs in service, in tests and in simulated time.

use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState, Topic};

use crate::{Process, QuotaLease, StorageError, StoredEntries};

/// Longest frame that a link carries, bytes.
pub const MAX_FRAME: usize = 64 * 1024;

/// Which members are present, as far as this process knows, and what quota it may use. Times are by its own clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// How much of the roster is present.
    pub quorum: QuorumState,
    /// Members of the roster that are present, in order, without this one.
    pub present: Vec<NameKey>,
    /// After this time nothing of this holds any more.
    pub valid_until: Duration,
    /// The leased part of the shared quotas, beside [`crate::unleased_quota`] of the roster. It expires on its own.
    pub lease: QuotaLease,
}

/// An input of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceInput<Request> {
    /// Time has passed.
    Wake,
    /// A datagram of the service's topic: authenticated, not seen before, and sent by the latest start under its name.
    /// Datagrams may be late or lost.
    Datagram {
        /// Who sent it.
        from: Process,
        /// What it holds.
        payload: Vec<u8>,
    },
    /// A frame over a link, authenticated likewise. What was sent just before a link broke may be lost.
    Frame {
        /// Who sent it.
        from: Process,
        /// What it holds.
        payload: Vec<u8>,
    },
    /// The state of the cluster, several times a second.
    Peers(Peers),
    /// A request of the dispatcher's core.
    Request(Request),
    /// What was on disk at the start, complete, or why it cannot be read. The first input, where there is a disk.
    Loaded(Result<StoredEntries, StorageError>),
    /// Answers [`ServiceOutput::Persist`].
    Persisted {
        /// The ticket of the request.
        ticket: u64,
        /// Whether it is on disk.
        done: Result<(), StorageError>,
    },
    /// The process shuts down gracefully; the last input.
    Leave,
}

/// An output of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceOutput<Event> {
    /// A datagram of at most [`bitternlatch_membership::MAX_PAYLOAD`] bytes to a member of the roster.
    SendDatagram(NameKey, Vec<u8>),
    /// A frame of at most [`MAX_FRAME`] bytes over the link to a member of the roster, which is opened on demand. Frames
    /// arrive in order and once while the link lasts. A frame is lost where the link breaks or its queue is full, so what
    /// must arrive is sent until it is answered.
    SendFrame(NameKey, Vec<u8>),
    /// An event for the dispatcher's core, which takes it as a recorded input.
    Event(Event),
    /// Writes a value to disk under a name, or removes it where there is none; answered by [`ServiceInput::Persisted`].
    /// All that one step persists becomes durable together or not at all.
    Persist {
        /// Identifies the answer.
        ticket: u64,
        /// The value's name.
        name: Vec<u8>,
        /// The value.
        bytes: Option<Vec<u8>>,
    },
    /// A line for the log.
    Log {
        /// Whether its level is warning, else info.
        warn: bool,
        /// The line.
        text: String,
    },
}

/// A state machine that exchanges messages with its peers.
pub trait ClusterService {
    /// Marks its datagrams and frames.
    const TOPIC: Topic;
    /// What the dispatcher's core requests of it.
    type Request;
    /// What it reports to the dispatcher's core.
    type Event;

    /// When [`ServiceInput::Wake`] is due at the latest, by the process's clock.
    fn wake_at(&self) -> Option<Duration>;

    /// Takes one input at a time of the process's clock, and appends outputs in order.
    fn step(
        &mut self,
        now: Duration,
        input: ServiceInput<Self::Request>,
        out: &mut Vec<ServiceOutput<Self::Event>>,
    );
}
