//! What is seen of servers and told to peers, and what peers tell: in the machine.
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
    stand(&mut bench, QuorumState::Whole);
    bench
}

fn stand(bench: &mut Harness, standing: QuorumState) {
    let until = Micros(bench.now.0 + 3_600_000_000);
    bench.step(Input::QuorumState {
        state: standing,
        present: vec!["d2".into()],
        until,
    });
}

/// What was told to peers last, without the times.
fn told(bench: &Harness) -> Option<Vec<(u32, ServerCondition)>> {
    let last = |o: &Output| match o {
        Output::Observations(seen) => {
            Some(seen.iter().map(|o| (o.server.0, o.condition)).collect())
        }
        _ => None,
    };
    bench.outputs.iter().rev().find_map(last)
}

fn hear(bench: &mut Harness, host: &str, what: ServerCondition, voices: u8, at: Micros) {
    let heard = vec![PeerReport {
        server: ServerNumber(server_id(host)),
        condition: what,
        reporters: voices,
        age: Duration::from_millis(500),
    }];
    bench.step(Input::PeerReports {
        sent_at: at,
        reporters: 2,
        reports: heard,
    });
}

/// The end of an ask of this class that is refused: code, and where else to try.
fn refused(bench: &mut Harness, class: &str, key: &str) -> Option<(String, Vec<String>)> {
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
fn server_observations_are_reported_and_withdrawn() {
    let mut bench = cluster();
    bench.advance(1.0);
    assert_eq!(told(&bench), None, "nothing to tell");
    let list = "r1,127.0.0.1,1,reader,\nr2,127.0.0.1,2,reader,draining\nw1,127.0.0.1,3,writer,\nw2,127.0.0.1,4,writer,\n";
    bench.step(Input::ServerList(server_list(list)));
    bench.advance(0.3);
    assert_eq!(
        told(&bench),
        Some(vec![(server_id("r2"), ServerCondition::Draining)])
    );
    bench.step(Input::ServerList(four_servers()));
    bench.advance(0.3);
    assert_eq!(told(&bench), Some(vec![]));
    let session = bench.open_session(1);
    let write = bench.start_decode(session, "booking", "k", "q");
    bench.step(Input::LinkClosed {
        link: write.link,
        reason: "reset".into(),
    });
    bench.advance(0.3);
    assert_eq!(told(&bench), Some(vec![]), "a short break");
    bench.advance(0.7);
    assert_eq!(
        told(&bench),
        Some(vec![(write.link.server, ServerCondition::Failing)])
    );
    // It comes up anew, started a moment ago.
    bench.advance(3.0);
    bench.connect_all(1.0);
    bench.advance(0.3);
    assert_eq!(
        told(&bench),
        Some(vec![(write.link.server, ServerCondition::WarmingUp)])
    );
    bench.advance(20.0);
    assert_eq!(told(&bench), Some(vec![]));
}

#[test]
fn failure_streak_is_reported_until_success() {
    let mut bench = cluster();
    let session = bench.open_session(1);
    for n in 0..6 {
        bench.send_request(session, "query", &format!("k{n}"), "words");
        while let Some(read) = bench.completions.pop() {
            bench.send_error(&read, 500, None);
        }
        bench.take_events(session);
    }
    bench.advance(0.3);
    let failing = told(&bench).expect("something seen");
    assert!(
        !failing.is_empty()
            && failing
                .iter()
                .all(|(_, what)| *what == ServerCondition::Failing),
        "{failing:?}"
    );
    bench.advance(4.0);
    assert_eq!(told(&bench), Some(vec![]), "it is not seen for ever");
}

#[test]
fn fresh_peer_reports_reach_decision_module() {
    let mut bench = cluster();
    bench.machine.enable_trace();
    let sent = bench.now;
    bench.now = Micros(sent.0 + 1_000_000);
    hear(&mut bench, "r1", ServerCondition::Failing, 2, sent);
    hear(&mut bench, "nobody", ServerCondition::Failing, 2, sent);
    // This process stood still for a minute with the message in its queue.
    bench.now = Micros(sent.0 + 60_000_000);
    hear(&mut bench, "r1", ServerCondition::Failing, 2, sent);
    let trace = bench.machine.take_trace();
    let heard: Vec<_> = trace
        .iter()
        .filter(|t| matches!(t.event, Event::PeerReport { .. }))
        .collect();
    assert_eq!(heard.len(), 1, "{heard:?}");
    let Event::PeerReport {
        server,
        observation: sight,
        reporters: voices,
        peers: of,
        age_s,
    } = heard[0].event
    else {
        panic!("{heard:?}")
    };
    assert_eq!(
        (server, sight, voices, of),
        (server_id("r1"), Observation::Failing, 2, 2)
    );
    assert!((age_s - 1.5).abs() < 1e-9, "{age_s}");
}

#[test]
fn unreachable_servers_redirect_callers_to_peers() {
    let mut bench = cluster();
    let links: Vec<_> = ["r1", "r2", "w1", "w2"].map(server_id).to_vec();
    for host in &links {
        let link = bitternlatch_core::LinkId {
            server: *host,
            epoch: 1,
        };
        bench.step(Input::LinkClosed {
            link,
            reason: "no route".into(),
        });
    }
    bench.advance(0.5);
    assert_ne!(
        refused(&mut bench, "query", "a").map(|r| r.0),
        Some("cut_off".into()),
        "a short break"
    );
    bench.advance(1.5);
    let expected = Some(("cut_off".to_string(), vec!["c2".to_string()]));
    assert_eq!(refused(&mut bench, "query", "b"), expected);
    assert!(!bench.machine.is_ready(bench.now));
    // Peers say that all of them fail there too: there is nowhere to go.
    for host in ["r1", "r2", "w1", "w2"] {
        let now = bench.now;
        hear(&mut bench, host, ServerCondition::Failing, 1, now);
    }
    assert_eq!(
        refused(&mut bench, "query", "c"),
        Some(("cut_off".to_string(), vec![]))
    );
    // Alone it cannot tell whose fault it is.
    stand(&mut bench, QuorumState::Alone);
    assert_ne!(
        refused(&mut bench, "query", "d").map(|r| r.0),
        Some("cut_off".into())
    );
    stand(&mut bench, QuorumState::Whole);
    bench.advance(3.0);
    bench.connect_all(1000.0);
    bench.advance(0.3);
    assert_eq!(refused(&mut bench, "query", "e"), None);
    assert!(bench.machine.is_ready(bench.now));
}

#[test]
fn unreadable_list_drains_by_peer_reports() {
    let mut bench = cluster();
    let now = bench.now;
    let goes_to_r1 = |bench: &mut Harness, from: u32| {
        let session = bench.open_session(u64::from(from));
        let mut first = 0;
        for n in 0..20 {
            bench.send_request(session, "query", &format!("{from}/{n}"), "words");
            let read = bench.next_completion();
            first += usize::from(read.link.server == server_id("r1"));
            bench.finish_prefill(&read);
            let write = bench.next_completion();
            bench.finish_decode(&write, 10, 1);
            bench.take_events(session);
        }
        first
    };
    hear(&mut bench, "r1", ServerCondition::Draining, 1, now);
    assert!(
        goes_to_r1(&mut bench, 1) > 0,
        "one voice against the own list"
    );
    bench.step(Input::ServerListUnreadable(true));
    hear(&mut bench, "r1", ServerCondition::Draining, 1, now);
    assert_eq!(goes_to_r1(&mut bench, 2), 0);
    bench.step(Input::ServerListUnreadable(false));
    assert!(goes_to_r1(&mut bench, 3) > 0);
}
