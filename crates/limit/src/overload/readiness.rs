//! When an overloaded instance reports that it is not ready.
//!
//! An instance whose delay stays over the limit although it sheds nearly everything spends its time on rejecting.
//! Load balancers then have to send its callers elsewhere, but never away from a large part of a failure domain,
//! whose other instances would be overloaded next.

use kernel::Millis;
use kernel::rendezvous_rank;

/// Time for which the delay has to stay over the limit before the instance is not ready, in milliseconds.
const OVERLOAD_TIME: Millis = 2_000;

/// Time for which the delay has to stay below half of the limit before the instance is ready again, in milliseconds.
const RECOVERY_TIME: Millis = 3_000;

/// Time between two measurements above which they do not show what happened in between, in milliseconds.
const MAX_GAP: Millis = 1_500;

/// Divisor of the number of instances of a failure domain that gives how many may be not ready.
const DOMAIN_DIVISOR: usize = 4;

/// Smallest number of instances of a failure domain of which one may be not ready.
const MIN_INSTANCES: usize = 2;

/// Time for which the same instances may be not ready, in milliseconds.
const PERIOD: Millis = 30_000;

/// Time before and after the change of a period in which only those of both periods may be not ready, in
/// milliseconds. Instances whose clocks differ by less than twice this never exceed the bound together.
const PERIOD_MARGIN: Millis = 2_000;

/// Decides whether an instance is ready, with hysteresis.
#[derive(Debug)]
pub struct Readiness {
    limit: Millis,
    /// Time of the first measurement since which all were over the limit while nearly everything was shed.
    over_since: Option<Millis>,
    /// Time of the first measurement since which all were below half of the limit.
    calm_since: Option<Millis>,
    last_measured: Millis,
    is_overloaded: bool,
}

impl Readiness {
    /// Creates the state of an instance that is ready; `limit` is that of the delay, in milliseconds.
    pub fn new(limit: Millis) -> Self {
        Self {
            limit,
            over_since: None,
            calm_since: None,
            last_measured: 0,
            is_overloaded: false,
        }
    }

    /// Records a measurement of the delay that ended at `now`; `sheds_nearly_all` is whether the instance sheds
    /// nearly everything.
    pub fn measured(&mut self, delay: Millis, sheds_nearly_all: bool, now: Millis) {
        let gap = now.saturating_sub(delay).saturating_sub(self.last_measured);
        self.last_measured = now;
        // Nothing shows that the overload lasted during the gap. `calm_since` stays: an instance that is not ready is
        // measured rarely, and would otherwise become ready later than it could.
        if gap > MAX_GAP {
            self.over_since = None;
        }
        self.over_since = match delay > self.limit && sheds_nearly_all {
            true => self.over_since.or(Some(now)),
            false => None,
        };
        self.calm_since = match delay * 2 < self.limit {
            true => self.calm_since.or(Some(now)),
            false => None,
        };
        let has_lasted =
            |since: Option<Millis>, time| since.is_some_and(|since| now >= since + time);
        if has_lasted(self.over_since, OVERLOAD_TIME) {
            self.is_overloaded = true;
        } else if has_lasted(self.calm_since, RECOVERY_TIME) {
            self.is_overloaded = false;
        }
    }

    /// Returns whether the instance should be not ready if its failure domain allows it.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}

/// Returns whether an instance may be not ready now, which every instance of its failure domain decides alike.
///
/// `instances` are the known instances of the failure domain that serve callers. `time` is in milliseconds since an
/// epoch that all instances share.
///
/// # Examples
///
/// ```
/// use limit::overload::readiness::may_be_unready;
///
/// let names = ["a", "b", "c"];
/// let allowed = |time| names.iter().filter(|name| may_be_unready(name, &names, time)).count();
/// assert_eq!(allowed(10_000), 1);
/// assert!(!may_be_unready("a", &["a"], 10_000));
/// assert!(!may_be_unready("a", &[], 10_000));
/// ```
pub fn may_be_unready(name: &str, instances: &[&str], time: Millis) -> bool {
    let count = instances.len();
    if count < MIN_INSTANCES {
        return false;
    }
    let places = (count / DOMAIN_DIVISOR).max(1);
    // In the order of rank, and of names if ranks are equal.
    let has_place = |time: Millis| {
        let period = time / PERIOD;
        let order = |name| (rendezvous_rank(name, period), name);
        let others = instances.iter();
        let ahead = others.filter(|other| order(**other) > order(name));
        ahead.count() < places
    };
    let is_known = instances.contains(&name);
    is_known && has_place(time.saturating_sub(PERIOD_MARGIN)) && has_place(time + PERIOD_MARGIN)
}
