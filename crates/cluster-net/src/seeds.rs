//! Fetches the full roster over TCP from a seed, for members that are configured with a few seed addresses instead of a roster.
//!
//! The request contains a random nonce. The answer carries an authentication tag over the nonce and the roster, made with the
//! cluster secret, so that neither a sender without the secret nor a replayed answer is accepted. The last received roster is
//! stored beside the start number and used when no seed answers; otherwise members that are all restarted at once would wait
//! for each other.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_membership::Secret;
use serde::{Deserialize, Serialize};

use crate::error::{ClusterNetError, SeedError, SeedErrors};
use crate::runtime::read_secret;
use crate::status::request_answer;

/// How long the seeds are queried, one after another and repeatedly, before the stored roster is used.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of connecting to one seed, and of each read and write.
const SEED_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two rounds over all seeds.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Size of the random nonce of a request, bytes.
const NONCE_BYTES: usize = 16;

/// The roster as a seed sends it and as it is stored on disk, in JSON.
#[derive(Serialize, Deserialize)]
struct RosterAnswer {
    cluster: String,
    roster: Vec<Peer>,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The answer to a request `roster 1 NAME NONCE`, or `None` for any other request or if the roster is empty.
pub(crate) fn answer(cluster: &Cluster, secret: &Secret, request: &str) -> Option<String> {
    let words: Vec<&str> = request.split_whitespace().collect();
    let ["roster", "1", _name, nonce] = words[..] else {
        return None;
    };
    if nonce.len() != 2 * NONCE_BYTES || cluster.roster.is_empty() {
        return None;
    }
    let answer = RosterAnswer {
        cluster: cluster.name.clone(),
        roster: cluster.roster.clone(),
    };
    let text = serde_json::to_string(&answer).ok()?;
    let tag = hex(&secret.proof(nonce.as_bytes(), text.as_bytes()));
    Some(format!("{text}\n{tag}\n"))
}

/// The roster in an answer, if the authentication tag is valid.
fn verify_answer(
    cluster: &str,
    secret: &Secret,
    nonce: &str,
    answer: &str,
) -> Result<Vec<Peer>, SeedError> {
    let (text, tag) = answer
        .trim_end()
        .split_once('\n')
        .ok_or(SeedError::Malformed)?;
    if tag != hex(&secret.proof(nonce.as_bytes(), text.as_bytes())) {
        return Err(SeedError::InvalidTag);
    }
    parse(cluster, text)
}

fn parse(cluster: &str, text: &str) -> Result<Vec<Peer>, SeedError> {
    let answer: RosterAnswer = serde_json::from_str(text)?;
    if answer.cluster != cluster {
        return Err(SeedError::OtherCluster(answer.cluster));
    }
    Ok(answer.roster)
}

/// Path of the stored roster: the path of the start number with `.roster` appended.
fn stored_roster_path(cluster: &Cluster, base: &Path) -> Option<PathBuf> {
    let path = base.join(cluster.incarnation_file.as_ref()?);
    let mut name = path.file_name()?.to_os_string();
    name.push(".roster");
    Some(path.with_file_name(name))
}

fn store_roster(path: &Path, cluster: &str, roster: &[Peer]) -> io::Result<()> {
    let answer = RosterAnswer {
        cluster: cluster.to_string(),
        roster: roster.to_vec(),
    };
    // The roster is written to a temporary file and renamed, so that the stored roster is replaced atomically.
    let temporary = path.with_extension("roster-new");
    std::fs::write(&temporary, serde_json::to_string(&answer)?)?;
    std::fs::rename(&temporary, path)
}

/// Fetches the roster from the first seed that sends a valid one, or else reads the stored roster. Also returns the source of
/// the roster in words.
///
/// # Errors
/// If no seed sends a roster and none is stored, with the error of each seed.
pub fn fetch_roster(
    cluster: &Cluster,
    name: &str,
    base: &Path,
) -> Result<(Vec<Peer>, String), ClusterNetError> {
    let secret = Secret::new(&cluster.name, &read_secret(&base.join(&cluster.secret))?);
    let roster_path = stored_roster_path(cluster, base);
    let (began, mut errors) = (Instant::now(), Vec::new());
    while began.elapsed() < FETCH_TIMEOUT {
        errors.clear();
        for seed in &cluster.seeds {
            let mut random = [0; NONCE_BYTES];
            getrandom::fill(&mut random)?;
            let nonce = hex(&random);
            let request = format!("roster 1 {name} {nonce}");
            let answer = request_answer(SocketAddr::V4(*seed), &request, SEED_TIMEOUT)
                .map_err(SeedError::from);
            match answer.and_then(|answer| verify_answer(&cluster.name, &secret, &nonce, &answer)) {
                Ok(roster) => {
                    if let Some(Err(error)) = roster_path
                        .as_ref()
                        .map(|path| store_roster(path, &cluster.name, &roster))
                    {
                        tracing::warn!(%error, "cannot store the roster");
                    }
                    return Ok((roster, format!("seed {seed}")));
                }
                Err(error) => errors.push((*seed, error)),
            }
        }
        std::thread::sleep(RETRY_DELAY);
    }
    let seeds = SeedErrors(errors);
    let stored = roster_path
        .as_ref()
        .and_then(|path| std::fs::read_to_string(path).ok());
    match stored.map(|text| parse(&cluster.name, &text)) {
        Some(Ok(roster)) => {
            tracing::warn!(%seeds, "no seed sent the roster; using the stored roster");
            Ok((roster, "the stored roster".to_string()))
        }
        Some(Err(stored)) => Err(ClusterNetError::StoredRoster { seeds, stored }),
        None => Err(ClusterNetError::Seeds(seeds)),
    }
}

#[cfg(test)]
mod tests;
