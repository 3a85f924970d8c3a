//! Planned stop: every request that was read is answered, in whichever order its last bytes, responses and timers
//! arrive.
mod common;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::shutdown::ShutdownSchedule;
use bitternlatch_platform::types::{ConnId, Input};
use common::*;

const REJECTION: &str = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

fn stream(content: &str) -> String {
    format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event(content)))
}

/// Serves the request `id`: completes its prefill and streams `content` as its decode response.
fn serve(harness: &mut Harness, id: &str, content: &str) {
    let sent = format!("Req-Id: {id}\r\n");
    let prefill_conn = harness
        .last_call(|c| c.is_prefill() && c.text.contains(&sent))
        .conn;
    harness.receive_text(
        prefill_conn,
        &plain_response("202 Accepted", "", r#"{"cached_tokens":0}"#),
    );
    let decode_conn = harness
        .last_call(|c| c.is_decode() && c.text.contains(&sent))
        .conn;
    harness.receive_text(decode_conn, &stream(content));
}

/// Completes the first request, behind which another one is pipelined, with the given outcome.
fn complete_first_request(harness: &mut Harness, outcome: &str, decode_conn: ConnId) {
    match outcome {
        "served" => harness.receive_text(decode_conn, &stream("one")),
        "a stream in flight" => {
            harness.receive_text(
                decode_conn,
                &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
            );
            harness.advance(0.7);
            harness.receive_text(decode_conn, "0\r\n\r\n");
        }
        _ => {
            for _ in 0..2 {
                let decode_conn = harness.last_call(Call::is_decode).conn;
                if !harness.closed.contains(&decode_conn) {
                    harness.receive_text(decode_conn, REJECTION);
                }
            }
            harness.advance(1.1);
        }
    }
}

#[test]
fn pipelined_request_before_stop_is_answered() {
    for outcome in ["served", "a stream in flight", "rejected"] {
        for before_stop in [true, false] {
            let mut harness = Harness::new();
            harness.answers_releases = true;
            let (client, decode_conn) = harness.start_decode("first", "ask");
            if before_stop {
                harness.receive_text(client, &request("second", "ask", 4800));
                harness.step(Input::Stop);
            } else {
                harness.step(Input::Stop);
                harness.advance(0.2);
                harness.receive_text(client, &request("second", "ask", 4800));
            }
            harness.advance(0.6);
            assert!(harness.listener_closed);
            complete_first_request(&mut harness, outcome, decode_conn);
            let case = format!("{outcome}, sent before the stop {before_stop}");
            assert!(
                !harness.finished.contains(&client) && !harness.stopped,
                "{case}"
            );
            harness.advance(0.02);
            serve(&mut harness, "second", "two");
            assert!(
                harness.client_output(client).contains("two"),
                "{case}: {}",
                harness.client_output(client)
            );
            assert!(
                harness.finished.contains(&client),
                "{case}: the connection stays open"
            );
            // The held state has been released by now, so nothing delays the stop.
            harness.advance(0.1);
            assert!(harness.stopped, "{case}");
        }
    }
}

/// Guards against a stop that makes no more releases for a prefill that was given up, or that waits for its end.
#[test]
fn stop_releases_once_more_what_a_given_up_prefill_may_leave() {
    let mut harness = Harness::new();
    harness.answers_releases = true;
    harness.send_request("late", "ask");
    let first = harness.last_call(Call::is_prefill);
    harness.step(Input::Ended { conn: first.conn });
    harness.advance(0.02);
    serve(&mut harness, "late", "one");
    harness.step(Input::Stop);
    harness.advance(0.53);
    let releases = |harness: &Harness| {
        let calls = harness.calls.iter();
        calls.filter(|c| c.text.starts_with("DELETE ")).count()
    };
    let before = releases(&harness);
    assert!(!harness.stopped && before > 0, "{before} releases");
    harness.advance(0.1);
    assert!(harness.stopped, "the stop waits for the prefill");
    assert_eq!(releases(&harness), before + 1);
    assert_eq!(harness.node.counts().releases_cut_short, 1);
}

/// A partial pipelined request does not delay the stop: the client can send it again to another dispatcher.
#[test]
fn partial_pipelined_request_does_not_delay_stop() {
    let mut harness = Harness::new();
    let (client, decode_conn) = harness.start_decode("first", "ask");
    let pipelined = request("second", "ask", 4800);
    harness.receive_text(client, &pipelined[..pipelined.len() - 1]);
    harness.step(Input::Stop);
    harness.advance(0.6);
    harness.receive_text(decode_conn, &stream("one"));
    assert!(harness.client_output(client).ends_with("0\r\n\r\n"));
    assert!(harness.finished.contains(&client) && harness.stopped);
    harness.receive_text(client, &pipelined[pipelined.len() - 1..]);
    assert_eq!(
        harness.count_calls(|c| c.text.contains("Req-Id: second")),
        0,
        "a partial request was forwarded"
    );
}

/// Clients that wait to be accepted when the listener closes are accepted first, and their requests are answered.
#[test]
fn client_accepted_before_listener_closes_is_served() {
    let mut harness = Harness::new();
    harness.delays_listener_close = true;
    harness.step(Input::Stop);
    harness.advance(0.6);
    assert!(
        harness.listener_closed && !harness.stopped,
        "the node stopped before all waiting clients were accepted"
    );
    let client = harness.send_request("queued", "ask");
    let idle_client = harness.connect_client();
    harness.step(Input::NotListening);
    assert!(harness.finished.contains(&idle_client) && !harness.finished.contains(&client));
    serve(&mut harness, "queued", "one");
    assert!(harness.client_output(client).ends_with("0\r\n\r\n"));
    assert!(harness.finished.contains(&client) && harness.stopped);
}

/// The process may be killed as early as 0.7 s after the longest deadline, or 3.7 s after the signal if that is
/// earlier.
#[test]
fn stop_steps_fit_before_kill() {
    for (longest_deadline_s, kill_s) in [
        (12.0, 3.7),
        (3.0, 3.7),
        (2.0, 2.7),
        (1.0, 1.7),
        (0.5, 1.2),
        (0.0, 0.7),
    ] {
        for resumes in [true, false] {
            let ShutdownSchedule {
                stop_accepting_s,
                response_deadline_s: answer_by_s,
                streams_end_s,
            } = ShutdownSchedule::new(longest_deadline_s, resumes);
            let case = format!("{longest_deadline_s} s, resumes {resumes}");
            assert!(
                (0.4..0.7).contains(&stop_accepting_s),
                "{case}: new connections arrive for up to 0.4 s"
            );
            assert!(
                (stop_accepting_s..kill_s - 0.1).contains(&answer_by_s),
                "{case}: {answer_by_s}"
            );
            assert_eq!(streams_end_s.is_some(), resumes, "{case}");
            assert!(
                streams_end_s.is_none_or(|at| (stop_accepting_s..kill_s - 0.1).contains(&at)),
                "{case}"
            );
        }
    }
}

/// A request that is completed during the stop is answered before the kill, which comes earlier with short deadlines.
#[test]
fn late_request_is_answered_before_kill_with_short_deadlines() {
    let text = config_json(256)
        .replace(r#""deadlineS":6.0"#, r#""deadlineS":1.5"#)
        .replace(r#""deadlineS":12.0"#, r#""deadlineS":1.5"#);
    let mut harness =
        Harness::with_config(Config::parse(&text).expect("the configuration of the test is valid"));
    let client = harness.connect_client();
    let pipelined = request("late", "book", 1500);
    harness.receive_text(client, &pipelined[..60]);
    harness.step(Input::Stop);
    harness.advance(1.0);
    harness.receive_text(client, &pipelined[60..]);
    harness.advance(1.15);
    assert!(
        !harness.client_output(client).is_empty(),
        "no response 2.15 s after the signal, 0.05 s before the kill"
    );
}

/// Without resumption by clients, cutting an active stream would lose the request, so the stop waits for its end.
#[test]
fn stream_is_not_cut_at_stop_without_resume() {
    let text = config_json(256).replace(r#""resume":true"#, r#""resume":false"#);
    let mut harness =
        Harness::with_config(Config::parse(&text).expect("the configuration of the test is valid"));
    let (client, decode_conn) = harness.start_decode("long", "ask");
    harness.receive_text(
        decode_conn,
        &format!("{STREAM_HEAD}{}", chunk(&stream_event("one"))),
    );
    harness.step(Input::Stop);
    for _ in 0..6 {
        harness.advance(1.0);
        harness.receive_text(decode_conn, &chunk(&stream_event("more")));
    }
    assert!(!harness.finished.contains(&client) && !harness.stopped);
    harness.receive_text(decode_conn, "0\r\n\r\n");
    assert!(harness.client_output(client).ends_with("0\r\n\r\n") && harness.stopped);
}

/// A request that is split at any byte by the stop signal is served if the rest arrives in time. A request that is never
/// completed ends with the process.
#[test]
fn request_cut_at_stop_is_served_once_complete() {
    let request_text = request("cut", "ask", 4800);
    let body = request_text
        .find("\r\n\r\n")
        .expect("the request has a head")
        + 4;
    for at in [1, 40, body - 1, body, body + 1, request_text.len() - 1] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        harness.receive_text(client, &request_text[..at]);
        harness.step(Input::Stop);
        harness.advance(0.7);
        assert!(
            harness.listener_closed && !harness.stopped && !harness.finished.contains(&client),
            "cut at {at}: the stop does not wait for the rest"
        );
        harness.receive_text(client, &request_text[at..]);
        harness.advance(0.02);
        serve(&mut harness, "cut", "one");
        assert!(
            harness.client_output(client).ends_with("0\r\n\r\n")
                && harness.finished.contains(&client),
            "cut at {at}"
        );
        assert!(harness.stopped, "cut at {at}");
    }
}

/// KV cache state waits at its prefill server for a retry of the decode. The stop does not cancel that retry, nor a
/// first decode whose prefill completes after the signal.
#[test]
fn retry_due_after_stop_is_sent() {
    for stop_first in [true, false] {
        let mut harness = Harness::new();
        let client = harness.send_request("retry", "book");
        if stop_first {
            harness.step(Input::Stop);
        }
        harness.complete_prefill();
        for _ in 0..2 {
            let decode_conn = harness.last_call(Call::is_decode).conn;
            harness.receive_text(decode_conn, REJECTION);
        }
        if !stop_first {
            harness.step(Input::Stop);
        }
        let before = harness.count_calls(Call::is_decode);
        harness.advance(0.4);
        assert!(
            harness.count_calls(Call::is_decode) > before,
            "the decode was not retried, stop first {stop_first}"
        );
        let decode_conn = harness.last_call(Call::is_decode).conn;
        harness.receive_text(decode_conn, &stream("one"));
        assert!(harness.client_output(client).ends_with("0\r\n\r\n"));
        assert_eq!(harness.count_calls(Call::is_prefill), 1);
    }
}

/// A reload and a stop at the same time: a drain reported by the new discovery address is respected until the process
/// ends.
#[test]
fn drain_from_new_discovery_counts_while_stopping() {
    for stop_first in [true, false] {
        let mut harness = Harness::new();
        let client = harness.send_request("moved", "ask");
        let config = Config::parse(&config_json(256).replace("127.0.2.1:8500", "127.0.2.2:8500"))
            .expect("the configuration is valid");
        if stop_first {
            harness.step(Input::Stop);
            harness.reload(config);
        } else {
            harness.reload(config);
            harness.step(Input::Stop);
        }
        let (watch, to) = *harness
            .connects
            .last()
            .expect("the node connects to discovery");
        assert_eq!(to.to_string(), "127.0.2.2:8500");
        harness.receive_text(watch, DISCOVERY_HEAD);
        let draining = endpoint_list_json(
            8,
            false,
            &[endpoint_json(
                "h-w1",
                "127.0.1.3:80",
                "writes",
                "terminating",
            )],
        );
        harness.receive_text(watch, &chunk(&format!("{draining}\n")));
        harness.complete_prefill();
        assert_eq!(
            harness.last_call(Call::is_decode).to.to_string(),
            "127.0.1.4:80",
            "stop first {stop_first}"
        );
        let decode_conn = harness.last_call(Call::is_decode).conn;
        harness.receive_text(decode_conn, &stream("one"));
        assert!(harness.client_output(client).ends_with("0\r\n\r\n"));
    }
}

/// A stop waits for the confirmation of releases, but no longer than the stop may take.
#[test]
fn stop_waits_for_releases() {
    for answers in [true, false] {
        let mut harness = Harness::new();
        let (_, decode_conn) = harness.start_decode("held", "book");
        harness.receive_text(decode_conn, &plain_response("500 Oops", "", ""));
        harness.answers_releases = answers;
        harness.step(Input::Stop);
        harness.advance(1.0);
        assert_eq!(harness.stopped, answers, "servers answer: {answers}");
        harness.advance(2.69);
        assert!(harness.stopped, "servers answer: {answers}");
    }
}

/// A request whose deadline coincides with the end of the stop is failed, and its KV cache state is released, before
/// the process ends.
#[test]
fn state_held_until_last_response_of_stop_is_released() {
    let mut harness = Harness::new();
    harness.answers_releases = true;
    harness.step(Input::Stop);
    let (client, _) = harness.start_decode("late", "book");
    harness.advance(3.67);
    assert_eq!(harness.status(client), "504");
    let releases =
        harness.count_calls(|c| c.request_line() == "DELETE /bootstrap/rooms/late HTTP/1.1");
    assert!(
        harness.stopped && releases >= 2,
        "{releases} releases, or the node has not stopped"
    );
    assert_eq!(
        harness.node.resource_usage().releases,
        0,
        "the releases were not confirmed"
    );
}
