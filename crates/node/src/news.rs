//! Following the configuration and the list of upstreams.

mod belief;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::Millis;
use kernel::Set;
use plat::Item;
use plat::PlatError;

use table::Listed;
use table::Plan;
use table::Starts;

use crate::App;
use crate::board::Have;
use crate::board::News;
use crate::member;
use crate::peer;
use crate::peer::Heard;
use crate::reach::Reach;
use crate::sources;

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

/// Rounds of which one is used for a read while both sources of a follower say that the platform does
/// not answer; it may be those two alone that are turned away.
const BLIND: u32 = 3;

/// Reads after which the entries of instances are read again.
const MEMBERS: u64 = 3;

/// Time for which an instance that has just started waits until it knows others, in milliseconds: a read
/// of their entries takes some milliseconds, and callers wait for an instance that is not ready.
const MEET: Millis = 400;

/// Time between two looks at whether others are known.
const LOOK: Duration = Duration::from_millis(10);

/// Age beyond which a reader passes its news on no more: one that is cut off would keep others
/// from asking for themselves.
pub const FRESH: Millis = 1_000;

/// Time that a read of its own takes from which a follower does not read at once when its source is late, in
/// milliseconds. So slow a read means a long list or a busy platform, and then the source is late for the
/// same reason. With 3,000 upstreams each read is a megabyte; 300 followers that all read beside their sources took
/// the platform's whole link, and a leaving upstream was known 5 s late.
const SLOW: Millis = 500;

/// Rounds for which such a follower goes on asking before it reads.
const ROUNDS: u32 = 3;

/// Time for which a reader that had nothing in time is not asked again, in milliseconds.
const SHUN: Millis = 3_000;

/// What the keys of the records begin with in which instances say which requests crash upstreams.
pub(crate) const CRASHES: &str = "snipeway/crash/";

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

/// Follows the configuration and the list of upstreams.
///
/// One instance reads the platform. One of each other failure domain follows it, and the rest of each
/// domain follow that one. Whoever hears nothing in time goes on to a second one of its domain, and
/// that one reads for itself, so a reader that is gone or turned away costs a moment. Each read gives
/// the whole state. A watch would cost less, but may be silent for many seconds after the platform
/// has dropped its history, and a change of the configuration would come into force long after its
/// bound.
pub async fn follow(app: Arc<App>) {
    let mut follower = Follower::default();
    let mut reach = Reach::new("configuration and upstreams");
    meet(&app).await;
    loop {
        let begun = app.clock.now();
        match follower.hear(&app).await {
            Heard::News(news) => {
                follower.late = 0;
                app.set_blind(false);
                let now = app.clock.now();
                app.post(|board| board.merge(&news, now));
                follower.take(&app, news);
                reach.back();
                continue;
            }
            Heard::Blind if follower.waits() => {
                app.set_blind(true);
                continue;
            }
            Heard::Late if follower.trusts() => continue,
            Heard::Blind | Heard::Late | Heard::Nothing => (),
        }
        let reading = app.clock.now();
        match read(&app, &mut follower).await {
            Ok(()) => reach.back(),
            Err(error) => reach.lost(&error),
        }
        follower.took = app.clock.now() - reading;
        let used = Duration::from_millis(app.clock.now() - begun);
        tokio::time::sleep(LIST.saturating_sub(used).max(LEAST)).await;
    }
}

/// Waits until other instances are known. When all have been started at the same moment and each reads for
/// itself, the platform gets some reads of each.
async fn meet(app: &App) {
    let begun = app.clock.now();
    while app.last_met() == 0 && app.clock.now() < begun + MEET {
        tokio::time::sleep(LOOK).await;
    }
}

