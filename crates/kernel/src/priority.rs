//! Priorities of requests.

/// Priority of a request, from 0 for the most urgent to 9.
///
/// # Examples
///
/// ```
/// use kernel::Priority;
///
/// assert_eq!(Priority::new(9).map(Priority::level), Some(9));
/// assert_eq!(Priority::new(10), None);
/// assert!(Priority::new(0) < Priority::new(5));
/// assert_eq!(Priority::default().level(), 5);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(u8);

/// The least urgent level.
const LAST_LEVEL: u8 = 9;

/// The level of requests for which none is configured, in the middle, so that both more and less urgent ones can be
/// configured.
const DEFAULT_LEVEL: u8 = 5;

impl Priority {
    /// Creates a priority; [`None`] if the level is above 9.
    pub fn new(level: u64) -> Option<Self> {
        let level = u8::try_from(level).ok()?;
        (level <= LAST_LEVEL).then_some(Self(level))
    }

    /// Returns the level, from 0 to 9.
    pub fn level(self) -> u8 {
        self.0
    }
}

impl Default for Priority {
    fn default() -> Self {
        Self(DEFAULT_LEVEL)
    }
}
