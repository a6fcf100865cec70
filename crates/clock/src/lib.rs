//! The monotonic clock and the wall clock of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use kernel::Millis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A monotonic clock that starts at 0 when it is created, and the wall clock.
///
/// The monotonic clock includes the time for which the machine was suspended. Without that time, the holder of a
/// lease on a machine that resumes would take an expired lease for valid, and two holders would issue orders at the
/// same time.
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
    /// Time since boot when the clock was created.
    start: Duration,
    /// Wall clock time when the clock was created, in milliseconds since 1970.
    epoch: Millis,
}

/// Returns the time since boot, including suspended time.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}

/// Returns the milliseconds since 1970, or 0 for an earlier time.
fn wall_time() -> Millis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as Millis)
}

impl Default for Clock {
    fn default() -> Self {
        let start = boot_time();
        let epoch = wall_time();
        Self { start, epoch }
    }
}

impl Clock {
    /// Returns the monotonic time, in milliseconds since the clock was created.
    pub fn now(&self) -> Millis {
        boot_time().saturating_sub(self.start).as_millis() as Millis
    }

    /// Returns the processor time that the calling thread has used, in milliseconds. Values of different threads can't
    /// be compared.
    ///
    /// # Examples
    ///
    /// ```
    /// let clock = clock::Clock::default();
    /// let before = clock.thread_cpu();
    /// assert!(clock.thread_cpu() >= before);
    /// ```
    pub fn thread_cpu(&self) -> Millis {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32).as_millis() as Millis
    }

    /// Returns the wall clock time, in milliseconds since 1970.
    pub fn wall(&self) -> Millis {
        wall_time()
    }

    /// Returns the milliseconds since 1970, taken from the wall clock when this clock was created and advanced by
    /// the monotonic clock. Setting the wall clock while the process runs has no effect on it.
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
