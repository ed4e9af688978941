//! What the system tells of a process: CPU, memory and descriptors.

/// Clock ticks of `/proc` in a second; Linux has this everywhere.
const TICKS: f64 = 100.0;

/// Seconds of CPU that a process has had.
pub fn cpu_seconds(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // Behind the name, which may hold blanks, in brackets: the 12th and 13th fields from there.
    let fields: Vec<f64> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / TICKS
}

/// Peak resident memory, MB.
pub fn peak_resident_mb(id: u32) -> f64 {
    status(id, "VmHWM:")
}

/// Resident memory, MB.
pub fn resident_mb(id: u32) -> f64 {
    status(id, "VmRSS:")
}

/// Descriptors that a process has open; None once it is gone.
pub fn open_descriptors(id: u32) -> Option<usize> {
    std::fs::read_dir(format!("/proc/{id}/fd")).ok().map(Iterator::count)
}

fn status(id: u32, name: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or_default() / 1e3
}
