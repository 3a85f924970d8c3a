//! Failures of servers and links: an attempt that may have run is never reported as not run, and each request gets one
//! final answer.
mod common;

use bitternlatch_core::Input;
use bitternlatch_policy::interface::{Event, Outcome};
use bitternlatch_protocol::client::Status;
use bitternlatch_protocol::engine::{Chunk, FromEngine, CODE_FULL, CODE_STATE_GONE};
use common::{four_servers, server_list, Harness};

/// Attempt outcomes reported to the decision module since the last call.
fn outcomes(b: &mut Harness) -> Vec<Outcome> {
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

/// Status of a session's only final event, and for a failure whether it is safe to repeat.
fn final_status(b: &mut Harness, s: bitternlatch_core::SessionId) -> (Status, Option<bool>) {
    let events = b.take_events(s);
    let finals: Vec<_> = events.iter().filter(|e| e.is_final()).collect();
    assert_eq!(finals.len(), 1, "one final answer");
    let response = finals[0].response.clone().expect("a response");
    (response.status, response.error.map(|e| e.safe_to_repeat))
}

#[test]
fn reset_after_finish_reason_completes_request() {
    for (finish, status) in [(Some("stop"), Status::Completed), (None, Status::Failed)] {
        let mut b = Harness::ready(1);
        let s = b.open_session(1);
        let decode = b.start_decode(s, "booking", "k", "q");
        b.send_chunk(&decode, "last token", finish);
        b.step(Input::LinkClosed {
            link: decode.link,
            reason: "reset".into(),
        });
        assert_eq!(final_status(&mut b, s).0, status);
    }
}

#[test]
fn safe_request_is_retried_after_failures() {
    let mut b = Harness::ready(1);
    b.machine.enable_trace();
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "q");
    b.step(Input::LinkClosed {
        link: decode.link,
        reason: "reset".into(),
    });
    let second = b.next_completion();
    assert!(
        second.link.server != decode.link.server,
        "not to the server whose link is down"
    );
    b.send_error(&second, 503, Some(CODE_FULL));
    b.advance(0.5);
    let reported = outcomes(&mut b);
    assert_eq!(
        reported[..3],
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
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "booking", "k", "q");
    assert!(b.releases.is_empty());
    b.send_error(&decode, 409, Some(CODE_STATE_GONE));
    // Guards against a KV cache that stays at a prefill server which this decode server does not reach.
    assert_eq!(b.releases.len(), 1);
    let again = b.next_completion();
    assert!(
        again.is_prefill(),
        "the decode never ran, so the prefill may be repeated"
    );
    assert_ne!(b.releases[0].1, again.id);
    b.finish_prefill(&again);
    let decode = b.next_completion();
    b.send_chunk(&decode, "ok", Some("stop"));
    b.send_done(&decode);
    assert_eq!(final_status(&mut b, s).0, Status::Completed);
}

#[test]
fn unsent_message_counts_as_not_run() {
    let mut b = Harness::ready(1);
    b.machine.enable_trace();
    let s = b.open_session(1);
    let decode = b.start_decode(s, "booking", "k", "q");
    b.step(Input::LinkUnsent {
        link: decode.link,
        attempt: decode.id.clone(),
    });
    assert_eq!(
        outcomes(&mut b),
        [Outcome::PrefillDone, Outcome::ConnectFailed]
    );
    let second = b.next_completion();
    assert!(
        !second.is_prefill(),
        "a booking that was not sent is sent again with the same KV cache"
    );
}

