//! Checks that the adapter makes the same decisions as the platform's node on the same events.
#[path = "../../../crates/platform/tests/common/mod.rs"]
mod common;

use bitternlatch_platform::types::Input;
use bitternlatch_policy::interface::Event;
use bitternlatch_simulator_adapter::encode::{at, event_records, frame, start_record};
use bitternlatch_simulator_adapter::wire::{encode_reply, Adapter};
use common::*;

/// The test harness's settings in the format of the simulator's protocol.
const SETTINGS: &str = "balancers=2\nclasses.count=2\nclasses.0.effect=free\nclasses.0.aimS=1.5\n\
classes.0.deadlineS=6.0\nclasses.0.worth=1.0\nclasses.0.lateWorth=0.3\nclasses.1.effect=single_shot\n\
classes.1.aimS=2.5\nclasses.1.deadlineS=12.0\nclasses.1.worth=2.0\nclasses.1.lateWorth=0.2\n\
contract.overloadFactor=2.5\ncontract.startCapacity=0.25\ncontract.fallS=3.0\ncontract.warmAfterS=14.0\n\
extra.kindRole=read,write\nextra.pinLimitS=1.0\nextra.resume=true\nextra.aimUsPer1000PromptTokens=40000,120000\n\
extra.tokenAimS=0.07,0.08\nextra.kindMemoryTokens=200000,150000\nextra.localRead=true\n\
extra.reportX0=share_of_memory\nlocality=0\nmembershipMode=pushed\ntickS=0.002\nlimits.maxAttempts=4\n\
limits.cancel=true\nlimits.probing=true\nlimits.maxRetryAfterS=2.0\nreport.how=inline\n\
report.fields=load_share,depth,x0\nextra.unseenReadsRun=true";

/// Runs 40 requests through a node: some complete, some fail at the server, some are cancelled by the client, some get no
/// answer.
fn run_requests() -> Harness {
    let mut harness = Harness::with_tracing();
    harness.load = "util=0.125,queue=1,x0=0.25";
    for i in 0..40 {
        let client = harness.send_request(&format!("d{i}"), ["ask", "book"][i % 2]);
        match i % 8 {
            5 => harness.step(Input::Ended { conn: client }),
            6 => harness.advance(5.0),
            _ => {
                harness.complete_prefill();
                let decode_conn = harness.last_call(Call::is_decode).conn;
                match i % 8 {
                    3 => harness.receive_text(decode_conn, &plain_response("500 Oops", "", "")),
                    4 => harness.step(Input::Ended { conn: decode_conn }),
                    _ => {
                        harness.advance(0.25);
                        harness.receive_text(
                            decode_conn,
                            &format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&stream_event("one"))),
                        );
                    }
                }
            }
        }
        harness.advance(0.125);
    }
    harness
}

#[test]
fn node_and_adapter_make_the_same_decisions() {
    let mut harness = run_requests();
    let trace = harness.node.take_trace();
    assert!(trace.len() > 300, "{} events", trace.len());
    let mut adapter = Adapter::default();
    let start = start_record(0x1f, SETTINGS);
    adapter
        .answer(&frame(1.0, &[at(3), start.clone()]))
        .expect("a start");
    let mut other = Adapter::default();
    let other_start = start_record(0x20, SETTINGS);
    other
        .answer(&frame(1.0, &[at(3), other_start]))
        .expect("a start");
    let (mut actions, mut differ) = (0, 0);
    // The simulator gives an instance its list at once, and has no event for a list that is pending.
    let is_pending = |event: &Event| *event == Event::EndpointListPending;
    assert_eq!(
        trace.iter().filter(|step| is_pending(&step.event)).count(),
        1
    );
    let on_the_wire = trace.iter().filter(|step| !is_pending(&step.event));
    for (i, step) in on_the_wire.enumerate() {
        let (list, event) = event_records(&step.event).expect("an event of the protocol");
        let records: Vec<Vec<u8>> = list.into_iter().chain([at(3), event]).collect();
        let batch = frame(step.now_s, &records);
        let expected = encode_reply(3, &step.actions);
        assert_eq!(
            adapter.answer(&batch).expect("an answer"),
            expected,
            "event {i}: {:?}",
            step.event
        );
        differ += usize::from(other.answer(&batch).is_ok_and(|reply| reply != expected));
        actions += step.actions.len();
    }
    assert!(actions > 300, "{actions} actions compared");
    assert!(
        differ > 0,
        "with another seed some decision differs, so that the comparison can fail"
    );
}
