//! The keys of a pool that say what the statuses of its endpoints' responses mean.

use crate::problem::Path;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use stairshed_health::answers::{self, AnswerList, AnswerLists, MAX_STATUS, MIN_STATUS, ProfileError};
use std::borrow::Cow;
use std::fmt;

/// What the statuses of responses mean. An exact status comes before its class (`"2xx"`). A status that is in
/// no list may have run.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Answers {
    /// Statuses of a delivered message. Default: `["2xx"]`.
    pub delivered: Option<Vec<StatusPattern>>,
    /// Statuses of a message that is rejected for good; it is not sent again. Default: `["3xx", "4xx"]`.
    pub rejected: Option<Vec<StatusPattern>>,
    /// Statuses after which the message may have run. Default: `[408, "5xx"]`.
    pub may_have_run: Option<Vec<StatusPattern>>,
    /// Exact statuses whose refusal proves that nothing ran, so that any message may be sent again; none if
    /// the list is empty. Default: `[421, 425, 429, 503]`.
    pub refused: Option<Vec<StatusPattern>>,
    /// For whom a wait holds that an endpoint tells.
    pub wait_scope: WaitScope,
}

/// For whom a told wait holds: the whole pool, or the endpoint that told it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum WaitScope {
    #[default]
    Pool,
    Endpoint,
}

impl From<WaitScope> for answers::WaitScope {
    fn from(scope: WaitScope) -> Self {
        match scope {
            WaitScope::Pool => answers::WaitScope::Pool,
            WaitScope::Endpoint => answers::WaitScope::Endpoint,
        }
    }
}

/// A status such as `201`, or a class of statuses such as `"2xx"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusPattern(pub answers::StatusPattern);

impl Answers {
    /// Whether nothing differs from the defaults.
    pub fn is_default(&self) -> bool {
        *self == Answers::default()
    }

    /// The lists of the profile.
    pub fn lists(&self) -> AnswerLists {
        let patterns = |list: &Option<Vec<StatusPattern>>| {
            list.as_ref().map(|list| list.iter().map(|pattern| pattern.0).collect())
        };
        AnswerLists {
            delivered: patterns(&self.delivered),
            rejected: patterns(&self.rejected),
            may_have_run: patterns(&self.may_have_run),
            refused: patterns(&self.refused),
            wait_scope: self.wait_scope.into(),
        }
    }
}

/// The path of the list at fault, for the path of a pool's `answers`.
pub fn error_path(at: &Path, error: ProfileError) -> Path {
    match error {
        ProfileError::InTwoLists { list, .. } => at.key(list.name()),
        ProfileError::RefusedClass { .. } => at.key(AnswerList::Refused.name()),
        ProfileError::NothingDelivered => at.key(AnswerList::Delivered.name()),
    }
}

/// What a status or a class of statuses looks like, for error messages and the schema.
const PATTERN_DESCRIPTION: &str =
    "a status from 200 to 999, such as 201, or a class of them in text, such as \"2xx\"";

impl<'de> Deserialize<'de> for StatusPattern {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct PatternVisitor;
        impl de::Visitor<'_> for PatternVisitor {
            type Value = StatusPattern;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(PATTERN_DESCRIPTION)
            }

            fn visit_i64<E: de::Error>(self, status: i64) -> Result<StatusPattern, E> {
                let pattern = u16::try_from(status).ok().and_then(answers::StatusPattern::exact);
                let reason = || E::custom(format!("{status} is not {PATTERN_DESCRIPTION}"));
                pattern.map(StatusPattern).ok_or_else(reason)
            }

            fn visit_u64<E: de::Error>(self, status: u64) -> Result<StatusPattern, E> {
                self.visit_i64(i64::try_from(status).unwrap_or(i64::MAX))
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<StatusPattern, E> {
                let pattern = answers::StatusPattern::parse_class(text);
                let reason = || E::custom(format!("{text:?} is not {PATTERN_DESCRIPTION}"));
                pattern.map(StatusPattern).ok_or_else(reason)
            }
        }
        from.deserialize_any(PatternVisitor)
    }
}

impl Serialize for StatusPattern {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self.0 {
            answers::StatusPattern::Exact(status) => to.serialize_u16(status),
            class => to.collect_str(&class),
        }
    }
}

impl JsonSchema for StatusPattern {
    fn schema_name() -> Cow<'static, str> {
        "StatusPattern".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "description": PATTERN_DESCRIPTION,
            "anyOf": [
                { "type": "integer", "minimum": MIN_STATUS, "maximum": MAX_STATUS },
                { "type": "string", "pattern": "^[2-9]xx$" }
            ]
        })
    }
}

#[cfg(test)]
#[path = "answers_test.rs"]
mod tests;
