//! A record of which nothing is left is no good record.

use std::path::PathBuf;

use bitternlatch_core::record::{Entry, Writer};
use bitternlatch_core::{Input, Machine, Micros, Settings};

#[test]
fn a_record_without_a_whole_step_is_not_called_alike() {
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
        bitternlatch_replay::one(&path, false)
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
