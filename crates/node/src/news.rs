//! Following the configuration and the list of upstreams.

use std::sync::Arc;
use std::time::Duration;

use kernel::Millis;
use plat::Change;
use plat::Item;
use plat::PlatError;
use table::Belief;
use table::Plan;

use crate::App;

/// Longest time that one watch of the configuration waits, in milliseconds: each watch is a call
/// that the platform counts, and platforms let them wait up to half a minute.
const WATCH: Millis = 20_000;

/// Pause after a failed call: short, since a change has to be in force within seconds of the
/// platform's return.
const AGAIN: Duration = Duration::from_millis(300);

/// Time between two reads of the list of upstreams. A leaving upstream must get nothing new two
/// seconds after the platform knows; reading twice in that time survives one lost read.
const LIST: Duration = Duration::from_millis(850);

/// Follows the configuration.
pub async fn follow_plan(app: Arc<App>) {
    let key = app.dialect.places().plan;
    let mut rev = None;
    let mut reach = Reach::new("configuration");
    loop {
        let next = match rev {
            None => read_plan(&app, key).await,
            Some(rev) => watch_plan(&app, key, rev).await,
        };
        rev = match next {
            Ok(next) => {
                reach.back();
                Some(next)
            }
            // History is gone, or the answer made no sense: read the newest state.
            Err(PlatError::Compacted(_) | PlatError::Garbled) => None,
            Err(error) => {
                reach.lost(&error);
                tokio::time::sleep(AGAIN).await;
                // What changed meanwhile is at hand sooner by a read than by a watch that may be
                // refused for missing history.
                None
            }
        };
    }
}

async fn read_plan(app: &App, key: &str) -> Result<i64, PlatError> {
    match app.plat.get(key).await? {
        Some(item) => {
            apply(app, &item);
            Ok(item.rev)
        }
        None => {
            // Not written yet; a watch from the start of history tells when it is.
            tokio::time::sleep(AGAIN).await;
            Err(PlatError::Compacted(0))
        }
    }
}

async fn watch_plan(app: &App, key: &str, rev: i64) -> Result<i64, PlatError> {
    let (changes, next) = app.plat.poll(key, rev, WATCH).await?;
    for change in changes {
        if let Change::Put(item) = change
            && item.key == key
        {
            apply(app, &item);
        }
    }
    Ok(next.max(rev))
}

/// Puts a configuration in force unless a newer one is.
fn apply(app: &App, item: &Item) {
    let plan = match app.dialect.plan(&item.value) {
        Ok(plan) => plan,
        Err(error) => {
            let error = error.to_string();
            log::error!(target: "news", revision = item.rev, error = error.as_str();
                "configuration not understood");
            return;
        }
    };
    let version = plan.version;
    if !replace(app, plan) {
        return;
    }
    metrics::gauge!(crate::meter::VERSION).set(version as f64);
    log::info!(target: "news", version, revision = item.rev; "configuration in force");
    app.room.notify_waiters();
}

/// Replaces the configuration by a newer one; a late answer with an older one changes nothing.
fn replace(app: &App, plan: Plan) -> bool {
    let held = app.plan.load();
    if held
        .as_ref()
        .is_some_and(|held| held.version >= plan.version)
    {
        return false;
    }
    app.plan.store(Some(Arc::new(plan)));
    true
}

/// Follows the list of upstreams.
///
/// Each read gives the whole list, so nothing can be missed when the platform drops its history or
/// a watch hears nothing.
pub async fn follow_list(app: Arc<App>) {
    let mut reach = Reach::new("upstreams");
    loop {
        match read_list(&app).await {
            Ok(()) => reach.back(),
            Err(error) => reach.lost(&error),
        }
        let age = app.roster.lock().age(app.clock.now());
        metrics::gauge!(crate::meter::AGE).set(age.unwrap_or(0) as f64);
        tokio::time::sleep(LIST).await;
    }
}

async fn read_list(app: &App) -> Result<(), PlatError> {
    let prefix = app.dialect.places().upstreams;
    let range = app.plat.list(prefix).await?;
    let mut list = Vec::with_capacity(range.items.len());
    for item in &range.items {
        match app.dialect.listed(&item.key, &item.value) {
            Ok(one) => list.push(one),
            Err(error) => {
                let error = error.to_string();
                log::warn!(target: "news", key = item.key.as_str(), error = error.as_str();
                    "entry of an upstream not understood");
            }
        }
    }
    let now = app.clock.now();
    let news = {
        let mut roster = app.roster.lock();
        let news = roster.read(list, now);
        app.fleet.lock().prune(&roster);
        app.plain.lock().prune(&roster);
        news
    };
    for belief in &news {
        tell(belief, range.rev);
    }
    app.room.notify_waiters();
    Ok(())
}

fn tell(belief: &Belief, rev: i64) {
    let (one, what) = match belief {
        Belief::Came(one) => (one, "upstream in"),
        Belief::Leaving(one) => (one, "upstream leaving"),
        Belief::Gone(one) => (one, "upstream out"),
    };
    let addr = one.addr.to_string();
    log::info!(target: "news", upstream = &*one.id, service = &*one.service,
        address = addr.as_str(), revision = rev; "{what}");
}

/// Tells once when a dependency is lost and once when it is back.
pub(crate) struct Reach {
    what: &'static str,
    lost: bool,
}

impl Reach {
    pub(crate) fn new(what: &'static str) -> Self {
        Self { what, lost: false }
    }

    pub(crate) fn lost(&mut self, error: &PlatError) {
        if !std::mem::replace(&mut self.lost, true) {
            let error = error.to_string();
            log::warn!(target: "platform", dependency = self.what, error = error.as_str();
                "dependency lost");
        }
    }

    pub(crate) fn back(&mut self) {
        if std::mem::replace(&mut self.lost, false) {
            log::info!(target: "platform", dependency = self.what; "dependency back");
        }
    }
}
