//! This instance's entry at the platform, which shows other instances that this process is alive, and the list of
//! all entries.

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
use crate::dependency::DependencyStatus;
use crate::settings::Role;

/// Prefix of the keys of instances.
pub const KEY_PREFIX: &str = "snipeway/instance/";

/// Interval between checks whether the entry has to be renewed, or rewritten with a different TTL.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Longest interval between checks whether the list of members has to be read. A check may take a full request timeout
/// when its source does not reply. The intervals after a start are shorter and double up to this value.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// Longest time that the first read of the list of members waits until this instance's own entry is written, in
/// milliseconds.
const OWN_ENTRY_TIMEOUT: Millis = 400;

/// Interval between checks whether the own entry has been written.
const OWN_ENTRY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Age of the list of members from which this instance reads the list from the platform itself, in milliseconds. The
/// instances that read the configuration for others send them the list more often than that.
const MAX_MEMBERSHIP_AGE: Millis = 4_500;

/// Pause after a failed write of the entry.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Centicores per core.
const CENTICORES_PER_CORE: f64 = 100.0;

/// Returns the key of an instance.
pub fn key(instance: &str) -> String {
    format!("{KEY_PREFIX}{instance}")
}

/// Decodes an entry; [`None`] if it is invalid.
pub fn decode(value: &[u8]) -> Option<Member> {
    record::decode(value).ok()
}

/// Keeps the list of members current when no other instance sends it to this one.
pub async fn refresh_members(app: Arc<App>) {
    let started = app.clock.now();
    // Waits until the own entry is written: instances that start together write their entries at about the same time,
    // so a read before that would miss the others.
    while app.own_entry().is_none() && app.clock.now() < started + OWN_ENTRY_TIMEOUT {
        sleep(OWN_ENTRY_POLL_INTERVAL).await;
    }
    read_members(&app).await;
    // All instances may have started at the same moment, so the list may still be empty. An instance with an empty list
    // reads the configuration and the lists from the platform itself, so the first polls follow quickly.
    let mut pause = Duration::from_millis(timing::FIRST_MEMBER_POLL);
    let mut round = 0;
    loop {
        sleep(pause).await;
        let (now, updated) = (app.clock.now(), app.members_updated_at());
        let is_starting = pause < MAX_REFRESH_INTERVAL && !app.has_full_membership();
        // Control instances have no source to follow unless they lead.
        let lacks_source = app.settings.role == Role::Entry && app.tree_position().is_partial;
        if is_starting || lacks_source {
            read_members(&app).await;
        } else if now >= updated + MAX_MEMBERSHIP_AGE && is_turn(&app, round) {
            refresh_all(&app).await;
        }
        round += 1;
        pause = (pause * 2).min(MAX_REFRESH_INTERVAL);
    }
}

/// Returns whether this instance may read all entries in this round. Control instances are few and always may.
fn is_turn(app: &App, round: u32) -> bool {
    let members = app.members.lock().len();
    let rounds = read_budget::rounds_per_read(members, members);
    app.settings.role == Role::Control || read_budget::is_turn(&app.me.instance, round, rounds)
}

async fn refresh_all(app: &App) {
    match list_members(app).await {
        Ok(members) => app.set_members(members),
        Err(error) => log_read_failure(&error),
    }
}

/// Reads all entries, or two pages if there are more; one of the instances on these pages can then supply the
/// complete list. If a thousand instances that start together each read all entries, these reads alone would saturate
/// the platform's link for a second.
pub async fn read_members(app: &App) {
    let mut page = match app.plat.page_stale(KEY_PREFIX, None).await {
        Ok(page) => page,
        Err(error) => return log_read_failure(&error),
    };
    if page.more {
        // The first page is the same for all instances, so each also reads the page after its own key.
        match app
            .plat
            .page_stale(KEY_PREFIX, Some(key(&app.me.instance)))
            .await
        {
            Ok(more) => page.items.extend(more.items),
            Err(error) => log_read_failure(&error),
        }
    }
    let members = page.items.iter().filter_map(|item| decode(&item.value));
    let mut members: Vec<Member> = members.collect();
    members.sort_by(|a, b| a.owner.instance.cmp(&b.owner.instance));
    members.dedup_by(|a, b| a.owner.instance == b.owner.instance);
    match page.more {
        _ if app.has_full_membership() => (),
        true => app.set_partial_members(members, &own_record(app)),
        false => app.set_members(members),
    }
}

