use super::*;

#[test]
fn recent_ids_expire_and_their_number_is_limited() {
    let (mut recent_ids, now) = (RecentIds::default(), Instant::now());
    recent_ids.insert("a", RecentEnd::Final, now);
    recent_ids.insert("a", RecentEnd::Final, now);
    recent_ids.insert("b", RecentEnd::Final, now + RECENT_ID_TTL);
    let (last, past) = (now + RECENT_ID_TTL, now + RECENT_ID_TTL + Duration::from_millis(1));
    assert!(recent_ids.get("a", last).is_some() && recent_ids.get("b", last).is_some());
    assert!(
        recent_ids.get("a", past).is_none() && recent_ids.get("b", past).is_some(),
        "also without an insertion"
    );
    recent_ids.insert("c", RecentEnd::Final, past);
    assert!(recent_ids.get("a", past).is_none() && recent_ids.get("b", past).is_some());
    assert!(recent_ids.get("a", last).is_none(), "expired ids are removed");
    for n in 0..=MAX_RECENT_IDS {
        recent_ids.insert(&n.to_string(), RecentEnd::Final, now + RECENT_ID_TTL);
    }
    assert_eq!((recent_ids.ids.len(), recent_ids.ended.len()), (MAX_RECENT_IDS, MAX_RECENT_IDS));
    assert!(
        recent_ids.get(&MAX_RECENT_IDS.to_string(), past).is_some() && recent_ids.get("0", past).is_none(),
        "the latest are kept"
    );
}

#[test]
fn recent_ids_tell_bounced_messages_from_others() {
    let (mut recent_ids, now) = (RecentIds::default(), Instant::now());
    recent_ids.insert("bounced", RecentEnd::Bounced, now);
    recent_ids.insert("delivered", RecentEnd::Final, now);
    assert_eq!(recent_ids.get("bounced", now), Some(RecentEnd::Bounced));
    assert_eq!(recent_ids.get("delivered", now), Some(RecentEnd::Final));
    assert_eq!(recent_ids.get("other", now), None);
}
