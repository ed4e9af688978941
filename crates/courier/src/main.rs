//! The `stairshed` command: runs the courier, and has tools for its configuration, memory and journal.

#![deny(clippy::print_stderr, clippy::print_stdout)]

use clap::{Args, CommandFactory, Parser, Subcommand};
use stairshed_courier::log;
use stairshed_courier::message_trace::{TraceFilter, enable_tracing};
use stairshed_courier::users;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

mod config_tool;
mod journal_tool;
mod machine_tool;
mod memory_tool;

/// A message courier: accepts messages and delivers each to an endpoint of its destination, or reports
/// truthfully that it did not.
///
/// Without a command it runs on the platform, configured by LB_NAME, LB_LISTEN, LB_DISCOVERY, LB_STATE and
/// LB_CONFIG. For your own installation start with `stairshed dev`, then write a configuration file
/// (deploy/stairshed.example.toml has every key), validate it with `stairshed check` and run it with
/// `stairshed serve`.
#[derive(Parser)]
#[command(name = "stairshed", version)]
struct Cli {
    /// Settings file in addition to the platform's configuration. Settings not given there have their
    /// defaults.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Logs each step of some messages to standard error: ids separated by commas, or a fraction such as
    /// 1/100.
    #[arg(long, value_name = "IDS", global = true)]
    follow: Option<TraceFilter>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the courier with a configuration file.
    ///
    /// SIGHUP reloads the file: it takes effect as a whole or not at all. SIGTERM ends the courier within 3.3
    /// s.
    Serve {
        /// The configuration file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Validates a configuration file and reports every error with its line and key. Exit status 1 if there
    /// is one.
    Check {
        file: PathBuf,
        /// Shows how a request would be routed: "POST /notice Host: a.example, X-Tenant: 7". May be repeated.
        #[arg(long, value_name = "REQUEST")]
        explain: Vec<String>,
        /// Shows what the statuses of responses mean for messages of a pool. May be repeated.
        #[arg(long, value_name = "POOL")]
        answers: Vec<String>,
    },
    /// Runs a sample installation on loopback with a stand-in endpoint, and prints an example request.
    Dev {
        /// Address that clients connect to.
        #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:8700")]
        listen: SocketAddr,
    },
    /// Shows and compares configurations.
    #[command(subcommand)]
    Config(Config),
    /// Shows the memory use of a running courier, by purpose.
    Memory {
        /// The courier's listen.admin address.
        #[arg(long, value_name = "ADDRESS")]
        admin: SocketAddr,
        /// Repeats the output at this interval, in seconds (2 if no number is given, at least 0.1, at most
        /// 3600).
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "2")]
        watch: Option<f64>,
        #[arg(long)]
        json: bool,
    },
    /// Shows the system calls of a running courier that failed, by operation and error number.
    Machine {
        /// The courier's listen.admin address.
        #[arg(long, value_name = "ADDRESS")]
        admin: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Inspects the journal of a courier that is not running.
    #[command(subcommand)]
    Journal(Journal),
    /// Makes a line for the MQTT users file; reads the password from standard input.
    MqttPassword {
        /// The user's name: letters, digits, - _ . @
        user: String,
    },
    /// Prints a completion script for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum Config {
    /// Shows the effective configuration of a running courier and the source of each value.
    Show {
        /// The courier's listen.admin address.
        #[arg(long, value_name = "ADDRESS")]
        admin: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Compares two configuration files. Exit status 1 if they differ.
    Diff { before: PathBuf, after: PathBuf },
    /// Prints the JSON schema of the configuration file, for editors.
    Schema,
}

#[derive(Subcommand)]
enum Journal {
    /// Lists the live messages with their ages and sizes, and totals by purpose.
    Inspect(Folder),
    /// Reads every segment. Exit status 1 if a part is damaged.
    Verify(Folder),
    /// Prints every record in order, as one line of JSON each.
    Dump(Folder),
    /// Copies live messages into new segments and removes the old ones. The only subcommand that writes.
    Compact(Folder),
}

#[derive(Args)]
struct Folder {
    /// The folder with the segments: LB_STATE, or `journal` in an installation's state folder.
    folder: PathBuf,
}

/// Whether a command runs a courier, as opposed to printing something and ending.
fn runs_courier(command: Option<&Command>) -> bool {
    matches!(command, None | Some(Command::Serve { .. } | Command::Dev { .. }))
}

/// Lets SIGPIPE end the program, which Rust ignores by default: a tool ends without an error when the reader
/// of its output is gone.
fn end_on_broken_pipe() {
    // SAFETY: the default action replaces no handler, and no other thread runs yet.
    unsafe { libc::signal(libc::SIGPIPE, libc::SIG_DFL) };
}

fn main() -> ExitCode {
    if let Err(error) = stairshed_planted_faults::announce() {
        log::write_line(format_args!("stairshed: {error}"));
        return ExitCode::FAILURE;
    }
    let cli = Cli::parse();
    if !runs_courier(cli.command.as_ref()) {
        end_on_broken_pipe();
    }
    if let Some(followed) = cli.follow {
        enable_tracing(followed);
    }
    let out = &mut std::io::stdout();
    let to_text = |e: &dyn std::fmt::Display| e.to_string();
    let result = match cli.command {
        None => stairshed_courier::run_platform(cli.settings.as_deref()).map_err(|e| to_text(&e)),
        Some(Command::Serve { config }) => stairshed_courier::serve(config).map_err(|e| to_text(&e)),
        Some(Command::Dev { listen }) => stairshed_courier::dev(listen).map_err(|e| to_text(&e)),
        Some(Command::Check { file, explain, answers }) => {
            config_tool::check(&file, &explain, &answers, out).map_err(|e| to_text(&e))
        }
        Some(Command::Config(command)) => match command {
            Config::Show { admin, json } => config_tool::show(admin, json, out),
            Config::Diff { before, after } => config_tool::diff(&before, &after, out),
            Config::Schema => config_tool::schema(out),
        }
        .map_err(|e| to_text(&e)),
        Some(Command::Memory { admin, watch, json }) => {
            // Bounded: a tiny interval would print without pause, a huge one practically never again.
            let interval = watch.map(|s| Duration::from_secs_f64(s.clamp(0.1, 3600.0)));
            memory_tool::memory(admin, interval, json, out).map_err(|e| to_text(&e))
        }
        Some(Command::Machine { admin, json }) => {
            machine_tool::machine(admin, json, out).map_err(|e| to_text(&e))
        }
        Some(Command::MqttPassword { user }) => {
            let mut password = String::new();
            let read = std::io::stdin().read_line(&mut password).map_err(|e| to_text(&e));
            let line = read.and_then(|_| {
                users::password_line(&user, password.trim_end_matches(['\r', '\n'])).map_err(|e| to_text(&e))
            });
            line.and_then(|line| writeln!(out, "{line}").map_err(|e| to_text(&e)))
        }
        Some(Command::Completions { shell }) => {
            // The generator panics if it cannot write.
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "stairshed", &mut script);
            out.write_all(&script).map_err(|e| to_text(&e))
        }
        Some(Command::Journal(command)) => {
            let out = &mut out.lock();
            let result = match &command {
                Journal::Inspect(args) => journal_tool::inspect(&args.folder, out),
                Journal::Verify(args) => journal_tool::verify(&args.folder, out),
                Journal::Dump(args) => journal_tool::dump(&args.folder, out),
                Journal::Compact(args) => journal_tool::compact(&args.folder, cli.settings.as_deref(), out),
            };
            result.map_err(|e| to_text(&e))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.lines().for_each(|line| log::write_line(format_args!("stairshed: {line}")));
            ExitCode::FAILURE
        }
    }
}
