//! Measures the dispatcher in one run on one machine, each figure beside the plainest thing that could do the work.

mod beside;
mod charges;
mod cluster;
mod decision;
mod engines;
mod filled;
mod latency;
mod lengths;
mod members;
mod overload;
mod plot;
mod relay;
mod rig;
mod secured;
mod sessions;
mod steps;
mod workflows;

use std::process::ExitCode;

use bitternlatch_chaos::process::AS_DISPATCHER;
use clap::{Parser, Subcommand};

/// The word that turns this program into a bare relay.
const AS_RELAY: &str = "--as-relay";

/// Measures what the dispatcher adds.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  cargo run --release --bin bitternlatch-benchmark -- latency\n\n\
    Exit codes: 0 measured, 2 could not run."
)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Time to first token and between tokens, against a client that talks to the hosts itself.
    Latency {
        #[arg(long, default_value_t = 200)]
        requests: usize,
    },
    /// Tokens relayed a second, against a bare two-thread relay of the same WebSocket library.
    Relay {
        #[arg(long, default_value_t = 200_000)]
        tokens: usize,
        /// Answers side by side, each in a session of its own.
        #[arg(long, default_value_t = 1)]
        streams: usize,
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Sessions held open, and memory for each.
    Sessions {
        #[arg(long, default_value_t = 5000)]
        count: usize,
    },
    /// TLS and callers against plain sessions: handshakes, first token, memory; tokens checked a second.
    Secured {
        #[arg(long, default_value_t = 200)]
        requests: usize,
        #[arg(long, default_value_t = 2000)]
        sessions: usize,
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Charges kept a second against bare writes, recovery, a budget's decision.
    Charges {
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// CPU time of one decision.
    Decision,
    /// First token, memory and processor time with `[cluster]` and without, among so many members on sockets.
    Cluster {
        #[arg(long, default_value_t = 3)]
        members: usize,
        #[arg(long, default_value_t = 200)]
        requests: usize,
    },
    /// Steps of workflows beside plain requests: added before a host is asked, a second, late steps beside early ones, takeovers.
    Workflows {
        /// Steps, and plain requests, of each comparison.
        #[arg(long, default_value_t = 300)]
        steps: usize,
        #[arg(long, default_value_t = 10)]
        kills: usize,
    },
    /// First token and memory of three that know each other, with all machines beside the plane on and off.
    Beside {
        #[arg(long, default_value_t = 300)]
        requests: usize,
    },
    /// What is answered in time as more is asked, with overload control off and on by turns; from the root, as it reads deploy/.
    Overload {
        #[arg(long, value_delimiter = ',', default_value = "60,120,240,480,900")]
        rates: Vec<f64>,
        #[arg(long, default_value_t = 15.0)]
        for_s: f64,
        #[arg(long, default_value_t = 4)]
        dispatchers: usize,
        /// Seconds that clients wait at the most, though told to wait for longer.
        #[arg(long, default_value_t = 2.0)]
        waits_most_s: f64,
        #[arg(long)]
        off_only: bool,
    },
    /// Answers thrown out of nearly full writers, and worth in time, with `[cluster.lengths]` off and on.
    Engines {
        /// Share of the writers' memory that is asked for.
        #[arg(long, default_value_t = 0.9)]
        fill: f64,
        /// Seconds of each run; the first 30 do not count.
        #[arg(long, default_value_t = 100.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        rounds: u64,
        /// Tokens that each answer is allowed.
        #[arg(long, default_value_t = 4096)]
        ceiling: u32,
        /// In simulated time, with lengths known as well as they can be.
        #[arg(long)]
        simulated: bool,
        /// In place of that: what a step costs, with so many engines.
        #[arg(long)]
        cost: Option<usize>,
    },
    /// Lengths of answers in simulated time: coverage, loss, restarts, bytes, cost.
    Lengths {
        #[arg(long, default_value_t = 12)]
        members: usize,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Membership in simulated time: failures missed, halves healed, living ones removed, bytes.
    Members {
        #[arg(long, value_delimiter = ',', default_value = "3,10,100,300")]
        sizes: Vec<usize>,
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Seconds of loss in each run.
        #[arg(long, default_value_t = 60)]
        lossy_s: u64,
        /// Leaves out loss of 30 of 100, which takes long at 300 members.
        #[arg(long)]
        light: bool,
        /// Also draws when failures were missed and halves agreed, into this folder.
        #[arg(long)]
        svg: Option<std::path::PathBuf>,
    },
}

fn main() -> ExitCode {
    let words: Vec<_> = std::env::args_os().collect();
    if words.get(1).is_some_and(|w| w == AS_DISPATCHER) {
        let rest = words.iter().take(1).chain(words.iter().skip(2)).cloned();
        return bitternlatch_dispatch::main_from(rest);
    }
    let done = match words.get(1).is_some_and(|w| w == AS_RELAY) {
        true => relay::bare(words.get(2).and_then(|w| w.to_str()).unwrap_or_default()),
        false => match Args::parse().what {
            What::Latency { requests } => latency::measure(requests),
            What::Relay {
                tokens,
                streams,
                rounds,
            } => relay::measure(tokens, streams, rounds),
            What::Sessions { count } => sessions::measure(count),
            What::Secured {
                requests,
                sessions,
                rounds,
            } => secured::measure(requests, sessions, rounds),
            What::Charges { rounds } => charges::measure(rounds),
            What::Decision => {
                decision::measure();
                Ok(())
            }
            What::Cluster { members, requests } => cluster::measure(members, requests),
            What::Workflows { steps, kills } => workflows::measure(steps, kills),
            What::Beside { requests } => beside::measure(requests),
            What::Engines {
                cost: Some(engines),
                ..
            } => steps::cost(engines),
            What::Engines {
                simulated: true,
                fill,
                seconds,
                rounds,
                ceiling,
                ..
            } => filled::measure(fill, seconds, rounds, ceiling),
            What::Engines {
                fill,
                seconds,
                rounds,
                ceiling,
                ..
            } => engines::measure(fill, seconds, rounds, ceiling),
            What::Overload {
                rates,
                for_s,
                dispatchers,
                waits_most_s,
                off_only,
            } => overload::measure(&overload::Wanted {
                rates: &rates,
                for_s,
                dispatchers,
                waits_most_s,
                off_only,
            }),
            What::Lengths { members, seeds } => {
                lengths::measure(members, seeds);
                Ok(())
            }
            What::Members {
                sizes,
                seeds,
                lossy_s,
                light,
                svg,
            } => {
                let losses = if light {
                    &members::LOSSES[..1]
                } else {
                    &members::LOSSES
                };
                members::measure(&sizes, seeds, (lossy_s, losses), svg.as_deref())
            }
        },
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("bitternlatch-benchmark: {why}");
            ExitCode::from(2)
        }
    }
}
