//! The form of a machine that decides something with its peers on a loop of its own, beside the plane: what goes in, what
//! comes out. The same machine runs in service, in tests and in simulated time.

use std::time::Duration;

use bitternlatch_membership::{NameKey, QuorumState, Topic};

use crate::{Process, QuotaLease};

/// Longest frame that a link carries, bytes.
pub const MAX_FRAME: usize = 64 * 1024;

/// Who is there, as far as this process knows, and what it may spend; all by its own clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    pub quorum: QuorumState,
    /// Those of the roster that are there, this one not among them, in order.
    pub present: Vec<NameKey>,
    /// Past it nothing of this is known any more.
    pub valid_until: Duration,
    /// Lent of what all share, beside [`crate::unleased_quota`] of the roster; checked at the act by its own end.
    pub lease: QuotaLease,
}

/// Why something is not on disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StorageError {
    #[error("the disk is full")]
    Full,
    #[error("what is kept cannot be written: {0}")]
    Io(String),
    #[error("there is no disk to keep it on")]
    NoDisk,
}

impl StorageError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            StorageError::Full => "free space on the disk that holds the kept files; it goes on by itself",
            StorageError::Io(_) => {
                "look at the disk and the rights of the kept files' folder, then start the process again"
            }
            StorageError::NoDisk => "name a file under 'kept' in the settings to let this survive a restart",
        }
    }
}

/// Names and bytes that were on disk.
pub type StoredEntries = Vec<(Vec<u8>, Vec<u8>)>;

/// What a machine is given.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceInput<A> {
    /// The time alone.
    Wake,
    /// A datagram of its topic: proven, once, and by the latest start under its name. It may be late, and others lost.
    Datagram { from: Process, payload: Vec<u8> },
    /// A frame over a link, proven likewise. What was sent just before a link broke may be lost.
    Frame { from: Process, payload: Vec<u8> },
    /// Passed several times a second.
    Peers(Peers),
    /// By the dispatcher's core.
    Request(A),
    /// What was on disk at the start, whole; or why it cannot be read. The first input, where there is a disk.
    Loaded(Result<StoredEntries, StorageError>),
    /// What was wanted kept under this ticket is on disk, or is not.
    Persisted {
        ticket: u64,
        done: Result<(), StorageError>,
    },
    /// The process ends in order; the last input.
    Leave,
}

/// What a machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceOutput<T> {
    /// A datagram of at most [`bitternlatch_membership::MAX_PAYLOAD`] bytes to one of the roster.
    SendDatagram(NameKey, Vec<u8>),
    /// A frame of at most [`MAX_FRAME`] bytes over the link to one of the roster, which is opened for it. In order and once while
    /// the link lasts; where it breaks or its queue is full the frame is lost, so what must arrive is sent until it is answered.
    SendFrame(NameKey, Vec<u8>),
    /// To the dispatcher's core, as a recorded input.
    Event(T),
    /// On disk, replacing what was under that name, or removed where there are no bytes; answered by [`ServiceInput::Persisted`]. Those of one
    /// step become durable together or not at all.
    Persist {
        ticket: u64,
        name: Vec<u8>,
        bytes: Option<Vec<u8>>,
    },
    /// For the log.
    Log { warn: bool, text: String },
}

/// A machine beside the plane.
pub trait ClusterService {
    /// Marks its datagrams and frames.
    const TOPIC: Topic;
    /// What the core tells it.
    type Request;
    /// What it tells the core.
    type Event;

    /// When it wants [`ServiceInput::Wake`], at the latest, by the process's clock.
    fn wake_at(&self) -> Option<Duration>;

    /// Takes one input at a clock time and appends what is to be done, in order.
    fn step(
        &mut self,
        now: Duration,
        given: ServiceInput<Self::Request>,
        out: &mut Vec<ServiceOutput<Self::Event>>,
    );
}
