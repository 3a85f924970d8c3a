//! Outputs that may not leave before a charge is on disk: a queue for each receiver, in order.

use std::collections::{BTreeMap, VecDeque};

/// Number of a charge on its way to the disk, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Charge(pub u64);

/// Stands for an output that waits for no charge, but for those before it.
const NO_CHARGE: Charge = Charge(0);

/// An output that is held back.
#[derive(Debug)]
struct HeldOutput<T> {
    charge: Charge,
    offered_s: f64,
    output: T,
}

/// Outputs held back by receiver `K`. A receiver without any is not delayed by others' charges.
#[derive(Debug)]
pub struct OutputBarrier<K, T> {
    queues: BTreeMap<K, VecDeque<HeldOutput<T>>>,
    max_wait_s: f64,
}

impl<K: Ord + Copy, T> OutputBarrier<K, T> {
    /// Holds nothing back for longer than `max_wait_s` seconds: an answer in time precedes a charge that the disk does not take.
    pub fn new(max_wait_s: f64) -> OutputBarrier<K, T> {
        OutputBarrier {
            queues: BTreeMap::new(),
            max_wait_s,
        }
    }

    /// Offers an output for a receiver, behind a charge where there is one. Returned where it may leave at once.
    pub fn offer(&mut self, now_s: f64, to: K, behind: Option<Charge>, output: T) -> Option<T> {
        let charge = match behind {
            Some(charge) => charge,
            // It keeps its place in the order of the receiver's outputs.
            None if self.queues.contains_key(&to) => NO_CHARGE,
            None => return Some(output),
        };
        let held = HeldOutput {
            charge,
            offered_s: now_s,
            output,
        };
        self.queues.entry(to).or_default().push_back(held);
        None
    }

    /// All charges up to one are on disk: returns what may leave now, in order.
    pub fn written(&mut self, up_to: Charge) -> Vec<T> {
        self.release(|held| held.charge <= up_to)
    }

    /// Returns what has been held for the longest time that it may be, and all before it.
    pub fn overdue(&mut self, now_s: f64) -> Vec<T> {
        let max_wait_s = self.max_wait_s;
        self.release(|held| held.charge == NO_CHARGE || now_s - held.offered_s >= max_wait_s)
    }

    fn release(&mut self, may_leave: impl Fn(&HeldOutput<T>) -> bool) -> Vec<T> {
        let mut released = Vec::new();
        self.queues.retain(|_, queue| {
            while queue.front().is_some_and(&may_leave) {
                released.extend(queue.pop_front().map(|held| held.output));
            }
            !queue.is_empty()
        });
        released
    }

    /// When [`OutputBarrier::overdue`] has something at the latest.
    pub fn next_s(&self) -> Option<f64> {
        self.queues
            .values()
            .filter_map(|queue| queue.iter().find(|held| held.charge != NO_CHARGE))
            .map(|held| held.offered_s)
            .min_by(f64::total_cmp)
            .map(|offered_s| offered_s + self.max_wait_s)
    }

    /// A receiver has disconnected: what was held for it is dropped.
    pub fn forget(&mut self, to: K) {
        self.queues.remove(&to);
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}

#[cfg(test)]
mod tests;
