//! The classes of faults that a day may hold.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// One class of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Most decode servers fall silent together, with their connections open and no error.
    SilentDecode,
    /// The same of prefill servers.
    SilentPrefill,
    /// Only connections from before fall silent; new ones are fine.
    SilentKept,
    /// Servers hang, one at a time, and go on with what they had begun, though it was given up meanwhile.
    Hang,
    /// Connections to some servers do not come up.
    Unreachable,
    /// Servers reset connections under requests that have arrived.
    Reset,
    /// Servers drain and are replaced.
    Drain,
    /// Discovery says nothing for a while.
    Discovery,
    /// Processes are told to end, killed at the earliest, and started again.
    Restart,
    /// Configurations in a row, whole and half written.
    Reload,
    /// Processes are stopped for up to 0.15 s.
    Pause,
    /// Clients leave early, write in pieces, or stop within a request.
    Clients,
    /// `accept`, `socket` and `connect` fail for a moment.
    Calls,
    /// Waits are interrupted, reads and writes are short.
    Short,
    /// The wall clock is an hour off.
    Clock,
    /// Servers restart one after another under their uid and are cold; each notification comes as the seed draws it.
    ColdStart,
    /// The traffic stops for some seconds, and then comes at a multiple of its rate.
    Burst,
    /// Few requests have most of the work: prompts and answers of very unlike lengths.
    HeavyRequests,
    /// Most requests share one prompt prefix.
    HotPrefix,
    /// Clients ask again at once when they are refused.
    ClientRetry,
    /// The first process gets nearly all of the traffic.
    Skew,
    /// Idle clients hold a part of the descriptors.
    Crowd,
    /// Servers that warm up by requests start in a lull, each process is notified at once, and a burst ends the lull.
    QuietStart,
    /// Cold starts in a fleet at its capacity: three decode servers restart in turn, so that two are away or cold at any
    /// time.
    AtCapacity,
    /// Servers of one role have unlike speeds.
    UnlikeServers,
    /// Ceilings tell nothing of the lengths of answers, and the two classes have unlike means.
    HiddenLengths,
    /// Decode servers spoil some answers, also without end, and send more with others than belongs to them.
    SpoiltStreams,
    /// Decode servers write some answers slowly: whole events far apart, or byte by byte.
    SlowStreams,
    /// Some requests are large, and servers read them slowly.
    SlowRequests,
    /// Processes are killed and start again in an outage of discovery, after servers have begun to drain.
    OutageStart,
}

/// All classes by their names.
pub const FAULTS: [(&str, Fault); 30] = [
    ("silent-decode", Fault::SilentDecode),
    ("silent-prefill", Fault::SilentPrefill),
    ("silent-kept", Fault::SilentKept),
    ("hang", Fault::Hang),
    ("unreachable", Fault::Unreachable),
    ("reset", Fault::Reset),
    ("drain", Fault::Drain),
    ("discovery", Fault::Discovery),
    ("restart", Fault::Restart),
    ("reload", Fault::Reload),
    ("pause", Fault::Pause),
    ("clients", Fault::Clients),
    ("calls", Fault::Calls),
    ("short", Fault::Short),
    ("clock", Fault::Clock),
    ("cold-start", Fault::ColdStart),
    ("burst", Fault::Burst),
    ("heavy-requests", Fault::HeavyRequests),
    ("hot-prefix", Fault::HotPrefix),
    ("client-retry", Fault::ClientRetry),
    ("skew", Fault::Skew),
    ("crowd", Fault::Crowd),
    ("quiet-start", Fault::QuietStart),
    ("at-capacity", Fault::AtCapacity),
    ("unlike-servers", Fault::UnlikeServers),
    ("hidden-lengths", Fault::HiddenLengths),
    ("spoilt-streams", Fault::SpoiltStreams),
    ("slow-streams", Fault::SlowStreams),
    ("slow-requests", Fault::SlowRequests),
    ("outage-start", Fault::OutageStart),
];
/// How many of [`FAULTS`], from the first on, a seed draws from. The others are named where they are wanted: those of cold starts refine such
/// days, and those of slow and spoilt answers would change what earlier seeds draw.
pub const DRAWN_FAULTS: usize = 23;

/// A word that names no class.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("--faults: '{word}' is not known; name some of {known}, with commas between", known = names())]
pub struct UnknownFault {
    word: String,
}

fn names() -> String {
    FAULTS.map(|f| f.0).join(", ")
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(word: &str) -> Result<Fault, UnknownFault> {
        let found = FAULTS.iter().find(|f| f.0 == word).map(|f| f.1);
        found.ok_or_else(|| UnknownFault {
            word: word.to_string(),
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = FAULTS
            .iter()
            .find(|known| known.1 == *self)
            .map_or("", |known| known.0);
        f.write_str(name)
    }
}
