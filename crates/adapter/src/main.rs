//! Runs the scheduler on the simulator's line protocol, from standard input to standard output.

use stairshed_adapter::Adapter;
use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic in the scheduler is reported by the protocol (`BUG`), so no backtrace is printed.
    std::panic::set_hook(Box::new(|_| {}));
    match Adapter::default().run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("stairshed-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
