//! Plays seeded days of faults, several at a time, and prints each rule that was broken with the line that plays it again.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

use bitternlatch_soak::draw::Day;
use bitternlatch_soak::faults::Fault;
use bitternlatch_soak::play::{play, Played};
use bitternlatch_soak::process::AS_DISPATCHER;
use clap::Parser;

/// Plays days of faults on the platform over real processes, and judges them from outside.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-soak --seeds 50 --processes 3 --parallel 4\n\n\
    Exit codes: 0 all rules held, 1 one was broken, 2 could not run."
)]
struct Args {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from the first on.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Dispatchers in a day.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=20))]
    processes: u64,
    /// Classes of faults, with commas between; drawn by the seed where none is named.
    #[arg(long, value_delimiter = ',')]
    faults: Vec<Fault>,
    /// Seconds of a day.
    #[arg(long, default_value_t = 20.0, value_parser = length)]
    length: f64,
    /// Dispatchers are told that servers start warm, which can do next to nothing at first: the judge has to find it.
    #[arg(long)]
    without_slow_start: bool,
    /// Days at a time.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    parallel: u64,
    /// Folder for configurations, logs and the records of broken days.
    #[arg(long, default_value = "target/soak")]
    out: PathBuf,
}

fn length(text: &str) -> Result<f64, String> {
    let length: f64 = text
        .parse()
        .map_err(|_| format!("'{text}' is no number of seconds"))?;
    Some(length)
        .filter(|l| (5.0..=300.0).contains(l))
        .ok_or_else(|| format!("{length} is not from 5 to 300 s"))
}

/// Broken rules of a day that are printed one by one.
const MAX_PRINTED: usize = 8;

fn main() -> ExitCode {
    let mut words = std::env::args_os();
    if std::env::args_os()
        .nth(1)
        .is_some_and(|w| w == AS_DISPATCHER)
    {
        let program = words.next().into_iter();
        return bitternlatch_dispatch::main_from(program.chain(words.skip(1)));
    }
    let args = Args::parse();
    match soak(&args) {
        Ok(broken) => ExitCode::from(u8::from(broken > 0)),
        Err(why) => {
            eprintln!("bitternlatch-soak: {why}");
            ExitCode::from(2)
        }
    }
}

/// Plays all days; gives how many broke a rule.
fn soak(args: &Args) -> Result<usize, String> {
    let next = AtomicU64::new(args.seed);
    let broken = Mutex::new(0);
    let fault = Mutex::new(None);
    thread::scope(|scope| {
        for _ in 0..args.parallel {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= args.seed + args.seeds || fault.lock().is_ok_and(|f| f.is_some()) {
                    return;
                }
                let mut day = Day::draw(seed, args.processes as usize, args.length, &args.faults);
                if args.without_slow_start {
                    day.turn_slow_start_off();
                }
                match play_in(&args.out, &day) {
                    Ok(played) => {
                        let bad = !played.breaks.is_empty() || !played.never_injected.is_empty();
                        broken
                            .lock()
                            .into_iter()
                            .for_each(|mut n| *n += usize::from(bad));
                        report(&day, &played);
                    }
                    Err(why) => fault
                        .lock()
                        .into_iter()
                        .for_each(|mut f| *f = Some(why.clone())),
                }
            });
        }
    });
    if let Some(why) = fault.into_inner().unwrap_or_default() {
        return Err(why);
    }
    let broken = broken.into_inner().unwrap_or_default();
    println!("{} days, {broken} with a rule broken", args.seeds);
    Ok(broken)
}

fn play_in(out: &Path, day: &Day) -> Result<Played, String> {
    let folder = out.join(format!("{}-{}", day.processes, day.seed));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    play(day, &folder)
}

fn report(day: &Day, played: &Played) {
    let verdict = if played.breaks.is_empty() {
        "held"
    } else {
        "BROKEN"
    };
    let (requests, served, unserved) = (played.requests, played.served, played.unserved);
    let cold = match played.cold_starts {
        0 => String::new(),
        starts => format!(
            ", {starts} cold starts, {} fell, peak {:.2}",
            played.falls, played.cold_peak
        ),
    };
    println!(
        "{verdict}: {requests} requests, {served} served, {unserved} refused or failed{cold}: {}",
        day.command()
    );
    played
        .breaks
        .iter()
        .take(MAX_PRINTED)
        .for_each(|b| println!("    {b}"));
    if played.breaks.len() > MAX_PRINTED {
        println!("    and {} more", played.breaks.len() - MAX_PRINTED);
    }
    if !played.breaks.is_empty() {
        println!("    {}", played.machine);
    }
    if !played.never_injected.is_empty() {
        println!("    never injected: {}", played.never_injected.join(", "));
    }
}
