//! Servers and links in trouble: what may have run is never told as not run, and each request ends once.
mod common;

use bitternlatch_core::Input;
use bitternlatch_policy::interface::{Event, Outcome};
use bitternlatch_protocol::client::Status;
use bitternlatch_protocol::engine::{Chunk, FromEngine, CODE_FULL, CODE_STATE_GONE};
use common::{four, hosts, Bench};

/// Outcomes that the decision module was told since the trace began.
fn outcomes(b: &mut Bench) -> Vec<Outcome> {
    let ended = |e: Event| match e {
        Event::AttemptEnded(end) => Some(end.outcome),
        _ => None,
    };
    b.machine
        .take_trace()
        .into_iter()
        .filter_map(|t| ended(t.event))
        .collect()
}

fn final_status(b: &mut Bench, s: bitternlatch_core::SessionId) -> (Status, Option<bool>) {
    let heard = b.heard(s);
    let finals: Vec<_> = heard.iter().filter(|e| e.is_final()).collect();
    assert_eq!(finals.len(), 1, "one final answer");
    let response = finals[0].response.clone().expect("a response");
    (response.status, response.error.map(|e| e.safe_to_repeat))
}

#[test]
fn reset_after_finish_reason_completes_request() {
    for (finish, status) in [(Some("stop"), Status::Completed), (None, Status::Failed)] {
        let mut b = Bench::ready(1);
        let s = b.open(1);
        let write = b.begin_write(s, "booking", "k", "q");
        b.piece(&write, "last token", finish);
        b.step(Input::LinkClosed {
            link: write.link,
            reason: "reset".into(),
        });
        assert_eq!(final_status(&mut b, s).0, status);
    }
}

#[test]
fn safe_request_is_retried_after_failures() {
    let mut b = Bench::ready(1);
    b.machine.enable_trace();
    let s = b.open(1);
    let write = b.begin_write(s, "query", "", "q");
    b.step(Input::LinkClosed {
        link: write.link,
        reason: "reset".into(),
    });
    let second = b.take();
    assert!(
        second.link.server != write.link.server,
        "not to the host whose link is down"
    );
    b.error(&second, 503, Some(CODE_FULL));
    b.pass(0.5);
    let told = outcomes(&mut b);
    assert_eq!(
        told[..3],
        [
            Outcome::PrefillDone,
            Outcome::Reset,
            Outcome::Rejected {
                state_missing: false
            }
        ]
    );
}

#[test]
fn lost_kv_cache_is_prefilled_again() {
    let mut b = Bench::ready(1);
    let s = b.open(1);
    let write = b.begin_write(s, "booking", "k", "q");
    b.error(&write, 409, Some(CODE_STATE_GONE));
    let again = b.take();
    assert!(
        again.is_read(),
        "it never ran, so that it may be read again"
    );
    b.read_done(&again);
    let write = b.take();
    b.piece(&write, "ok", Some("stop"));
    b.done(&write);
    assert_eq!(final_status(&mut b, s).0, Status::Completed);
}

#[test]
fn unsent_message_counts_as_not_run() {
    let mut b = Bench::ready(1);
    b.machine.enable_trace();
    let s = b.open(1);
    let write = b.begin_write(s, "booking", "k", "q");
    b.step(Input::LinkUnsent {
        link: write.link,
        attempt: write.id.clone(),
    });
    assert_eq!(
        outcomes(&mut b),
        [Outcome::PrefillDone, Outcome::ConnectFailed]
    );
    let second = b.take();
    assert!(
        !second.is_read(),
        "a booking that never left is sent again with the same state"
    );
}

#[test]
fn queued_send_returns_when_server_drains() {
    let mut b = Bench::new(1);
    b.step(Input::ServerList(four()));
    let (reader, rest): (Vec<_>, Vec<_>) = b
        .dials
        .drain(..)
        .partition(|l| Bench::name_of(*l).starts_with('r'));
    b.dials = rest;
    b.open_all(1000.0);
    for link in &reader {
        b.step(Input::LinkUp { link: *link });
    }
    let s = b.open(1);
    b.ask(s, "query", "", "q");
    assert!(b.told.is_empty(), "both readers have not greeted yet");
    let rows = "r1,127.0.0.1,1,reader,draining\nr2,127.0.0.1,2,reader,draining\nw1,127.0.0.1,3,writer,\nw2,127.0.0.1,4,writer,\n";
    b.step(Input::ServerList(hosts(rows)));
    let readers_greet = |b: &mut Bench| reader.iter().for_each(|l| b.greet(*l, 1000.0));
    readers_greet(&mut b);
    b.pass(1.0);
    assert!(b.told.is_empty(), "nothing reaches a host that drains");
    assert_eq!(
        final_status(&mut b, s),
        (Status::Failed, Some(true)),
        "refused: asking again is harmless"
    );
}

