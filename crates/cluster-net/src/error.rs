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
    Shape,
    #[error("this is no roster: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the proof does not fit: another secret, or an old answer")]
    Proof,
    #[error("it belongs to the cluster '{0}'")]
    OtherCluster(String),
    #[error("{0}")]
    Unreached(#[from] io::Error),
}

/// Seeds that told no roster, each with its cause.
#[derive(Debug)]
pub struct SeedErrors(pub Vec<(SocketAddrV4, SeedError)>);

impl std::fmt::Display for SeedErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, (seed, why)) in self.0.iter().enumerate() {
            write!(f, "{}{seed}: {why}", if i == 0 { "" } else { "; " })?;
        }
        Ok(())
    }
}

#[derive(Debug, thiserror::Error)]
pub enum ClusterNetError {
    #[error("{}: {why}", path.display())]
    Secret { path: PathBuf, why: io::Error },
    #[error("{}: {bytes} bytes; a secret has {least} to {most}", path.display())]
    SecretSize {
        path: PathBuf,
        bytes: u64,
        least: u64,
        most: u64,
    },
    #[error("cluster.roster: {0}")]
    Roster(#[from] RosterError),
    #[error("cluster: no address of its own")]
    NoAddress,
    #[error("cluster: no {what:?} at {address}: {why}")]
    Address {
        what: EndpointKind,
        address: SocketAddrV4,
        why: io::Error,
    },
    #[error("{}: {why}", path.display())]
    Start { path: PathBuf, why: io::Error },
    #[error("{}: not a start's number", path.display())]
    NoNumber { path: PathBuf },
    #[error("no randomness: {0}")]
    Random(#[from] getrandom::Error),
    #[error("cluster: no thread: {0}")]
    Thread(io::Error),
    #[error("cluster.seeds: none tells the roster: {0}")]
    Seeds(SeedErrors),
    #[error("cluster.seeds: {seeds}; and the kept roster: {kept}")]
    KeptRoster { seeds: SeedErrors, kept: SeedError },
    #[error("{peer}: {why}")]
    NoAnswer { peer: SocketAddr, why: io::Error },
    #[error("{peer}: this is not a view: {why}")]
    NoView {
        peer: SocketAddr,
        why: serde_json::Error,
    },
}

impl ClusterNetError {
    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            ClusterNetError::Secret { why, .. } if why.kind() == io::ErrorKind::NotFound => {
                "make it once with 'head -c 32 /dev/urandom | base64 > FILE' and give the same file to every member"
            }
            ClusterNetError::Secret { .. } => "let the process read the file that 'cluster.secret' names",
            ClusterNetError::SecretSize { .. } => {
                "make it anew with 'head -c 32 /dev/urandom | base64 > FILE' and give the same file to every member"
            }
            ClusterNetError::Roster(_) => "give all members the same roster, this one in it, each name once",
            ClusterNetError::NoAddress => "name this dispatcher in 'cluster.roster', or set 'cluster.address'",
            ClusterNetError::Address { .. } => {
                "end the process that holds the address, or set 'cluster.address' to one of this machine"
            }
            ClusterNetError::Start { .. } => "let the process write the folder of the file that 'cluster.kept' names",
            ClusterNetError::NoNumber { .. } => "remove it to begin anew",
            ClusterNetError::Random(_) => "the system gives no random numbers; look at the machine",
            ClusterNetError::Thread(_) => "raise the bound on threads of this user, or end other processes",
            ClusterNetError::Seeds(_) => "start a member that has a roster first, or name others under 'cluster.seeds'",
            ClusterNetError::KeptRoster { .. } => "remove the kept roster once a seed can be reached",
            ClusterNetError::NoAnswer { .. } => "look whether the process runs, and at the network on the way to it",
            ClusterNetError::NoView { .. } => "ask a member's address of the cluster, of the same version as this program",
        }
    }

    /// The error and what to do, in one line.
    pub fn with_advice(&self) -> String {
        format!("{self}; {}", self.advice())
    }
}

#[cfg(test)]
mod tests;
