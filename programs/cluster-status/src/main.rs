//! Shows what dispatchers know of each other, and where they differ.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bitternlatch_cluster_net::fetch_status;
use bitternlatch_cluster_status::{differences, gather, table};
use clap::{Parser, Subcommand};

/// Shows what dispatchers know of each other.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-cluster-status members --peer 127.0.0.1:7811 --all\n\nExit codes: 0 shown, \
    1 shown and members differ or are not there, 2 the peer could not be asked."
)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Each member as a peer sees it, since when and on what evidence.
    Members {
        /// A member's address for peers.
        #[arg(long)]
        peer: SocketAddr,
        /// Ask every member that it names, and show where views differ.
        #[arg(long)]
        all: bool,
        #[arg(long)]
        json: bool,
        /// Longest wait for one member, seconds.
        #[arg(long, default_value_t = 2.0, value_parser = seconds)]
        within_s: f64,
    },
}

fn seconds(text: &str) -> Result<f64, String> {
    let value: f64 = text
        .parse()
        .map_err(|_| "a number of seconds is expected".to_string())?;
    (0.01..=60.0)
        .contains(&value)
        .then_some(value)
        .ok_or("0.01 to 60 are expected".to_string())
}

fn main() -> ExitCode {
    let What::Members {
        peer,
        all,
        json,
        within_s,
    } = Args::parse().what;
    let within = Duration::from_secs_f64(within_s);
    let first = match fetch_status(peer, within) {
        Ok(shown) => shown,
        Err(why) => {
            eprintln!("bitternlatch-cluster-status: {why}");
            return ExitCode::from(2);
        }
    };
    let views = if all {
        gather(first, within)
    } else {
        vec![(first.name.clone(), Ok(first))]
    };
    let differ = differences(&views);
    if json {
        let views = views.iter().map(|(name, view)| match view {
            Ok(view) => (name.clone(), serde_json::json!(view)),
            Err(why) => (name.clone(), serde_json::json!({ "error": why })),
        });
        let views: serde_json::Map<String, serde_json::Value> = views.collect();
        println!(
            "{:#}",
            serde_json::json!({ "views": views, "differences": differ })
        );
    } else {
        for (name, view) in &views {
            match view {
                Ok(view) => println!("{}", table(view)),
                Err(why) => println!("{name} did not answer: {why}\n"),
            }
        }
        differ.iter().for_each(|line| println!("{line}"));
    }
    let away = |view: &Result<bitternlatch_cluster_net::ClusterStatus, String>| match view {
        Ok(shown) => shown.standing != "whole",
        Err(_) => true,
    };
    ExitCode::from(u8::from(
        !differ.is_empty() || views.iter().any(|v| away(&v.1)),
    ))
}
