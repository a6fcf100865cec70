//! What all parts of an instance share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use batch::Leftovers;
use batch::Owner;
use clock::Clock;
use crash::CrashTracker;
use kernel::Map;
use kernel::Millis;
use kernel::Set;
use kernel::ShardedMap;
use parking_lot::Mutex;
use place::EngineMemory;
use place::EngineTracker;
use plat::Client;
use poison::Identity;
use spread::Member;
use spread::Replica;
use spread::SyncState;
use spread::TreePosition;
use spread::member::Turnover;
use spread::tree;
use table::Config;
use table::Upstream;
use table::UpstreamList;
use tokio::sync::Notify;
use tokio::sync::watch;
use usage::Meter;
use usage::SnapshotStore;
use usage::Windows;

use crate::Dialect;
use crate::Settings;
use crate::access;
use crate::hint::Hint;
use crate::member::Entered;
use crate::owner::OwnedStep;
use crate::shelf::Shelf;

/// Time for which an idle connection to an upstream is kept: a call on a kept connection saves the
/// upstream the opening of a new one, which may hold a place there.
const IDLE: Duration = Duration::from_secs(10);

/// Time after its start from which an instance is ready though no keeper has heard of it, in milliseconds: some
/// tries.
const KEEPER: Millis = 1_500;

/// Time for which an instance is remembered whose entry is gone, in milliseconds: longer than an outage in which
/// entries lapse and the seconds until they are back.
const FORMER: Millis = 60_000;

/// What all parts of an instance share.
pub struct App {
    /// The settings.
    pub settings: Settings,
    /// The clocks.
    pub clock: Clock,
    /// The protocol.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's store.
    pub plat: Client,
    /// Connections to upstreams.
    pub http: net::Client,
    /// This start of this instance.
    pub me: Owner,
    /// The configuration, once it is known.
    pub plan: ArcSwapOption<Config>,
    /// The upstreams that are listed.
    pub roster: Mutex<UpstreamList>,
    /// The upstreams of plain services as this instance sees them.
    pub plain: Mutex<EngineTracker>,
    /// The engines as this instance sees them.
    pub fleet: Mutex<EngineTracker>,
    /// Which requests crash upstreams.
    pub crashes: Arc<CrashTracker>,
    /// What this instance has counted of the requests of teams, if they are reported.
    pub meter: Option<Mutex<Meter>>,
    /// What entry instances have told this one of what they counted.
    pub keeper: Mutex<SnapshotStore>,
    /// Rings when a place may have become free or an upstream has changed.
    pub room: Notify,
    /// The instances that have entered, this one among them.
    pub members: Mutex<Arc<[Member]>>,
    /// Where this instance stands among them.
    place: Mutex<TreePosition>,
    /// The instances that had entered some time ago, and when they were last seen.
    former: Mutex<Map<Arc<str>, (Member, Millis)>>,
    /// Connections to other instances.
    pub peers: net::Client,
    /// What is known of the configuration and the list of upstreams, for others that follow.
    pub board: Mutex<Replica>,
    /// Rings when the board has changed.
    pub news: watch::Sender<()>,
    /// The steps that this instance runs.
    pub works: ShardedMap<Arc<str>, Arc<OwnedStep>>,
    /// The steps that this instance is taking over.
    pub taking: Mutex<Set<Arc<str>>>,
    /// What this instance has read of the results of other steps.
    pub shelves: ShardedMap<Arc<str>, Arc<Shelf>>,
    /// What steps that ended here have left over.
    pub again: Mutex<Leftovers>,
    /// Who runs the steps that callers ask for here.
    pub hints: ShardedMap<Arc<str>, Hint>,
    /// Instances that get no steps from here until a time.
    shunned: Mutex<Map<Arc<str>, Millis>>,
    /// The instance that last made a call of the platform for this one.
    helper: Mutex<Option<SocketAddr>>,
    leaving: AtomicBool,
    /// Whether the platform did not answer the last read for others.
    blind: AtomicBool,
    /// Whether a keeper has heard of what this instance counts.
    kept: AtomicBool,
    /// When the instances that have entered were last heard of.
    met: AtomicU64,
    entered: Mutex<Option<Entered>>,
}

impl App {
    /// Makes the state of an instance that has just started and knows nothing.
    pub fn new(settings: Settings, dialect: Arc<dyn Dialect>, plat: Client) -> Arc<Self> {
        let clock = Clock::default();
        let me = Owner {
            instance: settings.name.clone(),
            // Two starts of one instance are never within the same millisecond.
            start: clock.wall(),
        };
        let windows = settings
            .accounts
            .map(|accounts| Windows::new(accounts.window));
        let meter = windows.map(|windows| Mutex::new(Meter::new(windows, clock.steady())));
        Arc::new(Self {
            settings,
            clock,
            meter,
            keeper: Mutex::default(),
            dialect,
            plat,
            http: net::Client::idle(IDLE),
            me,
            plan: ArcSwapOption::empty(),
            roster: Mutex::default(),
            plain: Mutex::default(),
            fleet: Mutex::default(),
            crashes: Arc::default(),
            room: Notify::new(),
            members: Mutex::new(Arc::new([])),
            place: Mutex::default(),
            former: Mutex::default(),
            peers: net::Client::idle(IDLE),
            board: Mutex::default(),
            news: watch::Sender::default(),
            works: ShardedMap::new(),
            taking: Mutex::default(),
            shelves: ShardedMap::new(),
            again: Mutex::default(),
            hints: ShardedMap::new(),
            shunned: Mutex::default(),
            helper: Mutex::default(),
            leaving: AtomicBool::new(false),
            blind: AtomicBool::new(false),
            kept: AtomicBool::new(false),
            met: AtomicU64::new(0),
            entered: Mutex::default(),
        })
    }

