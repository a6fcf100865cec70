//! The versions of weights that trainers have announced.

use std::sync::Arc;
use std::time::Duration;

use kernel::Map;
use kernel::Millis;
use parking_lot::Mutex;
use plat::Change;
use plat::Item;
use plat::PlatError;
use tokio::time::sleep;
use weight::Version;

use crate::App;
use crate::news::Reach;

/// Longest time that one watch waits, in milliseconds. A watch may hear nothing of a change, so
/// the newest state is read after each that heard nothing.
const WATCH: Millis = 3_000;

/// Pause after a failed call.
const AGAIN: Duration = Duration::from_millis(300);

/// The newest version of each model.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    all: Arc<Mutex<Map<Arc<str>, Version>>>,
}

impl Targets {
    /// A copy of all.
    pub fn copy(&self) -> Map<Arc<str>, Version> {
        self.all.lock().clone()
    }

    /// Notes an announced version; tells whether it is new.
    pub fn announce(&self, model: Arc<str>, version: Version) -> bool {
        let mut all = self.all.lock();
        let newest = all.entry(model).or_default();
        let new = version > *newest;
        *newest = version.max(*newest);
        new
    }
}

/// Follows what trainers announce.
pub async fn follow(app: Arc<App>, targets: Targets) {
    let prefix = app.dialect.places().weights;
    let mut reach = Reach::new("announced weights");
    let mut rev = None;
    loop {
        let next = match rev {
            None => read(&app, &targets, prefix).await,
            Some(rev) => watch(&app, &targets, prefix, rev).await,
        };
        rev = match next {
            Ok(next) => {
                reach.back();
                next
            }
            Err(error) => {
                reach.lost(&error);
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
    match app.dialect.announced(&item.value) {
        Ok((model, version)) => {
            if targets.announce(model.clone(), version) {
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
