//! A key that only one start of one instance writes.

use crate::Client;
use crate::Guard;
use crate::PlatError;
use crate::Put;
use crate::Txn;
use crate::TxnOutcome;

/// A key that only one start of one instance writes. It has no lease, since those may run out while the
/// platform is away; whoever reads it deletes it when it is old.
///
/// A write whose answer was lost may be carried out seconds later, behind the next one, and would put the
/// older value back; each write therefore has the revision of the one before as its condition.
#[derive(Debug)]
pub struct SingleWriterKey {
    key: String,
    rev: i64,
    /// Whether the last write may have taken effect, or may yet.
    unclear: bool,
}

impl SingleWriterKey {
    /// Makes a key that was never written.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            rev: 0,
            unclear: false,
        }
    }

    /// Writes a value in place of the one before.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; the same write may be tried again.
    pub async fn write(&mut self, plat: &Client, value: Vec<u8>) -> Result<(), PlatError> {
        let done = self.try_write(plat, value).await;
        if let Err(error) = &done {
            self.unclear |= error.is_indeterminate();
        }
        done
    }

    async fn try_write(&mut self, plat: &Client, value: Vec<u8>) -> Result<(), PlatError> {
        if self.unclear {
            self.rev = plat.get(&self.key).await?.map_or(0, |item| item.rev);
            self.unclear = false;
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
            // An earlier write was carried out late, or the key was old and was deleted.
            TxnOutcome::Conflict => Err(PlatError::NoAnswer),
        }
    }
}
