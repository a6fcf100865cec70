//! An instance's own entry at the platform: others see from it that this start lives.

use std::sync::Arc;
use std::time::Duration;

use batch::Owner;
use batch::record;
use kernel::Millis;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use tokio::time::sleep;

use crate::App;
use crate::news::Reach;

/// What the keys of instances begin with.
pub const INSTANCES: &str = "snipeway/instance/";

/// Time to live of an entry: a dead instance's steps are taken up soon after, and two renewals
/// may be lost before that.
const TTL: Millis = 3_000;

/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(900);

/// Pause after a failed call.
const AGAIN: Duration = Duration::from_millis(250);

/// The key of an instance.
pub fn key(instance: &str) -> String {
    format!("{INSTANCES}{instance}")
}

/// Reads an entry.
pub fn owner(value: &[u8]) -> Option<Owner> {
    record::decode(value).ok()
}

/// Keeps the entry until the instance has left.
pub async fn keep(app: Arc<App>) {
    let mut reach = Reach::new("own entry");
    loop {
        match enter(&app).await {
            Ok(lease) => {
                reach.back();
                log::info!(target: "member", lease; "entered");
                renew(&app, lease, &mut reach).await;
                log::warn!(target: "member", lease; "own entry has lapsed");
            }
            Err(error) => {
                reach.lost(&error);
                sleep(AGAIN).await;
            }
        }
    }
}

async fn enter(app: &App) -> Result<i64, PlatError> {
    let lease = app.plat.grant(TTL.max(app.settings.shortest)).await?.id;
    let value = record::encode(&app.me).map_err(|_| PlatError::Garbled)?;
    let put = Put {
        key: key(&app.me.instance),
        value,
        lease,
    };
    let txn = Txn {
        puts: vec![put],
        ..Txn::default()
    };
    app.plat.txn(&txn).await?;
    app.enter(lease);
    Ok(lease)
}

/// Renews the entry until it has lapsed.
async fn renew(app: &App, lease: i64, reach: &mut Reach) {
    let mut pause = RENEW;
    loop {
        sleep(pause).await;
        match app.plat.renew(lease).await {
            Ok(true) => {
                reach.back();
                pause = RENEW;
            }
            Ok(false) => return,
            Err(error) => {
                reach.lost(&error);
                pause = AGAIN;
            }
        }
    }
}

/// Takes the entry away, so that others take up at once what this instance leaves behind.
pub async fn leave(app: &App) {
    if let Err(error) = app.plat.revoke(app.entry()).await {
        let error = error.to_string();
        log::warn!(target: "member", error = error.as_str(); "own entry left to lapse");
    }
}
