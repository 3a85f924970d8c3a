//! What members have seen of hosts, gathered by the steward and told to the others: evidence with age and source.
//!
//! Each member tells the steward what it sees with every question for a part, and is told with the answer what others
//! see: of how many it comes, how many told anything, and how old the latest of it is. Nobody is told his own word again,
//! and nobody's word lives on without him: a member that fell silent is forgotten with its part.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Process;

/// Sights in one question, and in one answer, as many as fit into a datagram; past it the oldest stay untold.
pub const SIGHTS_MOST: usize = 32;
pub const HEARSAY_MOST: usize = 24;
/// Sights that the steward holds over all members; past it those that come are not taken.
const HELD_MOST: usize = 16_384;
/// Ages are told in steps of this, up to 255 of them; an older sight is told as so old.
const AGE_STEP: Duration = Duration::from_millis(100);

/// A host, by the number that all dispatchers give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Host(pub u32);

/// What can be seen of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Trait {
    /// Its last attempts failed, or it cannot be reached.
    Failing,
    /// It was started lately.
    Cold,
    /// The member's list has it draining, or it said so itself.
    Draining,
}

impl Trait {
    const ALL: [Trait; 3] = [Trait::Failing, Trait::Cold, Trait::Draining];

    fn byte(self) -> u8 {
        self as u8
    }

    fn of(byte: u8) -> Option<Trait> {
        Trait::ALL.into_iter().find(|t| t.byte() == byte)
    }
}

/// One member's own sight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    pub host: Host,
    pub what: Trait,
    pub age: Duration,
}

/// What others have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hearsay {
    pub host: Host,
    pub what: Trait,
    /// How many saw it, up to 255.
    pub voices: u8,
    /// Age of the latest sight.
    pub age: Duration,
}

fn steps(age: Duration) -> u8 {
    u8::try_from(age.as_millis() / AGE_STEP.as_millis()).unwrap_or(u8::MAX)
}

impl Sight {
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.host.0.to_le_bytes());
        out.extend([self.what.byte(), steps(self.age)]);
    }

    pub(crate) fn read(bytes: &[u8; 6]) -> Option<Sight> {
        let [a, b, c, d, what, age] = *bytes;
        let host = Host(u32::from_le_bytes([a, b, c, d]));
        Some(Sight {
            host,
            what: Trait::of(what)?,
            age: AGE_STEP * u32::from(age),
        })
    }
}

impl Hearsay {
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.host.0.to_le_bytes());
        out.extend([self.what.byte(), self.voices, steps(self.age)]);
    }

    pub(crate) fn read(bytes: &[u8; 7]) -> Option<Hearsay> {
        let [a, b, c, d, what, voices, age] = *bytes;
        let host = Host(u32::from_le_bytes([a, b, c, d]));
        Some(Hearsay {
            host,
            what: Trait::of(what)?,
            voices,
            age: AGE_STEP * u32::from(age),
        })
    }
}

/// The latest sights of one's own, as many as one question holds.
pub(crate) fn latest(mut sights: Vec<Sight>) -> Vec<Sight> {
    sights.sort_by_key(|s| (s.age, s.host, s.what));
    sights.truncate(SIGHTS_MOST);
    sights
}

/// The steward's table: each member's sights as it told them last, dated by the steward's clock. A sight is younger there
/// than it is, by the way that it came.
#[derive(Default)]
pub(crate) struct Gathered {
    by: BTreeMap<Process, BTreeMap<(Host, Trait), Duration>>,
    held: usize,
}

impl Gathered {
    /// Takes all that a member sees now in place of what it saw before.
    pub(crate) fn told(&mut self, now: Duration, by: Process, sights: &[Sight]) {
        self.forget(by);
        let room = HELD_MOST.saturating_sub(self.held);
        let seen = sights
            .iter()
            .take(room)
            .map(|s| ((s.host, s.what), now.saturating_sub(s.age)));
        let seen: BTreeMap<_, _> = seen.collect();
        self.held += seen.len();
        self.by.insert(by, seen);
    }

    pub(crate) fn forget(&mut self, who: Process) {
        self.held -= self.by.remove(&who).map_or(0, |seen| seen.len());
    }

    pub(crate) fn keep(&mut self, there: impl Fn(&Process) -> bool) {
        let gone: Vec<Process> = self.by.keys().filter(|p| !there(p)).copied().collect();
        gone.into_iter().for_each(|p| self.forget(p));
    }

