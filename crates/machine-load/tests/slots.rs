//! Never more than the bound at a time, and a slot comes back when its holder fails.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bitternlatch_machine_load::slots::Slots;

#[test]
fn no_more_than_the_bound_run_at_a_time_and_all_run() {
    const MOST: usize = 2;
    static SLOTS: Slots = Slots::new(MOST);
    let (running, ran) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for number in 0..8 {
            let (running, ran) = (&running, &ran);
            let test = move || {
                let _slot = SLOTS.take();
                let at_once = running.fetch_add(1, Ordering::SeqCst) + 1;
                thread::sleep(Duration::from_millis(5));
                running.fetch_sub(1, Ordering::SeqCst);
                ran.fetch_add(1, Ordering::SeqCst);
                assert!(at_once <= MOST, "{at_once} at a time");
                assert!(number != 3, "a test that fails gives its slot back");
            };
            let play = scope.spawn(test);
            scope.spawn(move || assert_eq!(play.join().is_err(), number == 3));
        }
    });
    assert_eq!(ran.into_inner(), 8);
}
