//! Hints at which instance runs a step, to save calls of the platform.
//!
//! Callers read a step's results at any instance, twice a second, and each instance would first have to read the
//! step's head at the platform. Instead, the owner publishes itself to one keeper, which all instances find by
//! rank, and the instances that callers ask look it up there. A missing or wrong hint does no harm: the instance
//! that it names confirms that it runs the step, and otherwise the platform is read.

use std::sync::Arc;

use kernel::Millis;
use kernel::rendezvous_rank;

use crate::App;
use crate::peer;
use spread::Member;

/// Time for which a hint is kept, in milliseconds: callers read a step only while it is open, and no trainer waits
/// longer for one.
const HINT_TTL: Millis = 30_000;

/// The instance that was last known to run a step.
#[derive(Clone, Debug)]
pub struct Hint {
    owner: Arc<str>,
    recorded_at: Millis,
}

/// Returns the instance that keeps the hint of a step.
fn keeper(app: &App, step: &str) -> Option<Member> {
    let members = app.members.lock();
    let entries = members.iter().filter(|member| member.is_reader);
    let highest = entries.max_by_key(|member| rendezvous_rank(&member.owner.instance, step));
    highest.cloned()
}

/// Records which instance runs a step.
pub fn record(app: &App, step: Arc<str>, owner: Arc<str>) {
    let recorded_at = app.clock.now();
    app.hints.insert(step, Hint { owner, recorded_at });
}

/// Returns the owner of a step from the hints kept here.
pub fn get(app: &App, step: &Arc<str>) -> Option<Arc<str>> {
    app.hints.get(step).map(|hint| hint.owner)
}

/// Removes the hint of a step whose named owner does not run it.
pub fn remove(app: &App, step: &Arc<str>) {
    app.hints.remove(step);
}

/// Removes expired hints.
pub fn prune(app: &App) {
    let now = app.clock.now();
    app.hints
        .for_each_shard(|map| map.retain(|_, hint| now < hint.recorded_at + HINT_TTL));
}

/// Publishes this instance as the owner of a step to the keeper of its hint.
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
    // A lost hint does no harm: the platform is read instead.
    tokio::spawn(async move { peer::publish_owner(&app, keeper.addr, step, owner).await });
}

/// Returns the owner of a step from the hints kept here or at the keeper.
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
