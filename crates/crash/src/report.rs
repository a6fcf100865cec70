//! Exchanges crash observations between instances through records on the platform.
//!
//! Load pattern: a request that crashes upstreams is retried at any instance within moments, and all instances may
//! restart in between. Each instance keeps its observations in one small record, whose write rate is limited however
//! many upstreams crash.

use std::time::Duration;

use kernel::Millis;
use plat::Client;
use plat::Delete;
use plat::Guard;
use plat::Item;
use plat::PlatError;
use plat::SingleWriterKey;
use plat::Txn;
use plat::TxnOutcome;
use poison::Observations;
use poison::Report;
use poison::ledger::CRASH_TTL_MS;
use tokio::time::sleep;

use crate::CrashTracker;

/// Minimum time between two writes of the record. Most requests affected by a crash succeed elsewhere within this time
/// and are never written. Together with the read interval of the records, all instances know of a crash within two
/// seconds.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of records deleted per read, so that deletions delay a read by a few calls at most.
const MAX_DELETES_PER_READ: usize = 4;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes this instance's observations to its record whenever they change; never returns. `key` must be unique to this
/// start of the instance, so that the observations of an earlier start are not overwritten. `on_write` receives the
/// result of each write.
pub async fn publish(
    tracker: &CrashTracker,
    plat: &Client,
    key: &str,
    mut on_write: impl FnMut(Result<(), &PlatError>),
) {
    let mut single = SingleWriterKey::new(key);
    let mut written = Observations::default();
    loop {
        tracker.wait_for_changes().await;
        sleep(MIN_WRITE_INTERVAL).await;
        loop {
            let observed = tracker.local_observations();
            if observed == written {
                break;
            }
            match write(&mut single, plat, &observed).await {
                Ok(()) => {
                    on_write(Ok(()));
                    let (crashes, wholes) =
                        (observed.exact.crashes.len(), observed.exact.successes.len());
                    log::info!(target: "crash", crashes, wholes; "crash record written");
                    written = observed;
                    break;
                }
                Err(error) => {
                    on_write(Err(&error));
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn write(
    single: &mut SingleWriterKey,
    plat: &Client,
    observed: &Observations,
) -> Result<(), PlatError> {
    let value = rmp_serde::to_vec(observed).map_err(|_| PlatError::Garbled)?;
    single.write(plat, value).await
}

/// Deletes expired records, whose instances have stopped or have observed nothing since.
pub async fn delete_expired(plat: &Client, items: &[Item], now: Millis) {
    let expired = items.iter().filter(|item| is_expired(item, now));
    for item in expired.take(MAX_DELETES_PER_READ) {
        let txn = Txn {
            guards: vec![Guard::At(item.key.clone(), item.rev)],
            deletes: vec![Delete::Key(item.key.clone())],
            ..Txn::default()
        };
        let done = plat.txn(&txn).await;
        let outcome = match done {
            Ok(TxnOutcome::At(_)) => "deleted",
            Ok(TxnOutcome::Conflict) => "rewritten meanwhile",
            Err(_) => "failed, retried after the next read",
        };
        log::info!(target: "crash", key = item.key.as_str(), outcome; "delete expired crash record");
    }
}

/// Decodes a record. The previous version wrote only the observations of exact requests.
fn decode(item: &Item) -> Result<Observations, rmp_serde::decode::Error> {
    rmp_serde::from_slice(&item.value).or_else(|_| {
        let exact = rmp_serde::from_slice(&item.value)?;
        let group = Report::default();
        Ok(Observations { exact, group })
    })
}

/// Returns whether all observations in a record are older than [`CRASH_TTL_MS`].
fn is_expired(item: &Item, now: Millis) -> bool {
    let Ok(observed) = decode(item) else {
        // A record that cannot be decoded may be of a newer version.
        return false;
    };
    let newest_time = |report: &Report| {
        let crashes = report.crashes.iter().map(|crash| crash.at);
        let successes = report.successes.iter().map(|success| success.at);
        crashes.chain(successes).max()
    };
    let newest = newest_time(&observed.exact).max(newest_time(&observed.group));
    newest.is_none_or(|newest| newest + CRASH_TTL_MS < now)
}

/// Merges the record of an instance into the tracker.
pub fn merge_record(tracker: &CrashTracker, item: &Item) {
    match decode(item) {
        Ok(observed) => tracker.merge(&observed),
        Err(error) => {
            let error = error.to_string();
            log::warn!(target: "crash", key = item.key.as_str(), revision = item.rev,
                error = error.as_str(); "could not decode crash record");
        }
    }
}
