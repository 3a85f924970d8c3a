//! Runs stand-in model hosts until it is told to stop.

use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_mock_engine::capture::Capture;
use bitternlatch_mock_engine::{Config, Standins};
use clap::Parser;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Stand-in model hosts on loopback sockets, with faults by script.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-mock-engine --config deploy/mock-engine.toml --capture target/hosts.jsonl\n\n\
    Exit codes: 0 stopped as told, 2 could not run."
)]
struct Args {
    #[arg(long)]
    config: PathBuf,
    /// Write every frame that passes to this file (JSON Lines).
    #[arg(long)]
    capture: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    bitternlatch_net::logs::init();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("bitternlatch-mock-engine: {why}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let shown = args.config.display();
    let text = std::fs::read_to_string(&args.config).map_err(|e| format!("{shown}: {e}"))?;
    let config = Config::parse(&text).map_err(|e| format!("{shown}: {e}"))?;
    let capture = match &args.capture {
        None => Capture::none(),
        Some(path) => Capture::file(path).map_err(|e| format!("{}: {e}", path.display()))?,
    };
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).map_err(|e| e.to_string())?;
    let hosts = Standins::start(config, capture.clone()).map_err(|e| e.to_string())?;
    for (name, address) in hosts.addresses() {
        println!("{name} {address}");
    }
    signals.forever().next();
    hosts.stop();
    capture.settle();
    Ok(())
}
