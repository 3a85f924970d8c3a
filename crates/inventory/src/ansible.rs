//! Ansible's YAML inventory format: groups with `hosts`, `children` and `vars`, and host ranges.
//!
//! Variables are merged by Ansible's documented precedence: a child group overrides its parent, among groups of the same
//! depth the alphabetically later one overrides the earlier, and a host's own variables override all groups.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::ranges::expand;
use crate::{Fault, RawServer, MAX_SERVERS};

/// Maximum nesting depth of groups.
const MAX_GROUP_DEPTH: usize = 16;

type Vars = BTreeMap<String, Scalar>;

#[derive(Clone, Deserialize)]
#[serde(untagged)]
enum Scalar {
    Bool(bool),
    Whole(i64),
    Number(f64),
    Text(String),
    /// Lists and maps, which are ignored.
    Other(serde::de::IgnoredAny),
}

impl Scalar {
    fn to_text(&self) -> Option<String> {
        match self {
            Scalar::Bool(b) => Some(b.to_string()),
            Scalar::Whole(n) => Some(n.to_string()),
            Scalar::Number(n) => Some(n.to_string()),
            Scalar::Text(t) => Some(t.clone()),
            Scalar::Other(_) => None,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Group {
    #[serde(default)]
    hosts: Option<BTreeMap<String, Option<Vars>>>,
    #[serde(default)]
    children: Option<BTreeMap<String, Option<Group>>>,
    #[serde(default)]
    vars: Option<Vars>,
}

/// The variables that a server gets from one group, with the group's depth.
struct Layer {
    depth: usize,
    group: String,
    vars: Vars,
}

/// The variables of one server: those of each of its groups, and its own.
#[derive(Default)]
struct CollectedServer {
    line: u64,
    layers: Vec<Layer>,
    own: Vars,
}

pub(crate) fn read(text: &str) -> Result<Vec<RawServer>, Fault> {
    let fault = |e: serde_saphyr::Error| {
        let line = e.location().map_or(0, |l| l.line());
        let message = e.to_string();
        let cause = message.lines().next().unwrap_or("broken YAML");
        Fault {
            line,
            cause: cause.trim().to_string(),
        }
    };
    let top: BTreeMap<String, Option<Group>> = serde_saphyr::from_str(text).map_err(fault)?;
    let mut servers: BTreeMap<String, CollectedServer> = BTreeMap::new();
    for (name, group) in &top {
        if let Some(group) = group {
            collect_group(text, name, group, &mut Vec::new(), &mut servers)?;
        }
    }
    let raw = servers.into_iter().map(|(name, found)| {
        let mut layers = found.layers;
        layers.sort_by(|a, b| (a.depth, &a.group).cmp(&(b.depth, &b.group)));
        let all = layers
            .into_iter()
            .map(|l| l.vars)
            .chain([found.own])
            .flatten();
        let fields = all
            .filter_map(|(k, v)| v.to_text().map(|w| (k, w)))
            .collect();
        RawServer {
            name,
            line: found.line,
            fields,
        }
    });
    Ok(raw.collect())
}

/// The current group or one of the groups that contain it.
struct Ancestor<'a> {
    name: &'a str,
    vars: &'a Vars,
}

fn collect_group<'a>(
    text: &str,
    name: &'a str,
    group: &'a Group,
    ancestors: &mut Vec<Ancestor<'a>>,
    servers: &mut BTreeMap<String, CollectedServer>,
) -> Result<(), Fault> {
    static NONE: Vars = Vars::new();
    if ancestors.len() >= MAX_GROUP_DEPTH {
        return Err(Fault {
            line: line_of(text, name),
            cause: format!("group '{name}' lies deeper than {MAX_GROUP_DEPTH} groups"),
        });
    }
    let vars = group.vars.as_ref().unwrap_or(&NONE);
    ancestors.push(Ancestor { name, vars });
    for (pattern, own) in group.hosts.iter().flatten() {
        let line = line_of(text, pattern);
        let remaining = MAX_SERVERS.saturating_sub(servers.len());
        let names = expand(pattern, remaining + 1).map_err(|cause| Fault { line, cause })?;
        for server in names {
            let collected = servers.entry(server).or_default();
            collected.add(line, ancestors, own.as_ref());
        }
    }
    for (child, inner) in group.children.iter().flatten() {
        if let Some(inner) = inner {
            collect_group(text, child, inner, ancestors, servers)?;
        }
    }
    ancestors.pop();
    Ok(())
}

impl CollectedServer {
    /// Adds the variables from one occurrence of the server in the inventory.
    fn add(&mut self, line: u64, ancestors: &[Ancestor], own: Option<&Vars>) {
        self.line = line;
        for (depth, ancestor) in ancestors.iter().enumerate() {
            self.layers.push(Layer {
                depth,
                group: ancestor.name.to_string(),
                vars: ancestor.vars.clone(),
            });
        }
        let own = own.into_iter().flatten();
        self.own.extend(own.map(|(k, v)| (k.clone(), v.clone())));
    }
}

/// Number of the first line that begins with the key, plain or quoted; 0 if there is none.
fn line_of(text: &str, key: &str) -> u64 {
    let is_key_line = |line: &str| {
        let line = line.trim_start().trim_start_matches(['"', '\'']);
        line.strip_prefix(key)
            .is_some_and(|rest| rest.trim_start_matches(['"', '\'']).starts_with(':'))
    };
    text.lines()
        .position(is_key_line)
        .map_or(0, |i| i as u64 + 1)
}
