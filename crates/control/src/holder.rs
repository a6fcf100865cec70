//! Holding a lease at the platform.

use fleet::Fence;
use fleet::Lease;
use fleet::lease::Held;
use fleet::lease::Next;
use kernel::Millis;
use plat::Client;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::client::Done;
use plat::keys;
use serve::clock::Clock;

/// Seconds that a lease lives unless renewed.
pub(crate) const TTL: i64 = 10;

/// What came of trying for a lease.
#[derive(Debug)]
pub(crate) enum Taken {
    /// It is ours.
    Ours(Lease<Held>),
    /// Somebody else has it.
    Others,
}

/// Tries for the lease on a piece of work.
///
/// # Errors
///
/// Returns [`PlatError`]; a lease that was granted without our knowing lapses by itself.
pub(crate) async fn take(
    plat: &Client,
    work: &str,
    name: &str,
    clock: Clock,
) -> Result<Taken, PlatError> {
    let key = keys::lease(work);
    // Looking first costs a read; a grant for a key that is taken would cost three lease calls.
    if plat.get(&key).await?.is_some() {
        return Ok(Taken::Others);
    }
    // Before the request: the time to live may begin as soon as it is sent.
    let sent = clock.now();
    let granted = plat.grant(TTL).await?;
    let txn = Txn {
        guards: vec![Guard::Absent(key.clone())],
        puts: vec![Put {
            key,
            value: name.as_bytes().to_vec(),
            lease: granted.id,
        }],
        ..Txn::default()
    };
    match plat.txn(&txn).await? {
        Done::Conflict => {
            plat.revoke(granted.id).await?;
            Ok(Taken::Others)
        }
        // The platform's revision only rises, so a later holder has a higher number.
        Done::At(rev) => {
            let lease = Lease::new(TTL as Millis * kernel::time::SECOND);
            Ok(Taken::Ours(lease.taken(Fence(rev), granted.id, sent)))
        }
    }
}

/// Renews a lease when it is time; tells whether it may still be used.
pub(crate) async fn keep(plat: &Client, lease: &mut Lease<Held>, clock: Clock) -> bool {
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
