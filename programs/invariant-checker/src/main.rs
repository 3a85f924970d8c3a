//! Judges a bad day's captures again.

use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_invariant_checker::judge_dir;
use clap::Parser;

/// Judges the five rules from the frames that a day left.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-invariant-checker target/day/trouble\n\n\
    Exit codes: 0 all five rules held, 1 one was broken, 2 the captures cannot be read."
)]
struct Args {
    /// A folder with facts.json, clients.jsonl and hosts.jsonl.
    dir: PathBuf,
    /// Print the verdict as JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let verdict = match judge_dir(&args.dir) {
        Ok(verdict) => verdict,
        Err(e) => {
            eprintln!("bitternlatch-invariant-checker: {e}");
            return ExitCode::from(2);
        }
    };
    if args.json {
        println!(
            "{:#}",
            serde_json::json!({ "breaches": verdict.breaches, "service": verdict.service, "load": verdict.load })
        );
    } else {
        verdict
            .by_rule()
            .iter()
            .for_each(|(rule, n)| println!("{rule:?}: {n} breaches"));
        verdict
            .breaches
            .iter()
            .take(20)
            .for_each(|b| println!("  {:?} at {} us: {}", b.rule, b.t, b.what));
        println!("{:?} from {} frames", verdict.service, verdict.frames);
        verdict
            .load
            .lines()
            .iter()
            .for_each(|line| println!("{line}"));
    }
    ExitCode::from(u8::from(!verdict.breaches.is_empty()))
}
