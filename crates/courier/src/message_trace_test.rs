use super::*;

#[test]
fn ids_or_a_share_are_followed_and_what_is_neither_is_told() {
    let of = |text: &str| text.parse::<TraceFilter>();
    let some = of("a-1, b-2").expect("two ids");
    assert!(some.has("a-1") && some.has("b-2") && !some.has("a"));
    assert!(of("1/1").expect("all").has("anything"));
    let share = of("1/10").expect("a tenth");
    let followed = (0..10_000).filter(|n| share.has(&format!("m{n}"))).count();
    assert!((800..1200).contains(&followed), "{followed} of 10,000 in a tenth");
    assert_eq!(of("1/0"), Err(TraceFilterError::Share("0".to_owned())));
    assert_eq!(of(" , "), Err(TraceFilterError::Empty));
    let many = (0..=IDS_MOST).map(|n| n.to_string()).collect::<Vec<_>>().join(",");
    assert_eq!(of(&many), Err(TraceFilterError::Many(IDS_MOST + 1)));
}

#[test]
fn no_more_than_so_many_lines_a_second_are_written_and_the_rest_is_counted() {
    let written = Cell::new((0, 0, 0));
    let kept = (0..LINES_MOST + 7).filter(|_| allowed(5, &written).is_some()).count();
    assert_eq!(kept, LINES_MOST as usize);
    assert_eq!(allowed(6, &written), Some(7));
    assert_eq!(allowed(6, &written), Some(0));
}
