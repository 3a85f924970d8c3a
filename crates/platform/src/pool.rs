//! Connections to model hosts: one exchange at a time on each, kept between exchanges, never used again once
//! anything is left over on them. Nothing is sent a second time here.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{RequestId, ServerId};

use crate::answers::Answer;
use crate::types::ConnId;

/// Share of the idle limit for which a connection is kept: the other side counts from earlier on.
const KEPT_SHARE: f64 = 0.8;

/// A connection that has brought an answer rests for this long before it is used again, seconds: a host may send a
/// second answer some milliseconds late, which would be taken for that of the next request. What comes while it rests
/// closes it. Longer than that and a few turns of a busy process; few connections are asked for again so soon.
pub const REST_S: f64 = 0.03;

/// A host counts as silent once it has said nothing for so long after it was asked, seconds.
const SILENT_S: f64 = 0.1;

/// Connections that releases of held states find free, whatever attempts wait: a share of all, within bounds.
const RESERVED_SHARE: usize = 8;
const FEWEST_RESERVED: usize = 1;
const MOST_RESERVED: usize = 16;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    Idle,
    /// An attempt, which is waited for until then.
    Attempt {
        request: RequestId,
        number: u16,
        until: Micros,
    },
    Probe {
        server: ServerId,
    },
    /// A call that lets go of a held state.
    Release {
        id: u64,
        server: ServerId,
        begun: Micros,
    },
}

/// One connection to a model host.
#[derive(Debug)]
pub struct Link {
    pub to: SocketAddr,
    pub server: ServerId,
    pub up: bool,
    pub used_for: Use,
    /// Since this use began.
    pub since: Micros,
    /// What is to be written once it is up, or once more elsewhere if it proves stale; empty for an attempt, whose
    /// request is made when it can be written.
    pub waiting: Vec<u8>,
    /// Bytes given to it that have not gone to the system.
    pub unsent: usize,
    pub answer: Answer,
    /// When anything came on it last.
    pub heard: Option<Micros>,
}

impl Link {
    /// The request's last byte has gone out.
    pub fn written(&self) -> bool {
        self.up && self.unsent == 0
    }
}

/// All connections to model hosts.
#[derive(Debug)]
pub struct Pool {
    links: BTreeMap<ConnId, Link>,
    most: usize,
    /// Of those, kept free for releases.
    reserved: usize,
    kept_s: f64,
}

/// What the connections tell of hosts at one time.
#[derive(Debug, Default)]
pub struct Contacts {
    hosts: BTreeMap<ServerId, Contact>,
    kept: BTreeMap<(ServerId, SocketAddr), Micros>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    heard: Option<Micros>,
    /// Since when the oldest exchange there has had no answer.
    unanswered: Option<Micros>,
}

impl Contacts {
    /// The host was asked a while ago, and has said nothing since on any connection.
    pub fn silent(&self, now: Micros, server: ServerId) -> bool {
        let contact = self.hosts.get(&server).copied().unwrap_or_default();
        let waits = contact
            .unanswered
            .filter(|since| now.since(*since) >= SILENT_S);
        waits.is_some_and(|since| contact.heard.is_none_or(|heard| heard < since))
    }

    /// When it was heard of last.
    pub fn heard(&self, server: ServerId) -> Option<Micros> {
        self.hosts.get(&server).and_then(|c| c.heard)
    }

    /// Since when the connection that may carry the next exchange has stood idle.
    pub fn kept(&self, server: ServerId, to: SocketAddr) -> Option<Micros> {
        self.kept.get(&(server, to)).copied()
    }
}

/// Where an exchange can go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// On a connection that stood idle.
    Kept(ConnId),
    /// On a new one; another has to be closed for it first, perhaps.
    New { instead_of: Option<ConnId> },
    /// All connections are in use.
    Full,
}

