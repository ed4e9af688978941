//! Invalid configuration files. Each lists the expected problems at its end, on lines that begin with `#!`:
//! line, key, and a word that the reason must contain. No other problems may be reported.

use stairshed_config::load;
use std::path::Path;

#[test]
fn all_problems_of_every_invalid_file_are_reported_with_line_and_key_and_nothing_else() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/bad");
    let mut files = 0;
    for entry in std::fs::read_dir(&directory).expect("the folder") {
        let file = entry.expect("a file").path();
        let text = std::fs::read_to_string(&file).expect("text");
        let name = file.file_name().and_then(|n| n.to_str()).expect("a name");
        let expected: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("#! ")).collect();
        assert!(!expected.is_empty(), "{name}: no expected problems listed");
        let problems = load(name, &text).expect_err(name);
        let mut unexpected = problems.all.clone();
        for line in &expected {
            let mut parts = line.splitn(3, ' ');
            let row: usize = parts.next().and_then(|r| r.parse().ok()).expect("a line");
            let (key, word) = (parts.next().expect("a key"), parts.next().unwrap_or_default());
            let key = if key == "-" { "" } else { key };
            let at = unexpected.iter().position(|p| {
                p.position.is_some_and(|(r, _)| r == row)
                    && p.path.to_string() == key
                    && p.reason.contains(word)
            });
            let at = at.unwrap_or_else(|| panic!("{name}: no problem matches {line:?}:\n{problems}"));
            unexpected.remove(at);
        }
        assert!(unexpected.is_empty(), "{name}: unexpected problems: {unexpected:?}");
        files += 1;
    }
    assert!(files >= 40, "{files} files");
}
