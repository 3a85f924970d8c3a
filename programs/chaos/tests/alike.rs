//! One record of a dispatcher that served: every program that decides gives the same outputs for its inputs.
mod common;

use std::fs::File;
use std::path::PathBuf;

use bitternlatch_core::record::{read, replay, Entry, Recorded};
use bitternlatch_core::Machine;
use bitternlatch_policy::interface::*;
use bitternlatch_simulator_adapter::encode::{at, event_records, frame, start_record};
use bitternlatch_simulator_adapter::wire::{encode_reply, Adapter};
use common::{create, final_kind, rig, FOUR};

const INSTANCE: u16 = 3;

/// The record of a dispatcher that has served, failed and drained.
fn recorded() -> (PathBuf, Recorded) {
    let rig = rig("alike", FOUR, 1, |_| {});
    for i in 0..30 {
        let client = rig.client(0);
        let class = ["slot-query", "season-booking"][i % 2];
        client.say(&create(
            class,
            &format!("k{i}"),
            &format!("{} [len=3]", "words ".repeat(40 * (1 + i % 3))),
        ));
        final_kind(&client);
        match i {
            10 => rig.standins().trouble(
                "writer-1",
                bitternlatch_mock_engine::config::Trouble::Crash,
                1.0,
                0.3,
            ),
            15 => rig.write_list(&["reader-1"]),
            _ => {}
        }
    }
    let path = rig.dir.join("dispatch-1.1.rec");
    rig.end();
    let recorded = read(File::open(&path).expect("a record")).expect("a good record");
    (path, recorded)
}

#[test]
fn the_dispatcher_the_replay_and_the_drill_decide_alike() {
    let (path, recorded) = recorded();
    assert_eq!(recorded.torn_bytes, 0);
    assert_eq!(
        bitternlatch_replay::replay_file(&path, false),
        0,
        "the replay program finds no difference"
    );
    let found = replay(&recorded, true).expect("replays");
    assert!(
        found.difference.is_none() && found.trace.len() > 100,
        "{} events",
        found.trace.len()
    );

    let Entry::Start { settings, seed } = &recorded.entries[0] else {
        panic!("a start")
    };
    let settings = bitternlatch_core::Settings::parse("record", settings)
        .expect("settings")
        .policy();
    let mut adapter = Adapter::default();
    let start = start_record(Machine::router_seed(*seed), &facts(&settings));
    adapter
        .answer(&frame(1.0, &[at(INSTANCE), start]))
        .expect("a start");
    let mut actions = 0;
    for (i, one) in found.trace.iter().enumerate() {
        let (list, event) = event_records(&one.event).expect("the core tells nothing else");
        let records: Vec<Vec<u8>> = list.into_iter().chain([at(INSTANCE), event]).collect();
        let reply = adapter
            .answer(&frame(one.now_s, &records))
            .expect("an answer");
        assert_eq!(
            reply,
            encode_reply(INSTANCE, &one.actions),
            "event {i}: {:?}",
            one.event
        );
        actions += one.actions.len();
    }
    assert!(actions > 100, "{actions} actions compared");

    // The comparison can fail: another seed decides otherwise somewhere.
    let mut other = recorded;
    if let Entry::Start { seed, .. } = &mut other.entries[0] {
        *seed ^= 1;
    }
    assert!(replay(&other, false).expect("replays").difference.is_some());
}

/// The settings in the words of the simulator's wire.
fn facts(s: &Settings) -> String {
    let mut lines = vec![
        format!("balancers={}", s.dispatchers),
        format!("locality={}", s.zone),
        format!("classes.count={}", s.classes.len()),
        "report.how=inline".to_string(),
        "report.fields=load_share,depth,x0".to_string(),
        "extra.reportX0=share of its memory held".to_string(),
        format!("contract.startCapacity={}", s.slow_start.start_capacity),
        format!("contract.overloadFactor={}", s.slow_start.overload_factor),
        format!("contract.fallS={}", s.slow_start.window_s),
        format!("contract.warmAfterS={}", s.slow_start.warm_after_s),
        format!("limits.maxAttempts={}", s.limits.max_attempts),
        format!("limits.cancel={}", s.limits.may_cancel),
        format!("limits.probing={}", s.limits.may_probe),
        format!("limits.maxRetryAfterS={}", s.limits.max_retry_after_s),
        format!("extra.pinLimitS={}", s.kv_hold_limit_s),
        format!("tickS={}", s.tick_s),
        "membershipMode=push".to_string(),
        "extra.kindRole=read,write".to_string(),
    ];
    let memory: Vec<String> = s
        .kinds
        .iter()
        .map(|k| k.memory_tokens.to_string())
        .collect();
    lines.push(format!("extra.kindMemoryTokens={}", memory.join(",")));
    let per_k: Vec<String> = s
        .classes
        .iter()
        .map(|c| (c.ttft_objective_per_token_s * 1e9).round().to_string())
        .collect();
    let gaps: Vec<String> = s
        .classes
        .iter()
        .map(|c| c.inter_token_objective_s.to_string())
        .collect();
    lines.push(format!(
        "extra.aimUsPer1000PromptTokens={}",
        per_k.join(",")
    ));
    lines.push(format!("extra.tokenAimS={}", gaps.join(",")));
    for (i, c) in s.classes.iter().enumerate() {
        let effect = if c.effect == Effect::Idempotent {
            "free"
        } else {
            "single_shot"
        };
        lines.push(format!("classes.{i}.effect={effect}"));
        lines.push(format!("classes.{i}.aimS={}", c.ttft_objective_s));
        lines.push(format!("classes.{i}.deadlineS={}", c.deadline_s));
        lines.push(format!("classes.{i}.worth={}", c.priority_weight));
        lines.push(format!("classes.{i}.lateWorth={}", c.late_weight_fraction));
    }
    lines.join("\n")
}
