//! Running the samples of a step that this instance owns, and listing their results.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use batch::Entry;
use batch::Head;
use batch::Ledger;
use batch::Outcome;
use batch::Sample;
use batch::Segment;
use batch::Spec;
use batch::keys;
use batch::ledger::Next;
use batch::record;
use kernel::Map;
use kernel::Millis;
use parking_lot::Mutex;
use place::Job;
use place::Want;
use plat::Done;
use plat::Guard;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use rand::seq::SliceRandom;
use table::Listed;
use table::Plan;
use table::Route;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::App;
use crate::control;
use crate::meter;
use crate::peer;
use crate::run::Draft;
use crate::run::Ended;
use crate::run::Run;
use crate::shelf::Page;

/// Time for which results are gathered into one write: a write is a call that the platform counts,
/// and a trainer reads about twice a second.
const GATHER: Millis = 200;

/// Longest pause between two looks at what can be done.
const TICK: Duration = Duration::from_millis(50);

/// Pause after a write whose outcome is not known.
const AGAIN: Duration = Duration::from_millis(150);

/// Time without word from the platform after which it is asked whether the step has ended. A
/// sample must not begin more than three seconds after the end.
const CHECK: Millis = 900;

/// Time for which word from the platform that the step is ours is believed when a reader is told
/// that there is no result yet.
const FRESH: Millis = 600;

/// Time for which an ended step stays in memory for readers that are late.
const LINGER: Duration = Duration::from_secs(3);

/// Time between two looks at engines whose version is too old.
const LOOK: Millis = 250;

/// Time between two lines that say for what samples wait.
const TELL: Millis = 1_000;

/// Engines that are asked in one such look: about as many as finish loading meanwhile.
const LOOKED: usize = 4;

/// Time by which a step that was taken over is taken to be younger than it seems: the clocks of
/// two instances differ, and a sample must not be given up early.
const SKEW: Millis = 2_500;

/// A step that this instance owns.
pub struct Work {
    step: Arc<str>,
    head: Head,
    rev: i64,
    spec: Arc<Spec>,
    /// What each sample has so far, by its place in the step.
    drafts: Vec<Mutex<Draft>>,
    /// When the step was opened, on this instance's clock.
    opened: Millis,
    ledger: Mutex<Ledger>,
    listed: watch::Sender<usize>,
    confirmed: AtomicU64,
    ended: AtomicBool,
    lost: AtomicBool,
    /// Whether another step goes on with what this one has left over.
    handed: AtomicBool,
    bell: Notify,
}

impl Work {
    fn new(app: &App, step: &Arc<str>, head: Head, spec: Spec, rev: i64, opened: Millis) -> Self {
        let ledger = Ledger::new(head.total, GATHER);
        let drafts = spec.samples.iter().map(|_| Mutex::default());
        Self {
            drafts: drafts.collect(),
            step: step.clone(),
            head,
            rev,
            spec: Arc::new(spec),
            opened,
            ledger: Mutex::new(ledger),
            listed: watch::Sender::new(0),
            confirmed: AtomicU64::new(app.clock.now()),
            ended: AtomicBool::new(false),
            lost: AtomicBool::new(false),
            handed: AtomicBool::new(false),
            bell: Notify::new(),
        }
    }

    /// Notes that the step has ended.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.bell.notify_one();
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    fn lose(&self) {
        self.lost.store(true, Ordering::Relaxed);
        self.bell.notify_one();
    }

    fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    fn confirm(&self, at: Millis) {
        self.confirmed.fetch_max(at, Ordering::Relaxed);
    }

