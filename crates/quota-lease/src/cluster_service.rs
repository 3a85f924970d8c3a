//! The interface of a state machine that exchanges messages with its peers: its inputs and outputs.
//!
//! Each service runs in an event loop of its own. The same code runs in production, in tests and in simulated time.

use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState, Topic};

use crate::{Process, QuotaLease, StorageError, StoredEntries};

/// Maximum length of a frame over a link, bytes.
pub const MAX_FRAME: usize = 64 * 1024;

/// The members that are present, as far as this process knows, and the quota that it may use. Times are by its own clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// The quorum state, that is how much of the roster is present.
    pub quorum: QuorumState,
    /// Members of the roster that are present, in ascending order, without this one.
    pub present: Vec<NameKey>,
    /// Time at which this information expires.
    pub valid_until: Duration,
    /// This member's lease of a fraction of all shared quotas, in addition to the fraction that each member may use without a
    /// lease ([`crate::unleased_quota`]). The lease expires at [`QuotaLease::until`], regardless of `valid_until`.
    pub lease: QuotaLease,
}

/// An input of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceInput<Request> {
    /// The time of [`ClusterService::wake_at`] has come.
    Wake,
    /// A datagram of the service's topic: authenticated, not a replay, and sent by the latest known start under its name.
    /// Datagrams may be late or lost.
    Datagram {
        /// Who sent it.
        from: Process,
        /// What it holds.
        payload: Vec<u8>,
    },
    /// A frame over a link, authenticated as datagrams are. Frames sent just before a link broke may be lost.
    Frame {
        /// Who sent it.
        from: Process,
        /// What it holds.
        payload: Vec<u8>,
    },
    /// The state of the cluster, several times a second.
    Peers(Peers),
    /// A request from the dispatcher's core.
    Request(Request),
    /// All entries that were stored on disk at the start, or why they cannot be read. The first input of a service with
    /// storage.
    Loaded(Result<StoredEntries, StorageError>),
    /// The result of a [`ServiceOutput::Persist`].
    Persisted {
        /// The ticket of the write.
        ticket: u64,
        /// Whether the entry is durable.
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
    /// A frame of at most [`MAX_FRAME`] bytes over the link to a member of the roster, which is opened on demand. While the
    /// link lasts, frames arrive in order and at most once. A frame is lost where the link breaks or its queue is full, so
    /// a message that must arrive is sent again until it is answered.
    SendFrame(NameKey, Vec<u8>),
    /// An event for the dispatcher's core, which records it as an input.
    Event(Event),
    /// Writes an entry to disk, or removes it where `bytes` is `None`. Answered by [`ServiceInput::Persisted`]. All writes of
    /// one step become durable together or not at all.
    Persist {
        /// Identifies the result.
        ticket: u64,
        /// The entry's name.
        name: Vec<u8>,
        /// The entry's value; `None` removes the entry.
        bytes: Option<Vec<u8>>,
    },
    /// Writes a line to the log.
    Log {
        /// Whether the level is warning; otherwise it is info.
        warn: bool,
        /// The line.
        text: String,
    },
}

/// A state machine that exchanges messages with its peers.
pub trait ClusterService {
    /// The topic of the service's datagrams and frames.
    const TOPIC: Topic;
    /// A request from the dispatcher's core to the service.
    type Request;
    /// An event from the service to the dispatcher's core.
    type Event;

    /// When [`ServiceInput::Wake`] is due at the latest, by the process's clock.
    fn wake_at(&self) -> Option<Duration>;

    /// Handles one input at the time `now` of the process's clock, and appends outputs in order.
    fn step(
        &mut self,
        now: Duration,
        input: ServiceInput<Self::Request>,
        out: &mut Vec<ServiceOutput<Self::Event>>,
    );
}
