//! Windows of time.

use kernel::Millis;

/// Windows of one length, counted from 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length: Millis,
}

impl Windows {
    /// Windows of a length in milliseconds, which is 1 at least.
    pub fn new(length: Millis) -> Self {
        let length = length.max(1);
        Self { length }
    }

    /// The window of a time, in milliseconds since 1970.
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

    /// When a window ends, in milliseconds since 1970.
    pub fn end(self, window: u64) -> Millis {
        (window + 1).saturating_mul(self.length)
    }
}
