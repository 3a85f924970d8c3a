//! Plays a scripted bad day beside the same day without trouble, judges both, and prints a table.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bitternlatch_chaos::agents::{work, AS_WORKER};
use bitternlatch_chaos::day::Day;
use bitternlatch_chaos::process::AS_DISPATCHER;
use bitternlatch_chaos::run::{run, Outcome};
use bitternlatch_invariant_checker::quantile;
use clap::Parser;

/// Starts hosts and dispatchers, plays clients and troubles, and judges the five rules from the sockets.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-chaos deploy/scenarios/overlapping-faults.toml --out target/day\n\n\
    Exit codes: 0 all five rules held, 1 one was broken or a record did not replay, 2 could not run."
)]
struct Args {
    /// The day's script (TOML).
    day: PathBuf,
    /// Folder for captures, records, logs and report.json.
    #[arg(long)]
    out: PathBuf,
    /// Leave out the same day without trouble.
    #[arg(long)]
    no_calm: bool,
    /// In place of the day's own seed.
    #[arg(long)]
    seed: Option<u64>,
}

fn main() -> ExitCode {
    let mut words = std::env::args_os();
    if std::env::args_os()
        .nth(1)
        .is_some_and(|w| w == AS_DISPATCHER)
    {
        let program = words.next().into_iter();
        return bitternlatch_dispatch::main_from(program.chain(words.skip(1)));
    }
    if let (Some(word), Some(brief)) = (std::env::args_os().nth(1), std::env::args_os().nth(2)) {
        if word == AS_WORKER {
            return work(Path::new(&brief));
        }
    }
    let args = Args::parse();
    bitternlatch_net::logs::init();
    match play(&args) {
        Ok(held) => ExitCode::from(u8::from(!held)),
        Err(why) => {
            eprintln!("bitternlatch-chaos: {why}");
            ExitCode::from(2)
        }
    }
}

fn play(args: &Args) -> Result<bool, String> {
    let image = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
    let mut day = Day::read(&args.day)?;
    day.seed = args.seed.unwrap_or(day.seed);
    let base = args.day.parent().unwrap_or(Path::new("")).to_path_buf();
    let mut days = Vec::new();
    if !args.no_calm {
        days.push((
            "calm",
            run(&day.calm(), &base, &args.out.join("calm"), &image)?,
        ));
    }
    days.push((
        "trouble",
        run(&day, &base, &args.out.join("trouble"), &image)?,
    ));
    println!(
        "{} dispatchers, {} hosts, {} requests a second for {} s",
        day.dispatchers.count,
        day.hosts.len(),
        day.rate_rps,
        day.for_s
    );
    println!("troubles: {}", day.troubles().join(", "));
    print(&days);
    let secured = |o: &Outcome| o.secured.as_ref().is_none_or(|s| s.held());
    let held = days.iter().all(|(_, o)| {
        o.verdict.breaches.is_empty()
            && o.records_alike == o.records
            && secured(o)
            && o.views.is_empty()
    });
    let report = report(&day, &days, held);
    let path = args.out.join("report.json");
    std::fs::write(&path, format!("{report:#}\n"))
        .map_err(|e| format!("{}: {e}", path.display()))?;
    println!(
        "{}",
        if held {
            "all rules held"
        } else {
            "NOT HELD: see report.json"
        }
    );
    Ok(held)
}

fn print(days: &[(&str, Outcome)]) {
    println!(
        "{:<8} {:>6} {:>6} {:>7} {:>7} {:>6} {:>7} {:>6} {:>9} {:>9} {:>8} {:>9}",
        "day",
        "asked",
        "tries",
        "served",
        "refused",
        "failed",
        "cut off",
        "worth",
        "ttft p50",
        "ttft p99",
        "breaches",
        "records"
    );
    for (name, o) in days {
        let s = &o.verdict.service;
        println!(
            "{name:<8} {:>6} {:>6} {:>7} {:>7} {:>6} {:>7} {:>6.3} {:>7.0}ms {:>7.0}ms {:>8} {:>9}",
            s.asked,
            s.tries,
            s.served,
            s.refused,
            s.failed,
            s.cut_off,
            s.worth,
            quantile(&o.verdict.ttft_s, 0.5) * 1e3,
            quantile(&o.verdict.ttft_s, 0.99) * 1e3,
            o.verdict.breaches.len(),
            format!("{}/{}", o.records_alike, o.records)
        );
    }
    for (name, o) in days.iter().filter(|(_, o)| o.verdict.workflows.planned > 0) {
        println!(
            "{name}: {} troubles drawn, {:?}",
            o.drawn, o.verdict.workflows
        );
    }
    for (name, o) in days {
        for (rule, n) in o.verdict.by_rule().iter().filter(|r| *r.1 > 0) {
            println!("{name}: {rule:?} broken {n} times");
        }
        if let Some(s) = &o.secured {
            println!("{name}: {s:?}");
        }
        o.verdict
            .load
            .lines()
            .iter()
            .for_each(|line| println!("{name}: {line}"));
        println!("{name}: {}", o.machine);
        o.views.iter().for_each(|view| println!("{name}: {view}"));
        o.verdict
            .breaches
            .iter()
            .take(10)
            .for_each(|b| println!("  {}", b.what));
    }
}

fn report(day: &Day, days: &[(&str, Outcome)], held: bool) -> serde_json::Value {
    let one = |o: &Outcome| {
        serde_json::json!({
            "breaches": o.verdict.breaches,
            "service": o.verdict.service,
            "workflows": o.verdict.workflows,
            "troubles_drawn": o.drawn,
            "ttft_p50_s": quantile(&o.verdict.ttft_s, 0.5),
            "ttft_p99_s": quantile(&o.verdict.ttft_s, 0.99),
            "load": o.verdict.load,
            "frames": o.verdict.frames,
            "records": o.records,
            "records_alike": o.records_alike,
            "replayed_steps": o.replayed_steps,
            "dispatchers_ended_in_order": o.orderly,
            "secured": o.secured,
            "views": o.views,
        })
    };
    let days: serde_json::Map<String, serde_json::Value> = days
        .iter()
        .map(|(name, o)| (name.to_string(), one(o)))
        .collect();
    serde_json::json!({
        "held": held,
        "troubles": day.troubles(),
        "dispatchers": day.dispatchers.count,
        "hosts": day.hosts.len(),
        "rate_rps": day.rate_rps,
        "for_s": day.for_s,
        "days": days,
    })
}
