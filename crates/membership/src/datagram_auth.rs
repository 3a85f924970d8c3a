//! Authentication of datagrams: a header with cluster, sender and sequence number, and a keyed tag.
//!
//! The layout, with lengths in bytes, is
//! `version (1) | cluster (4) | sender's name (4) | start (8) | number (8) | kind (1) | payload | tag (16)`. The tag is
//! the first half of a BLAKE3 hash, keyed by the cluster's secret, over all bytes before it. It proves that the sender
//! knows the secret; nothing is encrypted.

use std::collections::BTreeMap;

use crate::member::NameKey;

const VERSION: u8 = 1;
/// Length of the header, bytes.
const HEADER_BYTES: usize = 26;
/// Length of the authentication tag, bytes.
const TAG_BYTES: usize = 16;
/// Length of the header and the tag together, bytes.
pub const AUTH_BYTES: usize = HEADER_BYTES + TAG_BYTES;
/// Maximum length of a datagram, bytes. The platform that users run on has the same limit.
pub const MAX_DATAGRAM: usize = 256;
/// Maximum length of a datagram's payload, bytes.
pub const MAX_PAYLOAD: usize = MAX_DATAGRAM - AUTH_BYTES;
/// Maximum number of senders whose sequence numbers are stored. Beyond it the sender that was received from longest ago
/// is evicted, and replays of its datagrams are accepted until it is received from again.
pub const MAX_SENDERS: usize = 4096;
/// Size of the replay window: a datagram that arrives out of order is accepted if its sequence number is less than this
/// far below the highest one received.
const WINDOW: u64 = 64;

/// The shared secret of a cluster, from which its authentication keys are derived.
#[derive(Clone)]
pub struct Secret {
    cluster: u32,
    key: [u8; 32],
}

impl Secret {
    /// Derives the key of a cluster from its name and the contents of its secret file.
    pub fn new(cluster: &str, secret: &[u8]) -> Secret {
        let key = blake3::derive_key("bitternlatch 2026-12 datagrams between dispatchers", secret);
        Secret {
            cluster: NameKey::of(cluster).0,
            key,
        }
    }

    /// Derives the key for frames over links. It differs from the key for datagrams, so that a datagram is never accepted as
    /// a frame.
    pub fn for_links(&self) -> Secret {
        let key = blake3::derive_key(
            "bitternlatch 2026-12 frames over links between dispatchers",
            &self.key,
        );
        Secret {
            cluster: self.cluster,
            key,
        }
    }

    /// Computes the authentication tag of a text that answers a request with this nonce.
    ///
    /// The authenticated bytes begin with 0xFF and those of a datagram with its version, so that neither tag is valid for the
    /// other.
    pub fn proof(&self, nonce: &[u8], text: &[u8]) -> [u8; TAG_BYTES] {
        let length = (nonce.len() as u64).to_le_bytes();
        let hash = self.tag(&[&[0xFF][..], &length, nonce, text].concat());
        let mut proof = [0; TAG_BYTES];
        proof.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        proof
    }

    fn tag(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.key, bytes)
    }
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RejectReason {
    /// The datagram is shorter than header and tag or longer than the limit.
    #[error("invalid datagram length")]
    Length,
    /// The datagram has another format version.
    #[error("unsupported format version")]
    Version,
    /// The datagram belongs to another cluster.
    #[error("datagram of another cluster")]
    Cluster,
    /// The authentication tag does not match.
    #[error("authentication tag mismatch: another secret, a forged or a corrupted datagram")]
    Tag,
    /// A datagram with this sequence number was accepted before, or the number is below the replay window.
    #[error("replayed datagram, or sequence number below the replay window")]
    Replay,
    /// The datagram is from an earlier start of its sender. Holds the sender's name and the latest start.
    #[error("from an earlier start of its sender; the latest is start {1}")]
    OldStart(NameKey, u64),
    /// The datagram is authenticated, but its kind or payload cannot be decoded.
    #[error("authenticated, but cannot be decoded")]
    Unreadable,
}

impl RejectReason {
    /// The reason without the name and start of a particular sender, as a key for counters.
    pub(crate) fn without_sender(self) -> RejectReason {
        match self {
            RejectReason::OldStart(..) => RejectReason::OldStart(NameKey(0), 0),
            other => other,
        }
    }

