//! The `stairshed` command: the courier, and tools for its configuration and its journal.

use clap::{Args, CommandFactory, Parser, Subcommand};
use stairshed_courier::message_trace::{TraceFilter, enable_tracing};
use stairshed_courier::users;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

mod config_tool;
mod journal_tool;
mod memory_tool;

/// A courier: takes messages, delivers each to an endpoint of its destination, or says truthfully that it
/// did not.
///
/// Without a command it runs as the platform has it, told by LB_NAME, LB_LISTEN, LB_DISCOVERY, LB_STATE and
/// LB_CONFIG. For an installation of your own begin with `stairshed dev`, then write a file
/// (deploy/stairshed.example.toml has every key), `stairshed check` it and `stairshed serve` it.
#[derive(Parser)]
#[command(name = "stairshed", version)]
struct Cli {
    /// The operator's settings beside the platform's; without it each has its default.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Writes each step of these messages to standard error: ids with commas between them, or a share such as 1/100.
    #[arg(long, value_name = "IDS", global = true)]
    follow: Option<TraceFilter>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an installation of your own.
    ///
    /// SIGHUP reads the file again: it takes effect whole or not at all. SIGTERM ends it within 3.3 s.
    Serve {
        /// The operator's file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Checks an operator's file: all that is wrong with it, each with line and key. Exit status 1 if anything is.
    Check {
        file: PathBuf,
        /// Says what becomes of a request: "POST /notice Host: a.example, X-Tenant: 7". May come several times.
        #[arg(long, value_name = "REQUEST")]
        explain: Vec<String>,
    },
    /// Runs a sample installation on loopback with a stand-in endpoint, and prints a request to try.
    Dev {
        /// Address for clients.
        #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:8700")]
        listen: SocketAddr,
    },
    /// What a configuration says.
    #[command(subcommand)]
    Config(Config),
    /// What a running courier holds in memory, by purpose.
    Memory {
        /// Its listen.admin.
        #[arg(long, value_name = "ADDRESS")]
        admin: SocketAddr,
        /// Prints it again every so many seconds.
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "2")]
        watch: Option<f64>,
        #[arg(long)]
        json: bool,
    },
    /// Looks at the journal of a courier that does not run.
    #[command(subcommand)]
    Journal(Journal),
    /// A line for the file of MQTT users: reads the password from standard input.
    MqttPassword {
        /// The user's name: letters, digits, - _ . @
        user: String,
    },
    /// Prints completions for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum Config {
    /// The effective configuration of a running courier, and where each value comes from.
    Show {
        /// Its listen.admin.
        #[arg(long, value_name = "ADDRESS")]
        admin: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// What differs between two operator's files. Exit status 1 if anything does.
    Diff { before: PathBuf, after: PathBuf },
    /// The JSON schema of the operator's file, for editors.
    Schema,
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
    /// The folder that holds the segments (LB_STATE, or `journal` in an installation's state folder).
    folder: PathBuf,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(followed) = cli.follow {
        enable_tracing(followed);
    }
    let out = &mut std::io::stdout();
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let done = match cli.command {
        None => stairshed_courier::run_platform(cli.settings.as_deref()).map_err(|e| text(&e)),
        Some(Command::Serve { config }) => stairshed_courier::serve(config).map_err(|e| text(&e)),
        Some(Command::Dev { listen }) => stairshed_courier::dev(listen).map_err(|e| text(&e)),
        Some(Command::Check { file, explain }) => {
            config_tool::check(&file, &explain, out).map_err(|e| text(&e))
        }
        Some(Command::Config(command)) => match command {
            Config::Show { admin, json } => config_tool::show(admin, json, out),
            Config::Diff { before, after } => config_tool::diff(&before, &after, out),
            Config::Schema => config_tool::schema(out),
        }
        .map_err(|e| text(&e)),
        Some(Command::Memory { admin, watch, json }) => {
            // Anything else would never come again, or never stop.
            let span = watch.map(|s| Duration::from_secs_f64(s.clamp(0.1, 3600.0)));
            memory_tool::memory(admin, span, json, out).map_err(|e| text(&e))
        }
        Some(Command::MqttPassword { user }) => {
            let mut password = String::new();
            let read = std::io::stdin().read_line(&mut password).map_err(|e| text(&e));
            let line = read.and_then(|_| {
                users::password_line(&user, password.trim_end_matches(['\r', '\n'])).map_err(|e| text(&e))
            });
            line.map(|line| println!("{line}"))
        }
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "stairshed", out);
            Ok(())
        }
        Some(Command::Journal(command)) => {
            let out = &mut out.lock();
            let done = match &command {
                Journal::Inspect(at) => journal_tool::inspect(&at.folder, out),
                Journal::Verify(at) => journal_tool::verify(&at.folder, out),
                Journal::Dump(at) => journal_tool::dump(&at.folder, out),
                Journal::Compact(at) => journal_tool::compact(&at.folder, cli.settings.as_deref(), out),
            };
            done.map_err(|e| text(&e))
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            fault.lines().for_each(|line| eprintln!("stairshed: {line}"));
            ExitCode::FAILURE
        }
    }
}
