//! The journal of non-idempotent requests, which does the I/O for each [`once::Shard`].
//!
//! To batch writes, an instance forwards its claims and records to the shard's writer, the live
//! instance with the highest rank for the shard. Correctness does not depend on it: any instance may
//! write to any shard, and a compare-and-swap of the shard's head orders concurrent writes.

mod driver;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::Member;
use kernel::AttemptId;
use kernel::Millis;
use kernel::rendezvous_rank;
use once::Decision;
use once::Fingerprint;
use once::Key;
use once::Outcome;
use once::Record;
use once::Shard;
use parking_lot::Mutex;
use plat::Client;
use tokio::sync::Notify;
use wire::peer;
use wire::peer::JournalReply;

use crate::App;
use crate::gossip;
use crate::settings;
use clock::Clock;
use driver::Driver;

/// Maximum time that a claim waits for the platform. A refusal before the deadline leaves the caller
/// time to try another instance.
const MAX_CLAIM_WAIT: Millis = 2_000;

/// Number of consecutive failures from which the platform is considered unavailable and claims are
/// refused at once.
const MAX_FAILURES: u32 = 2;

/// Interval between two checks whether all records are written, in milliseconds.
const FLUSH_CHECK_INTERVAL: Millis = 25;

/// A shard and the state that its driver shares with claimants.
#[derive(Debug)]
struct SharedShard {
    shard: Mutex<Shard>,
    /// Notified when the driver may have an action to carry out.
    pending: Notify,
    /// Notified when claims may have been decided.
    decided: Notify,
    /// Number of consecutive failed calls to the platform.
    failures: AtomicU32,
}

/// The journal of an instance.
#[derive(Debug)]
pub struct Journal {
    shards: Vec<Arc<SharedShard>>,
    plat: Client,
    clock: Clock,
}

impl Journal {
    /// Creates a journal that has not loaded any shard yet.
    pub fn new(settings: settings::Journal, plat: Client, clock: Clock) -> Self {
        let shard = |_| {
            Arc::new(SharedShard {
                shard: Mutex::new(Shard::new(settings.retention)),
                pending: Notify::new(),
                decided: Notify::new(),
                failures: AtomicU32::new(0),
            })
        };
        Self {
            shards: (0..settings.shards).map(shard).collect(),
            plat,
            clock,
        }
    }

    /// Starts a driver task for each shard; must be called within a Tokio runtime.
    pub fn start(&self) {
        for (index, shared) in self.shards.iter().enumerate() {
            let driver = Driver {
                index: index as u32,
                shared: shared.clone(),
                plat: self.plat.clone(),
                clock: self.clock,
            };
            tokio::spawn(driver.run());
        }
    }

    fn shard(&self, key: Key) -> (u32, &Arc<SharedShard>) {
        let index = key.shard(self.shards.len() as u32);
        (index, &self.shards[index as usize])
    }

