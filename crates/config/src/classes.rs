//! Classes as the decision module numbers them, over versions of the configuration. A message keeps the class
//! by which it was taken; if its class has become stricter since, the stricter of the two holds for it.

use stairshed_decide::interface::{Class, Effect, KeyScope};
use std::collections::BTreeSet;
use std::time::Duration;

/// The stricter of two: what may be repeated by both.
pub fn stricter(a: Effect, b: Effect) -> Effect {
    match (a, b) {
        (Effect::Once, _) | (_, Effect::Once) => Effect::Once,
        (Effect::Repeatable, other) | (other, Effect::Repeatable) => other,
        (Effect::Keyed { scope: a, window: v }, Effect::Keyed { scope: b, window: w }) => {
            let scope = match (a, b) {
                (KeyScope::Endpoint, _) | (_, KeyScope::Endpoint) => KeyScope::Endpoint,
                (KeyScope::Zone, _) | (_, KeyScope::Zone) => KeyScope::Zone,
                (KeyScope::All, KeyScope::All) => KeyScope::All,
            };
            Effect::Keyed { scope, window: v.min(w) }
        }
    }
}

#[derive(Clone, Debug)]
struct Row {
    name: String,
    class: Class,
    /// New messages of this name take this row.
    current: bool,
}

/// All classes that messages may be of. A row's place is the class's number.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    rows: Vec<Row>,
}

impl ClassTable {
    pub fn new(classes: impl IntoIterator<Item = (String, Class)>) -> Self {
        let row = |(name, class)| Row { name, class, current: true };
        ClassTable { rows: classes.into_iter().map(row).collect() }
    }

    /// For a courier that has no configuration yet: the module must have a class, and nothing is of it.
    pub fn none() -> Self {
        let class = gone(Effect::Once, Duration::from_secs(1));
        ClassTable { rows: vec![Row { name: String::new(), class, current: false }] }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The classes in the order of their numbers.
    pub fn classes(&self) -> Vec<Class> {
        self.rows.iter().map(|r| r.class.clone()).collect()
    }

    pub fn get(&self, number: usize) -> Option<&Class> {
        self.rows.get(number).map(|r| &r.class)
    }

    /// The class that new messages of this name are of.
    pub fn named(&self, name: &str) -> Option<usize> {
        self.rows.iter().position(|r| r.current && r.name == name)
    }

    /// The class of a message that was taken when a repeat did `effect`. With `deadline` for a class that is
    /// no more.
    pub fn recorded(&mut self, name: &str, effect: Effect, deadline: Duration) -> usize {
        let now = self.named(name).map(|n| &self.rows[n].class);
        let class = match now {
            Some(class) => Class { effect: stricter(class.effect, effect), ..class.clone() },
            None => gone(effect, deadline),
        };
        let same = |r: &Row| r.name == name && alike(&r.class, &class);
        if let Some(n) = self.rows.iter().position(same) {
            return n;
        }
        self.rows.push(Row { name: name.to_owned(), class, current: false });
        self.rows.len() - 1
    }

    /// Other classes from now on. Rows in use keep their numbers, and become as strict as what has taken
    /// their name.
    pub fn change(&mut self, classes: impl IntoIterator<Item = (String, Class)>, in_use: &BTreeSet<usize>) {
        for row in &mut self.rows {
            row.current = false;
        }
        for (name, class) in classes {
            for (n, row) in self.rows.iter_mut().enumerate() {
                if row.name == name && in_use.contains(&n) {
                    row.class.effect = stricter(row.class.effect, class.effect);
                }
            }
            let alike = |r: &Row| r.name == name && alike(&r.class, &class);
            // A row that nobody uses any more is taken for another class, so that the table does not grow.
            let free = |(n, r): (usize, &Row)| !r.current && !in_use.contains(&n);
            let at = self.rows.iter().position(alike);
            let at = at.or_else(|| self.rows.iter().enumerate().position(free));
            let row = Row { name, class, current: true };
            match at {
                Some(at) => self.rows[at] = row,
                None => self.rows.push(row),
            }
        }
    }
}

/// A class that is no more, for what is left of it: worth what the least is.
fn gone(effect: Effect, deadline: Duration) -> Class {
    Class {
        aim: deadline,
        deadline,
        worth: 1.0,
        late_share: 1.0,
        effect,
        ordered: false,
        aim_stretch: 0.0,
        attempts: None,
    }
}

fn alike(a: &Class, b: &Class) -> bool {
    let figures = |c: &Class| (c.aim, c.deadline, c.worth, c.late_share, c.ordered, c.attempts);
    figures(a) == figures(b) && a.effect == b.effect
}

#[cfg(test)]
mod tests {
    use super::*;

