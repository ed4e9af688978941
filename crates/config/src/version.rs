//! Configuration in numbered versions: which one is worked on, which is acknowledged, which refused and why.
//! A state machine without a socket, a disk or a clock; `docs/config-versions.md` is the protocol.
//!
//! One version is worked on at a time (checked, stored, put into effect); at most one more waits. A newer one
//! takes the place of the one that waits, so that a service that sends a hundred a second costs one check
//! after another and no more. Every version gets exactly one answer for each time that it is sent, unless a
//! later life of the courier finds it in effect.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use std::sync::Arc;

/// A line of the stream.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    version: u64,
    /// The whole configuration,
    config: Option<Value>,
    /// or a merge patch (RFC 7396) of version `base`.
    patch: Option<Value>,
    base: Option<u64>,
}

/// A version with its whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub version: u64,
    /// Shared: a large one takes milliseconds to be copied.
    pub config: Arc<Value>,
}

/// Why a version is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// Line that cannot be read: no JSON, no version, both or none of config and patch.
    Unreadable(String),
    /// A number below the one in effect, or that is worked on.
    NotNewer { newest: u64 },
    /// The number is taken by another configuration.
    ConflictingContent,
    /// A patch of a version that is not the newest here.
    UnknownBase { base: u64, newest: Option<u64> },
    /// A newer version came before its turn.
    Superseded { by: u64 },
    /// The version that it is a patch of was refused.
    BaseRefused { base: u64 },
    /// What is wrong with it, or why it cannot be put into effect.
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

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionAction {
    /// Check it, store it, put it into effect, and call [`Versions::done`].
    Apply(Version),
    /// It is in effect, and a later life would come up on it.
    Acknowledge {
        version: u64,
    },
    Refuse {
        version: Option<u64>,
        reason: Refusal,
    },
}

#[derive(Clone, Debug)]
struct Staged {
    version: Version,
    /// It is a patch of this one, which must be taken first.
    needs: Option<u64>,
}

/// Versions as one courier has them.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    in_effect: Option<Version>,
    working: Option<Staged>,
    waiting: Option<Staged>,
}

impl VersionTracker {
    /// With the version that is in effect, if it is one of the service's.
    pub fn new(in_effect: Option<Version>) -> Self {
        VersionTracker { in_effect, ..VersionTracker::default() }
    }

    pub fn in_effect(&self) -> Option<&Version> {
        self.in_effect.as_ref()
    }

    fn newest(&self) -> Option<&Version> {
        let staged = self.waiting.as_ref().or(self.working.as_ref()).map(|s| &s.version);
        staged.or(self.in_effect.as_ref())
    }

    /// Takes a line of the stream.
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
        let (config, needs) = match (line.config, line.patch, line.base) {
            (Some(config), None, None) => (config, None),
            (None, Some(patch), Some(base)) => match newest.filter(|n| n.version == base) {
                Some(newest) => {
                    let mut config = Value::clone(&newest.config);
                    json_patch::merge(&mut config, &patch);
                    (config, Some(base))
                }
                // Sent once more after its answer was lost: what is in effect was made of the same base.
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
                // Its answer is still to come.
                (true, false) => Vec::new(),
                (false, _) => refuse(Refusal::ConflictingContent),
            };
        }
        if let Some(newest) = newest.map(|n| n.version).filter(|n| number < *n) {
            return refuse(Refusal::NotNewer { newest });
        }
        let staged = Staged { version, needs };
        if self.working.is_none() {
            return vec![self.work(staged)];
        }
        let needs = match &self.waiting {
            // A patch on what waits holds all of it, and needs what that needed.
            Some(old) if needs == Some(old.version.version) => old.needs,
            _ => needs,
        };
        let old = self.waiting.replace(Staged { needs, ..staged });
        let by = number;
        let superseded = |old: Staged| VersionAction::Refuse {
            version: Some(old.version.version),
            reason: Refusal::Superseded { by },
        };
        old.map(superseded).into_iter().collect()
    }

    fn known(&self, number: u64) -> Option<&Version> {
        let staged = [&self.waiting, &self.working].into_iter().flatten().map(|s| &s.version);
        staged.chain(&self.in_effect).find(|v| v.version == number)
    }

    fn work(&mut self, staged: Staged) -> VersionAction {
        let version = staged.version.clone();
        self.working = Some(staged);
        VersionAction::Apply(version)
    }

    /// Takes in what became of the version that was worked on.
    pub fn finish(&mut self, result: Result<(), Vec<String>>) -> Vec<VersionAction> {
        let Some(done) = self.working.take() else { return Vec::new() };
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
            steps.push(match next.needs == Some(number) && failed {
                true => VersionAction::Refuse { version, reason: Refusal::BaseRefused { base: number } },
                false => self.work(next),
            });
        }
        steps
    }

    /// The connection is gone: what waits there will be sent again, as far as it still counts.
    pub fn discard_waiting(&mut self) {
        self.waiting = None;
    }
}

#[cfg(test)]
#[path = "version_test.rs"]
mod tests;
