//! What this instance knows of the requests of teams.
//!
//! An entry instance tells a keeper of its failure domain what it counts, a part of a second after it changed and
//! when a window closes, so that little is lost when it is killed. See [`usage`].

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

/// Time between two looks at whether there is something to tell. What was counted since is lost with a killed
/// instance.
const PUSH: Duration = Duration::from_millis(300);

/// Time that the address which takes reports has to accept a connection: within a region it takes milliseconds.
const REACH: Duration = Duration::from_millis(250);

/// Keepers that are tried in turn.
const TRIED: usize = 3;

/// Tells keepers what this instance counts.
pub(crate) async fn push_snapshots(app: Arc<App>) {
    let Some(meter) = &app.meter else { return };
    // The first word has nothing to tell but that this instance is there.
    let mut told: Option<(Owner, Snapshot)> = None;
    loop {
        let tally = meter.lock().snapshot(app.clock.steady());
        let known = told.as_ref().filter(|(_, known)| *known == tally);
        if known.is_some_and(|(keeper, _)| is_there(&app, keeper)) {
            sleep(PUSH).await;
            continue;
        }
        if keepers(&app).is_empty() {
            meet(&app).await;
        }
        for keeper in keepers(&app) {
            if peer::tally(&app, keeper.addr, tally.clone()).await {
                told = Some((keeper.owner, tally));
                app.set_kept();
                break;
            }
        }
        sleep(PUSH).await;
    }
}

/// Tells whether a keeper is still there: one that was started anew knows nothing of what its former start was told.
fn is_there(app: &App, keeper: &Owner) -> bool {
    keepers(app).iter().any(|one| one.owner == *keeper)
}

/// Reads who has entered. An instance that has just started may serve requests before it knows anybody, and
/// nobody would know what it counted when the window is reported.
async fn meet(app: &App) {
    match member::list(app).await {
        Ok(members) => app.met(members),
        Err(error) => {
            let error = error.to_string();
            log::debug!(target: "accounts", error = error.as_str(); "no keeper known");
        }
    }
}

/// The instances that keep what this one counts: those of its failure domain first.
fn keepers(app: &App) -> Vec<Member> {
    let members = app.members.lock();
    let all = members.iter().filter(|one| !one.is_reader);
    let mut all: Vec<&Member> = all.collect();
    let far = |one: &&Member| *one.domain != *app.settings.domain;
    all.sort_by_key(|one| {
        (
            far(one),
            rendezvous_rank(&one.owner.instance, &app.me.instance),
        )
    });
    all.truncate(TRIED);
    all.into_iter().cloned().collect()
}

/// What this instance knows of the requests of a window: what it was told, and what it has counted.
pub(crate) fn window_counts(app: &App, window: u64) -> Vec<WindowCounts> {
    let mut shares = app.keeper.lock().window_counts(window);
    if let Some(meter) = app
        .meter
        .as_ref()
        .filter(|_| app.settings.role == Role::Entry)
    {
        let tally = meter.lock().snapshot(app.clock.steady());
        let me = (app.me.instance.clone(), app.me.start);
        shares.push(tally.window_counts(me, window));
    }
    shares
}

/// Tells whether the address that takes reports can be reached.
pub(crate) async fn can_reach_accounts(app: &App) -> bool {
    match app.settings.accounts {
        Some(accounts) => net::client::accepts(accounts.address, REACH).await,
        None => false,
    }
}
