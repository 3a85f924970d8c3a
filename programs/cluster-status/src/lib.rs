//! Views of several members, side by side.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use bitternlatch_cluster_net::{fetch_status, ClusterStatus};

/// A member's name and what it tells, or why it tells nothing.
pub type Told = (String, Result<ClusterStatus, String>);

/// The first view, and those of all members that it names.
pub fn gather(first: ClusterStatus, within: Duration) -> Vec<Told> {
    let others = first
        .members
        .iter()
        .map(|m| (m.name.clone(), m.address.clone()))
        .collect::<Vec<_>>();
    let askers = others.into_iter().map(|(name, address)| {
        let asked = move || match address.parse() {
            Ok(address) => fetch_status(address, within).map_err(|e| e.to_string()),
            Err(_) => Err(format!("'{address}' is no address")),
        };
        (name, std::thread::spawn(asked))
    });
    // All are asked at once: those that are not there would else be waited for one after the other.
    let askers: Vec<_> = askers.collect();
    let ended = |_| Err("the asker's thread ended".to_string());
    let mut views = vec![(first.name.clone(), Ok(first))];
    views.extend(
        askers
            .into_iter()
            .map(|(name, asker)| (name, asker.join().unwrap_or_else(ended))),
    );
    views
}

/// Where members say different things of one member, a line each.
pub fn differences(views: &[Told]) -> Vec<String> {
    let mut said: BTreeMap<&str, BTreeMap<&str, Vec<&str>>> = BTreeMap::new();
    for (by, view) in views
        .iter()
        .filter_map(|(by, v)| v.as_ref().ok().map(|v| (by, v)))
    {
        for member in &view.members {
            said.entry(&member.name)
                .or_default()
                .entry(&member.state)
                .or_default()
                .push(by);
        }
        // Each is alive to itself.
        said.entry(by)
            .or_default()
            .entry("alive")
            .or_default()
            .push(by);
    }
    let line = |(name, states): (&&str, &BTreeMap<&str, Vec<&str>>)| {
        let parts = states
            .iter()
            .map(|(state, by)| format!("{state} to {}", by.join(", ")));
        (states.len() > 1).then(|| format!("{name} is {}", parts.collect::<Vec<_>>().join("; ")))
    };
    said.iter().filter_map(line).collect()
}

/// One view as text.
pub fn table(view: &ClusterStatus) -> String {
    let mut text = format!(
        "{} of {}, start {}: {}",
        view.name, view.cluster, view.start, view.standing
    );
    if let Some(by) = view.fenced_by {
        let _ = write!(text, ", has given way to start {by}");
    }
    let steward = if view.steward.is_empty() {
        "nobody known"
    } else {
        &view.steward
    };
    let _ = writeln!(
        text,
        "\n  spends {:.3} of what all share, lent by {steward}",
        view.part
    );
    let _ = writeln!(
        text,
        "  {:<20} {:<21} {:<8} {:>10}  evidence",
        "member", "address", "state", "for s"
    );
    for m in &view.members {
        let for_s = view.at_ms.saturating_sub(m.since_ms) as f64 / 1000.0;
        let _ = writeln!(
            text,
            "  {:<20} {:<21} {:<8} {for_s:>10.1}  {}",
            m.name, m.address, m.state, m.evidence
        );
    }
    if !view.dropped.is_empty() {
        let parts = view.dropped.iter().map(|(why, n)| format!("{why} {n}"));
        let _ = writeln!(text, "  dropped: {}", parts.collect::<Vec<_>>().join(", "));
    }
    text
}

#[cfg(test)]
mod tests {
    use bitternlatch_cluster_net::MemberStatus;

    use super::*;

    fn view(name: &str, others: &[(&str, &str)]) -> Told {
        let line = |(name, state): &(&str, &str)| MemberStatus {
            name: name.to_string(),
            address: "127.0.0.1:1".into(),
            start: Some(1),
            state: state.to_string(),
            since_ms: 1_000,
            evidence: "probe".into(),
        };
        let shown = ClusterStatus {
            cluster: "hall".into(),
            name: name.into(),
            address: "127.0.0.1:2".into(),
            start: 7,
            comebacks: 0,
            standing: "whole".into(),
            fenced_by: None,
            at_ms: 3_500,
            steward: "b".into(),
            part: 0.5,
            members: others.iter().map(line).collect(),
            dropped: BTreeMap::from([("proof".to_string(), 2)]),
        };
        (name.to_string(), Ok(shown))
    }

    #[test]
    fn views_that_differ_are_told_by_member() {
        let alike = [view("a", &[("b", "alive")]), view("b", &[("a", "alive")])];
        assert!(differences(&alike).is_empty());
        let differ = [
            view("a", &[("b", "down")]),
            view("b", &[("a", "alive")]),
            ("c".into(), Err("away".into())),
        ];
        assert_eq!(differences(&differ), ["b is alive to b; down to a"]);
    }

    #[test]
    fn a_table_shows_state_time_and_what_was_dropped() {
        let (_, shown) = view("a", &[("b", "suspect")]);
        let text = table(&shown.expect("a view"));
        assert!(text.starts_with("a of hall, start 7: whole\n"), "{text}");
        assert!(
            text.contains("spends 0.500 of what all share, lent by b\n"),
            "{text}"
        );
        assert!(
            text.contains("suspect") && text.contains("2.5") && text.contains("dropped: proof 2"),
            "{text}"
        );
    }
}
