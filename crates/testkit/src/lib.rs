//! Runs real couriers on loopback under faults that a scenario file lists and a seed draws, and checks the delivery
//! rules from the records of the run alone. `docs/fault-scenarios.md` tells the file's keys and how to read a verdict.

pub mod clients;
pub mod clock_effect;
pub mod courier_file;
pub mod courier_process;
pub mod crowd;
pub mod endpoints;
pub mod fault_cost;
pub mod folder_cost;
pub mod folder_outages;
pub mod mqtt_clients;
pub mod plan;
pub mod planted;
pub mod proxy;
pub mod reach;
pub mod record;
pub mod runner;
pub mod scenario;
pub mod span;
pub mod steady_load;
pub mod table;
pub mod timeline;
pub mod trial;
pub mod verdict;