    fn confirmed(&self) -> Millis {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// The body of a sample's request.
    pub fn body(&self, sample: &str) -> Option<Vec<u8>> {
        let found = self.spec.samples.iter().find(|one| &*one.id == sample);
        found.map(|one| one.body.clone())
    }

    /// The results from a position on; [`None`] when this instance cannot be sure of them.
    pub async fn page(&self, app: &App, from: usize, wait: Millis) -> Option<Page> {
        let mut listed = self.listed.subscribe();
        let more = listed.wait_for(|count| *count > from);
        // The wait ends without a result when the time is over, or the step has been dropped.
        let _ = timeout(Duration::from_millis(wait), more).await;
        let page = {
            let ledger = self.ledger.lock();
            Page {
                total: self.head.total,
                segments: ledger.segments(),
                entries: ledger.listed().get(from..).unwrap_or_default().to_vec(),
            }
        };
        let sure = !page.entries.is_empty() || self.is_sure(app).await;
        sure.then_some(page)
    }

    /// Tells whether nobody else can have listed results that are not known here.
    async fn is_sure(&self, app: &App) -> bool {
        if self.is_lost() {
            return false;
        }
        let now = app.clock.now();
        if self.ledger.lock().is_done() || now < self.confirmed() + FRESH {
            return true;
        }
        match app.plat.get(&keys::head(&self.step)).await {
            Ok(Some(item)) if item.rev == self.rev => {
                self.confirm(now);
                true
            }
            _ => false,
        }
    }

    fn route(&self, app: &App) -> Option<Arc<Route>> {
        let plan = app.plan.load();
        plan.as_ref()?
            .find(&self.head.host, &self.head.path)
            .cloned()
    }

    /// Hands over what the step has left over of samples with some prints, once it has ended.
    pub fn hand(&self, model: &str, samples: &[u64]) -> Vec<(u64, Draft)> {
        if !self.has_ended() || *self.head.model != *model {
            return Vec::new();
        }
        let all = self.spec.samples.iter().zip(&self.drafts);
        let prints = all.map(|(sample, draft)| (sample.print(), draft));
        let left = prints.filter(|(print, _)| samples.contains(print));
        let left = left.map(|(print, draft)| (print, draft.lock().clone()));
        let left: Vec<_> = left.filter(|(_, draft)| draft.last > 0).collect();
        if !left.is_empty() {
            self.handed.store(true, Ordering::Relaxed);
            self.bell.notify_one();
        }
        left
    }

    /// Takes over what an earlier step has left over, as far as the versions do here; gives the
    /// number of samples.
    fn take_drafts(&self, drafts: Vec<(u64, Draft)>) -> usize {
        let mut left: Map<u64, Draft> = Map::default();
        for (print, draft) in drafts {
            let fits = draft
                .versions
                .iter()
                .all(|version| *version >= self.head.least);
            let longer = left.get(&print).is_none_or(|have| have.last < draft.last);
            if fits && longer {
                left.insert(print, draft);
            }
        }
        let ledger = self.ledger.lock();
        let mut taken = 0;
        for (index, sample) in self.spec.samples.iter().enumerate() {
            let Some(draft) = left.remove(&sample.print()) else {
                continue;
            };
            if !ledger.has_ended(index as u32) {
                *self.drafts[index].lock() = draft;
                taken += 1;
            }
        }
        taken
    }

    fn entry(&self, index: u32, outcome: Outcome, draft: Draft) -> Entry {
        let id = self.spec.samples[index as usize].id.clone();
        Entry {
            index,
            id,
            outcome,
            text: draft.text.into(),
            versions: draft.versions,
        }
    }
}

/// Begins to run a step that was accepted here.
pub fn begin(app: &Arc<App>, step: &Arc<str>, head: Head, spec: Spec, rev: i64) {
    let work = Work::new(app, step, head, spec, rev, app.clock.now());
    start(app, work);
}

/// Goes on with a step whose owner is gone, from the results that are listed.
pub fn resume(
    app: &Arc<App>,
    step: &Arc<str>,
    head: Head,
    spec: Spec,
    rev: i64,
    segments: Vec<Vec<Entry>>,
) {
    let age = app.clock.wall().saturating_sub(head.opened);
    let opened = app.clock.now().saturating_sub(age.saturating_sub(SKEW));
    let work = Work::new(app, step, head, spec, rev, opened);
    {
        let mut ledger = work.ledger.lock();
        for segment in segments {
            ledger.restore(segment);
        }
        work.listed.send_replace(ledger.listed().len());
    }
    start(app, work);
}

fn start(app: &Arc<App>, work: Work) {
    let work = Arc::new(work);
    app.works.insert(work.step.clone(), work.clone());
    app.shelves.remove(&work.step);
    let app = app.clone();
    tokio::spawn(async move {
        gather(&app, &work).await;
        let mut drive = Drive::new(&app, &work);
        drive.run().await;
        let ledger_done = work.ledger.lock().is_done();
        log::info!(target: "owner", id = &*work.step, ended = work.has_ended(),
            lost = work.is_lost(), whole = ledger_done; "step done");
        if !work.is_lost() {
            let lingers = async {
                drive.leave().await;
                sleep(LINGER).await;
            };
            // The time is over, or a later step has what was left over.
            let _ = timeout(LINGER, lingers).await;
        }
        drop(drive);
        app.works.with(&work.step, |map| {
            if map
                .get(&work.step)
                .is_some_and(|held| Arc::ptr_eq(held, &work))
            {
                map.remove(&work.step);
            }
        });
    });
}

/// Gathers what earlier steps have left over of this step's samples, from all instances.
async fn gather(app: &Arc<App>, work: &Work) {
    let single = work.route(app).is_none_or(|route| route.single);
    if single {
        return;
    }
    let samples: Vec<_> = work.spec.samples.iter().map(Sample::print).collect();
    let mut drafts = peer::drafts(app, &work.head.model, &samples).await;
    app.works.each(|map| {
        for other in map.values() {
            drafts.extend(other.hand(&work.head.model, &samples));
        }
    });
    let found = drafts.len();
    let taken = work.take_drafts(drafts);
    if found > 0 {
        log::info!(target: "owner", id = &*work.step, found, taken; "left-over samples taken up");
    }
}

/// What a write of a segment came to.
enum Written {
    /// It is at the platform; the write was sent at this time.
    Kept(Millis),
    /// Whether it is there is not known.
    Unclear,
    /// The step has ended.
    Ended,
    /// Somebody else owns the step.
    Lost,
}

/// What a run came to.
struct Ran {
    index: u32,
    ended: Ended,
    engine: Arc<Listed>,
}

/// A sample that has to run.
struct Todo {
    job: Job,
    avoid: Vec<Arc<str>>,
}

/// The loop that runs a step.
struct Drive<'a> {
    app: &'a Arc<App>,
    work: &'a Arc<Work>,
    todo: VecDeque<Todo>,
    runs: JoinSet<Ran>,
    writes: JoinSet<Written>,
    checks: JoinSet<Option<bool>>,
    looks: JoinSet<()>,
    looked: Millis,
    told: Millis,
    failures: Map<u32, u32>,
    kin: Map<Arc<str>, Arc<str>>,
}

