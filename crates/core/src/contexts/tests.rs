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
    let mut kept = Contexts::new(10);
    kept.insert("a", context("12345", 1));
    kept.insert("b", context("12345", 2));
    assert!(
        kept.find("a", 1, "ann").is_some() && kept.find("a", 2, "ann").is_none(),
        "its own tenant's alone"
    );
    assert!(
        kept.find("a", 1, "eve").is_none(),
        "found by its own caller alone"
    );
    kept.insert("c", context("1", 3));
    assert!(kept.find("a", 1, "ann").is_none() && kept.find("b", 1, "ann").is_some());
    kept.sweep(Micros(3));
    assert!(kept.find("b", 1, "ann").is_none() && kept.find("c", 1, "ann").is_some());
    assert_eq!(kept.bytes, 1);
}
