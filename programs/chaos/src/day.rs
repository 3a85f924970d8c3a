//! What a day is made of.

use std::path::Path;

use bitternlatch_mock_engine::config::{Cold, Fault, HostConfig, Trouble};
use serde::Deserialize;

use crate::agents::Agents;
use crate::manners::{Manners, Surge};
use crate::parted::{self, BetweenFault, ProcessFault};
use crate::secured::Secure;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    #[serde(default)]
    pub seed: u64,
    pub for_s: f64,
    /// Requests a second over all clients.
    pub rate_rps: f64,
    pub dispatchers: Dispatchers,
    /// Further tries of a client.
    #[serde(default = "two")]
    pub retries: u32,
    /// Share of unsafe requests whose client drops its socket while they run, and comes back with its key.
    #[serde(default)]
    pub drop_share: f64,
    pub mix: Vec<Mix>,
    #[serde(default)]
    pub clients: Manners,
    /// When more come than `rate_rps`.
    #[serde(default)]
    pub surge: Vec<Surge>,
    #[serde(rename = "hosts")]
    raw_hosts: Vec<toml::Table>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Hosts that the list's file tells to drain.
    #[serde(default)]
    pub drains: Vec<Drain>,
    /// Troubles between dispatchers that know each other, and to their processes.
    #[serde(default)]
    pub between: Vec<BetweenFault>,
    #[serde(default)]
    pub process: Vec<ProcessFault>,
    /// TLS on both sides, callers that prove who they are, and keys that change.
    pub secure: Option<Secure>,
    /// Workers that carry workflows, and what is drawn to happen to all.
    pub agents: Option<Agents>,
    #[serde(skip)]
    pub hosts: Vec<DayHost>,
}

fn two() -> u32 {
    2
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatchers {
    pub count: usize,
    /// Their settings, but for name, address, list and record; relative to the day's file.
    pub settings: String,
    /// Tables that are put over those of the settings.
    #[serde(default)]
    pub over: toml::Table,
    /// Whether they know each other.
    #[serde(default)]
    pub cluster: bool,
    /// What of `[cluster]` is switched on besides: its tables `overload`, `lengths`, `workflows`.
    #[serde(default)]
    pub beside: toml::Table,
    /// What happens between them and to their processes is played, but they are told of nobody: the same day for a program
    /// that knows no peers.
    #[serde(default)]
    pub strangers: bool,
    #[serde(default)]
    pub restarts: Vec<Restart>,
}

/// A dispatcher is killed outright and started again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Restart {
    pub at_s: f64,
    /// From 1.
    pub dispatcher: usize,
    pub down_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    pub at_s: f64,
    pub for_s: f64,
    pub hosts: Vec<String>,
}

/// One class of traffic; token counts are ranges.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    pub class: String,
    /// Whose requests they are; the settings' first where none is named.
    pub tenant: Option<String>,
    pub share: f64,
    pub turns: [u32; 2],
    pub turn_tokens: [u32; 2],
    pub answer_tokens: [u32; 2],
    /// Shared opening texts: how many, how long, and the share of sessions that begin with one.
    pub prefixes: u32,
    pub prefix_tokens: u32,
    pub prefix_share: f64,
}

#[derive(Clone, Debug)]
pub struct DayHost {
    pub kind: String,
    pub cell: String,
    pub config: HostConfig,
}