/// What an instance that follows others has heard from them.
#[derive(Default)]
struct Follower {
    /// Whom it last heard of a change, and which, as that one counts them.
    last: Option<(SocketAddr, u64)>,
    /// The last change of its own board that it has taken in.
    own: u64,
    /// Reads of its own.
    reads: u64,
    /// The upstreams by their keys.
    list: BTreeMap<String, Arc<Listed>>,
    /// The keys of entries that name no upstream.
    strange: Set<String>,
    /// Which start of each upstream is the newest.
    starts: Starts,
    /// The revision of the configuration.
    plan: i64,
    /// Until when the first source is not asked.
    shunned: Millis,
    /// Rounds in a row in which the platform answered nobody.
    blind: u32,
    /// Time that its last read of its own took, in milliseconds.
    took: Millis,
    /// Rounds in a row in which its source was late.
    late: u32,
}

impl Follower {
    /// Hears from the sources in turn.
    async fn hear(&mut self, app: &App) -> Heard {
        let sources = sources::sources(app);
        let Some(main) = sources.main else {
            return Heard::Nothing;
        };
        let wait = match sources.far {
            true => WAIT + STEP,
            false => WAIT,
        };
        let shunned = app.clock.now() < self.shunned;
        let mut heard = match shunned {
            true => Heard::Nothing,
            false => self.ask(app, main, wait).await,
        };
        if matches!(heard, Heard::Late) && self.is_patient() {
            return heard;
        }
        if matches!(heard, Heard::Late | Heard::Nothing) && !shunned {
            self.shunned = app.clock.now() + SHUN;
        }
        if let (Heard::Late | Heard::Nothing | Heard::Blind, Some(spare)) = (&heard, sources.spare)
        {
            let wait = match shunned {
                true => WAIT + STEP,
                // It has heard of it as well by now, and reads.
                false => STEP,
            };
            heard = self.ask(app, spare, wait).await;
        }
        if !matches!(heard, Heard::Blind) {
            self.blind = 0;
        }
        if matches!(heard, Heard::Blind) && sources.spare.is_none() {
            // With nobody else to follow it is this instance that has to find out, at full pace.
            self.shunned = app.clock.now() + SHUN;
            return Heard::Nothing;
        }
        heard
    }

    async fn ask(&mut self, app: &App, addr: SocketAddr, wait: Millis) -> Heard {
        // From somebody else everything is asked for: what has changed for one may not for another.
        let last = self.last.filter(|(last, _)| *last == addr);
        let have = Have {
            count: last.map_or(0, |(_, count)| count),
            plan: self.plan,
        };
        let heard = peer::news(app, addr, have, wait).await;
        match &heard {
            Heard::News(news) => self.last = Some((addr, news.count)),
            // It may have been started anew, and counts from one.
            Heard::Nothing => self.last = None,
            Heard::Late | Heard::Blind => (),
        }
        heard
    }

    /// Takes in what its own board has and it has not, after a read of its own.
    fn catch_up(&mut self, app: &App) {
        let have = Have {
            count: self.own,
            plan: self.plan,
        };
        let news = app.board.lock().since(have);
        // What others tell next is told from the start: they may know less.
        self.last = None;
        self.take(app, news);
    }

    /// Takes in what is new.
    fn take(&mut self, app: &App, news: News) {
        if let Some(members) = news.members {
            app.met(members);
        }
        if let Some(plan) = news.plan.filter(|plan| plan.rev > self.plan) {
            self.plan = plan.rev;
            apply(app, &plan);
        }
        self.own = app.board.lock().count();
        if news.rev == 0 {
            // The list has not been read yet.
            return;
        }
        let before = match news.whole {
            true => std::mem::take(&mut self.list),
            false => BTreeMap::new(),
        };
        let strange = std::mem::take(&mut self.strange);
        if !news.whole {
            self.strange.clone_from(&strange);
        }
        for item in news.items {
            if item.key.starts_with(CRASHES) {
                crash::report::take(&app.crashes, &item);
                continue;
            }
            let former = before.get(&item.key);
            self.take_entry(app, item, former, &strange);
        }
        for key in &news.gone {
            self.list.remove(key);
            self.strange.remove(key);
        }
        for key in strange.difference(&self.strange) {
            log::info!(target: "news", key = key.as_str(); "strange entry gone");
        }
        // The names of all are worked out only where one may have gone.
        if news.whole || !news.gone.is_empty() {
            let names = self.list.values().map(|one| one.start.name.clone());
            let names: Set<_> = names.collect();
            self.starts.prune(|name| names.contains(name));
        }
        belief::believe(app, &self.list, news.rev);
    }

