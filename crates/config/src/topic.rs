//! MQTT topic names and filters (section 4.7 of MQTT 3.1.1 and 5.0), and the mapping of a published message
//! to a pool, a class and a path. Performs no I/O.
//!
//! Where several filters match, the first level from the left that differs decides: literal text comes before
//! `+`, and `+` before `#`. A topic therefore has one entry, independent of the order in which entries are
//! written. Two entries with the same filter are an error.

use crate::file::{IdentityScope, Pick};
use crate::route::{Condition, MAX_SEGMENTS, Pattern, Request, Router, Segment, normalize_path};
use std::borrow::Cow;

/// Maximum length of a topic in bytes, since it is recorded with each message.
pub const MAX_TOPIC_BYTES: usize = 1024;

/// Whether the text is a valid topic name, to which a client can publish.
pub fn is_topic_name(topic: &str) -> bool {
    !topic.is_empty() && topic.len() <= MAX_TOPIC_BYTES && !topic.contains(['+', '#', '\0'])
}

/// Whether the text is a valid topic filter.
pub fn is_topic_filter(filter: &str) -> bool {
    let levels: Vec<&str> = filter.split('/').collect();
    let last = levels.len() - 1;
    let level = |(n, level): (usize, &&str)| match *level {
        "+" => true,
        "#" => n == last,
        text => !text.contains(['+', '#', '\0']),
    };
    !filter.is_empty() && filter.len() <= MAX_TOPIC_BYTES && levels.iter().enumerate().all(level)
}

/// Whether a topic matches a filter.
pub fn matches(filter: &str, topic: &str) -> bool {
    // A leading wildcard does not match topics that begin with $, which are reserved for the server.
    if topic.starts_with('$') && !filter.starts_with('$') {
        return false;
    }
    let (mut filter, mut topic) = (filter.split('/'), topic.split('/'));
    loop {
        match (filter.next(), topic.next()) {
            (Some("#"), _) => return true,
            (Some("+"), Some(_)) => {}
            (Some(want), Some(level)) if want == level => {}
            (None, None) => return true,
            _ => return false,
        }
    }
}

/// How messages whose topic matches a filter are handled. `pool` and `class` are indexes.
#[derive(Clone, Debug, PartialEq)]
pub struct Topic {
    pub name: String,
    pub pool: usize,
    pub class: usize,
    pub pattern: Pattern,
    pub identity: Option<Pick>,
    pub identity_scope: IdentityScope,
    pub key: Option<Pick>,
    pub time_out: Option<Pick>,
    /// Path of the request to the endpoint; None for a path made of the topic.
    pub rewrite: Option<String>,
    /// Names of forwarded user properties, in lower case.
    pub pass: Vec<String>,
    pub set: Vec<(String, String)>,
}

/// Stands for an empty level in the router, which does not match empty segments. No topic contains this
/// character.
const EMPTY_LEVEL: &str = "\0";

/// Parses a filter into a pattern, in which the wildcards are named `1`, `2` and so on.
///
/// # Errors
/// The reason why the text cannot be used as a filter.
pub fn parse_filter(filter: &str) -> Result<Pattern, String> {
    if !is_topic_filter(filter) {
        return Err(format!("{filter:?} is no topic filter, such as \"fuel/+/pay\" or \"fuel/#\""));
    }
    if filter.starts_with('$') {
        return Err("topics that begin with $ are the courier's own".to_owned());
    }
    let (mut segments, mut prefix, mut wildcards) = (Vec::new(), false, 0);
    for level in filter.split('/') {
        match level {
            "#" => prefix = true,
            "+" => {
                wildcards += 1;
                segments.push(Segment::Wildcard(wildcards.to_string()));
            }
            "" => segments.push(Segment::Literal(EMPTY_LEVEL.to_owned())),
            text => segments.push(Segment::Literal(text.to_owned())),
        }
    }
    if segments.len() > MAX_SEGMENTS {
        return Err(format!("more than {MAX_SEGMENTS} levels"));
    }
    Ok(Pattern { segments, prefix })
}

/// Converts a topic to the form of path that the router matches.
fn router_path(topic: &str) -> String {
    let mut path = String::with_capacity(topic.len() + 1);
    for level in topic.split('/') {
        path.push('/');
        path.push_str(if level.is_empty() { EMPTY_LEVEL } else { level });
    }
    path
}

