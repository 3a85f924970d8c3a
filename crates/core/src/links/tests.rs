use super::*;

fn message(attempt: &str) -> QueuedMessage {
    QueuedMessage {
        attempt: attempt.to_string(),
        text: String::new(),
    }
}

#[test]
fn messages_wait_for_hello_and_old_epochs_are_ignored() {
    let mut links = Links::default();
    assert_eq!(links.enqueue(1, message("a")), EnqueueResult::NotConnected);
    let first = links.connect(1);
    assert_eq!(links.enqueue(1, message("a")), EnqueueResult::Queued(first));
    assert!(links.mark_open(first).is_empty(), "not connected yet");
    assert!(links.mark_up(first));
    assert_eq!(links.mark_open(first), vec![message("a")]);
    assert_eq!(
        links.enqueue(1, message("b")),
        EnqueueResult::SendNow(first, message("b"))
    );
    let (queued, delay_s) = links.mark_down(first, 0.0).expect("current");
    assert!(queued.is_empty() && delay_s > 0.0);
    assert_eq!(links.enqueue(1, message("c")), EnqueueResult::NotConnected);
    let second = links.connect(1);
    assert!(
        links.mark_down(first, 0.0).is_none() && !links.mark_up(first) && links.mark_up(second)
    );
}

#[test]
fn reconnect_backoff_and_queue_are_bounded() {
    let mut links = Links::default();
    let mut last = 0.0;
    for _ in 0..20 {
        let link = links.connect(1);
        let (_, delay_s) = links.mark_down(link, 1.0).expect("current");
        assert!(delay_s >= last && delay_s <= MAX_RECONNECT_S);
        last = delay_s;
    }
    assert_eq!(last, MAX_RECONNECT_S);
    links.connect(1);
    let queued = (0..100)
        .filter(|_| links.enqueue(1, message("a")) != EnqueueResult::NotConnected)
        .count();
    assert_eq!(queued, MAX_QUEUED_MESSAGES);
}

#[test]
fn busy_link_closes_when_idle() {
    let mut links = Links::default();
    let link = links.connect(1);
    links.mark_up(link);
    links.mark_open(link);
    assert_eq!(links.close_when_idle(1, true), None);
    assert_eq!(links.closing(), vec![1]);
    assert_eq!(links.close_when_idle(1, false), Some(link));
    assert_eq!(links.mark_down(link, 0.0).map(|d| d.1), Some(f64::INFINITY));
    assert_eq!(links.open_link(1), None);
}
