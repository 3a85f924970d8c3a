//! Sessions over real sockets, with a dispatcher as a process: the hard cases.
mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use bitternlatch_chaos::client::Came;
use bitternlatch_chaos::process::ask;
use bitternlatch_mock_engine::config::Trouble;
use common::{create, final_kind, rig, to_the_end, FOUR};

#[test]
fn a_dropped_booking_is_found_again_by_its_key_and_runs_once() {
    let rig = rig("dropped", FOUR, 1, |_| {});
    let first = rig.client(0);
    first.say(&create(
        "season-booking",
        "k1",
        "the season [len=60][req=1]",
    ));
    rig.until("a write", |l| {
        l.who.starts_with("writer") && l.dir == "out" && l.text.contains("w3 ")
    });
    first.cut();
    let second = rig.client(0);
    second.say(&create(
        "season-booking",
        "k1",
        "the season [len=60][req=1]",
    ));
    let events = to_the_end(&second);
    let text = &events
        .last()
        .and_then(|e| e.response.clone())
        .expect("a response")
        .output[0]
        .content[0]
        .text;
    assert!(
        text.starts_with("w1 w2 ") && text.ends_with("w60 "),
        "{text}"
    );
    let third = rig.client(0);
    third.say(&create(
        "season-booking",
        "k1",
        "the season [len=60][req=1]",
    ));
    assert_eq!(final_kind(&third), "response.completed");
    let rest: Vec<_> = rig.lines.try_iter().collect();
    assert!(
        rig.completions(&rest).is_empty(),
        "nothing was sent to a host again"
    );
    rig.end();
}

#[test]
fn a_reader_stalls_a_fetch_hangs_a_state_is_gone_and_each_request_ends_in_time() {
    let rig = rig("handover", FOUR, 1, |_| {});
    for (n, (host, trouble)) in [
        ("reader", Trouble::Pause),
        ("writer", Trouble::HangFetch),
        ("reader", Trouble::LoseStates),
        ("writer", Trouble::LostAnswers),
    ]
    .into_iter()
    .enumerate()
    {
        for i in 1..=2 {
            rig.standins()
                .trouble(&format!("{host}-{i}"), trouble, 1.0, 3.0);
        }
        let start = Instant::now();
        let clients = [rig.client(0), rig.client(0)];
        clients[0].say(&create("slot-query", &format!("q{n}"), "a hall? [len=5]"));
        clients[1].say(&create(
            "season-booking",
            &format!("b{n}"),
            "the season [len=5]",
        ));
        for (client, deadline_s) in clients.iter().zip([6.0, 12.0]) {
            let events = to_the_end(client);
            assert!(
                start.elapsed().as_secs_f64() < deadline_s,
                "{trouble:?}: {:?}",
                start.elapsed()
            );
            assert_eq!(events.iter().filter(|e| e.is_final()).count(), 1);
            assert!(
                matches!(client.next(Duration::from_millis(50)), Came::Silence),
                "nothing follows"
            );
        }
        std::thread::sleep(Duration::from_secs(3).saturating_sub(start.elapsed()));
    }
    let client = rig.client(0);
    client.say(&create("slot-query", "after", "a hall? [len=5]"));
    assert_eq!(
        final_kind(&client),
        "response.completed",
        "all is well again"
    );
    rig.end();
}

#[test]
fn mute_hosts_resets_nonsense_and_bad_loads_cost_no_answer() {
    let rig = rig("nonsense", FOUR, 1, |_| {});
    for (trouble, hosts) in [
        (Trouble::Garbage, ["reader-1", "writer-1"]),
        (Trouble::BadLoad, ["writer-1", "writer-2"]),
        (Trouble::Reset, ["writer-1", "writer-2"]),
        (Trouble::Mute, ["reader-1", "writer-1"]),
        (Trouble::FastErrors, ["reader-1", "writer-1"]),
    ] {
        hosts
            .iter()
            .for_each(|host| rig.standins().trouble(host, trouble, 1.0, 1.5));
        if trouble == Trouble::Mute {
            // Their links have to come up anew for it to show.
            hosts
                .iter()
                .for_each(|host| rig.standins().trouble(host, Trouble::Crash, 1.0, 0.1));
        }
        let clients: Vec<_> = (0..6).map(|_| rig.client(0)).collect();
        for (i, client) in clients.iter().enumerate() {
            let class = ["slot-query", "season-booking"][i % 2];
            client.say(&create(class, &format!("{trouble:?}{i}"), "words [len=4]"));
        }
        let kinds: Vec<String> = clients.iter().map(final_kind).collect();
        let served = kinds.iter().filter(|k| *k == "response.completed").count();
        match trouble {
            Trouble::Reset => {
                assert!(kinds
                    .iter()
                    .all(|k| k == "response.failed" || k == "response.completed"))
            }
            Trouble::Garbage | Trouble::BadLoad => assert_eq!(served, 6, "{trouble:?}: {kinds:?}"),
            _ => assert!(served >= 2, "{trouble:?}: {kinds:?}"),
        }
        std::thread::sleep(Duration::from_millis(1600));
    }
    rig.end();
}

