//! State shared by all parts of an instance.

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
use crash::Subject;
use kernel::Map;
use kernel::Millis;
use kernel::Set;
use kernel::ShardedMap;
use net::Uploads;
use parking_lot::Mutex;
use place::EngineMemory;
use place::EngineTracker;
use place::SlotShares;
use place::TeamShares;
use plat::Client;
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
use crate::call_queue::CallQueues;
use crate::hint::Hint;
use crate::member::OwnEntry;
use crate::overload;
use crate::overload::Overload;
use crate::owner::OwnedStep;
use crate::replication::ConfirmationState;
use crate::replication::Demand;
use crate::resources;
use crate::result_cache::ResultCache;
use crate::service_attempts::AttemptTable;
use crate::slot_reports::Receivers;
use crate::step_copies::StepCopies;
use crate::sync_status::SyncStatus;

/// Time for which an idle connection to an upstream is kept open. Reusing it saves the upstream from opening a new
/// connection, which may occupy a slot there.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the start from which an instance is ready even if no keeper has received its request counts, in
/// milliseconds: long enough for several attempts.
const KEEPER_WAIT: Millis = 1_500;

/// Time for which an instance is kept in [`App::recent_members`] after its entry is gone, in milliseconds: longer
/// than an outage in which entries expire plus the seconds until they are back.
const RECENT_MEMBER_TTL: Millis = 60_000;

/// State shared by all parts of an instance.
pub struct App {
    /// The settings of this instance.
    pub settings: Settings,
    /// Monotonic and wall clocks.
    pub clock: Clock,
    /// The translation between the platform's messages and the types of this crate.
    pub dialect: Arc<dyn Dialect>,
    /// Client of the platform's store.
    pub plat: Client,
    /// HTTP client for upstreams.
    pub http: net::Client,
    /// The bodies of callers' requests, and a limit on their memory.
    pub(crate) uploads: Uploads,
    /// The messages of other instances that are being received, and a limit on their memory.
    pub(crate) messages: Uploads,
    /// Limits the memory for copies of steps that are being stored.
    pub(crate) step_copies: StepCopies,
    /// Name and start time of this process.
    pub me: Owner,
    /// The configuration in force, once one is known.
    pub config: ArcSwapOption<Config>,
    /// The listed upstreams.
    pub upstreams: Mutex<UpstreamList>,
    /// Load and failures of the upstreams of plain services, as observed by this instance.
    pub service_tracker: Mutex<EngineTracker>,
    /// The attempts at each service.
    pub(crate) attempts: AttemptTable,
    /// The calls that wait for each service.
    pub(crate) call_queues: CallQueues,
    /// Shares of teams in the requests to each service.
    pub team_shares: Mutex<Map<Arc<str>, TeamShares>>,
    /// Load, versions and failures of the engines, as observed by this instance.
    pub engine_tracker: Mutex<EngineTracker>,
    /// The instances to which this one reports its runs and waiting samples.
    pub slot_receivers: Mutex<Receivers>,
    /// Tracks which requests crash upstreams.
    pub crashes: Arc<CrashTracker>,
    /// Request counts of teams at this instance, if they are reported.
    pub meter: Option<Mutex<Meter>>,
    /// Request counts received from entry instances.
    pub snapshots: Mutex<SnapshotStore>,
    /// Notified when a slot may have become free or an upstream has changed.
    pub capacity_changed: Notify,
    /// The instances that have an entry at the platform, including this one.
    pub members: Mutex<Arc<[Member]>>,
    /// Position of this instance in the distribution tree.
    tree_position: Mutex<TreePosition>,
    /// Instances that had an entry recently, with the time at which each was last listed.
    recent_members: Mutex<Map<Arc<str>, (Member, Millis)>>,
    /// HTTP client for other instances.
    pub peer_client: net::Client,
    /// Replica of the configuration and the list of upstreams, which other instances poll.
    pub replica: Mutex<Replica>,
    /// Notified when the replica has changed.
    pub replica_changed: watch::Sender<()>,
    /// The confirmations of the configuration.
    pub(crate) confirmation: ConfirmationState,
    /// Whether this instance needs the replica, if it is a control instance.
    pub(crate) demand: Demand,
    /// Revision of the configuration that was last put in force.
    pub(crate) applied_config: Mutex<i64>,
    /// What the synchronisation of the configuration is doing.
    pub(crate) sync_status: Mutex<SyncStatus>,
    /// The steps that this instance runs, by name.
    pub running_steps: ShardedMap<Arc<str>, Arc<OwnedStep>>,
    /// The steps that this instance is taking over.
    pub takeovers: Mutex<Set<Arc<str>>>,
    /// Cached results of steps that other instances run.
    pub result_caches: ShardedMap<Arc<str>, Arc<ResultCache>>,
    /// Partial samples left over by steps that ended at this instance.
    pub leftovers: Mutex<Leftovers>,
    /// Which instances run the steps that callers ask for here.
    pub hints: ShardedMap<Arc<str>, Hint>,
    /// Instances to which no steps are handed over, each with the time until which that holds.
    avoided: Mutex<Map<Arc<str>, Millis>>,
    /// State of the shedding of calls at this instance.
    pub(crate) overload: Overload,
    /// The instance that last relayed a platform call for this one.
    relay_peer: Mutex<Option<SocketAddr>>,
    leaving: AtomicBool,
    /// Whether the platform did not answer the last read of configuration and upstreams.
    platform_unreachable: AtomicBool,
    /// Whether a keeper has received this instance's request counts.
    keeper_confirmed: AtomicBool,
    /// When the list of members was last updated.
    members_updated: AtomicU64,
    own_entry: Mutex<Option<OwnEntry>>,
}

