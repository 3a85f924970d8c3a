//! Fault plan: the kinds of faults to inject and the share of calls affected, for example
//! `FAULT_SHIM=seed=7,accept=0.1,socket=0.1,connect=0.1,wait=0.2,short=0.3,clock_s=3600`.

use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of injected fault. The discriminant is the byte offset of the kind's mark in the file `FAULT_SHIM_COUNTS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `accept4` fails with a transient error.
    Accept,
    /// `socket` fails with a transient error.
    Socket,
    /// `connect` fails with a transient error.
    Connect,
    /// `epoll_wait` fails with `EINTR`.
    Wait,
    /// `recv` and `send` transfer fewer bytes than requested, or fail with `EINTR`.
    Short,
    /// The wall clock (`CLOCK_REALTIME`) is shifted.
    Clock,
}

/// All kinds of faults with their names in a plan.
pub const KINDS: [(&str, Kind); 6] = [
    ("accept", Kind::Accept),
    ("socket", Kind::Socket),
    ("connect", Kind::Connect),
    ("wait", Kind::Wait),
    ("short", Kind::Short),
    ("clock_s", Kind::Clock),
];

/// The fault plan of one process.
#[derive(Debug, Default)]
pub struct Plan {
    seed: u64,
    /// Share of calls that fail, from 0 to 0.9, by kind of fault.
    shares: [f64; KINDS.len()],
    /// Shift of the wall clock in seconds; negative if it is behind.
    pub clock_s: i64,
    draws: AtomicU64,
}

impl FromStr for Plan {
    type Err = String;

    /// # Errors
    /// If an item of the plan is not `NAME=NUMBER` with a known name and a number in the permitted range.
    fn from_str(text: &str) -> Result<Plan, String> {
        let mut plan = Plan::default();
        for pair in text.split(',').filter(|p| !p.is_empty()) {
            let invalid = || {
                format!("FAULT_SHIM: '{pair}' is not NAME=NUMBER with a known name and a number in range")
            };
            let (name, number_text) = pair.split_once('=').ok_or_else(invalid)?;
            match name {
                "seed" => plan.seed = number_text.parse().map_err(|_| invalid())?,
                "clock_s" => plan.clock_s = number_text.parse().map_err(|_| invalid())?,
                _ => {
                    let index = KINDS.iter().position(|k| k.0 == name).ok_or_else(invalid)?;
                    let share: f64 = number_text.parse().map_err(|_| invalid())?;
                    plan.shares[index] = Some(share)
                        .filter(|s| (0.0..=0.9).contains(s))
                        .ok_or_else(invalid)?;
                }
            }
        }
        Ok(plan)
    }
}

impl Plan {
    /// Decides whether to inject a fault into one call. Returns a pseudorandom number that selects the variant of the fault, or
    /// `None` if the call runs unchanged.
    pub fn hits(&self, kind: Kind) -> Option<u64> {
        let share = self.shares[kind as usize];
        if share <= 0.0 {
            return None;
        }
        let number = mix(self.seed ^ mix(self.draws.fetch_add(1, Ordering::Relaxed)));
        let fraction = (number >> 11) as f64 / (1u64 << 53) as f64;
        (fraction < share).then(|| mix(number))
    }
}

/// Mixes the bits of a value with the splitmix64 output function.
fn mix(value: u64) -> u64 {
    let z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
