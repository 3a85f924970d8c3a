//! Which reader is believed to hold which prefix or session, and the homes of a key.

use super::*;

/// Seconds an unused prefix entry is believed; readers evict at an unknown rate.
const PREFIX_AGE_S: f64 = 120.0;
const MIXED_WEIGHT: f64 = 0.35; // Weight of a mixed server among the homes, as it also writes.

type Key = (bool, u64); // Whether it is a session's.
type Holders = BTreeMap<ServerId, (f64, f64)>; // Tokens that each has read, and when.

/// Which servers have read a prefix or a session: how many tokens of it, and when.
#[derive(Default)]
pub(super) struct PrefixIndex(BTreeMap<Key, Holders>);

impl PrefixIndex {
    fn keys(ask: &Request) -> [(Key, f64); 2] {
        [
            ((true, ask.session), ask.prompt_tokens),
            ((false, ask.prefix), ask.prefix_tokens),
        ]
    }

    /// A server has read this prompt.
    pub fn note(&mut self, now: f64, server: ServerId, ask: &Request) {
        for (key, tokens) in Self::keys(ask)
            .into_iter()
            .filter(|(key, n)| key.1 != 0 && *n > 0.0)
        {
            self.0.entry(key).or_default().insert(server, (tokens, now));
        }
        self.0
            .retain(|_, held| held.values().any(|h| now - h.1 < PREFIX_AGE_S));
    }

    /// What is known of a prompt's session and prefix, looked up once for all servers.
    pub fn known(&self, ask: &Request) -> KnownPrefixes<'_> {
        KnownPrefixes(Self::keys(ask).map(|(key, most)| (self.0.get(&key), most)))
    }
}

/// Which servers have read a prompt's session and its prefix, and how many tokens of it each may be.
pub(super) struct KnownPrefixes<'a>([(Option<&'a Holders>, f64); 2]);

impl KnownPrefixes<'_> {
    /// Tokens of the prompt that a server is known to hold: what it has read since its start.
    pub fn hit(&self, s: &Server) -> f64 {
        let held = |(servers, most): &(Option<&Holders>, f64)| {
            let read = servers.and_then(|servers| servers.get(&s.entry.id));
            read.filter(|h| h.1 > s.entry.booted_at)
                .map_or(0.0, |h| h.0.min(*most))
        };
        self.0.iter().map(held).fold(0.0, f64::max)
    }
}

impl Router {
    /// Homes of a request's key: the best ranks among the readers of this zone, else of all; the same at all
    /// routers. The session orders them, so that its next turn finds what it left.
    pub(super) fn homes(&self, now: f64, job: &Job, scene: &Scene) -> Vec<ServerId> {
        let mut best: Vec<(bool, f64, ServerId)> = Vec::new();
        for s in self
            .servers
            .values()
            .filter(|s| s.role != Role::Decode && s.ready())
        {
            let id = s.entry.id;
            let weight = if s.role == Role::Mixed {
                MIXED_WEIGHT
            } else {
                1.0
            };
            let draw = (mix(job.key, u64::from(id)) >> 11) as f64 / (1u64 << 53) as f64;
            let rank = (
                s.entry.zone != self.set.zone,
                -draw.max(1e-12).ln() / weight,
                id,
            );
            let at =
                best.partition_point(|b| b.0.cmp(&rank.0).then(b.1.total_cmp(&rank.1)).is_le());
            if at < scene.homes && self.cold_turn(s, job, scene, true, now) {
                best.insert(at, rank);
                best.truncate(scene.homes);
            }
        }
        best.sort_by_key(|b| (b.0, mix(job.ask.session, u64::from(b.2))));
        best.into_iter().map(|b| b.2).collect()
    }
}
