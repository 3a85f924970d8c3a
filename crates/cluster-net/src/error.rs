//! Errors of the network runtime, with advice for the operator.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

use bitternlatch_membership::RosterError;

/// The socket of a member that could not be bound: UDP for datagrams, or TCP for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    Datagrams,
    Connections,
}

/// Why a roster from a seed, or the stored roster, is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SeedError {
    #[error("not a roster")]
    Malformed,
    #[error("not a roster: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the authentication tag is invalid: another secret, or a replayed answer")]
    InvalidTag,
    #[error("the roster belongs to cluster '{0}'")]
    OtherCluster(String),
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// The seeds that sent no valid roster, with the error of each.
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
    #[error("cluster: this dispatcher has no address")]
    NoOwnAddress,
    #[error("cluster: cannot bind {address} for {kind:?}: {error}")]
    Bind {
        kind: EndpointKind,
        address: SocketAddrV4,
        error: io::Error,
    },
    #[error("{}: {error}", path.display())]
    StartNumberFile { path: PathBuf, error: io::Error },
    #[error("{}: not a start number", path.display())]
    InvalidStartNumber { path: PathBuf },
    #[error("no random numbers: {0}")]
    Random(#[from] getrandom::Error),
    #[error("cluster: cannot start a thread: {0}")]
    Thread(io::Error),
    #[error("cluster.seeds: no seed sent the roster: {0}")]
    Seeds(SeedErrors),
    #[error("cluster.seeds: {seeds}; the stored roster: {stored}")]
    StoredRoster {
        seeds: SeedErrors,
        stored: SeedError,
    },
    #[error("{peer}: {error}")]
    Unreachable { peer: SocketAddr, error: io::Error },
    #[error("{peer}: not a cluster status: {error}")]
    InvalidStatus {
        peer: SocketAddr,
        error: serde_json::Error,
    },
}

impl ClusterNetError {
    /// Advice for the operator.
    pub fn advice(&self) -> &'static str {
        match self {
            ClusterNetError::Secret { error, .. } if error.kind() == io::ErrorKind::NotFound => {
                "create it once with 'head -c 32 /dev/urandom | base64 > FILE' and give the same file to every member"
            }
            ClusterNetError::Secret { .. } => "give the process read access to the file that 'cluster.secret' names",
            ClusterNetError::SecretSize { .. } => {
                "create it again with 'head -c 32 /dev/urandom | base64 > FILE' and give the same file to every member"
            }
            ClusterNetError::Roster(_) => "give all members the same roster, which contains this member and each name once",
            ClusterNetError::NoOwnAddress => "name this dispatcher in 'cluster.roster', or set 'cluster.address'",
            ClusterNetError::Bind { .. } => {
                "stop the process that uses the address, or set 'cluster.address' to one of this machine"
            }
            ClusterNetError::StartNumberFile { .. } => "give the process write access to the folder of the file that 'cluster.kept' names",
            ClusterNetError::InvalidStartNumber { .. } => "remove the file to start again from the clock",
            ClusterNetError::Random(_) => "check why the system provides no random numbers",
            ClusterNetError::Thread(_) => "raise the thread limit of this user, or stop other processes",
            ClusterNetError::Seeds(_) => "start a member that has a roster first, or name others under 'cluster.seeds'",
            ClusterNetError::StoredRoster { .. } => "remove the stored roster once a seed can be reached",
            ClusterNetError::Unreachable { .. } => "check that the process runs, and the network to it",
            ClusterNetError::InvalidStatus { .. } => "use the cluster address of a member that runs the same version as this program",
        }
    }

    /// The error and the advice, in one line.
    pub fn with_advice(&self) -> String {
        format!("{self}; {}", self.advice())
    }
}

#[cfg(test)]
mod tests;
