//! Compares each record of the simulator's protocol, decoded and encoded, with its golden bytes.
//!
//! | record | decoded here | encoded here | tested elsewhere |
//! | --- | --- | --- | --- |
//! | frames, `at`, `start`, `shutdown` | | | tests/wire.rs |
//! | `inventory`, `view` | yes | yes | tests/wire.rs (list numbers) |
//! | `accept`, `begun`, `completed`, `hangup`, `alarm`, `probe_done` | yes | yes | tests/node.rs (decisions) |
//! | `inbox`, `reserved` | yes | never encoded | |
//! | all actions | never decoded | yes | tests/wire.rs (examples of the protocol description) |

use bitternlatch_policy::interface::*;

use super::cursor::Cursor;
use super::records::read_event;
use super::{encode_reply, Adapter};
use crate::encode::event_records;

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
        .collect()
}

const REQUEST: RequestId = 0x5d3a_91c4;
const SERVER: ServerId = 0x0312_4a07;

const INVENTORY: &str = "0c 00000000 03000000 \
0000803f 0100 0200 02 074a1203 0300 0000000000000000 \
0000c03f 0000 0000 00 f211902c 0000 6666666666661840 \
00000040 0500 0100 01 01000000 0100 000000000000f03f";

fn inventory() -> Vec<ServerEntry> {
    vec![
        ServerEntry {
            id: SERVER,
            status: ServerStatus::Ready,
            kind: 3,
            cell: 1,
            zone: 2,
            weight: 1.0,
            booted_at: 0.0,
        },
        ServerEntry {
            id: 0x2c90_11f2,
            status: ServerStatus::Draining,
            kind: 0,
            cell: 0,
            zone: 0,
            weight: 1.5,
            booted_at: 6.1,
        },
        ServerEntry {
            id: 1,
            status: ServerStatus::Removed,
            kind: 1,
            cell: 5,
            zone: 1,
            weight: 2.0,
            booted_at: 1.0,
        },
    ]
}

/// Decodes one event record, after an `inventory` record if one is given, and checks that no bytes are left.
fn decode(inventory: &str, event: &str) -> Event {
    let (inventory, event) = (unhex(inventory), unhex(event));
    let mut adapter = Adapter::default();
    if let Some(list) = inventory.get(1..) {
        let mut cursor = Cursor::new(list, 0);
        adapter.lists().read(&mut cursor).expect("an inventory");
        assert_eq!(cursor.position(), list.len());
    }
    let mut cursor = Cursor::new(&event, 1);
    let decoded = read_event(&mut cursor, event[0], 0, adapter.lists()).expect("an event");
    assert_eq!(cursor.position(), event.len());
    decoded
}

fn assert_round_trip(event: Event, golden: &str) {
    assert_eq!(decode("", golden), event);
    assert_eq!(event_records(&event), Some((None, unhex(golden))));
}

#[test]
fn view_and_inventory_match_their_golden_bytes() {
    let forms = [
        (ListForm::Delta, "02 00 00000000 00000000"),
        (ListForm::Full, "02 01 00000000 00000000"),
        (ListForm::Cached, "02 02 00000000 00000000"),
    ];
    for (form, golden) in forms {
        let entries = inventory();
        let event = Event::Servers { form, entries };
        assert_eq!(decode(INVENTORY, golden), event);
        let encoded = Some((Some(unhex(INVENTORY)), unhex(golden)));
        assert_eq!(event_records(&event), encoded);
    }
    let (form, entries) = (ListForm::Failed, vec![]);
    let event = Event::Servers { form, entries };
    let golden = "02 03 00000000 00000000";
    assert_eq!(decode("", golden), event);
    let empty = unhex("0c 00000000 00000000");
    assert_eq!(event_records(&event), Some((Some(empty), unhex(golden))));
}

#[test]
fn request_matches_its_golden_bytes() {
    let request = Request {
        id: REQUEST,
        class: 1,
        tenant: 5,
        session: 0x91f0_3b7c_55d2_0a64,
        prefix: 0x2b8e_6401_d9f3_7c10,
        prompt_tokens: 1800.0,
        prefix_tokens: 1200.0,
        max_output_tokens: 256.0,
        output_tokens: None,
        output_hint_s: None,
        time_left_s: 0.24,
    };
    let golden = "03 c4913a5d 00008043 05000000 0000 640ad2557c3bf091 0000000000000000 0100 \
b81e85eb51b8ce3f 107cf3d901648e2b 0000e144 00009644";
    assert_round_trip(Event::Arrival(request.clone()), golden);
    // The hint is decoded only if its mark is set, and is never encoded.
    let hinted = golden
        .replace("05000000 0000", "05000000 0100")
        .replace("0000000000000000 0100", "000000000000e03f 0100");
    let output_hint_s = Some(0.5);
    let expected = Request {
        output_hint_s,
        ..request
    };
    assert_eq!(decode("", &hinted), Event::Arrival(expected));
}

#[test]
fn first_token_matches_its_golden_bytes() {
    let event = Event::FirstToken {
        request: REQUEST,
        attempt: 258,
        server: SERVER,
        elapsed_s: 0.08,
    };
    assert_round_trip(event, "04 c4913a5d 0201 074a1203 7b14ae47e17ab43f");
}

