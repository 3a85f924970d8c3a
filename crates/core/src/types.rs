//! Ids, clock time, and the inputs and outputs of the [`Machine`](crate::Machine).

use bitternlatch_budget::charge::Entry;
use bitternlatch_budget::ledger::{LeaseGrant, LeaseRequest};
use bitternlatch_identity::Caller;
use bitternlatch_inventory::ModelServer;
use bitternlatch_membership::QuorumState;
use bitternlatch_policy::interface::ServerId;
use bitternlatch_quota_lease::PeerReport;
use serde::{Deserialize, Serialize};

use crate::observations::ServerObservation;

/// A time on a monotonic clock, microseconds; programs start the clock at the current Unix time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// This time in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This time plus a span in seconds; a negative or NaN span counts as 0.
    pub fn after(self, seconds: f64) -> Micros {
        Micros(self.0.saturating_add((seconds.max(0.0) * 1e6) as u64))
    }

    /// Converts a clock time in seconds, rounding up so that a timer never fires early.
    pub fn from_seconds(seconds: f64) -> Micros {
        Micros((seconds.max(0.0) * 1e6).ceil() as u64)
    }

    /// Seconds from `earlier` to this time; 0 if `earlier` is later.
    pub fn since(self, earlier: Micros) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1e6
    }
}

/// Id of one client connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// Id of one connection to a model server. The connections of a server are numbered, so that a late message from an
/// earlier one is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LinkId {
    /// The server that the link leads to.
    #[serde(rename = "host")]
    pub server: ServerId,
    /// Number of the connection to this server, from 1.
    pub epoch: u32,
}

