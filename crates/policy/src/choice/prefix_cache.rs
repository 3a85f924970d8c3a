//! Which prefill servers are believed to have which prefix or session cached.

use std::collections::BTreeMap;

use super::server::Server;
use crate::interface::{Request, ServerId};

/// Seconds for which an unused entry is believed; servers evict at an unknown rate.
const MAX_PREFIX_AGE_S: f64 = 120.0;

/// What servers cache by. The order of the variants is of no account.
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

/// The tokens of a prompt that are cached by one key.
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

/// What a server has prefilled of a key.
#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: f64,
    prefilled_at: f64,
}

type CachedByServer = BTreeMap<ServerId, CachedPrefix>;

/// Which servers have prefilled a prefix or a session: how many tokens of it, and when.
#[derive(Debug, Default)]
pub(super) struct PrefixCacheIndex(BTreeMap<CacheKey, CachedByServer>);

impl PrefixCacheIndex {
    /// A server has prefilled this prompt.
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

    /// What is known of a prompt's session and prefix, looked up once for all servers.
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

/// The servers that have prefilled a prompt's session and its prefix.
#[derive(Debug)]
pub(super) struct CachedPrompt<'a>([CachedKey<'a>; 2]);

impl CachedPrompt<'_> {
    /// Tokens of the prompt that a server is known to hold: what it has prefilled since its start.
    pub fn tokens_at(&self, server: &Server) -> f64 {
        let tokens = |key: &CachedKey<'_>| {
            key.servers
                .and_then(|servers| servers.get(&server.entry.id))
                .filter(|cached| cached.prefilled_at > server.entry.booted_at)
                .map_or(0.0, |cached| cached.tokens.min(key.max_tokens))
        };
        self.0.iter().map(tokens).fold(0.0, f64::max)
    }
}

#[cfg(test)]
#[path = "../part_tests/prefix_cache.rs"]
mod tests;
