//! Ranking of the servers that are the prefix replicas of one placement key. Prefix replicas and
//! placement keys are defined in `prefill_choice`.

use std::cmp::Ordering;

use super::hash::{hash_pair, unit_interval_53_bits};
use super::server::Server;
use crate::interface::{Role, ServerId};

/// Rendezvous-hashing weight of a mixed server as a prefix replica. A prefill server has weight 1;
/// a mixed server gets less because it also decodes.
const MIXED_REPLICA_WEIGHT: f64 = 0.35;
/// Lower bound of a draw, a hash mapped to a number from 0 to 1, before its logarithm is taken, so
/// that the result is finite.
const MIN_DRAW: f64 = 1e-12;

/// A server as a possible prefix replica. Servers of the router's own zone sort first, then servers
/// sort by rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedReplica {
    other_zone: bool,
    rank: f64,
    server: ServerId,
}

impl RankedReplica {
    /// Weighted rendezvous hashing: ranks a server by an exponentially distributed draw from the
    /// key and the server id.
    pub fn new(server: &Server, key: u64, own_zone: u16) -> RankedReplica {
        let id = server.entry.id;
        let weight = if server.role == Role::Mixed {
            MIXED_REPLICA_WEIGHT
        } else {
            1.0
        };
        let draw = unit_interval_53_bits(hash_pair(key, u64::from(id)));
        RankedReplica {
            other_zone: server.entry.zone != own_zone,
            // As in `age_weight`, alike on every platform.
            rank: -libm::log(draw.max(MIN_DRAW)) / weight,
            server: id,
        }
    }

    /// Compares two servers by their order as replicas, the better one first.
    pub fn compare(&self, other: &RankedReplica) -> Ordering {
        self.other_zone
            .cmp(&other.other_zone)
            .then(self.rank.total_cmp(&other.rank))
    }

    pub fn server(&self) -> ServerId {
        self.server
    }
}

/// The best servers of a placement key among those that were inserted.
#[derive(Debug)]
pub(super) struct ReplicaRanking {
    best: Vec<RankedReplica>,
    replicas_per_key: usize,
}

impl ReplicaRanking {
    pub fn new(replicas_per_key: usize) -> ReplicaRanking {
        ReplicaRanking {
            best: Vec::new(),
            replicas_per_key,
        }
    }

    fn position(&self, ranked: &RankedReplica) -> usize {
        self.best
            .partition_point(|other| other.compare(ranked).is_le())
    }

    /// Returns whether a server is among the best so far.
    pub fn accepts(&self, ranked: &RankedReplica) -> bool {
        self.position(ranked) < self.replicas_per_key
    }

    /// Inserts a server.
    pub fn insert(&mut self, ranked: RankedReplica) {
        self.best.insert(self.position(&ranked), ranked);
        self.best.truncate(self.replicas_per_key);
    }

    /// Returns the best servers, those of the own zone first, in the order for a session.
    pub fn into_order_for(mut self, session: u64) -> Vec<ServerId> {
        self.best
            .sort_by_key(|r| (r.other_zone, hash_pair(session, u64::from(r.server))));
        self.best.into_iter().map(|ranked| ranked.server).collect()
    }
}