/// Percent-encodes a topic level as a path segment (RFC 3986, 3.3).
fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b if b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&b) => out.push(char::from(b)),
            b => out.push_str(&format!("%{b:02X}")),
        }
    }
    out
}

/// The parts of a PUBLISH packet that values are extracted from.
pub struct PublishedMessage<'a> {
    pub topic: &'a str,
    pub payload: &'a [u8],
    pub properties: &'a [(String, String)],
}

impl PublishedMessage<'_> {
    /// Value of a user property, if the property occurs exactly once.
    pub fn property(&self, name: &str) -> Option<&str> {
        let mut of =
            self.properties.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str());
        of.next().filter(|_| of.next().is_none())
    }

    /// The value that `pick` selects, or None if it is missing, empty, or neither a string nor a number.
    pub fn extract(&self, pick: &Pick) -> Option<Cow<'_, str>> {
        let text = if let Some(name) = &pick.property {
            Cow::Borrowed(self.property(name)?)
        } else if let Some(level) = pick.level {
            Cow::Borrowed(self.topic.split('/').nth(level.checked_sub(1)?)?)
        } else {
            let payload: serde_json::Value = serde_json::from_slice(self.payload).ok()?;
            match payload.pointer(pick.pointer.as_deref()?)? {
                serde_json::Value::String(text) => Cow::Owned(text.clone()),
                serde_json::Value::Number(number) => Cow::Owned(number.to_string()),
                _ => return None,
            }
        };
        (!text.is_empty()).then_some(text)
    }
}

impl Topic {
    /// Path of the request to the endpoint, or None if the topic does not give a valid path.
    pub fn path(&self, topic: &str) -> Option<String> {
        let Some(rewrite) = &self.rewrite else {
            let levels: Vec<String> = topic.split('/').map(percent_encode).collect();
            return normalize_path(&format!("/{}", levels.join("/")));
        };
        let mut path = rewrite.clone();
        let tree = router_path(topic);
        for (name, value) in self.pattern.captures(&tree) {
            let levels: Vec<String> =
                value.split('/').map(|l| percent_encode(l.trim_matches('\0'))).collect();
            path = path.replace(&format!("{{{name}}}"), &levels.join("/"));
        }
        normalize_path(&path)
    }
}

/// Finds the entry that matches a topic.
#[derive(Clone, Debug, Default)]
pub struct Topics {
    topics: Vec<Topic>,
    router: Router,
}

/// A topic as a request to the router.
struct TopicRequest(String);

/// The only method in the router for topics.
const PUBLISH: &str = "PUBLISH";

impl Request for TopicRequest {
    fn method(&self) -> &str {
        PUBLISH
    }

    fn host(&self) -> &str {
        ""
    }

    fn path(&self) -> &str {
        &self.0
    }

    fn header(&self, _: &str) -> Option<&str> {
        None
    }
}

impl Topics {
    /// Builds the table of topics.
    ///
    /// # Errors
    /// Pairs of names of entries that have the same filter.
    pub fn new(topics: Vec<Topic>) -> Result<Topics, Vec<(String, String)>> {
        let condition = |t: &Topic| Condition {
            path: t.pattern.clone(),
            methods: vec![PUBLISH.to_owned()],
            ..Condition::default()
        };
        let conditions: Vec<Condition> = topics.iter().map(condition).collect();
        match Router::new(&conditions) {
            Ok(router) => Ok(Topics { topics, router }),
            Err(conflicts) => {
                let name = |n: usize| topics[n].name.clone();
                Err(conflicts.into_iter().map(|c| (name(c.0), name(c.1))).collect())
            }
        }
    }

    /// The entry for messages published to a topic, or None if no filter matches or the topic begins with $.
    pub fn match_topic(&self, topic: &str) -> Option<&Topic> {
        if topic.starts_with('$') {
            return None;
        }
        self.router.route(&TopicRequest(router_path(topic))).ok().map(|n| &self.topics[n])
    }

    pub fn len(&self) -> usize {
        self.topics.len()
    }

    pub fn is_empty(&self) -> bool {
        self.topics.is_empty()
    }
}

#[cfg(test)]
#[path = "topic_test.rs"]
mod tests;
