//! The courier as a program: clients, endpoints, discovery and the platform on real sockets.

use std::process::ExitCode;

fn main() -> ExitCode {
    match stairshed_courier::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("stairshed: {fault}");
            ExitCode::FAILURE
        }
    }
}
