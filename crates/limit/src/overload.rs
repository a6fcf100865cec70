//! Sheds new calls at an instance that is short of processor time.
//!
//! Load pattern: callers send an instance more than it has processor time for. Without shedding every request waits
//! until its caller has left, so nobody is served, whichever team it belongs to. Rejecting a request early costs a
//! small part of handling it.
//!
//! The instance measures the delay of its run queue. While the delay stays over its limit, the rate of accepted
//! calls is reduced; while it stays below, the rate grows again. [`demand`] divides the rate among priorities and
//! teams. [`readiness`] decides when an instance that sheds nearly everything reports that it is not ready.

pub mod demand;
pub mod readiness;

use std::sync::Arc;

use kernel::Millis;
use kernel::Priority;

use demand::Demand;

/// Shortest window over which the delay is judged, in milliseconds. The smallest delay of a window decides, since a
/// queue that never empties shows in all observations and a single pause only in one.
const WINDOW: Millis = 100;

/// Observations that a window has at least, so that a single pause does not fill a window.
const MIN_OBSERVATIONS: u32 = 2;

/// Time without any observation from which the process counts as paused, in milliseconds. What arrives during shorter
/// pauses is worked through before shedding starts. An idle process cannot be told from a paused one.
const MIN_PAUSE: Millis = 400;

/// An instance counts as idle or paused between two observations if it used less than this part of the time in between
/// as processor time, given as a divisor: 20 stands for 5%. An instance that handles requests uses more.
const MAX_GAP_USE: Millis = 20;

/// Longest time after a pause in which the accepted rate is not reduced, in milliseconds. After a shorter pause this
/// time is as long as the pause.
const MAX_GRACE: Millis = 1_000;

/// Time after a grace in which another pause counts as load, in milliseconds: an instance that lacks processor time
/// may pause again and again.
const GRACE_INTERVAL: Millis = 5_000;

/// Part of the accepted rate that is removed for each multiple of the limit by which the delay exceeds it.
const DECREASE_GAIN: f64 = 0.15;

/// Smallest part of the accepted rate that a window over the limit removes.
const MIN_DECREASE: f64 = 0.04;

/// Largest part of the accepted rate that a window over the limit removes. One window may be misleading.
const MAX_DECREASE: f64 = 0.25;

/// Ratio of the delays of two windows below which the queue counts as draining. The rate is low enough then; reducing
/// it further would leave the instance idle afterwards.
const DRAINING_RATIO: f64 = 0.95;

/// Growth of the accepted rate in the first window without delay, as a part of the demand. It rises by this step in
/// each further window: near the capacity the rate grows slowly, after a recovery it soon reaches the demand.
const INCREASE_STEP: f64 = 0.005;

/// Largest growth of the accepted rate in a window.
const MAX_INCREASE: f64 = 0.02;

/// Largest number of windows for which the rate grows at once after a time without measurements.
const MAX_IDLE_WINDOWS: f64 = 50.0;

/// Largest number of windows for which the rate is reduced at once after a long window: while an instance works through
/// a long queue, it decides only once in each pass.
const MAX_BUSY_WINDOWS: f64 = 2.0;

/// Largest fraction of the calls that are shed. The rest shows whether the instance has recovered.
const MAX_SHED: f64 = 0.95;

/// Fraction of shed calls from which an instance sheds nearly everything.
const NEARLY_ALL: f64 = 0.9;

/// Part of the rate before a series of reductions that is accepted after it.
const RESTORED_RATIO: f64 = 0.9;

/// Smallest accepted rate, so that it can be reduced before any call has arrived.
const MIN_RATE: f64 = 1.0;

/// Largest ratio of the accepted rate to the demand. A higher one would delay the reaction to a growing demand.
const MAX_HEADROOM: f64 = 1.5;

/// Time for which the delay is over the limit before shedding starts, in milliseconds. In trials at 9 ms of
/// processor time in each 100 ms, shedding after one window rejected a fifth of calls that came 20 at a time, once a
/// second.
const START_TIME: Millis = 150;

/// Time for which the accepted rate has to exceed the demand before shedding ends, in milliseconds.
const END_TIME: Millis = 2_000;

/// Mean time after which a shed caller is asked to return while little is shed, in milliseconds.
const MIN_RETRY: f64 = 250.0;

/// Mean time after which a shed caller is asked to return if everything were shed, in milliseconds.
const MAX_RETRY: f64 = 3_000.0;

/// What happens to an arriving call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is handled.
    Accepted,
    /// It is rejected without being handled.
    Shed,
}

/// Change of a [`Shedder`] after a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// From now on calls may be shed.
    Started,
    /// Calls are no longer shed.
    Ended,
}

/// The observations of the delay since the last decision.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Millis,
    count: u32,
    min_delay: Millis,
    /// Whether a measurement has ended in it.
    is_measured: bool,
}