#[test]
fn draining_server_gets_no_new_requests() {
    let mut b = Bench::ready(1);
    let s = b.open(1);
    let first = b.begin_write(s, "query", "", "q0");
    let state = bitternlatch_protocol::engine::EngineState::Draining;
    b.says(first.link, &FromEngine::State { state });
    for i in 1..4 {
        let write = b.begin_write(s, "query", "", &format!("q{i}"));
        assert_ne!(write.link.server, first.link.server);
        b.piece(&write, "x", Some("stop"));
        b.done(&write);
    }
    b.piece(&first, "running work goes on", Some("stop"));
    b.done(&first);
    assert!(b.heard(s).iter().filter(|e| e.is_final()).count() == 4);
}

#[test]
fn queued_send_returns_when_server_restarted() {
    let mut b = Bench::new(1);
    b.machine.enable_trace();
    b.step(Input::ServerList(hosts(
        "r1,127.0.0.1,1,reader,\nw1,127.0.0.1,3,writer,\n",
    )));
    let s = b.open(1);
    b.ask(s, "query", "", "q");
    let links = std::mem::take(&mut b.dials);
    let reader = links
        .iter()
        .find(|l| Bench::name_of(**l) == "r1")
        .copied()
        .expect("dialled");
    b.step(Input::LinkUp { link: reader });
    b.greet(reader, 0.5);
    assert!(outcomes(&mut b).contains(&Outcome::ConnectFailed));
}

#[test]
fn silent_server_is_reconnected() {
    let mut b = Bench::new(1);
    b.step(Input::ServerList(four()));
    let links = std::mem::take(&mut b.dials);
    links
        .iter()
        .for_each(|link| b.step(Input::LinkUp { link: *link }));
    let s = b.open(1);
    b.ask(s, "query", "", "q");
    b.pass(2.5);
    assert!(b.told.is_empty());
    assert!(b.dials.len() >= 4, "all four are dialled again");
    assert!(b.logs.iter().any(|l| l.contains("did not greet in time")));
    b.pass(6.0);
    assert!(matches!(
        final_status(&mut b, s),
        (Status::Failed, Some(true))
    ));
}

#[test]
fn silent_attempt_ends_before_client_deadline() {
    for class in ["query", "booking"] {
        let mut b = Bench::ready(1);
        let s = b.open(1);
        let start = b.now;
        b.ask(s, class, "k", "q");
        let deadline_s = if class == "query" { 6.0 } else { 12.0 };
        let mut answered = None;
        while b.now.since(start) < deadline_s + 1.0 {
            b.pass(0.01);
            if answered.is_none() && b.heard(s).iter().any(|e| e.is_final()) {
                answered = Some(b.now.since(start));
            }
        }
        let after = answered.expect("an answer");
        assert!(after < deadline_s, "{class}: after {after} s");
        assert_eq!(b.machine.counts().requests, 0, "{class}");
        assert!(!b.cancels.is_empty(), "the hosts are told to stop");
    }
}

#[test]
fn stalled_stream_fails_request() {
    let mut b = Bench::ready(1);
    let s = b.open(1);
    let write = b.begin_write(s, "query", "", "q");
    b.piece(&write, "one", None);
    b.pass(5.0);
    b.piece(&write, "two", None);
    b.pass(5.0);
    assert!(
        b.heard(s).iter().all(|e| !e.is_final()),
        "it has not been silent for its deadline"
    );
    b.pass(1.5);
    assert_eq!(final_status(&mut b, s), (Status::Failed, Some(false)));
    assert_eq!(b.cancels, [(write.link, write.id)]);
}