    /// Takes in an entry. One that was written by something else names no upstream, and the others hold.
    ///
    /// `former` is what stood there before everything was read anew.
    fn take_entry(
        &mut self,
        app: &App,
        item: Item,
        former: Option<&Arc<Listed>>,
        strange: &Set<String>,
    ) {
        match app.dialect.listed(&item.key, &item.value) {
            Ok(one) => {
                self.strange.remove(&item.key);
                match (self.starts.tell(&one.start, item.rev), former) {
                    (Some(id), _) => {
                        let one = Arc::new(Listed { id, ..one });
                        self.list.insert(item.key, one);
                    }
                    // A late entry of a former start changes nothing.
                    (None, Some(former)) => drop(self.list.insert(item.key, former.clone())),
                    (None, None) => (),
                }
            }
            Err(error) => {
                self.list.remove(&item.key);
                if !strange.contains(&item.key) {
                    let error = error.to_string();
                    log::warn!(target: "news", key = item.key.as_str(), revision = item.rev,
                        error = error.as_str(); "strange entry");
                }
                self.strange.insert(item.key);
            }
        }
    }

    /// Tells whether a source that is late had better be asked again than the platform.
    fn is_patient(&self) -> bool {
        self.took >= SLOW && self.late < ROUNDS
    }

    /// Tells whether to go on asking a source that was late, and counts the round.
    fn trusts(&mut self) -> bool {
        let patient = self.is_patient();
        self.late = if patient { self.late + 1 } else { 0 };
        patient
    }

    /// Tells whether to go on waiting while the platform answers nobody.
    fn waits(&mut self) -> bool {
        self.blind = (self.blind + 1) % BLIND;
        self.blind != 0
    }
}

/// Reads the platform, the configuration first: it must not wait for a long list.
async fn read(app: &App, follower: &mut Follower) -> Result<(), PlatError> {
    let done = try_read(app, follower).await;
    app.set_blind(done.is_err());
    done
}

async fn read_plan(app: &App, follower: &mut Follower) -> Result<(), PlatError> {
    let plan = app.plat.get(app.dialect.places().plan).await?;
    if app.post(|board| board.plan(plan)) {
        follower.catch_up(app);
    }
    Ok(())
}

async fn try_read(app: &App, follower: &mut Follower) -> Result<(), PlatError> {
    let places = app.dialect.places();
    read_plan(app, follower).await?;
    // Whoever is ready must know which requests crash upstreams, also after a start. Read one after the other
    // they would make each round longer by a call, which takes a third of a second at a store that is busy.
    let lists = async { tokio::join!(app.plat.list(CRASHES), app.plat.list(places.upstreams)) };
    tokio::pin!(lists);
    let (crashes, range) = loop {
        tokio::select! {
            read = &mut lists => break read,
            // A list of thousands takes seconds at a busy platform, and a configuration must be in force by then.
            () = tokio::time::sleep(LIST) => read_plan(app, follower).await?,
        }
    };
    let (crashes, mut range) = (crashes?, range?);
    crash::report::sweep(&app.plat, &crashes.items, app.clock.wall()).await;
    range.items.extend(crashes.items);
    follower.reads += 1;
    // Without them this read is as good.
    let members = match follower.reads.is_multiple_of(MEMBERS) {
        true => member::list(app).await.ok(),
        false => None,
    };
    // Counted from the end of the read: one that takes longer than news may be old would never be passed on, and
    // everybody would read.
    let at = app.clock.now();
    app.post(|board| {
        board.read(range.items, range.rev, at);
        if let Some(members) = members {
            board.members(members);
        }
    });
    follower.catch_up(app);
    Ok(())
}