#[test]
fn queued_send_returns_when_server_drains() {
    let mut b = Harness::new(1);
    b.step(Input::ServerList(four_servers()));
    let (prefill_links, rest): (Vec<_>, Vec<_>) = b
        .connecting_links
        .drain(..)
        .partition(|l| Harness::server_name(*l).starts_with('r'));
    b.connecting_links = rest;
    b.connect_all(1000.0);
    for link in &prefill_links {
        b.step(Input::LinkUp { link: *link });
    }
    let s = b.open_session(1);
    b.send_request(s, "query", "", "q");
    assert!(
        b.completions.is_empty(),
        "no prefill server has greeted yet"
    );
    let rows = "r1,127.0.0.1,1,reader,draining\nr2,127.0.0.1,2,reader,draining\nw1,127.0.0.1,3,writer,\nw2,127.0.0.1,4,writer,\n";
    b.step(Input::ServerList(server_list(rows)));
    let prefill_servers_greet =
        |b: &mut Harness| prefill_links.iter().for_each(|l| b.send_hello(*l, 1000.0));
    prefill_servers_greet(&mut b);
    b.advance(1.0);
    assert!(
        b.completions.is_empty(),
        "nothing is sent to a draining server"
    );
    assert_eq!(
        final_status(&mut b, s),
        (Status::Failed, Some(true)),
        "rejected as safe to repeat"
    );
}

#[test]
fn draining_server_gets_no_new_requests() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let first = b.start_decode(s, "query", "", "q0");
    let state = bitternlatch_protocol::engine::EngineState::Draining;
    b.server_sends(first.link, &FromEngine::State { state });
    for i in 1..4 {
        let decode = b.start_decode(s, "query", "", &format!("q{i}"));
        assert_ne!(decode.link.server, first.link.server);
        b.send_chunk(&decode, "x", Some("stop"));
        b.send_done(&decode);
    }
    b.send_chunk(&first, "running work goes on", Some("stop"));
    b.send_done(&first);
    assert!(b.take_events(s).iter().filter(|e| e.is_final()).count() == 4);
}

#[test]
fn queued_send_returns_when_server_restarted() {
    let mut b = Harness::new(1);
    b.machine.enable_trace();
    b.step(Input::ServerList(server_list(
        "r1,127.0.0.1,1,reader,\nw1,127.0.0.1,3,writer,\n",
    )));
    let s = b.open_session(1);
    b.send_request(s, "query", "", "q");
    let links = std::mem::take(&mut b.connecting_links);
    let prefill_link = links
        .iter()
        .find(|l| Harness::server_name(**l) == "r1")
        .copied()
        .expect("a connection to r1");
    b.step(Input::LinkUp { link: prefill_link });
    b.send_hello(prefill_link, 0.5);
    assert!(outcomes(&mut b).contains(&Outcome::ConnectFailed));
}

#[test]
fn silent_server_is_reconnected() {
    let mut b = Harness::new(1);
    b.step(Input::ServerList(four_servers()));
    let links = std::mem::take(&mut b.connecting_links);
    links
        .iter()
        .for_each(|link| b.step(Input::LinkUp { link: *link }));
    let s = b.open_session(1);
    b.send_request(s, "query", "", "q");
    b.advance(2.5);
    assert!(b.completions.is_empty());
    assert!(
        b.connecting_links.len() >= 4,
        "all four servers are reconnected"
    );
    assert!(b.logs.iter().any(|l| l.contains("did not greet in time")));
    b.advance(6.0);
    assert!(matches!(
        final_status(&mut b, s),
        (Status::Failed, Some(true))
    ));
}

#[test]
fn silent_attempt_ends_before_client_deadline() {
    for class in ["query", "booking"] {
        let mut b = Harness::ready(1);
        let s = b.open_session(1);
        let start = b.now;
        b.send_request(s, class, "k", "q");
        let deadline_s = if class == "query" { 6.0 } else { 12.0 };
        let mut answered_after = None;
        while b.now.since(start) < deadline_s + 1.0 {
            b.advance(0.01);
            if answered_after.is_none() && b.take_events(s).iter().any(|e| e.is_final()) {
                answered_after = Some(b.now.since(start));
            }
        }
        let after = answered_after.expect("an answer");
        assert!(after < deadline_s, "{class}: after {after} s");
        assert_eq!(b.machine.counts().requests, 0, "{class}");
        assert!(
            !b.cancels.is_empty(),
            "the server receives a cancel message"
        );
    }
}

#[test]
fn stalled_stream_fails_request() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "q");
    b.send_chunk(&decode, "one", None);
    b.advance(5.0);
    b.send_chunk(&decode, "two", None);
    b.advance(5.0);
    assert!(
        b.take_events(s).iter().all(|e| !e.is_final()),
        "the stream has not been silent for as long as the deadline"
    );
    b.advance(1.5);
    assert_eq!(final_status(&mut b, s), (Status::Failed, Some(false)));
    assert_eq!(b.cancels, [(decode.link, decode.id)]);
}

