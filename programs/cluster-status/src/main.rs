//! Shows the cluster status of dispatchers, and where the statuses differ.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bitternlatch_cluster_net::fetch_status;
use bitternlatch_cluster_status::{differences, fetch_all, table};
use clap::{Parser, Subcommand};

/// Shows the cluster status of dispatchers.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-cluster-status members --peer 127.0.0.1:7811 --all\n\nExit codes: 0 shown, \
    1 shown, but members differ, are unreachable or do not see the whole roster, 2 the peer did not answer."
)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the state of each member as a peer sees it, with the time and the evidence of the state.
    Members {
        /// Cluster address of a member.
        #[arg(long)]
        peer: SocketAddr,
        /// Query every member of the roster, and show where their statuses differ.
        #[arg(long)]
        all: bool,
        /// Print JSON instead of tables.
        #[arg(long)]
        json: bool,
        /// Timeout of the query of one member, seconds.
        #[arg(long, default_value_t = 2.0, value_parser = seconds)]
        within_s: f64,
    },
}

fn seconds(text: &str) -> Result<f64, String> {
    let value: f64 = text
        .parse()
        .map_err(|_| "expected a number of seconds".to_string())?;
    (0.01..=60.0)
        .contains(&value)
        .then_some(value)
        .ok_or("expected 0.01 to 60 seconds".to_string())
}

fn main() -> ExitCode {
    let Command::Members {
        peer,
        all,
        json,
        within_s,
    } = Args::parse().command;
    let timeout = Duration::from_secs_f64(within_s);
    let first = match fetch_status(peer, timeout) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("bitternlatch-cluster-status: {error}");
            return ExitCode::from(2);
        }
    };
    let statuses = if all {
        fetch_all(first, timeout)
    } else {
        vec![(first.name.clone(), Ok(first))]
    };
    let differing = differences(&statuses);
    if json {
        let statuses = statuses.iter().map(|(name, status)| match status {
            Ok(status) => (name.clone(), serde_json::json!(status)),
            Err(error) => (name.clone(), serde_json::json!({ "error": error })),
        });
        let views: serde_json::Map<String, serde_json::Value> = statuses.collect();
        println!(
            "{:#}",
            serde_json::json!({ "views": views, "differences": differing })
        );
    } else {
        for (name, status) in &statuses {
            match status {
                Ok(status) => println!("{}", table(status)),
                Err(error) => println!("{name} did not answer: {error}\n"),
            }
        }
        differing.iter().for_each(|line| println!("{line}"));
    }
    let is_degraded =
        |status: &Result<bitternlatch_cluster_net::ClusterStatus, String>| match status {
            Ok(status) => status.standing != "whole",
            Err(_) => true,
        };
    ExitCode::from(u8::from(
        !differing.is_empty() || statuses.iter().any(|v| is_degraded(&v.1)),
    ))
}
