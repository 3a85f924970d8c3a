//! Processes that are killed and started again inside an outage of discovery, after servers have begun to drain: the list
//! in their configuration is from before the drains.

use crate::draw::{Chance, Spell, Trouble};

const SEED: u64 = 0x0057_A127_0D15;
/// When the drains begin, seconds from the day's begin.
const DRAINS_S: (f64, f64) = (1.0, 1.4);
/// From the drains to the outage, seconds: agents have told them by then.
const TOLD_S: (f64, f64) = (0.3, 1.5);
/// From the outage's begin to the kill of a process, seconds.
const KILL_AFTER_S: (f64, f64) = (0.0, 0.8);
/// Length of the outage, seconds; it also ends early enough for service to be seen again.
const OUTAGE_S: (f64, f64) = (2.5, 9.0);
const SERVED_AGAIN_S: f64 = 1.5;
/// Fraction of the processes that are killed, beside the first.
const KILLED: f64 = 0.7;

/// A drain in each role, an outage, and the processes that start again within it.
pub fn spells(seed: u64, servers_by_role: usize, processes: usize, length_s: f64) -> Vec<Spell> {
    let mut chance = Chance::new(seed ^ SEED);
    let drains_s = chance.between(DRAINS_S.0, DRAINS_S.1);
    let down_s = drains_s + chance.between(TOLD_S.0, TOLD_S.1);
    let up_s = down_s + chance.between(OUTAGE_S.0, OUTAGE_S.1);
    let up_s = up_s.min(length_s - SERVED_AGAIN_S);
    let at = |from_s: f64, to_s: f64, trouble: Trouble| Spell {
        from_s,
        to_s,
        trouble,
    };
    let mut spells = vec![at(down_s, up_s, Trouble::DiscoveryDown)];
    for role in 0..2 {
        let server = 2 * chance.below(servers_by_role) + role;
        spells.push(at(drains_s, drains_s, Trouble::Drain { server }));
    }
    for process in 0..processes {
        if process == 0 || chance.happens(KILLED) {
            let kill_s = down_s + chance.between(KILL_AFTER_S.0, KILL_AFTER_S.1);
            spells.push(at(kill_s, kill_s, Trouble::Kill { process }));
        }
    }
    spells
}
