use super::*;

fn context(text: &str, at: u64) -> Context {
    Context {
        tenant: 1,
        owner: "ann".to_string(),
        conversation: 7,
        text: text.to_string(),
        created_at: Micros(at),
    }
}

#[test]
fn oldest_context_is_evicted_by_size_and_age() {
    let mut contexts = Contexts::new(10);
    contexts.insert("a", context("12345", 1));
    contexts.insert("b", context("12345", 2));
    assert!(
        contexts.find("a", 1, "ann").is_some() && contexts.find("a", 2, "ann").is_none(),
        "found only for its own tenant"
    );
    assert!(
        contexts.find("a", 1, "eve").is_none(),
        "found only for its own caller"
    );
    contexts.insert("c", context("1", 3));
    assert!(contexts.find("a", 1, "ann").is_none() && contexts.find("b", 1, "ann").is_some());
    contexts.sweep(Micros(3));
    assert!(contexts.find("b", 1, "ann").is_none() && contexts.find("c", 1, "ann").is_some());
    assert_eq!(contexts.bytes, 1);
}