impl Pool {
    /// With room for so many, kept below an idle limit in seconds.
    pub fn new(most: usize, idle_s: f64) -> Pool {
        let most = most.max(4);
        Pool {
            links: BTreeMap::new(),
            most,
            reserved: Pool::reserved(most),
            kept_s: idle_s * KEPT_SHARE,
        }
    }

    /// How many of so many connections are kept free for releases.
    pub fn reserved(most: usize) -> usize {
        (most / RESERVED_SHARE).clamp(FEWEST_RESERVED, MOST_RESERVED)
    }

    pub fn len(&self) -> usize {
        self.links.len()
    }

    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// The idle and rested connection to an address that was used last: the likeliest to be alive.
    pub fn kept(&self, now: Micros, to: SocketAddr) -> Option<ConnId> {
        let fits = |l: &Link| {
            l.to == to
                && l.used_for == Use::Idle
                && (REST_S..self.kept_s).contains(&now.since(l.since))
        };
        self.links
            .iter()
            .filter(|(_, l)| fits(l))
            .max_by_key(|(_, l)| l.since)
            .map(|(id, _)| *id)
    }

    /// Where an exchange with a host can go out.
    pub fn place(&self, now: Micros, to: SocketAddr, used_for: Use) -> Place {
        if let Some(conn) = self.kept(now, to) {
            return Place::Kept(conn);
        }
        let reserved = if matches!(used_for, Use::Release { .. }) {
            0
        } else {
            self.reserved
        };
        if self.links.len() < self.most - reserved {
            return Place::New { instead_of: None };
        }
        self.idle_longest().map_or(Place::Full, |id| Place::New {
            instead_of: Some(id),
        })
    }

    /// The connection that has stood idle longest.
    pub fn idle_longest(&self) -> Option<ConnId> {
        let idle = self.links.iter().filter(|(_, l)| l.used_for == Use::Idle);
        idle.min_by_key(|(_, l)| l.since).map(|(id, _)| *id)
    }

    /// Whether a release can go out.
    pub fn has_room(&self) -> bool {
        self.links.len() < self.most || self.links.values().any(|l| l.used_for == Use::Idle)
    }

    /// What they tell of hosts now.
    pub fn contacts(&self, now: Micros) -> Contacts {
        let mut contacts = Contacts::default();
        for link in self.links.values() {
            let host = contacts.hosts.entry(link.server).or_default();
            host.heard = host.heard.max(link.heard);
            if link.used_for != Use::Idle && link.heard.is_none_or(|heard| heard < link.since) {
                host.unanswered = Some(
                    host.unanswered
                        .map_or(link.since, |since| since.min(link.since)),
                );
            }
            if link.used_for == Use::Idle && (REST_S..self.kept_s).contains(&now.since(link.since))
            {
                let kept = contacts
                    .kept
                    .entry((link.server, link.to))
                    .or_insert(link.since);
                *kept = link.since.max(*kept);
            }
        }
        contacts
    }

    pub fn put(&mut self, conn: ConnId, link: Link) {
        self.links.insert(conn, link);
    }

    pub fn get(&self, conn: ConnId) -> Option<&Link> {
        self.links.get(&conn)
    }

    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut Link> {
        self.links.get_mut(&conn)
    }

    pub fn remove(&mut self, conn: ConnId) -> Option<Link> {
        self.links.remove(&conn)
    }

    /// Idle connections that stood so long that the other side may close them, or whose host is not listed.
    pub fn stale(&self, now: Micros, listed: impl Fn(&Link) -> bool) -> Vec<ConnId> {
        let gone =
            |l: &Link| l.used_for == Use::Idle && (now.since(l.since) >= self.kept_s || !listed(l));
        self.links
            .iter()
            .filter(|(_, l)| gone(l))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Idle connections to one host.
    pub fn idle_at(&self, server: ServerId) -> Vec<ConnId> {
        let fits = |l: &Link| l.used_for == Use::Idle && l.server == server;
        self.links
            .iter()
            .filter(|(_, l)| fits(l))
            .map(|(id, _)| *id)
            .collect()
    }
}
