//! Prints a bill by tenant and request class from the journals of dispatchers.

use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_billing::{day_start_us, read_capture, read_journals, rows, Row};
use clap::{Parser, ValueEnum};

/// Makes bills for the tokens of tenants' requests.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-billing target/day/trouble/dispatch-1.charges --format csv\n\n\
    A journal can be read only while no dispatcher has it open.\n\
    Exit codes: 0 done, 1 entries contradict each other or the model servers' counts, 2 could not run."
)]
struct Args {
    /// Journals of charges; all are combined into one bill.
    #[arg(required = true)]
    journals: Vec<PathBuf>,
    /// First day of the bill, such as 2026-12-01; by default the bill starts with the oldest entry.
    #[arg(long)]
    from: Option<String>,
    /// Day after the last day of the bill; by default the bill ends with the newest entry.
    #[arg(long)]
    to: Option<String>,
    /// Time zone of the days.
    #[arg(long, default_value = "UTC")]
    zone: String,
    /// Output format of the bill.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Print the journal entries instead of the bill, one JSON object per line.
    #[arg(long)]
    entries: bool,
    /// Captures of model servers to reconcile the entries with.
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
        Err(error) => {
            eprintln!("bitternlatch-billing: {error}");
            ExitCode::from(2)
        }
    }
}

/// Prints the bill. Returns false if entries contradict each other or the model servers' counts.
fn run(args: &Args) -> Result<bool, String> {
    let (entries, contradictions) = read_journals(&args.journals)?;
    contradictions
        .iter()
        .for_each(|c| eprintln!("bitternlatch-billing: entries contradict each other: {c}"));
    let start_or = |day: &Option<String>, default: u64| {
        day.as_ref()
            .map_or(Ok(default), |d| day_start_us(d, &args.zone))
    };
    let (from, to) = (start_or(&args.from, 0)?, start_or(&args.to, u64::MAX)?);
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
        print_bill(&rows(&entries.bill(from, to)), args.format)?;
    }
    let mut is_consistent = contradictions.is_empty();
    for path in &args.reconcile {
        let found = read_capture(path)?.reconcile(&entries);
        eprintln!(
            "{}: {} equal to the servers' counts, {} possibly charged and within their bound, {} tokens of other attempts, {} mismatches",
            path.display(),
            found.equal,
            found.within,
            found.other_attempt_tokens,
            found.mismatches.len()
        );
        found.mismatches.iter().for_each(|f| eprintln!("  {f}"));
        is_consistent &= found.mismatches.is_empty();
    }
    Ok(is_consistent)
}

fn print_bill(rows: &[Row], format: Format) -> Result<(), String> {
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
