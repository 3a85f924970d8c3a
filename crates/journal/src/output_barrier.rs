//! Delays outputs until the charges that must precede them are durable. Each receiver has its own queue, which keeps the
//! order of its outputs.

use std::collections::{BTreeMap, VecDeque};

/// Number of a charge that is being written to disk, starting at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Charge(pub u64);

/// Marks an output that does not depend on a charge, but is queued behind outputs that do.
const NO_CHARGE: Charge = Charge(0);

/// A delayed output.
#[derive(Debug)]
struct HeldOutput<T> {
    charge: Charge,
    offered_s: f64,
    output: T,
}

/// Queues of delayed outputs by receiver `K`. A receiver without queued outputs is not delayed by the charges of others.
#[derive(Debug)]
pub struct OutputBarrier<K, T> {
    queues: BTreeMap<K, VecDeque<HeldOutput<T>>>,
    max_wait_s: f64,
}

impl<K: Ord + Copy, T> OutputBarrier<K, T> {
    /// Creates a barrier that delays each output by at most `max_wait_s` seconds. If the disk stalls, an answer in time
    /// takes precedence over a durable charge.
    pub fn new(max_wait_s: f64) -> OutputBarrier<K, T> {
        OutputBarrier {
            queues: BTreeMap::new(),
            max_wait_s,
        }
    }

    /// Adds an output for receiver `to` that must wait for the charge `behind`, if any. Returns the output if it may be
    /// sent at once; otherwise it is queued.
    pub fn offer(&mut self, now_s: f64, to: K, behind: Option<Charge>, output: T) -> Option<T> {
        let charge = match behind {
            Some(charge) => charge,
            // Queued as well, to preserve the order of the receiver's outputs.
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

    /// Reports that all charges up to `up_to` are durable; returns the outputs that may be sent now, in order.
    pub fn written(&mut self, up_to: Charge) -> Vec<T> {
        self.release(|held| held.charge <= up_to)
    }

    /// Returns the outputs that have been delayed for the maximum time, with all outputs queued before them.
    pub fn overdue(&mut self, now_s: f64) -> Vec<T> {
        let max_wait_s = self.max_wait_s;
        self.release(|held| held.charge == NO_CHARGE || now_s - held.offered_s >= max_wait_s)
    }

    fn release(&mut self, may_be_sent: impl Fn(&HeldOutput<T>) -> bool) -> Vec<T> {
        let mut released = Vec::new();
        self.queues.retain(|_, queue| {
            while queue.front().is_some_and(&may_be_sent) {
                released.extend(queue.pop_front().map(|held| held.output));
            }
            !queue.is_empty()
        });
        released
    }

    /// The earliest time at which [`OutputBarrier::overdue`] will return an output; `None` if no output waits for a
    /// charge.
    pub fn next_s(&self) -> Option<f64> {
        self.queues
            .values()
            .filter_map(|queue| queue.iter().find(|held| held.charge != NO_CHARGE))
            .map(|held| held.offered_s)
            .min_by(f64::total_cmp)
            .map(|offered_s| offered_s + self.max_wait_s)
    }

    /// Drops the queued outputs of a receiver that has disconnected.
    pub fn forget(&mut self, to: K) {
        self.queues.remove(&to);
    }

    /// Whether no output is queued.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}

#[cfg(test)]
mod tests;
