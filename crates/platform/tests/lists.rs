//! Endpoint lists received over the watch: a valid list is applied however it is formatted and split, and an invalid
//! one leaves the last valid list in effect.
mod common;

use bitternlatch_platform::types::ConnId;
use common::*;

const DISCOVERY: &str = "127.0.2.1:8500";

/// A change line that drains one server and adds another.
fn change_line() -> String {
    let old = endpoint_json("h-r1", "127.0.1.1:80", "reads", "terminating");
    endpoint_list_json(
        8,
        false,
        &[
            old,
            endpoint_json("h-r3", "127.0.1.5:80", "reads", "in_service"),
        ],
    )
}

/// A harness whose watch has confirmed the list of the configuration, and the watch connection.
fn harness_with_watch() -> (Harness, ConnId) {
    let harness = Harness::new();
    let conn = harness.watch_conn();
    (harness, conn)
}

fn known_servers(harness: &Harness) -> usize {
    harness.node.resource_usage().servers
}

#[test]
fn invalid_list_keeps_last_good_one() {
    let valid_entry = endpoint_json("h-r3", "127.0.1.5:80", "reads", "in_service");
    let list_with =
        |from: &str, to: &str| endpoint_list_json(8, false, &[valid_entry.replace(from, to)]);
    let duplicate_with_state = |state: &str| {
        endpoint_list_json(
            8,
            true,
            &[
                valid_entry.clone(),
                endpoint_json("h-r3", "127.0.1.5:80", "reads", state),
            ],
        )
    };
    let weight = "\"capacity_hint\":1.0";
    let table = [
        (list_with(weight, "\"capacity_hint\":-1.0"), "h-r3"),
        (
            list_with(weight, "\"capacity_hint\":1e999"),
            "number out of range",
        ),
        (list_with(weight, "\"capacity_hint\":\"much\""), "column"),
        (list_with(weight, "\"capacity_hint\":NaN"), "column"),
        (list_with("\"boot_ms\":0", "\"boot_ms\":-5"), "h-r3"),
        (
            list_with("\"boot_ms\":0", "\"boot_ms\":-1e999"),
            "number out of range",
        ),
        (list_with("\"pod_group\":0", "\"pod_group\":-1"), "column"),
        (list_with("127.0.1.5:80", "127.0.1.5"), "h-r3"),
        (list_with("in_service", &"x".repeat(100_000)), "h-r3"),
        (duplicate_with_state("terminating"), "h-r3"),
        (
            endpoint_list_json(8, false, std::slice::from_ref(&valid_entry))[..90].to_string(),
            "",
        ),
        (
            endpoint_list_json(8, false, std::slice::from_ref(&valid_entry))
                .replace("\"rev\":8", "\"rev\":-8"),
            "column",
        ),
        ("[]".to_string(), ""),
        ("}{".to_string(), "column"),
        ("\u{0}\u{1}\"".to_string(), "column"),
    ];
    for (text, cause) in table {
        let (mut harness, conn) = harness_with_watch();
        harness.receive(conn, chunk(&format!("{text}\n")).as_bytes());
        if !harness.closed.contains(&conn) {
            harness.receive(conn, chunk("\n").as_bytes());
        }
        let shown: String = text.chars().take(120).collect();
        assert!(harness.closed.contains(&conn), "{shown}");
        assert_eq!(known_servers(&harness), 4, "{shown}");
        let lines: Vec<&String> = harness
            .logs
            .iter()
            .filter(|l| l.contains("the endpoint list is kept"))
            .collect();
        assert_eq!(lines.len(), 1, "{shown}: {lines:?}");
        assert!(
            lines[0].contains(cause) && lines[0].contains(DISCOVERY),
            "{shown}: {}",
            lines[0]
        );
        assert!(
            lines[0].chars().count() < 300,
            "{shown}: {}",
            lines[0].len()
        );
        // A valid list on the next watch is applied.
        harness.advance(0.5);
        let conn = harness
            .last_call(|c| c.request_line().contains("watch=1"))
            .conn;
        harness.receive_text(conn, DISCOVERY_HEAD);
        harness.receive_text(
            conn,
            &chunk(&format!(
                "{}\n",
                endpoint_list_json(8, false, std::slice::from_ref(&valid_entry))
            )),
        );
        assert_eq!(known_servers(&harness), 5, "{shown}");
    }
}

#[test]
fn two_servers_may_share_an_address() {
    let old = endpoint_json("h-r1", "127.0.1.1:80", "reads", "terminating");
    let new = endpoint_json("h-r3", "127.0.1.1:80", "reads", "in_service");
    let (mut harness, conn) = harness_with_watch();
    harness.receive_text(
        conn,
        &chunk(&format!(
            "{}\n",
            endpoint_list_json(8, false, &[old, new.clone(), new])
        )),
    );
    assert!(!harness.closed.contains(&conn), "{:?}", harness.logs);
    assert_eq!(known_servers(&harness), 5);
}

