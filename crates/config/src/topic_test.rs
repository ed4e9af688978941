use super::*;

// Of 5.0: MQTT-4.7.2-1, MQTT-4.7.3-4
// Of 3.1.1: MQTT-4.7.2-1, MQTT-4.7.3-4
#[test]
fn filters_match_as_the_specification_s_examples_say() {
    for (filter, topic, holds) in [
        ("sport/tennis/player1/#", "sport/tennis/player1", true),
        ("sport/tennis/player1/#", "sport/tennis/player1/ranking", true),
        ("sport/tennis/player1/#", "sport/tennis/player1/score/wimbledon", true),
        ("sport/#", "sport", true),
        ("#", "sport", true),
        ("sport/tennis/+", "sport/tennis/player1", true),
        ("sport/tennis/+", "sport/tennis/player1/ranking", false),
        ("sport/+", "sport", false),
        ("sport/+", "sport/", true),
        ("+/+", "/finance", true),
        ("/+", "/finance", true),
        ("+", "/finance", false),
        ("#", "$SYS/a", false),
        ("+/monitor/Clients", "$SYS/monitor/Clients", false),
        ("$SYS/#", "$SYS/", true),
        ("ACCOUNTS", "Accounts", false),
    ] {
        assert!(is_topic_filter(filter) && is_topic_name(topic), "{filter} {topic}");
        assert_eq!(matches(filter, topic), holds, "{filter} {topic}");
    }
}

fn topic(name: &str, filter: &str) -> Topic {
    Topic {
        name: name.to_owned(),
        pool: 0,
        class: 0,
        pattern: parse_filter(filter).expect("a filter"),
        identity: None,
        identity_scope: IdentityScope::All,
        key: None,
        time_out: None,
        rewrite: None,
        pass: Vec::new(),
        set: Vec::new(),
    }
}

/// Whether `a` has precedence over `b`: at the first level that differs, text comes before `+`, and `+`
/// before `#`.
fn before(a: &str, b: &str) -> bool {
    let rank = |level: Option<&str>| match level {
        // A filter that ends at this level comes before one that continues with #.
        None => 0,
        Some("#") => 3,
        Some("+") => 2,
        Some(_) => 1,
    };
    let (mut a, mut b) = (a.split('/'), b.split('/'));
    loop {
        let (x, y) = (a.next(), b.next());
        if rank(x) != rank(y) || x.is_none() {
            return rank(x) < rank(y);
        }
    }
}

#[test]
fn lookup_agrees_with_a_scan_of_all_filters() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..2000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut level = |wild: bool| match rng.random_range(0..if wild { 6 } else { 4 }) {
            0 => "a".to_owned(),
            1 => "b".to_owned(),
            2 => String::new(),
            3 => "c".to_owned(),
            _ => "+".to_owned(),
        };
        let mut filters: Vec<String> = Vec::new();
        for n in 0..12 {
            let mut levels: Vec<String> = (0..n % 4 + 1).map(|_| level(true)).collect();
            if n % 3 == 0 {
                levels.push("#".to_owned());
            }
            filters.push(levels.join("/"));
        }
        filters.retain(|f| is_topic_filter(f));
        filters.sort();
        filters.dedup();
        let table = Topics::new(filters.iter().map(|f| topic(f, f)).collect()).expect("no conflict");
        for n in 0..30 {
            let name = (0..n % 5 + 1).map(|_| level(false)).collect::<Vec<_>>().join("/");
            if !is_topic_name(&name) {
                continue;
            }
            let scan = filters.iter().filter(|f| matches(f, &name));
            let best = scan.reduce(|a, b| if before(b, a) { b } else { a });
            let chosen = table.match_topic(&name).map(|t| &t.name);
            assert_eq!(chosen, best, "seed {seed}: {name:?} of {filters:?}");
        }
    }
}

#[test]
fn topics_are_converted_to_paths() {
    let plain = topic("a", "a/#");
    assert_eq!(plain.path("a/b c/d?").as_deref(), Some("/a/b%20c/d%3F"));
    assert_eq!(plain.path("a/../b"), None);
    assert_eq!(plain.path("a//b"), None);
    let mut rewritten = topic("b", "fuel/+/pay/#");
    rewritten.rewrite = Some("/v2/{1}/charge/{rest}".to_owned());
    assert_eq!(rewritten.path("fuel/7/pay/x/y").as_deref(), Some("/v2/7/charge/x/y"));
    assert_eq!(rewritten.path("fuel//pay/x"), None);
    assert_eq!(rewritten.path("fuel/7/pay").as_deref(), Some("/v2/7/charge/"));
}

#[test]
fn values_are_extracted_from_their_configured_source() {
    let properties = [
        ("id".to_owned(), "p-1".to_owned()),
        ("Twice".to_owned(), "1".to_owned()),
        ("twice".to_owned(), "2".to_owned()),
    ];
    let payload = br#"{"payment": {"id": "p-2", "number": 7, "list": []}}"#;
    let of = PublishedMessage { topic: "fuel/st-3/pay", payload, properties: &properties };
    let property = |name: &str| Pick { property: Some(name.to_owned()), ..Pick::default() };
    let pointer = |text: &str| Pick { pointer: Some(text.to_owned()), ..Pick::default() };
    assert_eq!(of.extract(&property("ID")).as_deref(), Some("p-1"));
    assert_eq!(of.extract(&property("twice")), None, "which of them?");
    assert_eq!(of.extract(&Pick { level: Some(2), ..Pick::default() }).as_deref(), Some("st-3"));
    assert_eq!(of.extract(&Pick { level: Some(4), ..Pick::default() }), None);
    assert_eq!(of.extract(&pointer("/payment/id")).as_deref(), Some("p-2"));
    assert_eq!(of.extract(&pointer("/payment/number")).as_deref(), Some("7"));
    assert_eq!(of.extract(&pointer("/payment/list")), None);
    let no_json = PublishedMessage { payload: b"42", ..of };
    assert_eq!(no_json.extract(&pointer("/payment/id")), None);
}

// Of 5.0: MQTT-4.7.1-1, MQTT-4.7.1-2
// Of 3.1.1: MQTT-4.7.1-2, MQTT-4.7.1-3
#[test]
fn what_is_no_filter_and_no_name_is_refused() {
    for bad in ["", "sport/tennis#", "sport/tennis/#/ranking", "sport+", "a/b+/c", "a\0b"] {
        assert!(!is_topic_filter(bad), "{bad}");
    }
    for bad in ["", "a/+", "#", "a\0b", &"x".repeat(MAX_TOPIC_BYTES + 1)] {
        assert!(!is_topic_name(bad), "{bad}");
    }
}
