//! MQTT topics: what is a name and what a filter (section 4.7 of both versions), and what becomes of a message that is
//! published to one. Pure: a topic in, a pool, a class and a path out.
//!
//! Of several filters that match, the first level from the left that differs decides: the text itself, then `+`, then
//! `#`. So a topic has one entry whatever the order in which they were written. Two with the same filter are an error.

use crate::file::{IdentityScope, Pick};
use crate::route::{Condition, MAX_SEGMENTS, Pattern, Request, Router, Segment, normalize_path};
use std::borrow::Cow;

/// Longest topic, bytes: it is on record with each message.
pub const MAX_TOPIC_BYTES: usize = 1024;

/// Whether a topic can be published to.
pub fn is_topic_name(topic: &str) -> bool {
    !topic.is_empty() && topic.len() <= MAX_TOPIC_BYTES && !topic.contains(['+', '#', '\0'])
}

/// Whether it is a filter.
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
    // A wildcard at the head matches no topic of the server's own.
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

/// What becomes of messages whose topic matches.
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
    /// The path towards the endpoint; None for the topic itself.
    pub rewrite: Option<String>,
    /// User properties that are passed on, in lower case.
    pub pass: Vec<String>,
    pub set: Vec<(String, String)>,
}

/// An empty level, which the tree of routes does not know: no topic has this character.
const EMPTY: &str = "\0";

/// The pattern of a filter. What the first `+` matched is its name `1`.
///
/// # Errors
/// It is none.
pub fn parse_filter(filter: &str) -> Result<Pattern, String> {
    if !is_topic_filter(filter) {
        return Err(format!("{filter:?} is no topic filter, such as \"fuel/+/pay\" or \"fuel/#\""));
    }
    if filter.starts_with('$') {
        return Err("topics that begin with $ are the courier's own".to_owned());
    }
    let (mut segments, mut prefix, mut wild) = (Vec::new(), false, 0);
    for level in filter.split('/') {
        match level {
            "#" => prefix = true,
            "+" => {
                wild += 1;
                segments.push(Segment::Wildcard(wild.to_string()));
            }
            "" => segments.push(Segment::Literal(EMPTY.to_owned())),
            text => segments.push(Segment::Literal(text.to_owned())),
        }
    }
    if segments.len() > MAX_SEGMENTS {
        return Err(format!("more than {MAX_SEGMENTS} levels"));
    }
    Ok(Pattern { segments, prefix })
}

/// A topic as a path of the tree of routes.
fn in_tree(topic: &str) -> String {
    let mut path = String::with_capacity(topic.len() + 1);
    for level in topic.split('/') {
        path.push('/');
        path.push_str(if level.is_empty() { EMPTY } else { level });
    }
    path
}

/// A level as a segment of a path (RFC 3986, 3.3).
fn encoded(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b if b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&b) => out.push(char::from(b)),
            b => out.push_str(&format!("%{b:02X}")),
        }
    }
    out
}

/// A message, as far as it is looked at.
pub struct PublishedMessage<'a> {
    pub topic: &'a str,
    pub payload: &'a [u8],
    pub properties: &'a [(String, String)],
}

impl PublishedMessage<'_> {
    /// The value of a user property, if it is there once.
    pub fn property(&self, name: &str) -> Option<&str> {
        let mut of =
            self.properties.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str());
        of.next().filter(|_| of.next().is_none())
    }

    /// What stands where `pick` says; None if there is nothing, or it is neither text nor a number.
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
    /// The path towards an endpoint; None for a topic that would be no plain path.
    pub fn path(&self, topic: &str) -> Option<String> {
        let Some(rewrite) = &self.rewrite else {
            let levels: Vec<String> = topic.split('/').map(encoded).collect();
            return normalize_path(&format!("/{}", levels.join("/")));
        };
        let mut path = rewrite.clone();
        let tree = in_tree(topic);
        for (name, value) in self.pattern.captures(&tree) {
            let levels: Vec<String> = value.split('/').map(|l| encoded(l.trim_matches('\0'))).collect();
            path = path.replace(&format!("{{{name}}}"), &levels.join("/"));
        }
        normalize_path(&path)
    }
}

/// All topics that are taken.
#[derive(Clone, Debug, Default)]
pub struct Topics {
    topics: Vec<Topic>,
    router: Router,
}

struct Asked(String);

/// There is one thing to do with a topic.
const PUBLISH: &str = "PUBLISH";

impl Request for Asked {
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
    /// # Errors
    /// The names of those that have the same filter, in pairs.
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

    /// What becomes of a message that is published to a topic; None if it is not taken.
    pub fn match_topic(&self, topic: &str) -> Option<&Topic> {
        if topic.starts_with('$') {
            return None;
        }
        self.router.route(&Asked(in_tree(topic))).ok().map(|n| &self.topics[n])
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
