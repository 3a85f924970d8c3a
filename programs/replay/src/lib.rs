//! Replays a dispatcher's recording through the core and reports the first output that differs.

use std::ffi::OsString;
use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_core::record::{read, replay, Difference};
use clap::Parser;

/// Replays recordings of dispatchers and compares each output with the recorded step.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-replay target/day/dispatch-1.rec\n\n\
    Exit codes: 0 all outputs alike, 1 one differs, 2 a recording cannot be used."
)]
struct Args {
    /// Recordings to replay.
    #[arg(required = true)]
    records: Vec<PathBuf>,
    /// Print every event that the decision module received, and its actions.
    #[arg(long)]
    trace: bool,
}

/// Runs the program with command-line arguments, the first of which is the program's name. Invalid arguments end the
/// process.
pub fn main_from(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let args = Args::parse_from(arguments);
    let mut exit_code = 0;
    for path in &args.records {
        exit_code = exit_code.max(replay_file(path, args.trace));
    }
    ExitCode::from(exit_code)
}

/// Replays one recording, prints the result, and returns the exit code.
pub fn replay_file(path: &PathBuf, trace: bool) -> u8 {
    let file_name = path.display();
    let opened = File::open(path).map_err(|e| e.to_string());
    let recorded = match opened.and_then(|f| read(f).map_err(|e| e.to_string())) {
        Ok(recorded) => recorded,
        Err(e) => {
            eprintln!("bitternlatch-replay: {file_name}: {e}");
            return 2;
        }
    };
    let result = match replay(&recorded, trace) {
        Ok(result) => result,
        Err(e) => {
            eprintln!("bitternlatch-replay: {file_name}: {e}");
            return 2;
        }
    };
    for step in &result.trace {
        println!("{:.6} {:?}", step.now_s, step.event);
        step.actions.iter().for_each(|a| println!("    {a:?}"));
    }
    if recorded.torn_bytes > 0 {
        println!(
            "{file_name}: the last {} bytes were written incompletely and are ignored",
            recorded.torn_bytes
        );
    }
    if result.steps == 0 {
        eprintln!(
            "bitternlatch-replay: {file_name}: contains no complete step; nothing was compared"
        );
        return 2;
    }
    match &result.difference {
        None => {
            println!(
                "{file_name}: {} steps, {} outputs, all alike",
                result.steps, result.outputs
            );
            0
        }
        Some(d) => {
            print_difference(&file_name.to_string(), d);
            1
        }
    }
}

fn print_difference(file_name: &str, d: &Difference) {
    println!(
        "{file_name}: step {} at {:.6} s, output {} differs",
        d.step,
        d.at.seconds(),
        d.output
    );
    println!("  input:    {:?}", d.input);
    println!("  recorded: {:?}", d.recorded);
    println!("  replayed: {:?}", d.replayed);
}
