//! What a seed draws: the deployment, the traffic, and when which trouble begins and ends.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::faults::{Fault, FAULTS};

/// Chance of one kind of thing, the same for the same seed.
pub struct Chance(Xoshiro256PlusPlus);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// From 0 up to 1.
    pub fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.share()
    }

    pub fn below(&mut self, end: usize) -> usize {
        (self.share() * end as f64) as usize
    }

    pub fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len())]
    }

    pub fn happens(&mut self, share: f64) -> bool {
        self.share() < share
    }
}

/// The settings that a day is played with.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub servers_by_role: usize,
    pub pin_limit_s: f64,
    pub connect_timeout_s: f64,
    pub safe_deadline_s: f64,
    pub unsafe_deadline_s: f64,
    pub may_cancel: bool,
    pub probes: bool,
    pub sockets: usize,
    /// Requests a second at each process.
    pub rate: f64,
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Servers of one role from the first on fall silent, so many of them.
    Silence {
        decode: bool,
        servers: usize,
        kept_only: bool,
    },
    /// Connections to one server do not come up.
    Unreachable {
        server: usize,
    },
    /// Servers reset so much of what arrives.
    Reset {
        share: f64,
    },
    /// One server drains, and a new one takes its place.
    Drain {
        server: usize,
    },
    DiscoveryDown,
    Restart {
        process: usize,
    },
    Reload {
        process: usize,
        whole: bool,
    },
    Pause {
        process: usize,
    },
}

/// A trouble and its time, seconds from the day's begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spell {
    pub from_s: f64,
    pub to_s: f64,
    pub trouble: Trouble,
}

/// One day as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    pub seed: u64,
    pub processes: usize,
    pub length_s: f64,
    pub faults: Vec<Fault>,
    pub deployment: Deployment,
    pub spells: Vec<Spell>,
}

/// Quiet seconds before the first trouble, and after the last one's end.
const QUIET_S: (f64, f64) = (1.5, 2.0);
/// Requests a second at all processes together.
const RATE: f64 = 30.0;

impl Day {
    /// The day of a seed; `faults` empty draws two classes.
    pub fn draw(seed: u64, processes: usize, length_s: f64, faults: &[Fault]) -> Day {
        let mut chance = Chance::new(seed);
        let faults = if faults.is_empty() {
            drawn_faults(seed)
        } else {
            faults.to_vec()
        };
        let deployment = Deployment {
            servers_by_role: 2 + chance.below(4),
            pin_limit_s: chance.one_of(&[0.3, 0.5, 1.0]),
            connect_timeout_s: chance.one_of(&[0.25, 0.5, 1.0]),
            safe_deadline_s: chance.one_of(&[0.5, 1.5, 3.0, 6.0]),
            unsafe_deadline_s: chance.one_of(&[0.8, 2.0, 4.0, 6.0]),
            may_cancel: chance.happens(0.6),
            probes: chance.happens(0.6),
            sockets: chance.one_of(&[80, 128, 256, 512]),
            rate: RATE / processes as f64,
        };
        let mut spells: Vec<Spell> = faults
            .iter()
            .flat_map(|fault| spells(*fault, &deployment, processes, length_s, &mut chance))
            .collect();
        if faults.contains(&Fault::SilentDecode) && faults.contains(&Fault::SilentPrefill) {
            leave_one_running(&mut spells, deployment.servers_by_role);
        }
        spells.sort_by(|a, b| a.from_s.total_cmp(&b.from_s));
        Day {
            seed,
            processes,
            length_s,
            faults,
            deployment,
            spells,
        }
    }

    pub fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// The command that plays this day again.
    pub fn command(&self) -> String {
        let faults: Vec<String> = self.faults.iter().map(Fault::to_string).collect();
        let (seed, processes, length_s) = (self.seed, self.processes, self.length_s);
        let faults = faults.join(",");
        format!(
            "bitternlatch-soak --seed {seed} --processes {processes} --length {length_s} --faults {faults}"
        )
    }
}

/// Where both roles fall silent some server still runs: nothing can be released while none does.
fn leave_one_running(spells: &mut [Spell], servers_by_role: usize) {
    for spell in spells {
        if let Trouble::Silence { servers, .. } = &mut spell.trouble {
            *servers = (*servers).min(servers_by_role - 1);
        }
    }
}

/// One class for a fourth of the seeds, else two.
fn drawn_faults(seed: u64) -> Vec<Fault> {
    // Not the day's own chance: a day plays the same where its classes are named.
    let mut chance = Chance::new(!seed);
    let many = if seed.is_multiple_of(4) { 1 } else { 2 };
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < many {
        let fault = chance.one_of(&FAULTS).1;
        if !faults.contains(&fault) {
            faults.push(fault);
        }
    }
    faults
}

/// How often a class strikes in a day, and for how long each time, seconds.
fn pattern(fault: Fault) -> (usize, (f64, f64)) {
    match fault {
        Fault::SilentDecode | Fault::SilentPrefill | Fault::SilentKept => (3, (0.5, 2.5)),
        Fault::Unreachable => (3, (0.5, 2.0)),
        Fault::Reset => (2, (1.0, 3.0)),
        Fault::Drain => (3, (0.0, 0.0)),
        Fault::Discovery => (2, (1.0, 3.0)),
        Fault::Restart => (2, (0.0, 0.0)),
        Fault::Reload => (6, (0.0, 0.0)),
        Fault::Pause => (12, (0.02, 0.15)),
        Fault::Clients | Fault::Calls | Fault::Short | Fault::Clock => (0, (0.0, 0.0)),
    }
}

fn spells(
    fault: Fault,
    deployment: &Deployment,
    processes: usize,
    length_s: f64,
    chance: &mut Chance,
) -> Vec<Spell> {
    let (times, (shortest_s, longest_s)) = pattern(fault);
    let servers = deployment.servers_by_role;
    let last_s = (length_s - QUIET_S.1).max(QUIET_S.0);
    let one = |at: usize| {
        let from_s = match fault {
            // One after the other: a process is held up for no longer than each says.
            Fault::Pause => {
                QUIET_S.0
                    + (at as f64 + chance.between(0.0, 0.4)) * (last_s - QUIET_S.0) / times as f64
            }
            _ => chance.between(QUIET_S.0, last_s),
        };
        let to_s = from_s + chance.between(shortest_s, longest_s);
        let most = (servers * 4).div_ceil(5);
        let process = chance.below(processes);
        let trouble = match fault {
            Fault::SilentDecode => Trouble::Silence {
                decode: true,
                servers: most,
                kept_only: false,
            },
            Fault::SilentPrefill => Trouble::Silence {
                decode: false,
                servers: most,
                kept_only: false,
            },
            Fault::SilentKept => Trouble::Silence {
                decode: chance.happens(0.7),
                servers,
                kept_only: true,
            },
            Fault::Unreachable => Trouble::Unreachable {
                server: chance.below(2 * servers),
            },
            Fault::Reset => Trouble::Reset {
                share: chance.between(0.1, 0.6),
            },
            Fault::Drain => Trouble::Drain {
                server: chance.below(2 * servers),
            },
            Fault::Discovery => Trouble::DiscoveryDown,
            Fault::Restart => Trouble::Restart { process },
            Fault::Reload => Trouble::Reload {
                process,
                whole: chance.happens(0.7),
            },
            _ => Trouble::Pause { process },
        };
        Spell {
            from_s,
            to_s,
            trouble,
        }
    };
    (0..times).map(one).collect()
}
