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
use crate::member::OwnEntry;
use crate::owner::Work;
use crate::shelf::ResultCache;

/// Time for which an idle connection to an upstream is kept: a call on a kept connection saves the
/// upstream the opening of a new one, which may hold a place there.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after its start from which an instance is ready though no keeper has heard of it, in milliseconds: some
/// tries.
const KEEPER_WAIT: Millis = 1_500;

/// Time for which an instance is remembered whose entry is gone, in milliseconds: longer than an outage in which
/// entries lapse and the seconds until they are back.
const RECENT_MEMBER_TTL: Millis = 60_000;

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
    pub config: ArcSwapOption<Config>,
    /// The upstreams that are listed.
    pub upstreams: Mutex<UpstreamList>,
    /// The upstreams of plain services as this instance sees them.
    pub service_tracker: Mutex<EngineTracker>,
    /// The engines as this instance sees them.
    pub engine_tracker: Mutex<EngineTracker>,
    /// Which requests crash upstreams.
    pub crashes: Arc<CrashTracker>,
    /// What this instance has counted of the requests of teams, if they are reported.
    pub meter: Option<Mutex<Meter>>,
    /// What entry instances have told this one of what they counted.
    pub snapshots: Mutex<SnapshotStore>,
    /// Rings when a place may have become free or an upstream has changed.
    pub capacity_changed: Notify,
    /// The instances that have entered, this one among them.
    pub members: Mutex<Arc<[Member]>>,
    /// Where this instance stands among them.
    tree_position: Mutex<TreePosition>,
    /// The instances that had entered some time ago, and when they were last seen.
    recent_members: Mutex<Map<Arc<str>, (Member, Millis)>>,
    /// Connections to other instances.
    pub peer_client: net::Client,
    /// What is known of the configuration and the list of upstreams, for others that follow.
    pub replica: Mutex<Replica>,
    /// Rings when the board has changed.
    pub replica_changed: watch::Sender<()>,
    /// The steps that this instance runs.
    pub running_steps: ShardedMap<Arc<str>, Arc<Work>>,
    /// The steps that this instance is taking over.
    pub takeovers: Mutex<Set<Arc<str>>>,
    /// What this instance has read of the results of other steps.
    pub result_caches: ShardedMap<Arc<str>, Arc<ResultCache>>,
    /// What steps that ended here have left over.
    pub leftovers: Mutex<Leftovers>,
    /// Who runs the steps that callers ask for here.
    pub hints: ShardedMap<Arc<str>, Hint>,
    /// Instances that get no steps from here until a time.
    avoided: Mutex<Map<Arc<str>, Millis>>,
    /// The instance that last made a call of the platform for this one.
    relay_peer: Mutex<Option<SocketAddr>>,
    leaving: AtomicBool,
    /// Whether the platform did not answer the last read for others.
    platform_unreachable: AtomicBool,
    /// Whether a keeper has heard of what this instance counts.
    keeper_confirmed: AtomicBool,
    /// When the instances that have entered were last heard of.
    members_updated: AtomicU64,
    own_entry: Mutex<Option<OwnEntry>>,
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
            .usage_reports
            .map(|accounts| Windows::new(accounts.window));
        let meter = windows.map(|windows| Mutex::new(Meter::new(windows, clock.steady())));
        Arc::new(Self {
            settings,
            clock,
            meter,
            snapshots: Mutex::default(),
            dialect,
            plat,
            http: net::Client::idle(IDLE_CONNECTION_TIMEOUT),
            me,
            config: ArcSwapOption::empty(),
            upstreams: Mutex::default(),
            service_tracker: Mutex::default(),
            engine_tracker: Mutex::default(),
            crashes: Arc::default(),
            capacity_changed: Notify::new(),
            members: Mutex::new(Arc::new([])),
            tree_position: Mutex::default(),
            recent_members: Mutex::default(),
            peer_client: net::Client::idle(IDLE_CONNECTION_TIMEOUT),
            replica: Mutex::default(),
            replica_changed: watch::Sender::default(),
            running_steps: ShardedMap::new(),
            takeovers: Mutex::default(),
            result_caches: ShardedMap::new(),
            leftovers: Mutex::default(),
            hints: ShardedMap::new(),
            avoided: Mutex::default(),
            relay_peer: Mutex::default(),
            leaving: AtomicBool::new(false),
            platform_unreachable: AtomicBool::new(false),
            keeper_confirmed: AtomicBool::new(false),
            members_updated: AtomicU64::new(0),
            own_entry: Mutex::default(),
        })
    }

    /// What the memory of a service's engines holds.
    pub fn engine_memory(&self, service: &str) -> EngineMemory {
        let plan = self.config.load();
        let service = plan.as_ref().and_then(|plan| plan.service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or_else(EngineMemory::default, |engine| EngineMemory {
            capacity_tokens: engine.memory_tokens,
            event_tokens: engine.event_tokens,
        })
    }

    /// Looks whether an upstream has crashed after the connection of a request broke there.
    pub(crate) async fn check_crash(self: &Arc<Self>, id: &str, mark: Identity, one: &Upstream) {
        let (app, start) = (self.clone(), one.id.clone());
        let left = move || {
            let roster = app.upstreams.lock();
            roster.get(&start).is_none_or(|one| one.leaving)
        };
        self.crashes
            .check_upstream(id, mark, &one.id, one.addr, left)
            .await;
    }

    /// Notes that this instance's own entry was written.
    pub fn set_own_entry(&self, entered: OwnEntry) {
        *self.own_entry.lock() = Some(entered);
    }

    /// This instance's own entry, once it has entered.
    pub fn own_entry(&self) -> Option<OwnEntry> {
        *self.own_entry.lock()
    }

    /// The time until which an instance gets no steps from here.
    pub fn avoided_until(&self, instance: &str) -> Millis {
        self.avoided.lock().get(instance).copied().unwrap_or(0)
    }

    /// Gives an instance no steps from here until a time.
    pub fn avoid(&self, instance: &Arc<str>, until: Millis) {
        self.avoided.lock().insert(instance.clone(), until);
    }

    /// The instance that last made a call of the platform for this one.
    pub fn relay_peer(&self) -> Option<SocketAddr> {
        *self.relay_peer.lock()
    }

    /// Notes the instance that made a call of the platform for this one, if there is one.
    pub fn set_relay_peer(&self, helper: Option<SocketAddr>) {
        *self.relay_peer.lock() = helper;
    }

    /// Notes whether the platform answers reads for others.
    pub fn set_platform_unreachable(&self, blind: bool) {
        self.platform_unreachable.store(blind, Ordering::Relaxed);
    }

    /// Tells whether the platform did not answer the last read for others.
    pub fn is_platform_unreachable(&self) -> bool {
        self.platform_unreachable.load(Ordering::Relaxed)
    }

    /// Changes what is known for others, and wakes those who wait for it.
    pub fn update_replica<R>(&self, change: impl FnOnce(&mut Replica) -> R) -> R {
        let done = change(&mut self.replica.lock());
        self.replica_changed.send_replace(());
        done
    }

    /// What this instance has of what others tell.
    pub fn sync_state(&self) -> SyncState {
        self.replica.lock().sync_state(self.clock.now())
    }

    /// Notes the instances that have entered.
    pub fn set_members(&self, members: impl Into<Arc<[Member]>>) {
        let members = members.into();
        let now = self.clock.now();
        let mut former = self.recent_members.lock();
        former.retain(|_, (_, seen)| now < *seen + RECENT_MEMBER_TTL);
        for one in &*members {
            former.insert(one.owner.instance.clone(), (one.clone(), now));
        }
        drop(former);
        *self.tree_position.lock() =
            tree::position(&members, &self.me.instance, &self.settings.domain);
        let before = std::mem::replace(&mut *self.members.lock(), members.clone());
        let Turnover { came, gone } = Turnover::between(&before, &members);
        if came + gone > 0 {
            log::info!(target: "member", instances = members.len(), came, gone; "instances known");
        }
        self.members_updated.store(now, Ordering::Relaxed);
    }

    /// Notes some of the instances that have entered, as long as nobody has told of all.
    pub fn set_partial_members(&self, some: Vec<Member>, me: &Member) {
        *self.tree_position.lock() = tree::partial_position(&some, me);
        *self.members.lock() = some.into();
        self.members_updated
            .store(self.clock.now(), Ordering::Relaxed);
    }

    /// Where this instance stands among those that have entered.
    pub fn tree_position(&self) -> TreePosition {
        self.tree_position.lock().clone()
    }

    /// Tells whether the entries of all were read at once, here or by whoever this instance follows.
    pub fn has_full_membership(&self) -> bool {
        self.replica.lock().membership().is_some()
    }

    /// The instances that have entered, and those whose entries are gone since a while. All entries lapse in a long
    /// outage of the platform, though those who wrote them live.
    pub fn recent_members(&self) -> Vec<Member> {
        let former = self.recent_members.lock();
        former.values().map(|(one, _)| one.clone()).collect()
    }

    /// When the instances that have entered were last heard of.
    pub fn members_updated_at(&self) -> Millis {
        self.members_updated.load(Ordering::Relaxed)
    }

    /// Begins to leave: nothing new is taken on.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Tells whether the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Notes that a keeper has heard of what this instance counts.
    pub fn confirm_keeper(&self) {
        self.keeper_confirmed.store(true, Ordering::Relaxed);
    }

    /// Tells whether a keeper knows of this instance, if one has to: what an instance counts that nobody knows is
    /// missing in its window. Callers do not wait for long when no keeper can be reached.
    fn is_keeper_confirmed(&self) -> bool {
        let known = self.meter.is_none() || self.keeper_confirmed.load(Ordering::Relaxed);
        known || self.clock.now() >= KEEPER_WAIT
    }

    /// Tells whether callers should come here: an instance without configuration could only turn
    /// them away.
    pub fn is_ready(&self) -> bool {
        let known = self.upstreams.lock().age(self.clock.now()).is_some();
        let able = known && self.config.load().is_some() && !access::is_failing_closed(self);
        able && self.is_keeper_confirmed() && !self.is_leaving()
    }
}
