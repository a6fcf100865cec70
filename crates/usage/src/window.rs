//! Time windows.

use kernel::Millis;

/// Consecutive time windows of one length, numbered from 0 at the start of 1970 (UTC).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length: Millis,
}

impl Windows {
    /// Creates windows of a length in milliseconds; 0 counts as 1.
    pub fn new(length: Millis) -> Self {
        let length = length.max(1);
        Self { length }
    }

    /// Returns the number of the window that contains a time, in milliseconds since 1970.
    ///
    /// # Examples
    ///
    /// ```
    /// let windows = usage::Windows::new(5_000);
    /// assert_eq!(windows.containing(12_000), 2);
    /// assert_eq!(windows.end(2), 15_000);
    /// ```
    pub fn containing(self, at: Millis) -> u64 {
        at / self.length
    }

    /// Returns when a window ends, in milliseconds since 1970.
    pub fn end(self, window: u64) -> Millis {
        (window + 1).saturating_mul(self.length)
    }
}
