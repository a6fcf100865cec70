//! Writes a segment of results on condition that this instance still owns the step and that it has not ended.

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
use crate::step_head;
use crate::step_head::OwnershipState;

/// Result of [`write_segment`].
pub(super) enum WriteOutcome {
    /// The segment was written.
    Applied,
    /// It is unknown whether the segment was written.
    Indeterminate,
    /// The step has ended.
    Ended,
    /// Another instance owns the step.
    Lost,
}

pub(super) async fn write_segment(app: &App, owned: &OwnedStep, segment: &Segment) -> WriteOutcome {
    let sent_at = app.clock.now();
    let Ok(puts) = encode_segment(&owned.step, segment) else {
        // Strings and integers can always be encoded.
        return WriteOutcome::Indeterminate;
    };
    // All keys are written in one transaction, so the first one shows whether it was applied.
    let Some(first) = puts.first().cloned() else {
        return WriteOutcome::Applied;
    };
    let end = keys::end(&owned.step);
    let mut guards = vec![
        Guard::At(keys::head(&owned.step), owned.rev),
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
            owned.confirmation.lock().confirm(sent_at);
            WriteOutcome::Applied
        }
        Ok(TxnOutcome::Conflict) => resolve_conflict(app, owned, &first, &end).await,
        Err(error) => {
            let why = error.to_string();
            log::warn!(target: "owner", id = &*owned.step, segment = segment.seq,
                why = why.as_str(); "could not write segment");
            WriteOutcome::Indeterminate
        }
    }
}

/// Encodes a segment: its results, if there are any, and the changes to the drafts of unfinished samples.
fn encode_segment(step: &str, segment: &Segment) -> Result<Vec<Put>, RecordError> {
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

/// Finds out why the conditions of a write failed: an earlier attempt of the same write was applied, the step has
/// ended, or it was taken over.
async fn resolve_conflict(app: &App, owned: &OwnedStep, put: &Put, end: &str) -> WriteOutcome {
    let sent_at = app.clock.now();
    let reads: Result<_, PlatError> = async {
        let head = app.plat.get(&keys::head(&owned.step)).await?;
        let written = app.plat.get(&put.key).await?;
        let ended = app.plat.get(end).await?;
        Ok((
            step_head::ownership_state(sent_at, owned.rev, head.as_ref())?,
            written,
            ended,
        ))
    }
    .await;
    let Ok((state, written, ended)) = reads else {
        return WriteOutcome::Indeterminate;
    };
    let lost = matches!(state, OwnershipState::Lost);
    let open = owned.apply_state(app, state);
    match written {
        _ if lost => WriteOutcome::Lost,
        Some(item) if item.value == put.value => WriteOutcome::Applied,
        Some(_) => {
            owned.mark_lost();
            WriteOutcome::Lost
        }
        None if !open => WriteOutcome::Ended,
        None if ended.is_some() => {
            owned.mark_ended(app, owned.rev, "asked");
            WriteOutcome::Ended
        }
        None => WriteOutcome::Indeterminate,
    }
}