#[test]
fn attempt_end_matches_its_golden_bytes() {
    let ends = [
        (Outcome::Served, "00", "03000000", 3.0),
        (Outcome::PrefillDone, "ca", "03000000", 3.0),
        (Outcome::Error, "ff", "00000000", 0.0),
        (
            Outcome::Rejected {
                state_missing: false,
            },
            "fe",
            "00000000",
            0.0,
        ),
        (
            Outcome::Rejected {
                state_missing: true,
            },
            "fe",
            "01000000",
            1.0,
        ),
        (Outcome::TimedOut, "fd", "00000000", 0.0),
        (Outcome::ConnectFailed, "fc", "00000000", 0.0),
        (Outcome::Reset, "fb", "00000000", 0.0),
        (Outcome::Cancelled, "fa", "00000000", 0.0),
        (Outcome::NotSent, "f9", "00000000", 0.0),
    ];
    for (outcome, code, info, prefix_hit_tokens) in ends {
        let event = Event::AttemptEnded(AttemptEnd {
            request: REQUEST,
            attempt: 1,
            server: SERVER,
            outcome,
            elapsed_s: 0.08,
            finished: outcome == Outcome::Served,
            prefix_hit_tokens,
            output_tokens: None,
            report: vec![0.25, 2.0],
        });
        let finished = if outcome == Outcome::Served {
            "01"
        } else {
            "00"
        };
        let golden = format!(
            "05 c4913a5d 0100 074a1203 {code} 7b14ae47e17ab43f {finished} {info} 02 0000803e 00000040"
        );
        assert_round_trip(event, &golden);
    }
}

#[test]
fn client_disconnect_and_timer_match_their_golden_bytes() {
    let request = 0x0e6f_2b19;
    assert_round_trip(Event::ClientDisconnected { request }, "06 192b6f0e");
    assert_round_trip(Event::Timer { label: 77 }, "07 4d00000000000000");
}

#[test]
fn probe_end_matches_its_golden_bytes() {
    let event = Event::ProbeEnded {
        server: SERVER,
        outcome: Outcome::Reset,
        elapsed_s: 0.08,
        report: vec![0.5],
    };
    assert_round_trip(event, "08 074a1203 fb 7b14ae47e17ab43f 01 0000003f");
}

#[test]
fn peer_message_and_reservation_answer_are_decoded_from_their_golden_bytes() {
    let (from, data) = (3, vec![0x68, 0x69]);
    let event = Event::PeerMessage { from, data };
    assert_eq!(decode("", "09 03000000 0200 6869"), event);
    assert_eq!(event_records(&event), None);
    for (topic, held) in [("01", true), ("02", false)] {
        let event = Event::ReservationAnswer {
            request: REQUEST,
            attempt: 1,
            server: SERVER,
            held,
        };
        let golden = format!("0b c4913a5d 0100 074a1203 {topic} 00000000");
        assert_eq!(decode("", &golden), event);
        assert_eq!(event_records(&event), None);
    }
}

#[test]
fn each_action_is_encoded_as_its_golden_bytes() {
    let (request, server) = (REQUEST, SERVER);
    let data = vec![0x68, 0x37];
    let text = || "hm".to_string();
    let actions = [
        (
            Action::Send {
                request,
                server,
                timeout_s: 0.08,
            },
            "0f c4913a5d 7b14ae47e17ab43f 074a1203",
        ),
        (
            Action::Cancel {
                request,
                attempt: 258,
            },
            "02 c4913a5d 0201",
        ),
        (
            Action::Reject {
                request,
                retry_after_s: 0.08,
            },
            "0b c4913a5d 7b14ae47e17ab43f",
        ),
        (Action::Fail { request }, "03 c4913a5d"),
        (
            Action::Release {
                request,
                repeat: None,
            },
            "06 c4913a5d",
        ),
        (Action::Probe { server }, "07 074a1203"),
        (
            Action::SetTimer {
                at: 0.08,
                label: 77,
            },
            "09 7b14ae47e17ab43f 4d00000000000000",
        ),
        (Action::Subscribe, "04 01"),
        (Action::Unsubscribe, "04 00"),
        (Action::FetchList, "05"),
        (
            Action::ReserveSlot { request, server },
            "10 c4913a5d 074a1203",
        ),
        (Action::Migrate { request }, "08 c4913a5d"),
        (Action::CloseIdle { server }, "0d 074a1203"),
        (
            Action::SendToPeer {
                peer: Some(5),
                data: data.clone(),
            },
            "0c 0500 0200 6837",
        ),
        (Action::SendToPeer { peer: None, data }, "0c ffff 0200 6837"),
        (Action::Log { text: text() }, "01 0200 686d"),
        (Action::Fault { text: text() }, "0a 0200 686d"),
    ];
    for (action, golden) in actions {
        let body = unhex(&format!("0e 0300 {golden}"));
        let mut frame = unhex("02000000");
        frame.extend((8 + body.len() as u32).to_le_bytes());
        frame.extend(body);
        assert_eq!(encode_reply(3, &[action]), frame, "{golden}");
    }
}
