//! Runs a quota server until SIGTERM or SIGINT.

use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_net::logs;
use bitternlatch_quota_server::{QuotaServer, Settings};
use clap::Parser;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Leases shares of the tenants' token rates to dispatchers and stores all their charges.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-quota-server --config deploy/quota-server.toml --check\n\n\
    Exit codes: 0 stopped by a signal, 2 could not run."
)]
struct Args {
    /// Settings file (TOML).
    #[arg(long)]
    config: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    logs::init();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bitternlatch-quota-server: {error}");
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
    let server = QuotaServer::start(&settings)?;
    tracing::info!(address = %server.address(), "lending");
    signals.forever().next();
    server.stop();
    Ok(())
}
