//! Why the program does not start.

use std::fmt;

/// Why a start cannot go on.
#[derive(Debug)]
pub enum StartupError {
    MissingVariable(&'static str),
    Invalid(&'static str, String),
    /// Each a whole line already.
    Problems(Vec<String>),
}

impl fmt::Display for StartupError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartupError::MissingVariable(name) => write!(f, "{name} is not set"),
            StartupError::Problems(lines) => write!(f, "{}", lines.join("\n")),
            StartupError::Invalid(name, why) => write!(f, "{name}: {}", why.replace('\n', " ")),
        }
    }
}

impl std::error::Error for StartupError {}
