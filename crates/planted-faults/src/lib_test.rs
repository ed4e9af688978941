use super::*;
use std::collections::BTreeSet;

#[test]
fn each_fault_is_found_by_its_own_name() {
    let names: BTreeSet<_> = PlantedFault::ALL.iter().map(|fault| fault.name()).collect();
    assert_eq!(names.len(), PlantedFault::ALL.len());
    for fault in PlantedFault::ALL {
        assert_eq!(PlantedFault::named(fault.name()), Ok(fault));
    }
    assert!(PlantedFault::named("").is_err());
}

#[cfg(not(feature = "enabled"))]
#[test]
fn a_normal_build_has_no_fault() {
    assert!(PlantedFault::ALL.iter().all(|fault| !is_planted(*fault)));
    assert_eq!(announce(), Ok(()));
}