/// Logs that the list of members was not read.
pub(crate) fn log_read_failure(error: &PlatError) {
    let error = error.to_string();
    log::debug!(target: "member", error = error.as_str(); "list of members not read");
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

/// This instance's entry as last written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnEntry {
    /// The lease that it is bound to.
    pub lease: i64,
    /// The TTL in milliseconds.
    pub ttl: Millis,
}

/// Writes and renews the entry until the instance has left.
pub async fn maintain_entry(app: Arc<App>) {
    let mut status = DependencyStatus::new("own entry");
    loop {
        match write_entry(&app, target_ttl(&app)).await {
            Ok(()) => {
                status.mark_restored();
                renew_entry(&app, &mut status).await;
            }
            Err(error) => {
                status.mark_lost(&error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Rewrites the entry with a short TTL if it has a longer one, before this instance accepts work that others have to
/// take over if it fails. Otherwise, if it were killed right after it had accepted a step, the others would notice only
/// 9 s later.
///
/// # Errors
///
/// Returns [`PlatError`].
pub async fn shorten_ttl(app: &App) -> Result<(), PlatError> {
    match app.own_entry() {
        Some(entry) if entry.ttl > lease::ACTIVE_TTL => write_entry(app, lease::ACTIVE_TTL).await,
        _ => Ok(()),
    }
}

/// Returns the contents of this instance's entry.
fn own_record(app: &App) -> Member {
    Member {
        owner: app.me.clone(),
        domain: app.settings.domain.clone(),
        addr: SocketAddr::new(app.settings.address, app.settings.peer_port),
        is_reader: app.settings.role == Role::Entry,
        centicores: (app.settings.cores * CENTICORES_PER_CORE) as u32,
    }
}

/// Returns the TTL that a new entry would get: short for control instances, for instances that run steps, and for
/// those that the others of their failure domain follow.
fn target_ttl(app: &App) -> Millis {
    let position = app.tree_position();
    if app.settings.role == Role::Control || !app.running_steps.is_empty() || position.is_head {
        return lease::ACTIVE_TTL;
    }
    match position.is_leaf {
        true => lease::leaf_ttl(app.members.lock().len()),
        false => lease::IDLE_TTL,
    }
}

async fn write_entry(app: &App, ttl: Millis) -> Result<(), PlatError> {
    let lease_ttl = ttl.max(app.settings.min_lease);
    let lease = app.plat.grant(lease_ttl).await?.id;
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
    log::info!(target: "member", lease, ttl_ms = lease_ttl; "entered");
    Ok(())
}

/// Renews the entry until it has expired or needs another TTL.
async fn renew_entry(app: &App, status: &mut DependencyStatus) {
    let mut renewed_lease = None;
    loop {
        sleep(ENTRY_CHECK_INTERVAL).await;
        let Some(OwnEntry { lease, ttl }) = app.own_entry() else {
            return;
        };
        let now = app.clock.now();
        // The entry was rewritten in the meantime.
        if renewed_lease.is_none_or(|(renewed_id, _)| renewed_id != lease) {
            renewed_lease = Some((lease, now));
        }
        let renewed = renewed_lease.map_or(now, |(_, since)| since);
        match lease::next_action(ttl, target_ttl(app), now - renewed) {
            LeaseAction::Keep => continue,
            LeaseAction::Rewrite => return,
            LeaseAction::Renew => (),
        }
        match app.plat.renew(lease).await {
            Ok(true) => {
                status.mark_restored();
                renewed_lease = Some((lease, now));
            }
            Ok(false) if app.own_entry().is_some_and(|entry| entry.lease != lease) => (),
            Ok(false) => {
                log::warn!(target: "member", lease; "own entry expired");
                return;
            }
            Err(error) => status.mark_lost(&error),
        }
    }
}

/// Removes the entry, so that other instances take over this instance's work immediately.
///
/// An instance that has to leave before its entry was written has no lease and must not revoke one: 0 stands
/// for records without a lease, and a store that revoked lease 0 literally would delete every step.
pub async fn remove_entry(app: &App) {
    let Some(OwnEntry { lease, .. }) = app.own_entry() else {
        log::info!(target: "member", "leaving before the own entry was written");
        return;
    };
    if let Err(error) = app.plat.revoke(lease).await {
        let error = error.to_string();
        log::warn!(target: "member", error = error.as_str(); "own entry not removed, it will expire");
    }
}
