use super::*;

#[test]
fn filter_accepts_ids_or_a_share_and_rejects_other_texts() {
    let parse = |text: &str| text.parse::<TraceFilter>();
    let some = parse("a-1, b-2").expect("two ids");
    assert!(some.matches("a-1") && some.matches("b-2") && !some.matches("a"));
    assert!(parse("1/1").expect("all").matches("anything"));
    let share = parse("1/10").expect("a tenth");
    let matched = (0..10_000).filter(|n| share.matches(&format!("m{n}"))).count();
    assert!((800..1200).contains(&matched), "{matched} of 10,000 in a tenth");
    assert_eq!(parse("1/0"), Err(TraceFilterError::InvalidShare("0".to_owned())));
    assert_eq!(parse(" , "), Err(TraceFilterError::NoIds));
    let many = (0..=MAX_IDS).map(|n| n.to_string()).collect::<Vec<_>>().join(",");
    assert_eq!(parse(&many), Err(TraceFilterError::TooManyIds(MAX_IDS + 1)));
}

#[test]
fn lines_above_the_limit_per_second_are_dropped_and_counted() {
    let line_count = Cell::new((0, 0, 0));
    let admitted = (0..MAX_LINES_PER_SECOND + 7).filter(|_| admit_line(5, &line_count).is_some()).count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert_eq!(admit_line(6, &line_count), Some(7));
    assert_eq!(admit_line(6, &line_count), Some(0));
}
