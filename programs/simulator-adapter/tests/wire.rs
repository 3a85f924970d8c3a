//! Checks frames against the description of the simulator's protocol, and the errors for malformed frames.
use bitternlatch_policy::interface::Action;
use bitternlatch_simulator_adapter::wire::{encode_reply, parse_settings, serve, Adapter};

const SETTINGS: &str = "balancers=2\nclasses.count=1\nclasses.0.aimS=1.5\nclasses.0.deadlineS=6.0\n\
classes.0.effect=free\nclasses.0.worth=1.0\ncontract.overloadFactor=2.5\ncontract.startCapacity=0.25\n\
contract.fallS=3.0\ncontract.warmAfterS=14.0\nextra.kindRole=read,write\nextra.pinLimitS=1.0\n\
extra.aimUsPer1000PromptTokens=40000.0\nextra.tokenAimS=0.07\nextra.kindMemoryTokens=200000,150000\n\
limits.maxAttempts=4\nlocality=0\nmembershipMode=pushed\nreport.how=inline\n\
report.fields=load_share,depth,x0\nextra.reportX0=share_of_memory_that_is_held\nsomething.new=7\n";

fn frame(count: u32, body: &[u8]) -> Vec<u8> {
    let mut out = count.to_le_bytes().to_vec();
    out.extend((16 + body.len() as u32).to_le_bytes());
    out.extend(18.823384_f64.to_le_bytes());
    out.extend(body);
    out
}

fn start(settings: &str) -> Vec<u8> {
    let mut body = vec![13, 3, 0, 1];
    body.extend(42u64.to_le_bytes());
    body.extend((settings.len() as u32).to_le_bytes());
    body.extend(settings.as_bytes());
    body
}

fn entry(id: u32, kind: u16) -> Vec<u8> {
    let mut out = 1f32.to_le_bytes().to_vec();
    out.extend([0, 0, 0, 0, 2]);
    out.extend(id.to_le_bytes());
    out.extend(kind.to_le_bytes());
    out.extend(0f64.to_le_bytes());
    out
}

fn inventory_and_view(ids: &[(u32, u16)]) -> Vec<u8> {
    let mut body = vec![12, 0, 0, 0, 0];
    body.extend((ids.len() as u32).to_le_bytes());
    ids.iter()
        .for_each(|(id, kind)| body.extend(entry(*id, *kind)));
    body.extend([2, 2, 1, 0, 0, 0, 0, 0, 0, 0]);
    body
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
        .collect()
}

/// The `accept` record given as an example in the protocol description.
const ACCEPT: &str = "03 c4913a5d 00008043 00000000 0100 640ad2557c3bf091 fa7e6abc7493883f 0000 \
b81e85eb51b8ce3f 107cf3d901648e2b 0000e144 00009644";

fn error_of(input: &[u8]) -> String {
    serve(input, &mut Vec::new())
        .expect_err("malformed input")
        .to_string()
}

#[test]
fn empty_batch_of_the_description_gets_an_empty_reply() {
    let mut out = Vec::new();
    serve(&unhex("00000000 10000000 508d976e12d32040")[..], &mut out).unwrap();
    assert_eq!(out, unhex("00000000 08000000"));
}

#[test]
fn request_of_the_description_is_sent_to_the_prefill_server() {
    let mut body = start(SETTINGS);
    body.extend(inventory_and_view(&[(7, 0), (8, 1)]));
    body.extend(unhex(ACCEPT));
    let reply = Adapter::default().answer(&frame(5, &body)).unwrap();
    let sent = unhex("0f c4913a5d");
    let at = reply
        .windows(5)
        .position(|w| w == sent)
        .expect("a pass_on of the request");
    assert_eq!(reply[at + 13..at + 17], 7u32.to_le_bytes());
    assert_eq!(reply[4..8], (reply.len() as u32).to_le_bytes());
}

#[test]
fn reused_list_number_refers_to_the_latest_list() {
    let mut body = start(SETTINGS);
    body.extend(inventory_and_view(&[(7, 0), (8, 1)]));
    body.extend(inventory_and_view(&[(9, 0), (8, 1)]));
    body.extend(unhex(ACCEPT));
    let reply = Adapter::default().answer(&frame(7, &body)).unwrap();
    let at = reply
        .windows(5)
        .position(|w| w == unhex("0f c4913a5d"))
        .unwrap();
    assert_eq!(reply[at + 13..at + 17], 9u32.to_le_bytes());
}

#[test]
fn shutdown_and_start_may_share_a_batch() {
    let mut body = start(SETTINGS);
    body.push(10);
    body.extend(&start(SETTINGS)[3..]);
    body.extend(inventory_and_view(&[(7, 0)]));
    assert!(Adapter::default().answer(&frame(6, &body)).is_ok());
    assert!(
        Adapter::default().answer(&frame(5, &body)).is_err(),
        "bytes are left over"
    );
    assert!(
        Adapter::default().answer(&frame(7, &body)).is_err(),
        "a record is missing"
    );
}

#[test]
fn unknown_settings_are_skipped_and_missing_ones_named() {
    assert!(parse_settings(SETTINGS).is_ok());
    let without = SETTINGS.replace("extra.pinLimitS=1.0\n", "");
    assert!(parse_settings(&without)
        .unwrap_err()
        .to_string()
        .contains("extra.pinLimitS"));
    let invalid = SETTINGS.replace("startCapacity=0.25", "startCapacity=NaN");
    assert!(parse_settings(&invalid)
        .unwrap_err()
        .to_string()
        .contains("startCapacity"));
}

