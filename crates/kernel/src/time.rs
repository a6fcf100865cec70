//! Units of time.

/// A point on, or a span of, a monotonic clock in milliseconds.
///
/// Decisions receive the current time as an argument, so that tests run them under a virtual
/// clock.
pub type Millis = u64;

/// Milliseconds in a second.
pub const SECOND: Millis = 1_000;

/// Milliseconds in a minute.
pub const MINUTE: Millis = 60 * SECOND;

/// Milliseconds in an hour.
pub const HOUR: Millis = 60 * MINUTE;
