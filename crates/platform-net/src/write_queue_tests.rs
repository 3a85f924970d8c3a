//! Unit tests of `write_queue.rs`.

use super::*;

/// Guards against a queue that grows with all that was ever written to a client which reads slowly.
#[test]
fn queue_that_is_never_empty_holds_no_more_than_what_waits() {
    const EVENT: usize = 1000;
    let mut queue = WriteQueue::default();
    queue.push(vec![0; 10 * EVENT]);
    for n in 0..10_000u32 {
        queue.push(vec![n as u8; EVENT]);
        queue.record_written(EVENT);
        assert_eq!(queue.unwritten().len(), 10 * EVENT);
        assert_eq!(queue.unwritten().last(), Some(&(n as u8)));
    }
    assert!(
        queue.bytes.capacity() < 50 * EVENT,
        "{}",
        queue.bytes.capacity()
    );
    queue.record_written(10 * EVENT);
    assert!(queue.unwritten().is_empty() && queue.bytes.capacity() <= RETAINED_CAPACITY);
}