#[test]
fn invalid_engine_message_is_reported_back() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "q");
    for text in [
        "{\"op\":\"chunk\",",
        "{\"op\":\"sing\"}",
        "",
        "{\"op\":\"done\",\"id\":\"no-such\"}",
    ] {
        b.step(Input::LinkText {
            link: decode.link,
            text: text.to_string(),
        });
    }
    assert_eq!(b.fault_messages.len(), 4);
    let other = b.outputs.iter().find_map(|o| match o {
        bitternlatch_core::Output::Connect { link, .. } if link.server != decode.link.server => {
            Some(*link)
        }
        _ => None,
    });
    let from_other_server = FromEngine::Done {
        id: decode.id.clone(),
        load: None,
    };
    b.server_sends(other.expect("a link to another server"), &from_other_server);
    b.server_sends(
        decode.link,
        &FromEngine::Done {
            id: decode.id.replace('-', "-9"),
            load: None,
        },
    );
    assert!(
        b.take_events(s).iter().all(|e| !e.is_final()),
        "neither message has an effect"
    );
    b.send_chunk(&decode, "fine", Some("stop"));
    b.send_done(&decode);
    assert_eq!(final_status(&mut b, s).0, Status::Completed);
}

#[test]
fn oversized_answer_is_cancelled() {
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "q");
    b.send_chunk(&decode, "x", None);
    let oversized = "x".repeat(40_000);
    b.send_chunk(&decode, &oversized, None);
    assert_eq!(final_status(&mut b, s), (Status::Failed, Some(false)));
    assert_eq!(b.cancels, [(decode.link, decode.id)]);
}

#[test]
fn incomplete_prefill_or_decode_is_error() {
    let mut b = Harness::ready(1);
    b.machine.enable_trace();
    let s = b.open_session(1);
    b.send_request(s, "query", "", "q");
    let prefill = b.next_completion();
    b.server_sends(
        prefill.link,
        &FromEngine::Chunk {
            id: prefill.id.clone(),
            body: Chunk::default(),
        },
    );
    b.send_done(&prefill);
    assert_eq!(outcomes(&mut b), [Outcome::Error]);
    let again = b.next_completion();
    b.finish_prefill(&again);
    let decode = b.next_completion();
    b.send_done(&decode);
    assert_eq!(outcomes(&mut b), [Outcome::PrefillDone, Outcome::Error]);
}

#[test]
fn invalid_load_is_no_report() {
    let mut b = Harness::ready(1);
    b.machine.enable_trace();
    let s = b.open_session(1);
    let loads = [
        r#"{}"#,
        r#"{"kv_cache_usage_perc":-0.5}"#,
        r#"{"other":1}"#,
        r#"{"kv_cache_usage_perc":0.5}"#,
    ];
    let mut reports = Vec::new();
    for (i, load) in loads.iter().enumerate() {
        let decode = b.start_decode(s, "query", "", &format!("q{i}"));
        b.send_chunk(&decode, "x", Some("stop"));
        let text = format!(r#"{{"op":"done","id":"{}","load":{load}}}"#, decode.id);
        b.step(Input::LinkText {
            link: decode.link,
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
    let mut b = Harness::ready(1);
    let s = b.open_session(1);
    let decode = b.start_decode(s, "query", "", "q");
    let rows =
        "r1,127.0.0.1,1,reader,\nr2,127.0.0.1,2,reader,\nw1,127.0.0.1,33,writer,\nw2,127.0.0.1,44,writer,\n";
    b.outputs.clear();
    b.step(Input::ServerList(server_list(rows)));
    let closed = b
        .outputs
        .contains(&bitternlatch_core::Output::CloseLink { link: decode.link });
    assert!(closed && b.connecting_links.len() == 2);
    b.step(Input::LinkClosed {
        link: decode.link,
        reason: "hung up".into(),
    });
    b.connect_all(1000.0);
    b.advance(8.0);
    final_status(&mut b, s);
}
