use super::*;
use stairshed_memory::{ByPurpose, Caps};

/// An empty account with a cap of 1,000 bytes.
fn session_memory() -> SessionMemory {
    let mut caps = Caps::new(None, &ByPurpose::new(|_| None)).expect("valid caps");
    caps.of[Purpose::Sessions] = 1_000;
    SessionMemory::new(&Ledger::new(&caps, 1.0), 0)
}

fn held(memory: &SessionMemory) -> u64 {
    memory.ledger.held(Purpose::Sessions)
}

#[test]
fn a_measurement_keeps_reservations() {
    let mut memory = session_memory();
    assert_eq!(memory.reserve(1, "/a", 600), Ok(()));
    memory.set_measured(0);
    assert!(memory.reserve(2, "/b", 600).is_err());
    memory.session_created("/a");
    assert_eq!(held(&memory), 600);
    memory.set_measured(600);
    assert!(memory.reserve(2, "/b", 600).is_err());
    memory.release(1);
    assert_eq!(held(&memory), 600, "the reservation has become a session");
}

#[test]
fn connections_of_one_owner_share_their_largest_reservation() {
    let mut memory = session_memory();
    assert_eq!(memory.reserve(1, "/a", 300), Ok(()));
    assert_eq!(memory.reserve(2, "/a", 500), Ok(()));
    assert!(memory.reserve(3, "/a", 1_100).is_err());
    assert_eq!(held(&memory), 500);
    memory.release(2);
    memory.release(3);
    assert_eq!(held(&memory), 500, "connection 1 is still being admitted");
    memory.release(1);
    assert_eq!(held(&memory), 0);
}