#[test]
fn a_killed_dispatchers_states_are_let_go_and_its_clients_are_served_elsewhere() {
    let mut rig = rig("killed", FOUR, 2, |_| {});
    for i in 1..=2 {
        rig.standins()
            .trouble(&format!("writer-{i}"), Trouble::HangFetch, 1.0, 2.0);
    }
    let client = rig.client(0);
    client.say(&create("slot-query", "k", "a hall? [len=5]"));
    rig.until("a read state", |l| {
        l.who.starts_with("reader") && l.text.contains("\"do_remote_prefill\":true")
    });
    rig.dispatchers[0].kill();
    assert!(matches!(to_closed(&client), Came::Closed(_)));
    let closed = rig.until("the links' end", |l| {
        l.who == "reader-2" && l.dir == "close"
    });
    assert!(closed.iter().any(|l| l.dir == "close"));
    std::thread::sleep(Duration::from_secs(2));
    let other = rig.client(1);
    other.say(&create("slot-query", "k", "a hall? [len=5]"));
    assert_eq!(final_kind(&other), "response.completed");
    rig.end();
}

fn to_closed(client: &bitternlatch_chaos::client::Client) -> Came {
    loop {
        match client.next(Duration::from_secs(20)) {
            Came::Event(_) => {}
            other => return other,
        }
    }
}

#[test]
fn a_drain_by_the_list_is_kept_and_a_broken_list_changes_nothing() {
    let rig = rig("drain", FOUR, 1, |_| {});
    std::fs::write(
        rig.dir.join("hosts.csv"),
        "name,address\nreader-1,127.0.0.1,7\n",
    )
    .expect("the list");
    let serve = |n: usize| {
        let client = rig.client(0);
        client.say(&create(
            "slot-query",
            &format!("k{n}"),
            &format!("hall {n} [len=2]"),
        ));
        assert_eq!(final_kind(&client), "response.completed");
    };
    std::thread::sleep(Duration::from_millis(500));
    (0..4).for_each(serve);
    rig.write_list(&["writer-1", "reader-2"]);
    // Read alike twice, at 0.1 s each, and the grace of 0.25 s.
    std::thread::sleep(Duration::from_millis(600));
    rig.lines.try_iter().for_each(drop);
    (4..12).for_each(serve);
    let lines: Vec<_> = rig.lines.try_iter().collect();
    let used: std::collections::BTreeSet<String> =
        rig.completions(&lines).into_iter().map(|c| c.0).collect();
    assert_eq!(
        used.into_iter().collect::<Vec<_>>(),
        ["reader-1", "writer-2"]
    );
    let log = std::fs::read_to_string(rig.dir.join("dispatch-1.1.log")).expect("the log");
    let told = log.lines().filter(|l| l.contains("hosts.csv:2:")).count();
    assert_eq!(told, 1, "a broken list is logged once, with its line");
    rig.end();
}

