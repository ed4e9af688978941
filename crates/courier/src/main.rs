//! The `stairshed` command: the courier, and tools for its journal.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

mod journal_tool;

/// A courier: takes messages, delivers each to an endpoint of its destination, or says truthfully that it
/// did not.
#[derive(Parser)]
#[command(name = "stairshed", version)]
struct Cli {
    /// The operator's settings; without it each has its default.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Looks at the journal of a courier that does not run.
    #[command(subcommand)]
    Journal(Journal),
}

#[derive(Subcommand)]
enum Journal {
    /// What lives in it: messages, ages, sizes by purpose.
    Inspect(Folder),
    /// Checks every segment. Exit status 1 if a part cannot be read.
    Verify(Folder),
    /// Prints every record as a line of JSON, in order.
    Dump(Folder),
    /// Copies what lives into fresh segments and removes the others. The only one of these that writes.
    Compact(Folder),
}

#[derive(Args)]
struct Folder {
    /// The folder that holds the segments (LB_STATE).
    folder: PathBuf,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        None => stairshed_courier::run(cli.settings.as_deref()).map_err(|e| e.to_string()),
        Some(Command::Journal(command)) => {
            let out = &mut std::io::stdout().lock();
            let done = match &command {
                Journal::Inspect(at) => journal_tool::inspect(&at.folder, out),
                Journal::Verify(at) => journal_tool::verify(&at.folder, out),
                Journal::Dump(at) => journal_tool::dump(&at.folder, out),
                Journal::Compact(at) => journal_tool::compact(&at.folder, cli.settings.as_deref(), out),
            };
            done.map_err(|e| e.to_string())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("stairshed: {fault}");
            ExitCode::FAILURE
        }
    }
}
