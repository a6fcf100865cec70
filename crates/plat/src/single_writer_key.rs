//! A key with a single writer.

use crate::Client;
use crate::Guard;
use crate::PlatError;
use crate::Put;
use crate::Txn;
use crate::TxnOutcome;

/// A key that is written only by one instance, and only until that instance restarts. It has no lease, because a
/// lease may expire while the platform is unavailable; readers delete the key once it is old.
///
/// A write whose answer was lost may be applied seconds later, after the next write, and would restore the older
/// value. Each write is therefore conditional on the revision of the one before.
#[derive(Debug)]
pub struct SingleWriterKey {
    key: String,
    rev: i64,
    /// Whether the outcome of the last write is unknown: it may have been applied, or may still be.
    indeterminate: bool,
}

impl SingleWriterKey {
    /// Creates a writer for a key that does not exist yet.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            rev: 0,
            indeterminate: false,
        }
    }

    /// Replaces the value.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; the write may be retried.
    pub async fn write(&mut self, plat: &Client, value: Vec<u8>) -> Result<(), PlatError> {
        let result = self.try_write(plat, value).await;
        if let Err(error) = &result {
            self.indeterminate |= error.is_indeterminate();
        }
        result
    }

    async fn try_write(&mut self, plat: &Client, value: Vec<u8>) -> Result<(), PlatError> {
        if self.indeterminate {
            self.rev = plat.get(&self.key).await?.map_or(0, |item| item.rev);
            self.indeterminate = false;
        }
        let txn = Txn {
            guards: vec![Guard::on(&*self.key, self.rev)],
            puts: vec![Put::new(&*self.key, value)],
            ..Txn::default()
        };
        match plat.txn(&txn).await? {
            TxnOutcome::At(rev) => {
                self.rev = rev;
                Ok(())
            }
            // An earlier write was applied late, or a reader deleted the key because it was old.
            TxnOutcome::Conflict => Err(PlatError::NoAnswer),
        }
    }
}
