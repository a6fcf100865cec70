//! The leader's record at the platform: standing for it, renewing it, giving it up.

use std::net::SocketAddr;
use std::time::Duration;

use batch::record;
use fleet::Candidate;
use fleet::Leader;
use fleet::election::CandidateAction;
use fleet::election::ProcessId;
use fleet::election::Record;
use kernel::Millis;
use parking_lot::Mutex;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use tokio::time::sleep;

use crate::App;
use crate::dependency::DependencyStatus;

/// The key of the record.
const KEY: &str = "snipeway/leader";

/// Time between two looks of a candidate. Stale reads do: the record is replaced under its revision.
const LOOK: Duration = Duration::from_millis(600);

/// Time between two looks at whether the record is to be renewed, and after a failed renewal.
const TICK: Duration = Duration::from_millis(150);

/// A leader whose record is renewed while others ask whether it may give orders.
pub struct Office {
    leader: Mutex<Leader>,
}

impl Office {
    /// Tells whether an order may be given now.
    pub fn may_order(&self, now: Millis) -> bool {
        self.leader.lock().may_order(now)
    }

    /// The fencing number of orders.
    pub fn fence(&self) -> i64 {
        self.leader.lock().fencing_token().0
    }

    /// Renews the record until it belongs to somebody else.
    pub async fn keep(&self, app: &App) {
        let mut reach = DependencyStatus::new("leader's record");
        loop {
            sleep(TICK).await;
            let now = app.clock.now();
            let due = {
                let leader = self.leader.lock();
                leader
                    .is_renewal_due(now)
                    .then(|| (leader.rev(), leader.record(now)))
            };
            let Some((rev, record)) = due else { continue };
            match write(app, rev, &record).await {
                Ok(TxnOutcome::At(rev)) => {
                    self.leader.lock().renewed(rev, now);
                    reach.mark_restored();
                }
                Ok(TxnOutcome::Conflict) => match read(app).await {
                    // A renewal whose answer was lost; when it took effect is not known.
                    Ok(Some((record, rev))) if self.leader.lock().owns(&record) => {
                        self.leader.lock().renewed(rev, 0);
                    }
                    Ok(_) => return,
                    Err(error) => reach.mark_lost(&error),
                },
                Err(error) => reach.mark_lost(&error),
            }
        }
    }

    /// Gives the office up, so that another instance need not wait for its silence.
    pub async fn resign(self, app: &App) {
        let leader = self.leader.into_inner();
        let rev = leader.rev();
        let record = leader.resign(app.clock.now());
        if let Err(error) = write(app, rev, &record).await {
            let error = error.to_string();
            log::warn!(target: "control", error = error.as_str(); "others wait for this leader");
        }
    }
}

/// Stands for leader until this instance is it.
pub async fn stand(app: &App) -> Office {
    let addr = SocketAddr::new(app.settings.address, app.settings.peer_port);
    let me = ProcessId {
        machine: addr.to_string().into(),
        start: app.me.start,
    };
    let mut candidate = Candidate::new(me, app.settings.leader_gap);
    let mut reach = DependencyStatus::new("leader's record");
    loop {
        if let CandidateAction::Claim(rev, record) = look(app, &mut candidate).await {
            let sent = app.clock.now();
            match write(app, rev, &record).await {
                Ok(TxnOutcome::At(rev)) => {
                    let leader = Mutex::new(candidate.won(rev, sent));
                    return Office { leader };
                }
                // Somebody else was first, or this write's answer was lost: the next read shows it.
                Ok(TxnOutcome::Conflict) => reach.mark_restored(),
                Err(error) => reach.mark_lost(&error),
            }
        }
        sleep(LOOK).await;
    }
}

async fn look(app: &App, candidate: &mut Candidate) -> CandidateAction {
    let sent = app.clock.now();
    let found = match app.plat.list_stale(KEY).await {
        Ok(range) => range.items.first().map(decode).transpose(),
        Err(error) => Err(error),
    };
    match found {
        Ok(found) => {
            let found = found.as_ref().map(|(record, rev)| (record, *rev));
            candidate.observe(found, sent)
        }
        Err(error) => {
            log::debug!(target: "control", error = error.to_string().as_str(); "no look at the leader");
            candidate.read_failed(app.clock.now());
            CandidateAction::Wait
        }
    }
}

async fn read(app: &App) -> Result<Option<(Record, i64)>, PlatError> {
    let item = app.plat.get(KEY).await?;
    item.as_ref().map(decode).transpose()
}

fn decode(item: &plat::Item) -> Result<(Record, i64), PlatError> {
    let record = record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
    Ok((record, item.rev))
}

async fn write(app: &App, rev: i64, record: &Record) -> Result<TxnOutcome, PlatError> {
    let value = record::encode(record).map_err(|_| PlatError::Garbled)?;
    let txn = Txn {
        guards: vec![Guard::on(KEY, rev)],
        puts: vec![Put::new(KEY, value)],
        deletes: Vec::new(),
    };
    app.plat.txn(&txn).await
}
