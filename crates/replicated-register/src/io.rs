//! Inputs and outputs of the machine. Times are of the process's own clock.

use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Peers, Process, StorageError, StoredEntries};

use crate::{RegisterError, RegisterKey, Version};

/// The caller's number for one call; never reused within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Settings, the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Replicas of a register; all members of the roster where it has fewer.
    pub replicas: usize,
    /// Whether there is a disk. Without one a replica lasts as long as its process.
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

/// What the machine is given.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The time alone.
    Wake,
    /// A frame of another member's replica; its sender is authenticated.
    Frame {
        /// Its sender.
        from: Process,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// The members that are reachable.
    Peers(Peers),
    /// All that was on disk at the start; the first input where there is a disk.
    Loaded(Result<StoredEntries, StorageError>),
    /// A write to disk has ended.
    Stored {
        /// Of [`Output::Store`].
        ticket: u64,
        /// Whether it is on disk.
        result: Result<(), StorageError>,
    },
    /// Reads a register. Answered by [`Output::Read`] at `deadline` at the latest.
    Read {
        /// The caller's number.
        call: CallId,
        /// The register.
        key: RegisterKey,
        /// The call's deadline.
        deadline: Duration,
    },
    /// Writes a register if the latest version that a majority holds is the expected one (compare-and-set). Answered by
    /// [`Output::Written`].
    Write {
        /// The caller's number.
        call: CallId,
        /// The register.
        key: RegisterKey,
        /// The expected version; none where there is no value yet.
        expected: Option<Version>,
        /// Epoch of the new version; not below the one of the value that it replaces.
        epoch: u64,
        /// The new value.
        value: Vec<u8>,
        /// The call's deadline.
        deadline: Duration,
    },
    /// Deletes a register at all replicas. Answered by [`Output::Written`] with the version of the tombstone.
    Delete {
        /// The caller's number.
        call: CallId,
        /// The register.
        key: RegisterKey,
        /// The expected version.
        expected: Version,
        /// The call's deadline.
        deadline: Duration,
    },
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a frame to another member's replica.
    Send(NameKey, Vec<u8>),
    /// Store a record, or remove it; answered by [`Input::Stored`]. Those of one step become durable together or not at all.
    Store {
        /// Number of the write.
        ticket: u64,
        /// Name of the record.
        name: Vec<u8>,
        /// Its content; none removes it.
        bytes: Option<Vec<u8>>,
    },
    /// Answers [`Input::Read`].
    Read {
        /// The caller's number.
        call: CallId,
        /// Version and value; none where there is no value.
        result: Result<Option<(Version, Vec<u8>)>, RegisterError>,
    },
    /// Answers [`Input::Write`] and [`Input::Delete`].
    Written {
        /// The caller's number.
        call: CallId,
        /// The version that was written.
        result: Result<Version, RegisterError>,
    },
    /// For the log.
    Event(Event),
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Event {
    /// The replica counts in majorities from now on.
    #[error("this replica has caught up: {registers} registers, {fetched} of them fetched")]
    CaughtUp {
        /// Registers that it holds.
        registers: usize,
        /// Registers that were fetched from other replicas.
        fetched: u64,
    },
    /// The disk holds an earlier state than this replica had.
    #[error(
        "{by:?} knows later writes of this replica than its own disk: the disk is an older one"
    )]
    OlderDisk {
        /// Member that knows it.
        by: NameKey,
    },
    /// The disk is empty, and this replica held something before.
    #[error("{by:?} knows an earlier incarnation of this replica, of which there is nothing here")]
    DiskErased {
        /// Member that knows it.
        by: NameKey,
    },
    /// The records on disk are not those that were written.
    #[error(
        "what is on disk of this replica is corrupt; it is fetched anew from the other replicas"
    )]
    DiskCorrupt,
    /// The disk cannot be read or written.
    #[error("this replica cannot store what it accepts: {0}")]
    DiskFault(StorageError),
    /// The disk can be written again.
    #[error("this replica stores what it accepts again")]
    DiskRecovered,
    /// Another member's replica has lost what it held.
    #[error("the replica at {0:?} has lost what it held")]
    ReplicaLost(NameKey),
    /// Registers are lost for good.
    #[error("a majority of the replicas of some registers has lost what it held")]
    MajorityLost,
    /// Another member uses another version of the protocol.
    #[error("{0:?} uses another version of the register protocol; its messages are dropped")]
    UnsupportedVersion(NameKey),
}

impl Event {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            Event::CaughtUp { .. } => "nothing: it counts in majorities from now on",
            Event::OlderDisk { .. } => {
                "nothing at once, it is fetched anew; find out who set the folder back, as two at a time lose registers"
            }
            Event::DiskErased { .. } => {
                "nothing at once, it is fetched anew; name a folder that outlives the process under 'kept', and restart \
                 one process at a time"
            }
            Event::DiskCorrupt => {
                "look at the disk; it is fetched anew, and two at a time lose registers"
            }
            Event::DiskFault(fault) => fault.advice(),
            Event::DiskRecovered => "nothing",
            Event::ReplicaLost(_) => "keep the others up until that one has caught up",
            Event::MajorityLost => {
                "start the lost replicas with the folders they had, if there are any; otherwise what those registers held \
                 has to be decided by a person, and they serve again after a day"
            }
            Event::UnsupportedVersion(_) => "bring all dispatchers to one version",
        }
    }

    /// Whether an operator should look.
    pub fn is_warning(&self) -> bool {
        !matches!(self, Event::CaughtUp { .. } | Event::DiskRecovered)
    }
}
