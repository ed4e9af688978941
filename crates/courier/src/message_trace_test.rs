use super::*;

#[test]
fn ids_or_a_share_are_followed_and_what_is_neither_is_told() {
    let of = |text: &str| text.parse::<TraceFilter>();
    let some = of("a-1, b-2").expect("two ids");
    assert!(some.matches("a-1") && some.matches("b-2") && !some.matches("a"));
    assert!(of("1/1").expect("all").matches("anything"));
    let share = of("1/10").expect("a tenth");
    let followed = (0..10_000).filter(|n| share.matches(&format!("m{n}"))).count();
    assert!((800..1200).contains(&followed), "{followed} of 10,000 in a tenth");
    assert_eq!(of("1/0"), Err(TraceFilterError::InvalidShare("0".to_owned())));
    assert_eq!(of(" , "), Err(TraceFilterError::NoIds));
    let many = (0..=MAX_IDS).map(|n| n.to_string()).collect::<Vec<_>>().join(",");
    assert_eq!(of(&many), Err(TraceFilterError::TooManyIds(MAX_IDS + 1)));
}

#[test]
fn no_more_than_so_many_lines_a_second_are_written_and_the_rest_is_counted() {
    let line_count = Cell::new((0, 0, 0));
    let kept = (0..MAX_LINES_PER_SECOND + 7).filter(|_| admit_line(5, &line_count).is_some()).count();
    assert_eq!(kept, MAX_LINES_PER_SECOND as usize);
    assert_eq!(admit_line(6, &line_count), Some(7));
    assert_eq!(admit_line(6, &line_count), Some(0));
}
