//! What a dispatcher knows of the whole, and what it may do while it knows no more than that.

use serde::{Deserialize, Serialize};

/// Judged against the roster, itself included; members under suspicion still count as there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Nobody of the roster is heard: it is taken to be this one that is cut off, not all others that are dead.
    Alone,
    /// Some are heard, half of the roster or fewer.
    CutOff,
    /// More than half, not all.
    Majority,
    Whole,
}

impl Standing {
    /// By the number of members that are there, of a roster of so many. A roster of one is whole.
    pub fn of(there: usize, roster: usize) -> Standing {
        match there {
            _ if there >= roster => Standing::Whole,
            0 | 1 => Standing::Alone,
            _ if 2 * there > roster => Standing::Majority,
            _ => Standing::CutOff,
        }
    }
}

/// What a request may do to the world, as its class says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Safe,
    Keyed,
    Unsafe,
}

/// Which part of a bound that all dispatchers share may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// What each of the roster may spend whatever happens, at once and though what it was lent would count for a while yet.
    Careful,
    /// That, and what it was lent, while that counts.
    Lent,
}

/// What a dispatcher does in one standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Whether a request is taken on; one that is not is refused at once, with other addresses to try.
    pub takes: bool,
    /// Its part of even parts of budgets. The guard of cold hosts has no parts: it draws for each request by itself, so that its sum
    /// follows the traffic whoever sends it.
    pub share: Share,
    /// Whether the ready check says so.
    pub ready: bool,
    /// Whether a refusal names members to try: only those that may be better placed.
    pub names_others: bool,
}

impl Duty {
    /// The table of the design note. Drains are kept in every standing: the list that tells of them has its own way in,
    /// and where it cannot be read the word of any peer counts. What has no effect is served wherever that harms nobody.
    /// `hosts` tells whether any model host is reached.
    pub fn of(standing: Standing, hosts: bool, work: Work) -> Duty {
        use Standing::{Alone, CutOff, Majority, Whole};
        use Work::{Keyed, Safe, Unsafe};
        let duty = |takes, share, ready, names_others| Duty {
            takes,
            share,
            ready,
            names_others,
        };
        match (standing, work) {
            // Peers are heard and hosts are not: it is this one that is cut off from them, and others may do better.
            (Whole | Majority | CutOff, Safe | Keyed | Unsafe) if !hosts => {
                duty(false, Share::Careful, false, true)
            }
            (Whole | Majority, Safe | Keyed | Unsafe) => duty(true, Share::Lent, true, true),
            (CutOff, Safe) => duty(true, Share::Careful, true, true),
            // A key seen elsewhere may be running there: one that cannot ask does not run it again.
            (CutOff, Keyed | Unsafe) => duty(false, Share::Careful, true, true),
            // All others dead at once is judged as this one cut off: callers are sent away, what harms nobody
            // is still served for those who can reach no other.
            (Alone, Safe) => duty(true, Share::Careful, false, true),
            (Alone, Keyed | Unsafe) => duty(false, Share::Careful, false, true),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn halves_are_never_both_a_majority() {
        for roster in 2..=300 {
            for there in 1..roster {
                let (one, other) = (
                    Standing::of(there, roster),
                    Standing::of(roster - there, roster),
                );
                assert!(
                    one < Standing::Majority || other < Standing::Majority,
                    "{there} of {roster}"
                );
            }
        }
        assert_eq!(Standing::of(1, 1), Standing::Whole);
        assert_eq!(Standing::of(1, 2), Standing::Alone);
    }

    #[test]
    fn who_cannot_know_takes_nothing_that_could_harm_and_goes_on_with_what_cannot() {
        for standing in [
            Standing::Alone,
            Standing::CutOff,
            Standing::Majority,
            Standing::Whole,
        ] {
            assert!(Duty::of(standing, true, Work::Safe).takes);
            // Alone it cannot tell whose fault it is, and a host may come in time.
            assert_eq!(
                Duty::of(standing, false, Work::Safe).takes,
                standing == Standing::Alone
            );
            assert!(
                !Duty::of(standing, false, Work::Unsafe).takes
                    && !Duty::of(standing, false, Work::Safe).ready
            );
            let knows = standing >= Standing::Majority;
            for work in [Work::Keyed, Work::Unsafe] {
                assert_eq!(Duty::of(standing, true, work).takes, knows);
                assert_eq!(Duty::of(standing, true, work).share == Share::Lent, knows);
            }
        }
    }
}
