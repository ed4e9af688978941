//! CPU time, scheduling, memory and open descriptors of a process, read from `/proc`.

use std::time::Duration;

/// Clock ticks per second in `/proc`; 100 on all Linux platforms.
const TICKS_PER_SECOND: f64 = 100.0;

/// What the threads of a process have spent with a core, and waiting for one.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulingTimes {
    pub running: Duration,
    pub waiting: Duration,
}

impl SchedulingTimes {
    /// Reads the times of all threads together. Zero once the process has ended, and where the kernel keeps none.
    pub fn read(id: u32) -> Self {
        let mut times = Self::default();
        for thread in std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten() {
            // Nanoseconds with a core, nanoseconds in the run queue, number of turns.
            let text = std::fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
            let mut fields = text.split_whitespace().map(|field| field.parse().unwrap_or_default());
            times.running += Duration::from_nanos(fields.next().unwrap_or_default());
            times.waiting += Duration::from_nanos(fields.next().unwrap_or_default());
        }
        times
    }

    /// What was spent since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        SchedulingTimes {
            running: self.running.saturating_sub(earlier.running),
            waiting: self.waiting.saturating_sub(earlier.waiting),
        }
    }
}

/// CPU time that a process has used, in seconds.
pub fn cpu_seconds(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // utime and stime: fields 12 and 13 after the name, which is in parentheses and may contain spaces.
    let fields: Vec<f64> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / TICKS_PER_SECOND
}

/// Peak resident memory in MB.
pub fn peak_resident_mb(id: u32) -> f64 {
    status(id, "VmHWM:")
}

/// Resident memory in MB.
pub fn resident_mb(id: u32) -> f64 {
    status(id, "VmRSS:")
}

/// Number of open descriptors of a process; None once it has ended.
pub fn open_descriptors(id: u32) -> Option<usize> {
    std::fs::read_dir(format!("/proc/{id}/fd")).ok().map(Iterator::count)
}

fn status(id: u32, name: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or_default() / 1e3
}
