//! Values at the platform that only the leader changes, each by a compare-and-swap of its revision.

use batch::record;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::App;

/// A value with its revision; 0 for a value that was never written.
pub(super) type Versioned<T> = (T, i64);

/// Reads a value; [`None`] when it was never written.
pub(super) async fn read<T: DeserializeOwned>(
    app: &App,
    key: &str,
) -> Result<Option<Versioned<T>>, PlatError> {
    let Some(item) = app.plat.get(key).await? else {
        return Ok(None);
    };
    let value = record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
    Ok(Some((value, item.rev)))
}

/// Replaces the value at revision `rev`; returns the new revision. After any error, the caller has to read the value
/// again: the write may have been applied without an answer, or another leader may have written meanwhile.
pub(super) async fn write<T: Serialize>(
    app: &App,
    key: &str,
    value: &T,
    rev: i64,
) -> Result<i64, PlatError> {
    let value = record::encode(value).map_err(|_| PlatError::Garbled)?;
    let txn = Txn {
        guards: vec![Guard::on(key, rev)],
        puts: vec![Put::new(key, value)],
        deletes: Vec::new(),
    };
    match app.plat.txn(&txn).await? {
        TxnOutcome::At(rev) => Ok(rev),
        TxnOutcome::Conflict => Err(PlatError::NoAnswer),
    }
}
