//! The fault of this process, in a test build.

use crate::{PlantedFault, UnknownFault, VARIABLE};
use std::sync::OnceLock;

fn planted() -> &'static Result<Option<PlantedFault>, UnknownFault> {
    static PLANTED: OnceLock<Result<Option<PlantedFault>, UnknownFault>> = OnceLock::new();
    PLANTED.get_or_init(|| std::env::var(VARIABLE).ok().map(|name| PlantedFault::named(&name)).transpose())
}

/// Whether this process has the fault.
pub fn is_planted(fault: PlantedFault) -> bool {
    matches!(planted(), Ok(Some(planted)) if *planted == fault)
}

/// Logs that this is a test build, and its fault.
///
/// # Errors
/// The environment variable names no fault.
pub fn announce() -> Result<(), UnknownFault> {
    match planted() {
        Ok(Some(fault)) => eprintln!("TEST BUILD, NOT FOR USE: it has the planted fault {fault}"),
        Ok(None) => eprintln!("TEST BUILD, NOT FOR USE: {VARIABLE} is not set, no fault is planted"),
        Err(error) => return Err(error.clone()),
    }
    Ok(())
}
