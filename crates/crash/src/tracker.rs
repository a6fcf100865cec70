//! The crash ledger that all parts of an instance share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use kernel::Millis;
use parking_lot::Mutex;
use poison::Change;
use poison::Fingerprint;
use poison::Ledger;
use poison::Observations;
use poison::Report;
use poison::Verdict;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Subject;

/// Name of the counter of requests that an upstream was running when it crashed.
pub const CRASHES_METRIC: &str = "snipeway_upstream_crashes_total";

/// Name of the gauge of requests that are quarantined because they crash upstreams.
pub const QUARANTINED_METRIC: &str = "snipeway_quarantined_requests";

/// Timeout of a probe of an upstream. Within a region a port without a listener refuses a connection within
/// milliseconds; without any response in this time nothing is known about the process.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before a probe. A process that exits closes its sockets one after the other, and the listening socket may be
/// the last.
const PROBE_DELAY: Duration = Duration::from_millis(5);

/// Time for which a request without known crashes waits for a probe before it is retried elsewhere, enough for a
/// response within a region. Without this wait, a request that crashes upstreams within a millisecond would reach the
/// fifth one before the first probe ends. It is limited because a partitioned upstream never responds.
const FIRST_PROBE_WAIT: Duration = Duration::from_millis(20);

/// Tracks which requests crash upstreams, for all parts of an instance.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use crash::CrashTracker;
/// use crash::Subject;
/// use poison::{Fingerprint, Verdict};
///
/// let tracker = Arc::new(CrashTracker::default());
/// let fingerprint = Fingerprint::new("GET", "shop.example", "/a", b"", b"");
/// let call = || Subject::Call(fingerprint);
/// assert_eq!(tracker.verdict(call), Verdict::Unrestricted);
/// tracker.record_crash(fingerprint, &"i-1".into());
/// assert_eq!(tracker.verdict(call), Verdict::Suspect);
/// assert_eq!(tracker.verdict(|| Subject::Item), Verdict::Unrestricted);
/// tracker.record_success(call);
/// assert_eq!(tracker.verdict(call), Verdict::Unrestricted);
/// ```
pub struct CrashTracker {
    clock: Clock,
    ledger: Mutex<Ledger>,
    /// Notified when this instance may have new observations.
    changed: Notify,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            clock: Clock::default(),
            ledger: Mutex::default(),
            changed: Notify::new(),
        }
    }
}

impl CrashTracker {
    /// Returns the verdict on a request. Its subject is computed only if any request is tracked.
    pub fn verdict(&self, subject: impl FnOnce() -> Subject) -> Verdict {
        let ledger = self.ledger.lock();
        match tracked(&ledger, subject) {
            Some(fingerprint) => ledger.verdict(fingerprint, self.clock.wall()),
            None => Verdict::Unrestricted,
        }
    }

    /// Waits at most `timeout` milliseconds until it is decided whether a request may run. Returns the remaining time
    /// of its quarantine in milliseconds, or [`None`] if it may run. A request that cannot wait long enough may run,
    /// since its caller must not be rejected for another request's crashes.
    pub async fn admit(&self, subject: Subject, timeout: Millis) -> Option<Millis> {
        let deadline = self.clock.now() + timeout;
        loop {
            match self.verdict(|| subject) {
                Verdict::Quarantined(remaining) => return Some(remaining),
                Verdict::Undecided(wait) if self.clock.now() + wait < deadline => {
                    sleep(Duration::from_millis(wait)).await;
                }
                Verdict::Unrestricted | Verdict::Suspect | Verdict::Undecided(_) => return None,
            }
        }
    }

    /// Returns the upstreams that a request should avoid. Suspects run on different upstreams, so that the next crash
    /// tells the culprit from the others.
    pub fn upstreams_to_avoid(&self, subject: impl FnOnce() -> Subject) -> Vec<Arc<str>> {
        let ledger = self.ledger.lock();
        let Some(fingerprint) = tracked(&ledger, subject) else {
            return Vec::new();
        };
        match ledger.verdict(fingerprint, self.clock.wall()) {
            Verdict::Unrestricted => Vec::new(),
            _ => ledger.upstreams_of_others(fingerprint).cloned().collect(),
        }
    }

    /// Records that a request is sent to an upstream if the request is a suspect, until the guard is dropped.
    pub fn track_suspect(
        self: &Arc<Self>,
        subject: impl FnOnce() -> Subject,
        upstream: &Arc<str>,
    ) -> Option<SuspectGuard> {
        let mut ledger = self.ledger.lock();
        let fingerprint = tracked(&ledger, subject)?;
        if ledger.verdict(fingerprint, self.clock.wall()) == Verdict::Unrestricted {
            return None;
        }
        ledger.enter(fingerprint, upstream);
        Some(SuspectGuard {
            tracker: self.clone(),
            fingerprint,
            upstream: upstream.clone(),
        })
    }

