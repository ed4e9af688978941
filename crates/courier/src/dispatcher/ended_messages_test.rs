use super::*;

#[test]
fn recent_ids_expire_and_their_number_is_limited() {
    let (mut recent_ids, now) = (RecentIds::default(), Instant::now());
    recent_ids.insert("a", now);
    recent_ids.insert("a", now);
    recent_ids.insert("b", now + RECENT_ID_TTL);
    assert!(recent_ids.contains("a") && recent_ids.contains("b"));
    recent_ids.insert("c", now + RECENT_ID_TTL + Duration::from_millis(1));
    assert!(!recent_ids.contains("a") && recent_ids.contains("b"));
    for n in 0..=MAX_RECENT_IDS {
        recent_ids.insert(&n.to_string(), now + RECENT_ID_TTL);
    }
    assert_eq!((recent_ids.ids.len(), recent_ids.ended.len()), (MAX_RECENT_IDS, MAX_RECENT_IDS));
    assert!(
        recent_ids.contains(&MAX_RECENT_IDS.to_string()) && !recent_ids.contains("0"),
        "the latest are kept"
    );
}
