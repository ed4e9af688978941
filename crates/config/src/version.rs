//! State of the numbered configuration versions: which one is being applied, and which are acknowledged or
//! refused, and why. A state machine without I/O or a clock; the protocol is specified in
//! `docs/config-versions.md`.
//!
//! One version is applied at a time (validated, stored, put into effect), and at most one more waits. A newer
//! version replaces the one that waits, so that a service that sends a hundred versions a second causes only
//! one validation after another. Each version gets exactly one answer each time it is sent, unless the
//! courier restarts and finds it in effect.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use std::sync::Arc;

/// A line of the control service's stream.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    version: u64,
    /// The whole configuration; exclusive with `patch`.
    config: Option<Value>,
    /// A JSON merge patch (RFC 7396) of version `base`.
    patch: Option<Value>,
    base: Option<u64>,
}

/// A version with its whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub version: u64,
    /// Shared, since copying a large configuration takes milliseconds.
    pub config: Arc<Value>,
}

/// Why a version is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The line cannot be parsed: it is not JSON, lacks a version, or has both or neither of config and
    /// patch.
    Unreadable(String),
    /// The number is below that of the newest version that is in effect, being applied or waiting.
    NotNewer { newest: u64 },
    /// The number was already used for a different configuration.
    ConflictingContent,
    /// It is a patch of a version that is not the newest known here.
    UnknownBase { base: u64, newest: Option<u64> },
    /// A newer version arrived before this one was applied.
    Superseded { by: u64 },
    /// It is a patch of a version that was refused.
    BaseRefused { base: u64 },
    /// Problems of the configuration, or reasons why it cannot be put into effect.
    Faults(Vec<String>),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Unreadable(reason) => write!(f, "it cannot be read: {reason}"),
            Refusal::NotNewer { newest } => write!(f, "version {newest} came before: send a higher number"),
            Refusal::ConflictingContent => write!(f, "this version came before with another configuration"),
            Refusal::UnknownBase { base, newest } => {
                write!(f, "it is a patch of version {base}, which is not the newest here (")?;
                match newest {
                    Some(newest) => write!(f, "{newest}): send it whole"),
                    None => write!(f, "none): send it whole"),
                }
            }
            Refusal::Superseded { by } => write!(f, "version {by} came before its turn"),
            Refusal::BaseRefused { base } => write!(f, "it is a patch of version {base}, which is refused"),
            Refusal::Faults(all) => write!(f, "{}", all.join("; ")),
        }
    }
}

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionAction {
    /// Validate and store the version, put it into effect, then call [`VersionTracker::finish`].
    Apply(Version),
    /// Acknowledge the version: it is in effect, and a restarted courier would use it.
    Acknowledge { version: u64 },
    /// Refuse the version, or a line without a readable version number.
    Refuse { version: Option<u64>, reason: Refusal },
}

/// A version that is being applied or waits for that.
#[derive(Clone, Debug)]
struct Staged {
    version: Version,
    /// The version that this one is a patch of, which must be applied first.
    depends_on: Option<u64>,
}

/// Tracks the configuration versions of one courier.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    in_effect: Option<Version>,
    applying: Option<Staged>,
    waiting: Option<Staged>,
}

impl VersionTracker {
    /// Creates a tracker. `in_effect` is the version in effect, if it came from the control service.
    pub fn new(in_effect: Option<Version>) -> Self {
        VersionTracker { in_effect, ..VersionTracker::default() }
    }

    /// The version in effect, if it came from the control service.
    pub fn in_effect(&self) -> Option<&Version> {
        self.in_effect.as_ref()
    }

    fn newest(&self) -> Option<&Version> {
        let staged = self.waiting.as_ref().or(self.applying.as_ref()).map(|s| &s.version);
        staged.or(self.in_effect.as_ref())
    }

