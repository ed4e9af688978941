//! Errors that prevent the program from starting.

use std::fmt;

/// Error that prevents the start.
#[derive(Debug)]
pub enum StartupError {
    /// An environment variable is not set.
    MissingVariable(&'static str),
    /// A variable, option, signal or configuration key, and what is wrong with it.
    Invalid(&'static str, String),
    /// Complete messages, one per line.
    Problems(Vec<String>),
    /// The program was told to stop before it had started.
    Stopped,
}

impl fmt::Display for StartupError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartupError::MissingVariable(name) => write!(f, "{name} is not set"),
            StartupError::Stopped => f.write_str("told to stop during the start"),
            StartupError::Problems(problems) => write!(f, "{}", problems.join("\n")),
            StartupError::Invalid(name, why) => write!(f, "{name}: {}", why.replace('\n', " ")),
        }
    }
}

impl std::error::Error for StartupError {}
