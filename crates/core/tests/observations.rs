//! Tests of server observations: those sent to peers, and the effect of those that peers report.
mod common;

use bitternlatch_core::{Input, Micros, Output, Settings};
use bitternlatch_inventory::server_id;
use bitternlatch_membership::QuorumState;
use bitternlatch_policy::interface::{Event, Observation};
use bitternlatch_quota_lease::{PeerReport, ServerCondition, ServerNumber};
use common::{four_servers, server_list, Harness, SETTINGS};
use std::time::Duration;

fn cluster() -> Harness {
    let mut text = format!("{SETTINGS}[cluster]\nname = \"hall\"\nsecret = \"secret\"\n");
    for i in 1..=3 {
        let (name, port) = (format!("d{i}"), 7000 + i);
        text += &format!(
            "[[cluster.roster]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\nclients = \"c{i}\"\n"
        );
    }
    let mut bench = Harness::with(Settings::parse("test", &text).expect("settings"), 5);
    bench.step(Input::ServerList(four_servers()));
    bench.connect_all(1000.0);
    set_quorum_state(&mut bench, QuorumState::Whole);
    bench
}

fn set_quorum_state(bench: &mut Harness, state: QuorumState) {
    let until = Micros(bench.now.0 + 3_600_000_000);
    bench.step(Input::QuorumState {
        state,
        present: vec!["d2".into()],
        until,
    });
}

/// The observations last sent to peers, without their times.
fn last_sent(bench: &Harness) -> Option<Vec<(u32, ServerCondition)>> {
    let conditions = |output: &Output| match output {
        Output::Observations(observations) => Some(
            observations
                .iter()
                .map(|o| (o.server.0, o.condition))
                .collect(),
        ),
        _ => None,
    };
    bench.outputs.iter().rev().find_map(conditions)
}

fn receive_report(
    bench: &mut Harness,
    server: &str,
    condition: ServerCondition,
    reporters: u8,
    sent_at: Micros,
) {
    let reports = vec![PeerReport {
        server: ServerNumber(server_id(server)),
        condition,
        reporters,
        age: Duration::from_millis(500),
    }];
    bench.step(Input::PeerReports {
        sent_at,
        reporters: 2,
        reports,
    });
}

/// Sends a request of this class. If it ends with an error, returns the code and the addresses to try instead.
fn rejection(bench: &mut Harness, class: &str, key: &str) -> Option<(String, Vec<String>)> {
    let session = bench.open_session(key.bytes().fold(7, |n, b| n * 31 + u64::from(b)));
    bench.send_request(session, class, key, "words");
    let error = bench.take_events(session).pop()?.error?;
    let elsewhere = error["elsewhere"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|v| v.as_str());
    Some((
        error["code"].as_str()?.to_string(),
        elsewhere.map(str::to_string).collect(),
    ))
}

#[test]
fn server_observations_are_sent_and_withdrawn() {
    let mut bench = cluster();
    bench.advance(1.0);
    assert_eq!(last_sent(&bench), None, "nothing to report");
    let list = "r1,127.0.0.1,1,reader,\nr2,127.0.0.1,2,reader,draining\nw1,127.0.0.1,3,writer,\nw2,127.0.0.1,4,writer,\n";
    bench.step(Input::ServerList(server_list(list)));
    bench.advance(0.3);
    assert_eq!(
        last_sent(&bench),
        Some(vec![(server_id("r2"), ServerCondition::Draining)])
    );
    bench.step(Input::ServerList(four_servers()));
    bench.advance(0.3);
    assert_eq!(last_sent(&bench), Some(vec![]));
    let session = bench.open_session(1);
    let decode = bench.start_decode(session, "booking", "k", "q");
    bench.step(Input::LinkClosed {
        link: decode.link,
        reason: "reset".into(),
    });
    bench.advance(0.3);
    assert_eq!(last_sent(&bench), Some(vec![]), "a brief interruption");
    bench.advance(0.7);
    assert_eq!(
        last_sent(&bench),
        Some(vec![(decode.link.server, ServerCondition::Failing)])
    );
    // The server is reconnected and reports that it started 1 s ago.
    bench.advance(3.0);
    bench.connect_all(1.0);
    bench.advance(0.3);
    assert_eq!(
        last_sent(&bench),
        Some(vec![(decode.link.server, ServerCondition::WarmingUp)])
    );
    bench.advance(20.0);
    assert_eq!(last_sent(&bench), Some(vec![]));
}