/// One event for the machine. The serialized names are those of the record's format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The complete list of model servers, which replaces the previous one.
    #[serde(rename = "Hosts")]
    ServerList(Vec<ModelServer>),
    /// A client connected.
    SessionOpened {
        /// Id of the new session.
        session: SessionId,
        /// The authenticated caller, where callers are known.
        #[serde(default)]
        caller: Option<Caller>,
    },
    /// A session's caller presented a new credential, which was verified.
    SessionRenewed {
        /// The session that the credential was presented in.
        session: SessionId,
        /// The caller with the new expiry time.
        caller: Caller,
    },
    /// A session's new credential was rejected.
    #[serde(rename = "RenewalRefused")]
    RenewalRejected {
        /// The session that the credential was presented in.
        session: SessionId,
        /// Reason as a code for the client.
        code: String,
    },
    /// Ids of signing keys and certificates that were valid and are revoked.
    #[serde(rename = "KeysWithdrawn")]
    CredentialsRevoked(Vec<String>),
    /// How far the wall clock by which credentials expire is ahead of the machine's monotonic clock.
    #[serde(rename = "ProofTime")]
    CredentialClockOffset {
        /// Microseconds by which the wall clock is ahead; negative if it is behind.
        ahead_us: i64,
    },
    /// The quota server's response to [`Output::RequestBudgetLeases`].
    #[serde(rename = "Lent")]
    BudgetLeases {
        /// Number of the [`Output::RequestBudgetLeases`] that this response answers.
        number: u64,
        /// The leases granted; a tenant without one in the list is granted nothing now.
        #[serde(rename = "parts")]
        leases: Vec<LeaseGrant>,
    },
    /// The access rights (TOML), which replace the previous ones.
    Rights(String),
    /// A text message of a client.
    SessionText {
        /// The session that the message came over.
        session: SessionId,
        /// The message.
        text: String,
    },
    /// A client disconnected.
    SessionClosed {
        /// The session that ended.
        session: SessionId,
    },
    /// A requested connection is established.
    LinkUp {
        /// The connection to the model server.
        link: LinkId,
    },
    /// A requested connection could not be established.
    LinkFailed {
        /// The connection to the model server.
        link: LinkId,
        /// Cause, for logs.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A text message of a model server.
    LinkText {
        /// The connection that the message came over.
        link: LinkId,
        /// The message.
        text: String,
    },
    /// An established connection ended; messages sent over it may have arrived.
    LinkClosed {
        /// The connection to the model server.
        link: LinkId,
        /// Cause, for logs.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A message passed its [`SendDeadline`] before its first byte was written, so the server never received it.
    LinkUnsent {
        /// The connection that the message was for.
        link: LinkId,
        /// Wire id of the attempt that the message belongs to.
        attempt: String,
    },
    /// The state of the cluster's quorum as membership sees it.
    #[serde(rename = "Standing")]
    QuorumState {
        /// The state.
        #[serde(rename = "standing")]
        state: QuorumState,
        /// Names of the peers that are reachable.
        #[serde(rename = "there")]
        present: Vec<String>,
        /// When the state expires unless it is renewed.
        until: Micros,
    },
    /// This dispatcher's lease on the quota that all dispatchers share, in addition to its unleased quota.
    #[serde(rename = "Part")]
    QuotaLease {
        /// Leased fraction of the shared quota, from 0 to 1.
        #[serde(rename = "lent")]
        leased: f64,
        /// When the lease expires.
        until: Micros,
    },
    /// Conditions of model servers that peers have observed.
    #[serde(rename = "Heard")]
    PeerReports {
        /// When the reports were sent.
        #[serde(rename = "at")]
        sent_at: Micros,
        /// How many peers have reported at all, whatever they observed.
        #[serde(rename = "of")]
        reporters: u16,
        /// The reports.
        #[serde(rename = "heard")]
        reports: Vec<PeerReport>,
    },
    /// An event from the cluster's load shedding.
    Overload(bitternlatch_overload::Event),
    /// An update from the cluster's output length estimation.
    #[serde(rename = "Lengths")]
    OutputLength(bitternlatch_output_length::Event),
    /// An event from the workflow coordinator.
    Workflow(bitternlatch_workflow::Event),
    /// Whether the server list has become unreadable (`true`) or readable again.
    #[serde(rename = "ListLost")]
    ServerListUnreadable(bool),
    /// Advances the clock, so that due timers fire.
    Tick,
    /// Take no new requests, finish those in flight, then emit [`Output::Stopped`].
    Stop,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Level {
    /// Normal operation.
    Info,
    /// A fault outside the dispatcher that it handles by itself.
    Warn,
    /// A fault that needs an operator's attention.
    Error,
}

/// One action for the caller of [`crate::Machine::step`], to be carried out in order. The serialized names are those of
/// the record's format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// One text message to a client.
    #[serde(rename = "Say")]
    SendToClient {
        /// The session to send over.
        session: SessionId,
        /// The message.
        text: String,
    },
    /// Close a session once all messages before have been written.
    CloseSession {
        /// The session to close.
        session: SessionId,
        /// WebSocket close code (RFC 6455, 7.4).
        code: u16,
        /// Close reason.
        reason: String,
    },
    /// Establish a connection to a model server.
    #[serde(rename = "Dial")]
    Connect {
        /// Id of the new connection.
        link: LinkId,
        /// `address:port`.
        endpoint: String,
        /// Name of the server in the server list. Where connections use TLS, the server has to prove that name.
        #[serde(default)]
        name: String,
    },
    /// One text message to a model server.
    #[serde(rename = "Tell")]
    SendToServer {
        /// The connection to send over.
        link: LinkId,
        /// The message.
        text: String,
        /// How long the message may wait before its first byte is written; `None` for no limit.
        #[serde(rename = "stale")]
        deadline: Option<SendDeadline>,
    },
    /// Close a connection to a model server.
    #[serde(rename = "Hang")]
    CloseLink {
        /// The connection to the model server.
        link: LinkId,
    },
    /// Ask the quota server for leases on tenants' token rates.
    #[serde(rename = "AskLedger")]
    RequestBudgetLeases {
        /// Number of this run, as the holder of the leases.
        holder: u64,
        /// Number of this request, which the quota server's response repeats.
        number: u64,
        /// The token rate wanted for each tenant.
        tenants: Vec<LeaseRequest>,
    },
    /// All conditions of model servers that this dispatcher observes now, to be sent to its peers.
    #[serde(rename = "Seen")]
    Observations(Vec<ServerObservation>),
    /// A message for the cluster's load shedding.
    Overload(bitternlatch_overload::Command),
    /// A message for the cluster's output length estimation.
    #[serde(rename = "Lengths")]
    OutputLength(bitternlatch_output_length::Command),
    /// A command for the workflow coordinator.
    Workflow(bitternlatch_workflow::Command),
    /// The charge for a request, emitted before the request's final answer, and again when the token usage becomes
    /// known more exactly.
    Charge(Entry),
    /// A log line.
    Log {
        /// Severity.
        level: Level,
        /// The line.
        text: String,
    },
    /// All requests in flight at [`Input::Stop`] are answered.
    Stopped,
}

/// The time limit for sending a message. Once the limit has passed, the message must not be written and is returned as
/// [`Input::LinkUnsent`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SendDeadline {
    /// Longest time that the message may wait before its first byte is written, seconds.
    #[serde(rename = "after_s")]
    pub max_wait_s: f64,
    /// Wire id of the attempt that the message belongs to.
    pub attempt: String,
}
