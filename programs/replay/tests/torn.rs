//! Checks that a recording without any complete step fails the replay instead of passing as one without differences.

use std::path::PathBuf;

use bitternlatch_core::record::{Entry, Writer};
use bitternlatch_core::{Input, Machine, Micros, Settings};

#[test]
fn recording_without_a_complete_step_is_not_reported_as_alike() {
    let settings = include_str!("../../../deploy/dispatch.toml").to_string();
    let mut machine = Machine::new(
        Settings::parse("dispatch.toml", &settings).expect("settings"),
        1,
    );
    let mut writer = Writer::new(Vec::new()).expect("a record");
    writer
        .append(&Entry::Start { settings, seed: 1 })
        .expect("room");
    writer.flush().expect("written");
    for i in 0..3u64 {
        let (at, input, mut outputs) = (Micros(i), Input::Tick, Vec::new());
        machine.step(at, input.clone(), &mut outputs);
        writer
            .append(&Entry::Step { at, input, outputs })
            .expect("room");
    }
    writer.flush().expect("written");
    let data = writer.into_inner();
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("torn.rec");
    let code = |data: &[u8]| {
        std::fs::write(&path, data).expect("a file");
        bitternlatch_replay::replay_file(&path, false)
    };
    assert_eq!(code(&data), 0);
    assert_eq!(
        code(&data[..data.len() - 1]),
        2,
        "the only block of steps is torn"
    );
    assert_eq!(code(&data[..8]), 2, "not even a start");
    assert_eq!(code(&data[..12]), 2, "the start is torn");
}
