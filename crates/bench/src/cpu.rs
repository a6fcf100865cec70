//! Processor time of this process.

use std::time::Duration;

/// Clock ticks a second, as the kernel reports processor time everywhere that this runs.
const TICKS: f64 = 100.0;

/// Processor time that this process has used.
pub(crate) fn used() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold blanks; the fields after it do not.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_secs_f64(ticks as f64 / TICKS)
}
