//! Notifies the owners of steps of the loads that engines have accepted.
//!
//! Nothing depends on a notice: an owner that misses it learns of the load from the engine's first rejection.

use std::sync::Arc;
use std::time::Duration;

use kernel::Map;
use kernel::Millis;
use place::LoadNotice;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use weight::Version;

use super::targets::Targets;
use crate::App;
use crate::engine_loads;
use crate::peer;

/// Minimum interval between two notices. Loads that are accepted meanwhile are collected into the second one; otherwise,
/// each owner would get a message for each engine.
const NOTICE_INTERVAL: Duration = Duration::from_millis(10);

/// A load that an engine has accepted.
pub(super) struct AcceptedLoad {
    pub(super) model: Arc<str>,
    pub(super) version: Version,
    pub(super) engine: Arc<str>,
    /// When it is expected to end.
    pub(super) ends_at: Millis,
}

/// Queues accepted loads for [`run`], which notifies the owners of steps.
pub(super) struct LoadNotices(mpsc::UnboundedSender<AcceptedLoad>);

impl LoadNotices {
    pub(super) fn send(&self, load: AcceptedLoad) {
        // The receiver is gone only when the leadership has ended, and then there is nobody to be notified.
        let _ = self.0.send(load);
    }
}

/// Creates the channel between the orders and [`run`].
pub(super) fn channel() -> (LoadNotices, mpsc::UnboundedReceiver<AcceptedLoad>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (LoadNotices(sender), receiver)
}

/// Notifies owners of accepted loads for as long as this instance is the leader.
pub(super) async fn run(
    app: Arc<App>,
    targets: Targets,
    mut accepted: mpsc::UnboundedReceiver<AcceptedLoad>,
) {
    let mut sends = JoinSet::new();
    while let Some(first) = accepted.recv().await {
        let mut loads = vec![first];
        while let Ok(load) = accepted.try_recv() {
            loads.push(load);
        }
        while sends.try_join_next().is_some() {}
        notify_owners(&app, &targets, loads, &mut sends);
        sleep(NOTICE_INTERVAL).await;
    }
}

/// Engines that load the same version of a model.
#[derive(Default)]
struct Batch {
    /// Time until the last of the loads ends, in milliseconds.
    duration: Millis,
    engines: Vec<Arc<str>>,
}

/// Sends a notice of each model and version to the owners of steps of that model.
fn notify_owners(
    app: &Arc<App>,
    targets: &Targets,
    loads: Vec<AcceptedLoad>,
    sends: &mut JoinSet<()>,
) {
    let now = app.clock.now();
    let mut batches: Map<_, Batch> = Map::default();
    // After a pause of this process, a load may have ended already. No owner needs to know of it.
    for load in loads.into_iter().filter(|load| now < load.ends_at) {
        let batch = batches.entry((load.model, load.version)).or_default();
        batch.duration = batch.duration.max(load.ends_at - now);
        batch.engines.push(load.engine);
    }
    for ((model, version), Batch { duration, engines }) in batches {
        let owners = targets.owners(&model);
        log::info!(target: "control", model = &*model, version, engines = engines.len(), instances = owners.len();
            "notifying owners of loads");
        let notice = LoadNotice {
            model,
            version,
            duration,
        };
        for owner in owners {
            let (app, notice, engines) = (app.clone(), notice.clone(), engines.clone());
            sends.spawn(send(app, owner, notice, engines));
        }
    }
}

async fn send(app: Arc<App>, owner: Arc<str>, notice: LoadNotice, engines: Vec<Arc<str>>) {
    if owner == app.me.instance {
        return engine_loads::record_notice(&app, &notice, &engines);
    }
    let is_answered = peer::notify_load_started(&app, &owner, notice, engines).await;
    engine_loads::count_notice(match is_answered {
        true => "answered",
        false => "unanswered",
    });
}
