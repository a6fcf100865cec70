//! Telling other instances of crashes, through the platform.
//!
//! Load pattern: a request that crashes upstreams comes again at any instance within moments, and all
//! instances may be started anew in between. What each one has seen is one small record, written at most
//! once in [`PAUSE`] however many upstreams crash; whoever reads the list of upstreams for others reads the
//! records with it.

use std::time::Duration;

use batch::record;
use kernel::Millis;
use plat::Done;
use plat::Guard;
use plat::Item;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use poison::Report;
use poison::ledger::KEEP;
use tokio::time::sleep;

use crate::App;
use crate::news::Reach;

/// What the keys of records begin with.
pub(crate) const REPORTS: &str = "snipeway/crash/";

/// Shortest time between two writes of the record. Most of what was beside a crash runs whole elsewhere
/// within it, and is never written; with the time between two reads of the list it leaves two seconds until
/// all instances know.
const PAUSE: Duration = Duration::from_millis(150);

/// Pause after a write that failed.
const AGAIN: Duration = Duration::from_millis(400);

/// Age at which a lease is left to itself and the next record goes with a new one, in milliseconds: a crash
/// is then kept for half its time at least when all instances are started anew.
const LEASE: Millis = KEEP / 2;

/// This instance's record at the platform.
#[derive(Default)]
struct Record {
    /// What it holds.
    report: Report,
    /// Its revision, which is 0 when there is none.
    rev: i64,
    /// Whether the last write may have taken effect, or may yet.
    unclear: bool,
    /// The lease that it goes with, and when that was granted.
    lease: Option<(i64, Millis)>,
}

impl Record {
    async fn write(&mut self, app: &App, report: &Report) -> Result<(), PlatError> {
        // A start of its own has a record of its own: what an earlier start saw must not be lost.
        let key = format!("{REPORTS}{}/{}", app.me.instance, app.me.start);
        if self.unclear {
            // Carried out late, the older write would replace the newer one.
            self.rev = app.plat.get(&key).await?.map_or(0, |item| item.rev);
            self.unclear = false;
        }
        let lease = self.lease(app).await?;
        let value = record::encode(report).map_err(|_| PlatError::Garbled)?;
        let txn = Txn {
            guards: vec![Guard::on(&*key, self.rev)],
            puts: vec![Put { key, value, lease }],
            ..Txn::default()
        };
        match app.plat.txn(&txn).await? {
            Done::At(rev) => {
                self.rev = rev;
                self.report = report.clone();
                Ok(())
            }
            Done::Conflict => {
                self.unclear = true;
                Err(PlatError::Silent)
            }
        }
    }

    async fn lease(&mut self, app: &App) -> Result<i64, PlatError> {
        let now = app.clock.now();
        if let Some((lease, at)) = self.lease.filter(|(_, at)| now < at + LEASE) {
            self.lease = Some((lease, at));
            return Ok(lease);
        }
        let lease = app.plat.grant(KEEP).await?.id;
        self.lease = Some((lease, now));
        Ok(lease)
    }

    fn failed(&mut self, error: &PlatError) {
        self.unclear |= error.is_unclear();
        if matches!(error, PlatError::Lapsed) {
            self.lease = None;
            self.unclear = true;
        }
    }
}

/// Keeps the record of what this instance has seen.
pub(crate) async fn keep(app: std::sync::Arc<App>) {
    let mut record = Record::default();
    let mut reach = Reach::new("record of crashes");
    loop {
        app.crashes.notified().await;
        sleep(PAUSE).await;
        loop {
            let report = app.poison.lock().own().clone();
            if report == record.report {
                break;
            }
            match record.write(&app, &report).await {
                Ok(()) => {
                    reach.back();
                    let (crashes, wholes) = (report.crashes.len(), report.wholes.len());
                    log::info!(target: "crash", revision = record.rev, crashes, wholes;
                        "crashes told");
                    break;
                }
                Err(error) => {
                    record.failed(&error);
                    reach.lost(&error);
                    sleep(AGAIN).await;
                }
            }
        }
    }
}

/// Reads the records of all instances.
///
/// # Errors
///
/// Returns [`PlatError`].
pub(crate) async fn list(app: &App) -> Result<Vec<Item>, PlatError> {
    Ok(app.plat.list(REPORTS).await?.items)
}

/// Takes in the record of an instance.
pub(crate) fn take(app: &App, item: &Item) {
    let report: Report = match record::decode(&item.value) {
        Ok(report) => report,
        Err(error) => {
            let error = error.to_string();
            log::warn!(target: "crash", key = item.key.as_str(), revision = item.rev,
                error = error.as_str(); "record not understood");
            return;
        }
    };
    let mut ledger = app.poison.lock();
    ledger.heard(&report, app.clock.wall());
    super::tell(app, ledger.changes());
}