    /// A short name for status reports and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Length => "noise",
            RejectReason::Version => "version",
            RejectReason::Cluster => "cluster",
            RejectReason::Tag => "proof",
            RejectReason::Replay => "replay",
            RejectReason::OldStart(..) => "old_start",
            RejectReason::Unreadable => "unreadable",
        }
    }
}

/// The service that a message belongs to, other than the membership protocol itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Messages of the leader election, and requests for and grants of quota leases.
    QuotaLease,
    /// Messages about load shedding, retries and health checks.
    Overload,
    /// Messages about observed output lengths.
    Lengths,
    /// Messages about workflow steps and the replicated registers that store the steps.
    Workflows,
}

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 4] = [
        Topic::QuotaLease,
        Topic::Overload,
        Topic::Lengths,
        Topic::Workflows,
    ];

    /// The topic's number in datagrams and frames.
    pub fn byte(self) -> u8 {
        match self {
            Topic::QuotaLease => 2,
            Topic::Overload => 5,
            Topic::Lengths => 6,
            Topic::Workflows => 7,
        }
    }

    /// The topic with this number in datagrams and frames.
    pub fn of(byte: u8) -> Option<Topic> {
        Topic::ALL.into_iter().find(|topic| topic.byte() == byte)
    }
}

/// The kind of a datagram's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A message of the SWIM protocol, encoded by `foca`.
    Swim,
    /// Notifies a process that a later process was started under its name. Holds the name's short form (4 bytes) and the
    /// later start (8 bytes).
    Replaced,
    /// A message of another service.
    Topic(Topic),
    /// Notifies a member that it is suspected; sent by the member whose probe it did not acknowledge.
    Suspicion,
    /// Refutes a suspicion; sent by the suspected member.
    Refutation,
}

impl Kind {
    fn byte(self) -> u8 {
        match self {
            Kind::Swim => 0,
            Kind::Replaced => 1,
            Kind::Topic(topic) => topic.byte(),
            Kind::Suspicion => 3,
            Kind::Refutation => 4,
        }
    }

    fn of(byte: u8) -> Option<Kind> {
        let own = [
            Kind::Swim,
            Kind::Replaced,
            Kind::Suspicion,
            Kind::Refutation,
        ];
        let own = own.into_iter().find(|kind| kind.byte() == byte);
        own.or_else(|| Topic::of(byte).map(Kind::Topic))
    }
}

/// The sender's name in a datagram's header, without authentication: for relays that do not know the cluster's secret.
pub fn claimed_sender(datagram: &[u8]) -> Option<NameKey> {
    datagram.get(5..9).map(|name| NameKey(word(name) as u32))
}

/// Signs the datagrams and frames that one process sends.
pub struct Signer {
    secret: Secret,
    name: NameKey,
    process: u64,
    /// Sequence number of the last datagram.
    number: u64,
}

impl Signer {
    /// Creates a signer for one start of a process. Sequence numbers begin at 1.
    pub fn new(secret: Secret, name: NameKey, process: u64) -> Signer {
        Signer {
            secret,
            name,
            process,
            number: 0,
        }
    }

    /// Encodes and signs a datagram with a payload of at most [`MAX_PAYLOAD`] bytes.
    pub fn sign(&mut self, kind: Kind, payload: &[u8]) -> Vec<u8> {
        self.number += 1;
        let mut out = Vec::with_capacity(HEADER_BYTES + payload.len() + TAG_BYTES);
        out.push(VERSION);
        out.extend(self.secret.cluster.to_le_bytes());
        out.extend(self.name.0.to_le_bytes());
        out.extend(self.process.to_le_bytes());
        out.extend(self.number.to_le_bytes());
        out.push(kind.byte());
        out.extend(payload);
        let tag = self.secret.tag(&out);
        out.extend(&tag.as_bytes()[..TAG_BYTES]);
        out
    }
}

