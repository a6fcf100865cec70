//! Which engine is ordered to load what, and when.

use std::collections::BTreeMap;

use kernel::Millis;
use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Version;

/// Time after which an engine that has not done what it was ordered is ordered again.
const PATIENCE: Millis = 4_000;

/// Pause between two orders that are meant to bring a quarantined engine back.
const REPAIR: Millis = 5_000;

/// Weights of an engine, as it reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightState {
    /// The versions that it may use for the next token: one, unless a swap failed partway.
    pub versions: Vec<Version>,
    /// The version that it is loading.
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
    /// It states several versions, or none: a swap failed partway.
    Mixed,
    /// It states a version below one that it stated before, and nobody here ordered that.
    WentBack,
    /// It states a version that was never announced.
    Unannounced,
}

/// An action of a plan that its holder has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Order the engine to load this version.
    Order {
        /// The engine.
        engine: Name,
        /// The version.
        version: Version,
    },
    /// Send the engine no more work until it states one version.
    Quarantine {
        /// The engine.
        engine: Name,
        /// What it did.
        reason: QuarantineReason,
    },
    /// The engine states one version again; it may work.
    Release {
        /// The engine.
        engine: Name,
    },
}

#[derive(Clone, Debug, Default)]
struct Engine {
    stated: Option<Version>,
    loading: Option<Version>,
    ordered: Option<(Version, Millis)>,
    quarantined: bool,
}

/// The state of one model in one failure domain.
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
    due: Vec<Action>,
}

impl Plan {
    /// Makes a plan that swaps at most `width` engines at the same time.
    ///
    /// A wide wave makes new weights general soon; a narrow one keeps more engines at work.
    pub fn new(width: usize) -> Self {
        Self {
            width: width.max(1),
            target: 0,
            engines: BTreeMap::new(),
            due: Vec::new(),
        }
    }

    /// Sets how many engines may load at the same time.
    pub fn set_width(&mut self, width: usize) {
        self.width = width.max(1);
    }

    /// Notes an announced version; an older one than the newest changes nothing.
    pub fn announce(&mut self, version: Version) {
        self.target = self.target.max(version);
    }

    /// The newest announced version.
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
            Some(v) if engine.stated.is_some_and(|before| v < before) => {
                Some(QuarantineReason::WentBack)
            }
            Some(_) => None,
        };
        match fault {
            Some(reason) => Self::quarantine(&mut self.due, name, engine, reason, now),
            None => Self::release(&mut self.due, name, engine, state.single_version()),
        }
    }

    fn quarantine(
        due: &mut Vec<Action>,
        name: &Name,
        engine: &mut Engine,
        reason: QuarantineReason,
        now: Millis,
    ) {
        if engine.quarantined {
            return;
        }
        engine.quarantined = true;
        // The repair is ordered after a pause, so that an engine that fails each time is not kept
        // loading without end.
        engine.ordered = Some((0, now));
        let engine = name.clone();
        due.push(Action::Quarantine { engine, reason });
    }

    fn release(due: &mut Vec<Action>, name: &Name, engine: &mut Engine, version: Option<Version>) {
        engine.stated = version;
        if engine.ordered.is_some_and(|(v, _)| Some(v) == version) {
            engine.ordered = None;
        }
        if engine.quarantined {
            engine.quarantined = false;
            let engine = name.clone();
            due.push(Action::Release { engine });
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
        let mut acts = std::mem::take(&mut self.due);
        let mut busy = self.busy(now);
        for (name, engine) in &mut self.engines {
            if busy >= self.width {
                break;
            }
            if !wants(engine, self.target, now) {
                continue;
            }
            engine.ordered = Some((self.target, now));
            busy += 1;
            acts.push(Action::Order {
                engine: name.clone(),
                version: self.target,
            });
        }
        acts
    }

    /// Engines that are at an order now.
    fn busy(&self, now: Millis) -> usize {
        let at_it = |engine: &&Engine| {
            let waits = engine.ordered.is_some_and(|(_, at)| now < at + PATIENCE);
            !engine.quarantined && waits
        };
        self.engines.values().filter(at_it).count()
    }

    /// Tells whether every engine that is known states the newest version.
    pub fn is_settled(&self) -> bool {
        self.engines
            .values()
            .all(|e| !e.quarantined && e.stated == Some(self.target))
    }

    /// Engines that are quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = &Name> {
        let out = self.engines.iter().filter(|(_, engine)| engine.quarantined);
        out.map(|(name, _)| name)
    }
}

/// Tells whether an engine is to be ordered to load `target` now.
fn wants(engine: &Engine, target: Version, now: Millis) -> bool {
    let pause = if engine.quarantined { REPAIR } else { PATIENCE };
    let waits = engine
        .ordered
        .is_some_and(|(version, at)| now < at + pause && (version == target || version == 0));
    if target == 0 || waits || engine.loading == Some(target) {
        return false;
    }
    // Never an older version than the engine has: an order can only lead forward.
    engine.quarantined || engine.stated.is_some_and(|stated| stated < target)
}