#[test]
fn list_counts_indented_and_in_pieces() {
    let indented = change_line().replace(',', ",\r\n   ").replace('{', "{\n\t") + "\n";
    let last_chunk = "0\r\n\r\n";
    let length = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
        change_line().len(),
        change_line()
    );
    let table = [
        format!("{DISCOVERY_HEAD}{}", chunk(&indented)),
        format!(
            "{DISCOVERY_HEAD}{}{last_chunk}",
            chunk(&format!("{}\n", change_line()))
        ),
        format!(
            "{DISCOVERY_HEAD}{}{}",
            chunk(&format!("{}\n", change_line())),
            chunk("noise\n")
        ),
        format!(
            "{DISCOVERY_HEAD}{}no chunk\r\n",
            chunk(&format!("{}\n", change_line()))
        ),
        format!("{DISCOVERY_HEAD}{}{last_chunk}", chunk(&change_line())),
        length,
    ];
    for text in &table {
        for piece in [1, 7, text.len()] {
            let mut harness = Harness::starting(config());
            let conn = harness
                .last_call(|c| c.request_line().contains("watch=1"))
                .conn;
            for bytes in text.as_bytes().chunks(piece) {
                if !harness.closed.contains(&conn) {
                    harness.receive(conn, bytes);
                }
            }
            assert_eq!(
                known_servers(&harness),
                5,
                "{piece}: {text}: {:?}",
                harness.logs
            );
        }
    }
}

/// A restarted server does not know the connections of its previous process. A request written to one may end with a
/// reset, after which it is unknown whether the request ran, so these connections are closed.
#[test]
fn idle_connections_to_restarted_server_are_closed() {
    let restarted = |boot_ms: u64, uid: &str, endpoint: &str, model: &str| {
        endpoint_json(uid, endpoint, model, "in_service")
            .replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#))
    };
    for (boot_ms, all, closes) in [
        (0, false, false),
        (0, true, false),
        (1_800_000_000_000, false, true),
        (5, true, true),
    ] {
        let (mut harness, watch) = harness_with_watch();
        let (_, decode_conn) = harness.start_decode("first", "ask");
        let prefill_conn = harness.last_call(Call::is_prefill).conn;
        harness.receive_text(
            decode_conn,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
        );
        let entries: Vec<String> = servers()
            .iter()
            .map(|h| restarted(boot_ms, h.0, h.1, h.2))
            .collect();
        harness.receive_text(
            watch,
            &chunk(&format!("{}\n", endpoint_list_json(8, all, &entries))),
        );
        let case = format!("boot {boot_ms}, all {all}");
        for conn in [prefill_conn, decode_conn] {
            assert_eq!(harness.closed.contains(&conn), closes, "{case}");
        }
        harness.advance(1.0);
        let (client, decode_conn) = harness.start_decode("second", "book");
        harness.receive_text(
            decode_conn,
            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("two"))),
        );
        assert!(
            harness.client_output(client).ends_with("0\r\n\r\n"),
            "{case}"
        );
    }
}

/// The complete list of the largest fleet is applied in one chunk or several, indented or not. A list beyond the size
/// limit is rejected with one log line, and the last valid list stays in effect.
#[test]
fn largest_list_is_taken_in_one_chunk() {
    let entries: Vec<String> = (0..3200)
        .map(|i| {
            endpoint_json(
                &format!("s-{i:08x}"),
                &format!("10.{}.{}.1:8081", i / 256, i % 256),
                "reads",
                "in_service",
            )
        })
        .collect();
    let compact = endpoint_list_json(8, true, &entries);
    let indented = compact.replace('{', "{\n    ").replace(',', ",\n    ");
    assert!(compact.len() > 400_000 && indented.len() > 500_000);
    for text in [compact, indented] {
        for (in_chunks_of, in_pieces_of) in [
            (usize::MAX, 1 << 15),
            (usize::MAX, 1000),
            (100_000, 1 << 15),
            (1, 4096),
        ] {
            let (mut harness, conn) = harness_with_watch();
            let line = format!("{text}\n");
            let chunks = line.as_bytes().chunks(in_chunks_of);
            let bytes: Vec<u8> = chunks
                .flat_map(|c| {
                    chunk(std::str::from_utf8(c).expect("the chunk is UTF-8")).into_bytes()
                })
                .collect();
            bytes
                .chunks(in_pieces_of)
                .for_each(|piece| harness.receive(conn, piece));
            let case = format!("{} bytes in chunks of {in_chunks_of}", text.len());
            assert_eq!(known_servers(&harness), 3200, "{case}: {:?}", harness.logs);
            assert!(!harness.closed.contains(&conn), "{case}");
        }
    }
    let (mut harness, conn) = harness_with_watch();
    harness.receive_text(conn, &chunk(&"x".repeat(5 << 20)));
    assert!(harness.closed.contains(&conn) && known_servers(&harness) == 4);
    assert_eq!(
        harness
            .logs
            .iter()
            .filter(|l| l.contains("the endpoint list is kept"))
            .count(),
        1
    );
}
