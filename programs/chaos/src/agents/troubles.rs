//! Kills, pauses and cuts drawn from the day's seed.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::Agents;
use crate::parted::{BetweenFault, ProcessFault, Way, What};

/// What happens to one worker's process.
#[derive(Clone, Debug)]
pub struct WorkerFault {
    pub at_s: f64,
    pub for_s: f64,
    /// From 0.
    pub worker: usize,
    /// Killed and started again after the time; else paused.
    pub killed: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Drawn {
    pub process: Vec<ProcessFault>,
    pub between: Vec<BetweenFault>,
    pub workers: Vec<WorkerFault>,
}

impl Drawn {
    pub fn count(&self) -> usize {
        self.process.len() + self.between.len() + self.workers.len()
    }
}

/// Dispatchers away at once, so that a majority is there but for the time of its recovery.
const AWAY_MOST: usize = 2;
/// A dispatcher that was away is left alone for so long after, to find its peers and catch up.
const REST_S: f64 = 3.0;

struct Chance(Xoshiro256PlusPlus);

impl Chance {
    fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn within(&mut self, least: f64, most: f64) -> f64 {
        least + self.share() * (most - least)
    }

    fn below(&mut self, n: usize) -> usize {
        ((self.share() * n as f64) as usize).min(n.saturating_sub(1))
    }
}

/// So many troubles over dispatchers, workers and what lies between dispatchers. Those of one process do not overlap, nor those
/// that the script has for it.
pub fn draw(agents: &Agents, seed: u64, dispatchers: usize, scripted: &[ProcessFault]) -> Drawn {
    let mut chance = Chance(Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x7b0b1e));
    let mut drawn = Drawn::default();
    // A bound on draws, for days that are too short for so many.
    for _ in 0..agents.kills * 100 {
        if drawn.count() >= agents.kills {
            break;
        }
        let at_s = chance.within(1.0, agents.kills_within_s.max(1.5));
        match chance.below(8) {
            0 | 1 => dispatcher(&mut drawn, &mut chance, at_s, (dispatchers, scripted)),
            2..=4 => worker(&mut drawn, &mut chance, at_s, agents.workers),
            _ => link(&mut drawn, &mut chance, at_s, dispatchers),
        }
    }
    drawn
}

fn dispatcher(
    drawn: &mut Drawn,
    chance: &mut Chance,
    at_s: f64,
    (count, scripted): (usize, &[ProcessFault]),
) {
    let killed = chance.share() < 0.5;
    let for_s = if killed {
        chance.within(0.1, 1.5)
    } else {
        chance.within(0.2, 4.0)
    };
    let fault = ProcessFault {
        at_s,
        for_s,
        dispatcher: chance.below(count) + 1,
        what: if killed { What::Kill } else { What::Pause },
    };
    let near =
        |f: &&ProcessFault| f.at_s < at_s + for_s + REST_S && at_s < f.at_s + f.for_s + REST_S;
    let most = AWAY_MOST.min(count.saturating_sub(1) / 2);
    let away = scripted.iter().chain(&drawn.process).filter(near);
    if away.clone().all(|f| f.dispatcher != fault.dispatcher) && away.count() < most {
        drawn.process.push(fault);
    }
}

fn worker(drawn: &mut Drawn, chance: &mut Chance, at_s: f64, count: usize) {
    let killed = chance.share() < 0.6;
    // A pause outlasts the lease now and then, so that its worker comes back to what another one carries.
    let for_s = if killed {
        chance.within(0.1, 2.0)
    } else {
        chance.within(0.2, 6.0)
    };
    let worker = chance.below(count);
    let apart = |f: &WorkerFault| at_s + for_s < f.at_s || f.at_s + f.for_s + 0.2 < at_s;
    if drawn
        .workers
        .iter()
        .filter(|f| f.worker == worker)
        .all(apart)
    {
        drawn.workers.push(WorkerFault {
            at_s,
            for_s,
            worker,
            killed,
        });
    }
}

fn link(drawn: &mut Drawn, chance: &mut Chance, at_s: f64, count: usize) {
    let one = chance.below(count) + 1;
    let other = (one + chance.below(count - 1)) % count + 1;
    // One from another, or one from all.
    let with = if chance.share() < 0.6 {
        vec![other]
    } else {
        vec![]
    };
    let way = [Way::Both, Way::Both, Way::Out, Way::In][chance.below(4)];
    drawn.between.push(BetweenFault {
        at_s,
        for_s: chance.within(0.2, 2.5),
        group: vec![one],
        with,
        way,
        cut: true,
        lost: 0.0,
        twice: 0.0,
        delay_s: 0.0,
        jitter_s: 0.0,
        bytes_s: 0.0,
    });
}