impl<'a> Drive<'a> {
    fn new(app: &'a Arc<App>, work: &'a Arc<Work>) -> Self {
        let ledger = work.ledger.lock();
        let samples = work.spec.samples.iter().enumerate();
        let jobs = samples
            .map(|(index, sample)| {
                let last = work.drafts[index].lock().last;
                Job {
                    index: index as u32,
                    group: sample.group.clone(),
                    expected: sample.expected.saturating_sub(last as u32),
                    carried: last > 0,
                }
            })
            .filter(|job| !ledger.has_ended(job.index))
            .collect();
        let jobs = place::order(jobs, work.head.wanted);
        let todo = jobs.into_iter().map(|job| Todo {
            job,
            avoid: Vec::new(),
        });
        Self {
            app,
            work,
            todo: todo.collect(),
            runs: JoinSet::new(),
            writes: JoinSet::new(),
            checks: JoinSet::new(),
            looks: JoinSet::new(),
            looked: 0,
            told: 0,
            failures: Map::default(),
            kin: Map::default(),
        }
    }

    /// Runs the step until it is whole, has ended or belongs to somebody else. Dropping the runs
    /// closes their connections, at which the engines stop.
    async fn run(&mut self) {
        loop {
            if self.work.is_lost() || self.work.has_ended() {
                return;
            }
            self.place();
            if self.write() {
                return;
            }
            self.check();
            tokio::select! {
                Some(Ok(ran)) = self.runs.join_next() => self.take(ran),
                Some(Ok(written)) = self.writes.join_next() => self.note(written).await,
                Some(Ok(ended)) = self.checks.join_next() => {
                    if ended == Some(true) {
                        self.work.end();
                    }
                }
                Some(_) = self.looks.join_next() => (),
                () = self.work.bell.notified() => (),
                () = self.app.room.notified() => (),
                () = sleep(TICK) => (),
            }
        }
    }

    /// Lets running samples go on after the end of their step, until a later step has asked for
    /// them or they have ended. Groups that were left over come again within a second or two, and
    /// what is made meanwhile need not be made again.
    async fn leave(&mut self) {
        while !self.work.handed.load(Ordering::Relaxed) {
            tokio::select! {
                ran = self.runs.join_next() => if ran.is_none() { return },
                () = self.work.bell.notified() => (),
            }
        }
    }

    /// Begins as many runs as there is room for.
    fn place(&mut self) {
        if self.todo.is_empty() {
            return;
        }
        let Some(route) = self.work.route(self.app) else {
            // Without any configuration nothing is known; with one, the route is gone.
            if self.app.plan.load().is_some() {
                self.give_up("route gone");
            }
            return;
        };
        if self.app.clock.now() > self.work.opened + route.ttl {
            self.give_up("time to live is over");
            return;
        }
        while let Some(todo) = self.todo.pop_front() {
            match self.choose(&route, &todo) {
                Some((service, engine)) => self.begin(&route, service, engine, todo),
                None => {
                    self.todo.push_front(todo);
                    self.look(&route);
                    return;
                }
            }
        }
    }

