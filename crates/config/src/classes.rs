//! Class numbers of the scheduler across configuration versions. A message keeps the class under which it was
//! accepted; if the effect of that class has become stricter since, the stricter effect applies to the
//! message.

use stairshed_decide::interface::{Class, Effect, KeyScope};
use std::collections::BTreeSet;
use std::time::Duration;

/// The stricter of two effects: it permits only repeats that both permit.
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

/// A class with its name.
#[derive(Clone, Debug)]
struct Row {
    name: String,
    class: Class,
    /// New messages of the class with this name use this row.
    current: bool,
}

/// All classes of accepted messages. The index of a row is the number of the class.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    rows: Vec<Row>,
}

impl ClassTable {
    /// Creates a table in which all of these classes are current.
    pub fn new(classes: impl IntoIterator<Item = (String, Class)>) -> Self {
        let row = |(name, class)| Row { name, class, current: true };
        ClassTable { rows: classes.into_iter().map(row).collect() }
    }

    /// Table for a courier without a configuration: the scheduler requires at least one class, and no message
    /// uses it.
    pub fn placeholder() -> Self {
        let class = removed_class(Effect::Once, Duration::from_secs(1));
        ClassTable { rows: vec![Row { name: String::new(), class, current: false }] }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All classes, in the order of their numbers.
    pub fn classes(&self) -> Vec<Class> {
        self.rows.iter().map(|r| r.class.clone()).collect()
    }

    /// The class with this number.
    pub fn get(&self, number: usize) -> Option<&Class> {
        self.rows.get(number).map(|r| &r.class)
    }

    /// Number of the class that new messages use, by its name.
    pub fn current(&self, name: &str) -> Option<usize> {
        self.rows.iter().position(|r| r.current && r.name == name)
    }

    /// Number of the class of a message from the journal, accepted when the class had `effect`. `deadline` is
    /// used if the class no longer exists.
    pub fn for_recorded_message(&mut self, name: &str, effect: Effect, deadline: Duration) -> usize {
        let now = self.current(name).map(|n| &self.rows[n].class);
        let class = match now {
            Some(class) => Class { effect: stricter(class.effect, effect), ..class.clone() },
            None => removed_class(effect, deadline),
        };
        let same = |r: &Row| r.name == name && same_settings(&r.class, &class);
        if let Some(n) = self.rows.iter().position(same) {
            return n;
        }
        self.rows.push(Row { name: name.to_owned(), class, current: false });
        self.rows.len() - 1
    }

    /// Replaces the current classes. Rows in use keep their numbers, and their effect becomes at least as
    /// strict as that of the new class with the same name.
    pub fn update(&mut self, classes: impl IntoIterator<Item = (String, Class)>, in_use: &BTreeSet<usize>) {
        for row in &mut self.rows {
            row.current = false;
        }
        for (name, class) in classes {
            for (n, row) in self.rows.iter_mut().enumerate() {
                if row.name == name && in_use.contains(&n) {
                    row.class.effect = stricter(row.class.effect, class.effect);
                }
            }
            let same_class = |r: &Row| r.name == name && same_settings(&r.class, &class);
            // Reuses a row that no message uses, so that the table does not grow with each version.
            let free = |(n, r): (usize, &Row)| !r.current && !in_use.contains(&n);
            let at = self.rows.iter().position(same_class);
            let at = at.or_else(|| self.rows.iter().enumerate().position(free));
            let row = Row { name, class, current: true };
            match at {
                Some(at) => self.rows[at] = row,
                None => self.rows.push(row),
            }
        }
    }
}

/// Settings for remaining messages of a class that no longer exists. Their worth, 1.0, does not decay until
/// the deadline.
fn removed_class(effect: Effect, deadline: Duration) -> Class {
    Class {
        aim: deadline,
        deadline,
        worth: 1.0,
        late_share: 1.0,
        effect,
        ordered: false,
        aim_stretch: 0.0,
        max_attempts: None,
        refuse_keyed_only_unrun: true,
    }
}

fn same_settings(a: &Class, b: &Class) -> bool {
    let parameters = |c: &Class| (c.aim, c.deadline, c.worth, c.late_share, c.ordered, c.max_attempts);
    parameters(a) == parameters(b) && a.effect == b.effect
}

#[cfg(test)]
#[path = "classes_test.rs"]
mod tests;