#[test]
fn length_field_alone_reserves_no_memory() {
    assert!(error_of(&unhex("00000000 ffffffff 508d976e12d32040")).contains("input ends"));
    let mut body = vec![12, 0, 0, 0, 0];
    body.extend(u32::MAX.to_le_bytes());
    assert!(error_of(&frame(1, &body)).contains("list entry"));
}

#[test]
fn malformed_frames_are_reported_with_field_and_position() {
    assert!(error_of(&[1, 2, 3]).contains("header"));
    assert!(error_of(&frame(1, &[99])).contains("event 99"));
    assert!(error_of(&frame(2, &[13, 3, 0, 99])).contains("unknown event code 99 at byte 19"));
    assert!(error_of(&frame(1, &[13, 3])).contains("at byte 17"));
    assert!(error_of(&frame(0, &[13, 3, 0])).contains("left"));
    let mut bad_text = start("x");
    *bad_text.last_mut().unwrap() = 0xff;
    assert!(error_of(&frame(2, &bad_text)).contains("UTF-8"));
    assert!(error_of(&frame(2, &[13, 3, 0, 6, 1, 0, 0, 0])).contains("not started"));
}

#[test]
fn action_examples_of_the_description_match_byte_for_byte() {
    let body = |action: Action| encode_reply(3, &[action])[11..].to_vec();
    assert_eq!(
        encode_reply(3, &[Action::FetchList])[8..11],
        unhex("0e 0300")
    );
    assert_eq!(
        body(Action::Log {
            text: "two servers known".into()
        }),
        unhex("01 1100 74776f2073657276657273206b6e6f776e")
    );
    let (request, server) = (0x5d3a_91c4, 0x2c90_11f2);
    assert_eq!(
        body(Action::ReserveSlot { request, server }),
        unhex("10 c4913a5d f211902c")
    );
    assert_eq!(
        body(Action::Release {
            request: 0x0e6f_2b19,
            repeat: None,
        }),
        unhex("06 192b6f0e")
    );
    assert_eq!(
        body(Action::SendToPeer {
            peer: None,
            data: b"h7 ".to_vec()
        }),
        unhex("0c ffff 0300 683720")
    );
    let (timeout_s, server) = (0.08, 0x1a1c_4a07);
    let sent = body(Action::Send {
        request,
        server,
        timeout_s,
    });
    assert_eq!(
        (sent[..5].to_vec(), sent[13..].to_vec()),
        (unhex("0f c4913a5d"), unhex("074a1c1a"))
    );
}

#[test]
fn each_malformed_input_has_its_message() {
    let at = |record: &str| format!("0d0300 {record}");
    let started = |record: &str| {
        let start = start(SETTINGS);
        frame(3, &[start, unhex(record)].concat())
    };
    let of = |count: u32, body: &str| frame(count, &unhex(body));
    let mut clock = of(0, "");
    clock[8..].copy_from_slice(&f64::NAN.to_le_bytes());
    let mut size = of(0, "");
    size[4] = 8;
    let mut truncated = of(1, "");
    truncated[4] = 20;
    let table = [
        (
            vec![1, 2, 3],
            "input ends after 3 bytes of a frame's header",
        ),
        (size, "frame size 8 is shorter than a header"),
        (truncated, "input ends after 16 of a frame's 20 bytes"),
        (clock, "the clock is not a finite number"),
        (of(0, "0d0300"), "3 bytes left after 0 records"),
        (
            of(1, "63"),
            "record 0: event 99 at byte 16 comes before any instance",
        ),
        (
            of(1, "0d03"),
            "record 0: frame ends at byte 18 inside at at byte 17",
        ),
        (
            of(2, &at("63")),
            "record 1: unknown event code 99 at byte 19",
        ),
        (
            of(2, &at("06 01000000")),
            "record 1: event 6 at byte 19 is for instance 3, which has not started",
        ),
        (
            of(1, "0c 10000000 00000000"),
            "record 0: list number 16 at byte 17 is out of range",
        ),
        (
            of(1, "0c 00000000 01000000 0000803f 0000 0000 09"),
            "record 0: unknown health 9 at byte 33",
        ),
        (
            of(2, &at("02 04")),
            "record 1: unknown list form 4 at byte 20",
        ),
        (
            of(2, &at("02 00 00000000 05000000")),
            "record 1: view at byte 20 names list 5, which was never sent",
        ),
        (
            of(2, &at("08 01000000 07")),
            "record 1: unknown outcome 7 in probe_done at byte 24",
        ),
        (
            of(2, &at("01 0000000000000000 01000000 ff")),
            "record 1: the settings are not UTF-8: \
invalid utf-8 sequence of 1 bytes from index 0",
        ),
        (
            of(2, &at("01 0000000000000000 01000000 78")),
            "record 1: settings line 1 has no '='",
        ),
        (
            of(2, &at("01 0000000000000000 03000000 783d31")),
            "record 1: setting balancers is missing",
        ),
        (
            started("07 00"),
            "record 2: frame ends at byte 556 inside alarm at byte 555",
        ),
    ];
    for (input, message) in table {
        assert_eq!(error_of(&input), message);
    }
    let error = Adapter::default().answer(&[0; 16]).expect_err("no size");
    assert_eq!(error.to_string(), "frame says 0 bytes but has 16");
}
