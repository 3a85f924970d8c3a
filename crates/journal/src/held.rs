//! What must not leave before something is on disk: queues by receiver, each in its order.

use std::collections::{BTreeMap, VecDeque};

/// Number of a charge on its way to the disk, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Charge(pub u64);

/// Held back by receiver `K`. A receiver without anything held is not delayed by others' charges.
#[derive(Debug)]
pub struct Held<K, T> {
    queues: BTreeMap<K, VecDeque<(Charge, f64, T)>>,
    /// Longest that anything is held, seconds: an answer in time goes before a charge that the disk does not take.
    most_s: f64,
}

impl<K: Ord + Copy, T> Held<K, T> {
    pub fn new(most_s: f64) -> Held<K, T> {
        Held {
            queues: BTreeMap::new(),
            most_s,
        }
    }

    /// Offers one thing for a receiver, behind a charge where there is one. Given back where it may leave at once.
    pub fn offer(&mut self, now_s: f64, to: K, behind: Option<Charge>, what: T) -> Option<T> {
        let behind = match behind {
            Some(charge) => charge,
            // It keeps its place in the order of what its receiver is told.
            None if self.queues.contains_key(&to) => Charge(0),
            None => return Some(what),
        };
        self.queues
            .entry(to)
            .or_default()
            .push_back((behind, now_s, what));
        None
    }

    /// All charges up to one are on disk: what may leave now, in order.
    pub fn written(&mut self, up_to: Charge) -> Vec<T> {
        self.free(|charge, _| charge <= up_to)
    }

    /// What has been held for as long as it may be, and all before it.
    pub fn overdue(&mut self, now_s: f64) -> Vec<T> {
        let most_s = self.most_s;
        self.free(|charge, since| charge == Charge(0) || now_s - since >= most_s)
    }

    fn free(&mut self, may: impl Fn(Charge, f64) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        self.queues.retain(|_, queue| {
            while queue
                .front()
                .is_some_and(|(charge, since, _)| may(*charge, *since))
            {
                out.extend(queue.pop_front().map(|held| held.2));
            }
            !queue.is_empty()
        });
        out
    }

    /// When [`Held::overdue`] has something, at the latest.
    pub fn next_s(&self) -> Option<f64> {
        let first = self
            .queues
            .values()
            .filter_map(|q| q.iter().find(|h| h.0 != Charge(0)).map(|h| h.1));
        first
            .min_by(f64::total_cmp)
            .map(|since| since + self.most_s)
    }

    /// A receiver has gone, and with it what was held for it.
    pub fn forget(&mut self, to: K) {
        self.queues.remove(&to);
    }

    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_waits_for_its_charge_and_what_follows_for_the_answer() {
        let mut held = Held::new(0.5);
        assert_eq!(held.offer(0.0, 1, None, "a"), Some("a"));
        assert_eq!(held.offer(0.0, 1, Some(Charge(4)), "answer"), None);
        assert_eq!(held.offer(0.1, 1, None, "after"), None);
        assert_eq!(
            held.offer(0.1, 2, None, "other"),
            Some("other"),
            "another receiver does not wait"
        );
        assert_eq!(held.offer(0.1, 2, Some(Charge(5)), "its answer"), None);
        assert!(held.written(Charge(3)).is_empty());
        assert_eq!(held.written(Charge(4)), ["answer", "after"]);
        assert_eq!(held.offer(0.2, 1, None, "b"), Some("b"));
        assert_eq!(held.next_s(), Some(0.6));
        assert!(held.overdue(0.5).is_empty());
        assert_eq!(held.overdue(0.6), ["its answer"], "in time, written or not");
        assert!(held.is_empty());
    }

    #[test]
    fn who_has_gone_is_told_nothing() {
        let mut held = Held::new(0.5);
        held.offer(0.0, 1, Some(Charge(1)), "answer");
        held.forget(1);
        assert!(held.written(Charge(9)).is_empty() && held.next_s().is_none());
    }
}
