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
    pub fn placeholder() -> Self {
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
    pub fn current(&self, name: &str) -> Option<usize> {
        self.rows.iter().position(|r| r.current && r.name == name)
    }

    /// The class of a message that was taken when a repeat did `effect`. With `deadline` for a class that is
    /// no more.
    pub fn for_recorded_message(&mut self, name: &str, effect: Effect, deadline: Duration) -> usize {
        let now = self.current(name).map(|n| &self.rows[n].class);
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
        max_attempts: None,
    }
}

fn alike(a: &Class, b: &Class) -> bool {
    let figures = |c: &Class| (c.aim, c.deadline, c.worth, c.late_share, c.ordered, c.max_attempts);
    figures(a) == figures(b) && a.effect == b.effect
}

#[cfg(test)]
#[path = "classes_test.rs"]
mod tests;
