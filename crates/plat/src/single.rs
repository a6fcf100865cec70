//! A key that only one start of one instance writes.

use kernel::Millis;

use crate::Client;
use crate::Done;
use crate::Guard;
use crate::PlatError;
use crate::Put;
use crate::Txn;

/// A key that only one start of one instance writes, and that goes when nobody has written it for long.
///
/// A write whose answer was lost may be carried out seconds later, behind the next one, and would put the
/// older value back; each write therefore has the revision of the one before as its condition.
#[derive(Debug)]
pub struct Single {
    key: String,
    /// How long a value lives.
    ttl: Millis,
    /// Age from which a lease takes no more values.
    old: Millis,
    rev: i64,
    /// Whether the last write may have taken effect, or may yet.
    unclear: bool,
    /// The lease, and when it was granted.
    lease: Option<(i64, Millis)>,
}

impl Single {
    /// Makes a key that was never written. A value lives for `ttl`, or less by `old`.
    pub fn new(key: &str, ttl: Millis, old: Millis) -> Self {
        Self {
            key: key.to_owned(),
            ttl,
            old,
            rev: 0,
            unclear: false,
            lease: None,
        }
    }

    /// Writes a value in place of the one before.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; the same write may be tried again.
    pub async fn write(
        &mut self,
        plat: &Client,
        value: Vec<u8>,
        now: Millis,
    ) -> Result<(), PlatError> {
        let done = self.try_write(plat, value, now).await;
        match &done {
            Err(PlatError::Lapsed) => self.lease = None,
            Err(error) => self.unclear |= error.is_unclear(),
            Ok(()) => (),
        }
        done
    }

    async fn try_write(
        &mut self,
        plat: &Client,
        value: Vec<u8>,
        now: Millis,
    ) -> Result<(), PlatError> {
        if self.unclear {
            self.rev = plat.get(&self.key).await?.map_or(0, |item| item.rev);
            self.unclear = false;
        }
        let lease = self.lease(plat, now).await?;
        let put = Put {
            key: self.key.clone(),
            value,
            lease,
        };
        let txn = Txn {
            guards: vec![Guard::on(&*self.key, self.rev)],
            puts: vec![put],
            ..Txn::default()
        };
        match plat.txn(&txn).await? {
            Done::At(rev) => {
                self.rev = rev;
                Ok(())
            }
            // An earlier write was carried out late, or the key went with its lease.
            Done::Conflict => Err(PlatError::Silent),
        }
    }

    async fn lease(&mut self, plat: &Client, now: Millis) -> Result<i64, PlatError> {
        if let Some((lease, at)) = self.lease
            && now < at + self.old
        {
            return Ok(lease);
        }
        let lease = plat.grant(self.ttl).await?.id;
        self.lease = Some((lease, now));
        Ok(lease)
    }
}
