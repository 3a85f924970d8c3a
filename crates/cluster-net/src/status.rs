//! Whole views over TCP, as JSON: how operators and other programs see what a member knows.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use bitternlatch_quota_lease::{unleased_quota, ClusterMember};
use serde::{Deserialize, Serialize};

use crate::error::ClusterNetError;
use crate::links;

/// The question for a view.
const QUESTION: &str = "members 1";
/// Longest question and longest answer, bytes: a thousand members take some 250 KB in a view, 150 in a roster.
const QUESTION_BYTES: u64 = 256;
const ANSWER_BYTES: u64 = 1 << 20;
/// Longest that one handle is waited for; askers are served one after the other.
const ASKER: Duration = Duration::from_millis(500);

/// A view as it is told. Times in Unix milliseconds of the member's own clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    pub cluster: String,
    pub name: String,
    pub address: String,
    pub start: u64,
    /// How often it came back under this start after others had given it up.
    pub comebacks: u16,
    pub standing: String,
    /// The later start under its name to which it has given way.
    pub fenced_by: Option<u64>,
    pub at_ms: u64,
    /// Whom it asks for its part of what all share; empty where it knows nobody.
    #[serde(default)]
    pub steward: String,
    /// What it may spend of the whole now, from 0 to 1.
    #[serde(default)]
    pub part: f64,
    pub members: Vec<MemberStatus>,
    /// Datagrams not taken, by cause.
    pub dropped: BTreeMap<String, u64>,
}

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
        whole: &ClusterMember,
        now: Duration,
    ) -> ClusterStatus {
        let view = whole.membership().view();
        let part = whole.quota().lease();
        let lent = if now < part.until { part.leased } else { 0.0 };
        let line = |m: &bitternlatch_membership::MemberView| MemberStatus {
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
            steward: whole
                .quota()
                .leader()
                .map(|key| whole.membership().name_of(key))
                .unwrap_or_default(),
            part: lent + unleased_quota(whole.membership().roster().len()),
            members: view.members.iter().map(line).collect(),
            dropped: view
                .rejected
                .iter()
                .map(|(why, n)| (why.name().to_string(), *n))
                .collect(),
        }
    }
}

/// Answers askers one after the other until the process ends; links that peers open go their own way.
pub(crate) fn serve(
    listener: &TcpListener,
    view: impl Fn() -> ClusterStatus,
    other: impl Fn(&str) -> Option<String>,
    link: impl Fn(BufReader<TcpStream>),
) {
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => {
                if let Err(e) = answer(stream, &view, &other, &link) {
                    tracing::debug!(error = %e, "a status query was not answered");
                }
            }
            // Without descriptors it would spin.
            Err(_) => std::thread::sleep(Duration::from_millis(50)),
        }
    }
}

fn answer(
    mut stream: TcpStream,
    view: &impl Fn() -> ClusterStatus,
    other: &impl Fn(&str) -> Option<String>,
    link: &impl Fn(BufReader<TcpStream>),
) -> io::Result<()> {
    stream.set_read_timeout(Some(ASKER))?;
    stream.set_write_timeout(Some(ASKER))?;
    let mut question = String::new();
    let mut reader = BufReader::new(stream.try_clone()?);
    (&mut reader)
        .take(QUESTION_BYTES)
        .read_line(&mut question)?;
    if question.split_whitespace().next() == Some(links::LINK_WORD) {
        link(reader);
        return Ok(());
    }
    if question.trim() != QUESTION {
        let wrong = || "{\"error\":\"the question is 'members 1'\"}\n".to_string();
        return stream.write_all(other(question.trim()).unwrap_or_else(wrong).as_bytes());
    }
    let mut text = serde_json::to_string(&view())?;
    text.push('\n');
    stream.write_all(text.as_bytes())
}

/// Puts one question to a member and gives all that it answers.
pub(crate) fn put(peer: SocketAddr, question: &str, within: Duration) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&peer, within)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    writeln!(stream, "{question}")?;
    let mut text = String::new();
    stream.take(ANSWER_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

/// What a member knows, as it tells it.
///
/// # Errors
/// Where it cannot be reached within the time, or what it tells cannot be read.
pub fn fetch_status(peer: SocketAddr, within: Duration) -> Result<ClusterStatus, ClusterNetError> {
    let text = put(peer, QUESTION, within)
        .map_err(|error| ClusterNetError::Unreachable { peer, error })?;
    serde_json::from_str(&text).map_err(|error| ClusterNetError::InvalidStatus { peer, error })
}
