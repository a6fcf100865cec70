//! The ledger of crashes as the parts of an instance share it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use kernel::Millis;
use parking_lot::Mutex;
use poison::Change;
use poison::Identity;
use poison::Observations;
use poison::Verdict;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::ledgers::Ledgers;

/// Requests that were at an upstream when it crashed.
pub const CRASHES_METRIC: &str = "snipeway_upstream_crashes_total";

/// Requests that are quarantined since upstreams crash under them.
pub const QUARANTINED_METRIC: &str = "snipeway_quarantined_requests";

/// Time that the look at an upstream may take: within a region a port that nobody listens on answers
/// within milliseconds, and one that says nothing in this time says nothing of its process.
const LOOK: Duration = Duration::from_millis(300);

/// Pause before the look: a process that ends closes its sockets one after the other, and the one that it
/// listens on may be the last.
const CLOSING: Duration = Duration::from_millis(5);

/// Time that a request of which nothing is known waits for the look before it goes on elsewhere: enough for an
/// answer within a region. One that ends its upstreams within a millisecond would else be at the fifth of
/// them before the first look is over; an upstream that is cut off answers no look at all.
const WAIT: Duration = Duration::from_millis(20);

/// What an instance knows of requests under which upstreams crash.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use crash::CrashTracker;
/// use poison::{Identity, Fingerprint, Verdict};
///
/// let tracker = Arc::new(CrashTracker::default());
/// let identity = || Identity::from(Fingerprint::new("GET", "shop.example", "/a", b"", b""));
/// assert_eq!(tracker.verdict(identity), Verdict::Unrestricted);
/// tracker.record_crash(identity(), &"i-1".into());
/// assert_eq!(tracker.verdict(identity), Verdict::Suspect);
/// tracker.record_success(identity);
/// assert_eq!(tracker.verdict(identity), Verdict::Unrestricted);
/// ```
pub struct CrashTracker {
    clock: Clock,
    ledger: Mutex<Ledgers>,
    /// Rings when there is something to tell.
    news: Notify,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            clock: Clock::default(),
            ledger: Mutex::default(),
            news: Notify::new(),
        }
    }
}

impl CrashTracker {
    /// What may be done with a request. Its digest is made only where anything is known of any.
    pub fn verdict(&self, mark: impl FnOnce() -> Identity) -> Verdict {
        let ledger = self.ledger.lock();
        match ledger.is_empty() {
            true => Verdict::Unrestricted,
            false => ledger.verdict(mark(), self.clock.wall()),
        }
    }

    /// Waits until it is known whether a request may run, at most for `left` milliseconds; gives the time for
    /// which it may not. One that has no time to wait may: its caller must not be turned away for what another
    /// request has done.
    pub async fn admit(&self, mark: Identity, left: Millis) -> Option<Millis> {
        let until = self.clock.now() + left;
        loop {
            match self.verdict(|| mark) {
                Verdict::Quarantined(left) => return Some(left),
                Verdict::Undecided(wait) if self.clock.now() + wait < until => {
                    sleep(Duration::from_millis(wait)).await;
                }
                Verdict::Unrestricted | Verdict::Suspect | Verdict::Undecided(_) => return None,
            }
        }
    }

    /// Tells whether a request has to wait, or may not run.
    pub fn is_blocked(&self, mark: impl FnOnce() -> Identity) -> bool {
        match self.verdict(mark) {
            Verdict::Unrestricted | Verdict::Suspect => false,
            Verdict::Undecided(_) | Verdict::Quarantined(_) => true,
        }
    }

    /// The upstreams that a request had better keep away from: suspects run apart from one another, so that
    /// the next crash tells the culprit from what was beside it.
    pub fn upstreams_to_avoid(&self, mark: impl FnOnce() -> Identity) -> Vec<Arc<str>> {
        let ledger = self.ledger.lock();
        if ledger.is_empty() {
            return Vec::new();
        }
        let mark = mark();
        match ledger.verdict(mark, self.clock.wall()) {
            Verdict::Unrestricted => Vec::new(),
            _ => ledger.taken(mark),
        }
    }

    /// Notes that a request goes to an upstream, if it is a suspect.
    pub fn track_suspect(
        self: &Arc<Self>,
        mark: impl FnOnce() -> Identity,
        upstream: &Arc<str>,
    ) -> Option<SuspectGuard> {
        let mut ledger = self.ledger.lock();
        if ledger.is_empty() {
            return None;
        }
        let mark = mark();
        if ledger.verdict(mark, self.clock.wall()) == Verdict::Unrestricted {
            return None;
        }
        ledger.enter(mark, upstream);
        Some(SuspectGuard {
            watch: self.clone(),
            mark,
            upstream: upstream.clone(),
        })
    }

