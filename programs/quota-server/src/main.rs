//! Runs a ledger until it is told to stop.

use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_net::logs;
use bitternlatch_quota_server::{Running, Settings};
use clap::Parser;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Lends parts of tenants' rates to dispatchers and keeps all their charges.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-quota-server --config deploy/quota-server.toml --check\n\n\
    Exit codes: 0 stopped as told, 2 could not run."
)]
struct Args {
    /// The settings file (TOML).
    #[arg(long)]
    config: PathBuf,
    /// Check the settings and end.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    logs::init();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("bitternlatch-quota-server: {why}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let settings = Settings::read(&args.config)?;
    if args.check {
        println!(
            "{}: good; {} tenants",
            args.config.display(),
            settings.tenants.len()
        );
        return Ok(());
    }
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).map_err(|e| e.to_string())?;
    let running = Running::start(&settings)?;
    tracing::info!(address = %running.address(), "lending");
    signals.forever().next();
    running.stop();
    Ok(())
}
