//! Authentication of datagrams: a header with cluster, sender and a number against replays, and a keyed tag.
//!
//! `version (1) | cluster (4) | sender's name (4) | start (8) | number (8) | kind (1) | payload | tag (16)`; the
//! tag is the first half of a BLAKE3 hash, keyed by the cluster's secret, over all that stands before it. It proves that
//! the sender knows the secret; it hides nothing.

use std::collections::BTreeMap;

use crate::member::NameKey;

const VERSION: u8 = 1;
const HEAD: usize = 26;
const TAG: usize = 16;
/// Header and tag, bytes.
pub const AUTH_BYTES: usize = HEAD + TAG;
/// Longest datagram, bytes, as on the users' platform.
pub const MAX_DATAGRAM: usize = 256;
/// Longest payload of a datagram, bytes.
pub const MAX_PAYLOAD: usize = MAX_DATAGRAM - HEAD - TAG;
/// Senders whose numbers are remembered; beyond it the one heard longest ago is forgotten, and its old
/// datagrams would be taken again until it is heard.
pub const MAX_SENDERS: usize = 4096;
/// Numbers before the highest that may still come, out of order.
const WINDOW: u64 = 64;

/// What all members of one cluster know.
#[derive(Clone)]
pub struct Secret {
    cluster: u32,
    key: [u8; 32],
}

impl Secret {
    /// From the cluster's name and the bytes of its secret's file.
    pub fn new(cluster: &str, secret: &[u8]) -> Secret {
        let key = blake3::derive_key("bitternlatch 2026-12 datagrams between dispatchers", secret);
        Secret {
            cluster: NameKey::of(cluster).0,
            key,
        }
    }

    /// The same for frames over links, so that no datagram can be passed off as one.
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

    /// Proves a text, as an answer to a question that bore this number; no datagram's tag is one of these, as datagrams begin with
    /// their version.
    pub fn proof(&self, number: &[u8], text: &[u8]) -> [u8; TAG] {
        let length = (number.len() as u64).to_le_bytes();
        let hash = self.tag(&[&[0xFF][..], &length, number, text].concat());
        let mut proof = [0; TAG];
        proof.copy_from_slice(&hash.as_bytes()[..TAG]);
        proof
    }

    fn tag(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.key, bytes)
    }
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RejectReason {
    /// Shorter or longer than any datagram.
    #[error("longer or shorter than any datagram of ours")]
    Noise,
    /// Of another version of the format.
    #[error("another version")]
    Version,
    /// Of another cluster.
    #[error("another cluster")]
    Cluster,
    /// The authentication tag does not match.
    #[error("the proof does not fit: a stranger, another secret, or damage")]
    Proof,
    /// A replay: its number was accepted before, or is too old to tell.
    #[error("taken before, or too old")]
    Replay,
    /// From a start of its sender that a later one has replaced: the name and that later start.
    #[error("from a start of its sender that has been replaced by start {1}")]
    OldStart(NameKey, u64),
    /// Authenticated, but its content cannot be decoded.
    #[error("proven, and cannot be read")]
    Unreadable,
}

impl RejectReason {
    /// The same without what differs from one to the next, to be counted by.
    pub(crate) fn alike(self) -> RejectReason {
        match self {
            RejectReason::OldStart(..) => RejectReason::OldStart(NameKey(0), 0),
            other => other,
        }
    }

    /// A short name for tables.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Noise => "noise",
            RejectReason::Version => "version",
            RejectReason::Cluster => "cluster",
            RejectReason::Proof => "proof",
            RejectReason::Replay => "replay",
            RejectReason::OldStart(..) => "old_start",
            RejectReason::Unreadable => "unreadable",
        }
    }
}

/// The part of the program that a message belongs to, other than membership itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Leader election and quota leases.
    QuotaLease,
    /// Load shedding, retries and health checks.
    Overload,
    /// Observed output lengths.
    Lengths,
    /// Steps of workflows and the registers below them.
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

    /// Its number in datagrams and frames.
    pub fn byte(self) -> u8 {
        match self {
            Topic::QuotaLease => 2,
            Topic::Overload => 5,
            Topic::Lengths => 6,
            Topic::Workflows => 7,
        }
    }

    /// The topic of a number in datagrams and frames.
    pub fn of(byte: u8) -> Option<Topic> {
        Topic::ALL.into_iter().find(|topic| topic.byte() == byte)
    }
}

/// What a datagram holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A message of the protocol.
    Swim,
    /// To a process whose name has a later start: the name's short form, 4 bytes, and that start, 8.
    Replaced,
    /// What is decided elsewhere.
    Of(Topic),
    /// To a suspect, by the member whose probe it did not answer.
    Doubted,
    /// A suspect refutes the suspicion.
    Denied,
}

impl Kind {
    fn byte(self) -> u8 {
        match self {
            Kind::Swim => 0,
            Kind::Replaced => 1,
            Kind::Of(topic) => topic.byte(),
            Kind::Doubted => 3,
            Kind::Denied => 4,
        }
    }

    fn of(byte: u8) -> Option<Kind> {
        let own = [Kind::Swim, Kind::Replaced, Kind::Doubted, Kind::Denied];
        let own = own.into_iter().find(|kind| kind.byte() == byte);
        own.or_else(|| Topic::of(byte).map(Kind::Of))
    }
}

