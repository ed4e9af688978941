use crate::membership_lease::MembershipLease;
use crate::time::{NEVER, from_secs};
use std::time::Duration;

fn lease() -> MembershipLease {
    MembershipLease::new(Some(Duration::from_secs(6)))
}

#[test]
fn a_list_of_unknown_age_is_not_acted_on() {
    assert!(!lease().is_valid(0));
    assert!(!lease().is_valid(from_secs(100.0)));
}

#[test]
fn a_list_is_acted_on_for_the_term_from_when_it_was_current() {
    let mut lease = lease();
    lease.renew(from_secs(10.0));
    assert!(lease.is_valid(from_secs(15.9)));
    assert!(!lease.is_valid(from_secs(16.0)));
}

#[test]
fn an_older_proof_does_not_shorten_a_newer_one() {
    let mut lease = lease();
    lease.renew(from_secs(10.0));
    lease.renew(from_secs(7.0));
    assert!(lease.is_valid(from_secs(15.9)));
}

#[test]
fn a_proof_from_before_the_first_call_counts_from_then() {
    let mut lease = lease();
    lease.renew(from_secs(-5.0));
    assert!(lease.is_valid(from_secs(0.9)));
    assert!(!lease.is_valid(from_secs(1.0)));
}

#[test]
fn a_limit_holds_until_the_next_proof() {
    let mut lease = lease();
    lease.renew(from_secs(10.0));
    lease.limit(from_secs(12.0));
    assert!(!lease.is_valid(from_secs(12.0)));
    lease.renew(from_secs(13.0));
    assert!(lease.is_valid(from_secs(18.9)));
}

#[test]
fn without_a_term_the_list_is_always_acted_on() {
    let mut lease = MembershipLease::new(None);
    lease.limit(from_secs(1.0));
    assert!(lease.is_valid(from_secs(1e9)));
    assert_eq!(lease.expires_at(), NEVER);
}
