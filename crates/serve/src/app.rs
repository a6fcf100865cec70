//! Everything that one instance holds.

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
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;

use crate::Settings;
use crate::audit;
use crate::cache::Cache;
use crate::dispatcher::Dispatcher;
use crate::history::History;
use crate::journal::Journal;
use crate::limits::Limits;
use crate::meter;
use crate::steps::Steps;
use clock::Clock;

/// Everything that one instance holds.
pub struct App {
    /// What it was told.
    pub settings: Settings,
    /// Its clocks.
    pub clock: Clock,
    /// The contracts in force.
    pub contracts: RwLock<Registry>,
    /// The limits of each contract.
    pub limits: Limits,
    /// The queue and upstreams of each model and service.
    pub dispatchers: Map<Name, Arc<Dispatcher>>,
    /// Towards upstreams and peers.
    pub http: net::Client,
    /// Towards the platform.
    pub plat: plat::Client,
    /// Non-idempotent requests.
    pub journal: Journal,
    /// Steps that it works on.
    pub steps: Steps,
    /// The fleet as it sees it.
    pub view: Mutex<View>,
    /// Whether it is leaving.
    pub drain: Drain,
    /// Set as soon as it begins to leave, before it stops accepting.
    pub leaving: AtomicBool,
    /// An operator told it to leave.
    pub leave: Notify,
    /// Weight versions, on an instance that has a disk.
    pub cache: Option<Cache>,
    /// Which requests crash upstreams.
    pub crashes: Arc<CrashTracker>,
    /// What happened lately.
    pub history: History,
    /// One more than the monotonic time at which the contracts were last known to be the newest;
    /// 0 for never.
    known: AtomicU64,
}

impl App {
    /// Makes an instance out of its settings.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownPlugin`] when the settings name a policy that is not there.
    pub fn new(settings: Settings) -> Result<Arc<Self>, UnknownPlugin> {
        let clock = Clock::default();
        let mut dispatchers = Map::default();
        for pool in &settings.pools {
            let dispatcher = Dispatcher::new(pool, &settings.me, &settings.upstreams, clock)?;
            dispatchers.insert(pool.name.clone(), Arc::new(dispatcher));
        }
        let view = view(&settings, clock);
        let plat = plat::Client::new(settings.platform.clone());
        Ok(Arc::new(Self {
            journal: Journal::new(settings.journal, plat.clone(), clock),
            clock,
            contracts: RwLock::default(),
            limits: Limits::default(),
            dispatchers,
            http: net::Client::new(),
            plat,
            steps: Steps::default(),
            view: Mutex::new(view),
            drain: Drain::default(),
            leaving: AtomicBool::new(false),
            leave: Notify::new(),
            crashes: Arc::default(),
            history: History::default(),
            cache: settings
                .weights
                .folder
                .clone()
                .map(|folder| Cache::new(folder, &settings.weights.store)),
            known: AtomicU64::new(0),
            settings,
        }))
    }

    /// Puts contracts in force where they are newer; tells how many were.
    ///
    /// They go in by revision and under one lock: peers ask by the newest revision that they hold,
    /// so whoever holds one must hold all below it, at every moment at which it can be asked.
    pub fn offer(&self, mut contracts: Vec<ActiveContract>, source: &str) -> usize {
        contracts.sort_by_key(|new| new.rev);
        let mut applied = 0;
        let mut registry = self.contracts.write();
        for new in contracts {
            let customer = new.stored.contract.customer.clone();
            let before = registry.by_name(&customer).map_or(0, |held| held.rev);
            let (rev, change) = (new.rev, new.stored.change.clone());
            if registry.apply(new) == ApplyResult::Stale {
                continue;
            }
            applied += 1;
            let before = format!("revision {before}");
            let what = format!("contract in force from {source}");
            let instance = &self.settings.me.name;
            audit::log_change(instance, &what, &customer, &before, &change, rev);
        }
        drop(registry);
        if applied > 0 {
            let instance = self.settings.me.name.to_string();
            let newest = self.newest_revision() as f64;
            metrics::gauge!(meter::REVISION, "instance" => instance).set(newest);
        }
        applied
    }

    /// The newest contract revision in force.
    pub fn newest_revision(&self) -> Revision {
        self.contracts.read().newest_revision()
    }

    /// Notes that the contracts were the newest `age` milliseconds ago.
    pub fn confirm(&self, age: Millis) {
        let at = self.clock.now().saturating_sub(age) + 1;
        self.known.fetch_max(at, Ordering::Relaxed);
    }

    /// Milliseconds since the contracts were known to be the newest, if they ever were.
    pub fn known(&self) -> Option<Millis> {
        let at = self.known.load(Ordering::Relaxed).checked_sub(1)?;
        Some(self.clock.now().saturating_sub(at))
    }

    /// Tells whether this instance takes calls: it is not leaving, and knows contracts.
    pub fn is_ready(&self) -> bool {
        !self.drain.is_begun() && (self.known().is_some() || self.newest_revision() > 0)
    }
}

fn view(settings: &Settings, clock: Clock) -> View {
    let me = Member {
        name: settings.me.name.clone(),
        domain: settings.me.domain.clone(),
        addr: settings.me.address,
        // The time of the start tells this life from a former one.
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