#[test]
fn invalid_engine_message_is_reported_back() {
    let mut b = Bench::ready(1);
    let s = b.open(1);
    let write = b.begin_write(s, "query", "", "q");
    for text in [
        "{\"op\":\"chunk\",",
        "{\"op\":\"sing\"}",
        "",
        "{\"op\":\"done\",\"id\":\"no-such\"}",
    ] {
        b.step(Input::LinkText {
            link: write.link,
            text: text.to_string(),
        });
    }
    assert_eq!(b.faults.len(), 4);
    let other = b.out.iter().find_map(|o| match o {
        bitternlatch_core::Output::Connect { link, .. } if link.server != write.link.server => {
            Some(*link)
        }
        _ => None,
    });
    let foreign = FromEngine::Done {
        id: write.id.clone(),
        load: None,
    };
    b.says(other.expect("another host"), &foreign);
    b.says(
        write.link,
        &FromEngine::Done {
            id: write.id.replace('-', "-9"),
            load: None,
        },
    );
    assert!(
        b.heard(s).iter().all(|e| !e.is_final()),
        "neither word counts"
    );
    b.piece(&write, "fine", Some("stop"));
    b.done(&write);
    assert_eq!(final_status(&mut b, s).0, Status::Completed);
}

#[test]
fn oversized_answer_is_cancelled() {
    let mut b = Bench::ready(1);
    let s = b.open(1);
    let write = b.begin_write(s, "query", "", "q");
    b.piece(&write, "x", None);
    let much = "x".repeat(40_000);
    b.piece(&write, &much, None);
    assert_eq!(final_status(&mut b, s), (Status::Failed, Some(false)));
    assert_eq!(b.cancels, [(write.link, write.id)]);
}

#[test]
fn incomplete_prefill_or_decode_is_error() {
    let mut b = Bench::ready(1);
    b.machine.enable_trace();
    let s = b.open(1);
    b.ask(s, "query", "", "q");
    let read = b.take();
    b.says(
        read.link,
        &FromEngine::Chunk {
            id: read.id.clone(),
            body: Chunk::default(),
        },
    );
    b.done(&read);
    assert_eq!(outcomes(&mut b), [Outcome::Error]);
    let again = b.take();
    b.read_done(&again);
    let write = b.take();
    b.done(&write);
    assert_eq!(outcomes(&mut b), [Outcome::PrefillDone, Outcome::Error]);
}

#[test]
fn invalid_load_is_no_report() {
    let mut b = Bench::ready(1);
    b.machine.enable_trace();
    let s = b.open(1);
    let loads = [
        r#"{}"#,
        r#"{"kv_cache_usage_perc":-0.5}"#,
        r#"{"other":1}"#,
        r#"{"kv_cache_usage_perc":0.5}"#,
    ];
    let mut reports = Vec::new();
    for (i, load) in loads.iter().enumerate() {
        let write = b.begin_write(s, "query", "", &format!("q{i}"));
        b.piece(&write, "x", Some("stop"));
        let text = format!(r#"{{"op":"done","id":"{}","load":{load}}}"#, write.id);
        b.step(Input::LinkText {
            link: write.link,
            text,
        });
        for t in b.machine.take_trace() {
            if let Event::AttemptEnded(end) = t.event {
                if end.outcome == Outcome::Served {
                    reports.push(end.report);
                }
            }
        }
    }
    assert_eq!(reports, [vec![], vec![], vec![], vec![0.5]]);
}

#[test]
fn moved_server_is_reconnected_at_new_address() {
    let mut b = Bench::ready(1);
    let s = b.open(1);
    let write = b.begin_write(s, "query", "", "q");
    let rows =
        "r1,127.0.0.1,1,reader,\nr2,127.0.0.1,2,reader,\nw1,127.0.0.1,33,writer,\nw2,127.0.0.1,44,writer,\n";
    b.out.clear();
    b.step(Input::ServerList(hosts(rows)));
    let hung = b
        .out
        .contains(&bitternlatch_core::Output::CloseLink { link: write.link });
    assert!(hung && b.dials.len() == 2);
    b.step(Input::LinkClosed {
        link: write.link,
        reason: "hung up".into(),
    });
    b.open_all(1000.0);
    b.pass(8.0);
    final_status(&mut b, s);
}
