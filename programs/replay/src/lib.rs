//! Steps the core through a dispatcher's record and names the first output that differs.

use std::ffi::OsString;
use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_core::record::{read, replay, Difference};
use clap::Parser;

/// Steps a recorded dispatcher again and compares each output.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-replay target/day/dispatch-1.rec\n\n\
    Exit codes: 0 all outputs alike, 1 one differs, 2 the record cannot be used."
)]
struct Args {
    /// Records to replay.
    #[arg(required = true)]
    records: Vec<PathBuf>,
    /// Print every event that the decision module was told, and its actions.
    #[arg(long)]
    trace: bool,
}

/// Runs the program on its words, its name first; ends the process on words that are wrong.
pub fn main_from(words: impl Iterator<Item = OsString>) -> ExitCode {
    let args = Args::parse_from(words);
    let mut worst = 0;
    for path in &args.records {
        worst = worst.max(one(path, args.trace));
    }
    ExitCode::from(worst)
}

/// Replays one record, prints what was found, and gives the exit code.
pub fn one(path: &PathBuf, trace: bool) -> u8 {
    let shown = path.display();
    let opened = File::open(path).map_err(|e| e.to_string());
    let recorded = match opened.and_then(|f| read(f).map_err(|e| e.to_string())) {
        Ok(recorded) => recorded,
        Err(e) => {
            eprintln!("bitternlatch-replay: {shown}: {e}");
            return 2;
        }
    };
    let found = match replay(&recorded, trace) {
        Ok(found) => found,
        Err(e) => {
            eprintln!("bitternlatch-replay: {shown}: {e}");
            return 2;
        }
    };
    for one in &found.trace {
        println!("{:.6} {:?}", one.now_s, one.event);
        one.actions.iter().for_each(|a| println!("    {a:?}"));
    }
    if recorded.torn_bytes > 0 {
        println!(
            "{shown}: the last {} bytes were torn and are left out",
            recorded.torn_bytes
        );
    }
    if found.steps == 0 {
        eprintln!("bitternlatch-replay: {shown}: holds no whole step; nothing was compared");
        return 2;
    }
    match &found.difference {
        None => {
            println!(
                "{shown}: {} steps, {} outputs, all alike",
                found.steps, found.outputs
            );
            0
        }
        Some(d) => {
            print_difference(&shown.to_string(), d);
            1
        }
    }
}

fn print_difference(shown: &str, d: &Difference) {
    println!(
        "{shown}: step {} at {:.6} s, output {} differs",
        d.step,
        d.at.seconds(),
        d.output
    );
    println!("  input:    {:?}", d.input);
    println!("  recorded: {:?}", d.recorded);
    println!("  replayed: {:?}", d.replayed);
}