impl Window {
    fn new(start: Millis) -> Self {
        Self {
            start,
            count: 0,
            min_delay: Millis::MAX,
            is_measured: false,
        }
    }
}

/// The rate of calls that are accepted while the instance is overloaded.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Calls in the units of [`Demand::total`].
    rate: f64,
    /// The rate before it was reduced, until the delay is below the limit again.
    previous_rate: Option<f64>,
    /// Growth in the last window, as a part of the demand.
    increase: f64,
    /// Since when the rate exceeds the demand.
    ample_since: Option<Millis>,
}

/// Decides which calls an instance sheds.
///
/// # Examples
///
/// ```
/// use kernel::Priority;
/// use limit::Shedder;
/// use limit::overload::Arrival;
/// use limit::overload::Change;
///
/// let mut shedder = Shedder::new(40);
/// let priority = Priority::default();
/// for at in 0..50 {
///     assert_eq!(shedder.arrived(Some(&"a".into()), priority, at), Arrival::Accepted);
/// }
/// shedder.measurement_started(0, 0);
/// assert_eq!(shedder.measurement_ended(90, 90), (90, None));
/// for end in [180, 270] {
///     shedder.measurement_started(end - 90, end - 90);
///     assert_eq!(shedder.measurement_ended(end, end), (90, None));
/// }
/// shedder.measurement_started(270, 270);
/// assert_eq!(shedder.measurement_ended(360, 360), (90, Some(Change::Started)));
/// assert!(shedder.shed_fraction() > 0.0);
/// ```
#[derive(Debug)]
pub struct Shedder {
    limit: Millis,
    window: Window,
    /// Smallest delay of the previous window.
    previous_delay: Millis,
    /// Smallest delay of the last window in which a measurement ended.
    measured_delay: Millis,
    /// Since when the delay is over the limit: the last windows were, and the first of them as long as its delay.
    over_since: Option<Millis>,
    /// When the pending measurement began.
    pending_since: Option<Millis>,
    /// When the instance last observed its delay.
    seen_at: Millis,
    /// The processor time that it had used by then.
    seen_cpu: Millis,
    /// Until when the accepted rate is not reduced, after a pause.
    grace_end: Option<Millis>,
    allowance: Option<Allowance>,
    demand: Demand,
}

impl Shedder {
    /// Creates a shedder that keeps the delay near `limit` milliseconds under overload.
    pub fn new(limit: Millis) -> Self {
        Self {
            limit: limit.max(1),
            window: Window::new(0),
            previous_delay: 0,
            measured_delay: 0,
            pending_since: None,
            seen_at: 0,
            over_since: None,
            seen_cpu: 0,
            grace_end: None,
            allowance: None,
            demand: Demand::default(),
        }
    }

    /// Decides on an arriving call; `team` is [`None`] if it belongs to none.
    pub fn arrived(&mut self, team: Option<&Arc<str>>, priority: Priority, now: Millis) -> Arrival {
        if self.demand.roll(now) {
            self.divide();
        }
        match self.demand.accepts(team, priority) {
            true => Arrival::Accepted,
            false => Arrival::Shed,
        }
    }

    /// Records that a measurement of the delay begins. `cpu` is the processor time that the instance has used so far, in
    /// milliseconds.
    pub fn measurement_started(&mut self, now: Millis, cpu: Millis) {
        self.check_gap(now, cpu);
        self.pending_since = Some(now);
    }

    /// Records the end of the pending measurement, and returns the delay with what it changes.
    pub fn measurement_ended(&mut self, now: Millis, cpu: Millis) -> (Millis, Option<Change>) {
        self.check_gap(now, cpu);
        let since = self.pending_since.take().unwrap_or(now);
        let delay = now.saturating_sub(since);
        self.window.is_measured = true;
        (delay, self.observe(delay, now))
    }

    /// Checks how long the pending measurement takes already. A long queue would otherwise be noticed only after it
    /// has been worked through.
    pub fn check_pending(&mut self, now: Millis, cpu: Millis) -> Option<Change> {
        self.check_gap(now, cpu);
        let age = now.saturating_sub(self.pending_since?);
        if age <= self.limit {
            return None;
        }
        self.observe(age, now)
    }

    /// Notices that the instance has done nothing for a while. Without a pending measurement it was idle, so its queue
    /// was empty; what has arrived during a pause is worked through without shedding.
    fn check_gap(&mut self, now: Millis, cpu: Millis) {
        let gap = now.saturating_sub(self.seen_at);
        let used = cpu.saturating_sub(self.seen_cpu);
        (self.seen_at, self.seen_cpu) = (now, cpu);
        if used * MAX_GAP_USE >= gap {
            return;
        }
        if gap > self.limit && self.pending_since.is_none() {
            self.window.min_delay = 0;
        }
        let may_forgive = self.grace_end.is_none_or(|end| now >= end + GRACE_INTERVAL);
        if gap >= MIN_PAUSE && may_forgive {
            self.grace_end = Some(now + gap.min(MAX_GRACE));
        }
    }