    fn choose(&self, route: &Route, todo: &Todo) -> Option<(Arc<str>, Arc<Listed>)> {
        let service = Plan::draw(route, rand::random())?;
        let draft = self.work.drafts[todo.job.index as usize].lock();
        let newest = draft.versions.iter().copied().max().unwrap_or(0);
        let want = Want {
            service,
            model: Some(&self.work.head.model),
            least: self.work.head.least.max(newest),
            queue: 0,
            domain: &self.app.settings.domain,
            kin: self.kin.get(&todo.job.group).map(|kin| &**kin),
            avoid: &todo.avoid,
        };
        let any = Want { avoid: &[], ..want };
        let now = self.app.clock.now();
        let roster = self.app.roster.lock();
        let mut fleet = self.app.fleet.lock();
        let engine = fleet
            .choose(&roster, &want, now)
            .or_else(|| fleet.choose(&roster, &any, now))?;
        fleet.begin(&engine.id);
        Some((service.clone(), engine))
    }

    fn begin(&mut self, route: &Route, service: Arc<str>, engine: Arc<Listed>, todo: Todo) {
        self.kin.insert(todo.job.group.clone(), engine.id.clone());
        let run = Run {
            app: self.app.clone(),
            step: self.work.step.clone(),
            host: self.work.head.host.clone(),
            service,
            model: self.work.head.model.clone(),
            least: self.work.head.least,
            single: route.single,
            engine: engine.clone(),
        };
        let work = self.work.clone();
        let index = todo.job.index;
        self.runs.spawn(async move {
            let at = index as usize;
            let ended = run.go(&work.spec.samples[at], &work.drafts[at]).await;
            Ran {
                index,
                ended,
                engine,
            }
        });
    }

    /// Asks engines whose version is too old whether they have a newer one by now.
    fn look(&mut self, route: &Route) {
        let now = self.app.clock.now();
        if now < self.looked + LOOK || !self.looks.is_empty() {
            return;
        }
        self.looked = now;
        let (model, least) = (&self.work.head.model, self.work.head.least);
        let roster = self.app.roster.lock();
        let fleet = self.app.fleet.lock();
        let mine = |one: &&Arc<Listed>| {
            route
                .shares
                .iter()
                .any(|share| share.service == one.service)
        };
        let mut old: Vec<_> = roster
            .all()
            .filter(mine)
            .filter(|one| {
                fleet
                    .version(one, model)
                    .is_some_and(|version| version < least)
            })
            .collect();
        if now >= self.told + TELL {
            self.told = now;
            let engines = roster.all().filter(mine).count();
            log::info!(target: "owner", id = &*self.work.step, samples = self.todo.len(),
                engines, old = old.len(), least; "samples wait for engines");
        }
        old.shuffle(&mut rand::rng());
        for one in old.into_iter().take(LOOKED) {
            let (app, one) = (self.app.clone(), one.clone());
            self.looks.spawn(async move {
                // An engine that does not tell is asked again with a later look.
                let _ = control::state(&app, &one).await;
            });
        }
    }

    /// Takes in how a run ended.
    fn take(&mut self, ran: Ran) {
        let Ran {
            index,
            ended,
            engine,
        } = ran;
        let draft = &self.work.drafts[index as usize];
        match ended {
            Ended::Whole => {
                let draft = draft.lock().clone();
                return self.finish(index, Outcome::Whole, draft);
            }
            Ended::Hopeless => return self.finish(index, Outcome::Failed, Draft::default()),
            Ended::Failed => {
                let failures = self.failures.entry(index).or_default();
                *failures += 1;
                let route = self.work.route(self.app);
                let most = route.map_or(1, |route| route.attempts.max(1));
                if *failures >= most {
                    return self.finish(index, Outcome::Failed, Draft::default());
                }
            }
            Ended::Broken(why) if why.starts_with("version") => {
                let single = self.work.route(self.app).is_some_and(|route| route.single);
                if single {
                    *draft.lock() = Draft::default();
                }
            }
            Ended::Unrun | Ended::Moved | Ended::Broken(_) => (),
        }
        let sample = &self.work.spec.samples[index as usize];
        let job = Job {
            index,
            group: sample.group.clone(),
            expected: sample.expected,
            carried: false,
        };
        let avoid = match ended {
            Ended::Unrun => Vec::new(),
            _ => vec![engine.id.clone()],
        };
        self.todo.push_front(Todo { job, avoid });
    }