    fn class(effect: Effect) -> Class {
        gone(effect, Duration::from_secs(30))
    }

    fn keyed(scope: KeyScope, secs: u64) -> Effect {
        Effect::Keyed { scope, window: Duration::from_secs(secs) }
    }

    fn one(effect: Effect) -> Vec<(String, Class)> {
        vec![("pay".to_owned(), class(effect))]
    }

    #[test]
    fn the_stricter_of_two_allows_what_both_allow() {
        let (zone, all) = (keyed(KeyScope::Zone, 9), keyed(KeyScope::All, 3));
        assert_eq!(stricter(zone, all), keyed(KeyScope::Zone, 3));
        assert_eq!(stricter(all, keyed(KeyScope::Endpoint, 5)), keyed(KeyScope::Endpoint, 3));
        for other in [Effect::Repeatable, zone, Effect::Once] {
            assert_eq!(stricter(other, Effect::Once), Effect::Once);
            assert_eq!(stricter(Effect::Repeatable, other), other);
        }
    }

    #[test]
    fn a_class_that_becomes_unsafe_is_unsafe_for_what_is_out() {
        let mut table = ClassTable::new(one(keyed(KeyScope::All, 9)));
        table.change(one(Effect::Once), &BTreeSet::from([0]));
        assert_eq!(table.get(0).map(|c| c.effect), Some(Effect::Once));
    }

    #[test]
    fn a_class_that_becomes_safe_is_unsafe_for_what_is_out() {
        let mut table = ClassTable::new(one(Effect::Once));
        table.change(one(Effect::Repeatable), &BTreeSet::from([0]));
        assert_eq!(table.get(0).map(|c| c.effect), Some(Effect::Once));
        let now = table.named("pay").expect("the class");
        assert_ne!(now, 0);
        assert_eq!(table.get(now).map(|c| c.effect), Some(Effect::Repeatable));
        // What was taken before comes back after a restart.
        let mut table = ClassTable::new(one(Effect::Repeatable));
        let n = table.recorded("pay", Effect::Once, Duration::from_secs(5));
        assert_eq!(table.get(n).map(|c| c.effect), Some(Effect::Once));
        assert_eq!(table.recorded("pay", Effect::Repeatable, Duration::from_secs(5)), 0);
    }

    #[test]
    fn the_table_does_not_grow_with_versions_and_rows_in_use_are_not_taken() {
        let mut table = ClassTable::new(one(Effect::Once));
        for n in 1..1000 {
            table.change(one(keyed(KeyScope::All, n)), &BTreeSet::from([0]));
        }
        assert!(table.classes().len() <= 3, "{} rows", table.classes().len());
        assert_eq!(table.get(0).map(|c| c.effect), Some(Effect::Once));
    }

    #[test]
    fn a_class_that_is_gone_is_what_it_was_for_what_is_out() {
        let mut table = ClassTable::new(one(Effect::Once));
        table.change(Vec::new(), &BTreeSet::from([0]));
        assert_eq!(table.named("pay"), None);
        assert_eq!(table.get(0).map(|c| c.effect), Some(Effect::Once));
        let n = table.recorded("other", Effect::Once, Duration::from_secs(5));
        assert_eq!(table.get(n).map(|c| c.effect), Some(Effect::Once));
    }
}