    /// What others than this member have seen, that of the most voices first; and how many others there are.
    pub(crate) fn for_member(&self, now: Duration, who: Process) -> (u16, Vec<Hearsay>) {
        let others = self.by.iter().filter(|(by, _)| by.name != who.name);
        let mut of = 0u16;
        let mut said: BTreeMap<(Host, Trait), (u8, Duration)> = BTreeMap::new();
        for (_, seen) in others {
            of = of.saturating_add(1);
            for (key, at) in seen {
                let (voices, latest) = said.entry(*key).or_default();
                (*voices, *latest) = (voices.saturating_add(1), (*latest).max(*at));
            }
        }
        let hearsay = said.into_iter().map(|((host, what), (voices, at))| {
            let age = now.saturating_sub(at);
            Hearsay {
                host,
                what,
                voices,
                age,
            }
        });
        let mut hearsay: Vec<Hearsay> = hearsay.collect();
        hearsay.sort_by_key(|h| (std::cmp::Reverse(h.voices), h.age));
        hearsay.truncate(HEARSAY_MOST);
        (of, hearsay)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bitternlatch_membership::NameKey;

    const MS: Duration = Duration::from_millis(1);

    fn sight(host: u32, what: Trait, age: u32) -> Sight {
        Sight {
            host: Host(host),
            what,
            age: MS * age,
        }
    }

    fn who(name: u32) -> Process {
        Process {
            name: NameKey(name),
            start: 1,
        }
    }

    #[test]
    fn nobody_hears_his_own_word_and_each_counts_once() {
        let mut gathered = Gathered::default();
        let failing = |age| [sight(7, Trait::Failing, age)];
        gathered.told(MS * 10_000, who(1), &failing(500));
        gathered.told(MS * 10_100, who(1), &failing(600));
        gathered.told(MS * 10_200, who(2), &failing(0));
        gathered.told(MS * 10_200, who(3), &[]);
        let heard = |by: u32| gathered.for_member(MS * 10_300, who(by));
        let said = |voices, age| Hearsay {
            host: Host(7),
            what: Trait::Failing,
            voices,
            age: MS * age,
        };
        assert_eq!(heard(1), (2, vec![said(1, 100)]));
        assert_eq!(heard(2), (2, vec![said(1, 800)]));
        assert_eq!(heard(3), (2, vec![said(2, 100)]));
        // Started again it is the same member: its earlier word is not another voice.
        let again = Process { start: 2, ..who(1) };
        assert_eq!(
            gathered.for_member(MS * 10_300, again).1,
            vec![said(1, 100)]
        );
    }

    #[test]
    fn what_is_no_longer_seen_or_told_is_gone() {
        let mut gathered = Gathered::default();
        gathered.told(
            MS * 1000,
            who(1),
            &[sight(7, Trait::Cold, 0), sight(8, Trait::Draining, 0)],
        );
        gathered.told(MS * 1300, who(1), &[sight(8, Trait::Draining, 300)]);
        let hosts = |g: &Gathered| {
            g.for_member(MS * 1400, who(2))
                .1
                .iter()
                .map(|h| h.host.0)
                .collect::<Vec<_>>()
        };
        assert_eq!(hosts(&gathered), [8]);
        gathered.keep(|p| *p != who(1));
        assert!(hosts(&gathered).is_empty());
        assert_eq!(gathered.held, 0);
    }

    #[test]
    fn tables_and_messages_have_bounds_and_the_latest_and_the_most_seen_are_kept() {
        let many = |n: u32| {
            (0..n)
                .map(|i| sight(i, Trait::Failing, n - i))
                .collect::<Vec<_>>()
        };
        let told = latest(many(100));
        assert_eq!((told.len(), told[0].host), (SIGHTS_MOST, Host(99)));
        let mut gathered = Gathered::default();
        (0..2000).for_each(|name| gathered.told(MS * 1000, who(name), &latest(many(100))));
        assert_eq!(gathered.held, HELD_MOST);
        gathered.told(MS * 1000, who(0), &[sight(5, Trait::Cold, 0)]);
        assert_eq!(gathered.held, HELD_MOST - SIGHTS_MOST + 1);
        let (of, heard) = gathered.for_member(MS * 1000, who(1));
        assert_eq!(
            (of, heard.len(), heard[0].voices),
            (1999, HEARSAY_MOST, 255)
        );
    }
}