    /// Notes that an upstream has answered a request whole.
    pub fn record_success(&self, mark: impl FnOnce() -> Identity) {
        if self.ledger.lock().is_empty() {
            return;
        }
        self.change(|ledger, now| ledger.whole(mark(), now));
        self.news.notify_one();
    }

    /// Changes what is known, and tells what is believed since.
    fn change(&self, change: impl FnOnce(&mut Ledgers, Millis)) {
        let mut ledger = self.ledger.lock();
        change(&mut ledger, self.clock.wall());
        let changes = ledger.changes();
        if !changes.is_empty() {
            metrics::gauge!(QUARANTINED_METRIC).set(ledger.quarantined() as f64);
        }
        drop(ledger);
        tell(changes);
    }

    /// Looks whether an upstream has crashed after the connection of a request broke there, and notes it. The
    /// request goes on elsewhere behind this: at once when the look is over, or soon when nothing is known of it.
    ///
    /// A broken connection alone says nothing of the request: connections are reset, and answers are cut
    /// off, by upstreams that live on. Nobody listens at the address of one that has crashed. One that `left`
    /// says is about to leave, or is not listed any more, may have ended by itself.
    pub async fn check_upstream(
        self: &Arc<Self>,
        id: &str,
        mark: Identity,
        upstream: &Arc<str>,
        addr: SocketAddr,
        left: impl FnOnce() -> bool + Send + 'static,
    ) {
        let looking = self.look(id, mark, upstream, addr, left);
        let wait = match self.verdict(|| mark) {
            Verdict::Unrestricted => WAIT,
            _ => CLOSING + LOOK,
        };
        // A look that takes longer goes on; one that panicked has noted nothing.
        let _ = timeout(wait, looking).await;
    }

    fn look(
        self: &Arc<Self>,
        id: &str,
        mark: Identity,
        upstream: &Arc<str>,
        addr: SocketAddr,
        left: impl FnOnce() -> bool + Send + 'static,
    ) -> JoinHandle<()> {
        let (watch, id, upstream) = (self.clone(), id.to_owned(), upstream.clone());
        tokio::spawn(async move {
            sleep(CLOSING).await;
            let refused = net::client::refuses(addr, LOOK).await;
            let outcome = match (refused, refused && left()) {
                (true, false) => "crashed",
                (true, true) => "left",
                (false, _) => "lives",
            };
            let (own, kin) = (mark.exact.to_string(), mark.group.to_string());
            log::info!(target: "crash", id = id.as_str(), print = own.as_str(), kin = kin.as_str(),
                upstream = &*upstream, outcome; "connection broke");
            if outcome == "crashed" {
                watch.record_crash(mark, &upstream);
            }
        })
    }

    /// Notes that an upstream has crashed while a request was there.
    pub fn record_crash(&self, mark: Identity, upstream: &Arc<str>) {
        metrics::counter!(CRASHES_METRIC).increment(1);
        self.change(|ledger, now| ledger.crashed(mark, upstream, now));
        self.news.notify_one();
    }

    /// Takes in what another instance has seen.
    pub fn merge(&self, report: &Observations) {
        self.change(|ledger, now| ledger.heard(report, now));
    }

    /// Forgets what counts no more.
    pub fn prune(&self) {
        if !self.ledger.lock().is_empty() {
            self.change(Ledgers::prune);
        }
    }

    /// What this instance has seen itself.
    pub fn local_observations(&self) -> Observations {
        self.ledger.lock().own()
    }

    /// Waits until this instance may have seen something new.
    pub async fn wait_for_changes(&self) {
        self.news.notified().await;
    }
}

/// Writes what is believed of requests now and was not.
fn tell(changes: Vec<Change>) {
    for change in changes {
        let print = change.fingerprint.to_string();
        let what = match change.quarantined {
            true => "request quarantined",
            false => "request released",
        };
        log::warn!(target: "crash", print = print.as_str(), crashes = change.crashes; "{what}");
    }
}

/// A suspect at an upstream, for as long as it is there.
pub struct SuspectGuard {
    watch: Arc<CrashTracker>,
    mark: Identity,
    upstream: Arc<str>,
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.watch.ledger.lock().leave(self.mark, &self.upstream);
    }
}
