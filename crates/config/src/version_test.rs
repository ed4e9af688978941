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

fn apply(version: u64, config: Value) -> VersionAction {
    VersionAction::Apply(Version { version, config: Arc::new(config) })
}

fn refuse(version: u64, reason: Refusal) -> VersionAction {
    VersionAction::Refuse { version: Some(version), reason }
}

fn ack(version: u64) -> VersionAction {
    VersionAction::Acknowledge { version }
}

#[test]
fn a_version_is_applied_then_acknowledged_while_the_next_waits() {
    let mut v = VersionTracker::default();
    assert_eq!(v.receive_line(&whole(3, json!({"a": 1}))), [apply(3, json!({"a": 1}))]);
    assert_eq!(v.receive_line(&whole(4, json!({"a": 2}))), []);
    assert_eq!(v.receive_line(&whole(7, json!({"a": 3}))), [refuse(4, Refusal::Superseded { by: 7 })]);
    assert_eq!(v.finish(Ok(())), [ack(3), apply(7, json!({"a": 3}))]);
    assert_eq!(v.finish(Err(vec!["no".to_owned()])), [refuse(7, Refusal::Faults(vec!["no".to_owned()]))]);
    assert_eq!(v.in_effect().map(|h| h.version), Some(3));
}

#[test]
fn lower_and_repeated_numbers_are_distinguished() {
    let mut v = VersionTracker::new(Some(Version { version: 5, config: Arc::new(json!({"a": 1})) }));
    assert_eq!(v.receive_line(&whole(5, json!({"a": 1}))), [ack(5)], "sent again: its answer may be lost");
    assert_eq!(v.receive_line(&whole(5, json!({"a": 2}))), [refuse(5, Refusal::ConflictingContent)]);
    assert_eq!(v.receive_line(&whole(4, json!({"a": 1}))), [refuse(4, Refusal::NotNewer { newest: 5 })]);
    assert_eq!(v.receive_line(&whole(9, json!({"a": 1}))), [apply(9, json!({"a": 1}))], "a gap is no fault");
    assert_eq!(v.receive_line(&whole(9, json!({"a": 1}))), [], "its answer is still to come");
    assert_eq!(v.receive_line(&whole(9, json!({"a": 2}))), [refuse(9, Refusal::ConflictingContent)]);
    assert_eq!(v.receive_line(&whole(7, json!({"a": 1}))), [refuse(7, Refusal::NotNewer { newest: 9 })]);
}

#[test]
fn patches_require_their_base_version() {
    let mut v =
        VersionTracker::new(Some(Version { version: 5, config: Arc::new(json!({"a": {"b": 1, "c": 2}})) }));
    let newest = Some(5);
    assert_eq!(
        v.receive_line(&patch(7, 6, json!({}))),
        [refuse(7, Refusal::UnknownBase { base: 6, newest })]
    );
    assert_eq!(
        v.receive_line(&patch(6, 5, json!({"a": {"b": null, "d": 3}}))),
        [apply(6, json!({"a": {"c": 2, "d": 3}}))]
    );
    // A patch of the version being applied, then a patch of that patch: the second includes the first.
    assert_eq!(v.receive_line(&patch(7, 6, json!({"e": 1}))), []);
    assert_eq!(v.receive_line(&patch(8, 7, json!({"f": 1}))), [refuse(7, Refusal::Superseded { by: 8 })]);
    let all = json!({"a": {"c": 2, "d": 3}, "e": 1, "f": 1});
    assert_eq!(v.clone().finish(Ok(())), [ack(6), apply(8, all)]);
    let bad = v.finish(Err(vec![]));
    assert_eq!(bad, [refuse(6, Refusal::Faults(vec![])), refuse(8, Refusal::BaseRefused { base: 6 })]);
    assert_eq!(v.in_effect().map(|h| h.version), Some(5));
}

#[test]
fn unreadable_lines_are_refused_without_a_change() {
    let mut v = VersionTracker::default();
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
        let steps = v.receive_line(bad.as_bytes());
        assert!(
            matches!(&steps[..], [VersionAction::Refuse { reason: Refusal::Unreadable(_), .. }]),
            "{bad}: {steps:?}"
        );
    }
    assert_eq!(v.receive_line(&whole(1, json!({}))), [apply(1, json!({}))]);
}

/// Each version sent gets exactly one answer, and the version in effect is the last one acknowledged.
#[test]
fn every_version_gets_exactly_one_answer() {
    for seed in 0..2000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut v = VersionTracker::default();
        let (mut sent, mut answers) = (BTreeMap::new(), BTreeMap::<u64, Vec<bool>>::new());
        let (mut effect, mut applying): (Option<Version>, Option<Version>) = (None, None);
        let mut next = 1;
        let mut take = |steps: Vec<VersionAction>, applying: &mut Option<Version>| {
            for step in steps {
                match step {
                    VersionAction::Apply(version) => {
                        assert!(applying.replace(version).is_none(), "one at a time")
                    }
                    VersionAction::Acknowledge { version } => answers.entry(version).or_default().push(true),
                    VersionAction::Refuse { version: Some(version), .. } => {
                        answers.entry(version).or_default().push(false);
                    }
                    VersionAction::Refuse { version: None, .. } => {}
                }
            }
        };
        for _ in 0..40 {
            let steps = match rng.random_range(0..4) {
                0 => {
                    sent.insert(next, ());
                    v.receive_line(&whole(next, json!({"n": next})))
                }
                1 => {
                    sent.insert(next, ());
                    v.receive_line(&patch(
                        next,
                        next.saturating_sub(rng.random_range(1..3)),
                        json!({"p": next}),
                    ))
                }
                2 => v.receive_line(b"nonsense"),
                _ => {
                    let Some(done) = applying.take() else { continue };
                    let succeeds = rng.random_bool(0.7);
                    if succeeds {
                        effect = Some(done);
                    }
                    v.finish(if succeeds { Ok(()) } else { Err(vec!["x".to_owned()]) })
                }
            };
            take(steps, &mut applying);
            next += rng.random_range(1..3);
            assert_eq!(v.in_effect(), effect.as_ref(), "seed {seed}");
        }
        while let Some(done) = applying.take() {
            effect = Some(done);
            take(v.finish(Ok(())), &mut applying);
        }
        for version in sent.keys() {
            assert_eq!(answers.get(version).map(Vec::len), Some(1), "seed {seed}: version {version}");
        }
        assert_eq!(v.in_effect(), effect.as_ref());
    }
}
