//! A bill by tenant and class from the journals of dispatchers.

use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_billing::{begin_of, counts, gather, rows, Row};
use clap::{Parser, ValueEnum};

/// Bills tenants for the tokens of their requests.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-billing target/day/trouble/dispatch-1.charges --format csv\n\n\
    A journal can be read while no dispatcher has it open.\n\
    Exit codes: 0 done, 1 entries contradict each other or the hosts' counts, 2 could not run."
)]
struct Args {
    /// Journals of charges; one bill is made of all.
    #[arg(required = true)]
    journals: Vec<PathBuf>,
    /// First day, as 2026-12-01; by default from the beginning.
    #[arg(long)]
    from: Option<String>,
    /// Day after the last one; by default to the end.
    #[arg(long)]
    to: Option<String>,
    /// Zone in which days begin.
    #[arg(long, default_value = "UTC")]
    zone: String,
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// The entries behind the bill, one JSON object a line, instead of it.
    #[arg(long)]
    entries: bool,
    /// Captures of hosts to hold the entries against.
    #[arg(long)]
    reconcile: Vec<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Table,
    Csv,
    Json,
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("bitternlatch-billing: {why}");
            ExitCode::from(2)
        }
    }
}

/// False where something does not add up.
fn run(args: &Args) -> Result<bool, String> {
    let (entries, contradictions) = gather(&args.journals)?;
    contradictions
        .iter()
        .for_each(|c| eprintln!("bitternlatch-billing: entries contradict each other: {c}"));
    let at = |day: &Option<String>, open: u64| {
        day.as_ref().map_or(Ok(open), |d| begin_of(d, &args.zone))
    };
    let (from, to) = (at(&args.from, 0)?, at(&args.to, u64::MAX)?);
    if args.entries {
        for entry in entries
            .latest()
            .filter(|e| (from..to).contains(&e.accepted_us))
        {
            println!(
                "{}",
                serde_json::to_string(entry).map_err(|e| e.to_string())?
            );
        }
    } else {
        print(&rows(&entries.bill(from, to)), args.format)?;
    }
    let mut held = contradictions.is_empty();
    for path in &args.reconcile {
        let found = counts(path)?.reconcile(&entries);
        eprintln!(
            "{}: {} as hosts counted, {} possibly and within their bound, {} tokens of other tries, {} at fault",
            path.display(),
            found.equal,
            found.within,
            found.other_tries,
            found.faults.len()
        );
        found.faults.iter().for_each(|f| eprintln!("  {f}"));
        held &= found.faults.is_empty();
    }
    Ok(held)
}

fn print(rows: &[Row], format: Format) -> Result<(), String> {
    match format {
        Format::Json => println!(
            "{}",
            serde_json::to_string_pretty(rows).map_err(|e| e.to_string())?
        ),
        Format::Csv => {
            let mut writer = csv::Writer::from_writer(std::io::stdout());
            rows.iter()
                .try_for_each(|r| writer.serialize(r))
                .map_err(|e| e.to_string())?;
            writer.flush().map_err(|e| e.to_string())?;
        }
        Format::Table => {
            println!(
                "{:<20} {:<16} {:>9} {:>12} {:>12} {:>9} {:>12}",
                "tenant", "class", "requests", "prompt", "output", "possibly", "up to tokens"
            );
            for r in rows {
                println!(
                    "{:<20} {:<16} {:>9} {:>12} {:>12} {:>9} {:>12}",
                    r.tenant,
                    r.class,
                    r.requests,
                    r.prompt_tokens,
                    r.output_tokens,
                    r.possibly_requests,
                    r.possibly_tokens
                );
            }
        }
    }
    Ok(())
}
