use super::*;

#[test]
fn an_id_is_known_for_its_time_and_no_more_are_than_may_be() {
    let (mut recalled, now) = (Recalled::default(), Instant::now());
    recalled.insert("a", now);
    recalled.insert("a", now);
    recalled.insert("b", now + RECALL);
    assert!(recalled.has("a") && recalled.has("b"));
    recalled.insert("c", now + RECALL + Duration::from_millis(1));
    assert!(!recalled.has("a") && recalled.has("b"));
    for n in 0..=RECALLED_MOST {
        recalled.insert(&n.to_string(), now + RECALL);
    }
    assert_eq!((recalled.ids.len(), recalled.ended.len()), (RECALLED_MOST, RECALLED_MOST));
    assert!(recalled.has(&RECALLED_MOST.to_string()) && !recalled.has("0"), "the latest are kept");
}
