//! Lists of model servers as configuration tools keep them: CSV with a header row, or Ansible's YAML inventory.
//!
//! [`parse`] turns one text into a [`ServerSet`]; [`LastGood`] decides when a text that is being reread counts.
//! Nothing here reads a file or a clock.

mod ansible;
mod fields;
mod last_good;
mod ranges;
mod table;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

pub use last_good::{Difference, LastGood, Offer};
pub use ranges::expand;

/// Most servers in one list; a longer one is rejected as a whole.
pub const MAX_SERVERS: usize = 10_000;

/// What the list says of a server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no more.
    Gone,
}

/// One model server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelServer {
    /// Its name, unique in the list; 1 to 255 bytes without spaces.
    pub name: String,
    /// Host name or IP address.
    pub address: String,
    /// TCP port.
    pub port: u16,
    /// A kind of the settings.
    pub kind: String,
    /// Its rack.
    pub cell: String,
    /// Its site.
    pub zone: String,
    /// Size against servers of its role.
    pub weight: f64,
    /// What the list says of its process.
    pub state: ServerState,
}

impl ModelServer {
    /// The id under which every dispatcher knows the server: 32 bits of XXH3 over its name, so that all place a
    /// prefix's homes alike without agreement. [`parse`] refuses a list in which two names share one.
    pub fn id(&self) -> u32 {
        server_id(&self.name)
    }

    /// `address:port`, an IPv6 address in brackets.
    pub fn endpoint(&self) -> String {
        match self.address.contains(':') {
            true => format!("[{}]:{}", self.address, self.port),
            false => format!("{}:{}", self.address, self.port),
        }
    }
}

/// See [`ModelServer::id`].
pub fn server_id(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// Servers by name.
pub type ServerSet = BTreeMap<String, ModelServer>;

/// The form a list is written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// CSV with a header row.
    Csv,
    /// Ansible's YAML inventory.
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
    /// The file, as it was named.
    pub file: String,
    /// 1 for the first; 0 where the whole file is meant.
    pub line: u64,
    /// What is wrong, and what was expected.
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

/// What is wrong with a text, and on which line.
pub(crate) struct Fault {
    pub line: u64,
    pub cause: String,
}

/// A server as a list gives it: its fields by column or variable, and its line.
pub(crate) struct RawServer {
    pub name: String,
    pub line: u64,
    pub fields: BTreeMap<String, String>,
}

/// Reads one list, whichever form it has.
///
/// # Errors
/// The first fault found: broken syntax, a field that is missing or has a value outside its bounds, a name given
/// twice, or a list without any server. A list is taken as a whole or not at all.
pub fn parse(file: &str, text: &str) -> Result<ServerSet, ListError> {
    read(file, text).map_err(|fault| ListError {
        file: file.to_string(),
        line: fault.line,
        cause: fault.cause,
    })
}

fn read(file: &str, text: &str) -> Result<ServerSet, Fault> {
    let whole_file = |cause: String| Fault { line: 0, cause };
    let raw = match Form::of(file, text) {
        Form::Csv => table::read(text)?,
        Form::Yaml => ansible::read(text)?,
    };
    if raw.len() > MAX_SERVERS {
        let cause = format!("{} hosts, more than {MAX_SERVERS}", raw.len());
        return Err(whole_file(cause));
    }
    let mut servers = ServerSet::new();
    let mut ids: BTreeMap<u32, String> = BTreeMap::new();
    for one in raw {
        let line = one.line;
        let server = fields::server(one).map_err(|cause| Fault { line, cause })?;
        if let Some(other) = ids.insert(server.id(), server.name.clone()) {
            let why = if other == server.name {
                "is listed twice"
            } else {
                "shares its id with another name"
            };
            let cause = format!("host '{}' {why} ('{other}'); rename one", server.name);
            return Err(Fault { line, cause });
        }
        servers.insert(server.name.clone(), server);
    }
    if servers.is_empty() {
        let cause = "names no host; an empty list is not taken".to_string();
        return Err(whole_file(cause));
    }
    Ok(servers)
}