    /// What the memory of a service's engines holds.
    pub fn memory(&self, service: &str) -> EngineMemory {
        let plan = self.plan.load();
        let service = plan.as_ref().and_then(|plan| plan.service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or_else(EngineMemory::default, |engine| EngineMemory {
            capacity_tokens: engine.memory_tokens,
            event_tokens: engine.event_tokens,
        })
    }

    /// Looks whether an upstream has crashed after the connection of a request broke there.
    pub(crate) async fn broke(self: &Arc<Self>, id: &str, mark: Identity, one: &Upstream) {
        let (app, start) = (self.clone(), one.id.clone());
        let left = move || {
            let roster = app.roster.lock();
            roster.get(&start).is_none_or(|one| one.leaving)
        };
        self.crashes
            .check_upstream(id, mark, &one.id, one.addr, left)
            .await;
    }

    /// Notes that this instance's own entry was written.
    pub fn enter(&self, entered: Entered) {
        *self.entered.lock() = Some(entered);
    }

    /// This instance's own entry, once it has entered.
    pub fn entered(&self) -> Option<Entered> {
        *self.entered.lock()
    }

    /// The time until which an instance gets no steps from here.
    pub fn shunned(&self, instance: &str) -> Millis {
        self.shunned.lock().get(instance).copied().unwrap_or(0)
    }

    /// Gives an instance no steps from here until a time.
    pub fn shun(&self, instance: &Arc<str>, until: Millis) {
        self.shunned.lock().insert(instance.clone(), until);
    }

    /// The instance that last made a call of the platform for this one.
    pub fn helper(&self) -> Option<SocketAddr> {
        *self.helper.lock()
    }

    /// Notes the instance that made a call of the platform for this one, if there is one.
    pub fn set_helper(&self, helper: Option<SocketAddr>) {
        *self.helper.lock() = helper;
    }

    /// Notes whether the platform answers reads for others.
    pub fn set_blind(&self, blind: bool) {
        self.blind.store(blind, Ordering::Relaxed);
    }

    /// Tells whether the platform did not answer the last read for others.
    pub fn is_blind(&self) -> bool {
        self.blind.load(Ordering::Relaxed)
    }

    /// Changes what is known for others, and wakes those who wait for it.
    pub fn post<R>(&self, change: impl FnOnce(&mut Replica) -> R) -> R {
        let done = change(&mut self.board.lock());
        self.news.send_replace(());
        done
    }

    /// What this instance has of what others tell.
    pub fn have(&self) -> SyncState {
        self.board.lock().sync_state(self.clock.now())
    }

    /// Notes the instances that have entered.
    pub fn met(&self, members: impl Into<Arc<[Member]>>) {
        let members = members.into();
        let now = self.clock.now();
        let mut former = self.former.lock();
        former.retain(|_, (_, seen)| now < *seen + FORMER);
        for one in &*members {
            former.insert(one.owner.instance.clone(), (one.clone(), now));
        }
        drop(former);
        *self.place.lock() = tree::position(&members, &self.me.instance, &self.settings.domain);
        let before = std::mem::replace(&mut *self.members.lock(), members.clone());
        let Turnover { came, gone } = Turnover::between(&before, &members);
        if came + gone > 0 {
            log::info!(target: "member", instances = members.len(), came, gone; "instances known");
        }
        self.met.store(now, Ordering::Relaxed);
    }

    /// Notes some of the instances that have entered, as long as nobody has told of all.
    pub fn met_some(&self, some: Vec<Member>, me: &Member) {
        *self.place.lock() = tree::partial_position(&some, me);
        *self.members.lock() = some.into();
        self.met.store(self.clock.now(), Ordering::Relaxed);
    }

    /// Where this instance stands among those that have entered.
    pub fn place(&self) -> TreePosition {
        self.place.lock().clone()
    }

    /// Tells whether the entries of all were read at once, here or by whoever this instance follows.
    pub fn is_told(&self) -> bool {
        self.board.lock().membership().is_some()
    }

    /// The instances that have entered, and those whose entries are gone since a while. All entries lapse in a long
    /// outage of the platform, though those who wrote them live.
    pub fn acquainted(&self) -> Vec<Member> {
        let former = self.former.lock();
        former.values().map(|(one, _)| one.clone()).collect()
    }

    /// When the instances that have entered were last heard of.
    pub fn last_met(&self) -> Millis {
        self.met.load(Ordering::Relaxed)
    }

    /// Begins to leave: nothing new is taken on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Tells whether the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Notes that a keeper has heard of what this instance counts.
    pub fn set_kept(&self) {
        self.kept.store(true, Ordering::Relaxed);
    }

    /// Tells whether a keeper knows of this instance, if one has to: what an instance counts that nobody knows is
    /// missing in its window. Callers do not wait for long when no keeper can be reached.
    fn is_kept(&self) -> bool {
        let known = self.meter.is_none() || self.kept.load(Ordering::Relaxed);
        known || self.clock.now() >= KEEPER
    }

    /// Tells whether callers should come here: an instance without configuration could only turn
    /// them away.
    pub fn is_ready(&self) -> bool {
        let known = self.roster.lock().age(self.clock.now()).is_some();
        let able = known && self.plan.load().is_some() && !access::is_closed(self);
        able && self.is_kept() && !self.is_leaving()
    }
}
