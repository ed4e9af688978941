use stairshed_config::File;

/// The example file. Its lines that start with `#= ` show keys without a default, or that depend on other
/// keys; `all` uncomments them.
fn example(all: bool) -> String {
    let example = include_str!("../../../../deploy/stairshed.example.toml");
    let lines = example.lines().map(|l| l.strip_prefix("#= ").filter(|_| all).unwrap_or(l));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn the_example_is_valid_with_and_without_its_commented_keys() {
    for all in [false, true] {
        let read = stairshed_config::load("example", &example(all));
        assert!(read.is_ok(), "{}", read.expect_err("checked"));
    }
}

#[test]
fn the_example_shows_every_key_with_its_default() {
    let read = stairshed_config::load("example", &example(true)).expect("sound").file;
    let json = |file: &File| serde_json::to_value(file).expect("JSON");
    let (read, defaults) = (json(&read), json(&File::default()));
    for section in ["limits", "memory", "journal", "dns", "mqtt"] {
        for (key, value) in defaults[section].as_object().expect("a section") {
            // A key without a default must be shown too.
            let is_shown =
                if value.is_null() { !read[section][key].is_null() } else { read[section][key] == *value };
            assert!(
                is_shown,
                "{section}.{key}: {} in the example, {value} is the default",
                read[section][key]
            );
        }
    }
    for (section, keys) in [
        ("listen", vec!["http", "mqtt", "admin"]),
        ("control", vec!["url", "version_most", "first_wait", "heartbeat"]),
        ("outcomes", vec!["url", "file"]),
        ("discovery", vec!["address"]),
    ] {
        for key in keys {
            assert!(!read[section][key].is_null(), "{section}.{key} is not shown");
        }
    }
    for (section, of) in [("classes", 10), ("pools", 5), ("routes", 9), ("topics", 8)] {
        let mut keys: Vec<&String> = Vec::new();
        for entry in read[section].as_object().expect("a section").values() {
            let fields = entry.as_object().expect("an entry");
            let empty = |v: &serde_json::Value| {
                v.is_null() || v == "" || v == &serde_json::json!([]) || v == &serde_json::json!({})
            };
            keys.extend(fields.iter().filter(|(_, v)| !empty(v)).map(|(k, _)| k));
        }
        keys.sort();
        keys.dedup();
        assert!(keys.len() >= of, "{section} shows {keys:?}");
    }
}

#[test]
fn the_example_shows_the_default_meaning_of_answers() {
    let installation = stairshed_config::load("example", &example(false)).expect("sound");
    let answers = &installation.file.pools["fuel"].answers;
    let lists = [&answers.delivered, &answers.rejected, &answers.may_have_run, &answers.refused];
    assert!(lists.iter().all(|list| list.is_some()), "{answers:?}");
    let pool = installation.pools.iter().find(|pool| pool.name == "fuel").expect("the pool");
    assert_eq!(*pool.answers, stairshed_health::answers::AnswerProfile::default());
}
