//! The versions of weights that trainers have announced.

use std::sync::Arc;
use std::time::Duration;

use batch::Head;
use kernel::Map;
use kernel::Millis;
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

/// Longest time that one watch waits, in milliseconds. A watch may hear nothing of a change, so
/// the newest state is read after each that heard nothing.
const WATCH: Millis = 2_000;

/// Time between two stale reads beside the watch. One whose connection has gone silent is noticed
/// only when its time is over; nothing was loaded for four seconds meanwhile, on a day on which
/// six versions were announced in that time.
const GLANCE: Duration = Duration::from_millis(400);

/// Pause after a failed call.
const AGAIN: Duration = Duration::from_millis(300);

/// What is known of the wishes of each model's trainers.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    all: Arc<Mutex<Map<Arc<str>, Demand>>>,
}

impl Targets {
    /// The versions that are worth having, of each model of which one was announced.
    pub fn aims(&self, now: Millis) -> Map<Arc<str>, Target> {
        let all = self.all.lock();
        let aims = all
            .iter()
            .map(|(model, demand)| (model, demand.target(now)));
        aims.filter(|(_, aim)| aim.newest > 0)
            .map(|(model, aim)| (model.clone(), aim))
            .collect()
    }

    /// Notes an announced version; tells whether it is new.
    pub fn announce(&self, model: Arc<str>, version: Version, now: Millis) -> bool {
        let mut all = self.all.lock();
        all.entry(model)
            .or_default()
            .record_announcement(version, now)
    }

    /// Notes a step.
    pub fn opened(&self, head: &Head) {
        let mut all = self.all.lock();
        let demand = all.entry(head.model.clone()).or_default();
        let samples = u64::from(head.total);
        demand.record_step(head.min_version, head.work, samples, head.opened);
    }
}

/// Follows what trainers announce.
pub async fn follow(app: Arc<App>, targets: Targets) {
    tokio::join!(listen(&app, &targets), glance(&app, &targets));
}

/// Reads now and then what may be some time old, which is cheap.
async fn glance(app: &App, targets: &Targets) {
    let prefix = app.dialect.store_keys().weights;
    loop {
        sleep(GLANCE).await;
        match app.plat.list_stale(prefix).await {
            Ok(range) => range.items.iter().for_each(|item| note(app, targets, item)),
            Err(error) => {
                let error = error.to_string();
                log::debug!(target: "control", error = error.as_str(); "no glance at weights");
            }
        }
    }
}

async fn listen(app: &App, targets: &Targets) {
    let prefix = app.dialect.store_keys().weights;
    let mut reach = DependencyStatus::new("announced weights");
    let mut rev = None;
    loop {
        let next = match rev {
            None => read(app, targets, prefix).await,
            Some(rev) => watch(app, targets, prefix, rev).await,
        };
        rev = match next {
            Ok(next) => {
                reach.mark_restored();
                next
            }
            Err(error) => {
                reach.mark_lost(&error);
                sleep(AGAIN).await;
                None
            }
        };
    }
}

async fn read(app: &App, targets: &Targets, prefix: &str) -> Result<Option<i64>, PlatError> {
    let range = app.plat.list(prefix).await?;
    for item in &range.items {
        note(app, targets, item);
    }
    Ok(Some(range.rev))
}

/// Waits for changes; gives the revision to go on from, or nothing when it heard none.
async fn watch(
    app: &App,
    targets: &Targets,
    prefix: &str,
    rev: i64,
) -> Result<Option<i64>, PlatError> {
    let (changes, next) = app.plat.poll(prefix, rev, WATCH).await?;
    for change in &changes {
        if let Change::Put(item) = change {
            note(app, targets, item);
        }
    }
    Ok((!changes.is_empty()).then_some(next.max(rev)))
}

fn note(app: &App, targets: &Targets, item: &Item) {
    match app.dialect.decode_announcement(&item.value) {
        Ok((model, version)) => {
            if targets.announce(model.clone(), version, app.clock.now()) {
                log::info!(target: "control", model = &*model, version, revision = item.rev;
                    "weights announced");
            }
        }
        Err(error) => {
            let error = error.to_string();
            log::warn!(target: "control", key = item.key.as_str(), error = error.as_str();
                "announcement not understood");
        }
    }
}
