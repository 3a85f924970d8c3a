//! `[cluster]`: the dispatchers that should know each other.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::check::Check;

/// Seeds that are asked at a start.
const MAX_SEEDS: usize = 16;

/// Off without this table. Peers speak datagrams and, for whole views, TCP at the same addresses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Of all dispatchers that belong together; others' datagrams are dropped.
    pub name: String,
    /// What proves that a peer belongs to it: a file of 16 to 4096 bytes, the same at all; relative to the settings file.
    pub secret: String,
    /// Where the latest start is kept, so that a restart counts as later whatever the clock says; relative likewise.
    #[serde(rename = "kept")]
    pub incarnation_file: Option<String>,
    /// Where this one listens, if not where the roster says that peers send: behind a forwarder.
    pub address: Option<SocketAddrV4>,
    /// All members, this one among them.
    #[serde(default)]
    pub roster: Vec<Peer>,
    /// Instead of a roster: where some members are heard that have one, and are asked for it at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Overload shed together; off without this table, as are the two that follow.
    pub overload: Option<bitternlatch_overload::Settings>,
    /// Lengths of answers learnt together.
    #[serde(rename = "lengths")]
    pub output_lengths: Option<bitternlatch_output_length::Settings>,
    /// Workflows that another worker resumes.
    pub workflows: Option<bitternlatch_workflow::Settings>,
}

/// One dispatcher of the cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name in its own settings.
    pub name: String,
    /// For datagrams and TCP, IPv4.
    pub address: SocketAddrV4,
    /// Where its clients come, for refusals that name others to try.
    #[serde(rename = "clients")]
    pub client_address: Option<String>,
}

impl Cluster {
    pub(super) fn check(&self, own: &str, c: &mut Check) {
        c.name("cluster.name", &self.name);
        c.name("cluster.secret", &self.secret);
        if let Some(workflows) = &self.workflows {
            check_workflows(workflows, c);
        }
        if let Some(Err(why)) = self
            .overload
            .as_ref()
            .map(bitternlatch_overload::Settings::check)
        {
            c.fail("cluster.overload", format!("{why}; {}", why.advice()));
        }
        if !self.seeds.is_empty() {
            return match self.roster.is_empty() {
                true => self.check_seeds(c),
                false => c.fail(
                    "cluster.seeds",
                    "a roster is given as well; keep one of them".to_string(),
                ),
            };
        }
        c.some("cluster.roster", self.roster.len());
        c.unique(
            "cluster.roster",
            self.roster.iter().map(|p| p.name.as_str()),
        );
        if self.roster.iter().all(|p| p.name != own) {
            c.fail(
                "cluster.roster",
                format!("'{own}', this dispatcher, is not in it"),
            );
        }
        let mut seen = BTreeMap::new();
        for (i, peer) in self.roster.iter().enumerate() {
            let at = format!("cluster.roster.{i}.address");
            if peer.address.port() == 0
                || peer.address.ip().is_unspecified()
                || peer.address.ip().is_multicast()
            {
                c.fail(&at, format!("{} cannot be sent to", peer.address));
            }
            if let Some(other) = seen.insert(peer.address, &peer.name) {
                c.fail(
                    &at,
                    format!("{} is also the address of '{other}'", peer.address),
                );
            }
        }
    }

    fn check_seeds(&self, c: &mut Check) {
        if self.seeds.len() > MAX_SEEDS {
            c.fail(
                "cluster.seeds",
                format!("{} of them; {MAX_SEEDS} at the most", self.seeds.len()),
            );
        }
        for (i, seed) in self.seeds.iter().enumerate().filter(|(_, s)| s.port() == 0) {
            c.fail(
                &format!("cluster.seeds.{i}"),
                format!("{seed} cannot be connected to"),
            );
        }
    }

    /// Where this one listens.
    pub fn own_address(&self, own: &str) -> Option<SocketAddrV4> {
        self.address.or_else(|| {
            self.roster
                .iter()
                .find(|p| p.name == own)
                .map(|p| p.address)
        })
    }
}

fn check_workflows(w: &bitternlatch_workflow::Settings, c: &mut Check) {
    if let Some(kept) = &w.records_dir {
        c.name("cluster.workflows.kept", kept);
    }
    c.within(
        "cluster.workflows.steps",
        f64::from(w.steps),
        1.0,
        100_000.0,
    );
    c.within(
        "cluster.workflows.bytes",
        w.bytes as f64,
        1024.0,
        64.0 * 1048576.0,
    );
    c.within("cluster.workflows.tokens", w.tokens as f64, 1.0, 1e12);
    c.within("cluster.workflows.lasts_s", w.lasts_s, 1.0, 1e8);
    // Shorter than a few words between peers, a lease would end in every pause; longer than an hour, nobody would resume.
    c.within("cluster.workflows.lease_s", w.lease_s, 0.2, 3600.0);
}
