//! Lists of model hosts as configuration tools keep them: CSV with a header row, or Ansible's YAML inventory.
//!
//! [`parse`] turns one text into a [`HostSet`]; [`LastGood`] decides when a text that is being reread counts.
//! Nothing here reads a file or a clock.

mod ansible;
mod last_good;
mod ranges;
mod table;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

pub use last_good::{Difference, LastGood, Offer};
pub use ranges::expand;

/// Hosts in one list at the most; a longer one is refused whole.
pub const HOSTS_MOST: usize = 10_000;

/// What the list says of a host's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One model host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    pub name: String,
    /// Host name or IP address.
    pub address: String,
    pub port: u16,
    /// A kind of the settings.
    pub kind: String,
    /// Its rack.
    pub cell: String,
    pub zone: String,
    /// Size against hosts of its role.
    pub weight: f64,
    pub state: HostState,
}

impl Host {
    /// The id under which every dispatcher knows the host: 32 bits of XXH3 over its name, so that all place a
    /// prefix's homes alike without agreement. [`parse`] refuses a list in which two names share one.
    pub fn id(&self) -> u32 {
        host_id(&self.name)
    }

    /// `address:port`, an IPv6 address in brackets.
    pub fn endpoint(&self) -> String {
        match self.address.contains(':') {
            true => format!("[{}]:{}", self.address, self.port),
            false => format!("{}:{}", self.address, self.port),
        }
    }
}

/// See [`Host::id`].
pub fn host_id(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// Hosts by name.
pub type HostSet = BTreeMap<String, Host>;

/// The form a list is written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Csv,
    Yaml,
}

impl Form {
    /// By the file's suffix where it says so, else by the content: a CSV's header names columns with commas and
    /// no colon.
    pub fn of(file: &str, text: &str) -> Form {
        let suffix = file.rsplit('.').next().unwrap_or("").to_ascii_lowercase();
        match suffix.as_str() {
            "csv" => return Form::Csv,
            "yaml" | "yml" => return Form::Yaml,
            _ => {}
        }
        let said = |l: &&str| !l.trim().is_empty() && !l.starts_with('#') && !l.starts_with("---");
        match text.lines().find(said) {
            Some(first) if first.contains(',') && !first.contains(':') => Form::Csv,
            _ => Form::Yaml,
        }
    }
}

/// What is wrong with a list, and where.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct ListError {
    pub file: String,
    /// 1 for the first; 0 where the whole file is meant.
    pub line: u64,
    pub cause: String,
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.cause),
            n => write!(f, "{}:{n}: {}", self.file, self.cause),
        }
    }
}

/// A host as a list gives it: its words by column or variable, and its line.
pub(crate) struct RawHost {
    pub name: String,
    pub line: u64,
    pub words: BTreeMap<String, String>,
}

/// Reads one list, whichever form it has.
///
/// # Errors
/// The first fault found: broken syntax, a field that is missing or has a value outside its bounds, a name given
/// twice, or a list without any host. A list is taken whole or not at all.
pub fn parse(file: &str, text: &str) -> Result<HostSet, ListError> {
    let at = |line, cause: String| ListError {
        file: file.to_string(),
        line,
        cause,
    };
    let raw = match Form::of(file, text) {
        Form::Csv => table::read(text),
        Form::Yaml => ansible::read(text),
    };
    let raw = raw.map_err(|(line, cause)| at(line, cause))?;
    if raw.len() > HOSTS_MOST {
        return Err(at(
            0,
            format!("{} hosts, more than {HOSTS_MOST}", raw.len()),
        ));
    }
    let mut hosts = HostSet::new();
    let mut ids: BTreeMap<u32, String> = BTreeMap::new();
    for one in raw {
        let line = one.line;
        let host = host(one).map_err(|cause| at(line, cause))?;
        if let Some(other) = ids.insert(host.id(), host.name.clone()) {
            let why = if other == host.name {
                "is listed twice"
            } else {
                "shares its id with another name"
            };
            return Err(at(
                line,
                format!("host '{}' {why} ('{other}'); rename one", host.name),
            ));
        }
        hosts.insert(host.name.clone(), host);
    }
    match hosts.is_empty() {
        true => Err(at(
            0,
            "names no host; an empty list is not taken".to_string(),
        )),
        false => Ok(hosts),
    }
}

/// Names that tools use for one field; the first that is given counts.
fn word<'a>(raw: &'a RawHost, names: &[&str]) -> Option<&'a str> {
    names
        .iter()
        .find_map(|n| raw.words.get(*n))
        .map(|v| v.trim())
        .filter(|v| !v.is_empty())
}

fn host(raw: RawHost) -> Result<Host, String> {
    let name = raw.name.trim().to_string();
    let printable = |c: char| !c.is_control() && !c.is_whitespace();
    if name.is_empty() || name.len() > 255 || !name.chars().all(printable) {
        return Err(format!(
            "'{name}' is no host name: 1 to 255 characters without spaces are expected"
        ));
    }
    let need = |names: &[&str]| {
        let missing = || format!("host '{name}' has no {}", names[0]);
        word(&raw, names).map(str::to_string).ok_or_else(missing)
    };
    let port = need(&["port", "ansible_port"])?;
    let port = match port.parse::<u16>() {
        Ok(p) if p > 0 => p,
        _ => {
            return Err(format!(
                "host '{name}': port '{port}' is not between 1 and 65535"
            ))
        }
    };
    let weight = match word(&raw, &["weight"]).map(|w| (w, w.parse::<f64>())) {
        None => 1.0,
        Some((_, Ok(w))) if w > 0.0 && w <= 1000.0 => w,
        Some((w, _)) => {
            return Err(format!(
                "host '{name}': weight '{w}' is not above 0 and up to 1000"
            ))
        }
    };
    let state = match word(&raw, &["state"]).unwrap_or("ready") {
        "ready" => HostState::Ready,
        "draining" => HostState::Draining,
        "gone" => HostState::Gone,
        other => {
            return Err(format!(
                "host '{name}': state '{other}' is none of ready, draining, gone"
            ))
        }
    };
    Ok(Host {
        address: word(&raw, &["address", "ansible_host"])
            .unwrap_or(&name)
            .to_string(),
        port,
        kind: need(&["kind"])?,
        cell: word(&raw, &["cell", "rack"])
            .unwrap_or("default")
            .to_string(),
        zone: word(&raw, &["zone", "site"])
            .unwrap_or("default")
            .to_string(),
        weight,
        state,
        name,
    })
}
