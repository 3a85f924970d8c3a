//! What the core tells and is told; recorded.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::OverloadError;

/// `[cluster.overload]`; the table switches it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Tokens of prompts that a host of weight 1 reads in a second, and tokens of answers that one writes. First guesses: what
    /// hosts complete puts them right.
    pub read_tokens_per_s: f64,
    pub write_tokens_per_s: f64,
    /// Share of the shortest aim for a first token that work may wait at hosts.
    pub wait_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            read_tokens_per_s: 18_000.0,
            write_tokens_per_s: 3_200.0,
            wait_share: 0.2,
        }
    }
}

impl Settings {
    /// # Errors
    /// The first figure that cannot be used.
    pub fn check(&self) -> Result<(), OverloadError> {
        let rate = |v: f64| v.is_finite() && (1.0..=1e9).contains(&v);
        match self {
            s if !rate(s.read_tokens_per_s) || !rate(s.write_tokens_per_s) => {
                Err(OverloadError::Rate)
            }
            s if !(0.02..=1.0).contains(&s.wait_share) => Err(OverloadError::WaitShare),
            _ => Ok(()),
        }
    }
}

/// A figure in millionths, so that a record gives back what was there; what is no number, or below 0, is 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Millionths(u64);

impl Millionths {
    pub fn of(value: f64) -> Millionths {
        // A cast holds at its bounds.
        Millionths((value * 1e6).round() as u64)
    }

    pub fn get(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub(crate) fn raw(self) -> u64 {
        self.0
    }

    pub(crate) fn from_raw(raw: u64) -> Millionths {
        Millionths(raw)
    }
}

/// What the gate has seen of late as a [`crate::Word`] has it, but for the demand's order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// Work asked by level, a second.
    pub demand: Vec<Millionths>,
    pub taken: Millionths,
    pub completed: Millionths,
    pub backlog: Millionths,
    pub each: Millionths,
    pub waits: Millionths,
    pub hosts: Millionths,
    pub delay: Millionths,
    /// Work in 5 s.
    pub fresh: Millionths,
    pub repeats: Millionths,
    /// Requests since the last word, for the log.
    pub refused_count: u32,
    pub taken_count: u32,
    pub repeat_count: u32,
}

/// By the core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Several times a second.
    Seen(Seen),
    /// What a host answered to a probe that this dispatcher was told to send.
    Probed { host: u32, report: Vec<Millionths> },
    /// This dispatcher wants a host's report.
    Probe { host: u32 },
    /// A host failed here in a row; or answered after it had.
    Tried { host: u32, well: bool },
}

/// What all are to do together, until a time of the own clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cut {
    pub until: Duration,
    /// Requests below this rank are refused; 0 takes all.
    pub rank: Millionths,
    /// Work a second that the fleet does, and that of it which is left for returns.
    pub capacity: Millionths,
    pub free: Millionths,
    /// Work that this dispatcher may have waiting at hosts.
    pub room: Millionths,
    /// Fresh work that the fleet took in 5 s.
    pub fresh: Millionths,
    /// The share of what all may repeat that is this one's until `part_until`, beside its careful one.
    pub part: Millionths,
    pub part_until: Duration,
    /// Dispatchers that are there, this one among them.
    pub members: u32,
    /// Whether this one is with the majority.
    pub together: bool,
}

/// To the core. Times are of the process's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    Cut(Cut),
    /// A host that failed here may have so many attempts of this dispatcher out until then.
    Trial {
        host: u32,
        many: u32,
        until: Duration,
    },
    /// Ask this host, for all.
    Probe {
        host: u32,
    },
    /// What a host answered to whoever asked it.
    Report {
        host: u32,
        age: Duration,
        report: Vec<Millionths>,
    },
}
