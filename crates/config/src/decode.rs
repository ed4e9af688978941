//! Deserializes a tree into types with serde and reports all errors at once: a value that cannot be decoded
//! is recorded with its path and removed, and the rest is decoded again. Existing TOML crates stop at the
//! first error.

use crate::problem::{Path, PathStep, Problem, suggest};
use crate::tree::{Entry, Node, Value};
use serde::de::{self, DeserializeSeed, IntoDeserializer, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// Maximum number of problems reported for a document; more would not help the reader.
pub const MAX_PROBLEMS: usize = 100;

/// Decodes `tree`. Returns the decoded value, in which values that could not be decoded have their defaults,
/// and a problem for each of these with its path, so that later checks can skip them.
pub fn decode<T: de::DeserializeOwned + Default>(tree: &Node) -> (T, Vec<Problem>) {
    let mut tree = tree.clone();
    let mut problems = Vec::new();
    loop {
        let fault = match T::deserialize(&tree) {
            Ok(value) => return (value, problems),
            Err(fault) => fault,
        };
        let path = Path(fault.steps.into_iter().rev().collect());
        let whole = path.0.is_empty() || problems.len() >= MAX_PROBLEMS;
        problems.push(Problem::new(path.clone(), fault.reason));
        match tree.at_mut(&path).filter(|_| !whole) {
            Some(node) => node.value = Value::Removed,
            None => return (T::default(), problems),
        }
    }
}

/// Why a value cannot be decoded, and the steps of its path in reverse order.
#[derive(Debug)]
pub struct DecodeError {
    reason: String,
    steps: Vec<PathStep>,
}

impl DecodeError {
    fn within(mut self, step: PathStep) -> Self {
        self.steps.push(step);
        self
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for DecodeError {}

impl de::Error for DecodeError {
    fn custom<T: fmt::Display>(reason: T) -> Self {
        DecodeError { reason: reason.to_string(), steps: Vec::new() }
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        Self::custom(format!("no such key{}", suggest(field, expected.iter().copied())))
    }

    fn unknown_variant(variant: &str, expected: &'static [&'static str]) -> Self {
        Self::custom(format!(
            "{variant:?} is none of its values{}",
            suggest(variant, expected.iter().copied())
        ))
    }
}

impl<'de> de::Deserializer<'de> for &Node {
    type Error = DecodeError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        match &self.value {
            Value::Removed | Value::Null => visitor.visit_unit(),
            Value::Bool(b) => visitor.visit_bool(*b),
            Value::Int(n) => visitor.visit_i64(*n),
            Value::Float(n) => visitor.visit_f64(*n),
            Value::Text(text) => visitor.visit_str(text),
            Value::List(items) => visitor.visit_seq(Items(items.iter().enumerate())),
            Value::Table(entries) => visitor.visit_map(Entries { entries: entries.iter(), value: None }),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, DecodeError> {
        match self.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        match &self.value {
            Value::Text(text) => visitor.visit_enum(text.as_str().into_deserializer()),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        _: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        match &self.value {
            Value::Table(_) => self.deserialize_any(visitor),
            // Structs derived with serde would accept a list as their fields in order.
            _ => Err(de::Error::custom("a table is expected")),
        }
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 u8 u16 u32 u64 f32 f64 char str string bytes byte_buf unit unit_struct seq tuple
        tuple_struct map identifier ignored_any
    }
}

struct Items<'a>(std::iter::Enumerate<std::slice::Iter<'a, Node>>);

impl<'de> SeqAccess<'de> for Items<'_> {
    type Error = DecodeError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, DecodeError> {
        let Some((index, node)) = self.0.find(|(_, n)| n.value != Value::Removed) else { return Ok(None) };
        seed.deserialize(node).map(Some).map_err(|e| e.within(PathStep::Item(index)))
    }
}

struct Entries<'a> {
    entries: std::slice::Iter<'a, Entry>,
    value: Option<&'a Entry>,
}

impl<'de> MapAccess<'de> for Entries<'_> {
    type Error = DecodeError;

    fn next_key_seed<K: DeserializeSeed<'de>>(&mut self, seed: K) -> Result<Option<K::Value>, DecodeError> {
        let Some(entry) = self.entries.find(|e| e.node.value != Value::Removed) else { return Ok(None) };
        self.value = Some(entry);
        let key: de::value::StrDeserializer<DecodeError> = entry.key.as_str().into_deserializer();
        seed.deserialize(key).map(Some).map_err(|e| e.within(PathStep::Key(entry.key.clone())))
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, DecodeError> {
        let Some(entry) = self.value.take() else { return Err(de::Error::custom("a value without its key")) };
        seed.deserialize(&entry.node).map_err(|e| e.within(PathStep::Key(entry.key.clone())))
    }
}
