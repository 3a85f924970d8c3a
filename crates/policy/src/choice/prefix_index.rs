//! Which reader is believed to hold which prefix or session, and the homes of a key.

use super::*;

/// Seconds an unused prefix entry is believed; readers evict at an unknown rate.
const MAX_PREFIX_AGE_S: f64 = 120.0;
const MIXED_REPLICA_WEIGHT: f64 = 0.35; // Weight of a mixed server among the homes, as it also writes.

type Key = (bool, u64); // Whether it is a session's.
type Holders = BTreeMap<ServerId, (f64, f64)>; // Tokens that each has read, and when.

/// Which servers have read a prefix or a session: how many tokens of it, and when.
#[derive(Default)]
pub(super) struct PrefixIndex(BTreeMap<Key, Holders>);

impl PrefixIndex {
    fn keys(request: &Request) -> [(Key, f64); 2] {
        [
            ((true, request.session), request.prompt_tokens),
            ((false, request.prefix), request.prefix_tokens),
        ]
    }

    /// A server has read this prompt.
    pub fn note(&mut self, now: f64, server: ServerId, request: &Request) {
        for (key, tokens) in Self::keys(request)
            .into_iter()
            .filter(|(key, n)| key.1 != 0 && *n > 0.0)
        {
            self.0.entry(key).or_default().insert(server, (tokens, now));
        }
        self.0
            .retain(|_, kv_state| kv_state.values().any(|h| now - h.1 < MAX_PREFIX_AGE_S));
    }

    /// What is known of a prompt's session and prefix, looked up once for all servers.
    pub fn known(&self, request: &Request) -> KnownPrefixes<'_> {
        KnownPrefixes(Self::keys(request).map(|(key, most)| (self.0.get(&key), most)))
    }
}

/// Which servers have read a prompt's session and its prefix, and how many tokens of it each may be.
pub(super) struct KnownPrefixes<'a>([(Option<&'a Holders>, f64); 2]);

impl KnownPrefixes<'_> {
    /// Tokens of the prompt that a server is known to hold: what it has read since its start.
    pub fn hit(&self, server: &Server) -> f64 {
        let kv_state = |(servers, most): &(Option<&Holders>, f64)| {
            let read = servers.and_then(|servers| servers.get(&server.entry.id));
            read.filter(|h| h.1 > server.entry.booted_at)
                .map_or(0.0, |h| h.0.min(*most))
        };
        self.0.iter().map(kv_state).fold(0.0, f64::max)
    }
}

impl Router {
    /// Homes of a request's key: the best ranks among the readers of this zone, else of all; the same at all
    /// routers. The session orders them, so that its next turn finds what it left.
    pub(super) fn prefix_replicas(
        &self,
        now: f64,
        state: &RequestState,
        context: &DecisionContext,
    ) -> Vec<ServerId> {
        let mut best: Vec<(bool, f64, ServerId)> = Vec::new();
        for server in self
            .servers
            .values()
            .filter(|server| server.role != Role::Decode && server.ready())
        {
            let id = server.entry.id;
            let weight = if server.role == Role::Mixed {
                MIXED_REPLICA_WEIGHT
            } else {
                1.0
            };
            let draw = (hash_pair(state.key, u64::from(id)) >> 11) as f64 / (1u64 << 53) as f64;
            let rank = (
                server.entry.zone != self.settings.zone,
                -draw.max(1e-12).ln() / weight,
                id,
            );
            let at =
                best.partition_point(|b| b.0.cmp(&rank.0).then(b.1.total_cmp(&rank.1)).is_le());
            if at < context.prefix_replicas
                && self.slow_start_admits(server, state, context, true, now)
            {
                best.insert(at, rank);
                best.truncate(context.prefix_replicas);
            }
        }
        best.sort_by_key(|b| (b.0, hash_pair(state.request.session, u64::from(b.2))));
        best.into_iter().map(|b| b.2).collect()
    }
}
