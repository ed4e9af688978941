//! Clocks of the courier. All times that are stored or compared are points on the stable clock, which shows
//! real time elapsed: steps of the wall clock do not change it, and restarts of the process do not reset it.
//! The wall clock is for logs and pages only. `docs/clocks.md` explains the design.
//!
//! ```text
//!   boot_clock   CLOCK_BOOTTIME and the id of the boot
//!   time_of_day  the wall clock
//!   stable_time  a point on the stable clock
//!   record       a reading of all clocks, stored so that the next process can continue the stable clock
//!   start        the stable clock, and how a process starts it from the stored record
//! ```

mod boot_clock;
mod record;
mod stable_time;
mod start;
mod time_of_day;

pub use boot_clock::{BootId, boot_time};
pub use record::{ClockRecord, ClockRecordError};
pub use stable_time::StableTime;
pub use start::{ClockReading, ClockRestart, ClockStart, JournalTimes, StableClock, StoredClock};
pub use time_of_day::TimeOfDay;
