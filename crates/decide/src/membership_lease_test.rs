use crate::membership_lease::MembershipLease;
use crate::time::{NEVER, from_secs};
use std::time::Duration;

fn lease() -> MembershipLease {
    MembershipLease::new(Some(Duration::from_secs(6)))
}

#[test]
fn a_lease_is_not_valid_before_its_first_renewal() {
    assert!(!lease().is_valid(0));
    assert!(!lease().is_valid(from_secs(100.0)));
}

#[test]
fn a_lease_is_valid_for_its_duration_from_when_the_list_was_current() {
    let mut lease = lease();
    lease.renew(from_secs(10.0));
    assert!(lease.is_valid(from_secs(15.9)));
    assert!(!lease.is_valid(from_secs(16.0)));
}

#[test]
fn a_renewal_from_an_older_time_does_not_shorten_the_lease() {
    let mut lease = lease();
    lease.renew(from_secs(10.0));
    lease.renew(from_secs(7.0));
    assert!(lease.is_valid(from_secs(15.9)));
}

#[test]
fn a_renewal_from_before_the_first_call_counts_from_its_own_time() {
    let mut lease = lease();
    lease.renew(from_secs(-5.0));
    assert!(lease.is_valid(from_secs(0.9)));
    assert!(!lease.is_valid(from_secs(1.0)));
}

#[test]
fn a_shortened_lease_is_extended_by_the_next_renewal() {
    let mut lease = lease();
    lease.renew(from_secs(10.0));
    lease.shorten_to(from_secs(12.0));
    assert!(!lease.is_valid(from_secs(12.0)));
    lease.renew(from_secs(13.0));
    assert!(lease.is_valid(from_secs(18.9)));
}

#[test]
fn without_a_duration_the_lease_is_always_valid() {
    let mut lease = MembershipLease::new(None);
    lease.shorten_to(from_secs(1.0));
    assert!(lease.is_valid(from_secs(1e9)));
    assert_eq!(lease.expires_at(), NEVER);
}
