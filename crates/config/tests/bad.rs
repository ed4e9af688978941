//! Files with faults, each with the list of what must be said of it, written by hand at its end: line, key,
//! and a word that must be in the reason. Nothing more may be said.

use stairshed_config::load;
use std::path::Path;

#[test]
fn every_fault_of_every_bad_file_is_told_with_its_line_and_key_and_nothing_else_is() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad");
    let mut files = 0;
    for entry in std::fs::read_dir(&folder).expect("the folder") {
        let file = entry.expect("a file").path();
        let text = std::fs::read_to_string(&file).expect("text");
        let name = file.file_name().and_then(|n| n.to_str()).expect("a name");
        let expected: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("#! ")).collect();
        assert!(!expected.is_empty(), "{name}: it says what is wrong with it");
        let problems = load(name, &text).expect_err(name);
        let mut left = problems.all.clone();
        for line in &expected {
            let mut parts = line.splitn(3, ' ');
            let row: usize = parts.next().and_then(|r| r.parse().ok()).expect("a line");
            let (key, word) = (parts.next().expect("a key"), parts.next().unwrap_or_default());
            let key = if key == "-" { "" } else { key };
            let at = left.iter().position(|p| {
                p.position.is_some_and(|(r, _)| r == row)
                    && p.path.to_string() == key
                    && p.reason.contains(word)
            });
            let at = at.unwrap_or_else(|| panic!("{name}: nothing tells {line:?}:\n{problems}"));
            left.remove(at);
        }
        assert!(left.is_empty(), "{name}: said, too: {left:?}");
        files += 1;
    }
    assert!(files >= 40, "{files} files");
}
