//! Validation of the fields of one server.

use crate::{ModelServer, RawServer, ServerState};

/// Maximum length of a server name, bytes.
const MAX_NAME_BYTES: usize = 255;
/// Maximum weight of a server.
const MAX_WEIGHT: f64 = 1000.0;

/// The value of the first column or variable in `names` that is present; `None` if it is empty. Different tools use
/// different names for one field.
fn field<'a>(raw: &'a RawServer, names: &[&str]) -> Option<&'a str> {
    names
        .iter()
        .find_map(|name| raw.fields.get(*name))
        .map(|value| value.trim())
        .filter(|value| !value.is_empty())
}

fn required(raw: &RawServer, server: &str, names: &[&str]) -> Result<String, String> {
    let missing = || format!("host '{server}' has no {}", names[0]);
    field(raw, names).map(str::to_string).ok_or_else(missing)
}

pub(crate) fn server(raw: RawServer) -> Result<ModelServer, String> {
    let name = checked_name(&raw)?;
    let text = |names: &[&str], default: &str| field(&raw, names).unwrap_or(default).to_string();
    Ok(ModelServer {
        port: port(&raw, &name)?,
        weight: weight(&raw, &name)?,
        state: state(&raw, &name)?,
        address: text(&["address", "ansible_host"], &name),
        kind: required(&raw, &name, &["kind"])?,
        cell: text(&["cell", "rack"], "default"),
        zone: text(&["zone", "site"], "default"),
        name,
    })
}

fn checked_name(raw: &RawServer) -> Result<String, String> {
    let name = raw.name.trim();
    let printable = |c: char| !c.is_control() && !c.is_whitespace();
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(printable) {
        return Err(format!(
            "'{name}' is no host name: 1 to 255 characters without spaces are expected"
        ));
    }
    Ok(name.to_string())
}

fn port(raw: &RawServer, server: &str) -> Result<u16, String> {
    let port = required(raw, server, &["port", "ansible_port"])?;
    match port.parse::<u16>() {
        Ok(p) if p > 0 => Ok(p),
        _ => Err(format!(
            "host '{server}': port '{port}' is not between 1 and 65535"
        )),
    }
}

fn weight(raw: &RawServer, server: &str) -> Result<f64, String> {
    match field(raw, &["weight"]).map(|w| (w, w.parse::<f64>())) {
        None => Ok(1.0),
        Some((_, Ok(w))) if w > 0.0 && w <= MAX_WEIGHT => Ok(w),
        Some((w, _)) => Err(format!(
            "host '{server}': weight '{w}' is not above 0 and up to 1000"
        )),
    }
}

fn state(raw: &RawServer, server: &str) -> Result<ServerState, String> {
    match field(raw, &["state"]).unwrap_or("ready") {
        "ready" => Ok(ServerState::Ready),
        "draining" => Ok(ServerState::Draining),
        "gone" => Ok(ServerState::Gone),
        other => Err(format!(
            "host '{server}': state '{other}' is none of ready, draining, gone"
        )),
    }
}
