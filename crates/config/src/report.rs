//! The effective configuration with the source of each value, and the differences between two configurations.

use crate::file::File;
use crate::installation::Document;
use crate::problem::Path;
use crate::tree;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// Source of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    Default,
    File { line: usize },
    Version(u64),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Source::Default => write!(f, "default"),
            Source::File { line } => write!(f, "file, line {line}"),
            Source::Version(version) => write!(f, "version {version}"),
        }
    }
}

/// A value of the effective configuration, with its path.
#[derive(Clone, Debug, PartialEq)]
pub struct Leaf {
    pub path: Path,
    pub value: Value,
}

/// All values of a file, with their paths. Values that are not set are left out.
pub fn leaves(file: &File) -> Vec<Leaf> {
    let mut all = Vec::new();
    // Cannot fail: a file contains only strings, numbers, booleans, lists and tables with string keys.
    collect(Path::default(), serde_json::to_value(file).unwrap_or_default(), &mut all);
    all
}

fn collect(path: Path, value: Value, all: &mut Vec<Leaf>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (key, value) in fields {
                collect(path.key(&key), value, all);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (n, value) in items.into_iter().enumerate() {
                collect(path.item(n), value, all);
            }
        }
        Value::Null => {}
        value => all.push(Leaf { path, value }),
    }
}

/// All values of the effective configuration with their sources. Slow for a large configuration.
pub fn values(file: &File, document: &Document, version: Option<(u64, &Value)>) -> Vec<(Leaf, Source)> {
    let overlay = version.map(|(number, config)| (number, tree::from_json(config)));
    let lines = document.lines();
    let source = |path: &Path| {
        let file_source = || lines.line(path).map_or(Source::Default, |line| Source::File { line });
        let Some((number, overlay)) = &overlay else { return file_source() };
        let section = Path(path.0.iter().take(1).cloned().collect());
        // A version cannot change the address of the admin pages.
        match overlay.at(&section).filter(|_| path.to_string() != "listen.admin") {
            None => file_source(),
            Some(_) => overlay.at(path).map_or(Source::Default, |_| Source::Version(*number)),
        }
    };
    leaves(file).into_iter().map(|leaf| (source(&leaf.path), leaf)).map(|(s, l)| (l, s)).collect()
}

/// A value that differs between two configurations.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub path: Path,
    /// None if the value was added.
    pub before: Option<Value>,
    /// None if the value was removed.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {} = {before} -> {after}", self.path),
            (Some(before), None) => write!(f, "- {} = {before}", self.path),
            (None, Some(after)) => write!(f, "+ {} = {after}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Differences from `before` to `after`, sorted by path.
pub fn diff(before: &File, after: &File) -> Vec<Difference> {
    let table = |file| leaves(file).into_iter().map(|l| (l.path, l.value)).collect::<BTreeMap<_, _>>();
    let (before, mut after) = (table(before), table(after));
    let mut all = Vec::new();
    for (path, old) in before {
        let new = after.remove(&path);
        if new.as_ref() != Some(&old) {
            all.push(Difference { path, before: Some(old), after: new });
        }
    }
    all.extend(after.into_iter().map(|(path, new)| Difference { path, before: None, after: Some(new) }));
    all.sort_by(|a, b| a.path.cmp(&b.path));
    all
}

/// The JSON schema of the configuration file.
pub fn schema() -> Value {
    serde_json::to_value(schemars::schema_for!(File)).unwrap_or_default()
}