impl Day {
    /// Reads a day's file.
    ///
    /// # Errors
    /// The first fault, with the file's name and its place where it has one.
    pub fn read(path: &Path) -> Result<Day, String> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
        Day::parse(&text).map_err(|e| format!("{shown}: {e}"))
    }

    /// As [`Day::read`], from a text.
    ///
    /// # Errors
    /// The first fault.
    pub fn parse(text: &str) -> Result<Day, String> {
        let mut day: Day = toml::from_str(text).map_err(|e| e.to_string())?;
        for raw in std::mem::take(&mut day.raw_hosts) {
            day.hosts.extend(hosts(raw)?);
        }
        let known = |name: &String| day.hosts.iter().any(|h| h.config.name == *name);
        let named = day
            .faults
            .iter()
            .flat_map(|f| &f.hosts)
            .chain(day.drains.iter().flat_map(|d| &d.hosts));
        if let Some(unknown) = named.into_iter().find(|n| !known(n)) {
            return Err(format!("host '{unknown}' is not there"));
        }
        let bounds = [
            ("for_s", day.for_s, 600.0),
            ("rate_rps", day.rate_rps, 1000.0),
        ];
        for (name, value, most) in bounds {
            if !(0.1..=most).contains(&value) {
                return Err(format!("{name}: {value} is not between 0.1 and {most}"));
            }
        }
        // Both are played by the cluster's scripts; without it they would be passed by in silence.
        let parted = [
            ("between", !day.between.is_empty()),
            ("process", !day.process.is_empty()),
        ];
        if let Some((key, _)) = parted
            .iter()
            .find(|(_, there)| *there && !day.dispatchers.cluster)
        {
            return Err(format!("{key}: needs dispatchers.cluster = true"));
        }
        day.agents.as_ref().map_or(Ok(()), Agents::check)?;
        if day.agents.is_some() && !day.dispatchers.cluster {
            return Err("agents: needs dispatchers.cluster = true".to_string());
        }
        day.clients.check()?;
        Surge::check(&day.surge)?;
        parted::check(&day.between, &day.process, day.dispatchers.count)?;
        match day.dispatchers.count {
            1..=64 => Ok(day),
            n => Err(format!("dispatchers.count: {n} is not between 1 and 64")),
        }
    }

    /// The same day without trouble.
    pub fn calm(&self) -> Day {
        let mut calm = self.clone();
        (calm.faults, calm.drains, calm.drop_share) = (Vec::new(), Vec::new(), 0.0);
        (calm.between, calm.process, calm.surge) = (Vec::new(), Vec::new(), Vec::new());
        calm.dispatchers.restarts.clear();
        calm.agents.iter_mut().for_each(|agents| agents.kills = 0);
        calm
    }

    /// Names of the troubles that it holds.
    pub fn troubles(&self) -> Vec<String> {
        let mut all: Vec<String> = self
            .faults
            .iter()
            .map(|f| format!("{:?}", f.trouble))
            .collect();
        all.extend(
            self.dispatchers
                .restarts
                .iter()
                .map(|_| "DispatcherKilled".to_string()),
        );
        all.extend(self.drains.iter().map(|_| "ListDrain".to_string()));
        all.extend((!self.surge.is_empty()).then(|| "Surge".to_string()));
        all.extend((self.drop_share > 0.0).then(|| "ClientsDrop".to_string()));
        all.extend((!self.between.is_empty()).then(|| "BetweenDispatchers".to_string()));
        all.extend(
            self.process
                .iter()
                .map(|p| format!("Dispatcher{:?}", p.what)),
        );
        if self.agents.as_ref().is_some_and(|a| a.kills > 0) {
            all.push("DrawnKillsPausesCuts".to_string());
        }
        if self.secure.is_some() {
            all.extend(["KeysRotated", "CertificateRevoked"].map(str::to_string));
        }
        all.sort();
        all.dedup();
        all
    }

    /// When the script takes hosts down: seconds after the hosts' start, and which.
    pub fn downs(&self) -> Vec<(f64, String)> {
        let at = |f: &Fault| match f.trouble {
            Trouble::Crash => Some(f.at_s),
            Trouble::Deploy => Some(f.at_s + f.for_s),
            _ => None,
        };
        let each = self
            .faults
            .iter()
            .filter_map(|f| at(f).map(|t| (t, &f.hosts)));
        each.flat_map(|(t, hosts)| hosts.iter().map(move |h| (t, h.clone())))
            .collect()
    }

    pub fn standins(&self) -> bitternlatch_mock_engine::Config {
        bitternlatch_mock_engine::Config {
            tls: None,
            hosts: self.hosts.iter().map(|h| h.config.clone()).collect(),
            cold: Cold::default(),
            faults: self.faults.clone(),
            seed: self.seed,
        }
    }
}

/// The hosts of one entry: a range of names, spread over its cells.
fn hosts(mut raw: toml::Table) -> Result<Vec<DayHost>, String> {
    let text = |v: Option<toml::Value>, key: &str| {
        v.and_then(|v| v.as_str().map(str::to_string))
            .ok_or_else(|| format!("a host needs {key}, a text"))
    };
    let kind = text(raw.remove("kind"), "kind")?;
    let pattern = text(raw.remove("name"), "name")?;
    let cells = match raw.remove("cells") {
        None => vec!["default".to_string()],
        Some(v) => v
            .try_into::<Vec<String>>()
            .map_err(|e| format!("host '{pattern}': cells: {e}"))?,
    };
    let names = expand(&pattern)?;
    let one = |(i, name): (usize, String)| {
        let mut table = raw.clone();
        table.insert("name".into(), name.clone().into());
        table.insert("listen".into(), "127.0.0.1:0".into());
        let config = table
            .try_into::<HostConfig>()
            .map_err(|e| format!("host '{name}': {e}"))?;
        Ok(DayHost {
            kind: kind.clone(),
            cell: cells[i % cells.len().max(1)].clone(),
            config,
        })
    };
    names.into_iter().enumerate().map(one).collect()
}

fn expand(pattern: &str) -> Result<Vec<String>, String> {
    bitternlatch_inventory::expand(pattern, 1000)
}