/// Whose name a datagram bears, unproven: for what lies between members.
pub fn sender(datagram: &[u8]) -> Option<NameKey> {
    datagram.get(5..9).map(|name| NameKey(word(name) as u32))
}

/// Signs what one process sends.
pub struct Signer {
    secret: Secret,
    name: NameKey,
    process: u64,
    number: u64,
}

impl Signer {
    /// Signs for one start of a process; its datagrams are numbered from 1.
    pub fn new(secret: Secret, name: NameKey, process: u64) -> Signer {
        Signer {
            secret,
            name,
            process,
            number: 0,
        }
    }

    /// One datagram; `said` holds at most [`MAX_PAYLOAD`] bytes.
    pub fn sign(&mut self, kind: Kind, said: &[u8]) -> Vec<u8> {
        self.number += 1;
        let mut out = Vec::with_capacity(HEAD + said.len() + TAG);
        out.push(VERSION);
        out.extend(self.secret.cluster.to_le_bytes());
        out.extend(self.name.0.to_le_bytes());
        out.extend(self.process.to_le_bytes());
        out.extend(self.number.to_le_bytes());
        out.push(kind.byte());
        out.extend(said);
        let tag = self.secret.tag(&out);
        out.extend(&tag.as_bytes()[..TAG]);
        out
    }
}

struct Numbers {
    process: u64,
    highest: u64,
    seen: u64, // A bit for each of the `WINDOW` numbers up to the highest.
    turn: u64,
}

/// Who sent a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    pub name: NameKey,
    pub process: u64,
    pub kind: Kind,
}

/// Verifies what comes in; remembers the numbers of each sender.
#[derive(Default)]
pub struct Verifier {
    senders: BTreeMap<NameKey, Numbers>,
    turn: u64,
}

impl Verifier {
    /// What a datagram says, and who says it.
    ///
    /// # Errors
    /// Where it is not to be taken; nothing is remembered of it then.
    pub fn verify<'a>(
        &mut self,
        secret: &Signer,
        bytes: &'a [u8],
    ) -> Result<(Sender, &'a [u8]), RejectReason> {
        self.verify_up_to(secret, bytes, MAX_DATAGRAM)
    }

    /// The same of anything sealed, up to so many bytes.
    ///
    /// # Errors
    /// As [`Verifier::verify`].
    pub fn verify_up_to<'a>(
        &mut self,
        secret: &Signer,
        bytes: &'a [u8],
        most: usize,
    ) -> Result<(Sender, &'a [u8]), RejectReason> {
        if bytes.len() < HEAD + TAG || bytes.len() > most {
            return Err(RejectReason::Noise);
        }
        let (body, tag) = bytes.split_at(bytes.len() - TAG);
        if body[0] != VERSION {
            return Err(RejectReason::Version);
        }
        if word(&body[1..5]) != u64::from(secret.secret.cluster) {
            return Err(RejectReason::Cluster);
        }
        // Compared in constant time, by the hash's own equality.
        let mut whole = *secret.secret.tag(body).as_bytes();
        let ours = blake3::Hash::from_bytes(whole);
        whole[..TAG].copy_from_slice(tag);
        if ours != blake3::Hash::from_bytes(whole) {
            return Err(RejectReason::Proof);
        }
        let kind = Kind::of(body[25]).ok_or(RejectReason::Unreadable)?;
        let from = Sender {
            name: NameKey(word(&body[5..9]) as u32),
            process: word(&body[9..17]),
            kind,
        };
        self.number(from, word(&body[17..25]))?;
        Ok((from, &body[HEAD..]))
    }

    fn number(&mut self, from: Sender, number: u64) -> Result<(), RejectReason> {
        self.turn += 1;
        let known = self.senders.get(&from.name).map(|n| n.process);
        if let Some(later) = known.filter(|process| from.process < *process) {
            return Err(RejectReason::OldStart(from.name, later));
        }
        if known != Some(from.process) {
            self.make_room();
            let fresh = Numbers {
                process: from.process,
                highest: 0,
                seen: 0,
                turn: 0,
            };
            self.senders.insert(from.name, fresh);
        }
        let Some(numbers) = self.senders.get_mut(&from.name) else {
            return Err(RejectReason::Replay);
        };
        numbers.turn = self.turn;
        if number > numbers.highest {
            let step = number - numbers.highest;
            numbers.seen = if step >= WINDOW {
                1
            } else {
                numbers.seen << step | 1
            };
            numbers.highest = number;
            return Ok(());
        }
        let back = numbers.highest - number;
        if back >= WINDOW || numbers.seen & (1 << back) != 0 {
            return Err(RejectReason::Replay);
        }
        numbers.seen |= 1 << back;
        Ok(())
    }

    fn make_room(&mut self) {
        if self.senders.len() >= MAX_SENDERS {
            let oldest = self
                .senders
                .iter()
                .min_by_key(|(_, n)| n.turn)
                .map(|(name, _)| *name);
            oldest.map(|name| self.senders.remove(&name));
        }
    }
}

pub(crate) fn word(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests;
