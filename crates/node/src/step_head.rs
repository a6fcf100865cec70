//! The head record of a step at the platform, which decides whether the step may start or continue.
//!
//! The record names the instance that runs the step and whether the step has ended. Running a step requires an
//! [`Ownership`], which is obtained in one of two ways: by the write that accepts the step, which succeeds only if
//! there is no head, or by the write that takes the step over, which succeeds only if the head is unchanged since it
//! was read. Ending a step changes its head, so both writes fail afterwards, and so does each write of results.

use std::sync::Arc;

use batch::Head;
use batch::Owner;
use batch::Spec;
use batch::keys;
use batch::record;
use kernel::Millis;
use plat::Guard;
use plat::Item;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use tokio::time::sleep;

use crate::App;
use crate::owner::RETRY_PAUSE;

/// Maximum total size of the specification's parts that are written in one transaction with the head. Larger
/// specifications are written part by part before it.
const MAX_INLINE_SPEC_BYTES: usize = 1 << 20;

/// Proof from the platform that a step was open and owned by this instance at [`Ownership::sent_at`] or later.
#[derive(Debug)]
pub struct Ownership {
    rev: i64,
    sent_at: Millis,
}

impl Ownership {
    /// The revision of the head.
    pub fn rev(&self) -> i64 {
        self.rev
    }

    /// When the request that proves the ownership was sent, in milliseconds on this instance's clock.
    pub fn sent_at(&self) -> Millis {
        self.sent_at
    }
}

/// State of a step for the instance that wrote its head at a given revision.
#[derive(Debug)]
pub enum OwnershipState {
    /// The step is open and still owned by that instance.
    Open(Ownership),
    /// The step has ended.
    Ended,
    /// The step was taken over meanwhile, or its records were removed.
    Lost,
}

/// Result of [`create`].
pub enum CreateOutcome {
    /// This instance owns the step.
    Open(Ownership),
    /// The step was accepted before; holds its head.
    Exists(Item),
    /// The step was accepted before, and its records have since been removed.
    Removed,
}

/// Result of [`take_over`].
#[derive(Debug)]
pub enum TakeOverOutcome {
    /// This instance owns the step.
    Open(Ownership),
    /// The step has ended, and a previous release wrote the end under a separate key.
    Ended,
    /// The head says that the step has ended, the head was changed or removed after it was read, or the retention
    /// time of the results passed before the outcome was known.
    Rejected,
}

/// A step that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedStep {
    /// The instance that ran it.
    pub owner: Owner,
    /// The revision of its head before the end was written.
    pub rev: i64,
}

/// Writes a new step, unless there is a head under its name or under its legacy name.
///
/// # Errors
///
/// Returns [`PlatError`]; the step may have been written nevertheless if [`PlatError::is_indeterminate`] returns
/// true.
pub async fn create(
    app: &App,
    step: &str,
    legacy_id: Option<&str>,
    head: &Head,
    spec: &Spec,
) -> Result<CreateOutcome, PlatError> {
    let sent_at = app.clock.now();
    let names = || [step].into_iter().chain(legacy_id);
    let guards = names().map(|name| Guard::Absent(keys::head(name)));
    if let TxnOutcome::At(rev) = write_step(app, step, guards.collect(), head, spec).await? {
        return Ok(CreateOutcome::Open(Ownership { rev, sent_at }));
    }
    for name in names() {
        match app.plat.get(&keys::head(name)).await {
            Ok(Some(item)) => return Ok(CreateOutcome::Exists(item)),
            Ok(None) => (),
            Err(error) => {
                let why = error.to_string();
                log::info!(target: "claim", id = step, why = why.as_str(); "could not read the head of an existing step");
                // There is a head, or was, so the caller must not assume that the step does not run.
                return Err(PlatError::NoAnswer);
            }
        }
    }
    Ok(CreateOutcome::Removed)
}

async fn write_step(
    app: &App,
    step: &str,
    guards: Vec<Guard>,
    head: &Head,
    spec: &Spec,
) -> Result<TxnOutcome, PlatError> {
    let _copies = app.step_copies.acquire(spec.size()).await;
    let (mut puts, mut bytes) = (Vec::new(), 0);
    for (index, part) in spec.parts().enumerate() {
        let part = part.map_err(|_| PlatError::Garbled)?;
        bytes += part.len();
        puts.push(Put::new(keys::part(step, index), part));
        if bytes > MAX_INLINE_SPEC_BYTES {
            // The head is written last, so that a step with a head is complete.
            write_parts(app, &mut puts).await?;
        }
    }
    puts.push(head_put(step, head)?);
    let txn = Txn {
        guards,
        puts,
        deletes: Vec::new(),
    };
    app.plat.txn(&txn).await
}

/// Writes parts of a specification, one at a time.
async fn write_parts(app: &App, puts: &mut Vec<Put>) -> Result<(), PlatError> {
    for put in puts.drain(..) {
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        app.plat.txn(&txn).await?;
    }
    Ok(())
}

