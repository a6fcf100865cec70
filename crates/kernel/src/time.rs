//! Units of time.

/// A point in time on a monotonic clock, or a duration, in milliseconds.
///
/// Code that decides by time takes the current time as an argument, so that tests can run it with a
/// virtual clock.
pub type Millis = u64;

/// One second in milliseconds.
pub const SECOND: Millis = 1_000;

/// One minute in milliseconds.
pub const MINUTE: Millis = 60 * SECOND;

/// One hour in milliseconds.
pub const HOUR: Millis = 60 * MINUTE;
