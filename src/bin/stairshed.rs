//! The courier as a program: clients, endpoints, discovery and the platform on real sockets.

use std::process::ExitCode;
use walnutshift::node;

fn main() -> ExitCode {
    match node::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("stairshed: {fault}");
            ExitCode::FAILURE
        }
    }
}