fn head_put(step: &str, head: &Head) -> Result<Put, PlatError> {
    let value = record::encode(head).map_err(|_| PlatError::Garbled)?;
    Ok(Put::new(keys::head(step), value))
}

/// Decodes the head of a step.
///
/// # Errors
///
/// Returns [`PlatError::Garbled`] when the record has another format.
pub fn decode_head(item: &Item) -> Result<Head, PlatError> {
    record::decode(&item.value).map_err(|_| PlatError::Garbled)
}

/// Makes this instance the owner of a step whose head was read. Retries until the outcome is known: a step whose owner
/// does not know that it owns it would not be run by any instance.
///
/// # Errors
///
/// Returns [`PlatError`] when nothing was written.
pub async fn take_over(
    app: &Arc<App>,
    step: &str,
    item: &Item,
    head: &Head,
) -> Result<TakeOverOutcome, PlatError> {
    if head.ended.is_some() {
        return Ok(TakeOverOutcome::Rejected);
    }
    let own_head = Head {
        owner: app.me.clone(),
        ..head.clone()
    };
    let txn = Txn {
        guards: vec![
            Guard::At(keys::head(step), item.rev),
            // Previous releases wrote the end of a step under this key.
            Guard::Absent(keys::end(step)),
        ],
        puts: vec![head_put(step, &own_head)?],
        deletes: Vec::new(),
    };
    let mut indeterminate = false;
    while app.clock.wall() < head.opened + app.settings.result_retention {
        let sent_at = app.clock.now();
        match app.plat.txn(&txn).await {
            Ok(TxnOutcome::At(rev)) => {
                return Ok(TakeOverOutcome::Open(Ownership { rev, sent_at }));
            }
            Ok(TxnOutcome::Conflict) if !indeterminate => {
                let ended = app.plat.get(&keys::end(step)).await?;
                return Ok(ended.map_or(TakeOverOutcome::Rejected, |_| TakeOverOutcome::Ended));
            }
            Ok(TxnOutcome::Conflict) => match verify_take_over(app, step, &own_head).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => log_indeterminate(step, &error),
            },
            Err(error) if !indeterminate && !error.is_indeterminate() => return Err(error),
            Err(error) => {
                indeterminate = true;
                log_indeterminate(step, &error);
            }
        }
        sleep(RETRY_PAUSE).await;
    }
    Ok(TakeOverOutcome::Rejected)
}

fn log_indeterminate(step: &str, error: &PlatError) {
    let why = error.to_string();
    log::warn!(target: "claim", id = step, why = why.as_str(); "unknown whether the step was taken over");
}

/// Determines whether a head was written although its write was not acknowledged.
async fn verify_take_over(
    app: &App,
    step: &str,
    own_head: &Head,
) -> Result<TakeOverOutcome, PlatError> {
    let sent_at = app.clock.now();
    let item = app.plat.get(&keys::head(step)).await?;
    let item = item.filter(|item| decode_head(item).is_ok_and(|head| head == *own_head));
    Ok(match item {
        Some(Item { rev, .. }) => TakeOverOutcome::Open(Ownership { rev, sent_at }),
        None => TakeOverOutcome::Rejected,
    })
}

/// Determines the state of a step for the instance that wrote its head at revision `rev`, from the head that was read
/// with a request sent at `sent_at`. The head of an ended step names the revision that was ended, so that an owner that
/// was replaced before the end does not mistake it for the end of its own run.
///
/// # Errors
///
/// Returns [`PlatError::Garbled`] when the head cannot be decoded.
pub fn ownership_state(
    sent_at: Millis,
    rev: i64,
    item: Option<&Item>,
) -> Result<OwnershipState, PlatError> {
    let Some(item) = item else {
        return Ok(OwnershipState::Lost);
    };
    if item.rev == rev {
        return Ok(OwnershipState::Open(Ownership { rev, sent_at }));
    }
    Ok(match decode_head(item)?.ended == Some(rev) {
        true => OwnershipState::Ended,
        false => OwnershipState::Lost,
    })
}

/// Ends a step, unless it has already ended; returns [`None`] when there is no such step.
///
/// # Errors
///
/// Returns [`PlatError`]; the step may have ended nevertheless if [`PlatError::is_indeterminate`] returns true.
pub async fn end(app: &App, step: &str) -> Result<Option<EndedStep>, PlatError> {
    loop {
        let Some(item) = app.plat.get(&keys::head(step)).await? else {
            return Ok(None);
        };
        let mut head = decode_head(&item)?;
        let owner = head.owner.clone();
        if let Some(rev) = head.ended {
            return Ok(Some(EndedStep { owner, rev }));
        }
        head.ended = Some(item.rev);
        let txn = Txn {
            guards: vec![Guard::At(keys::head(step), item.rev)],
            puts: vec![head_put(step, &head)?],
            deletes: Vec::new(),
        };
        // A conflict means that the step was taken over or ended meanwhile, so its head is read again.
        if let TxnOutcome::At(_) = app.plat.txn(&txn).await? {
            let rev = item.rev;
            return Ok(Some(EndedStep { owner, rev }));
        }
    }
}
