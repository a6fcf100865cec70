//! Keeping what this instance has seen at the platform, where others read it.
//!
//! Load pattern: a request that crashes upstreams comes again at any instance within moments, and all
//! instances may be started anew in between. What each one has seen is one small record, written at most
//! once in [`PAUSE`] however many upstreams crash.

use std::time::Duration;

use clock::Clock;
use kernel::Millis;
use plat::Client;
use plat::Item;
use plat::PlatError;
use plat::Single;
use poison::Report;
use poison::ledger::KEEP;
use tokio::time::sleep;

use crate::Watch;

/// Shortest time between two writes of the record. Most of what was beside a crash runs whole elsewhere
/// within it, and is never written; with the time between two reads of the list it leaves two seconds until
/// all instances know.
const PAUSE: Duration = Duration::from_millis(150);

/// Pause after a write that failed.
const AGAIN: Duration = Duration::from_millis(400);

/// Age at which a lease is left to itself and the next record goes with a new one, in milliseconds: a crash
/// is then kept for half its time at least when all instances are started anew.
const LEASE: Millis = KEEP / 2;

/// Keeps the record of what this instance has seen under a key that no other start of any instance has: what
/// an earlier start saw must not be lost. `reach` hears of each write whether it failed.
pub async fn keep(
    watch: &Watch,
    plat: &Client,
    key: &str,
    mut reach: impl FnMut(Result<(), &PlatError>),
) {
    let clock = Clock::default();
    let mut single = Single::new(key, KEEP, LEASE);
    let mut written = Report::default();
    loop {
        watch.news().await;
        sleep(PAUSE).await;
        loop {
            let report = watch.own();
            if report == written {
                break;
            }
            match write(&mut single, plat, &report, clock.now()).await {
                Ok(()) => {
                    reach(Ok(()));
                    let (crashes, wholes) = (report.crashes.len(), report.wholes.len());
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

async fn write(
    single: &mut Single,
    plat: &Client,
    report: &Report,
    now: Millis,
) -> Result<(), PlatError> {
    let value = rmp_serde::to_vec(report).map_err(|_| PlatError::Garbled)?;
    single.write(plat, value, now).await
}

/// Takes in the record of an instance.
pub fn take(watch: &Watch, item: &Item) {
    match rmp_serde::from_slice::<Report>(&item.value) {
        Ok(report) => watch.heard(&report),
        Err(error) => {
            let error = error.to_string();
            log::warn!(target: "crash", key = item.key.as_str(), revision = item.rev,
                error = error.as_str(); "record not understood");
        }
    }
}
