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
use crate::reach::Reach;
use crate::settings::Role;
use crate::sources;

/// What the keys of instances begin with.
pub const INSTANCES: &str = "snipeway/instance/";

/// Time to live of the entry of an instance that others depend on: a dead instance's steps are taken up
/// soon after, and two renewals may be lost before that.
const TTL: Millis = 3_000;

/// Time between two renewals of such an entry: two of them fit into the time to live.
const RENEW: Millis = 1_200;

/// Time to live of the entry of an instance on which nobody depends, in milliseconds. Others notice by
/// themselves that one is gone; renewed as often as the rest, such entries made a quarter of all calls.
const IDLE_TTL: Millis = 12_000;

/// Time between two renewals of such an entry: two of them fit into the time to live.
const IDLE_RENEW: Millis = 4_800;

/// Instances of a failure domain, the strongest first, that the others follow and hand steps to.
const FOLLOWED: usize = 2;

/// Time between two looks at whether an entry is to be renewed, or has to live for another time.
const LOOK: Duration = Duration::from_millis(300);

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

/// How long an entry lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Others depend on the instance.
    Short,
    /// Nobody does.
    Idle,
}

impl Pace {
    /// The pace of this instance: short for one that runs steps, gives orders or may have to, or is among
    /// those that the others of its failure domain follow.
    fn of(app: &App) -> Self {
        if app.settings.role == Role::Control || !app.works.is_empty() {
            return Self::Short;
        }
        let members = app.members.lock();
        let near = members
            .iter()
            .filter(|one| one.reads && *one.domain == *app.settings.domain);
        let mut near: Vec<_> = near.collect();
        near.sort_by_key(|one| sources::order(one));
        let mut followed = near.iter().take(FOLLOWED);
        match followed.any(|one| *one.owner.instance == *app.me.instance) {
            true => Self::Short,
            false => Self::Idle,
        }
    }

    fn ttl(self) -> Millis {
        match self {
            Self::Short => TTL,
            Self::Idle => IDLE_TTL,
        }
    }

    fn renew(self) -> Millis {
        match self {
            Self::Short => RENEW,
            Self::Idle => IDLE_RENEW,
        }
    }
}

/// This instance's entry as it was last written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entered {
    /// The lease that it has.
    pub lease: i64,
    /// How long it lives.
    pub pace: Pace,
}

/// Keeps the entry until the instance has left.
pub async fn keep(app: Arc<App>) {
    let mut reach = Reach::new("own entry");
    loop {
        match enter(&app, Pace::of(&app)).await {
            Ok(()) => {
                reach.back();
                renew(&app, &mut reach).await;
            }
            Err(error) => {
                reach.lost(&error);
                sleep(AGAIN).await;
            }
        }
    }
}

/// Makes the entry live short if it does not, before this instance takes on what others would have to take
/// up. One that was killed right after it had accepted a step would be missed 9 s later otherwise.
///
/// # Errors
///
/// Returns [`PlatError`].
pub async fn shorten(app: &App) -> Result<(), PlatError> {
    match app.entered() {
        Some(Entered {
            pace: Pace::Idle, ..
        }) => enter(app, Pace::Short).await,
        _ => Ok(()),
    }
}

async fn enter(app: &App, pace: Pace) -> Result<(), PlatError> {
    let ttl = pace.ttl().max(app.settings.shortest);
    let lease = app.plat.grant(ttl).await?.id;
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
    app.enter(Entered { lease, pace });
    log::info!(target: "member", lease, ttl_ms = ttl; "entered");
    Ok(())
}

/// Renews the entry until it has lapsed, or has to live shorter than it does.
async fn renew(app: &App, reach: &mut Reach) {
    let mut last = None;
    loop {
        sleep(LOOK).await;
        let Some(Entered { lease, pace }) = app.entered() else {
            return;
        };
        if pace == Pace::Idle && Pace::of(app) == Pace::Short {
            return;
        }
        let now = app.clock.now();
        // Another entry was written meanwhile.
        if last.is_none_or(|(known, _)| known != lease) {
            last = Some((lease, now));
        }
        let renewed = last.map_or(now, |(_, at)| at);
        if now < renewed + pace.renew() {
            continue;
        }
        match app.plat.renew(lease).await {
            Ok(true) => {
                reach.back();
                last = Some((lease, now));
            }
            Ok(false) if app.entered().is_some_and(|entered| entered.lease != lease) => (),
            Ok(false) => {
                log::warn!(target: "member", lease; "own entry has lapsed");
                return;
            }
            Err(error) => reach.lost(&error),
        }
    }
}

/// Takes the entry away, so that others take up at once what this instance leaves behind.
///
/// An instance that is told to leave before it could enter has no lease, and must end none: number 0
/// stands for what has no lease, and a store that takes it at its word loses every step.
pub async fn leave(app: &App) {
    let Some(Entered { lease, .. }) = app.entered() else {
        log::info!(target: "member", "leaves without having entered");
        return;
    };
    if let Err(error) = app.plat.revoke(lease).await {
        let error = error.to_string();
        log::warn!(target: "member", error = error.as_str(); "own entry left to lapse");
    }
}
