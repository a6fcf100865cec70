//! Leader election: claiming, renewing and resigning the leader's record at the platform.

use std::net::SocketAddr;
use std::time::Duration;

use batch::record;
use fleet::Candidate;
use fleet::Leader;
use fleet::election::CandidateAction;
use fleet::election::ProcessId;
use fleet::election::Record;
use kernel::Millis;
use net::SendCondition;
use parking_lot::Mutex;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use tokio::time::sleep;

use crate::App;
use crate::dependency::DependencyStatus;

/// The key of the leader's record.
const LEADER_KEY: &str = "snipeway/leader";

/// Interval between two reads of the record by a candidate. Stale reads suffice, since the record is only replaced
/// under the revision that was read.
const CANDIDATE_READ_INTERVAL: Duration = Duration::from_millis(600);

/// Interval between two checks whether a renewal is due, also after a failed one.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// This instance's leadership, which is renewed while other tasks check whether it may give orders.
pub struct Leadership {
    leader: Mutex<Leader>,
}

impl Leadership {
    /// Returns whether an order may be given now.
    pub fn may_order(&self, now: Millis) -> bool {
        self.leader.lock().may_order(now)
    }

    /// Returns the condition under which an order may be sent, or [`None`] if none may be given now. Call it before each
    /// order, and not once for several.
    pub fn order_condition(&self, app: &App) -> Option<SendCondition> {
        let clock = app.clock;
        let leader = self.leader.lock();
        let deadline = leader.order_deadline();
        leader
            .may_order(clock.now())
            .then(|| SendCondition::new(move || clock.now() < deadline))
    }

    /// The fencing token of orders.
    pub fn fencing_token(&self) -> i64 {
        self.leader.lock().fencing_token().0
    }

    /// Renews the record until another instance has replaced it.
    pub async fn renew(&self, app: &App) {
        let mut status = DependencyStatus::new("leader's record");
        loop {
            sleep(RENEWAL_CHECK_INTERVAL).await;
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
                    status.mark_restored();
                }
                Ok(TxnOutcome::Conflict) => match read(app).await {
                    // A renewal whose answer was lost was applied, at an unknown time.
                    Ok(Some((record, rev))) if self.leader.lock().owns(&record) => {
                        self.leader.lock().renewed(rev, 0);
                    }
                    Ok(_) => return,
                    Err(error) => status.mark_lost(&error),
                },
                Err(error) => status.mark_lost(&error),
            }
        }
    }

    /// Resigns, so that another instance can become the leader before the record would count as abandoned.
    pub async fn resign(self, app: &App) {
        let leader = self.leader.into_inner();
        let rev = leader.rev();
        let record = leader.resign(app.clock.now());
        if let Err(error) = write(app, rev, &record).await {
            let error = error.to_string();
            log::warn!(target: "control", error = error.as_str(); "could not resign; the leader's record has to time out");
        }
    }
}

/// Runs for leader until this instance is elected.
pub async fn win_election(app: &App) -> Leadership {
    let addr = SocketAddr::new(app.settings.address, app.settings.peer_port);
    let process = ProcessId {
        machine: addr.to_string().into(),
        start: app.me.start,
    };
    let mut candidate = Candidate::new(process, app.settings.leader_gap);
    let mut status = DependencyStatus::new("leader's record");
    loop {
        if let CandidateAction::Claim(rev, record) = observe(app, &mut candidate).await {
            let sent_at = app.clock.now();
            match write(app, rev, &record).await {
                Ok(TxnOutcome::At(rev)) => {
                    let leader = Mutex::new(candidate.won(rev, sent_at));
                    return Leadership { leader };
                }
                // Another candidate was first, or the answer to an applied write was lost; the next read shows which.
                Ok(TxnOutcome::Conflict) => status.mark_restored(),
                Err(error) => status.mark_lost(&error),
            }
        }
        sleep(CANDIDATE_READ_INTERVAL).await;
    }
}

async fn observe(app: &App, candidate: &mut Candidate) -> CandidateAction {
    let sent_at = app.clock.now();
    let current = match app.plat.list_stale(LEADER_KEY).await {
        Ok(range) => range.items.first().map(decode).transpose(),
        Err(error) => Err(error),
    };
    match current {
        Ok(current) => {
            let current = current.as_ref().map(|(record, rev)| (record, *rev));
            candidate.observe(current, sent_at)
        }
        Err(error) => {
            log::debug!(target: "control", error = error.to_string().as_str(); "could not read the leader's record");
            candidate.read_failed(app.clock.now());
            CandidateAction::Wait
        }
    }
}

async fn read(app: &App) -> Result<Option<(Record, i64)>, PlatError> {
    let item = app.plat.get(LEADER_KEY).await?;
    item.as_ref().map(decode).transpose()
}

fn decode(item: &plat::Item) -> Result<(Record, i64), PlatError> {
    let record = record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
    Ok((record, item.rev))
}

async fn write(app: &App, rev: i64, record: &Record) -> Result<TxnOutcome, PlatError> {
    let value = record::encode(record).map_err(|_| PlatError::Garbled)?;
    let txn = Txn {
        guards: vec![Guard::on(LEADER_KEY, rev)],
        puts: vec![Put::new(LEADER_KEY, value)],
        deletes: Vec::new(),
    };
    app.plat.txn(&txn).await
}
