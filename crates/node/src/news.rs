//! Following the configuration and the list of upstreams.

use std::sync::Arc;
use std::time::Duration;

use kernel::Millis;
use plat::Item;
use plat::PlatError;
use serde::Deserialize;
use serde::Serialize;
use table::Belief;
use table::Plan;

use crate::App;
use crate::peer;

/// Time between two reads. A leaving upstream must get nothing new two seconds after the platform
/// knows, and a configuration must be in force by then; a read of this pace that fails once still
/// leaves time for the next one.
const LIST: Duration = Duration::from_millis(850);

/// Shortest pause between two reads.
const LEAST: Duration = Duration::from_millis(200);

/// Time within which the reader of the failure domain has to have newer news, in milliseconds:
/// somewhat more than the time between two reads.
const WAIT: Millis = 1_150;

/// Age beyond which a reader passes its news on no more: one that is cut off would keep others
/// from asking for themselves.
pub const FRESH: Millis = 1_000;

/// Time for which a reader that had nothing in time is not asked again, in milliseconds.
const SHUN: Millis = 3_000;

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

/// A read of the configuration and of the whole list of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct News {
    /// The entries of upstreams.
    pub items: Vec<Item>,
    /// The platform's revision.
    pub rev: i64,
    /// The configuration; absent when whoever asked has this one already.
    pub plan: Option<Item>,
    /// Which read of its reader it is, counted from 1.
    pub count: u64,
    /// When it was begun, on the reader's clock.
    pub at: Millis,
}

/// What a follower has already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Have {
    /// The last read that it has from the reader.
    pub count: u64,
    /// The revision of its configuration.
    pub plan: i64,
}

/// Follows the configuration and the list of upstreams.
///
/// One instance of each failure domain reads the platform, the others follow it; whoever hears
/// nothing from it in time reads for itself. Each read gives the whole state. A watch would cost
/// less, but may be silent for many seconds after the platform has dropped its history, and a
/// change of the configuration would come into force long after its bound.
pub async fn follow(app: Arc<App>) {
    let mut reach = Reach::new("configuration and upstreams");
    let mut have = Have::default();
    let mut shunned = 0;
    loop {
        let begun = app.clock.now();
        let told = match begun < shunned {
            true => peer::Heard::Reader,
            false => peer::news(&app, have, WAIT).await,
        };
        let news = match told {
            peer::Heard::News(news) => {
                have.count = news.count;
                take(&app, news, &mut have);
                reach.back();
                continue;
            }
            peer::Heard::Nothing => {
                have.count = 0;
                shunned = app.clock.now() + SHUN;
                read(&app).await
            }
            peer::Heard::Reader => read(&app).await,
        };
        match news {
            Ok(news) => {
                reach.back();
                take(&app, news, &mut have);
            }
            Err(error) => reach.lost(&error),
        }
        let used = Duration::from_millis(app.clock.now() - begun);
        tokio::time::sleep(LIST.saturating_sub(used).max(LEAST)).await;
    }
}

async fn read(app: &App) -> Result<News, PlatError> {
    let places = app.dialect.places();
    let at = app.clock.now();
    let (plan, range) = tokio::join!(app.plat.get(places.plan), app.plat.list(places.upstreams));
    let range = range?;
    let news = News {
        items: range.items,
        rev: range.rev,
        plan: plan?,
        count: app.news.borrow().count + 1,
        at,
    };
    app.news.send_replace(Arc::new(news.clone()));
    Ok(news)
}

/// Takes in a read.
fn take(app: &App, news: News, have: &mut Have) {
    if let Some(plan) = news.plan.filter(|plan| plan.rev > have.plan) {
        have.plan = plan.rev;
        apply(app, &plan);
    }
    let mut list = Vec::with_capacity(news.items.len());
    for item in &news.items {
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
    let beliefs = {
        let mut roster = app.roster.lock();
        let beliefs = roster.read(list, now);
        app.plain.lock().prune(&roster);
        app.fleet.lock().prune(&roster);
        beliefs
    };
    for belief in &beliefs {
        tell(belief, news.rev);
    }
    metrics::gauge!(crate::meter::AGE).set(0.0);
    app.room.notify_waiters();
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
