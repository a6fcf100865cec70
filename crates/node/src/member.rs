//! An instance's own entry at the platform: others see from it that this start lives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::Owner;
use batch::record;
use kernel::Millis;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;

use crate::App;
use crate::news::Reach;
use crate::settings::Role;

/// What the keys of instances begin with.
pub const INSTANCES: &str = "snipeway/instance/";

/// Time to live of an entry: a dead instance's steps are taken up soon after, and two renewals
/// may be lost before that.
const TTL: Millis = 3_000;

/// Time between two renewals: two of them fit into the time to live.
const RENEW: Duration = Duration::from_millis(1_200);

/// Time between two looks at whether all entries are to be read; an instance that is asked in vain
/// costs one time limit.
const FOLLOW: Duration = Duration::from_secs(3);

/// First time between two looks; it doubles up to the one above. All instances may have started in
/// the same moment, and whoever knows no other one reads everything for itself.
const FIRST: Duration = Duration::from_millis(250);

/// Age of what is known of other instances from which it is read, in milliseconds: whoever reads the
/// configuration for others passes it on more often.
const OLD: Millis = 4_500;

/// Pause after a failed call.
const AGAIN: Duration = Duration::from_millis(250);

/// Hundredths in a core.
const HUNDREDTHS: f64 = 100.0;

/// The key of an instance.
pub fn key(instance: &str) -> String {
    format!("{INSTANCES}{instance}")
}

/// An instance's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Which start of which instance.
    pub owner: Owner,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Whether it reads the list of upstreams for others.
    pub reads: bool,
    /// The processor that it has, in hundredths of a core.
    pub power: u32,
}

/// Reads an entry.
pub fn read(value: &[u8]) -> Option<Member> {
    record::decode(value).ok()
}

/// Follows the entries of all instances.
pub async fn follow(app: Arc<App>) {
    let mut pause = FIRST;
    loop {
        let now = app.clock.now();
        if pause < FOLLOW || now >= app.last_met() + OLD {
            match list(&app).await {
                Ok(members) => app.met(members),
                Err(error) => {
                    let error = error.to_string();
                    log::debug!(target: "member", error = error.as_str(); "instances not read");
                }
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(FOLLOW);
    }
}

/// Reads the entries of all instances.
///
/// # Errors
///
/// Returns [`PlatError`].
pub async fn list(app: &App) -> Result<Vec<Member>, PlatError> {
    let range = app.plat.stale(INSTANCES).await?;
    let members = range.items.iter().filter_map(|item| read(&item.value));
    Ok(members.collect())
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
    let member = Member {
        owner: app.me.clone(),
        domain: app.settings.domain.clone(),
        addr: SocketAddr::new(app.settings.address, app.settings.peer),
        reads: app.settings.role == Role::Entry,
        power: (app.settings.cores * HUNDREDTHS) as u32,
    };
    let value = record::encode(&member).map_err(|_| PlatError::Garbled)?;
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
///
/// An instance that is told to leave before it could enter has no lease, and must end none: number 0
/// stands for what has no lease, and a store that takes it at its word loses every step.
pub async fn leave(app: &App) {
    let lease = app.entry();
    if lease == 0 {
        log::info!(target: "member", "leaves without having entered");
        return;
    }
    if let Err(error) = app.plat.revoke(lease).await {
        let error = error.to_string();
        log::warn!(target: "member", error = error.as_str(); "own entry left to lapse");
    }
}
