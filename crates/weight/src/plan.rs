//! Load orders for the engines of one model in one failure domain.

use std::collections::BTreeMap;

use kernel::Millis;
use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Version;

/// Time in milliseconds after which an order that an engine has not carried out is sent again.
const ORDER_TIMEOUT_MS: Millis = 4_000;

/// Interval in milliseconds between orders that are meant to repair a quarantined engine.
const REPAIR_INTERVAL_MS: Millis = 5_000;

/// Weights of an engine, as it reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightState {
    /// Versions that it may use for the next token: one, unless a load failed partway.
    pub versions: Vec<Version>,
    /// Version that it is loading.
    pub loading: Option<Version>,
}

impl WeightState {
    /// Returns the version if the engine holds exactly one.
    pub fn single_version(&self) -> Option<Version> {
        match self.versions.as_slice() {
            [version] => Some(*version),
            _ => None,
        }
    }
}

/// Why an engine is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum QuarantineReason {
    /// It reports several versions or none: a load failed partway.
    Mixed,
    /// It reports an older version than before, which no order of this plan asked for.
    WentBack,
    /// It reports a version that was never announced.
    Unannounced,
}

/// An action of a plan that its holder has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Order the engine to load this version.
    Order {
        /// Engine to send the order to.
        engine: Name,
        /// Version to load.
        version: Version,
    },
    /// Send the engine no more requests until it reports exactly one valid version.
    Quarantine {
        /// Engine to quarantine.
        engine: Name,
        /// Which fault its report shows.
        reason: QuarantineReason,
    },
    /// Send the engine requests again, since it reports one valid version.
    Release {
        /// Engine to release.
        engine: Name,
    },
}

#[derive(Clone, Debug, Default)]
struct Engine {
    version: Option<Version>,
    loading: Option<Version>,
    ordered: Option<(Version, Millis)>,
    quarantined: bool,
}

/// Rollout of the versions of one model to its engines in one failure domain.
///
/// # Examples
///
/// ```
/// use weight::{Action, Plan, WeightState};
///
/// let mut plan = Plan::new(1);
/// let engine: kernel::Name = "engine-1".parse()?;
/// plan.announce(2);
/// plan.record_state(&engine, &WeightState { versions: vec![1], loading: None }, 0);
/// assert_eq!(plan.next_actions(0), [Action::Order { engine, version: 2 }]);
/// # Ok::<(), kernel::NameError>(())
/// ```
#[derive(Debug)]
pub struct Plan {
    width: usize,
    target: Version,
    engines: BTreeMap<Name, Engine>,
    pending: Vec<Action>,
}

impl Plan {
    /// Creates a plan in which at most `width` engines load at the same time.
    ///
    /// A wide wave brings new weights to all engines sooner; a narrow one keeps more engines serving.
    pub fn new(width: usize) -> Self {
        Self {
            width: width.max(1),
            target: 0,
            engines: BTreeMap::new(),
            pending: Vec::new(),
        }
    }

    /// Sets how many engines may load at the same time.
    pub fn set_width(&mut self, width: usize) {
        self.width = width.max(1);
    }

    /// Records an announced version. One older than the newest is ignored.
    pub fn announce(&mut self, version: Version) {
        self.target = self.target.max(version);
    }

    /// Returns the newest announced version; 0 before the first.
    pub fn target(&self) -> Version {
        self.target
    }

    /// Records the weights that an engine reports, and quarantines or releases it by them.
    pub fn record_state(&mut self, name: &Name, state: &WeightState, now: Millis) {
        let target = self.target;
        let engine = self.engines.entry(name.clone()).or_default();
        engine.loading = state.loading;
        let fault = match state.single_version() {
            None => Some(QuarantineReason::Mixed),
            Some(v) if v > target => Some(QuarantineReason::Unannounced),
            Some(v) if engine.version.is_some_and(|before| v < before) => {
                Some(QuarantineReason::WentBack)
            }
            Some(_) => None,
        };
        match fault {
            Some(reason) => Self::quarantine(&mut self.pending, name, engine, reason, now),
            None => Self::release(&mut self.pending, name, engine, state.single_version()),
        }
    }

    fn quarantine(
        pending: &mut Vec<Action>,
        name: &Name,
        engine: &mut Engine,
        reason: QuarantineReason,
        now: Millis,
    ) {
        if engine.quarantined {
            return;
        }
        engine.quarantined = true;
        // The first repair is ordered only after an interval, so that an engine whose loads always fail
        // does not load all the time.
        engine.ordered = Some((0, now));
        let engine = name.clone();
        pending.push(Action::Quarantine { engine, reason });
    }

    fn release(
        pending: &mut Vec<Action>,
        name: &Name,
        engine: &mut Engine,
        version: Option<Version>,
    ) {
        engine.version = version;
        if engine.ordered.is_some_and(|(v, _)| Some(v) == version) {
            engine.ordered = None;
        }
        if engine.quarantined {
            engine.quarantined = false;
            let engine = name.clone();
            pending.push(Action::Release { engine });
        }
    }

    /// Removes an engine that does not respond, since what it loads is no longer known.
    pub fn remove_engine(&mut self, name: &str) {
        // Its reported version is dropped as well: a restarted engine may start with an older one,
        // whereas a running engine must not go back to one.
        self.engines.remove(name);
    }

    /// Returns the actions to carry out now.
    pub fn next_actions(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending);
        let mut loading = self.loading_count(now);
        for (name, engine) in &mut self.engines {
            if loading >= self.width {
                break;
            }
            if !needs_order(engine, self.target, now) {
                continue;
            }
            engine.ordered = Some((self.target, now));
            loading += 1;
            actions.push(Action::Order {
                engine: name.clone(),
                version: self.target,
            });
        }
        actions
    }

    /// Returns how many engines are carrying out an order at `now`.
    fn loading_count(&self, now: Millis) -> usize {
        let is_loading = |engine: &&Engine| {
            let is_pending = engine
                .ordered
                .is_some_and(|(_, at)| now < at + ORDER_TIMEOUT_MS);
            !engine.quarantined && is_pending
        };
        self.engines.values().filter(is_loading).count()
    }

    /// Returns whether every known engine reports the newest version.
    pub fn is_settled(&self) -> bool {
        self.engines
            .values()
            .all(|e| !e.quarantined && e.version == Some(self.target))
    }

    /// Returns the names of the quarantined engines.
    pub fn quarantined(&self) -> impl Iterator<Item = &Name> {
        let quarantined = self.engines.iter().filter(|(_, engine)| engine.quarantined);
        quarantined.map(|(name, _)| name)
    }
}

/// Returns whether an engine must be ordered to load `target` now.
fn needs_order(engine: &Engine, target: Version, now: Millis) -> bool {
    let interval = if engine.quarantined {
        REPAIR_INTERVAL_MS
    } else {
        ORDER_TIMEOUT_MS
    };
    let is_pending = engine
        .ordered
        .is_some_and(|(version, at)| now < at + interval && (version == target || version == 0));
    if target == 0 || is_pending || engine.loading == Some(target) {
        return false;
    }
    // An order never asks for an older version than the engine holds.
    engine.quarantined || engine.version.is_some_and(|version| version < target)
}
