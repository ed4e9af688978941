use super::*;

fn class(effect: Effect) -> Class {
    removed_class(effect, Duration::from_secs(30))
}

fn keyed(scope: KeyScope, secs: u64) -> Effect {
    Effect::Keyed { scope, window: Duration::from_secs(secs) }
}

fn one(effect: Effect) -> Vec<(String, Class)> {
    vec![("pay".to_owned(), class(effect))]
}

#[test]
fn the_stricter_effect_permits_only_what_both_permit() {
    let (zone, all) = (keyed(KeyScope::Zone, 9), keyed(KeyScope::All, 3));
    assert_eq!(stricter(zone, all), keyed(KeyScope::Zone, 3));
    assert_eq!(stricter(all, keyed(KeyScope::Endpoint, 5)), keyed(KeyScope::Endpoint, 3));
    for other in [Effect::Repeatable, zone, Effect::Once] {
        assert_eq!(stricter(other, Effect::Once), Effect::Once);
        assert_eq!(stricter(Effect::Repeatable, other), other);
    }
}

#[test]
fn a_stricter_class_applies_to_accepted_messages() {
    let mut table = ClassTable::new(one(keyed(KeyScope::All, 9)));
    table.update(one(Effect::Once), &BTreeSet::from([0]));
    assert_eq!(table.get(0).map(|c| c.effect), Some(Effect::Once));
}

#[test]
fn a_less_strict_class_does_not_apply_to_accepted_messages() {
    let mut table = ClassTable::new(one(Effect::Once));
    table.update(one(Effect::Repeatable), &BTreeSet::from([0]));
    assert_eq!(table.get(0).map(|c| c.effect), Some(Effect::Once));
    let now = table.current("pay").expect("the class");
    assert_ne!(now, 0);
    assert_eq!(table.get(now).map(|c| c.effect), Some(Effect::Repeatable));
    // After a restart, a message recorded under the stricter effect keeps it.
    let mut table = ClassTable::new(one(Effect::Repeatable));
    let n = table.for_recorded_message("pay", Effect::Once, Duration::from_secs(5));
    assert_eq!(table.get(n).map(|c| c.effect), Some(Effect::Once));
    assert_eq!(table.for_recorded_message("pay", Effect::Repeatable, Duration::from_secs(5)), 0);
}

#[test]
fn the_table_does_not_grow_with_versions_and_rows_in_use_are_not_reused() {
    let mut table = ClassTable::new(one(Effect::Once));
    for n in 1..1000 {
        table.update(one(keyed(KeyScope::All, n)), &BTreeSet::from([0]));
    }
    assert!(table.classes().len() <= 3, "{} rows", table.classes().len());
    assert_eq!(table.get(0).map(|c| c.effect), Some(Effect::Once));
}

#[test]
fn a_removed_class_keeps_its_effect_for_accepted_messages() {
    let mut table = ClassTable::new(one(Effect::Once));
    table.update(Vec::new(), &BTreeSet::from([0]));
    assert_eq!(table.current("pay"), None);
    assert_eq!(table.get(0).map(|c| c.effect), Some(Effect::Once));
    let n = table.for_recorded_message("other", Effect::Once, Duration::from_secs(5));
    assert_eq!(table.get(n).map(|c| c.effect), Some(Effect::Once));
}
