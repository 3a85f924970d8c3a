//! What a leader has lent, and to whom how much may be lent now.
//!
//! All that may be in use is counted: each part from the moment at which it was lent until it has certainly ended, [`LEASE_COUNTED_FOR`]
//! later, also where its borrower has got a smaller one since: a loop that is behind may go by the earlier one still. So
//! one who falls silent is counted until then, and only then do the others grow; one who comes new makes the others shrink
//! at their next questions, and grows itself when what they had has ended.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Number, Process};

/// How long a part is counted after it was lent; its borrower uses it a little less, from its question on.
pub const LEASE_COUNTED_FOR: Duration = Duration::from_millis(1500);
/// Borrowers that are counted at once; further ones are lent nothing.
const MAX_LEASE_HOLDERS: usize = 4096;

struct Lent {
    millionths: u32,
    until: Duration,
}

#[derive(Default)]
struct Borrower {
    latest: Number,
    parts: Vec<Lent>,
}

impl Borrower {
    /// The most that it may be using.
    fn most(&self) -> u32 {
        self.parts.iter().map(|p| p.millionths).max().unwrap_or(0)
    }
}

/// Parts of one whole, all bounds alike.
pub struct QuotaLeases {
    /// All that may be lent, millionths.
    whole: u32,
    /// Before it, what another leader has lent may be in use.
    from: Duration,
    borrowers: BTreeMap<Process, Borrower>,
}

impl QuotaLeases {
    /// For one that has been leader since `since`.
    pub fn new(whole: u32, since: Duration) -> QuotaLeases {
        QuotaLeases {
            whole,
            from: since + LEASE_COUNTED_FOR,
            borrowers: BTreeMap::new(),
        }
    }

    /// How much is lent for this question, in millionths; `None` where nothing may be yet, or the question is an old one.
    pub fn lend(&mut self, now: Duration, to: Process, number: Number) -> Option<u32> {
        self.forget(now);
        let room = self.borrowers.len() < MAX_LEASE_HOLDERS || self.borrowers.contains_key(&to);
        if now < self.from || !room {
            return None;
        }
        let borrower = self.borrowers.entry(to).or_default();
        if number <= borrower.latest {
            return None;
        }
        borrower.latest = number;
        let others: u32 = self
            .borrowers
            .iter()
            .filter(|(who, _)| **who != to)
            .map(|(_, b)| b.most())
            .sum();
        let even = self.whole / self.borrowers.len() as u32;
        let millionths = even.min(self.whole.saturating_sub(others));
        let part = Lent {
            millionths,
            until: now + LEASE_COUNTED_FOR,
        };
        self.borrowers.entry(to).or_default().parts.push(part);
        Some(millionths)
    }

    /// The borrower uses nothing any more and will not ask again.
    pub fn done(&mut self, who: Process) {
        self.borrowers.remove(&who);
    }

    /// Whether this one may be using a part.
    pub fn counts(&self, who: &Process) -> bool {
        self.borrowers.contains_key(who)
    }

    fn forget(&mut self, now: Duration) {
        self.borrowers.retain(|_, b| {
            b.parts.retain(|p| now < p.until);
            !b.parts.is_empty()
        });
    }

    /// How many may be using a part.
    pub fn borrowers(&self) -> usize {
        self.borrowers.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bitternlatch_membership::NameKey;

    const MS: Duration = Duration::from_millis(1);

    fn leases() -> QuotaLeases {
        QuotaLeases::new(900_000, Duration::ZERO)
    }

    fn who(name: u32) -> Process {
        Process {
            name: NameKey(name),
            start: 1,
        }
    }

    #[test]
    fn nothing_is_lent_while_what_another_steward_lent_may_be_in_use() {
        let mut leases = leases();
        assert_eq!(leases.lend(MS * 1499, who(1), Number(1)), None);
        assert_eq!(leases.lend(MS * 1500, who(1), Number(2)), Some(900_000));
    }

    #[test]
    fn one_that_comes_new_gets_what_others_have_certainly_let_go_of() {
        let mut leases = leases();
        let mut asks = |at: u32, name, number| leases.lend(MS * at, who(name), Number(number));
        assert_eq!(asks(2000, 1, 1), Some(900_000));
        assert_eq!(asks(2100, 2, 1), Some(0), "the first may be using all");
        assert_eq!(asks(2300, 1, 2), Some(450_000));
        assert_eq!(asks(3499, 2, 2), Some(0), "the answer may not have come");
        assert_eq!(asks(3500, 2, 3), Some(450_000));
    }

    #[test]
    fn the_part_of_one_that_fell_silent_goes_to_others_when_it_has_ended() {
        let mut leases = leases();
        let mut asks = |at: u32, name, number| leases.lend(MS * at, who(name), Number(number));
        assert_eq!(asks(2000, 1, 1), Some(900_000));
        assert_eq!(asks(2100, 1, 2), Some(900_000));
        assert_eq!(asks(2200, 2, 1), Some(0));
        assert_eq!(asks(3599, 2, 2), Some(0), "not a moment earlier");
        assert_eq!(asks(3600, 2, 3), Some(900_000));
        assert_eq!(asks(3650, 2, 3), None, "a question that comes twice");
    }

    #[test]
    fn a_farewell_frees_a_part_at_once() {
        let mut leases = leases();
        leases.lend(MS * 2000, who(1), Number(1));
        leases.done(who(1));
        assert_eq!(leases.lend(MS * 2010, who(2), Number(1)), Some(900_000));
    }
}
