//! What a seed draws: the deployment, the traffic, and when which trouble begins and ends.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::faults::{Fault, DRAWN_FAULTS, FAULTS};
use crate::outage_starts;
use crate::slow_start::{SlowStartTerms, WarmUp};
use crate::traffic::Traffic;

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
    /// One server hangs: nothing arrives there, it does not see that connections are closed, and then it goes on.
    Hang {
        server: usize,
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
    /// A process is killed and started again.
    Kill {
        process: usize,
    },
    Reload {
        process: usize,
        whole: bool,
    },
    Pause {
        process: usize,
    },
    /// The process of a server ends, and starts again under its uid after so many seconds.
    ColdStart {
        server: usize,
        replacement: Replacement,
        away_s: f64,
        /// Seconds from the new process's start until it is listed.
        listed_after_s: f64,
        /// Seconds from its start until it takes connections, which come up at once.
        accepts_after_s: f64,
    },
    /// Idle clients of a process hold so many connections.
    Crowd {
        process: usize,
        connections: usize,
    },
}

/// What the list says of a server that is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replacement {
    /// It drains, is gone, and is ready again.
    Gone,
    /// It drains and is ready again.
    Drained,
    /// Nothing until its new start is listed.
    Crashed,
    /// Its new start is listed while it still drains; then it is ready.
    ListedDraining,
    /// It drains, and is listed as ready twice.
    ListedTwice,
}

const REPLACEMENTS: [Replacement; 5] = [
    Replacement::Gone,
    Replacement::Drained,
    Replacement::Crashed,
    Replacement::ListedDraining,
    Replacement::ListedTwice,
];

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
    pub traffic: Traffic,
    /// How servers start on days with cold starts; on others they are never cold.
    pub slow_start: Option<SlowStartTerms>,
    /// The dispatchers' settings say that servers start warm, which is not so.
    pub without_slow_start: bool,
    /// Speed of each server by its number, as a multiple of the mean; 1 for servers beyond the last.
    pub server_speeds: Vec<f64>,
    /// Interval at which discovery's agent of each process learns of changes, seconds; 0 for at once.
    pub agent_periods_s: Vec<f64>,
}

/// Quiet seconds before the first trouble, and after the last one's end.
const QUIET_S: (f64, f64) = (1.5, 2.0);
/// Requests a second at all processes together.
const RATE: f64 = 30.0;
/// Servers of a role, requests a second, deadline and utilization on days with quiet starts.
const QUIET_SERVERS_BY_ROLE: usize = 6;
const QUIET_RATE: f64 = 90.0;
const QUIET_DEADLINE_S: f64 = 4.0;
const QUIET_UTILIZATION: f64 = 0.7;
/// Start capacity of servers where the dispatchers' slow start is off.
const FRAGILE_START_CAPACITY: f64 = 0.05;
const COLD_START_SEED: u64 = 0x00C0_1D57_A127;
const SPEED_SEED: u64 = 0x005B_EED5;
/// Slowest and fastest server of a role, as multiples of the mean.
const SERVER_SPEEDS: (f64, f64) = (0.6, 1.2);
/// Servers of a role on days with cold starts: a small fleet has small budgets.
const COLD_SERVERS_BY_ROLE: [usize; 3] = [4, 6, 8];
/// Requests a second at all processes on these days: small and large budgets.
const COLD_RATES: [f64; 3] = [30.0, 60.0, 90.0];
/// Deadlines on these days: work takes its time there.
const COLD_DEADLINES_S: [f64; 3] = [3.0, 4.0, 6.0];
/// Utilization of warm servers on these days.
const UTILIZATION: (f64, f64) = (0.5, 0.9);
/// Seconds between two cold starts, and what one of them takes.
const COLD_START_EVERY_S: (f64, f64) = (1.5, 3.5);
const AWAY_S: (f64, f64) = (0.2, 1.2);
const MAX_LISTED_AFTER_S: f64 = 2.0;
/// The same of a fleet at its capacity. A server is listed again before it goes away anew.
const CAPACITY_SERVERS_BY_ROLE: [usize; 3] = [4, 4, 6];
const CAPACITY_RATES: [f64; 3] = [28.0, 30.0, 60.0];
const CAPACITY_UTILIZATION: (f64, f64) = (0.9, 1.25);
const CAPACITY_START_EVERY_S: (f64, f64) = (3.5, 4.5);
const CAPACITY_AWAY_S: (f64, f64) = (3.5, 5.5);
const CAPACITY_REPLACEMENTS: [Replacement; 3] = [
    Replacement::Gone,
    Replacement::Drained,
    Replacement::ListedDraining,
];
/// Descriptors there: streams are long, and each holds two.
const CAPACITY_SOCKETS: usize = 1024;
/// Speed of prefill servers there: decode servers are what the fleet is short of.
const CAPACITY_PREFILL_SPEED: f64 = 1.8;
/// Decode servers that restart in turn in such a fleet.
const SERVERS_IN_TURN: usize = 3;
const MAX_AGENT_PERIOD_S: f64 = 1.5;
/// Fraction of the cold starts whose connections come up late, and how late.
const LATE_CONNECTIONS: f64 = 0.3;
const MAX_ACCEPTS_AFTER_S: f64 = 1.0;
/// Part of a process's descriptors that idle clients hold.
const CROWD_FRACTION: f64 = 0.2;
const CROWD_S: (f64, f64) = (2.0, 5.0);

