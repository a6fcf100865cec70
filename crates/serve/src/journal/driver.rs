//! The task that does the I/O for one shard of the journal.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use kernel::Millis;
use once::Action;
use once::Segment;
use once::shard::WriteResult;
use plat::Client;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use plat::keys;

use super::MAX_FAILURES;
use super::SharedShard;
use clock::Clock;

/// Delay after the first failed call to the platform, before doubling and jitter, in milliseconds.
/// It doubles with each consecutive failure.
const BASE_RETRY_DELAY: Millis = 25;

/// Maximum delay after a failed call to the platform, in milliseconds.
const MAX_RETRY_DELAY: Millis = 1_000;

/// Size of an encoded segment above which a warning is logged; far below the platform's maximum
/// value size.
const LARGE_SEGMENT_BYTES: usize = 512 << 10;

/// Minimum interval between two writes to a shard.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum delay of outcomes, so that several are written together.
const MAX_OUTCOME_DELAY: Duration = Duration::from_millis(1_000);

/// Carries out the actions of one shard.
pub(super) struct Driver {
    /// Index of the shard.
    pub(super) index: u32,
    pub(super) shared: Arc<SharedShard>,
    pub(super) plat: Client,
    pub(super) clock: Clock,
}

impl Driver {
    pub(super) async fn run(self) {
        let mut last_write = Instant::now() - MIN_WRITE_INTERVAL;
        loop {
            self.wait_for_batch(last_write).await;
            let action = self.shared.shard.lock().next_action(self.clock.wall());
            let result = match action {
                Action::Idle if self.has_failed() => self.probe().await,
                Action::Idle => {
                    self.shared.pending.notified().await;
                    continue;
                }
                Action::Load { from } => self.load(from).await,
                Action::Write {
                    head_revision,
                    segment,
                } => {
                    last_write = Instant::now();
                    self.write(head_revision, &segment).await
                }
            };
            self.shared.decided.notify_waiters();
            self.handle_result(result).await;
        }
    }

    /// Waits before the next action, so that records are batched: this limits the writes per second
    /// to a shard regardless of the number of requests, and delays outcomes, which no caller waits
    /// for.
    async fn wait_for_batch(&self, last_write: Instant) {
        let elapsed = last_write.elapsed();
        if elapsed < MIN_WRITE_INTERVAL {
            tokio::time::sleep(MIN_WRITE_INTERVAL - elapsed).await;
        }
        // A claim ends the wait, but another outcome does not.
        let end = tokio::time::Instant::now() + MAX_OUTCOME_DELAY;
        while self.shared.shard.lock().has_only_outcomes() {
            let pending = self.shared.pending.notified();
            if tokio::time::timeout_at(end, pending).await.is_err() {
                return;
            }
        }
    }

    /// Returns whether the last call to the platform failed.
    fn has_failed(&self) -> bool {
        self.shared.failures.load(Ordering::Relaxed) > 0
    }

    /// Updates the count of consecutive failures, and waits after a failure.
    async fn handle_result(&self, result: Result<(), PlatError>) {
        let Err(error) = result else {
            self.shared.failures.store(0, Ordering::Relaxed);
            return;
        };
        if matches!(error, PlatError::Budget) {
            // This instance exceeded its own call budget, which says nothing about the platform.
            tokio::time::sleep(MIN_WRITE_INTERVAL).await;
            return;
        }
        let failures = self.shared.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures == MAX_FAILURES {
            let error = error.to_string();
            log::warn!(target: "journal", shard = self.index, error = error.as_str(); "platform unavailable");
        }
        // Jitter prevents all instances from retrying at the same time.
        let backoff = (BASE_RETRY_DELAY << failures.min(10)).min(MAX_RETRY_DELAY) as f64;
        let delay = backoff * (0.5 + 0.5 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(delay as u64)).await;
    }

    /// Checks whether the platform is available again while there is no other reason to call it.
    async fn probe(&self) -> Result<(), PlatError> {
        let key = keys::shard_head(self.index);
        self.plat.get(&key).await.map(drop)
    }

    async fn load(&self, from: u64) -> Result<(), PlatError> {
        let result = self.read(from).await;
        let mut shard = self.shared.shard.lock();
        match result {
            Ok((head, segments)) => {
                shard.load_finished(head, segments);
                Ok(())
            }
            Err(error) => {
                shard.load_failed();
                Err(error)
            }
        }
    }

    /// Reads the revision of the head, and the segments with sequence numbers of at least `from`, in
    /// one consistent read: the head's key sorts before those of the segments, so one range contains
    /// both. It also returns segments that are already loaded; they are few, since expired ones are
    /// deleted.
    async fn read(&self, from: u64) -> Result<(i64, Vec<Segment>), PlatError> {
        let range = self.plat.list(&keys::shard_prefix(self.index)).await?;
        let head_key = keys::shard_head(self.index);
        let first = keys::segment(self.index, from);
        let mut head = 0;
        let mut segments = Vec::new();
        for item in range.items {
            if item.key == head_key {
                head = item.rev;
            } else if item.key >= first {
                let segment = Segment::decode(&item.value);
                segments.push(segment.map_err(|_| PlatError::Garbled)?);
            }
        }
        Ok((head, segments))
    }

    async fn write(&self, head: i64, segment: &Segment) -> Result<(), PlatError> {
        let outcome = self.put(head, segment).await;
        let result = match &outcome {
            Ok(TxnOutcome::At(rev)) => WriteResult::Committed(*rev),
            Ok(TxnOutcome::Conflict) => WriteResult::Conflict,
            Err(_) => WriteResult::Unknown,
        };
        self.shared.shard.lock().write_finished(result);
        outcome.map(drop)
    }

    async fn put(&self, head: i64, segment: &Segment) -> Result<TxnOutcome, PlatError> {
        let bytes = segment.encode().map_err(|_| PlatError::Garbled)?;
        if bytes.len() > LARGE_SEGMENT_BYTES {
            log::warn!(target: "journal", shard = self.index, bytes = bytes.len(); "large segment");
        }
        let key = keys::shard_head(self.index);
        let head_value = segment.seq.to_string();
        let expired = plat::Delete::Span(
            keys::segment(self.index, 0),
            keys::segment(self.index, segment.min_seq),
        );
        let txn = Txn {
            guards: vec![Guard::on(key.as_str(), head)],
            puts: vec![
                Put::new(key, Bytes::from(head_value).to_vec()),
                Put::new(keys::segment(self.index, segment.seq), bytes),
            ],
            deletes: match segment.min_seq {
                0 | 1 => Vec::new(),
                _ => vec![expired],
            },
        };
        self.plat.txn(&txn).await
    }
}
