//! Keeping what this instance has seen at the platform, where others read it.
//!
//! Load pattern: a request that crashes upstreams comes again at any instance within moments, and all
//! instances may be started anew in between. What each one has seen is one small record, written at most
//! once in a short while however many upstreams crash.

use std::time::Duration;

use kernel::Millis;
use plat::Client;
use plat::Delete;
use plat::Done;
use plat::Guard;
use plat::Item;
use plat::PlatError;
use plat::Single;
use plat::Txn;
use poison::Observations;
use poison::Report;
use poison::ledger::CRASH_TTL_MS;
use tokio::time::sleep;

use crate::CrashTracker;

/// Shortest time between two writes of the record. Most of what was beside a crash runs whole elsewhere
/// within it, and is never written; with the time between two reads of the list it leaves two seconds until
/// all instances know.
const PAUSE: Duration = Duration::from_millis(150);

/// Most records that are deleted with one read, so that a read is late by some calls only.
const SWEPT: usize = 4;

/// Pause after a write that failed.
const AGAIN: Duration = Duration::from_millis(400);

/// Keeps the record of what this instance has seen under a key that no other start of any instance has: what
/// an earlier start saw must not be lost. `reach` hears of each write whether it failed.
pub async fn publish(
    watch: &CrashTracker,
    plat: &Client,
    key: &str,
    mut reach: impl FnMut(Result<(), &PlatError>),
) {
    let mut single = Single::new(key);
    let mut written = Observations::default();
    loop {
        watch.wait_for_changes().await;
        sleep(PAUSE).await;
        loop {
            let report = watch.local_observations();
            if report == written {
                break;
            }
            match write(&mut single, plat, &report).await {
                Ok(()) => {
                    reach(Ok(()));
                    let (crashes, wholes) =
                        (report.exact.crashes.len(), report.exact.successes.len());
                    log::info!(target: "crash", crashes, wholes; "crashes told");
                    written = report;
                    break;
                }
                Err(error) => {
                    reach(Err(&error));
                    sleep(AGAIN).await;
                }
            }
        }
    }
}

async fn write(single: &mut Single, plat: &Client, report: &Observations) -> Result<(), PlatError> {
    let value = rmp_serde::to_vec(report).map_err(|_| PlatError::Garbled)?;
    single.write(plat, value).await
}

/// Deletes records of which nothing counts any more, the instances that wrote them being gone or quiet.
pub async fn delete_expired(plat: &Client, items: &[Item], now: Millis) {
    let old = items.iter().filter(|item| is_old(item, now));
    for item in old.take(SWEPT) {
        let txn = Txn {
            guards: vec![Guard::At(item.key.clone(), item.rev)],
            deletes: vec![Delete::Key(item.key.clone())],
            ..Txn::default()
        };
        let done = plat.txn(&txn).await;
        let outcome = match done {
            Ok(Done::At(_)) => "deleted",
            Ok(Done::Conflict) => "written anew",
            Err(_) => "left to the next read",
        };
        log::info!(target: "crash", key = item.key.as_str(), outcome; "old record");
    }
}

/// Reads a record; one of the version before says nothing of what requests have in common.
fn decode(item: &Item) -> Result<Observations, rmp_serde::decode::Error> {
    rmp_serde::from_slice(&item.value).or_else(|_| {
        let exact = rmp_serde::from_slice(&item.value)?;
        let group = Report::default();
        Ok(Observations { exact, group })
    })
}

fn is_old(item: &Item, now: Millis) -> bool {
    let Ok(report) = decode(item) else {
        // What cannot be read may be of a newer version.
        return false;
    };
    let times = |report: &Report| {
        let crashes = report.crashes.iter().map(|crash| crash.at);
        let wholes = report.successes.iter().map(|whole| whole.at);
        crashes.chain(wholes).max()
    };
    let newest = times(&report.exact).max(times(&report.group));
    newest.is_none_or(|newest| newest + CRASH_TTL_MS < now)
}

/// Takes in the record of an instance.
pub fn merge_record(watch: &CrashTracker, item: &Item) {
    match decode(item) {
        Ok(report) => watch.merge(&report),
        Err(error) => {
            let error = error.to_string();
            log::warn!(target: "crash", key = item.key.as_str(), revision = item.rev,
                error = error.as_str(); "record not understood");
        }
    }
}
