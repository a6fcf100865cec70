//! An instance's own entry at the platform: others see from it that this start lives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::record;
use kernel::Millis;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use spread::Member;
use spread::lease;
use spread::lease::LeaseAction;
use spread::read_budget;
use spread::timing;
use tokio::time::sleep;

use crate::App;
use crate::reach::DependencyStatus;
use crate::settings::Role;

/// What the keys of instances begin with.
pub const KEY_PREFIX: &str = "snipeway/instance/";

/// Time between two looks at whether an entry is to be renewed, or has to live for another time.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two looks at whether all entries are to be read; an instance that is asked in vain
/// costs one time limit. The first looks after a start are closer together.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// Longest time for which others are not read while this instance has not entered, in milliseconds.
const ENTER_TIMEOUT: Millis = 400;

/// Time between two looks at whether it has.
const ENTER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Age of what is known of other instances from which it is read, in milliseconds: whoever reads the
/// configuration for others passes it on more often.
const MAX_MEMBERSHIP_AGE: Millis = 4_500;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Hundredths in a core.
const CENTICORES_PER_CORE: f64 = 100.0;

/// The key of an instance.
pub fn key(instance: &str) -> String {
    format!("{KEY_PREFIX}{instance}")
}

/// Reads an entry.
pub fn decode(value: &[u8]) -> Option<Member> {
    record::decode(value).ok()
}

/// Follows the entries of all instances where nobody else tells of them.
pub async fn refresh_members(app: Arc<App>) {
    let begun = app.clock.now();
    // Those who start together see one another only then.
    while app.own_entry().is_none() && app.clock.now() < begun + ENTER_TIMEOUT {
        sleep(ENTER_POLL_INTERVAL).await;
    }
    read_members(&app).await;
    // All instances may have started in the same moment, and whoever knows no other one reads everything for itself.
    let mut pause = Duration::from_millis(timing::FIRST_MEMBER_POLL);
    let mut round = 0;
    loop {
        sleep(pause).await;
        let (now, met) = (app.clock.now(), app.members_updated_at());
        let is_young = pause < MAX_REFRESH_INTERVAL && !app.has_full_membership();
        // Control instances have nobody to tell them unless they lead.
        let waits = app.settings.role == Role::Entry && app.tree_position().is_partial;
        if is_young || waits {
            read_members(&app).await;
        } else if now >= met + MAX_MEMBERSHIP_AGE && is_turn(&app, round) {
            refresh_all(&app).await;
        }
        round += 1;
        pause = (pause * 2).min(MAX_REFRESH_INTERVAL);
    }
}

/// Tells whether this instance may read all entries in this round. Those that give orders are few.
fn is_turn(app: &App, round: u32) -> bool {
    let members = app.members.lock().len();
    let every = read_budget::rounds_per_read(members, members);
    app.settings.role == Role::Control || read_budget::is_turn(&app.me.instance, round, every)
}

async fn refresh_all(app: &App) {
    match list_members(app).await {
        Ok(members) => app.set_members(members),
        Err(error) => log_read_failure(&error),
    }
}

/// Reads who has entered, or the entries of some if there are many: enough to hear of the rest from one of them.
/// When a thousand start together and each reads all entries, that alone takes the platform's link for a second.
pub async fn read_members(app: &App) {
    let mut some = match app.plat.page_stale(KEY_PREFIX, None).await {
        Ok(some) => some,
        Err(error) => return log_read_failure(&error),
    };
    if some.more {
        // The first ones are the same for all, and those behind its own key are others for each.
        match app
            .plat
            .page_stale(KEY_PREFIX, Some(key(&app.me.instance)))
            .await
        {
            Ok(more) => some.items.extend(more.items),
            Err(error) => log_read_failure(&error),
        }
    }
    let members = some.items.iter().filter_map(|item| decode(&item.value));
    let mut members: Vec<Member> = members.collect();
    members.sort_by(|a, b| a.owner.instance.cmp(&b.owner.instance));
    members.dedup_by(|a, b| a.owner.instance == b.owner.instance);
    match some.more {
        _ if app.has_full_membership() => (),
        true => app.set_partial_members(members, &own_record(app)),
        false => app.set_members(members),
    }
}

fn log_read_failure(error: &PlatError) {
    let error = error.to_string();
    log::debug!(target: "member", error = error.as_str(); "instances not read");
}

