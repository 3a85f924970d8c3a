//! A planned stop: whatever has been read has its answer, in whatever order the last bytes, answers and timers come.
mod common;

use bitternlatch_platform::config::Config;
use bitternlatch_platform::shutdown::ShutdownSchedule;
use bitternlatch_platform::types::{ConnId, Input};
use common::*;

const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

fn stream(word: &str) -> String {
    format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event(word)))
}

/// The request that was sent last is served.
fn serve(rig: &mut Rig, id: &str, word: &str) {
    let sent = format!("Req-Id: {id}\r\n");
    let read = rig.last(|c| c.is_prefill() && c.text.contains(&sent)).conn;
    rig.text(read, &plain("202 Accepted", "", r#"{"cached_tokens":0}"#));
    let write = rig.last(|c| c.is_decode() && c.text.contains(&sent)).conn;
    rig.text(write, &stream(word));
}

/// How the request ends behind which another one was sent ahead.
fn end_first(rig: &mut Rig, how: &str, writer: ConnId) {
    match how {
        "served" => rig.text(writer, &stream("one")),
        "a stream in hand" => {
            rig.text(writer, &format!("{STREAM_HEAD}{}", chunk(&event("one"))));
            rig.pass(0.7);
            rig.text(writer, "0\r\n\r\n");
        }
        _ => {
            for _ in 0..2 {
                let writer = rig.last(Call::is_decode).conn;
                if !rig.closed.contains(&writer) {
                    rig.text(writer, REFUSAL);
                }
            }
            rig.pass(1.1);
        }
    }
}

#[test]
fn pipelined_request_before_stop_is_answered() {
    for how in ["served", "a stream in hand", "refused"] {
        for before_stop in [true, false] {
            let mut rig = Rig::new();
            rig.answers_releases = true;
            let (client, writer) = rig.at_decode("first", "ask");
            if before_stop {
                rig.text(client, &request("second", "ask", 4800));
                rig.tell(Input::Stop);
            } else {
                rig.tell(Input::Stop);
                rig.pass(0.2);
                rig.text(client, &request("second", "ask", 4800));
            }
            rig.pass(0.6);
            assert!(rig.deaf);
            end_first(&mut rig, how, writer);
            let case = format!("{how}, sent before the stop {before_stop}");
            assert!(!rig.finished.contains(&client) && !rig.stopped, "{case}");
            rig.pass(0.02);
            serve(&mut rig, "second", "two");
            assert!(
                rig.said(client).contains("two"),
                "{case}: {}",
                rig.said(client)
            );
            assert!(rig.finished.contains(&client), "{case}: then it ends");
            // What was held has been released by then: nothing is left to wait for.
            rig.pass(0.1);
            assert!(rig.stopped, "{case}");
        }
    }
}

/// Half a request that was sent ahead has not been taken: its client sends it again elsewhere.
#[test]
fn partial_pipelined_request_does_not_delay_stop() {
    let mut rig = Rig::new();
    let (client, writer) = rig.at_decode("first", "ask");
    let ahead = request("second", "ask", 4800);
    rig.text(client, &ahead[..ahead.len() - 1]);
    rig.tell(Input::Stop);
    rig.pass(0.6);
    rig.text(writer, &stream("one"));
    assert!(rig.said(client).ends_with("0\r\n\r\n"));
    assert!(rig.finished.contains(&client) && rig.stopped);
    rig.text(client, &ahead[ahead.len() - 1..]);
    assert_eq!(
        rig.count(|c| c.text.contains("Req-Id: second")),
        0,
        "never sent on"
    );
}

/// Those who wait to be accepted as listening ends are taken first, and what they have asked is answered.
#[test]
fn client_accepted_before_listener_closes_is_served() {
    let mut rig = Rig::new();
    rig.holds_listening = true;
    rig.tell(Input::Stop);
    rig.pass(0.6);
    assert!(
        rig.deaf && !rig.stopped,
        "it waits until nobody is left to be taken"
    );
    let client = rig.ask("queued", "ask");
    let quiet = rig.client();
    rig.tell(Input::NotListening);
    assert!(rig.finished.contains(&quiet) && !rig.finished.contains(&client));
    serve(&mut rig, "queued", "one");
    assert!(rig.said(client).ends_with("0\r\n\r\n"));
    assert!(rig.finished.contains(&client) && rig.stopped);
}

/// The kill comes as early as 0.7 s after the longest deadline, or 3.7 s after the signal.
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
                "{case}: new connections come for 0.4 s"
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

/// A request that comes whole while stopping is answered before the kill, which short deadlines bring forward.
#[test]
fn late_request_is_answered_before_kill_with_short_deadlines() {
    let text = config_json(256)
        .replace(r#""deadlineS":6.0"#, r#""deadlineS":1.5"#)
        .replace(r#""deadlineS":12.0"#, r#""deadlineS":1.5"#);
    let mut rig = Rig::with(Config::parse(&text).expect("the test's configuration"));
    let client = rig.client();
    let ahead = request("late", "book", 1500);
    rig.text(client, &ahead[..60]);
    rig.tell(Input::Stop);
    rig.pass(1.0);
    rig.text(client, &ahead[60..]);
    rig.pass(1.15);
    assert!(
        !rig.said(client).is_empty(),
        "2.15 s after the signal, 0.05 s before the kill"
    );
}

/// Where clients do not ask for the rest, a stream that is cut while its events come is a lost request.
#[test]
fn stream_is_not_cut_at_stop_without_resume() {
    let text = config_json(256).replace(r#""resume":true"#, r#""resume":false"#);
    let mut rig = Rig::with(Config::parse(&text).expect("the test's configuration"));
    let (client, writer) = rig.at_decode("long", "ask");
    rig.text(writer, &format!("{STREAM_HEAD}{}", chunk(&event("one"))));
    rig.tell(Input::Stop);
    for _ in 0..6 {
        rig.pass(1.0);
        rig.text(writer, &chunk(&event("more")));
    }
    assert!(!rig.finished.contains(&client) && !rig.stopped);
    rig.text(writer, "0\r\n\r\n");
    assert!(rig.said(client).ends_with("0\r\n\r\n") && rig.stopped);
}

/// Cut anywhere, a request that comes whole in time is served, and one that never does ends with the process.
#[test]
fn request_cut_at_stop_is_served_once_complete() {
    let whole = request("cut", "ask", 4800);
    let body = whole.find("\r\n\r\n").expect("a head") + 4;
    for at in [1, 40, body - 1, body, body + 1, whole.len() - 1] {
        let mut rig = Rig::new();
        let client = rig.client();
        rig.text(client, &whole[..at]);
        rig.tell(Input::Stop);
        rig.pass(0.7);
        assert!(
            rig.deaf && !rig.stopped && !rig.finished.contains(&client),
            "cut at {at}: it is waited for"
        );
        rig.text(client, &whole[at..]);
        rig.pass(0.02);
        serve(&mut rig, "cut", "one");
        assert!(
            rig.said(client).ends_with("0\r\n\r\n") && rig.finished.contains(&client),
            "cut at {at}"
        );
        assert!(rig.stopped, "cut at {at}");
    }
}

/// A state waits at its prefill server for a decode server that can be asked again; the stop does not take that retry
/// away, nor what was read before and is handed over after.
#[test]
fn retry_due_after_stop_is_sent() {
    for stop_first in [true, false] {
        let mut rig = Rig::new();
        let client = rig.ask("retry", "book");
        if stop_first {
            rig.tell(Input::Stop);
        }
        rig.prefill_done();
        for _ in 0..2 {
            let writer = rig.last(Call::is_decode).conn;
            rig.text(writer, REFUSAL);
        }
        if !stop_first {
            rig.tell(Input::Stop);
        }
        let before = rig.count(Call::is_decode);
        rig.pass(0.4);
        assert!(
            rig.count(Call::is_decode) > before,
            "asked again, stop first {stop_first}"
        );
        let writer = rig.last(Call::is_decode).conn;
        rig.text(writer, &stream("one"));
        assert!(rig.said(client).ends_with("0\r\n\r\n"));
        assert_eq!(rig.count(Call::is_prefill), 1);
    }
}

/// A new configuration and a stop in one instant: drains that the new discovery tells are kept to the end.
#[test]
fn drain_from_new_discovery_counts_while_stopping() {
    for stop_first in [true, false] {
        let mut rig = Rig::new();
        let client = rig.ask("moved", "ask");
        let config = Config::parse(&config_json(256).replace("127.0.2.1:8500", "127.0.2.2:8500"))
            .expect("a file");
        if stop_first {
            rig.tell(Input::Stop);
            rig.reload(config);
        } else {
            rig.reload(config);
            rig.tell(Input::Stop);
        }
        let (watch, to) = *rig.connects.last().expect("a watch");
        assert_eq!(to.to_string(), "127.0.2.2:8500");
        rig.text(
            watch,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        let drains = list(
            8,
            false,
            &[target("h-w1", "127.0.1.3:80", "writes", "terminating")],
        );
        rig.text(watch, &chunk(&format!("{drains}\n")));
        rig.prefill_done();
        assert_eq!(
            rig.last(Call::is_decode).to.to_string(),
            "127.0.1.4:80",
            "stop first {stop_first}"
        );
        let writer = rig.last(Call::is_decode).conn;
        rig.text(writer, &stream("one"));
        assert!(rig.said(client).ends_with("0\r\n\r\n"));
    }
}

/// A release that no host answers is called for as long as a stop may take, and no longer.
#[test]
fn stop_waits_for_releases() {
    for answers in [true, false] {
        let mut rig = Rig::new();
        let (_, writer) = rig.at_decode("held", "book");
        rig.text(writer, &plain("500 Oops", "", ""));
        rig.answers_releases = answers;
        rig.tell(Input::Stop);
        rig.pass(1.0);
        assert_eq!(rig.stopped, answers, "hosts answer: {answers}");
        rig.pass(2.69);
        assert!(rig.stopped, "hosts answer: {answers}");
    }
}

/// A request whose time ends with the stop is failed, and its state released, before the process ends.
#[test]
fn state_held_until_last_response_of_stop_is_released() {
    let mut rig = Rig::new();
    rig.answers_releases = true;
    rig.tell(Input::Stop);
    let (client, _) = rig.at_decode("late", "book");
    rig.pass(3.67);
    assert_eq!(rig.status(client), "504");
    let releases = rig.count(|c| c.line() == "DELETE /bootstrap/rooms/late HTTP/1.1");
    assert!(
        rig.stopped && releases >= 2,
        "{releases}: before the limit, and after the close"
    );
    assert_eq!(rig.node.resource_usage().releases, 0, "confirmed");
}
