//! What can keep a dispatcher from its peers, and what an operator can do.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

use bitternlatch_membership::RosterError;

/// What of a member could not be opened at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    Datagrams,
    Connections,
}

/// Why a roster that was told, or kept, is not taken.
#[derive(Debug, thiserror::Error)]
pub enum SeedError {
    #[error("this is no roster")]
    Malformed,
    #[error("this is no roster: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the proof does not fit: another secret, or an old answer")]
    InvalidTag,
    #[error("it belongs to the cluster '{0}'")]
    OtherCluster(String),
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Seeds that told no roster, each with its cause.
#[derive(Debug)]
pub struct SeedErrors(pub Vec<(SocketAddrV4, SeedError)>);

impl std::fmt::Display for SeedErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, (seed, error)) in self.0.iter().enumerate() {
            write!(f, "{}{seed}: {error}", if i == 0 { "" } else { "; " })?;
        }
        Ok(())
    }
}

#[derive(Debug, thiserror::Error)]
pub enum ClusterNetError {
    #[error("{}: {error}", path.display())]
    Secret { path: PathBuf, error: io::Error },
    #[error("{}: {bytes} bytes; a secret has {min} to {max}", path.display())]
    SecretSize {
        path: PathBuf,
        bytes: u64,
        min: u64,
        max: u64,
    },
    #[error("cluster.roster: {0}")]
    Roster(#[from] RosterError),
    #[error("cluster: no address of its own")]
    NoOwnAddress,
    #[error("cluster: no {kind:?} at {address}: {error}")]
    Bind {
        kind: EndpointKind,
        address: SocketAddrV4,
        error: io::Error,
    },
    #[error("{}: {error}", path.display())]
    StartNumberFile { path: PathBuf, error: io::Error },
    #[error("{}: not a start's number", path.display())]
    InvalidStartNumber { path: PathBuf },
    #[error("no randomness: {0}")]
    Random(#[from] getrandom::Error),
    #[error("cluster: no thread: {0}")]
    Thread(io::Error),
    #[error("cluster.seeds: none tells the roster: {0}")]
    Seeds(SeedErrors),
    #[error("cluster.seeds: {seeds}; and the kept roster: {stored}")]
    StoredRoster {
        seeds: SeedErrors,
        stored: SeedError,
    },
    #[error("{peer}: {error}")]
    Unreachable { peer: SocketAddr, error: io::Error },
    #[error("{peer}: this is not a view: {error}")]
    InvalidStatus {
        peer: SocketAddr,
        error: serde_json::Error,
    },
}

impl ClusterNetError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            ClusterNetError::Secret { error, .. } if error.kind() == io::ErrorKind::NotFound => {
                "make it once with 'head -c 32 /dev/urandom | base64 > FILE' and give the same file to every member"
            }
            ClusterNetError::Secret { .. } => "let the process read the file that 'cluster.secret' names",
            ClusterNetError::SecretSize { .. } => {
                "make it anew with 'head -c 32 /dev/urandom | base64 > FILE' and give the same file to every member"
            }
            ClusterNetError::Roster(_) => "give all members the same roster, this one in it, each name once",
            ClusterNetError::NoOwnAddress => "name this dispatcher in 'cluster.roster', or set 'cluster.address'",
            ClusterNetError::Bind { .. } => {
                "end the process that holds the address, or set 'cluster.address' to one of this machine"
            }
            ClusterNetError::StartNumberFile { .. } => "let the process write the folder of the file that 'cluster.kept' names",
            ClusterNetError::InvalidStartNumber { .. } => "remove it to begin anew",
            ClusterNetError::Random(_) => "the system gives no random numbers; look at the machine",
            ClusterNetError::Thread(_) => "raise the bound on threads of this user, or end other processes",
            ClusterNetError::Seeds(_) => "start a member that has a roster first, or name others under 'cluster.seeds'",
            ClusterNetError::StoredRoster { .. } => "remove the kept roster once a seed can be reached",
            ClusterNetError::Unreachable { .. } => "look whether the process runs, and at the network on the way to it",
            ClusterNetError::InvalidStatus { .. } => "ask a member's address of the cluster, of the same version as this program",
        }
    }

    /// The error and what to do, in one line.
    pub fn with_advice(&self) -> String {
        format!("{self}; {}", self.advice())
    }
}

#[cfg(test)]
mod tests;
