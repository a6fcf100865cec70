//! A value at the platform that the leader alone changes, under the revision of the value before.

use batch::record;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::App;

/// A value with the revision at which it stands; 0 for one that was never written.
pub(super) type Kept<T> = (T, i64);

/// Reads a value; [`None`] when it was never written.
pub(super) async fn read<T: DeserializeOwned>(
    app: &App,
    key: &str,
) -> Result<Option<Kept<T>>, PlatError> {
    let Some(item) = app.plat.get(key).await? else {
        return Ok(None);
    };
    let value = record::decode(&item.value).map_err(|_| PlatError::Garbled)?;
    Ok(Some((value, item.rev)))
}

/// Writes a value in place of the one at a revision, and gives the new one. When the answer is lost, or another
/// leader has written, nobody knows what stands there, and it has to be read again.
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
