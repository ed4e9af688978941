use super::*;
use crate::installation::load;

fn installation(endpoints: &str) -> Installation {
    load("test", &format!("[pools.p]\nendpoints = [{endpoints}]\n")).expect("valid")
}

#[test]
fn only_changed_members_are_reported() {
    let a = "{ address = \"127.0.0.1:1\" }";
    let before = installation(&format!("{a}, {{ address = \"127.0.0.1:2\" }}"));
    let after = installation(&format!("{{ address = \"127.0.0.1:3\" }}, {a}"));
    let changes: Vec<_> =
        member_changes(Some(&before), &after).into_iter().map(|c| (c.member.host, c.removed)).collect();
    assert_eq!(changes, [("p/127.0.0.1:2".to_owned(), true), ("p/127.0.0.1:3".to_owned(), false)]);
    assert_eq!(member_changes(Some(&after), &after), []);
    assert_eq!(member_changes(None, &after).len(), 2);
}

#[test]
fn another_limit_or_address_under_the_same_name_is_a_change() {
    let before = installation("{ name = \"a\", address = \"127.0.0.1:1\" }");
    for after in [
        "{ name = \"a\", address = \"127.0.0.1:2\" }",
        "{ name = \"a\", address = \"127.0.0.1:1\", limit = \"5/s\" }",
    ] {
        let changes = member_changes(Some(&before), &installation(after));
        assert_eq!(changes.len(), 1);
        assert!(!changes[0].removed);
    }
}
