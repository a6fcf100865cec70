//! The head of a step at the platform, which decides whether the step may begin or go on.
//!
//! It names the instance that runs the step, and says whether the step has ended. Whatever runs a step needs an
//! [`Open`] for it, and there are two ways to one: the write that accepts the step, which succeeds while there
//! is no head, and the one that takes it over, which succeeds while the head is as it was read. Ending a step
//! changes its head, so both fail once it has ended, and so does each write of results.

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
use crate::owner::AGAIN;

/// Bytes of samples that one write holds beside the head; more is written before it.
const BYTES: usize = 4 << 20;

/// Proof that a step was open, and this instance's, when the platform was asked.
#[derive(Debug)]
pub struct Open {
    rev: i64,
    asked: Millis,
}

impl Open {
    /// The revision of the head.
    pub fn rev(&self) -> i64 {
        self.rev
    }

    /// When the platform was asked.
    pub fn asked(&self) -> Millis {
        self.asked
    }
}

/// What a step's head says to an instance that wrote it with some revision.
#[derive(Debug)]
pub enum Standing {
    /// The step is open, and still that instance's.
    Open(Open),
    /// It has ended.
    Ended,
    /// Somebody else runs it, or its records are gone.
    Lost,
}

/// What came of a try to accept a step.
pub enum AcceptOutcome {
    /// It is this instance's.
    Open(Open),
    /// It was accepted before.
    Exists(Item),
    /// It was accepted before, and its records are gone by now.
    Removed,
}

/// What came of taking a step over.
#[derive(Debug)]
pub enum Taken {
    /// It is this instance's.
    Open(Open),
    /// The version before has ended it.
    Ended,
    /// It has ended, somebody else took it, or its records are gone.
    Not,
}

/// A step that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedStep {
    /// Who ran it.
    pub owner: Owner,
    /// The revision that its head had.
    pub rev: i64,
}

/// Writes a step that is not known yet, once; neither under its name nor under a former one.
///
/// # Errors
///
/// Returns [`PlatError`]; [`PlatError::is_indeterminate`] tells whether the step may be there.
pub async fn accept(
    app: &App,
    step: &str,
    former: Option<&str>,
    head: &Head,
    spec: &Spec,
) -> Result<AcceptOutcome, PlatError> {
    let asked = app.clock.now();
    let names = || [step].into_iter().chain(former);
    let guards = names().map(|name| Guard::Absent(keys::head(name)));
    if let TxnOutcome::At(rev) = write(app, step, guards.collect(), head, spec).await? {
        return Ok(AcceptOutcome::Open(Open { rev, asked }));
    }
    for name in names() {
        match app.plat.get(&keys::head(name)).await {
            Ok(Some(item)) => return Ok(AcceptOutcome::Exists(item)),
            Ok(None) => (),
            Err(error) => {
                let why = error.to_string();
                log::info!(target: "claim", id = step, why = why.as_str(); "known step not read");
                // There is a head, or was: that nothing runs cannot be said any more.
                return Err(PlatError::NoAnswer);
            }
        }
    }
    Ok(AcceptOutcome::Removed)
}

async fn write(
    app: &App,
    step: &str,
    guards: Vec<Guard>,
    head: &Head,
    spec: &Spec,
) -> Result<TxnOutcome, PlatError> {
    let parts = spec.encode_parts().map_err(|_| PlatError::Garbled)?;
    let mut puts: Vec<_> = parts
        .into_iter()
        .enumerate()
        .map(|(at, part)| Put::new(keys::part(step, at), part))
        .collect();
    let bytes: usize = puts.iter().map(|put| put.value.len()).sum();
    if bytes > BYTES {
        // The head comes last, so that a step with a head is whole.
        for put in std::mem::take(&mut puts) {
            let txn = Txn {
                puts: vec![put],
                ..Txn::default()
            };
            app.plat.txn(&txn).await?;
        }
    }
    puts.push(put(step, head)?);
    let txn = Txn {
        guards,
        puts,
        deletes: Vec::new(),
    };
    app.plat.txn(&txn).await
}

