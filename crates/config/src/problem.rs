//! Problems of a configuration, with their positions, so that an operator finds the line at fault.

use std::fmt;

/// One step of a path: a key of a table or an index of a list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathStep {
    Key(String),
    Item(usize),
}

/// Path to a value from the root of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path(pub Vec<PathStep>);

impl Path {
    /// The path extended by a key of a table.
    pub fn key(&self, name: &str) -> Path {
        Path(self.0.iter().cloned().chain([PathStep::Key(name.to_owned())]).collect())
    }

    /// The path extended by an index of a list, counted from 0.
    pub fn item(&self, index: usize) -> Path {
        Path(self.0.iter().cloned().chain([PathStep::Item(index)]).collect())
    }

    /// Whether this path equals `other` or leads to a value within it.
    pub fn is_within(&self, other: &Path) -> bool {
        self.0.starts_with(&other.0)
    }
}

/// Builds a path from keys.
pub fn path(keys: &[&str]) -> Path {
    Path(keys.iter().map(|k| PathStep::Key((*k).to_owned())).collect())
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Item(index) => write!(f, "[{index}]")?,
                PathStep::Key(key) => {
                    let bare = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
                    let dot = if n > 0 { "." } else { "" };
                    match !key.is_empty() && key.chars().all(bare) {
                        true => write!(f, "{dot}{key}")?,
                        false => write!(f, "{dot}{key:?}")?,
                    }
                }
            }
        }
        Ok(())
    }
}

/// One problem of a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The value at fault, or the root if the text itself cannot be parsed.
    pub path: Path,
    /// Line and column, counted from 1; None if the document is not a text file.
    pub position: Option<(usize, usize)>,
    /// What is wrong with the value.
    pub reason: String,
}

impl Problem {
    /// Creates a problem without a position.
    pub fn new(path: Path, reason: impl Into<String>) -> Self {
        Problem { path, position: None, reason: reason.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.path.0.is_empty() {
            true => write!(f, "{}", self.reason),
            false => write!(f, "{}: {}", self.path, self.reason),
        }
    }
}

/// All problems of a document, in the order of their positions.
#[derive(Clone, Debug, Default)]
pub struct Problems {
    /// Name of the file or other document.
    pub source: String,
    pub all: Vec<Problem>,
}

impl Problems {
    /// Each problem as a line of text, without the source.
    pub fn lines(&self) -> Vec<String> {
        self.all.iter().map(Problem::to_string).collect()
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, problem) in self.all.iter().enumerate() {
            let line = if n > 0 { "\n" } else { "" };
            match problem.position {
                Some((row, column)) => write!(f, "{line}{}:{row}:{column}: {problem}", self.source)?,
                None => write!(f, "{line}{}: {problem}", self.source)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Text to append to an error about an unknown name: the most similar known name, or else a list of known
/// names.
pub fn suggest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let mut known: Vec<&str> = known.into_iter().collect();
    known.sort_unstable();
    let nearest = known.iter().map(|k| (strsim::damerau_levenshtein(name, k), *k)).min();
    // Up to a third of the letters may differ; with more it is probably a different word.
    if let Some((_, k)) = nearest.filter(|(distance, k)| *distance <= (name.len().max(k.len())).div_ceil(3)) {
        return format!("; did you mean {k:?}?");
    }
    // A longer list would obscure the error itself.
    const MAX_LISTED_NAMES: usize = 12;
    let more = if known.len() > MAX_LISTED_NAMES { ", ..." } else { "" };
    match known.is_empty() {
        true => "; there is none".to_owned(),
        false => format!("; there is {}{more}", known[..known.len().min(MAX_LISTED_NAMES)].join(", ")),
    }
}
