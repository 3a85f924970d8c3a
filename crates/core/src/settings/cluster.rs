//! Settings of `[cluster]`: the dispatchers that share their state.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::check::Validator;

/// Limit on the number of seed addresses.
const MAX_SEEDS: usize = 16;

/// The cluster that this dispatcher belongs to; clustering is off without this table. Peers exchange UDP datagrams, and
/// complete membership views over TCP at the same addresses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub name: String,
    /// File of the secret that authenticates peers: 16 to 4096 bytes, the same at all members. The path is relative to the
    /// settings file.
    pub secret: String,
    /// File that stores the latest incarnation of this dispatcher, so that a restart gets a higher one even if the clock
    /// went back. A roster fetched from the seeds is stored next to it. The path is relative to the settings file.
    #[serde(rename = "kept")]
    pub incarnation_file: Option<String>,
    /// Address that this dispatcher listens at, where it differs from its address in the roster, as behind a forwarder.
    pub address: Option<SocketAddrV4>,
    /// All members of the cluster, this dispatcher included; empty where `seeds` is set.
    #[serde(default)]
    pub roster: Vec<Peer>,
    /// Addresses of some members that have a roster, from which this dispatcher requests it at its start; set instead of
    /// `roster`.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Load shedding coordinated by all members; off without this table.
    pub overload: Option<bitternlatch_overload::Settings>,
    /// Output lengths learned by all members together; off without this table.
    #[serde(rename = "lengths")]
    pub output_lengths: Option<bitternlatch_output_length::Settings>,
    /// Workflows that another worker can resume after a failure; off without this table.
    pub workflows: Option<bitternlatch_workflow::Settings>,
}

/// One member of the cluster: a dispatcher and its addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the member in its own settings file.
    pub name: String,
    /// IPv4 address at which the member receives datagrams and TCP connections of its peers.
    pub address: SocketAddrV4,
    /// Address at which the member accepts clients; named in rejections that redirect a client to other dispatchers.
    #[serde(rename = "clients")]
    pub client_address: Option<String>,
}

impl Cluster {
    /// Validates the table for the dispatcher named `own`.
    pub(super) fn check(&self, own: &str, validator: &mut Validator) {
        validator.name("cluster.name", &self.name);
        validator.name("cluster.secret", &self.secret);
        if let Some(workflows) = &self.workflows {
            check_workflows(workflows, validator);
        }
        if let Some(Err(error)) = self
            .overload
            .as_ref()
            .map(bitternlatch_overload::Settings::check)
        {
            validator.fail("cluster.overload", format!("{error}; {}", error.advice()));
        }
        if !self.seeds.is_empty() {
            return match self.roster.is_empty() {
                true => self.check_seeds(validator),
                false => validator.fail(
                    "cluster.seeds",
                    "a roster is given as well; keep one of them".to_string(),
                ),
            };
        }
        validator.list_length("cluster.roster", self.roster.len());
        validator.unique_names(
            "cluster.roster",
            self.roster.iter().map(|p| p.name.as_str()),
        );
        if self.roster.iter().all(|p| p.name != own) {
            validator.fail(
                "cluster.roster",
                format!("'{own}', this dispatcher, is not in it"),
            );
        }
        let mut names_by_address = BTreeMap::new();
        for (i, peer) in self.roster.iter().enumerate() {
            let path = format!("cluster.roster.{i}.address");
            if peer.address.port() == 0
                || peer.address.ip().is_unspecified()
                || peer.address.ip().is_multicast()
            {
                validator.fail(&path, format!("{} cannot be sent to", peer.address));
            }
            if let Some(other) = names_by_address.insert(peer.address, &peer.name) {
                validator.fail(
                    &path,
                    format!("{} is also the address of '{other}'", peer.address),
                );
            }
        }
    }

    fn check_seeds(&self, validator: &mut Validator) {
        if self.seeds.len() > MAX_SEEDS {
            validator.fail(
                "cluster.seeds",
                format!("{} of them; {MAX_SEEDS} at the most", self.seeds.len()),
            );
        }
        for (i, seed) in self.seeds.iter().enumerate().filter(|(_, s)| s.port() == 0) {
            validator.fail(
                &format!("cluster.seeds.{i}"),
                format!("{seed} cannot be connected to"),
            );
        }
    }

    /// Address that the dispatcher named `own` listens at: `address`, or else its address in the roster.
    pub fn own_address(&self, own: &str) -> Option<SocketAddrV4> {
        self.address.or_else(|| {
            self.roster
                .iter()
                .find(|p| p.name == own)
                .map(|p| p.address)
        })
    }
}

fn check_workflows(workflows: &bitternlatch_workflow::Settings, validator: &mut Validator) {
    if let Some(kept) = &workflows.records_dir {
        validator.name("cluster.workflows.kept", kept);
    }
    validator.range(
        "cluster.workflows.steps",
        f64::from(workflows.steps),
        1.0,
        100_000.0,
    );
    validator.range(
        "cluster.workflows.bytes",
        workflows.bytes as f64,
        1024.0,
        64.0 * 1048576.0,
    );
    validator.range(
        "cluster.workflows.tokens",
        workflows.tokens as f64,
        1.0,
        1e12,
    );
    validator.range("cluster.workflows.lasts_s", workflows.lasts_s, 1.0, 1e8);
    // A lease shorter than a few message round trips between peers would expire in every short pause. With one longer than
    // an hour, a workflow of a failed worker would practically never be resumed.
    validator.range("cluster.workflows.lease_s", workflows.lease_s, 0.2, 3600.0);
}