/// The replay window of one sender.
struct ReplayWindow {
    /// The start of the sender's process.
    process: u64,
    /// The highest sequence number accepted.
    highest: u64,
    /// Bit n is set if sequence number `highest` - n was accepted.
    accepted: u64,
    /// Value of [`Verifier::received`] at the sender's last datagram, to find the sender to evict.
    last_used: u64,
}

/// The authenticated header of a datagram: the sender, the start of its process and the kind of the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    pub name: NameKey,
    pub process: u64,
    pub kind: Kind,
}

/// Verifies datagrams or frames, and rejects replays by the sequence numbers of each sender.
#[derive(Default)]
pub struct Verifier {
    senders: BTreeMap<NameKey, ReplayWindow>,
    /// Number of authenticated datagrams received.
    received: u64,
}

impl Verifier {
    /// Returns the sender and the payload of a datagram.
    ///
    /// # Errors
    /// Where the datagram is rejected.
    pub fn verify<'a>(
        &mut self,
        secret: &Signer,
        bytes: &'a [u8],
    ) -> Result<(Sender, &'a [u8]), RejectReason> {
        self.verify_up_to(secret, bytes, MAX_DATAGRAM)
    }

    /// Returns the sender and the payload of a signed message of at most `max_bytes`.
    ///
    /// # Errors
    /// Where the message is rejected.
    pub fn verify_up_to<'a>(
        &mut self,
        secret: &Signer,
        bytes: &'a [u8],
        max_bytes: usize,
    ) -> Result<(Sender, &'a [u8]), RejectReason> {
        if bytes.len() < AUTH_BYTES || bytes.len() > max_bytes {
            return Err(RejectReason::Length);
        }
        let (body, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        if body[0] != VERSION {
            return Err(RejectReason::Version);
        }
        if word(&body[1..5]) != u64::from(secret.secret.cluster) {
            return Err(RejectReason::Cluster);
        }
        // `blake3::Hash` compares in constant time. The received half is completed by the computed second half.
        let mut received = *secret.secret.tag(body).as_bytes();
        let expected = blake3::Hash::from_bytes(received);
        received[..TAG_BYTES].copy_from_slice(tag);
        if expected != blake3::Hash::from_bytes(received) {
            return Err(RejectReason::Tag);
        }
        let kind = Kind::of(body[25]).ok_or(RejectReason::Unreadable)?;
        let from = Sender {
            name: NameKey(word(&body[5..9]) as u32),
            process: word(&body[9..17]),
            kind,
        };
        self.check_replay(from, word(&body[17..25]))?;
        Ok((from, &body[HEADER_BYTES..]))
    }

    /// Rejects datagrams of earlier starts and sequence numbers that were accepted before or are below the replay window.
    fn check_replay(&mut self, from: Sender, number: u64) -> Result<(), RejectReason> {
        self.received += 1;
        let known = self.senders.get(&from.name).map(|n| n.process);
        if let Some(later) = known.filter(|process| from.process < *process) {
            return Err(RejectReason::OldStart(from.name, later));
        }
        if known != Some(from.process) {
            self.evict_if_full();
            let fresh = ReplayWindow {
                process: from.process,
                highest: 0,
                accepted: 0,
                last_used: 0,
            };
            self.senders.insert(from.name, fresh);
        }
        let Some(window) = self.senders.get_mut(&from.name) else {
            return Err(RejectReason::Replay);
        };
        window.last_used = self.received;
        if number > window.highest {
            let step = number - window.highest;
            window.accepted = if step >= WINDOW {
                1
            } else {
                window.accepted << step | 1
            };
            window.highest = number;
            return Ok(());
        }
        let back = window.highest - number;
        if back >= WINDOW || window.accepted & (1 << back) != 0 {
            return Err(RejectReason::Replay);
        }
        window.accepted |= 1 << back;
        Ok(())
    }

    /// Evicts the sender that was received from longest ago if the table is full.
    fn evict_if_full(&mut self) {
        if self.senders.len() >= MAX_SENDERS {
            let oldest = self
                .senders
                .iter()
                .min_by_key(|(_, window)| window.last_used)
                .map(|(name, _)| *name);
            oldest.map(|name| self.senders.remove(&name));
        }
    }
}

/// Decodes a little-endian integer of at most 8 bytes.
pub(crate) fn word(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests;
