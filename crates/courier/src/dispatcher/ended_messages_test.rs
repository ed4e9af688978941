use super::*;

#[test]
fn recent_ids_expire_and_their_number_is_limited() {
    let (mut recent_ids, now) = (RecentIds::default(), Instant::now());
    recent_ids.insert("a", now);
    recent_ids.insert("a", now);
    recent_ids.insert("b", now + RECENT_ID_TTL);
    let (last, past) = (now + RECENT_ID_TTL, now + RECENT_ID_TTL + Duration::from_millis(1));
    assert!(recent_ids.contains("a", last) && recent_ids.contains("b", last));
    assert!(!recent_ids.contains("a", past) && recent_ids.contains("b", past), "also without an insertion");
    recent_ids.insert("c", past);
    assert!(!recent_ids.contains("a", past) && recent_ids.contains("b", past));
    assert!(!recent_ids.contains("a", last), "expired ids are removed");
    for n in 0..=MAX_RECENT_IDS {
        recent_ids.insert(&n.to_string(), now + RECENT_ID_TTL);
    }
    assert_eq!((recent_ids.ids.len(), recent_ids.ended.len()), (MAX_RECENT_IDS, MAX_RECENT_IDS));
    assert!(
        recent_ids.contains(&MAX_RECENT_IDS.to_string(), past) && !recent_ids.contains("0", past),
        "the latest are kept"
    );
}
