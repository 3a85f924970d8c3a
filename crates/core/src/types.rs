//! Ids, the clock, and what goes into and comes out of the machine.

use bitternlatch_budget::charge::Entry;
use bitternlatch_budget::ledger::{Part, Want};
use bitternlatch_identity::Caller;
use bitternlatch_inventory::Host;
use bitternlatch_membership::Standing;
use bitternlatch_policy::interface::ServerId;
use bitternlatch_quota_lease::Hearsay;
use serde::{Deserialize, Serialize};

use crate::evidence::Seen;

/// Microseconds on a clock that never goes back; the programs start it at the Unix time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// As seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This time plus a span in seconds; a negative or unreadable span counts as 0.
    pub fn after(self, seconds: f64) -> Micros {
        Micros(self.0.saturating_add((seconds.max(0.0) * 1e6) as u64))
    }

    /// A clock time in seconds; rounded up, so that a timer never fires early.
    pub fn at(seconds: f64) -> Micros {
        Micros((seconds.max(0.0) * 1e6).ceil() as u64)
    }

    /// Seconds since an earlier time; 0 for a later one.
    pub fn since(self, earlier: Micros) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1e6
    }
}

/// One client connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// One connection to a host: a host's links are numbered, so that what an old one still says is told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LinkId {
    pub host: ServerId,
    pub epoch: u32,
}

/// What the machine is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The complete list of hosts that counts from now on.
    Hosts(Vec<Host>),
    SessionOpened {
        session: SessionId,
        /// Whose it is, where callers are known.
        #[serde(default)]
        caller: Option<Caller>,
    },
    /// A session's caller has given a new proof, which was checked.
    SessionRenewed {
        session: SessionId,
        caller: Caller,
    },
    /// A new proof did not count; the word for why.
    RenewalRefused {
        session: SessionId,
        code: String,
    },
    /// Keys and certificates that counted and do so no more.
    KeysWithdrawn(Vec<String>),
    /// How far the time by which proofs are judged is ahead of the machine's clock, which never jumps.
    ProofTime {
        ahead_us: i64,
    },
    /// The ledger's answer to a question for parts.
    Lent {
        number: u64,
        parts: Vec<Part>,
    },
    /// The rights that count from now on (TOML).
    Rights(String),
    SessionText {
        session: SessionId,
        text: String,
    },
    SessionClosed {
        session: SessionId,
    },
    /// A dialled link is up.
    LinkUp {
        link: LinkId,
    },
    /// A dialled link never came up.
    LinkFailed {
        link: LinkId,
        why: String,
    },
    LinkText {
        link: LinkId,
        text: String,
    },
    /// A link that was up has ended; what was told over it may have arrived.
    LinkClosed {
        link: LinkId,
        why: String,
    },
    /// A told message went stale before its first byte was written: it never arrived.
    LinkUnsent {
        link: LinkId,
        attempt: String,
    },
    /// What is known of the peers, the names of those that are there, and until when that counts.
    Standing {
        standing: Standing,
        there: Vec<String>,
        until: Micros,
    },
    /// Lent to this dispatcher of what all share, from 0 to 1, beside its careful part; and until when.
    Part {
        lent: f64,
        until: Micros,
    },
    /// What peers see of hosts, told at a time, and how many of them tell anything.
    Heard {
        at: Micros,
        of: u16,
        heard: Vec<Hearsay>,
    },
    /// By the machines beside the plane.
    Overload(bitternlatch_overload::Told),
    Lengths(bitternlatch_output_length::Told),
    Workflow(bitternlatch_workflow::Event),
    /// Whether the list of hosts cannot be read any more, or can again.
    ListLost(bool),
    /// The time alone.
    Tick,
    /// Take nothing new, answer what is in hand, then say [`Output::Stopped`].
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Level {
    Info,
    Warn,
    Error,
}

/// What the machine wants done, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// One text message to a client.
    Say {
        session: SessionId,
        text: String,
    },
    /// Close a session with a WebSocket close code once what was said has gone out.
    CloseSession {
        session: SessionId,
        code: u16,
        reason: String,
    },
    /// Connect to a host.
    Dial {
        link: LinkId,
        endpoint: String,
        /// Its listed name, to be proven where links are secured.
        #[serde(default)]
        name: String,
    },
    /// One text message to a host.
    Tell {
        link: LinkId,
        text: String,
        stale: Option<Stale>,
    },
    /// Close a link.
    Hang {
        link: LinkId,
    },
    /// A question for parts of tenants' rates.
    AskLedger {
        holder: u64,
        number: u64,
        tenants: Vec<Want>,
    },
    /// All that this dispatcher sees of hosts, for its peers.
    Seen(Vec<Seen>),
    /// To the machines beside the plane.
    Overload(bitternlatch_overload::Ask),
    Lengths(bitternlatch_output_length::Ask),
    Workflow(bitternlatch_workflow::Command),
    /// What a request was charged; before its final answer, and again when more is known.
    Charge(Entry),
    Log {
        level: Level,
        text: String,
    },
    /// Everything in hand is answered after [`Input::Stop`].
    Stopped,
}

/// When a message must no longer be written: it is handed back as [`Input::LinkUnsent`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stale {
    /// Longest wait before its first byte is written, seconds.
    pub after_s: f64,
    /// Wire id of the attempt.
    pub attempt: String,
}
