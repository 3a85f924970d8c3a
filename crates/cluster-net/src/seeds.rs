//! The whole roster from a peer that has it, over TCP: for members that are given a few addresses to begin with.
//!
//! The one that asks sends a number of its own; the answer bears a proof over both by the cluster's secret, so that neither a
//! stranger nor an old answer passes. What was told last is kept beside the start's number, for a time when no seed answers:
//! all restarted at once would else wait for each other.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_membership::Secret;
use serde::{Deserialize, Serialize};

use crate::error::{ClusterNetError, SeedError, SeedErrors};
use crate::runtime::read_secret;
use crate::status::put;

/// How long seeds are asked, one after the other, again and again; and the wait for one.
const ASK_FOR: Duration = Duration::from_secs(5);
const ONE_SEED: Duration = Duration::from_millis(500);
const AGAIN: Duration = Duration::from_millis(200);
const NONCE: usize = 16;

#[derive(Serialize, Deserialize)]
struct Told {
    cluster: String,
    roster: Vec<Peer>,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The answer to a question for the roster, if it is one: `roster 1 NAME NONCE`.
pub(crate) fn answer(cluster: &Cluster, secret: &Secret, question: &str) -> Option<String> {
    let words: Vec<&str> = question.split_whitespace().collect();
    let ["roster", "1", _name, nonce] = words[..] else {
        return None;
    };
    if nonce.len() != 2 * NONCE || cluster.roster.is_empty() {
        return None;
    }
    let told = Told {
        cluster: cluster.name.clone(),
        roster: cluster.roster.clone(),
    };
    let text = serde_json::to_string(&told).ok()?;
    let proof = hex(&secret.proof(nonce.as_bytes(), text.as_bytes()));
    Some(format!("{text}\n{proof}\n"))
}

/// What an answer says, if its proof fits.
fn read(cluster: &str, secret: &Secret, nonce: &str, answer: &str) -> Result<Vec<Peer>, SeedError> {
    let (text, proof) = answer
        .trim_end()
        .split_once('\n')
        .ok_or(SeedError::Malformed)?;
    if proof != hex(&secret.proof(nonce.as_bytes(), text.as_bytes())) {
        return Err(SeedError::InvalidTag);
    }
    parse(cluster, text)
}

fn parse(cluster: &str, text: &str) -> Result<Vec<Peer>, SeedError> {
    let told: Told = serde_json::from_str(text)?;
    if told.cluster != cluster {
        return Err(SeedError::OtherCluster(told.cluster));
    }
    Ok(told.roster)
}

/// Beside the start's number.
fn kept(cluster: &Cluster, base: &Path) -> Option<PathBuf> {
    let path = base.join(cluster.incarnation_file.as_ref()?);
    let mut name = path.file_name()?.to_os_string();
    name.push(".roster");
    Some(path.with_file_name(name))
}

fn keep(path: &Path, cluster: &str, roster: &[Peer]) -> io::Result<()> {
    let told = Told {
        cluster: cluster.to_string(),
        roster: roster.to_vec(),
    };
    // Whole or not at all.
    let beside = path.with_extension("roster-new");
    std::fs::write(&beside, serde_json::to_string(&told)?)?;
    std::fs::rename(&beside, path)
}

/// The roster, from the first seed that tells one, or as it was told last; and whose word it is.
///
/// # Errors
/// Where neither is to be had, with what each seed said.
pub fn fetch_roster(
    cluster: &Cluster,
    name: &str,
    base: &Path,
) -> Result<(Vec<Peer>, String), ClusterNetError> {
    let secret = Secret::new(&cluster.name, &read_secret(&base.join(&cluster.secret))?);
    let kept = kept(cluster, base);
    let (began, mut faults) = (Instant::now(), Vec::new());
    while began.elapsed() < ASK_FOR {
        faults.clear();
        for seed in &cluster.seeds {
            let mut random = [0; NONCE];
            getrandom::fill(&mut random)?;
            let nonce = hex(&random);
            let question = format!("roster 1 {name} {nonce}");
            let told = put(SocketAddr::V4(*seed), &question, ONE_SEED).map_err(SeedError::from);
            match told.and_then(|answer| read(&cluster.name, &secret, &nonce, &answer)) {
                Ok(roster) => {
                    if let Some(Err(error)) =
                        kept.as_ref().map(|path| keep(path, &cluster.name, &roster))
                    {
                        tracing::warn!(%error, "the roster cannot be kept");
                    }
                    return Ok((roster, format!("seed {seed}")));
                }
                Err(why) => faults.push((*seed, why)),
            }
        }
        std::thread::sleep(AGAIN);
    }
    let seeds = SeedErrors(faults);
    let last = kept
        .as_ref()
        .and_then(|path| std::fs::read_to_string(path).ok());
    match last.map(|text| parse(&cluster.name, &text)) {
        Some(Ok(roster)) => {
            tracing::warn!(%seeds, "no seed tells the roster; the last one told counts");
            Ok((roster, "the last one told".to_string()))
        }
        Some(Err(stored)) => Err(ClusterNetError::StoredRoster { seeds, stored }),
        None => Err(ClusterNetError::Seeds(seeds)),
    }
}

#[cfg(test)]
mod tests;
