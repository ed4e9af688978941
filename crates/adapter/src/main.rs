//! Hosts the decision module on the bench's line protocol: standard input in, standard output out.

use stairshed_adapter::Host;
use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic in the module is told on the wire as a fault, so no trace is printed for it.
    std::panic::set_hook(Box::new(|_| {}));
    match Host::default().run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("stairshed-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
