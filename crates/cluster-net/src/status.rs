//! Serves the state of a member over TCP as JSON, for operators and other programs.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bitternlatch_quota_lease::{unleased_quota, ClusterMember};
use serde::{Deserialize, Serialize};

use crate::error::ClusterNetError;
use crate::links;

/// The request line that asks for the cluster status.
const STATUS_REQUEST: &str = "members 1";
/// Maximum length of a request line, bytes.
const MAX_REQUEST_BYTES: u64 = 256;
/// Maximum length of an answer, bytes. A thousand members take about 250 KB in a status and 150 KB in a roster.
const MAX_ANSWER_BYTES: u64 = 1 << 20;
/// Timeout of a read or write on one client connection. Clients are served one after another, so a slow one delays the rest.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of the cluster as one member sees it. Times are Unix times in milliseconds, by that member's own
/// clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    pub cluster: String,
    pub name: String,
    pub address: String,
    pub start: u64,
    /// How often the member has rejoined under this start after peers had declared it down.
    pub comebacks: u16,
    /// The quorum state, in lower case.
    pub standing: String,
    /// The number of a later start with the same name, which has fenced this member.
    pub fenced_by: Option<u64>,
    pub at_ms: u64,
    /// The leader from which the member requests its quota lease; empty if no leader is known.
    #[serde(default)]
    pub steward: String,
    /// The fraction of the shared quotas that the member may use now, from 0 to 1.
    #[serde(default)]
    pub part: f64,
    pub members: Vec<MemberStatus>,
    /// The number of rejected datagrams, by cause.
    pub dropped: BTreeMap<String, u64>,
}

/// The state of one peer as a member sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub address: String,
    pub start: Option<u64>,
    pub state: String,
    pub since_ms: u64,
    pub evidence: String,
}

impl ClusterStatus {
    pub(crate) fn of(
        cluster: &str,
        name: &str,
        cluster_member: &ClusterMember,
        now: Duration,
    ) -> ClusterStatus {
        let view = cluster_member.membership().view();
        let lease = cluster_member.quota().lease();
        let leased = if now < lease.until { lease.leased } else { 0.0 };
        let member_status = |m: &bitternlatch_membership::MemberView| MemberStatus {
            name: m.name.clone(),
            address: m.address.to_string(),
            start: m.start.map(|s| s.process),
            state: format!("{:?}", m.state).to_lowercase(),
            since_ms: m.since.as_millis() as u64,
            evidence: m.evidence.to_string(),
        };
        ClusterStatus {
            cluster: cluster.to_string(),
            name: name.to_string(),
            address: view.own.address.to_string(),
            start: view.own.start.process,
            comebacks: view.own.start.rejoins,
            standing: format!("{:?}", view.quorum).to_lowercase(),
            fenced_by: view.fenced_by.map(|s| s.process),
            at_ms: now.as_millis() as u64,
            steward: cluster_member
                .quota()
                .leader()
                .map(|key| cluster_member.membership().name_of(key))
                .unwrap_or_default(),
            part: leased + unleased_quota(cluster_member.membership().roster().len()),
            members: view.members.iter().map(member_status).collect(),
            dropped: view
                .rejected
                .iter()
                .map(|(cause, count)| (cause.name().to_string(), *count))
                .collect(),
        }
    }
}

/// Answers clients one after another until the process ends. A connection on which a peer opens a link is passed to `link`.
pub(crate) fn serve(
    listener: &TcpListener,
    status: impl Fn() -> ClusterStatus,
    answer_roster: impl Fn(&str) -> Option<String>,
    link: impl Fn(BufReader<TcpStream>),
) {
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => {
                if let Err(e) = handle_connection(stream, &status, &answer_roster, &link) {
                    tracing::debug!(error = %e, "a status request was not answered");
                }
            }
            // The sleep avoids a busy loop while the process has no free file descriptors.
            Err(_) => std::thread::sleep(Duration::from_millis(50)),
        }
    }
}

fn handle_connection(
    mut stream: TcpStream,
    status: &impl Fn() -> ClusterStatus,
    answer_roster: &impl Fn(&str) -> Option<String>,
    link: &impl Fn(BufReader<TcpStream>),
) -> io::Result<()> {
    stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    stream.set_write_timeout(Some(CLIENT_TIMEOUT))?;
    let mut request = String::new();
    let mut reader = BufReader::new(stream.try_clone()?);
    (&mut reader)
        .take(MAX_REQUEST_BYTES)
        .read_line(&mut request)?;
    if request.split_whitespace().next() == Some(links::LINK_WORD) {
        link(reader);
        return Ok(());
    }
    if request.trim() != STATUS_REQUEST {
        let unknown_request = || "{\"error\":\"the question is 'members 1'\"}\n".to_string();
        return stream.write_all(
            answer_roster(request.trim())
                .unwrap_or_else(unknown_request)
                .as_bytes(),
        );
    }
    let mut text = serde_json::to_string(&status())?;
    text.push('\n');
    stream.write_all(text.as_bytes())
}

/// Sends one request line to a member and returns the whole answer.
pub(crate) fn request_answer(
    peer: SocketAddr,
    request: &str,
    timeout: Duration,
) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&peer, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    writeln!(stream, "{request}")?;
    let mut text = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

/// Fetches the cluster status from a member. `timeout` limits the connect and each read and write.
///
/// # Errors
/// If the member cannot be reached in time, or the answer is not a status.
pub fn fetch_status(peer: SocketAddr, timeout: Duration) -> Result<ClusterStatus, ClusterNetError> {
    let text = request_answer(peer, STATUS_REQUEST, timeout)
        .map_err(|error| ClusterNetError::Unreachable { peer, error })?;
    serde_json::from_str(&text).map_err(|error| ClusterNetError::InvalidStatus { peer, error })
}
