//! Who of the dispatchers is there, who has failed and who is leaving, as one of them knows it.
//!
//! No input or output: datagrams, a clock and a seed go in; datagrams and events come out, and the time at which it
//! wants to be woken. The same code runs in service, in tests and in simulated time.
//!
//! The protocol is SWIM with suspicion and incarnations (Das, Gupta, Motivala, 2002), by the library `foca`. Of
//! Lifeguard (Dadgar, Phillips, Currey, 2018) there is self-awareness: a member that was itself paused or slow
//! gives its peers the time that it lost before it doubts them.

mod doubt;
mod machine;
mod member;
mod roster;
mod seal;
pub mod simulated;
mod standing;
mod view;
mod watch;

pub use machine::{Event, Membership, Output};
pub use member::{Id, NameKey, Start};
pub use roster::{Peer, Roster, RosterError};
pub use seal::{
    sender, Dropped, Kind, Opener, Sealer, Secret, Topic, DATAGRAM_MOST, SAID_MOST, SEAL_BYTES,
};
pub use standing::{Duty, Share, Standing, Work};
pub use view::{Dropping, MemberView, State, View};
