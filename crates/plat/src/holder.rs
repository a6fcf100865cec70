//! Holding a lease at the platform.

use clock::Clock;
use fleet::Fence;
use fleet::Lease;
use fleet::lease::Held;
use fleet::lease::Next;
use kernel::Millis;

use crate::Client;
use crate::Guard;
use crate::PlatError;
use crate::Put;
use crate::Txn;
use crate::TxnOutcome;

/// What came of trying for a lease.
#[derive(Debug)]
pub enum Acquisition {
    /// It is ours.
    Acquired(Lease<Held>),
    /// Somebody else has it.
    HeldElsewhere,
}

/// Tries for the lease on a piece of work, which lives `ttl` milliseconds unless renewed and is
/// held by whoever wrote `key`.
///
/// # Errors
///
/// Returns [`PlatError`]; a lease that was granted without our knowing lapses by itself.
pub async fn acquire(
    plat: &Client,
    key: &str,
    name: &[u8],
    ttl: Millis,
    clock: Clock,
) -> Result<Acquisition, PlatError> {
    // Looking first costs a read; a grant for a key that is taken would cost three lease calls.
    if plat.get(key).await?.is_some() {
        return Ok(Acquisition::HeldElsewhere);
    }
    // Before the request: the time to live may begin as soon as it is sent.
    let sent = clock.now();
    let granted = plat.grant(ttl).await?;
    let txn = Txn {
        guards: vec![Guard::Absent(key.into())],
        puts: vec![Put {
            key: key.into(),
            value: name.to_vec(),
            lease: granted.id,
        }],
        ..Txn::default()
    };
    match plat.txn(&txn).await? {
        TxnOutcome::Conflict => {
            plat.revoke(granted.id).await?;
            Ok(Acquisition::HeldElsewhere)
        }
        // The platform's revision only rises, so a later holder has a higher number.
        TxnOutcome::At(rev) => {
            let lease = Lease::new(granted.ttl);
            Ok(Acquisition::Acquired(lease.taken(
                Fence(rev),
                granted.id,
                sent,
            )))
        }
    }
}

/// Renews a lease when it is time; tells whether it may still be used.
pub async fn renew_if_due(plat: &Client, lease: &mut Lease<Held>, clock: Clock) -> bool {
    match lease.next(clock.now()) {
        Next::Work(_) => true,
        Next::Lapsed => false,
        Next::Renew(_) => {
            let sent = clock.now();
            match plat.renew(lease.id()).await {
                Ok(true) => {
                    lease.renewed(sent);
                    true
                }
                Ok(false) => false,
                // The platform is away: the lease holds until its margin, and is tried again.
                Err(_) => lease.next(clock.now()) != Next::Lapsed,
            }
        }
    }
}
