//! Runs real couriers on loopback under faults that a scenario file lists and a seed draws, and checks the delivery
//! rules from the records of the run alone. `docs/fault-scenarios.md` tells the file's keys and how to read a verdict.

pub mod plan;
pub mod proxy;
pub mod scenario;
pub mod span;
