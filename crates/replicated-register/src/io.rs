//! Inputs and outputs of the state machine, its settings and its log events. All times are readings of the process's own clock.

use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Peers, Process, StorageError, StoredEntries};

use crate::{RegisterError, RegisterKey, Version};

/// Identifies one call. The caller allocates it and never reuses it within the lifetime of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Settings of a replica, which have to be the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of replicas of each register. If the roster has fewer members, each register has a replica at all of them.
    pub replicas: usize,
    /// Whether records are stored on disk. Without a disk the state of a replica ends with its process.
    pub durable: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            replicas: 3,
            durable: false,
        }
    }
}

/// An input of [`Replica::step`](crate::Replica::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Nothing but the passing of time.
    Wake,
    /// A frame from another member's replica. The caller has authenticated its sender.
    Frame {
        /// Process that sent the frame.
        from: Process,
        /// The encoded message that the frame carries.
        payload: Vec<u8>,
    },
    /// The members that are reachable, as reported by membership.
    Peers(Peers),
    /// All records that were on disk at the start. Has to be the first input if [`Settings::durable`] is set.
    Loaded(Result<StoredEntries, StorageError>),
    /// A write to disk has completed or failed.
    Stored {
        /// Ticket of the [`Output::Store`] that requested the write.
        ticket: u64,
        /// `Ok` if the write is durable.
        result: Result<(), StorageError>,
    },
    /// Reads a register. Answered by [`Output::Read`], at `deadline` at the latest.
    Read {
        /// Identifies the call.
        call: CallId,
        /// Key of the register.
        key: RegisterKey,
        /// Time by which the call is answered; it fails if it has not completed by then.
        deadline: Duration,
    },
    /// Writes a register if its latest version is the expected one (compare-and-set). Answered by [`Output::Written`], at
    /// `deadline` at the latest.
    Write {
        /// Identifies the call.
        call: CallId,
        /// Key of the register.
        key: RegisterKey,
        /// Version that the register is expected to have; `None` if it is expected to have no value.
        expected: Option<Version>,
        /// Epoch of the new version. The write fails if it is below the epoch of the version that it replaces.
        epoch: u64,
        /// Value to write.
        value: Vec<u8>,
        /// Time by which the call is answered; it fails if it has not completed by then.
        deadline: Duration,
    },
    /// Deletes a register if its latest version is the expected one. Answered by [`Output::Written`] with the version of the
    /// tombstone, at `deadline` at the latest.
    Delete {
        /// Identifies the call.
        call: CallId,
        /// Key of the register.
        key: RegisterKey,
        /// Version that the register is expected to have.
        expected: Version,
        /// Time by which the call is answered; it fails if it has not completed by then.
        deadline: Duration,
    },
}

/// An output of [`Replica::step`](crate::Replica::step), which the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this frame to the replica at another member.
    Send(NameKey, Vec<u8>),
    /// Store or remove a record on disk; to be answered by [`Input::Stored`]. The writes of one step have to become durable
    /// together or not at all.
    Store {
        /// Identifies the write.
        ticket: u64,
        /// Name of the record.
        name: Vec<u8>,
        /// Content of the record; `None` removes the record.
        bytes: Option<Vec<u8>>,
    },
    /// Answers [`Input::Read`].
    Read {
        /// Identifies the call.
        call: CallId,
        /// Version and value; `None` if the register has no value.
        result: Result<Option<(Version, Vec<u8>)>, RegisterError>,
    },
    /// Answers [`Input::Write`] and [`Input::Delete`].
    Written {
        /// Identifies the call.
        call: CallId,
        /// Version that the call wrote.
        result: Result<Version, RegisterError>,
    },
    /// An event to log.
    Event(Event),
}

/// An event that is logged for operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Event {
    /// This replica has caught up and counts toward majorities from now on.
    #[error("this replica has caught up: {registers} registers, {fetched} of them fetched")]
    CaughtUp {
        /// Number of registers that the replica holds.
        registers: usize,
        /// Number of changes to registers by state transfer from other replicas.
        fetched: u64,
    },
    /// The disk of this replica was set back: it lacks changes that the replica reported before.
    #[error("the disk of this replica holds an older state: {by:?} knows of later changes")]
    OlderDisk {
        /// Member that reported it.
        by: NameKey,
    },
    /// This replica started without stored state, but another member knows an earlier incarnation of it.
    #[error(
        "this replica started without stored state, but {by:?} knows an earlier incarnation of it"
    )]
    DiskErased {
        /// Member that reported it.
        by: NameKey,
    },
    /// Records on the disk of this replica are missing or corrupt.
    #[error(
        "the records of this replica on disk are corrupt; its state is fetched from the other replicas"
    )]
    DiskCorrupt,
    /// The disk of this replica cannot be read or written.
    #[error("this replica cannot store its state: {0}")]
    DiskFault(StorageError),
    /// A write to the disk of this replica has succeeded after a fault.
    #[error("this replica can store its state again")]
    DiskRecovered,
    /// The replica at this other member has lost its state.
    #[error("the replica at {0:?} has lost its state")]
    ReplicaLost(NameKey),
    /// Some registers cannot be recovered, as a majority of their replicas has lost its state.
    #[error("a majority of the replicas of some registers has lost its state")]
    MajorityLost,
    /// This other member uses an unsupported version of the register protocol.
    #[error(
        "{0:?} uses an unsupported version of the register protocol; its messages are dropped"
    )]
    UnsupportedVersion(NameKey),
}

impl Event {
    /// Advice for the operator that is logged with the event.
    pub fn advice(&self) -> &'static str {
        match self {
            Event::CaughtUp { .. } => "nothing: the replica counts toward majorities from now on",
            Event::OlderDisk { .. } => {
                "nothing urgent: the state is fetched from the other replicas; find out why the data folder was set back, as \
                 registers are lost if it happens at two members at a time"
            }
            Event::DiskErased { .. } => {
                "nothing urgent: the state is fetched from the other replicas; name a folder that outlives the process under \
                 'kept', and restart one process at a time"
            }
            Event::DiskCorrupt => {
                "check the disk; the state is fetched from the other replicas, and registers are lost if it happens at two \
                 members at a time"
            }
            Event::DiskFault(fault) => fault.advice(),
            Event::DiskRecovered => "nothing",
            Event::ReplicaLost(_) => "keep the other replicas running until that replica has caught up",
            Event::MajorityLost => {
                "start the lost replicas with their former data folders, if these still exist; otherwise determine by hand \
                 what those registers held; they can be used again after a day"
            }
            Event::UnsupportedVersion(_) => "run one version on all dispatchers",
        }
    }

    /// Whether the event is logged as a warning, because an operator should look at it.
    pub fn is_warning(&self) -> bool {
        !matches!(self, Event::CaughtUp { .. } | Event::DiskRecovered)
    }
}
