//! Processor time of this process.

use std::time::Duration;

/// Unit of processor times in `/proc`: Linux reports them in 1/100 s on all supported machines.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the user and system time that this process has used; zero if it cannot be read.
pub(crate) fn process_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program's name, in parentheses, may contain spaces; the fields after it do not.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND)
}
