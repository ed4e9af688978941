//! Why the program does not start.

use std::fmt;

/// Why a start cannot go on.
#[derive(Debug)]
pub enum Fault {
    Missing(&'static str),
    Bad(&'static str, String),
    /// Each a whole line already.
    Lines(Vec<String>),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Missing(name) => write!(f, "{name} is not set"),
            Fault::Lines(lines) => write!(f, "{}", lines.join("\n")),
            Fault::Bad(name, why) => write!(f, "{name}: {}", why.replace('\n', " ")),
        }
    }
}

impl std::error::Error for Fault {}
