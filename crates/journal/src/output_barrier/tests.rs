use super::*;

#[test]
fn outputs_wait_for_their_charge_and_keep_their_order() {
    let mut barrier = OutputBarrier::new(0.5);
    assert_eq!(barrier.offer(0.0, 1, None, "a"), Some("a"));
    assert_eq!(barrier.offer(0.0, 1, Some(Charge(4)), "answer"), None);
    assert_eq!(barrier.offer(0.1, 1, None, "after"), None);
    assert_eq!(
        barrier.offer(0.1, 2, None, "other"),
        Some("other"),
        "another receiver does not wait"
    );
    assert_eq!(barrier.offer(0.1, 2, Some(Charge(5)), "its answer"), None);
    assert!(barrier.written(Charge(3)).is_empty());
    assert_eq!(barrier.written(Charge(4)), ["answer", "after"]);
    assert_eq!(barrier.offer(0.2, 1, None, "b"), Some("b"));
    assert_eq!(barrier.next_s(), Some(0.6));
    assert!(barrier.overdue(0.5).is_empty());
    assert_eq!(
        barrier.overdue(0.6),
        ["its answer"],
        "sent after the maximum wait although the charge is not durable"
    );
    assert!(barrier.is_empty());
}

#[test]
fn outputs_of_a_disconnected_receiver_are_dropped() {
    let mut barrier = OutputBarrier::new(0.5);
    barrier.offer(0.0, 1, Some(Charge(1)), "answer");
    barrier.forget(1);
    assert!(barrier.written(Charge(9)).is_empty() && barrier.next_s().is_none());
}
