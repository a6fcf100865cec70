//! Stops an instance gracefully, within the time that a stop may take.
//!
//! The process is killed at the end of that time. A caller may count on the answer to a request whose upstream is done
//! before the last sixth of it, so running requests and steps get the time until then and a part of that sixth, in
//! which the last bytes reach their callers. The rest is for what the process itself has to do.

use std::time::Duration;

use net::Drain;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::App;
use crate::member;

/// Time for which a leaving instance still accepts requests: callers' load balancers probe once a second and stop
/// sending after two failed probes.
const ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// Interval between checks whether all steps have ended.
const STEP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long the parts of a graceful stop may take.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let schedule = node::leave::StopSchedule::new(Duration::from_secs(12));
/// assert_eq!(schedule.accept, Duration::from_millis(2_500));
/// assert_eq!(schedule.work, Duration::from_secs(11));
/// assert_eq!(schedule.removal, Duration::from_millis(500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time for which requests are still accepted; it is part of `work`.
    pub accept: Duration,
    /// Time for running requests and steps to end.
    pub work: Duration,
    /// Time for the removal of the entry after that. What remains of the stop is for the last log lines.
    pub removal: Duration,
}

impl StopSchedule {
    /// Divides the time that a stop may take.
    pub fn new(grace: Duration) -> Self {
        Self {
            accept: ACCEPT_TIME.min(grace / 2),
            work: grace * 11 / 12,
            removal: grace / 24,
        }
    }
}

/// Stops gracefully: readiness ends, then no request is accepted, then running requests and steps end. Other instances
/// take over unfinished steps once the entry is removed.
pub(crate) async fn leave(app: &App, drain: &Drain, front: Option<JoinHandle<bool>>) {
    log::info!(target: "start", steps = app.running_steps.len(); "leaving");
    app.start_leaving();
    let schedule = StopSchedule::new(Duration::from_millis(app.settings.stop_grace));
    let work = async {
        tokio::join!(
            finish_requests(drain, front, schedule.accept),
            finish_steps(app)
        );
    };
    let whole = timeout(schedule.work, work).await.is_ok();
    let removal = timeout(schedule.removal, member::remove_entry(app));
    if removal.await.is_err() {
        log::warn!(target: "member", "own entry not removed in time, it will expire");
    }
    log::info!(target: "start", whole, steps = app.running_steps.len(); "stopped");
}

async fn finish_requests(drain: &Drain, front: Option<JoinHandle<bool>>, accept: Duration) {
    let Some(front) = front else {
        return;
    };
    sleep(accept).await;
    drain.begin();
    // A listener that has panicked has no requests left.
    let _ = front.await;
}

async fn finish_steps(app: &App) {
    while !app.running_steps.is_empty() {
        sleep(STEP_CHECK_INTERVAL).await;
    }
}
