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
    GoesBack { newest: u64 },
    /// The number is taken by another configuration.
    OtherContent,
    /// A patch of a version that is not the newest here.
    BaseUnknown { base: u64, newest: Option<u64> },
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
            Refusal::Unreadable(why) => write!(f, "it cannot be read: {why}"),
            Refusal::GoesBack { newest } => write!(f, "version {newest} came before: send a higher number"),
            Refusal::OtherContent => write!(f, "this version came before with another configuration"),
            Refusal::BaseUnknown { base, newest } => {
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
pub enum Step {
    /// Check it, store it, put it into effect, and call [`Versions::done`].
    Work(Version),
    /// It is in effect, and a later life would come up on it.
    Acknowledge {
        version: u64,
    },
    Refuse {
        version: Option<u64>,
        why: Refusal,
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
pub struct Versions {
    held: Option<Version>,
    working: Option<Staged>,
    waiting: Option<Staged>,
}

impl Versions {
    /// With the version that is in effect, if it is one of the service's.
    pub fn new(held: Option<Version>) -> Self {
        Versions { held, ..Versions::default() }
    }

    pub fn held(&self) -> Option<&Version> {
        self.held.as_ref()
    }

    fn newest(&self) -> Option<&Version> {
        let staged = self.waiting.as_ref().or(self.working.as_ref()).map(|s| &s.version);
        staged.or(self.held.as_ref())
    }

    /// Takes a line of the stream.
    pub fn offer(&mut self, line: &[u8]) -> Vec<Step> {
        let line: Line = match serde_json::from_slice(line) {
            Ok(line) => line,
            Err(e) => return vec![Step::Refuse { version: None, why: Refusal::Unreadable(e.to_string()) }],
        };
        let number = line.version;
        let refuse = |why| vec![Step::Refuse { version: Some(number), why }];
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
                    return match self.held.as_ref().is_some_and(|h| h.version == number) {
                        true => vec![Step::Acknowledge { version: number }],
                        false => refuse(Refusal::GoesBack { newest: self.newest().map_or(0, |n| n.version) }),
                    };
                }
                None => return refuse(Refusal::BaseUnknown { base, newest: newest.map(|n| n.version) }),
            },
            _ => {
                let why = "either config, or patch and base".to_owned();
                return refuse(Refusal::Unreadable(why));
            }
        };
        let version = Version { version: number, config: Arc::new(config) };
        if let Some(known) = self.known(number) {
            return match (known == &version, self.held.as_ref().is_some_and(|h| h.version == number)) {
                (true, true) => vec![Step::Acknowledge { version: number }],
                // Its answer is still to come.
                (true, false) => Vec::new(),
                (false, _) => refuse(Refusal::OtherContent),
            };
        }
        if let Some(newest) = newest.map(|n| n.version).filter(|n| number < *n) {
            return refuse(Refusal::GoesBack { newest });
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
        let superseded = |old: Staged| Step::Refuse {
            version: Some(old.version.version),
            why: Refusal::Superseded { by },
        };
        old.map(superseded).into_iter().collect()
    }

    fn known(&self, number: u64) -> Option<&Version> {
        let staged = [&self.waiting, &self.working].into_iter().flatten().map(|s| &s.version);
        staged.chain(&self.held).find(|v| v.version == number)
    }

    fn work(&mut self, staged: Staged) -> Step {
        let version = staged.version.clone();
        self.working = Some(staged);
        Step::Work(version)
    }

    /// Takes in what became of the version that was worked on.
    pub fn done(&mut self, result: Result<(), Vec<String>>) -> Vec<Step> {
        let Some(done) = self.working.take() else { return Vec::new() };
        let number = done.version.version;
        let mut steps = Vec::new();
        let failed = result.is_err();
        steps.push(match result {
            Ok(()) => {
                self.held = Some(done.version);
                Step::Acknowledge { version: number }
            }
            Err(faults) => Step::Refuse { version: Some(number), why: Refusal::Faults(faults) },
        });
        if let Some(next) = self.waiting.take() {
            let version = Some(next.version.version);
            steps.push(match next.needs == Some(number) && failed {
                true => Step::Refuse { version, why: Refusal::BaseRefused { base: number } },
                false => self.work(next),
            });
        }
        steps
    }

    /// The connection is gone: what waits there will be sent again, as far as it still counts.
    pub fn disconnected(&mut self) {
        self.waiting = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng, rngs::SmallRng};
    use serde_json::json;
    use std::collections::BTreeMap;

    fn whole(version: u64, config: Value) -> Vec<u8> {
        json!({"version": version, "config": config}).to_string().into_bytes()
    }

    fn patch(version: u64, base: u64, patch: Value) -> Vec<u8> {
        json!({"version": version, "base": base, "patch": patch}).to_string().into_bytes()
    }

    fn work(version: u64, config: Value) -> Step {
        Step::Work(Version { version, config: Arc::new(config) })
    }

    fn refuse(version: u64, why: Refusal) -> Step {
        Step::Refuse { version: Some(version), why }
    }

    fn ack(version: u64) -> Step {
        Step::Acknowledge { version }
    }

    #[test]
    fn a_version_is_worked_on_then_acknowledged_and_the_next_waits() {
        let mut v = Versions::default();
        assert_eq!(v.offer(&whole(3, json!({"a": 1}))), [work(3, json!({"a": 1}))]);
        assert_eq!(v.offer(&whole(4, json!({"a": 2}))), []);
        assert_eq!(v.offer(&whole(7, json!({"a": 3}))), [refuse(4, Refusal::Superseded { by: 7 })]);
        assert_eq!(v.done(Ok(())), [ack(3), work(7, json!({"a": 3}))]);
        assert_eq!(v.done(Err(vec!["no".to_owned()])), [refuse(7, Refusal::Faults(vec!["no".to_owned()]))]);
        assert_eq!(v.held().map(|h| h.version), Some(3));
    }

    #[test]
    fn numbers_that_go_back_or_repeat_are_told_apart() {
        let mut v = Versions::new(Some(Version { version: 5, config: Arc::new(json!({"a": 1})) }));
        assert_eq!(v.offer(&whole(5, json!({"a": 1}))), [ack(5)], "sent again: its answer may be lost");
        assert_eq!(v.offer(&whole(5, json!({"a": 2}))), [refuse(5, Refusal::OtherContent)]);
        assert_eq!(v.offer(&whole(4, json!({"a": 1}))), [refuse(4, Refusal::GoesBack { newest: 5 })]);
        assert_eq!(v.offer(&whole(9, json!({"a": 1}))), [work(9, json!({"a": 1}))], "a gap is no fault");
        assert_eq!(v.offer(&whole(9, json!({"a": 1}))), [], "its answer is still to come");
        assert_eq!(v.offer(&whole(9, json!({"a": 2}))), [refuse(9, Refusal::OtherContent)]);
        assert_eq!(v.offer(&whole(7, json!({"a": 1}))), [refuse(7, Refusal::GoesBack { newest: 9 })]);
    }

    #[test]
    fn patches_need_the_version_that_they_are_made_of() {
        let mut v =
            Versions::new(Some(Version { version: 5, config: Arc::new(json!({"a": {"b": 1, "c": 2}})) }));
        let newest = Some(5);
        assert_eq!(v.offer(&patch(7, 6, json!({}))), [refuse(7, Refusal::BaseUnknown { base: 6, newest })]);
        assert_eq!(
            v.offer(&patch(6, 5, json!({"a": {"b": null, "d": 3}}))),
            [work(6, json!({"a": {"c": 2, "d": 3}}))]
        );
        // A patch on what is worked on, and one on that: the first is held in the second.
        assert_eq!(v.offer(&patch(7, 6, json!({"e": 1}))), []);
        assert_eq!(v.offer(&patch(8, 7, json!({"f": 1}))), [refuse(7, Refusal::Superseded { by: 8 })]);
        let all = json!({"a": {"c": 2, "d": 3}, "e": 1, "f": 1});
        assert_eq!(v.clone().done(Ok(())), [ack(6), work(8, all)]);
        let bad = v.done(Err(vec![]));
        assert_eq!(bad, [refuse(6, Refusal::Faults(vec![])), refuse(8, Refusal::BaseRefused { base: 6 })]);
        assert_eq!(v.held().map(|h| h.version), Some(5));
    }

    #[test]
    fn lines_that_are_none_are_refused_and_change_nothing() {
        let mut v = Versions::default();
        for bad in [
            "",
            "{",
            "[]",
            "{\"version\":1}",
            "{\"version\":-1,\"config\":{}}",
            "{\"config\":{}}",
            "{\"version\":1,\"config\":{},\"patch\":{},\"base\":0}",
            "{\"version\":1,\"patch\":{}}",
            "{\"version\":1,\"config\":{},\"more\":1}",
            "\u{0}",
        ] {
            let steps = v.offer(bad.as_bytes());
            assert!(
                matches!(&steps[..], [Step::Refuse { why: Refusal::Unreadable(_), .. }]),
                "{bad}: {steps:?}"
            );
        }
        assert_eq!(v.offer(&whole(1, json!({}))), [work(1, json!({}))]);
    }

    /// Every version that is sent has one answer at the end, and what is in effect is the last acknowledged.
    #[test]
    fn each_version_has_one_answer_whatever_comes() {
        for seed in 0..2000 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut v = Versions::default();
            let (mut sent, mut answers) = (BTreeMap::new(), BTreeMap::<u64, Vec<bool>>::new());
            let (mut effect, mut working): (Option<Version>, Option<Version>) = (None, None);
            let mut next = 1;
            let mut take = |steps: Vec<Step>, working: &mut Option<Version>| {
                for step in steps {
                    match step {
                        Step::Work(version) => assert!(working.replace(version).is_none(), "one at a time"),
                        Step::Acknowledge { version } => answers.entry(version).or_default().push(true),
                        Step::Refuse { version: Some(version), .. } => {
                            answers.entry(version).or_default().push(false);
                        }
                        Step::Refuse { version: None, .. } => {}
                    }
                }
            };
            for _ in 0..40 {
                let steps = match rng.random_range(0..4) {
                    0 => {
                        sent.insert(next, ());
                        v.offer(&whole(next, json!({"n": next})))
                    }
                    1 => {
                        sent.insert(next, ());
                        v.offer(&patch(next, next.saturating_sub(rng.random_range(1..3)), json!({"p": next})))
                    }
                    2 => v.offer(b"nonsense"),
                    _ => {
                        let Some(done) = working.take() else { continue };
                        let good = rng.random_bool(0.7);
                        if good {
                            effect = Some(done);
                        }
                        v.done(if good { Ok(()) } else { Err(vec!["x".to_owned()]) })
                    }
                };
                take(steps, &mut working);
                next += rng.random_range(1..3);
                assert_eq!(v.held(), effect.as_ref(), "seed {seed}");
            }
            while let Some(done) = working.take() {
                effect = Some(done);
                take(v.done(Ok(())), &mut working);
            }
            for version in sent.keys() {
                assert_eq!(answers.get(version).map(Vec::len), Some(1), "seed {seed}: version {version}");
            }
            assert_eq!(v.held(), effect.as_ref());
        }
    }
}