    /// Processes a line of the stream.
    pub fn receive_line(&mut self, line: &[u8]) -> Vec<VersionAction> {
        let line: Line = match serde_json::from_slice(line) {
            Ok(line) => line,
            Err(e) => {
                return vec![VersionAction::Refuse {
                    version: None,
                    reason: Refusal::Unreadable(e.to_string()),
                }];
            }
        };
        let number = line.version;
        let refuse = |reason| vec![VersionAction::Refuse { version: Some(number), reason }];
        let newest = self.newest();
        let (config, depends_on) = match (line.config, line.patch, line.base) {
            (Some(config), None, None) => (config, None),
            (None, Some(patch), Some(base)) => match newest.filter(|n| n.version == base) {
                Some(newest) => {
                    let mut config = Value::clone(&newest.config);
                    json_patch::merge(&mut config, &patch);
                    (config, Some(base))
                }
                // Sent again after its answer was lost: the version in effect was made from the same base.
                None if newest.is_some_and(|n| n.version >= number) => {
                    return match self.in_effect.as_ref().is_some_and(|h| h.version == number) {
                        true => vec![VersionAction::Acknowledge { version: number }],
                        false => refuse(Refusal::NotNewer { newest: self.newest().map_or(0, |n| n.version) }),
                    };
                }
                None => return refuse(Refusal::UnknownBase { base, newest: newest.map(|n| n.version) }),
            },
            _ => {
                let reason = "either config, or patch and base".to_owned();
                return refuse(Refusal::Unreadable(reason));
            }
        };
        let version = Version { version: number, config: Arc::new(config) };
        if let Some(known) = self.known(number) {
            return match (known == &version, self.in_effect.as_ref().is_some_and(|h| h.version == number)) {
                (true, true) => vec![VersionAction::Acknowledge { version: number }],
                // Still being applied or waiting; its answer will follow.
                (true, false) => Vec::new(),
                (false, _) => refuse(Refusal::ConflictingContent),
            };
        }
        if let Some(newest) = newest.map(|n| n.version).filter(|n| number < *n) {
            return refuse(Refusal::NotNewer { newest });
        }
        let staged = Staged { version, depends_on };
        if self.applying.is_none() {
            return vec![self.apply(staged)];
        }
        let depends_on = match &self.waiting {
            // A patch of the waiting version includes it, and so depends on the same base.
            Some(old) if depends_on == Some(old.version.version) => old.depends_on,
            _ => depends_on,
        };
        let old = self.waiting.replace(Staged { depends_on, ..staged });
        let by = number;
        let superseded = |old: Staged| VersionAction::Refuse {
            version: Some(old.version.version),
            reason: Refusal::Superseded { by },
        };
        old.map(superseded).into_iter().collect()
    }

    fn known(&self, number: u64) -> Option<&Version> {
        let staged = [&self.waiting, &self.applying].into_iter().flatten().map(|s| &s.version);
        staged.chain(&self.in_effect).find(|v| v.version == number)
    }

    fn apply(&mut self, staged: Staged) -> VersionAction {
        let version = staged.version.clone();
        self.applying = Some(staged);
        VersionAction::Apply(version)
    }

    /// Records the result of the version that was being applied.
    pub fn finish(&mut self, result: Result<(), Vec<String>>) -> Vec<VersionAction> {
        let Some(done) = self.applying.take() else { return Vec::new() };
        let number = done.version.version;
        let mut steps = Vec::new();
        let failed = result.is_err();
        steps.push(match result {
            Ok(()) => {
                self.in_effect = Some(done.version);
                VersionAction::Acknowledge { version: number }
            }
            Err(faults) => VersionAction::Refuse { version: Some(number), reason: Refusal::Faults(faults) },
        });
        if let Some(next) = self.waiting.take() {
            let version = Some(next.version.version);
            steps.push(match next.depends_on == Some(number) && failed {
                true => VersionAction::Refuse { version, reason: Refusal::BaseRefused { base: number } },
                false => self.apply(next),
            });
        }
        steps
    }

    /// Discards the waiting version after the connection was lost; the service sends it again if it is still
    /// current.
    pub fn discard_waiting(&mut self) {
        self.waiting = None;
    }
}

#[cfg(test)]
#[path = "version_test.rs"]
mod tests;