impl Day {
    /// The day of a seed; `faults` empty draws two classes.
    pub fn draw(seed: u64, processes: usize, length_s: f64, faults: &[Fault]) -> Day {
        let mut chance = Chance::new(seed);
        let faults = if faults.is_empty() {
            drawn_faults(seed)
        } else {
            faults.to_vec()
        };
        let mut deployment = Deployment {
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
        // Not the day's own chance: days without these classes play as they did before there were any.
        let mut chance = Chance::new(seed ^ COLD_START_SEED);
        let pattern = if faults.contains(&Fault::AtCapacity) {
            Some(&AT_CAPACITY)
        } else {
            faults.contains(&Fault::ColdStart).then_some(&COLD_STARTS)
        };
        let slow_start = pattern.map(|pattern| {
            deployment.servers_by_role = chance.one_of(&pattern.servers_by_role);
            deployment.safe_deadline_s = chance.one_of(&COLD_DEADLINES_S);
            deployment.unsafe_deadline_s = chance.one_of(&COLD_DEADLINES_S);
            if pattern.decode_servers_in_turn.is_some() {
                deployment.sockets = CAPACITY_SOCKETS;
            }
            let rate = chance.one_of(&pattern.rates);
            deployment.rate = rate / processes as f64;
            slow_start(deployment.servers_by_role, rate, pattern, &mut chance)
        });
        let mut agent_periods_s = vec![0.0; processes];
        if let Some(pattern) = pattern {
            spells.extend(cold_starts(&deployment, length_s, pattern, &mut chance));
            agent_periods_s.fill_with(|| chance.between(0.0, MAX_AGENT_PERIOD_S));
        }
        if faults.contains(&Fault::QuietStart) {
            deployment.servers_by_role = QUIET_SERVERS_BY_ROLE;
            deployment.safe_deadline_s = QUIET_DEADLINE_S;
            deployment.unsafe_deadline_s = QUIET_DEADLINE_S;
            deployment.rate = QUIET_RATE / processes as f64;
            spells.extend(quiet_starts());
        }
        let slow_start = slow_start.or_else(|| {
            let is_quiet = faults.contains(&Fault::QuietStart);
            is_quiet.then(|| quiet_slow_start(&mut chance))
        });
        if faults.contains(&Fault::Crowd) {
            spells.extend(crowd(&deployment, processes, length_s, &mut chance));
        }
        if faults.contains(&Fault::OutageStart) {
            let servers = deployment.servers_by_role;
            spells.extend(outage_starts::spells(seed, servers, processes, length_s));
        }
        let traffic = Traffic::draw(&faults, length_s, &mut chance);
        spells.sort_by(|a, b| a.from_s.total_cmp(&b.from_s));
        Day {
            traffic,
            slow_start,
            without_slow_start: false,
            server_speeds: server_speeds(seed, &faults, deployment.servers_by_role),
            agent_periods_s,
            seed,
            processes,
            length_s,
            faults,
            deployment,
            spells,
        }
    }

    /// Tells the dispatchers that servers start warm, though each bears next to nothing at first.
    pub fn turn_slow_start_off(&mut self) {
        self.without_slow_start = true;
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.start_capacity = FRAGILE_START_CAPACITY;
            slow_start.overload_factor = 1.0;
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

/// How servers restart one after another, and in what fleet.
struct ColdStartPattern {
    servers_by_role: [usize; 3],
    rates: [f64; 3],
    utilization: (f64, f64),
    every_s: (f64, f64),
    away_s: (f64, f64),
    replacements: &'static [Replacement],
    /// Only so many decode servers restart, in turn; `None` for all servers.
    decode_servers_in_turn: Option<usize>,
}

const COLD_STARTS: ColdStartPattern = ColdStartPattern {
    servers_by_role: COLD_SERVERS_BY_ROLE,
    rates: COLD_RATES,
    utilization: UTILIZATION,
    every_s: COLD_START_EVERY_S,
    away_s: AWAY_S,
    replacements: &REPLACEMENTS,
    decode_servers_in_turn: None,
};

const AT_CAPACITY: ColdStartPattern = ColdStartPattern {
    servers_by_role: CAPACITY_SERVERS_BY_ROLE,
    rates: CAPACITY_RATES,
    utilization: CAPACITY_UTILIZATION,
    every_s: CAPACITY_START_EVERY_S,
    away_s: CAPACITY_AWAY_S,
    replacements: &CAPACITY_REPLACEMENTS,
    decode_servers_in_turn: Some(SERVERS_IN_TURN),
};

/// Speeds by the numbers of the servers, as multiples of the mean; none where all are alike.
fn server_speeds(seed: u64, faults: &[Fault], servers_by_role: usize) -> Vec<f64> {
    let mut speeds = vec![1.0; 2 * servers_by_role];
    if faults.contains(&Fault::UnlikeServers) {
        let mut chance = Chance::new(seed ^ SPEED_SEED);
        speeds.fill_with(|| chance.between(SERVER_SPEEDS.0, SERVER_SPEEDS.1));
        for role in 0..2 {
            let of_role = || (role..2 * servers_by_role).step_by(2);
            let mean = of_role().map(|n| speeds[n]).sum::<f64>() / servers_by_role as f64;
            of_role().for_each(|n| speeds[n] /= mean);
        }
    }
    if faults.contains(&Fault::AtCapacity) {
        let prefill = speeds.iter_mut().step_by(2);
        prefill.for_each(|speed| *speed *= CAPACITY_PREFILL_SPEED);
    }
    speeds
}

fn slow_start(
    servers_by_role: usize,
    rate: f64,
    pattern: &ColdStartPattern,
    chance: &mut Chance,
) -> SlowStartTerms {
    let utilization = chance.between(pattern.utilization.0, pattern.utilization.1);
    SlowStartTerms {
        overload_factor: chance.one_of(&[2.0, 2.5, 3.0]),
        start_capacity: chance.one_of(&[0.15, 0.25, 0.5]),
        window_s: chance.one_of(&[1.5, 2.0, 3.0]),
        warm_after_s: chance.one_of(&[8.0, 12.0, 14.0]),
        warm_rate: rate / servers_by_role as f64 / utilization,
        warm_up: chance.one_of(&[WarmUp::ByAge, WarmUp::ByRequests]),
    }
}

/// A server of each role that starts as the lull of [`Traffic`] begins.
fn quiet_starts() -> Vec<Spell> {
    let one = |server| Spell {
        from_s: QUIET_S.0,
        to_s: QUIET_S.0,
        trouble: Trouble::ColdStart {
            server,
            replacement: Replacement::Gone,
            away_s: AWAY_S.0,
            listed_after_s: 0.0,
            accepts_after_s: 0.0,
        },
    };
    (0..2).map(one).collect()
}

fn quiet_slow_start(chance: &mut Chance) -> SlowStartTerms {
    SlowStartTerms {
        overload_factor: 2.5,
        start_capacity: 0.25,
        window_s: 3.0,
        warm_after_s: chance.between(12.0, 14.0),
        warm_rate: QUIET_RATE / QUIET_SERVERS_BY_ROLE as f64 / QUIET_UTILIZATION,
        warm_up: WarmUp::ByRequests,
    }
}

/// Servers one after another, half of them again and again.
fn cold_starts(
    deployment: &Deployment,
    length_s: f64,
    pattern: &ColdStartPattern,
    chance: &mut Chance,
) -> Vec<Spell> {
    let last_s = length_s - QUIET_S.1 - pattern.away_s.1;
    let mut from_s = QUIET_S.0;
    let mut spells = Vec::new();
    let first = chance.below(deployment.servers_by_role);
    while from_s < last_s {
        let accepts_after_s = if chance.happens(LATE_CONNECTIONS) {
            chance.between(0.0, MAX_ACCEPTS_AFTER_S)
        } else {
            0.0
        };
        let trouble = Trouble::ColdStart {
            server: match pattern.decode_servers_in_turn {
                Some(servers) => 2 * ((first + spells.len()) % servers) + 1,
                None => (first + spells.len()) % deployment.servers_by_role,
            },
            replacement: chance.one_of(pattern.replacements),
            away_s: chance.between(pattern.away_s.0, pattern.away_s.1),
            listed_after_s: chance.between(0.0, MAX_LISTED_AFTER_S),
            accepts_after_s,
        };
        spells.push(Spell {
            from_s,
            to_s: from_s,
            trouble,
        });
        from_s += chance.between(pattern.every_s.0, pattern.every_s.1);
    }
    spells
}

fn crowd(
    deployment: &Deployment,
    processes: usize,
    length_s: f64,
    chance: &mut Chance,
) -> Vec<Spell> {
    let one = |process| {
        let from_s = chance.between(QUIET_S.0, length_s / 2.0);
        Spell {
            from_s,
            to_s: from_s + chance.between(CROWD_S.0, CROWD_S.1),
            trouble: Trouble::Crowd {
                process,
                connections: (CROWD_FRACTION * deployment.sockets as f64) as usize,
            },
        }
    };
    (0..processes).map(one).collect()
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
        let fault = chance.one_of(&FAULTS[..DRAWN_FAULTS]).1;
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
        Fault::Hang => (4, (0.5, 3.5)),
        Fault::Unreachable => (3, (0.5, 2.0)),
        Fault::Reset => (2, (1.0, 3.0)),
        Fault::Drain => (3, (0.0, 0.0)),
        Fault::Discovery => (2, (1.0, 3.0)),
        Fault::Restart => (2, (0.0, 0.0)),
        Fault::Reload => (6, (0.0, 0.0)),
        Fault::Pause => (12, (0.02, 0.15)),
        Fault::Clients | Fault::Calls | Fault::Short | Fault::Clock => (0, (0.0, 0.0)),
        Fault::ColdStart
        | Fault::Burst
        | Fault::HeavyRequests
        | Fault::HotPrefix
        | Fault::ClientRetry
        | Fault::Skew
        | Fault::Crowd
        | Fault::QuietStart
        | Fault::AtCapacity
        | Fault::UnlikeServers
        | Fault::HiddenLengths
        | Fault::SpoiltStreams
        | Fault::SlowStreams
        | Fault::SlowRequests
        | Fault::OutageStart => (0, (0.0, 0.0)),
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
            // The last server of each role goes on: nothing can be released while no server runs.
            Fault::Hang => Trouble::Hang {
                server: chance.below(2 * servers - 2),
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
