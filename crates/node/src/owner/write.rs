//! Writing a segment of results under the conditions that make it safe.

use batch::RecordError;
use batch::Segment;
use batch::keys;
use batch::record;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;

use super::OwnedStep;
use crate::App;
use crate::claim;
use crate::claim::OwnershipState;

/// What a write of a segment came to.
pub(super) enum Written {
    /// It is at the platform.
    Kept,
    /// Whether it is there is not known.
    Unclear,
    /// The step has ended.
    Ended,
    /// Somebody else owns the step.
    Lost,
}

pub(super) async fn write_segment(app: &App, work: &OwnedStep, segment: &Segment) -> Written {
    let sent = app.clock.now();
    let Ok(puts) = puts(&work.step, segment) else {
        // Texts and numbers always have an encoding.
        return Written::Unclear;
    };
    // All are written together, so any of them tells of the others.
    let Some(first) = puts.first().cloned() else {
        return Written::Kept;
    };
    let end = keys::end(&work.step);
    let mut guards = vec![
        Guard::At(keys::head(&work.step), work.rev),
        Guard::Absent(end.clone()),
    ];
    guards.extend(puts.iter().map(|put| Guard::Absent(put.key.clone())));
    let txn = Txn {
        guards,
        puts,
        deletes: Vec::new(),
    };
    match app.plat.txn(&txn).await {
        Ok(TxnOutcome::At(_)) => {
            work.word.lock().confirm(sent);
            Written::Kept
        }
        Ok(TxnOutcome::Conflict) => settle(app, work, &first, &end).await,
        Err(error) => {
            let why = error.to_string();
            log::warn!(target: "owner", id = &*work.step, segment = segment.seq,
                why = why.as_str(); "segment not written");
            Written::Unclear
        }
    }
}

/// What is written of a segment: its results, if there are any, and what samples have gained.
fn puts(step: &str, segment: &Segment) -> Result<Vec<Put>, RecordError> {
    let mut puts = Vec::new();
    if !segment.entries.is_empty() {
        let value = record::encode(&segment.entries)?;
        puts.push(Put::new(keys::segment(step, segment.first), value));
    }
    if !segment.deltas.is_empty() {
        let value = record::encode(&segment.deltas)?;
        puts.push(Put::new(keys::draft(step, segment.seq), value));
    }
    Ok(puts)
}

/// Finds out why a segment could not be written: an earlier try of the same write took effect, the
/// step has ended, or it was taken over.
async fn settle(app: &App, work: &OwnedStep, put: &Put, end: &str) -> Written {
    let asked = app.clock.now();
    let found: Result<_, PlatError> = async {
        let head = app.plat.get(&keys::head(&work.step)).await?;
        let there = app.plat.get(&put.key).await?;
        let ended = app.plat.get(end).await?;
        Ok((
            claim::ownership_state(asked, work.rev, head.as_ref())?,
            there,
            ended,
        ))
    }
    .await;
    let Ok((standing, there, ended)) = found else {
        return Written::Unclear;
    };
    let lost = matches!(standing, OwnershipState::Lost);
    let open = work.stand(app, standing);
    match there {
        _ if lost => Written::Lost,
        Some(item) if item.value == put.value => Written::Kept,
        Some(_) => {
            work.lose();
            Written::Lost
        }
        None if !open => Written::Ended,
        None if ended.is_some() => {
            work.mark_ended(app, work.rev, "asked");
            Written::Ended
        }
        None => Written::Unclear,
    }
}
