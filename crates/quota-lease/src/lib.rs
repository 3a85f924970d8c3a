//! What dispatchers agree on, without input or output: messages and a clock go in, messages come out, and the time
//! at which it wants to be woken. The same code runs in service, in tests and in simulated time.
//!
//! - [`Ballot`]: a few voters let one of themselves at a time be steward, by promises that end by the clock
//!   (leases: Gray and Cheriton, 1989; by a majority and without a disk: PaxosLease, Trencseni and others, 2012).
//! - [`Lender`]: the steward lends parts of what all share to those that ask; a part ends by the clock.
//! - What members have seen of hosts goes to the steward with each question, and to the others with its answers.
//! - [`Shares`]: one member's part in both.
//! - [`Together`]: that and the membership, over one envelope.
//!
//! Every time is judged by the clock of the process that acts; nothing is ever dated by another's clock. What a process
//! may use is dated from the moment at which it *asked*, what it has promised from the moment at which it *answered*: an
//! answer that comes late, after a pause of any length, is worth that much less.

mod ballot;
mod beside;
mod hearsay;
mod lender;
mod message;
mod shares;
mod together;

pub use ballot::{voters, Ballot, Verdict, LEASE};
pub use beside::{Beside, Found, Given, KeepError, Peers, Wanted, FRAME_MOST};
pub use hearsay::{Hearsay, Host, Sight, Trait, HEARSAY_MOST, SIGHTS_MOST};
pub use lender::{Lender, LOAN};
pub use message::{Message, Unreadable, MESSAGE_MOST};
pub use shares::{base, Part, Shares, Told};
pub use together::{Output, Together};

use bitternlatch_membership::NameKey;

/// One start of the process under a name: started again it is another one, which holds nothing of what the earlier held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    pub name: NameKey,
    pub start: u64,
}

/// The number of a question, unique and rising within one start of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(pub u64);

/// What is used ends this many hundredths earlier than what is promised: clocks of two processes may run apart by one
/// in a hundred, either way.
const EARLIER: u32 = 2;

/// How long something that was asked for may be used, of the time for which it is promised.
fn usable(promised: std::time::Duration) -> std::time::Duration {
    promised * (100 - EARLIER) / 100
}