#[test]
fn failure_streak_is_reported_until_expiry() {
    let mut bench = cluster();
    let session = bench.open_session(1);
    for n in 0..6 {
        bench.send_request(session, "query", &format!("k{n}"), "words");
        while let Some(prefill) = bench.completions.pop() {
            bench.send_error(&prefill, 500, None);
        }
        bench.take_events(session);
    }
    bench.advance(0.3);
    let failing = last_sent(&bench).expect("observations");
    assert!(
        !failing.is_empty()
            && failing
                .iter()
                .all(|(_, condition)| *condition == ServerCondition::Failing),
        "{failing:?}"
    );
    bench.advance(4.0);
    assert_eq!(last_sent(&bench), Some(vec![]), "the observation expires");
}

#[test]
fn fresh_peer_reports_reach_decision_module() {
    let mut bench = cluster();
    bench.machine.enable_trace();
    let sent = bench.now;
    bench.now = Micros(sent.0 + 1_000_000);
    receive_report(&mut bench, "r1", ServerCondition::Failing, 2, sent);
    receive_report(&mut bench, "nobody", ServerCondition::Failing, 2, sent);
    // The process was paused for a minute with the message in its queue.
    bench.now = Micros(sent.0 + 60_000_000);
    receive_report(&mut bench, "r1", ServerCondition::Failing, 2, sent);
    let trace = bench.machine.take_trace();
    let passed: Vec<_> = trace
        .iter()
        .filter(|t| matches!(t.event, Event::PeerReport { .. }))
        .collect();
    assert_eq!(passed.len(), 1, "{passed:?}");
    let Event::PeerReport {
        server,
        observation,
        reporters,
        peers,
        age_s,
    } = passed[0].event
    else {
        panic!("{passed:?}")
    };
    assert_eq!(
        (server, observation, reporters, peers),
        (server_id("r1"), Observation::Failing, 2, 2)
    );
    assert!((age_s - 1.5).abs() < 1e-9, "{age_s}");
}

#[test]
fn unreachable_servers_redirect_callers_to_peers() {
    let mut bench = cluster();
    let servers: Vec<_> = ["r1", "r2", "w1", "w2"].map(server_id).to_vec();
    for server in &servers {
        let link = bitternlatch_core::LinkId {
            server: *server,
            epoch: 1,
        };
        bench.step(Input::LinkClosed {
            link,
            reason: "no route".into(),
        });
    }
    bench.advance(0.5);
    assert_ne!(
        rejection(&mut bench, "query", "a").map(|r| r.0),
        Some("cut_off".into()),
        "a brief interruption"
    );
    bench.advance(1.5);
    let expected = Some(("cut_off".to_string(), vec!["c2".to_string()]));
    assert_eq!(rejection(&mut bench, "query", "b"), expected);
    assert!(!bench.machine.is_ready(bench.now));
    // Peers report that all servers fail for them too, so no other address is offered.
    for server in ["r1", "r2", "w1", "w2"] {
        let now = bench.now;
        receive_report(&mut bench, server, ServerCondition::Failing, 1, now);
    }
    assert_eq!(
        rejection(&mut bench, "query", "c"),
        Some(("cut_off".to_string(), vec![]))
    );
    // Without any peer the dispatcher cannot tell whether it or the servers are at fault.
    set_quorum_state(&mut bench, QuorumState::Alone);
    assert_ne!(
        rejection(&mut bench, "query", "d").map(|r| r.0),
        Some("cut_off".into())
    );
    set_quorum_state(&mut bench, QuorumState::Whole);
    bench.advance(3.0);
    bench.connect_all(1000.0);
    bench.advance(0.3);
    assert_eq!(rejection(&mut bench, "query", "e"), None);
    assert!(bench.machine.is_ready(bench.now));
}

#[test]
fn unreadable_list_drains_by_peer_reports() {
    let mut bench = cluster();
    let now = bench.now;
    let count_prefills_at_r1 = |bench: &mut Harness, from: u32| {
        let session = bench.open_session(u64::from(from));
        let mut at_r1 = 0;
        for n in 0..20 {
            bench.send_request(session, "query", &format!("{from}/{n}"), "words");
            let prefill = bench.next_completion();
            at_r1 += usize::from(prefill.link.server == server_id("r1"));
            bench.finish_prefill(&prefill);
            let decode = bench.next_completion();
            bench.finish_decode(&decode, 10, 1);
            bench.take_events(session);
        }
        at_r1
    };
    receive_report(&mut bench, "r1", ServerCondition::Draining, 1, now);
    assert!(
        count_prefills_at_r1(&mut bench, 1) > 0,
        "a readable server list overrides a single peer"
    );
    bench.step(Input::ServerListUnreadable(true));
    receive_report(&mut bench, "r1", ServerCondition::Draining, 1, now);
    assert_eq!(count_prefills_at_r1(&mut bench, 2), 0);
    bench.step(Input::ServerListUnreadable(false));
    assert!(count_prefills_at_r1(&mut bench, 3) > 0);
}
