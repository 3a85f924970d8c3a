//! Messages in flight between simulated processes, with random delay, loss and duplication.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

/// Network between numbered places in simulated time.
pub struct Network<M> {
    /// Simulated time since the start of the run.
    pub now: Duration,
    /// Whether the network carries a message from the first place to the second; evaluated when the message is sent. Used to
    /// simulate partitions.
    pub passes: Box<dyn Fn(usize, usize) -> bool>,
    /// Probability, from 0 to 1, that a copy of a message is lost.
    pub loss: f64,
    /// Probability, from 0 to 1, that a message is sent as two copies.
    pub twice: f64,
    /// Minimum network delay, and the maximum random delay added to it.
    pub delay: (Duration, Duration),
    /// Messages in flight by arrival time; the sequence number orders equal arrival times.
    in_flight: BTreeMap<(Duration, u64), (usize, usize, M)>,
    last_sequence_number: u64,
    rng: SplitMix64,
}

impl<M: Clone> Network<M> {
    /// Creates a network without loss, duplicates or partitions and with delays from 0.2 to 3.2 ms.
    pub fn new(seed: u64) -> Network<M> {
        Network {
            now: Duration::ZERO,
            passes: Box::new(|_, _| true),
            loss: 0.0,
            twice: 0.0,
            delay: (Duration::from_micros(200), Duration::from_micros(3000)),
            in_flight: BTreeMap::new(),
            last_sequence_number: 0,
            rng: SplitMix64::seed_from_u64(seed),
        }
    }

    /// Pseudorandom number, uniform from 0 up to but not including 1.
    pub fn draw(&mut self) -> f64 {
        (self.draw_bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// 64 pseudorandom bits.
    pub fn draw_bits(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Sends a message, which is delayed and may be lost, duplicated or blocked by a partition.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        let copies = if self.draw() < self.twice { 2 } else { 1 };
        for _ in 0..copies {
            if (self.passes)(from, to) && self.draw() >= self.loss {
                let (minimum, jitter) = self.delay;
                let delay = minimum
                    + Duration::from_micros((self.draw() * jitter.as_micros() as f64) as u64);
                self.last_sequence_number += 1;
                self.in_flight.insert(
                    (self.now + delay, self.last_sequence_number),
                    (from, to, message.clone()),
                );
            }
        }
    }

    /// Simulated time at which the next message arrives, if any is in flight.
    pub fn next_at(&self) -> Option<Duration> {
        self.in_flight.keys().next().map(|k| k.0)
    }

    /// Removes the next message to arrive from the network and returns its sender, its receiver and the message.
    pub fn arrive(&mut self) -> Option<(usize, usize, M)> {
        self.in_flight.pop_first().map(|(_, message)| message)
    }
}
