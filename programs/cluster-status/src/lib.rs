//! Fetches the cluster status of several members and compares them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use bitternlatch_cluster_net::{fetch_status, ClusterStatus};

/// The name of a member and its cluster status, or the error of fetching it.
pub type FetchedStatus = (String, Result<ClusterStatus, String>);

/// Fetches the cluster status of all members that the first status names, and returns it with the first one in front.
pub fn fetch_all(first: ClusterStatus, timeout: Duration) -> Vec<FetchedStatus> {
    let others = first
        .members
        .iter()
        .map(|m| (m.name.clone(), m.address.clone()))
        .collect::<Vec<_>>();
    let requests = others.into_iter().map(|(name, address)| {
        let fetch = move || match address.parse() {
            Ok(address) => fetch_status(address, timeout).map_err(|e| e.to_string()),
            Err(_) => Err(format!("'{address}' is not an address")),
        };
        (name, std::thread::spawn(fetch))
    });
    // All members are queried in parallel, so that the timeouts of unreachable members do not add up.
    let requests: Vec<_> = requests.collect();
    let thread_error = |_| Err("the request thread ended".to_string());
    let mut statuses = vec![(first.name.clone(), Ok(first))];
    statuses.extend(
        requests
            .into_iter()
            .map(|(name, request)| (name, request.join().unwrap_or_else(thread_error))),
    );
    statuses
}

/// One line of text for each member whose state differs between the statuses.
pub fn differences(statuses: &[FetchedStatus]) -> Vec<String> {
    let mut states_by_member: BTreeMap<&str, BTreeMap<&str, Vec<&str>>> = BTreeMap::new();
    for (by, status) in statuses
        .iter()
        .filter_map(|(by, v)| v.as_ref().ok().map(|v| (by, v)))
    {
        for member in &status.members {
            states_by_member
                .entry(&member.name)
                .or_default()
                .entry(&member.state)
                .or_default()
                .push(by);
        }
        // A member counts as alive in its own status, which does not list the member itself.
        states_by_member
            .entry(by)
            .or_default()
            .entry("alive")
            .or_default()
            .push(by);
    }
    let describe = |(name, states): (&&str, &BTreeMap<&str, Vec<&str>>)| {
        let parts = states
            .iter()
            .map(|(state, by)| format!("{state} to {}", by.join(", ")));
        (states.len() > 1).then(|| format!("{name} is {}", parts.collect::<Vec<_>>().join("; ")))
    };
    states_by_member.iter().filter_map(describe).collect()
}

/// Formats a status as a text table.
pub fn table(status: &ClusterStatus) -> String {
    let mut text = format!(
        "{} of {}, start {}: {}",
        status.name, status.cluster, status.start, status.standing
    );
    if let Some(by) = status.fenced_by {
        let _ = write!(text, ", has given way to start {by}");
    }
    let leader = if status.steward.is_empty() {
        "nobody known"
    } else {
        &status.steward
    };
    let _ = writeln!(
        text,
        "\n  spends {:.3} of what all share, lent by {leader}",
        status.part
    );
    let _ = writeln!(
        text,
        "  {:<20} {:<21} {:<8} {:>10}  evidence",
        "member", "address", "state", "for s"
    );
    for member in &status.members {
        let for_s = status.at_ms.saturating_sub(member.since_ms) as f64 / 1000.0;
        let _ = writeln!(
            text,
            "  {:<20} {:<21} {:<8} {for_s:>10.1}  {}",
            member.name, member.address, member.state, member.evidence
        );
    }
    if !status.dropped.is_empty() {
        let parts = status
            .dropped
            .iter()
            .map(|(cause, count)| format!("{cause} {count}"));
        let _ = writeln!(text, "  dropped: {}", parts.collect::<Vec<_>>().join(", "));
    }
    text
}

#[cfg(test)]
mod tests {
    use bitternlatch_cluster_net::MemberStatus;

    use super::*;

    fn fetched(name: &str, others: &[(&str, &str)]) -> FetchedStatus {
        let member = |(name, state): &(&str, &str)| MemberStatus {
            name: name.to_string(),
            address: "127.0.0.1:1".into(),
            start: Some(1),
            state: state.to_string(),
            since_ms: 1_000,
            evidence: "probe".into(),
        };
        let status = ClusterStatus {
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
            members: others.iter().map(member).collect(),
            dropped: BTreeMap::from([("proof".to_string(), 2)]),
        };
        (name.to_string(), Ok(status))
    }

    #[test]
    fn differing_states_are_reported_by_member() {
        let alike = [
            fetched("a", &[("b", "alive")]),
            fetched("b", &[("a", "alive")]),
        ];
        assert!(differences(&alike).is_empty());
        let differ = [
            fetched("a", &[("b", "down")]),
            fetched("b", &[("a", "alive")]),
            ("c".into(), Err("away".into())),
        ];
        assert_eq!(differences(&differ), ["b is alive to b; down to a"]);
    }

    #[test]
    fn a_table_shows_states_times_and_rejected_datagrams() {
        let (_, status) = fetched("a", &[("b", "suspect")]);
        let text = table(&status.expect("a status"));
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
