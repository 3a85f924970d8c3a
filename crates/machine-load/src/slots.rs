//! A bound on how many tests of one process run at a time.

use std::sync::{Condvar, Mutex, PoisonError};

/// Tests over real processes load the machine: more of them at a time than it can run fail by their time limits.
pub struct Slots {
    most: usize,
    taken: Mutex<usize>,
    freed: Condvar,
}

impl Slots {
    /// A bound of so many at a time.
    pub const fn new(most: usize) -> Slots {
        Slots {
            most,
            taken: Mutex::new(0),
            freed: Condvar::new(),
        }
    }

    /// Waits until fewer than the bound run, and takes a slot.
    pub fn take(&self) -> Slot<'_> {
        let taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        let mut taken = self
            .freed
            .wait_while(taken, |taken| *taken >= self.most)
            .unwrap_or_else(PoisonError::into_inner);
        *taken += 1;
        Slot(self)
    }
}

/// One that runs, until it is dropped.
pub struct Slot<'a>(&'a Slots);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *self.0.taken.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        self.0.freed.notify_one();
    }
}
