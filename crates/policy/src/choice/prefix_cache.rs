//! Index of the prefixes and sessions that each server is assumed to have cached.

use std::collections::BTreeMap;

use super::server::Server;
use crate::interface::{Request, ServerId};

/// Seconds after which a prefix or session that no server has prefilled again is forgotten. The
/// rate at which servers evict cached prefixes is not known.
const MAX_PREFIX_AGE_S: f64 = 120.0;

/// What cached tokens are indexed by. The order of the variants has no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CacheKey {
    Prefix(u64),
    Session(u64),
}

impl CacheKey {
    fn is_present(self) -> bool {
        let (CacheKey::Prefix(key) | CacheKey::Session(key)) = self;
        key != 0
    }
}

/// Number of prompt tokens cached under one key.
#[derive(Clone, Copy, Debug)]
struct KeyedTokens {
    key: CacheKey,
    tokens: f64,
}

fn keyed_tokens(request: &Request) -> [KeyedTokens; 2] {
    [
        KeyedTokens {
            key: CacheKey::Session(request.session),
            tokens: request.prompt_tokens,
        },
        KeyedTokens {
            key: CacheKey::Prefix(request.prefix),
            tokens: request.prefix_tokens,
        },
    ]
}

/// Tokens that a server has prefilled for one key, and the clock time at which it did, in seconds.
#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: f64,
    prefilled_at: f64,
}

type CachedByServer = BTreeMap<ServerId, CachedPrefix>;

/// Records which servers have prefilled a prefix or a session, how many tokens, and when.
#[derive(Debug, Default)]
pub(super) struct PrefixCacheIndex(BTreeMap<CacheKey, CachedByServer>);

impl PrefixCacheIndex {
    /// Records that a server has prefilled this prompt, and forgets keys that are too old.
    pub fn record_prefill(&mut self, now: f64, server: ServerId, request: &Request) {
        for KeyedTokens { key, tokens } in keyed_tokens(request) {
            if key.is_present() && tokens > 0.0 {
                let cached = CachedPrefix {
                    tokens,
                    prefilled_at: now,
                };
                self.0.entry(key).or_default().insert(server, cached);
            }
        }
        self.0.retain(|_, servers| {
            servers
                .values()
                .any(|cached| now - cached.prefilled_at < MAX_PREFIX_AGE_S)
        });
    }

    /// Looks up a prompt's session and prefix once, for use with all candidate servers.
    pub fn lookup(&self, request: &Request) -> CachedPrompt<'_> {
        CachedPrompt(keyed_tokens(request).map(|keyed| CachedKey {
            servers: self.0.get(&keyed.key),
            max_tokens: keyed.tokens,
        }))
    }
}

#[derive(Debug)]
struct CachedKey<'a> {
    servers: Option<&'a CachedByServer>,
    max_tokens: f64,
}

/// The servers that have prefilled a prompt's session or its prefix.
#[derive(Debug)]
pub(super) struct CachedPrompt<'a>([CachedKey<'a>; 2]);

impl CachedPrompt<'_> {
    /// Prompt tokens that a server has cached, counting only prefills since its last start.
    pub fn tokens_at(&self, server: &Server) -> f64 {
        let tokens = |key: &CachedKey<'_>| {
            key.servers
                .and_then(|servers| servers.get(&server.entry.id))
                .filter(|cached| cached.prefilled_at > server.booted_at())
                .map_or(0.0, |cached| cached.tokens.min(key.max_tokens))
        };
        self.0.iter().map(tokens).fold(0.0, f64::max)
    }
}

#[cfg(test)]
#[path = "../part_tests/prefix_cache.rs"]
mod tests;
