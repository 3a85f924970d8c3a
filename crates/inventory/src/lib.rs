//! Lists of model servers as configuration tools write them: CSV with a header row, or Ansible's YAML inventory.
//!
//! [`parse`] converts one text into a [`ServerSet`]; [`LastValidList`] decides when a changed text is applied. The crate
//! reads no files and no clock.

mod ansible;
mod fields;
mod last_good;
mod ranges;
mod table;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

pub use last_good::{Difference, LastValidList, UpdateOutcome};
pub use ranges::expand;

/// Maximum number of servers in one list; a longer list is rejected as a whole.
pub const MAX_SERVERS: usize = 10_000;

/// State of a server according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts requests.
    #[default]
    Ready,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server no longer exists.
    Gone,
}

/// One model server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelServer {
    /// Name of the server, unique in the list; 1 to 255 bytes without spaces.
    pub name: String,
    /// Host name or IP address of the server.
    pub address: String,
    /// TCP port of the server.
    pub port: u16,
    /// Name of a server kind defined in the settings.
    pub kind: String,
    /// Rack of the server.
    pub cell: String,
    /// Site of the server.
    pub zone: String,
    /// Capacity relative to other servers of the same role.
    pub weight: f64,
    /// State of the server according to the list.
    pub state: ServerState,
}

impl ModelServer {
    /// The id of the server, 32 bits of XXH3 over its name. All dispatchers compute the same id, so that they assign a
    /// prefix to the same servers without coordination. [`parse`] rejects a list in which two names have the same id.
    pub fn id(&self) -> u32 {
        server_id(&self.name)
    }

    /// The endpoint as `address:port`, with an IPv6 address in brackets.
    pub fn endpoint(&self) -> String {
        match self.address.contains(':') {
            true => format!("[{}]:{}", self.address, self.port),
            false => format!("{}:{}", self.address, self.port),
        }
    }
}

/// The id of the server with this name, see [`ModelServer::id`].
pub fn server_id(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// Servers by name.
pub type ServerSet = BTreeMap<String, ModelServer>;

/// File format of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFormat {
    /// CSV with a header row.
    Csv,
    /// Ansible's YAML inventory.
    Yaml,
}

impl ListFormat {
    /// Detects the format by the file's extension, otherwise by the content: the first line of a CSV file contains commas
    /// and no colon.
    pub fn of(file: &str, text: &str) -> ListFormat {
        let suffix = file.rsplit('.').next().unwrap_or("").to_ascii_lowercase();
        match suffix.as_str() {
            "csv" => return ListFormat::Csv,
            "yaml" | "yml" => return ListFormat::Yaml,
            _ => {}
        }
        let is_content =
            |l: &&str| !l.trim().is_empty() && !l.starts_with('#') && !l.starts_with("---");
        match text.lines().find(is_content) {
            Some(first) if first.contains(',') && !first.contains(':') => ListFormat::Csv,
            _ => ListFormat::Yaml,
        }
    }
}

/// Why a list is rejected, and where.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct ListError {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1; 0 if the error concerns the whole file.
    pub line: u64,
    /// The cause, and what was expected.
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

/// Why a text is rejected, and its line number (0 for the whole text).
pub(crate) struct Fault {
    pub line: u64,
    pub cause: String,
}

/// A server with its unparsed fields by column or variable name, and its line number.
pub(crate) struct RawServer {
    pub name: String,
    pub line: u64,
    pub fields: BTreeMap<String, String>,
}

/// Parses one list in either format.
///
/// # Errors
/// The first error found: invalid syntax, a field that is missing or out of range, a duplicate name or id, or a list
/// without servers. A list with an error is rejected as a whole.
pub fn parse(file: &str, text: &str) -> Result<ServerSet, ListError> {
    read(file, text).map_err(|fault| ListError {
        file: file.to_string(),
        line: fault.line,
        cause: fault.cause,
    })
}

fn read(file: &str, text: &str) -> Result<ServerSet, Fault> {
    let whole_file = |cause: String| Fault { line: 0, cause };
    let raw = match ListFormat::of(file, text) {
        ListFormat::Csv => table::read(text)?,
        ListFormat::Yaml => ansible::read(text)?,
    };
    if raw.len() > MAX_SERVERS {
        let cause = format!("{} hosts, more than {MAX_SERVERS}", raw.len());
        return Err(whole_file(cause));
    }
    let mut servers = ServerSet::new();
    let mut names_by_id: BTreeMap<u32, String> = BTreeMap::new();
    for raw_server in raw {
        let line = raw_server.line;
        let server = fields::server(raw_server).map_err(|cause| Fault { line, cause })?;
        if let Some(other) = names_by_id.insert(server.id(), server.name.clone()) {
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
