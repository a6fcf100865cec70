//! The clocks of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use kernel::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A monotonic clock that begins with the process, and the wall clock.
///
/// The monotonic clock counts the time for which the machine was suspended. A holder of a lease
/// that was frozen together with its machine would otherwise believe that its lease still has
/// time to live, and two holders would give orders at once.
///
/// # Examples
///
/// ```
/// let clock = clock::Clock::default();
/// let before = clock.now();
/// assert!(clock.now() >= before);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    /// Milliseconds since 1970 when the process began.
    epoch: Millis,
}

fn boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

fn wall() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as Millis)
}

impl Default for Clock {
    fn default() -> Self {
        let start = boot();
        let epoch = wall();
        Self { start, epoch }
    }
}

impl Clock {
    /// Milliseconds on the monotonic clock.
    pub fn now(&self) -> Millis {
        boot().saturating_sub(self.start).as_millis() as Millis
    }

    /// Milliseconds since 1970.
    pub fn wall(&self) -> Millis {
        wall()
    }

    /// Milliseconds since 1970 by the wall clock when the process began and the monotonic clock since. A wall
    /// clock that is set while the process runs does not move it.
    ///
    /// # Examples
    ///
    /// ```
    /// let clock = clock::Clock::default();
    /// assert!(clock.steady().abs_diff(clock.wall()) < 1_000);
    /// ```
    pub fn steady(&self) -> Millis {
        self.epoch + self.now()
    }
}
