//! The versions of weights that engines should load, from the announcements of trainers and the steps they submit.

use std::sync::Arc;
use std::time::Duration;

use batch::Head;
use kernel::Map;
use kernel::Millis;
use kernel::Set;
use parking_lot::Mutex;
use plat::Change;
use plat::Item;
use plat::PlatError;
use tokio::time::sleep;
use weight::Demand;
use weight::Target;
use weight::Version;

use crate::App;
use crate::dependency::DependencyStatus;

/// Maximum time that one watch waits, in milliseconds. A watch may miss a change, so the current state is read after
/// each watch that reported none.
const MAX_WATCH_WAIT: Millis = 2_000;

/// Interval between the stale reads that are made in addition to the watch. A watch whose connection has become
/// unresponsive is noticed only when it times out, after up to four seconds, in which six versions may be announced and
/// none would be loaded.
const STALE_READ_INTERVAL: Duration = Duration::from_millis(400);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The instances that run steps, by model.
type Owners = Map<Arc<str>, Set<Arc<str>>>;

/// The demand of each model's trainers.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    demands: Arc<Mutex<Map<Arc<str>, Demand>>>,
    owners: Arc<Mutex<Owners>>,
}

impl Targets {
    /// The versions that engines should load, for each model of which a version was announced.
    pub fn by_model(&self, now: Millis) -> Map<Arc<str>, Target> {
        let demands = self.demands.lock();
        let targets = demands
            .iter()
            .map(|(model, demand)| (model, demand.target(now)));
        targets
            .filter(|(_, target)| target.newest > 0)
            .map(|(model, target)| (model.clone(), target))
            .collect()
    }

    /// Records an announced version; returns whether it is new.
    pub fn record_announcement(&self, model: Arc<str>, version: Version, now: Millis) -> bool {
        let mut demands = self.demands.lock();
        demands
            .entry(model)
            .or_default()
            .record_announcement(version, now)
    }

    /// Records a step that was accepted.
    pub fn record_step(&self, head: &Head) {
        let mut demands = self.demands.lock();
        let demand = demands.entry(head.model.clone()).or_default();
        let samples = u64::from(head.total);
        demand.record_step(head.min_version, head.work, samples, head.opened);
    }

    /// Replaces the owners of steps. `owners` has the model and the owner of each step.
    pub fn replace_owners<'a>(&self, owners: impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)>) {
        let mut by_model = Owners::default();
        for (model, owner) in owners {
            let known = by_model.entry(model.clone()).or_default();
            known.insert(owner.clone());
        }
        *self.owners.lock() = by_model;
    }

    /// Returns the instances that run steps of a model.
    pub fn owners(&self, model: &str) -> Set<Arc<str>> {
        self.owners.lock().get(model).cloned().unwrap_or_default()
    }
}

/// Follows the announcements of trainers.
pub async fn follow(app: Arc<App>, targets: Targets) {
    tokio::join!(watch_loop(&app, &targets), stale_read_loop(&app, &targets));
}

/// Reads the announcements at intervals with stale reads, which are cheap.
async fn stale_read_loop(app: &App, targets: &Targets) {
    let prefix = app.dialect.store_keys().weights;
    loop {
        sleep(STALE_READ_INTERVAL).await;
        match app.plat.list_stale(prefix).await {
            Ok(range) => range
                .items
                .iter()
                .for_each(|item| apply(app, targets, item)),
            Err(error) => {
                let error = error.to_string();
                log::debug!(target: "control", error = error.as_str(); "could not read announced weights");
            }
        }
    }
}

async fn watch_loop(app: &App, targets: &Targets) {
    let prefix = app.dialect.store_keys().weights;
    let mut status = DependencyStatus::new("announced weights");
    let mut rev = None;
    loop {
        let next = match rev {
            None => read_all(app, targets, prefix).await,
            Some(rev) => watch(app, targets, prefix, rev).await,
        };
        rev = match next {
            Ok(next) => {
                status.mark_restored();
                next
            }
            Err(error) => {
                status.mark_lost(&error);
                sleep(RETRY_PAUSE).await;
                None
            }
        };
    }
}

async fn read_all(app: &App, targets: &Targets, prefix: &str) -> Result<Option<i64>, PlatError> {
    let range = app.plat.list(prefix).await?;
    for item in &range.items {
        apply(app, targets, item);
    }
    Ok(Some(range.rev))
}

/// Waits for changes; returns the revision from which to continue, or [`None`] when there were none.
async fn watch(
    app: &App,
    targets: &Targets,
    prefix: &str,
    rev: i64,
) -> Result<Option<i64>, PlatError> {
    let (changes, next) = app.plat.poll(prefix, rev, MAX_WATCH_WAIT).await?;
    for change in &changes {
        if let Change::Put(item) = change {
            apply(app, targets, item);
        }
    }
    Ok((!changes.is_empty()).then_some(next.max(rev)))
}

fn apply(app: &App, targets: &Targets, item: &Item) {
    match app.dialect.decode_announcement(&item.value) {
        Ok((model, version)) => {
            if targets.record_announcement(model.clone(), version, app.clock.now()) {
                log::info!(target: "control", model = &*model, version, revision = item.rev;
                    "weights announced");
            }
        }
        Err(error) => {
            let error = error.to_string();
            log::warn!(target: "control", key = item.key.as_str(), error = error.as_str();
                "could not decode announcement");
        }
    }
}