    /// Records that an upstream answered a request completely.
    pub fn record_success(&self, subject: impl FnOnce() -> Subject) {
        let Some(fingerprint) = tracked(&self.ledger.lock(), subject) else {
            return;
        };
        self.update(|ledger, now| ledger.record_success(fingerprint, now));
        self.changed.notify_one();
    }

    /// Applies an update to the ledger and logs the quarantine changes that follow from it.
    fn update(&self, apply: impl FnOnce(&mut Ledger, Millis)) {
        let mut ledger = self.ledger.lock();
        apply(&mut ledger, self.clock.wall());
        let changes = ledger.take_changes();
        if !changes.is_empty() {
            metrics::gauge!(QUARANTINED_METRIC).set(ledger.quarantined_count() as f64);
        }
        drop(ledger);
        log_changes(changes);
    }

    /// Checks whether an upstream crashed after the connection of a request broke, and records the crash of a call.
    /// Returns when the check is done, or after a short wait if the request has no known crashes, so that the caller
    /// can retry it elsewhere.
    ///
    /// A broken connection alone says nothing about the request: running upstreams also reset connections and truncate
    /// answers. A crashed upstream no longer listens at its address. If `has_left` returns true, the upstream is
    /// leaving or no longer listed and may have exited on its own.
    pub async fn check_upstream(
        self: &Arc<Self>,
        id: &str,
        subject: Subject,
        upstream: &Arc<str>,
        addr: SocketAddr,
        has_left: impl FnOnce() -> bool + Send + 'static,
    ) {
        let probe = self.probe(id, subject, upstream, addr, has_left);
        let wait = match self.verdict(|| subject) {
            Verdict::Unrestricted => FIRST_PROBE_WAIT,
            _ => PROBE_DELAY + PROBE_TIMEOUT,
        };
        // A probe that takes longer continues in the background; one that panicked has recorded nothing.
        let _ = timeout(wait, probe).await;
    }

    /// Starts a task that probes an upstream and records whether it crashed.
    fn probe(
        self: &Arc<Self>,
        id: &str,
        subject: Subject,
        upstream: &Arc<str>,
        addr: SocketAddr,
        has_left: impl FnOnce() -> bool + Send + 'static,
    ) -> JoinHandle<()> {
        let (tracker, id, upstream) = (self.clone(), id.to_owned(), upstream.clone());
        tokio::spawn(async move {
            sleep(PROBE_DELAY).await;
            let refused = net::client::refuses(addr, PROBE_TIMEOUT).await;
            let outcome = match (refused, refused && has_left()) {
                (true, false) => "crashed",
                (true, true) => "left",
                (false, _) => "lives",
            };
            let fingerprint = subject.fingerprint();
            let print = fingerprint.map_or_else(String::new, |print| print.to_string());
            log::info!(target: "crash", id = id.as_str(), print = print.as_str(),
                upstream = &*upstream, outcome; "connection broke");
            if let ("crashed", Some(fingerprint)) = (outcome, fingerprint) {
                tracker.record_crash(fingerprint, &upstream);
            }
        })
    }

    /// Records that an upstream crashed while it ran a call.
    pub fn record_crash(&self, fingerprint: Fingerprint, upstream: &Arc<str>) {
        metrics::counter!(CRASHES_METRIC).increment(1);
        self.update(|ledger, now| ledger.record_crash(fingerprint, upstream, now));
        self.changed.notify_one();
    }

    /// Merges the observations of another instance.
    pub fn merge(&self, observations: &Observations) {
        self.update(|ledger, now| ledger.merge(&observations.exact, now));
    }

    /// Drops expired crashes and successes, and ends expired quarantines.
    pub fn prune(&self) {
        if !self.ledger.lock().is_empty() {
            self.update(Ledger::prune);
        }
    }

    /// Returns the observations of this instance.
    pub fn local_observations(&self) -> Observations {
        Observations {
            exact: self.ledger.lock().local_report().clone(),
            group: Report::default(),
        }
    }

    /// Waits until this instance may have new observations.
    pub async fn wait_for_changes(&self) {
        self.changed.notified().await;
    }
}

/// Returns the fingerprint under which a request is tracked; [`None`] for an item, and while no request is tracked.
fn tracked(ledger: &Ledger, subject: impl FnOnce() -> Subject) -> Option<Fingerprint> {
    match ledger.is_empty() {
        true => None,
        false => subject().fingerprint(),
    }
}

/// Logs the start and the end of quarantines.
fn log_changes(changes: Vec<Change>) {
    for change in changes {
        let fingerprint = change.fingerprint.to_string();
        let message = match change.quarantined {
            true => "request quarantined",
            false => "request released",
        };
        log::warn!(target: "crash", print = fingerprint.as_str(), crashes = change.crashes; "{message}");
    }
}

/// Lists a suspect as running on an upstream until the guard is dropped.
pub struct SuspectGuard {
    tracker: Arc<CrashTracker>,
    fingerprint: Fingerprint,
    upstream: Arc<str>,
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.tracker
            .ledger
            .lock()
            .leave(self.fingerprint, &self.upstream);
    }
}
