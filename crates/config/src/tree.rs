//! A document tree, parsed from TOML or JSON, with the position of each value in the text.

use crate::problem::{Path, PathStep, Problem};
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A value with its position in the text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Node {
    /// Byte range in the text; None for JSON, which operators do not edit.
    pub span: Option<Range<usize>>,
    pub value: Value,
}

/// A TOML or JSON value.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Value {
    /// Removed because it could not be decoded; treated as missing.
    #[default]
    Removed,
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Table(Vec<Entry>),
}

/// A key and value of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub key: String,
    pub key_span: Option<Range<usize>>,
    pub node: Node,
}

/// Parses TOML with error recovery, and returns the tree with all syntax errors.
pub fn from_toml(text: &str) -> (Node, Vec<Problem>) {
    let (table, errors) = DeTable::parse_recoverable(text);
    let problems = errors.iter().map(|e| {
        let position = e.span().map(|span| line_and_column(text, span.start));
        Problem { path: Path::default(), position, reason: e.message().replace('\n', ", ") }
    });
    let mut problems: Vec<Problem> = problems.collect();
    // Keeps only the first error of a line, since further ones are usually its consequences.
    problems.dedup_by_key(|p| p.position.map(|(line, _)| line));
    let span = Some(table.span());
    (Node { span, value: table_of(table.into_inner()) }, problems)
}

fn table_of(table: DeTable) -> Value {
    let entry = |(key, value): (Spanned<std::borrow::Cow<str>>, Spanned<DeValue>)| Entry {
        key_span: Some(key.span()),
        key: key.into_inner().into_owned(),
        node: node_of(value),
    };
    Value::Table(table.into_iter().map(entry).collect())
}

fn node_of(value: Spanned<DeValue>) -> Node {
    let span = Some(value.span());
    let value = match value.into_inner() {
        DeValue::String(text) => Value::Text(text.into_owned()),
        DeValue::Integer(n) => match i64::from_str_radix(n.as_str(), n.radix()) {
            Ok(n) => Value::Int(n),
            Err(_) => Value::Text(n.as_str().to_owned()),
        },
        DeValue::Float(n) => n.as_str().parse().map_or(Value::Null, Value::Float),
        DeValue::Boolean(b) => Value::Bool(b),
        DeValue::Datetime(at) => Value::Text(at.to_string()),
        DeValue::Array(items) => Value::List(items.into_iter().map(node_of).collect()),
        DeValue::Table(table) => table_of(table),
    };
    Node { span, value }
}

/// The tree of a JSON value.
pub fn from_json(value: &serde_json::Value) -> Node {
    use serde_json::Value as Json;
    let value = match value {
        Json::Null => Value::Null,
        Json::Bool(b) => Value::Bool(*b),
        Json::Number(n) => {
            n.as_i64().map_or_else(|| Value::Float(n.as_f64().unwrap_or(f64::NAN)), Value::Int)
        }
        Json::String(text) => Value::Text(text.clone()),
        Json::Array(items) => Value::List(items.iter().map(from_json).collect()),
        Json::Object(fields) => {
            let entry = |(key, value): (&String, &Json)| Entry {
                key: key.clone(),
                key_span: None,
                node: from_json(value),
            };
            Value::Table(fields.iter().map(entry).collect())
        }
    };
    Node { span: None, value }
}

impl Node {
    /// The value at a path.
    pub fn at(&self, path: &Path) -> Option<&Node> {
        path.0.iter().try_fold(self, |node, step| match (&node.value, step) {
            (Value::Table(entries), PathStep::Key(key)) => {
                entries.iter().find(|e| e.key == *key).map(|e| &e.node)
            }
            (Value::List(items), PathStep::Item(index)) => items.get(*index),
            _ => None,
        })
    }

    pub(crate) fn at_mut(&mut self, path: &Path) -> Option<&mut Node> {
        path.0.iter().try_fold(self, |node, step| match (&mut node.value, step) {
            (Value::Table(entries), PathStep::Key(key)) => {
                entries.iter_mut().find(|e| e.key == *key).map(|e| &mut e.node)
            }
            (Value::List(items), PathStep::Item(index)) => items.get_mut(*index),
            _ => None,
        })
    }

    /// Keys of the table at `path`; empty if there is no table.
    pub fn keys(&self, path: &Path) -> Vec<&str> {
        match self.at(path).map(|n| &n.value) {
            Some(Value::Table(entries)) => entries.iter().map(|e| e.key.as_str()).collect(),
            _ => Vec::new(),
        }
    }

    /// Byte offset of the key of `path` in the text, or of its nearest ancestor that exists.
    pub fn offset_of(&self, path: &Path) -> Option<usize> {
        let mut node = self;
        let mut start = None;
        for step in &path.0 {
            match (&node.value, step) {
                (Value::Table(entries), PathStep::Key(key)) => {
                    let Some(entry) = entries.iter().find(|e| e.key == *key) else { break };
                    start = entry.key_span.as_ref().map(|p| p.start).or(start);
                    node = &entry.node;
                }
                (Value::List(items), PathStep::Item(index)) => {
                    let Some(item) = items.get(*index) else { break };
                    start = item.span.as_ref().map(|p| p.start).or(start);
                    node = item;
                }
                _ => break,
            }
        }
        start
    }
}

/// Line and column of a byte offset, counted from 1. Columns are counted in characters.
pub fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
    (line, column)
}