    fn finish(&mut self, index: u32, outcome: Outcome, draft: Draft) {
        let word = match outcome {
            Outcome::Whole => "whole",
            Outcome::Failed => "failed",
        };
        metrics::counter!(meter::SAMPLES, "outcome" => word).increment(1);
        let entry = self.work.entry(index, outcome, draft);
        self.work.ledger.lock().finish(entry, self.app.clock.now());
    }

    /// Lists every sample that has not begun as failed.
    fn give_up(&mut self, why: &str) {
        log::warn!(target: "owner", id = &*self.work.step, why, samples = self.todo.len();
            "samples given up");
        for todo in std::mem::take(&mut self.todo) {
            self.finish(todo.job.index, Outcome::Failed, Draft::default());
        }
    }

    /// Writes the next segment when it is time; tells whether all is written.
    fn write(&mut self) -> bool {
        let mut ledger = self.work.ledger.lock();
        if ledger.is_done() {
            return true;
        }
        if !self.writes.is_empty() {
            return false;
        }
        if let Next::Write(segment) = ledger.next(self.app.clock.now()) {
            let (app, work) = (self.app.clone(), self.work.clone());
            self.writes
                .spawn(async move { write_segment(&app, &work, &segment).await });
        }
        false
    }

    async fn note(&mut self, written: Written) {
        match written {
            Written::Kept(sent) => {
                self.work.confirm(sent);
                let mut ledger = self.work.ledger.lock();
                ledger.written();
                let count = ledger.listed().len();
                self.work.listed.send_replace(count);
                log::info!(target: "owner", id = &*self.work.step, listed = count,
                    total = self.work.head.total; "results listed");
            }
            Written::Unclear => sleep(AGAIN).await,
            Written::Ended => self.work.end(),
            Written::Lost => {
                log::warn!(target: "owner", id = &*self.work.step, revision = self.work.rev;
                    "step taken over by somebody else");
                self.work.lose();
            }
        }
    }

    /// Asks the platform whether the step has ended when nothing was heard for a while.
    fn check(&mut self) {
        let now = self.app.clock.now();
        if now < self.work.confirmed() + CHECK || !self.checks.is_empty() {
            return;
        }
        let (app, work) = (self.app.clone(), self.work.clone());
        self.checks.spawn(async move {
            let ended = app.plat.get(&keys::end(&work.step)).await;
            match ended {
                Ok(found) => {
                    work.confirm(now);
                    Some(found.is_some())
                }
                Err(_) => {
                    sleep(AGAIN).await;
                    None
                }
            }
        });
    }
}

async fn write_segment(app: &App, work: &Work, segment: &Segment) -> Written {
    let sent = app.clock.now();
    let Ok(value) = record::encode(&segment.entries) else {
        // Texts and numbers always have an encoding.
        return Written::Unclear;
    };
    let key = keys::segment(&work.step, segment.seq);
    let end = keys::end(&work.step);
    let txn = Txn {
        guards: vec![
            Guard::At(keys::head(&work.step), work.rev),
            Guard::Absent(key.clone()),
            Guard::Absent(end.clone()),
        ],
        puts: vec![Put::new(key.clone(), value.clone())],
        deletes: Vec::new(),
    };
    match app.plat.txn(&txn).await {
        Ok(Done::At(_)) => Written::Kept(sent),
        Ok(Done::Conflict) => settle(app, work, &key, &end, &value).await,
        Err(error) => {
            let why = error.to_string();
            log::warn!(target: "owner", id = &*work.step, segment = segment.seq,
                why = why.as_str(); "segment not written");
            Written::Unclear
        }
    }
}

/// Finds out why a segment could not be written: an earlier try of the same write took effect, the
/// step has ended, or it was taken over.
async fn settle(app: &App, work: &Work, key: &str, end: &str, value: &[u8]) -> Written {
    let sent = app.clock.now();
    let found: Result<_, PlatError> = async {
        let head = app.plat.get(&keys::head(&work.step)).await?;
        let there = app.plat.get(key).await?;
        let ended = app.plat.get(end).await?;
        Ok((head, there, ended))
    }
    .await;
    let Ok((head, there, ended)) = found else {
        return Written::Unclear;
    };
    if head.is_none_or(|head| head.rev != work.rev) {
        return Written::Lost;
    }
    match there {
        Some(item) if item.value == value => Written::Kept(sent),
        Some(_) => Written::Lost,
        None if ended.is_some() => Written::Ended,
        None => Written::Unclear,
    }
}
