use super::*;
use bitternlatch_protocol::client::Status;

fn key(text: &str) -> Key {
    Key {
        tenant: 0,
        class: 1,
        owner: String::new(),
        text: text.to_string(),
    }
}

fn answer() -> Response {
    Response {
        id: "resp_1".into(),
        object: "response".into(),
        created_at: 0,
        status: Status::Completed,
        model: "m".into(),
        previous_response_id: None,
        max_output_tokens: None,
        metadata: BTreeMap::new(),
        output: vec![],
        usage: None,
        error: None,
        incomplete_details: None,
    }
}

#[test]
fn key_goes_from_running_to_answered_to_expired() {
    let mut keys = IdempotencyKeys::new(2, 100, 60.0);
    assert!(matches!(keys.lookup(&key("a"), 1), KeyLookup::New));
    keys.begin(key("a"), 1, 9);
    assert!(matches!(keys.lookup(&key("a"), 1), KeyLookup::Attach(9)));
    assert!(matches!(keys.lookup(&key("a"), 2), KeyLookup::OtherRequest));
    keys.end(Micros(0), &key("a"), answer(), 50);
    assert!(matches!(keys.lookup(&key("a"), 1), KeyLookup::Answer(_)));
    keys.sweep(Micros(59_000_000));
    assert!(matches!(keys.lookup(&key("a"), 1), KeyLookup::Answer(_)));
    keys.sweep(Micros(60_000_000));
    assert!(matches!(keys.lookup(&key("a"), 1), KeyLookup::New));
    assert_eq!((keys.bytes, keys.len()), (0, 0));
}

#[test]
fn byte_limit_evicts_answers_but_never_keys() {
    let mut keys = IdempotencyKeys::new(2, 60, 60.0);
    for (i, name) in ["a", "b"].into_iter().enumerate() {
        keys.begin(key(name), 1, i as u32);
        keys.end(Micros(i as u64), &key(name), answer(), 50);
    }
    assert!(matches!(keys.lookup(&key("a"), 1), KeyLookup::Evicted));
    assert!(matches!(keys.lookup(&key("b"), 1), KeyLookup::Answer(_)));
    assert!(matches!(
        keys.lookup(&key("c"), 1),
        KeyLookup::CapacityExceeded
    ));
    keys.remove(&key("a"));
    assert!(matches!(keys.lookup(&key("c"), 1), KeyLookup::New));
}