    /// Returns the number of keys held in memory.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.shard.lock().len()).sum()
    }

    /// Returns whether no key is held in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Claims a key for an attempt, through the shard's writer if it is reachable.
    pub async fn claim(
        &self,
        app: &Arc<App>,
        key: Key,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        deadline: Millis,
    ) -> Decision {
        let decision = self
            .claim_via_writer(app, key, fingerprint, attempt, deadline)
            .await;
        if decision == Decision::Refused {
            // The peer or this instance may have written the intent nevertheless, with the reply
            // lost. If the key were not released, it would stay in doubt until it expires, although
            // the caller gets the reply that the request did not run.
            let app = app.clone();
            tokio::spawn(async move { app.journal.release(&app, key, attempt).await });
        }
        decision
    }

    async fn claim_via_writer(
        &self,
        app: &App,
        key: Key,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        deadline: Millis,
    ) -> Decision {
        let (index, _) = self.shard(key);
        let left = deadline
            .saturating_sub(self.clock.now())
            .min(MAX_CLAIM_WAIT);
        if let Some(writer) = writer(app, index) {
            let request = peer::JournalRequest::Ask {
                key,
                print: fingerprint,
                attempt,
                left: left / 2,
            };
            if let Some(JournalReply::Answer(decision)) = send(app, &writer, &request, left).await {
                return decision.into();
            }
            // The peer may have written the intent nevertheless. The intent contains the identifier
            // of this attempt, so a local claim recognizes it as its own.
        }
        self.claim_local(key, fingerprint, attempt, deadline, ClaimOrigin::Local)
            .await
    }

    /// Claims a key for an attempt on this instance, without its peers.
    pub async fn claim_local(
        &self,
        key: Key,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        deadline: Millis,
        origin: ClaimOrigin,
    ) -> Decision {
        let (_, shared) = self.shard(key);
        if shared.failures.load(Ordering::Relaxed) >= MAX_FAILURES {
            return Decision::Refused;
        }
        let end = deadline.min(self.clock.now() + MAX_CLAIM_WAIT);
        shared
            .shard
            .lock()
            .claim(key, fingerprint, attempt, self.clock.wall());
        let claim_guard = ClaimGuard {
            shared,
            key,
            attempt,
            origin,
        };
        shared.pending.notify_one();
        let decision = self.wait_for_decision(shared, attempt, end).await;
        // After a decision, the guard does nothing.
        drop(claim_guard);
        decision.unwrap_or(Decision::Refused)
    }

    async fn wait_for_decision(
        &self,
        shared: &SharedShard,
        attempt: AttemptId,
        end: Millis,
    ) -> Option<Decision> {
        loop {
            let decided = shared.decided.notified();
            tokio::pin!(decided);
            decided.as_mut().enable();
            if let Some(decision) = shared.shard.lock().take_decision(attempt) {
                return Some(decision);
            }
            let left = end.saturating_sub(self.clock.now());
            let wait = tokio::time::timeout(Duration::from_millis(left), decided).await;
            if wait.is_err() {
                return None;
            }
        }
    }

    /// Records the outcome of a request that ran, in the background.
    pub fn record_outcome(&self, app: &Arc<App>, key: Key, outcome: Outcome) {
        let app = app.clone();
        let record = Record::Done { key, outcome };
        tokio::spawn(async move { app.journal.append(&app, record).await });
    }

    /// Releases the claim of an attempt whose request did not run. When this returns, the release is
    /// queued for the next write, so the caller can reuse the key at once.
    pub async fn release(&self, app: &App, key: Key, attempt: AttemptId) {
        self.append(app, Record::Release { key, attempt }).await;
    }

    async fn append(&self, app: &App, record: Record) {
        let (index, _) = self.shard(record.key());
        if let Some(writer) = writer(app, index) {
            let request = peer::JournalRequest::Note(record.clone());
            if send(app, &writer, &request, MAX_CLAIM_WAIT).await.is_some() {
                return;
            }
        }
        self.append_local(record);
    }

    /// Queues a record for a write by this instance.
    pub fn append_local(&self, record: Record) {
        let (_, shared) = self.shard(record.key());
        shared.shard.lock().append(record);
        shared.pending.notify_one();
    }

    /// Waits until all records are written, or until the timeout.
    pub async fn flush(&self, timeout: Duration) {
        let is_idle = || self.shards.iter().all(|s| s.shard.lock().is_idle());
        let wait = async {
            while !is_idle() {
                tokio::time::sleep(Duration::from_millis(FLUSH_CHECK_INTERVAL)).await;
            }
        };
        // Records that are not written by then are lost, which only leaves their keys in doubt.
        let _ = tokio::time::timeout(timeout, wait).await;
    }
}

/// The instance that a claim comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOrigin {
    /// This instance.
    Local,
    /// A peer, which may claim the key elsewhere and run the request even if it gets no reply from
    /// this instance.
    Peer,
}

/// Withdraws a claim that is not decided when its caller disconnects or its wait times out.
struct ClaimGuard<'a> {
    shared: &'a SharedShard,
    key: Key,
    attempt: AttemptId,
    origin: ClaimOrigin,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        let mut shard = self.shared.shard.lock();
        if !shard.is_pending(self.attempt) {
            return;
        }
        match self.origin {
            ClaimOrigin::Local => shard.abandon(self.key, self.attempt),
            ClaimOrigin::Peer => shard.stop_waiting(self.attempt),
        }
        drop(shard);
        self.shared.pending.notify_one();
    }
}

/// Returns the peer that writes a shard for all instances: the live member with the highest rank by
/// rendezvous hashing. [`None`] if that is this instance.
fn writer(app: &App, shard: u32) -> Option<Member> {
    let view = app.view.lock();
    let writer = view
        .live()
        .max_by_key(|member| rendezvous_rank(&member.name, shard))?;
    (writer.name != view.me().name).then(|| writer.clone())
}

async fn send(
    app: &App,
    writer: &Member,
    request: &peer::JournalRequest,
    left: Millis,
) -> Option<JournalReply> {
    let timeout = Duration::from_millis(left);
    gossip::exchange(app, writer.addr, peer::JOURNAL, request, timeout)
        .await
        .ok()
}
