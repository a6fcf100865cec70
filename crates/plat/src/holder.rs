//! Acquires and renews leases at the platform.

use clock::Clock;
use fleet::FencingToken;
use fleet::Lease;
use fleet::lease::Held;
use fleet::lease::HolderAction;
use kernel::Millis;

use crate::Client;
use crate::Guard;
use crate::PlatError;
use crate::Put;
use crate::Txn;
use crate::TxnOutcome;

/// The result of an attempt to acquire a lease.
#[derive(Debug)]
pub enum Acquisition {
    /// This instance holds the lease.
    Acquired(Lease<Held>),
    /// Another instance holds the lease.
    HeldElsewhere,
}

/// Tries to acquire the lease on a piece of work. It expires after `ttl` milliseconds unless renewed, and belongs to
/// the instance that wrote `key`; `name` is the value written.
///
/// # Errors
///
/// Returns [`PlatError`]; a lease whose grant was not answered expires by itself.
pub async fn acquire(
    plat: &Client,
    key: &str,
    name: &[u8],
    ttl: Millis,
    clock: Clock,
) -> Result<Acquisition, PlatError> {
    // The check costs one read; a grant for a key that already exists would cost three lease calls.
    if plat.get(key).await?.is_some() {
        return Ok(Acquisition::HeldElsewhere);
    }
    // Taken before the request, because the time to live may start as soon as it is sent.
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
        // The platform's revision only increases, so a later holder gets a higher fencing token.
        TxnOutcome::At(rev) => {
            let lease = Lease::new(granted.ttl);
            Ok(Acquisition::Acquired(lease.acquired(
                FencingToken(rev),
                granted.id,
                sent,
            )))
        }
    }
}

/// Renews a lease if a renewal is due; returns whether the lease may still be used.
pub async fn renew_if_due(plat: &Client, lease: &mut Lease<Held>, clock: Clock) -> bool {
    match lease.check(clock.now()) {
        HolderAction::Work(_) => true,
        HolderAction::Expired => false,
        HolderAction::Renew(_) => {
            let sent = clock.now();
            match plat.renew(lease.id()).await {
                Ok(true) => {
                    lease.renewed(sent);
                    true
                }
                Ok(false) => false,
                // The platform is unavailable: the lease stays valid up to its safety margin, and the next call retries.
                Err(_) => lease.check(clock.now()) != HolderAction::Expired,
            }
        }
    }
}