/// Reads the entries of all instances.
///
/// # Errors
///
/// Returns [`PlatError`].
pub async fn list_members(app: &App) -> Result<Vec<Member>, PlatError> {
    let range = app.plat.list_stale(KEY_PREFIX).await?;
    let members = range.items.iter().filter_map(|item| decode(&item.value));
    Ok(members.collect())
}

/// This instance's entry as it was last written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnEntry {
    /// The lease that it has.
    pub lease: i64,
    /// How long it lives, in milliseconds.
    pub ttl: Millis,
}

/// Keeps the entry until the instance has left.
pub async fn maintain_entry(app: Arc<App>) {
    let mut reach = DependencyStatus::new("own entry");
    loop {
        match write_entry(&app, target_ttl(&app)).await {
            Ok(()) => {
                reach.mark_restored();
                renew_entry(&app, &mut reach).await;
            }
            Err(error) => {
                reach.mark_lost(&error);
                sleep(RETRY_PAUSE).await;
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
pub async fn shorten_ttl(app: &App) -> Result<(), PlatError> {
    match app.own_entry() {
        Some(entered) if entered.ttl > lease::ACTIVE_TTL => {
            write_entry(app, lease::ACTIVE_TTL).await
        }
        _ => Ok(()),
    }
}

/// What this instance writes of itself.
fn own_record(app: &App) -> Member {
    Member {
        owner: app.me.clone(),
        domain: app.settings.domain.clone(),
        addr: SocketAddr::new(app.settings.address, app.settings.peer_port),
        is_reader: app.settings.role == Role::Entry,
        centicores: (app.settings.cores * CENTICORES_PER_CORE) as u32,
    }
}

/// How long an entry would live that is written now: short for an instance that runs steps, gives orders or may have to,
/// or is among those that the others of its failure domain follow.
fn target_ttl(app: &App) -> Millis {
    let place = app.tree_position();
    if app.settings.role == Role::Control || !app.running_steps.is_empty() || place.is_head {
        return lease::ACTIVE_TTL;
    }
    match place.is_leaf {
        true => lease::leaf_ttl(app.members.lock().len()),
        false => lease::IDLE_TTL,
    }
}

async fn write_entry(app: &App, ttl: Millis) -> Result<(), PlatError> {
    let granted = ttl.max(app.settings.min_lease);
    let lease = app.plat.grant(granted).await?.id;
    let value = record::encode(&own_record(app)).map_err(|_| PlatError::Garbled)?;
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
    app.set_own_entry(OwnEntry { lease, ttl });
    log::info!(target: "member", lease, ttl_ms = granted; "entered");
    Ok(())
}

/// Renews the entry until it has lapsed, or has to live for another time.
async fn renew_entry(app: &App, reach: &mut DependencyStatus) {
    let mut last = None;
    loop {
        sleep(ENTRY_CHECK_INTERVAL).await;
        let Some(OwnEntry { lease, ttl }) = app.own_entry() else {
            return;
        };
        let now = app.clock.now();
        // Another entry was written meanwhile.
        if last.is_none_or(|(known, _)| known != lease) {
            last = Some((lease, now));
        }
        let renewed = last.map_or(now, |(_, at)| at);
        match lease::next_action(ttl, target_ttl(app), now - renewed) {
            LeaseAction::Keep => continue,
            LeaseAction::Rewrite => return,
            LeaseAction::Renew => (),
        }
        match app.plat.renew(lease).await {
            Ok(true) => {
                reach.mark_restored();
                last = Some((lease, now));
            }
            Ok(false)
                if app
                    .own_entry()
                    .is_some_and(|entered| entered.lease != lease) =>
            {
                ()
            }
            Ok(false) => {
                log::warn!(target: "member", lease; "own entry has lapsed");
                return;
            }
            Err(error) => reach.mark_lost(&error),
        }
    }
}

/// Takes the entry away, so that others take up at once what this instance leaves behind.
///
/// An instance that is told to leave before it could enter has no lease, and must end none: number 0
/// stands for what has no lease, and a store that takes it at its word loses every step.
pub async fn remove_entry(app: &App) {
    let Some(OwnEntry { lease, .. }) = app.own_entry() else {
        log::info!(target: "member", "leaves without having entered");
        return;
    };
    if let Err(error) = app.plat.revoke(lease).await {
        let error = error.to_string();
        log::warn!(target: "member", error = error.as_str(); "own entry left to lapse");
    }
}
