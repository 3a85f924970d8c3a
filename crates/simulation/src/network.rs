//! What is under way between members, and the chance of each message.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

/// Messages between numbered places in simulated time.
pub struct Network<M> {
    pub now: Duration,
    /// Whether a message from one to another passes, asked when it is sent.
    pub passes: Box<dyn Fn(usize, usize) -> bool>,
    /// Share that is lost, and that comes twice.
    pub loss: f64,
    pub twice: f64,
    /// The least time under way, and the most beyond it.
    pub delay: (Duration, Duration),
    way: BTreeMap<(Duration, u64), (usize, usize, M)>,
    count: u64,
    draws: SplitMix64,
}

impl<M: Clone> Network<M> {
    /// All passes, with 0.2 to 3.2 ms under way.
    pub fn new(seed: u64) -> Network<M> {
        Network {
            now: Duration::ZERO,
            passes: Box::new(|_, _| true),
            loss: 0.0,
            twice: 0.0,
            delay: (Duration::from_micros(200), Duration::from_micros(3000)),
            way: BTreeMap::new(),
            count: 0,
            draws: SplitMix64::seed_from_u64(seed),
        }
    }

    /// From 0 to 1.
    pub fn draw(&mut self) -> f64 {
        (self.draw_bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// 64 bits of chance.
    pub fn draw_bits(&mut self) -> u64 {
        self.draws.next_u64()
    }

    /// Puts a message on its way, or loses it, or doubles it.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        let copies = if self.draw() < self.twice { 2 } else { 1 };
        for _ in 0..copies {
            if (self.passes)(from, to) && self.draw() >= self.loss {
                let (least, spread) = self.delay;
                let after =
                    least + Duration::from_micros((self.draw() * spread.as_micros() as f64) as u64);
                self.count += 1;
                self.way
                    .insert((self.now + after, self.count), (from, to, message.clone()));
            }
        }
    }

    /// When the next one arrives.
    pub fn next_at(&self) -> Option<Duration> {
        self.way.keys().next().map(|k| k.0)
    }

    /// The next one to arrive: from whom, to whom, what.
    pub fn arrive(&mut self) -> Option<(usize, usize, M)> {
        self.way.pop_first().map(|(_, message)| message)
    }
}
