//! The shared state of one instance.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use contract::Registry;
use contract::Revision;
use contract::registry::ActiveContract;
use contract::registry::ApplyResult;
use crash::CrashTracker;
use fleet::Member;
use fleet::MemberState;
use fleet::View;
use kernel::Map;
use kernel::Millis;
use kernel::Name;
use kernel::plugin::UnknownPlugin;
use net::Drain;
use net::Uploads;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;

use crate::Settings;
use crate::audit;
use crate::cache::WeightCache;
use crate::dispatcher::Dispatcher;
use crate::history::History;
use crate::journal::Journal;
use crate::limits::Limits;
use crate::meter;
use crate::steps::Steps;
use clock::Clock;

/// Memory that all messages of peers may take together, in bytes.
const MESSAGE_MEMORY: usize = 16 << 20;

/// The shared state of one instance: its settings, clients, queues and caches.
pub struct App {
    /// The settings that the instance was started with.
    pub settings: Settings,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// The contracts in force.
    pub contracts: RwLock<Registry>,
    /// The rate and concurrency limits of each contract.
    pub limits: Limits,
    /// The queue and upstreams of each model and service.
    pub dispatchers: Map<Name, Arc<Dispatcher>>,
    /// The HTTP client for upstreams and peers.
    pub http: net::Client,
    /// The bodies of requests, and a limit on their memory.
    pub uploads: Uploads,
    /// The messages of peers that are being received, and a limit on their memory.
    pub messages: Uploads,
    /// The client for the platform's key-value service.
    pub plat: plat::Client,
    /// The journal of non-idempotent requests.
    pub journal: Journal,
    /// The steps that this instance runs.
    pub steps: Steps,
    /// This instance's view of the membership.
    pub view: Mutex<View>,
    /// Begun when the instance stops accepting connections.
    pub drain: Drain,
    /// Set when the instance begins to leave, while it still accepts connections.
    pub leaving: AtomicBool,
    /// Notified when an operator requests a drain.
    pub drain_requested: Notify,
    /// The cache of weight versions; [`None`] if the settings name no folder for it.
    pub cache: Option<WeightCache>,
    /// Tracks which requests crash upstreams.
    pub crashes: Arc<CrashTracker>,
    /// The history of recent requests and upstreams.
    pub history: History,
    /// One more than the monotonic time, in milliseconds, at which the contracts were last confirmed as
    /// the newest; 0 if they never were.
    confirmed_at: AtomicU64,
}

impl App {
    /// Creates the state of an instance from its settings.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownPlugin`] if the settings name a policy that is not registered.
    pub fn new(settings: Settings) -> Result<Arc<Self>, UnknownPlugin> {
        let clock = Clock::default();
        let mut dispatchers = Map::default();
        for pool in &settings.pools {
            let dispatcher = Dispatcher::new(pool, &settings.me, &settings.upstreams, clock)?;
            dispatchers.insert(pool.name.clone(), Arc::new(dispatcher));
        }
        let view = initial_view(&settings, clock);
        let plat = plat::Client::new(settings.platform.clone());
        Ok(Arc::new(Self {
            journal: Journal::new(settings.journal, plat.clone(), clock),
            clock,
            contracts: RwLock::default(),
            limits: Limits::default(),
            dispatchers,
            http: net::Client::new().limit_bodies(settings.bounds.answer_memory),
            uploads: Uploads::new(settings.bounds.body_memory),
            messages: Uploads::new(MESSAGE_MEMORY),
            plat,
            steps: Steps::default(),
            view: Mutex::new(view),
            drain: Drain::default(),
            leaving: AtomicBool::new(false),
            drain_requested: Notify::new(),
            crashes: Arc::default(),
            history: History::default(),
            cache: settings
                .weights
                .folder
                .clone()
                .map(|folder| WeightCache::new(folder, &settings.weights.store)),
            confirmed_at: AtomicU64::new(0),
            settings,
        }))
    }

    /// Applies the contracts that are newer than those in force and returns their number.
    ///
    /// They are applied in the order of their revisions and under one lock: a peer requests the
    /// contracts above its newest revision, so an instance that holds a revision must also hold every
    /// lower one whenever another instance can read its registry.
    pub fn apply_contracts(&self, mut contracts: Vec<ActiveContract>, source: &str) -> usize {
        contracts.sort_by_key(|new| new.rev);
        let mut applied = 0;
        let mut registry = self.contracts.write();
        for new in contracts {
            let customer = new.stored.contract.customer.clone();
            let before = registry.by_name(&customer).map_or(0, |active| active.rev);
            let (rev, change) = (new.rev, new.stored.change.clone());
            if registry.apply(new) == ApplyResult::Stale {
                continue;
            }
            applied += 1;
            let before = format!("revision {before}");
            let message = format!("contract in force from {source}");
            let instance = &self.settings.me.name;
            audit::log_change(instance, &message, &customer, &before, &change, rev);
        }
        drop(registry);
        if applied > 0 {
            let instance = self.settings.me.name.to_string();
            let newest = self.newest_revision() as f64;
            metrics::gauge!(meter::CONTRACT_REVISION, "instance" => instance).set(newest);
        }
        applied
    }

    /// Returns the newest contract revision in force.
    pub fn newest_revision(&self) -> Revision {
        self.contracts.read().newest_revision()
    }

    /// Records that the contracts were confirmed as the newest `age` milliseconds ago.
    pub fn confirm_contracts(&self, age: Millis) {
        let confirmed_at = self.clock.now().saturating_sub(age) + 1;
        self.confirmed_at.fetch_max(confirmed_at, Ordering::Relaxed);
    }

    /// Returns the milliseconds since the contracts were last confirmed as the newest, or [`None`] if
    /// they never were.
    pub fn contracts_age(&self) -> Option<Millis> {
        let confirmed_at = self.confirmed_at.load(Ordering::Relaxed).checked_sub(1)?;
        Some(self.clock.now().saturating_sub(confirmed_at))
    }

    /// Returns whether this instance can serve calls: it is not draining, and it holds contracts
    /// or a confirmation that there are none.
    pub fn is_ready(&self) -> bool {
        !self.drain.is_begun() && (self.contracts_age().is_some() || self.newest_revision() > 0)
    }
}

/// Creates the view of an instance with the peers from its settings.
fn initial_view(settings: &Settings, clock: Clock) -> View {
    let me = Member {
        name: settings.me.name.clone(),
        domain: settings.me.domain.clone(),
        addr: settings.me.address,
        // The start time is higher than the incarnation of any earlier run of this instance.
        incarnation: clock.wall(),
        state: MemberState::Alive,
    };
    let mut view = View::new(me, clock.now());
    for peer in &settings.peers {
        let member = Member {
            name: peer.name.clone(),
            domain: peer.domain.clone(),
            addr: peer.address,
            incarnation: 0,
            state: MemberState::Alive,
        };
        view.add_member(member, clock.now());
    }
    view
}
