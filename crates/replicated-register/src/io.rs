//! What goes in and what comes out. Times are of the process's own clock.

use std::time::Duration;

use bitternlatch_membership::NameKey;
use bitternlatch_quota_lease::{Found, KeepError, Peers, Process};

use crate::{RegisterError, RegisterKey, Version};

/// The caller's number for one question; never reused within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Copies of a register; more than the roster has are as many as it has.
    pub replicas: usize,
    /// Whether there is a disk. Without one a copy lasts as long as its process.
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

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The time alone.
    Wake,
    /// A frame of another one's replica, proven.
    Frame {
        from: Process,
        payload: Vec<u8>,
    },
    Peers(Peers),
    /// What was on disk at the start, whole; the first input where there is a disk.
    Loaded(Result<Found, KeepError>),
    Stored {
        ticket: u64,
        done: Result<(), KeepError>,
    },
    /// What the register holds. Answered by [`Output::Read`] at `until` at the latest.
    Read {
        call: Call,
        key: RegisterKey,
        until: Duration,
    },
    /// Written only if the latest value that a majority knows is `expected` (`None`: nothing yet); a compare-and-set.
    /// Answered by [`Output::Written`].
    Write {
        call: Call,
        key: RegisterKey,
        expected: Option<Version>,
        epoch: u64,
        value: Vec<u8>,
        until: Duration,
    },
    /// Lets go of a register on all copies. Answered by [`Output::Written`], with the version of the gap.
    Delete {
        call: Call,
        key: RegisterKey,
        expected: Version,
        until: Duration,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A frame to the replica of another one.
    Send(NameKey, Vec<u8>),
    /// On disk under that name, or removed from it; answered by [`Input::Stored`]. Those of one step together or not at all.
    Store {
        ticket: u64,
        name: Vec<u8>,
        bytes: Option<Vec<u8>>,
    },
    Read {
        call: Call,
        found: Result<Option<(Version, Vec<u8>)>, RegisterError>,
    },
    Written {
        call: Call,
        done: Result<Version, RegisterError>,
    },
    Event(Event),
}

/// For the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Event {
    #[error("this copy has caught up: {registers} registers, {fetched} of them fetched")]
    CaughtUp { registers: usize, fetched: u64 },
    #[error("{by:?} knows later writes of this copy than its own disk: the disk is an older one")]
    OlderDisk { by: NameKey },
    #[error("{by:?} knows an earlier life of this copy, of which there is nothing here")]
    DiskErased { by: NameKey },
    #[error("what is on disk of this copy is torn; it is fetched anew from the other copies")]
    DiskCorrupt,
    #[error("this copy cannot keep what it is told: {0}")]
    DiskFault(KeepError),
    #[error("this copy keeps what it is told again")]
    DiskRecovered,
    #[error("the copy at {0:?} has lost what it held")]
    ReplicaLost(NameKey),
    #[error("a majority of the copies of some registers has lost what it held")]
    MajorityLost,
    #[error("{0:?} speaks another version about registers; its words are dropped")]
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
            Event::DiskCorrupt => "look at the disk; it is fetched anew, and two at a time lose registers",
            Event::DiskFault(fault) => fault.advice(),
            Event::DiskRecovered => "nothing",
            Event::ReplicaLost(_) => "keep the others up until that one has caught up",
            Event::MajorityLost => {
                "start the lost copies with the folders they had, if there are any; otherwise what those registers held \
                 has to be decided by a person, and they serve again after a day"
            }
            Event::UnsupportedVersion(_) => "bring all dispatchers to one version",
        }
    }

    /// Whether an operator should look.
    pub fn warn(&self) -> bool {
        !matches!(self, Event::CaughtUp { .. } | Event::DiskRecovered)
    }
}