impl App {
    /// Creates the state of an instance that has just started and has read nothing yet.
    pub fn new(settings: Settings, dialect: Arc<dyn Dialect>, plat: Client) -> Arc<Self> {
        let clock = Clock::default();
        let me = Owner {
            instance: settings.name.clone(),
            // Two starts of one instance never fall into the same millisecond.
            start: clock.wall(),
        };
        let windows = settings
            .usage_reports
            .map(|reports| Windows::new(reports.window));
        let meter = windows.map(|windows| Mutex::new(Meter::new(windows, clock.steady())));
        let mut engine_tracker = EngineTracker::default();
        if settings.placement.share_slots {
            engine_tracker.share_slots(SlotShares::new(me.instance.clone(), me.start));
        }
        let overload = Overload::new(settings.max_delay);
        let confirmation = ConfirmationState::new(&settings.name, settings.apply_limit);
        let answer_bytes = resources::answer_bytes(&settings);
        let uploads = Uploads::new(resources::upload_bytes(&settings));
        let messages = Uploads::new(resources::message_bytes(&settings));
        let step_copies = StepCopies::new(resources::step_copy_bytes(&settings));
        let attempts = AttemptTable::new(settings.attempts);
        Arc::new(Self {
            settings,
            uploads,
            messages,
            step_copies,
            attempts,
            overload,
            clock,
            meter,
            snapshots: Mutex::default(),
            dialect,
            plat,
            http: net::Client::with_idle_timeout(IDLE_CONNECTION_TIMEOUT)
                .limit_bodies(answer_bytes),
            me,
            config: ArcSwapOption::empty(),
            upstreams: Mutex::default(),
            service_tracker: Mutex::default(),
            call_queues: CallQueues::default(),
            team_shares: Mutex::default(),
            engine_tracker: Mutex::new(engine_tracker),
            slot_receivers: Mutex::default(),
            crashes: Arc::default(),
            capacity_changed: Notify::new(),
            members: Mutex::new(Arc::new([])),
            tree_position: Mutex::default(),
            recent_members: Mutex::default(),
            peer_client: net::Client::with_idle_timeout(IDLE_CONNECTION_TIMEOUT),
            replica: Mutex::default(),
            replica_changed: watch::Sender::default(),
            confirmation,
            demand: Demand::default(),
            applied_config: Mutex::default(),
            sync_status: Mutex::default(),
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

    /// Returns the memory parameters of a service's engines.
    pub fn engine_memory(&self, service: &str) -> EngineMemory {
        let config = self.config.load();
        let service = config.as_ref().and_then(|config| config.service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or_else(EngineMemory::default, |engine| EngineMemory {
            capacity_tokens: engine.memory_tokens,
            event_tokens: engine.event_tokens,
        })
    }

    /// Checks whether an upstream has crashed, after the connection of a request to it broke.
    pub(crate) async fn check_crash(
        self: &Arc<Self>,
        id: &str,
        subject: Subject,
        upstream: &Upstream,
    ) {
        let (app, incarnation) = (self.clone(), upstream.id.clone());
        let has_left = move || {
            let upstreams = app.upstreams.lock();
            upstreams
                .get(&incarnation)
                .is_none_or(|upstream| upstream.leaving)
        };
        self.crashes
            .check_upstream(id, subject, &upstream.id, upstream.addr, has_left)
            .await;
    }

    /// Records this instance's entry after it was written.
    pub fn set_own_entry(&self, entry: OwnEntry) {
        *self.own_entry.lock() = Some(entry);
    }

    /// Returns this instance's entry, once it has been written.
    pub fn own_entry(&self) -> Option<OwnEntry> {
        *self.own_entry.lock()
    }

    /// Returns the time until which no steps are handed over to an instance; 0 if there is none.
    pub fn avoided_until(&self, instance: &str) -> Millis {
        self.avoided.lock().get(instance).copied().unwrap_or(0)
    }

    /// Hands no steps over to an instance until the given time.
    pub fn avoid(&self, instance: &Arc<str>, until: Millis) {
        self.avoided.lock().insert(instance.clone(), until);
    }

    /// Returns the instance that last relayed a platform call for this one.
    pub fn relay_peer(&self) -> Option<SocketAddr> {
        *self.relay_peer.lock()
    }

    /// Sets or clears the instance that last relayed a platform call for this one.
    pub fn set_relay_peer(&self, peer: Option<SocketAddr>) {
        *self.relay_peer.lock() = peer;
    }

    /// Records whether the platform answered the last read of configuration and upstreams.
    pub fn set_platform_unreachable(&self, unreachable: bool) {
        self.platform_unreachable
            .store(unreachable, Ordering::Relaxed);
    }

    /// Returns whether the platform did not answer the last read of configuration and upstreams.
    pub fn is_platform_unreachable(&self) -> bool {
        self.platform_unreachable.load(Ordering::Relaxed)
    }

    /// Changes the replica and notifies the requests that wait for an update.
    pub fn update_replica<R>(&self, change: impl FnOnce(&mut Replica) -> R) -> R {
        let result = change(&mut self.replica.lock());
        self.replica_changed.send_replace(());
        result
    }

    /// Returns the state of the replica, which a poll sends to a source.
    pub fn sync_state(&self) -> SyncState {
        self.replica.lock().sync_state(self.clock.now())
    }

    /// Replaces the complete list of members.
    pub fn set_members(&self, members: impl Into<Arc<[Member]>>) {
        let members = members.into();
        let now = self.clock.now();
        let mut recent = self.recent_members.lock();
        recent.retain(|_, (_, seen)| now < *seen + RECENT_MEMBER_TTL);
        for member in &*members {
            recent.insert(member.owner.instance.clone(), (member.clone(), now));
        }
        drop(recent);
        *self.tree_position.lock() =
            tree::position(&members, &self.me.instance, &self.settings.domain);
        let previous = std::mem::replace(&mut *self.members.lock(), members.clone());
        let Turnover { came, gone } = Turnover::between(&previous, &members);
        if came + gone > 0 {
            log::info!(target: "member", instances = members.len(), came, gone; "membership changed");
        }
        self.members_updated.store(now, Ordering::Relaxed);
    }

    /// Replaces the list of members by a partial one, read while no complete list is known.
    pub fn set_partial_members(&self, members: Vec<Member>, me: &Member) {
        *self.tree_position.lock() = tree::partial_position(&members, me);
        *self.members.lock() = members.into();
        self.members_updated
            .store(self.clock.now(), Ordering::Relaxed);
    }

    /// Returns this instance's position in the distribution tree.
    pub fn tree_position(&self) -> TreePosition {
        self.tree_position.lock().clone()
    }

    /// Returns whether the replica holds the complete list of members, read here or by a source.
    pub fn has_full_membership(&self) -> bool {
        self.replica.lock().membership().is_some()
    }

    /// Returns the current members and those whose entries disappeared recently. All entries expire in a long outage
    /// of the platform, though the instances that wrote them are alive.
    pub fn recent_members(&self) -> Vec<Member> {
        let recent = self.recent_members.lock();
        recent.values().map(|(member, _)| member.clone()).collect()
    }

    /// Returns when the list of members was last updated.
    pub fn members_updated_at(&self) -> Millis {
        self.members_updated.load(Ordering::Relaxed)
    }

    /// Starts to leave: no new work is accepted from here on.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Records that a keeper has received this instance's request counts.
    pub fn confirm_keeper(&self) {
        self.keeper_confirmed.store(true, Ordering::Relaxed);
    }

    /// Returns whether a keeper has received this instance's request counts, if they are reported: counts that no
    /// keeper has received are missing from the report of their window. Readiness waits for this only a short time
    /// when no keeper can be reached.
    fn is_keeper_confirmed(&self) -> bool {
        let is_confirmed = self.meter.is_none() || self.keeper_confirmed.load(Ordering::Relaxed);
        is_confirmed || self.clock.now() >= KEEPER_WAIT
    }

    /// Returns whether callers should send requests here. An instance without a configuration could only refuse
    /// them.
    pub fn is_ready(&self) -> bool {
        let has_upstreams = self.upstreams.lock().age(self.clock.now()).is_some();
        let can_serve =
            has_upstreams && self.config.load().is_some() && !access::is_failing_closed(self);
        let can_serve = can_serve && self.is_keeper_confirmed() && !self.is_leaving();
        can_serve && !overload::is_unready(self)
    }
}
