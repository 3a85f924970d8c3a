//! Ansible's YAML inventory: groups with `hosts`, `children` and `vars`, and host ranges.
//!
//! Variables are merged as Ansible's documentation states: a child group's over its parent's, among groups of
//! one depth the later name's over the earlier's, and a host's own over all.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::ranges::expand;
use crate::{RawHost, HOSTS_MOST};

/// Depth of groups within groups at the most.
const DEPTH_MOST: usize = 16;

type Vars = BTreeMap<String, Scalar>;

#[derive(Clone, Deserialize)]
#[serde(untagged)]
enum Scalar {
    Bool(bool),
    Whole(i64),
    Number(f64),
    Text(String),
    /// Lists and maps mean nothing to a dispatcher.
    Other(serde::de::IgnoredAny),
}

impl Scalar {
    fn word(&self) -> Option<String> {
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

/// What is gathered of one host: variables with the depth and group they come from.
#[derive(Default)]
struct Gathered {
    line: u64,
    layers: Vec<(usize, String, Vars)>,
    own: Vars,
}

pub(crate) fn read(text: &str) -> Result<Vec<RawHost>, (u64, String)> {
    let fault = |e: serde_saphyr::Error| {
        let line = e.location().map_or(0, |l| l.line());
        let whole = e.to_string();
        (
            line,
            whole
                .lines()
                .next()
                .unwrap_or("broken YAML")
                .trim()
                .to_string(),
        )
    };
    let top: BTreeMap<String, Option<Group>> = serde_saphyr::from_str(text).map_err(fault)?;
    let mut hosts: BTreeMap<String, Gathered> = BTreeMap::new();
    for (name, group) in &top {
        if let Some(group) = group {
            gather(text, name, group, &mut Vec::new(), &mut hosts)?;
        }
    }
    let raw = hosts.into_iter().map(|(name, found)| {
        let mut layers = found.layers;
        layers.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        let all = layers.into_iter().map(|l| l.2).chain([found.own]).flatten();
        let words = all.filter_map(|(k, v)| v.word().map(|w| (k, w))).collect();
        RawHost {
            name,
            line: found.line,
            words,
        }
    });
    Ok(raw.collect())
}

fn gather<'a>(
    text: &str,
    name: &'a str,
    group: &'a Group,
    above: &mut Vec<(&'a str, &'a Vars)>,
    hosts: &mut BTreeMap<String, Gathered>,
) -> Result<(), (u64, String)> {
    static NONE: Vars = Vars::new();
    if above.len() >= DEPTH_MOST {
        return Err((
            line_of(text, name),
            format!("group '{name}' lies deeper than {DEPTH_MOST} groups"),
        ));
    }
    above.push((name, group.vars.as_ref().unwrap_or(&NONE)));
    for (pattern, own) in group.hosts.iter().flatten() {
        let line = line_of(text, pattern);
        let room = HOSTS_MOST.saturating_sub(hosts.len());
        for host in expand(pattern, room + 1).map_err(|cause| (line, cause))? {
            let found = hosts.entry(host).or_default();
            found.line = line;
            for (depth, (group, vars)) in above.iter().enumerate() {
                found
                    .layers
                    .push((depth, group.to_string(), (*vars).clone()));
            }
            found
                .own
                .extend(own.iter().flatten().map(|(k, v)| (k.clone(), v.clone())));
        }
    }
    for (child, inner) in group.children.iter().flatten() {
        if let Some(inner) = inner {
            gather(text, child, inner, above, hosts)?;
        }
    }
    above.pop();
    Ok(())
}

/// The first line on which a key stands, plain or quoted; 0 if none does.
fn line_of(text: &str, key: &str) -> u64 {
    let stands = |line: &str| {
        let line = line.trim_start().trim_start_matches(['"', '\'']);
        line.strip_prefix(key)
            .is_some_and(|rest| rest.trim_start_matches(['"', '\'']).starts_with(':'))
    };
    text.lines().position(stands).map_or(0, |i| i as u64 + 1)
}
