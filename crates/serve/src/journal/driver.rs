//! Carries out what one shard of the journal asks for.

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

use super::AWAY;
use super::Cell;
use clock::Clock;

/// First pause after a failed call of the platform; it doubles with each.
const PAUSE: Millis = 25;

/// Longest pause after a failed call of the platform.
const LONGEST: Millis = 1_000;

/// Records in one write as bytes at most, far below the platform's largest value.
const MOST: usize = 512 << 10;

/// Shortest time between two writes to a shard.
const GAP: Duration = Duration::from_millis(40);

/// Time that outcomes wait to be written together.
const LAZY: Duration = Duration::from_millis(1_000);

/// Carries out what one shard asks for.
pub(super) struct Driver {
    pub(super) at: u32,
    pub(super) cell: Arc<Cell>,
    pub(super) plat: Client,
    pub(super) clock: Clock,
}

impl Driver {
    pub(super) async fn run(self) {
        let mut wrote = Instant::now() - GAP;
        loop {
            self.gather(wrote).await;
            let work = self.cell.shard.lock().next_action(self.clock.wall());
            let done = match work {
                Action::Idle if self.is_away() => self.probe().await,
                Action::Idle => {
                    self.cell.work.notified().await;
                    continue;
                }
                Action::Load { from } => self.load(from).await,
                Action::Write {
                    head_revision,
                    segment,
                } => {
                    wrote = Instant::now();
                    self.write(head_revision, &segment).await
                }
            };
            self.cell.news.notify_waiters();
            self.judge(done).await;
        }
    }

    /// Lets records gather for the next write: at most so many writes a second go to one shard,
    /// whatever the number of requests, and records that nobody waits for wait for company.
    async fn gather(&self, wrote: Instant) {
        let since = wrote.elapsed();
        if since < GAP {
            tokio::time::sleep(GAP - since).await;
        }
        // Whoever asks for a right to run ends the wait; another outcome does not.
        let end = tokio::time::Instant::now() + LAZY;
        while self.cell.shard.lock().has_only_outcomes() {
            let work = self.cell.work.notified();
            if tokio::time::timeout_at(end, work).await.is_err() {
                return;
            }
        }
    }

    fn is_away(&self) -> bool {
        self.cell.failures.load(Ordering::Relaxed) > 0
    }

    async fn judge(&self, done: Result<(), PlatError>) {
        let Err(error) = done else {
            self.cell.failures.store(0, Ordering::Relaxed);
            return;
        };
        if matches!(error, PlatError::Budget) {
            // Our own calls are too many; that says nothing about the platform.
            tokio::time::sleep(GAP).await;
            return;
        }
        let failures = self.cell.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures == AWAY {
            let error = error.to_string();
            log::warn!(target: "journal", shard = self.at, error = error.as_str(); "platform away");
        }
        // Jitter keeps the instances from returning to the platform all at once.
        let span = (PAUSE << failures.min(10)).min(LONGEST) as f64;
        let pause = span * (0.5 + 0.5 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(pause as u64)).await;
    }

    /// Finds out whether the platform is back though nobody waits for it.
    async fn probe(&self) -> Result<(), PlatError> {
        let key = keys::shard_head(self.at);
        self.plat.get(&key).await.map(drop)
    }

    async fn load(&self, from: u64) -> Result<(), PlatError> {
        let read = self.read(from).await;
        let mut shard = self.cell.shard.lock();
        match read {
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

    /// Reads the head and the segments from one on, in one consistent read: the head's key sorts
    /// before those of the segments, so the range from the head on holds both. Segments that are
    /// known already come along; they are few, since expired ones are deleted.
    async fn read(&self, from: u64) -> Result<(i64, Vec<Segment>), PlatError> {
        let range = self.plat.list(&keys::shard_prefix(self.at)).await?;
        let head_key = keys::shard_head(self.at);
        let first = keys::segment(self.at, from);
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
        let done = self.put(head, segment).await;
        let wrote = match &done {
            Ok(TxnOutcome::At(rev)) => WriteResult::Committed(*rev),
            Ok(TxnOutcome::Conflict) => WriteResult::Conflict,
            Err(_) => WriteResult::Unknown,
        };
        self.cell.shard.lock().write_finished(wrote);
        done.map(drop)
    }

    async fn put(&self, head: i64, segment: &Segment) -> Result<TxnOutcome, PlatError> {
        let bytes = segment.encode().map_err(|_| PlatError::Garbled)?;
        if bytes.len() > MOST {
            log::warn!(target: "journal", shard = self.at, bytes = bytes.len(); "large segment");
        }
        let key = keys::shard_head(self.at);
        let seq = segment.seq.to_string();
        let expired = plat::Delete::Span(
            keys::segment(self.at, 0),
            keys::segment(self.at, segment.min_seq),
        );
        let txn = Txn {
            guards: vec![Guard::on(key.as_str(), head)],
            puts: vec![
                Put::new(key, Bytes::from(seq).to_vec()),
                Put::new(keys::segment(self.at, segment.seq), bytes),
            ],
            deletes: match segment.min_seq {
                0 | 1 => Vec::new(),
                _ => vec![expired],
            },
        };
        self.plat.txn(&txn).await
    }
}
