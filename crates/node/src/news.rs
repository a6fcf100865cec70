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
use crate::member;
use crate::member::Member;
use crate::peer;

/// Time between two reads. A leaving upstream must get nothing new two seconds after the platform
/// knows, and a configuration must be in force by then; a read of this pace that fails once still
/// leaves time for the next one.
const LIST: Duration = Duration::from_millis(850);

/// Shortest pause between two reads.
const LEAST: Duration = Duration::from_millis(200);

/// Time within which the reader that an instance follows has to have newer news, in milliseconds:
/// somewhat more than the time between two reads.
const WAIT: Millis = 1_050;

/// Time that whoever follows a follower waits longer, in milliseconds: so that one that is gone is
/// noticed first by those who follow it, and the others hear of it from them.
const STEP: Millis = 250;

/// Reads that a follower leaves out while its reader says that the platform does not answer; it may
/// be the reader alone that is turned away.
const BLIND: u32 = 3;

/// Reads after which the entries of instances are read again.
const MEMBERS: u64 = 3;

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
    /// The instances that have entered, in some of the reads.
    pub members: Option<Vec<Member>>,
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
/// One instance reads the platform. One of each other failure domain follows it, and the rest of each
/// domain follow that one. Whoever hears nothing in time reads for itself, so a domain that is cut
/// off from the others loses a second. Each read gives the whole state. A watch would cost less, but
/// may be silent for many seconds after the platform has dropped its history, and a change of the
/// configuration would come into force long after its bound.
pub async fn follow(app: Arc<App>) {
    let mut reach = Reach::new("configuration and upstreams");
    let mut have = Have::default();
    let mut source = None;
    let mut shunned = 0;
    let mut blind = 0;
    loop {
        let begun = app.clock.now();
        let now = peer::source(&app);
        if now != source {
            // Each counts its own reads.
            have.count = 0;
            source = now;
        }
        let told = match begun < shunned {
            true => peer::Heard::Reader,
            false => hear(&app, source, have).await,
        };
        match told {
            peer::Heard::News(news) => {
                have.count = news.count;
                blind = 0;
                pass_on(&app, &news);
                take(&app, news, &mut have);
                reach.back();
                continue;
            }
            peer::Heard::Blind if blind < BLIND => {
                blind += 1;
                app.set_blind(true);
                continue;
            }
            peer::Heard::Blind => blind = 0,
            peer::Heard::Nothing => {
                have.count = 0;
                shunned = app.clock.now() + SHUN;
            }
            peer::Heard::Reader => (),
        }
        match read(&app).await {
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

async fn hear(app: &App, source: Option<peer::Source>, have: Have) -> peer::Heard {
    match source {
        Some(peer::Source::Reader(addr)) => peer::news(app, addr, have, WAIT).await,
        Some(peer::Source::Follower(addr)) => peer::news(app, addr, have, WAIT + STEP).await,
        None => peer::Heard::Reader,
    }
}

/// Offers a read of another instance to those who follow this one.
fn pass_on(app: &App, news: &News) {
    app.set_blind(false);
    let held = app.news.borrow().clone();
    app.news.send_replace(Arc::new(News {
        items: news.items.clone(),
        rev: news.rev,
        // A follower hears of a configuration once; those who follow it may not have it yet.
        plan: news.plan.clone().or_else(|| held.plan.clone()),
        count: held.count + 1,
        at: app.clock.now(),
        members: news.members.clone(),
    }));
}

async fn read(app: &App) -> Result<News, PlatError> {
    let places = app.dialect.places();
    let at = app.clock.now();
    let count = app.news.borrow().count + 1;
    let read = async {
        let (plan, range) =
            tokio::join!(app.plat.get(places.plan), app.plat.list(places.upstreams));
        Ok((plan?, range?))
    };
    let read = read.await;
    app.set_blind(read.is_err());
    let (plan, range) = read?;
    let members = match count.is_multiple_of(MEMBERS) {
        // Without them this read is as good.
        true => member::list(app).await.ok(),
        false => None,
    };
    let news = News {
        items: range.items,
        rev: range.rev,
        plan,
        count,
        at,
        members,
    };
    app.news.send_replace(Arc::new(news.clone()));
    Ok(news)
}

/// Takes in a read.
fn take(app: &App, news: News, have: &mut Have) {
    if let Some(members) = news.members {
        app.met(members);
    }
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
