//! Checks docs/mqtt-conformance.md against the tests: the comment of each test names the statements that the
//! page assigns to it.

use std::path::Path;

#[test]
fn each_statement_that_is_kept_is_named_by_its_test() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/mqtt-conformance.md")).expect("the page");
    let (mut version, mut kept) = ("", 0);
    for line in page.lines() {
        if let Some(name) = line.strip_prefix("## MQTT ") {
            version = name;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, ids, _, "kept", how, _] = cells[..] else { continue };
        let mut parts = how.split('`').skip(1).step_by(2);
        let (file, test) = (parts.next().expect("a file"), parts.next().expect("a test"));
        let text = std::fs::read_to_string(root.join(file)).expect(file);
        let at = text.find(&format!("fn {test}()")).unwrap_or_else(|| panic!("{file} has no {test}"));
        // The comment above the test, starting at the end of the preceding item.
        let head = &text[text[..at].rfind("}\n").unwrap_or(0)..at];
        let of = head.split("// Of ").find(|part| part.starts_with(version)).unwrap_or_default();
        for id in ids.split(", ") {
            assert!(of.contains(id), "{test} does not name {id} of {version}");
            kept += 1;
        }
    }
    assert!(kept > 200, "{kept} statements");
}