fn put(step: &str, head: &Head) -> Result<Put, PlatError> {
    let value = record::encode(head).map_err(|_| PlatError::Garbled)?;
    Ok(Put::new(keys::head(step), value))
}

/// Reads a head.
///
/// # Errors
///
/// Returns [`PlatError::Garbled`].
pub fn decode_head(item: &Item) -> Result<Head, PlatError> {
    record::decode(&item.value).map_err(|_| PlatError::Garbled)
}

/// Makes this instance the owner of a step whose head was read. Tries until it is known whether it is: an owner
/// that does not know that it is one would leave the step to nobody.
///
/// # Errors
///
/// Returns [`PlatError`] when nothing was written.
pub async fn take(
    app: &Arc<App>,
    step: &str,
    item: &Item,
    head: &Head,
) -> Result<Taken, PlatError> {
    if head.ended.is_some() {
        return Ok(Taken::Not);
    }
    let mine = Head {
        owner: app.me.clone(),
        ..head.clone()
    };
    let txn = Txn {
        guards: vec![
            Guard::At(keys::head(step), item.rev),
            // Versions before wrote the end of a step there.
            Guard::Absent(keys::end(step)),
        ],
        puts: vec![put(step, &mine)?],
        deletes: Vec::new(),
    };
    let mut unclear = false;
    while app.clock.wall() < head.opened + app.settings.keep {
        let asked = app.clock.now();
        match app.plat.txn(&txn).await {
            Ok(TxnOutcome::At(rev)) => return Ok(Taken::Open(Open { rev, asked })),
            Ok(TxnOutcome::Conflict) if !unclear => {
                let ended = app.plat.get(&keys::end(step)).await?;
                return Ok(ended.map_or(Taken::Not, |_| Taken::Ended));
            }
            Ok(TxnOutcome::Conflict) => match found(app, step, &mine).await {
                Ok(taken) => return Ok(taken),
                Err(error) => note(step, &error),
            },
            Err(error) if !unclear && !error.is_indeterminate() => return Err(error),
            Err(error) => {
                unclear = true;
                note(step, &error);
            }
        }
        sleep(AGAIN).await;
    }
    Ok(Taken::Not)
}

fn note(step: &str, error: &PlatError) {
    let why = error.to_string();
    log::warn!(target: "claim", id = step, why = why.as_str(); "not known whether the step was taken over");
}

/// Whether a head that was written without an answer is there.
async fn found(app: &App, step: &str, mine: &Head) -> Result<Taken, PlatError> {
    let asked = app.clock.now();
    let item = app.plat.get(&keys::head(step)).await?;
    let item = item.filter(|item| decode_head(item).is_ok_and(|head| head == *mine));
    Ok(match item {
        Some(Item { rev, .. }) => Taken::Open(Open { rev, asked }),
        None => Taken::Not,
    })
}

/// What the head of a step says to the instance that wrote it with a revision. An ended one names the revision that was
/// ended, so that an owner that was replaced before does not take the end for that of its own.
///
/// # Errors
///
/// Returns [`PlatError`].
pub fn standing(asked: Millis, rev: i64, item: Option<&Item>) -> Result<Standing, PlatError> {
    let Some(item) = item else {
        return Ok(Standing::Lost);
    };
    if item.rev == rev {
        return Ok(Standing::Open(Open { rev, asked }));
    }
    Ok(match decode_head(item)?.ended == Some(rev) {
        true => Standing::Ended,
        false => Standing::Lost,
    })
}

/// Ends a step, unless it has ended before; gives [`None`] when there is no such step.
///
/// # Errors
///
/// Returns [`PlatError`]; it may have ended all the same.
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
            puts: vec![put(step, &head)?],
            deletes: Vec::new(),
        };
        // Otherwise it was taken over or ended meanwhile.
        if let TxnOutcome::At(_) = app.plat.txn(&txn).await? {
            let rev = item.rev;
            return Ok(Some(EndedStep { owner, rev }));
        }
    }
}
