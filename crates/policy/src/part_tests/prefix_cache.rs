//! Unit tests of `choice/prefix_cache.rs`.

use super::*;

const NOW: f64 = 1_000.0;

fn request(session: u64, prefix: u64) -> Request {
    Request {
        session,
        prefix,
        prompt_tokens: 900.0,
        prefix_tokens: 600.0,
        ..Request::default()
    }
}

fn server(id: ServerId, booted_at: f64) -> Server {
    let mut server = Server::default();
    server.entry.id = id;
    server.entry.booted_at = booted_at;
    server
}

#[test]
fn session_covers_the_whole_prompt_and_prefix_only_its_tokens() {
    let mut index = PrefixCacheIndex::default();
    index.record_prefill(NOW, 1, &request(5, 6));
    let tokens = |request: &Request, id| index.lookup(request).tokens_at(&server(id, 0.0));
    assert_eq!(tokens(&request(5, 6), 1), 900.0);
    assert_eq!(tokens(&request(8, 6), 1), 600.0);
    assert_eq!(tokens(&request(8, 9), 1), 0.0);
    assert_eq!(tokens(&request(5, 6), 2), 0.0);
}

#[test]
fn restart_clears_cached_tokens() {
    let mut index = PrefixCacheIndex::default();
    index.record_prefill(NOW, 1, &request(5, 6));
    let cached = index
        .lookup(&request(5, 6))
        .tokens_at(&server(1, NOW + 1.0));
    assert_eq!(cached, 0.0);
}

#[test]
fn unused_entries_are_forgotten() {
    let mut index = PrefixCacheIndex::default();
    index.record_prefill(NOW, 1, &request(5, 0));
    index.record_prefill(NOW + MAX_PREFIX_AGE_S, 1, &request(7, 0));
    let cached = index.lookup(&request(5, 0)).tokens_at(&server(1, 0.0));
    assert_eq!(cached, 0.0);
    assert_eq!(index.0.len(), 1, "keys of 0 are not stored");
}