#[test]
fn clients_that_do_not_read_dribble_or_say_nothing_hold_up_nobody() {
    let rig = rig("slow", FOUR, 1, |settings| {
        let listen = settings["listen"].as_table_mut().expect("a table");
        listen.insert("handshake_s".into(), 2.0.into());
        listen.insert("queue_messages".into(), 64.into());
    });
    let address = rig.dispatchers[0].address.clone();
    let before = rig.dispatchers[0].resident_kib().expect("linux");
    let silent: Vec<TcpStream> = (0..1000)
        .filter_map(|_| TcpStream::connect(&address).ok())
        .collect();
    assert_eq!(silent.len(), 1000);
    let mut dribbling = TcpStream::connect(&address).expect("a connection");
    dribbling.write_all(b"G").expect("a byte");
    let mut deaf = upgraded(&address);
    for i in 0..64 {
        deaf.write_all(&masked(&create(
            "slot-query",
            &format!("deaf{i}"),
            "long [len=150]",
        )))
        .expect("a frame");
    }
    let start = Instant::now();
    for i in 0..5 {
        let client = rig.client(0);
        client.say(&create("slot-query", &format!("good{i}"), "hall [len=3]"));
        assert_eq!(final_kind(&client), "response.completed");
    }
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "{:?}",
        start.elapsed()
    );
    let after = rig.dispatchers[0].resident_kib().expect("linux");
    assert!(after < before + 64 * 1024, "{before} KiB to {after} KiB");
    // Handshakes that say nothing are ended at their bound.
    let mut first = &silent[0];
    first
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("an option");
    let mut none = [0; 1];
    assert!(matches!(first.read(&mut none), Ok(0) | Err(_)));
    drop((silent, dribbling, deaf));
    rig.end();
}

/// A raw socket that has upgraded, without a reader.
fn upgraded(address: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let head =
        "GET /v1/responses HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
        Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("a head");
    let mut byte = [0; 1];
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("an answer");
        answer.extend_from_slice(&byte);
    }
    assert!(answer.starts_with(b"HTTP/1.1 101"));
    stream
}

/// A text frame with a mask of zeros.
fn masked(text: &str) -> Vec<u8> {
    let mut frame = vec![0x81];
    match text.len() {
        n if n < 126 => frame.push(0x80 | n as u8),
        n => {
            frame.push(0x80 | 126);
            frame.extend_from_slice(&(n as u16).to_be_bytes());
        }
    }
    frame.extend_from_slice(&[0; 4]);
    frame.extend_from_slice(text.as_bytes());
    frame
}

#[test]
fn frames_and_heads_that_are_wrong_get_one_clear_answer() {
    let rig = rig("frames", FOUR, 1, |settings| {
        settings["listen"]
            .as_table_mut()
            .expect("a table")
            .insert("message_bytes".into(), 2048.into());
    });
    let address = rig.dispatchers[0].address.clone();
    assert!(ask(&address, "/ready")
        .expect("an answer")
        .starts_with("HTTP/1.1 200"));
    assert!(ask(&address, "/else")
        .expect("an answer")
        .starts_with("HTTP/1.1 404"));
    let heads = [
        ("POST / HTTP/1.1\r\nHost: x\r\n\r\n", "405"),
        ("GET / HTTP/1.1\r\nUpgrade: websocket\r\n\r\n", "400"),
        (
            "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
             Sec-WebSocket-Version: 8\r\n\r\n",
            "426",
        ),
        ("nonsense\r\n\r\n", "400"),
    ];
    for (head, status) in heads {
        let mut stream = TcpStream::connect(&address).expect("a connection");
        stream.write_all(head.as_bytes()).expect("a head");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{head}: {answer}"
        );
    }
    let frames: [(Vec<u8>, u16); 4] = [
        (vec![0x82, 0x80, 0, 0, 0, 0], 1003),
        (vec![0x81, 0x82, 0, 0, 0, 0, 0xff, 0xff], 1007),
        (masked(&"x".repeat(4000)), 1009),
        (vec![0x81, 0x01, b'x'], 1002),
    ];
    for (frame, code) in frames {
        let mut stream = upgraded(&address);
        stream.write_all(&frame).expect("a frame");
        let mut answer = Vec::new();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("an option");
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.len() >= 4 && answer[0] == 0x88, "{code}: {answer:?}");
        assert_eq!(u16::from_be_bytes([answer[2], answer[3]]), code);
    }
    let client = rig.client(0);
    client.say(&create("slot-query", "k", "hall [len=3]"));
    assert_eq!(final_kind(&client), "response.completed");
    rig.end();
}

#[test]
fn a_stop_answers_what_is_in_hand_and_ends() {
    let mut rig = rig("stop", FOUR, 1, |_| {});
    let client = rig.client(0);
    client.say(&create("slot-query", "k", "hall [len=50]"));
    rig.until("a write", |l| {
        l.who.starts_with("writer") && l.dir == "out" && l.text.contains("w3 ")
    });
    rig.dispatchers[0].terminate();
    assert_eq!(final_kind(&client), "response.completed");
    assert!(
        rig.dispatchers[0].ended(Duration::from_secs(20)),
        "it ends in order"
    );
}
