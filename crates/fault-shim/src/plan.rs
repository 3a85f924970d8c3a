//! What is injected how often: `FAULT_SHIM=seed=7,accept=0.1,socket=0.1,connect=0.1,wait=0.2,short=0.3,clock_s=3600`.

use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

/// A kind of injection, in the order of the counts in their file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `accept4` fails for a moment.
    Accept,
    /// `socket` fails for a moment.
    Socket,
    /// `connect` fails for a moment.
    Connect,
    /// `epoll_wait` is interrupted.
    Wait,
    /// `recv`, `read`, `send` and `write` take less than they could.
    Short,
    /// The wall clock is off.
    Clock,
}

/// All kinds, by their names in a plan.
pub const KINDS: [(&str, Kind); 6] = [
    ("accept", Kind::Accept),
    ("socket", Kind::Socket),
    ("connect", Kind::Connect),
    ("wait", Kind::Wait),
    ("short", Kind::Short),
    ("clock_s", Kind::Clock),
];

/// The plan of one process.
#[derive(Debug, Default)]
pub struct Plan {
    seed: u64,
    /// Share of calls that are hit, by kind.
    shares: [f64; KINDS.len()],
    /// Seconds by which the wall clock is ahead; negative where it is behind.
    pub clock_s: i64,
    draws: AtomicU64,
}

impl FromStr for Plan {
    type Err = String;

    /// # Errors
    /// A word that is no pair of a known name and a figure in its range.
    fn from_str(text: &str) -> Result<Plan, String> {
        let mut plan = Plan::default();
        for pair in text.split(',').filter(|p| !p.is_empty()) {
            let wrong = || {
                format!("FAULT_SHIM: '{pair}' is not NAME=FIGURE with a known name and a figure in range")
            };
            let (name, figure) = pair.split_once('=').ok_or_else(wrong)?;
            match name {
                "seed" => plan.seed = figure.parse().map_err(|_| wrong())?,
                "clock_s" => plan.clock_s = figure.parse().map_err(|_| wrong())?,
                _ => {
                    let at = KINDS.iter().position(|k| k.0 == name).ok_or_else(wrong)?;
                    let share: f64 = figure.parse().map_err(|_| wrong())?;
                    plan.shares[at] = Some(share)
                        .filter(|s| (0.0..=0.9).contains(s))
                        .ok_or_else(wrong)?;
                }
            }
        }
        Ok(plan)
    }
}

impl Plan {
    /// A number for one call, or `None` where it is left alone.
    pub fn hits(&self, kind: Kind) -> Option<u64> {
        let share = self.shares[kind as usize];
        if share <= 0.0 {
            return None;
        }
        let number = mixed(self.seed ^ mixed(self.draws.fetch_add(1, Ordering::Relaxed)));
        let drawn = (number >> 11) as f64 / (1u64 << 53) as f64;
        (drawn < share).then(|| mixed(number))
    }
}

/// The finalizer of splitmix64.
fn mixed(value: u64) -> u64 {
    let z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
