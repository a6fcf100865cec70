//! This instance's counts of the requests of teams, and the copies that other instances keep of them.
//!
//! An entry instance sends a snapshot of its counts to a keeper, an instance that stores it, preferably in the same
//! failure domain. It does so a fraction of a second after the counts have changed and when a window closes, so that
//! little is lost when the instance is killed.
//! See [`usage`].

use std::sync::Arc;
use std::time::Duration;

use batch::Owner;
use kernel::rendezvous_rank;
use tokio::time::sleep;
use usage::Snapshot;
use usage::WindowCounts;

use crate::App;
use crate::member;
use crate::peer;
use crate::settings::Role;
use spread::Member;

/// Interval between two checks whether the counts have changed. Requests that are counted in between are lost if the
/// instance is killed.
const PUSH_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit for connecting to the address that receives reports: within a region it takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of keepers that are tried in turn.
const MAX_KEEPERS: usize = 3;

/// Sends snapshots of this instance's counts to a keeper.
pub(crate) async fn push_snapshots(app: Arc<App>) {
    let Some(meter) = &app.meter else { return };
    // The first snapshot is sent even without counts: it makes the instance known to the keeper.
    let mut pushed: Option<(Owner, Snapshot)> = None;
    loop {
        let snapshot = meter.lock().snapshot(app.clock.steady());
        let unchanged = pushed.as_ref().filter(|(_, last)| *last == snapshot);
        if unchanged.is_some_and(|(keeper, _)| is_keeper(&app, keeper)) {
            sleep(PUSH_INTERVAL).await;
            continue;
        }
        if keepers(&app).is_empty() {
            refresh_members(&app).await;
        }
        for keeper in keepers(&app) {
            if peer::send_counts(&app, keeper.addr, snapshot.clone()).await {
                pushed = Some((keeper.owner, snapshot));
                app.confirm_keeper();
                break;
            }
        }
        sleep(PUSH_INTERVAL).await;
    }
}

/// Returns whether this start of an instance is still a keeper: after a restart, an instance has lost its snapshots.
fn is_keeper(app: &App, start: &Owner) -> bool {
    keepers(app).iter().any(|keeper| keeper.owner == *start)
}

/// Reads the list of members. An instance that has just started may serve requests before it knows any other, and its
/// counts would be missing when the window is reported.
async fn refresh_members(app: &App) {
    match member::list_members(app).await {
        Ok(members) => app.set_members(members),
        Err(error) => {
            let error = error.to_string();
            log::debug!(target: "accounts", error = error.as_str(); "could not list members to find a keeper");
        }
    }
}

/// The keepers of this instance's counts, those of its failure domain first.
fn keepers(app: &App) -> Vec<Member> {
    let members = app.members.lock();
    let candidates = members.iter().filter(|member| !member.is_reader);
    let mut candidates: Vec<&Member> = candidates.collect();
    let is_remote = |member: &&Member| *member.domain != *app.settings.domain;
    candidates.sort_by_key(|member| {
        (
            is_remote(member),
            rendezvous_rank(&member.owner.instance, &app.me.instance),
        )
    });
    candidates.truncate(MAX_KEEPERS);
    candidates.into_iter().cloned().collect()
}

/// The counts of a window that this instance knows: the snapshots that it keeps, and its own counts.
pub(crate) fn window_counts(app: &App, window: u64) -> Vec<WindowCounts> {
    let mut counts = app.snapshots.lock().window_counts(window);
    if let Some(meter) = app
        .meter
        .as_ref()
        .filter(|_| app.settings.role == Role::Entry)
    {
        let snapshot = meter.lock().snapshot(app.clock.steady());
        let source = (app.me.instance.clone(), app.me.start);
        counts.push(snapshot.window_counts(source, window));
    }
    counts
}

/// Returns whether this instance can connect to the address that receives reports.
pub(crate) async fn can_reach_report_address(app: &App) -> bool {
    match app.settings.usage_reports {
        Some(reports) => net::client::accepts(reports.address, CONNECT_TIMEOUT).await,
        None => false,
    }
}