    /// Adds a delay to the window. At the end of the window, changes the accepted rate if necessary.
    fn observe(&mut self, delay: Millis, now: Millis) -> Option<Change> {
        self.window.count += 1;
        self.window.min_delay = self.window.min_delay.min(delay);
        let elapsed = now.saturating_sub(self.window.start);
        if elapsed < WINDOW || self.window.count < MIN_OBSERVATIONS {
            return None;
        }
        self.demand.roll(now);
        let delay = self.window.min_delay;
        self.previous_delay = delay;
        // The age of a pending measurement says nothing on whether the delay falls.
        let is_draining =
            self.window.is_measured && (delay as f64) < self.measured_delay as f64 * DRAINING_RATIO;
        if self.window.is_measured {
            self.measured_delay = delay;
        }
        let ratio = delay as f64 / self.limit as f64;
        let windows = (elapsed as f64 / WINDOW as f64).min(MAX_IDLE_WINDOWS);
        self.window = Window::new(now);
        let change = if ratio <= 1.0 {
            self.over_since = None;
            self.grow(ratio, windows, now)
        } else if is_draining
            || self.is_short(delay, now)
            || self.grace_end.is_some_and(|end| now < end)
        {
            None
        } else {
            self.reduce(ratio, windows)
        };
        self.divide();
        change
    }

    /// Returns whether the delay has been over the limit for too short a time to start shedding.
    fn is_short(&mut self, delay: Millis, now: Millis) -> bool {
        let since = *self.over_since.get_or_insert(now.saturating_sub(delay));
        self.allowance.is_none() && now.saturating_sub(since) < START_TIME
    }

    fn reduce(&mut self, ratio: f64, windows: f64) -> Option<Change> {
        let demand = self.demand.total();
        let rate = self.allowance.map_or(demand, |allowance| allowance.rate);
        let decrease = (DECREASE_GAIN * (ratio - 1.0)).clamp(MIN_DECREASE, MAX_DECREASE);
        let reduced = rate.min(demand) * (1.0 - decrease).powf(windows.min(MAX_BUSY_WINDOWS));
        let started = self.allowance.is_none();
        let previous = self.allowance.and_then(|allowance| allowance.previous_rate);
        self.allowance = Some(Allowance {
            increase: 0.0,
            previous_rate: previous.or(Some(rate.min(demand))),
            rate: reduced.max(demand * (1.0 - MAX_SHED)).max(MIN_RATE),
            ample_since: None,
        });
        started.then_some(Change::Started)
    }

    fn grow(&mut self, ratio: f64, windows: f64, now: Millis) -> Option<Change> {
        let demand = self.demand.total();
        let allowance = self.allowance.as_mut()?;
        // The queue is empty again: most of the reductions served to work it off.
        let restored = allowance.previous_rate.take().unwrap_or(0.0) * RESTORED_RATIO;
        allowance.increase = (allowance.increase + INCREASE_STEP).min(MAX_INCREASE);
        let increase = allowance.increase * (1.0 - ratio) * windows;
        let rate = allowance.rate.max(restored) + demand * increase;
        allowance.rate = rate.min(demand * MAX_HEADROOM).max(allowance.rate);
        if allowance.rate < demand {
            allowance.ample_since = None;
            return None;
        }
        let since = *allowance.ample_since.get_or_insert(now);
        if now.saturating_sub(since) < END_TIME {
            return None;
        }
        self.allowance = None;
        Some(Change::Ended)
    }

    /// Divides the accepted rate among the teams.
    fn divide(&mut self) {
        let rate = self.allowance.map(|allowance| allowance.rate);
        self.demand.divide(rate);
    }

    /// Returns the delay by which the last decision was made, in milliseconds.
    pub fn delay(&self) -> Millis {
        self.previous_delay
    }

    /// Returns the fraction of the present demand that is shed, from 0 to 1.
    pub fn shed_fraction(&self) -> f64 {
        let demand = self.demand.total();
        match self.allowance {
            Some(allowance) if allowance.rate < demand => 1.0 - allowance.rate / demand,
            Some(_) | None => 0.0,
        }
    }

    /// Returns whether nearly everything is shed.
    pub fn sheds_nearly_all(&self) -> bool {
        self.shed_fraction() >= NEARLY_ALL
    }

    /// Returns after which time a shed caller should return, in milliseconds. It grows with the fraction that is
    /// shed, and varies by half in either direction so that callers do not return together. `draw` is a random number
    /// from 0 to 1.
    pub fn retry_after(&self, draw: f64) -> Millis {
        let mean = MIN_RETRY + (MAX_RETRY - MIN_RETRY) * self.shed_fraction();
        (mean * (0.5 + draw)) as Millis
    }
}
