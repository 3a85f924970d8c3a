//! Runs many routers behind the simulator's protocol: reads event batches from standard input, writes replies to
//! standard output.

use std::io::{stdin, stdout, BufReader};
use std::process::ExitCode;

fn main() -> ExitCode {
    match bitternlatch_simulator_adapter::wire::serve(
        BufReader::with_capacity(1 << 16, stdin().lock()),
        stdout().lock(),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bitternlatch-simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}
