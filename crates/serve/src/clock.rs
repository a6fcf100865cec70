//! The clocks of the process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use kernel::Millis;

/// A monotonic clock that begins with the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let start = Instant::now();
        Self { start }
    }
}

impl Clock {
    /// Milliseconds on the monotonic clock. It goes on while the process is stopped.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Milliseconds since 1970.
    pub fn wall(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as Millis)
    }
}
