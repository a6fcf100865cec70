//! Which instance runs a step, without a call of the platform.
//!
//! Callers read a step's results at any instance, twice a second, and each instance would have to
//! read the step's head at the platform first. So the owner of a step tells one instance, which all
//! find by rank, and whoever is asked for the step asks that one. A hint may be missing or wrong
//! without harm: what it leads to says itself whether it is sure, and the platform is read else.

use std::sync::Arc;

use kernel::Millis;
use kernel::rendezvous_rank;

use crate::App;
use crate::peer;
use spread::Member;

/// Time for which a hint is kept, in milliseconds: a step is read for as long as it is open, and
/// no trainer waits longer for one.
const HINT_TTL: Millis = 30_000;

/// Who runs a step, as far as is known here.
#[derive(Clone, Debug)]
pub struct Hint {
    owner: Arc<str>,
    recorded_at: Millis,
}

/// The instance that keeps the hint of a step.
fn keeper(app: &App, step: &str) -> Option<Member> {
    let members = app.members.lock();
    let entries = members.iter().filter(|one| one.is_reader);
    let best = entries.max_by_key(|one| rendezvous_rank(&one.owner.instance, step));
    best.cloned()
}

/// Notes who runs a step.
pub fn record(app: &App, step: Arc<str>, owner: Arc<str>) {
    let at = app.clock.now();
    app.hints.insert(
        step,
        Hint {
            owner,
            recorded_at: at,
        },
    );
}

/// Who runs a step, if that is known here.
pub fn get(app: &App, step: &Arc<str>) -> Option<Arc<str>> {
    app.hints.get(step).map(|hint| hint.owner)
}

/// Forgets who runs a step, since that one knows nothing of it.
pub fn remove(app: &App, step: &Arc<str>) {
    app.hints.remove(step);
}

/// Forgets hints that nobody needs any more.
pub fn prune(app: &App) {
    let now = app.clock.now();
    app.hints
        .for_each_shard(|map| map.retain(|_, hint| now < hint.recorded_at + HINT_TTL));
}

/// Tells the keeper of a step's hint that this instance runs it.
pub fn publish(app: &Arc<App>, step: &Arc<str>) {
    let owner = app.me.instance.clone();
    record(app, step.clone(), owner.clone());
    let Some(keeper) = keeper(app, step) else {
        return;
    };
    if keeper.owner.instance == owner {
        return;
    }
    let (app, step) = (app.clone(), step.clone());
    // Whether it arrives matters little: without it the platform is read.
    tokio::spawn(async move { peer::publish_owner(&app, keeper.addr, step, owner).await });
}

/// Who runs a step, if that is known here or at the keeper of its hint.
pub async fn find_owner(app: &App, step: &Arc<str>) -> Option<Arc<str>> {
    if let Some(owner) = get(app, step) {
        return Some(owner);
    }
    let keeper = keeper(app, step)?;
    if keeper.owner.instance == app.me.instance {
        return None;
    }
    let owner = peer::fetch_owner(app, keeper.addr, step).await?;
    record(app, step.clone(), owner.clone());
    Some(owner)
}
