//! Loads of weights at one engine.
//!
//! Load pattern: weights of several models are loaded every few seconds, each at the moment at which a step begins.
//! An engine that loads a model rejects runs of it and continues with other models. Without this knowledge, an owner
//! sends as many samples as the engine has slots, and after the rejections leaves the engine to no model at all.
//!
//! What is known comes from the leader's notices or, if one was lost, from rejections. It expires with time.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;

use crate::Load;

/// Maximum duration of a load in a notice, in milliseconds. Loads take about one second; a longer time is a fault of
/// the sender, and would keep an engine's slots free.
const MAX_LOAD_TIME: Millis = 10_000;

/// Time after a first rejection for which an engine gets no run of the model, in milliseconds. It doubles with each
/// further rejection.
const BASE_BACKOFF: Millis = 150;

/// Maximum number of times that the backoff doubles, which limits it to 600 ms: two thirds of an ordinary load.
const MAX_DOUBLINGS: u32 = 2;

/// Time after which a run that tries an engine no longer keeps others from being sent, in milliseconds. An answer
/// that starts later than 500 ms counts as missing.
const TRIAL_TIMEOUT: Millis = 600;

/// Time after the end of an avoidance for which it is remembered, in milliseconds: several times the longest backoff.
const RETENTION: Millis = 2_000;

/// Time for which an engine's report that it executes no order may be older than its load, in milliseconds: engines
/// report some hundred milliseconds late.
const REPORT_LAG: Millis = 300;

/// Notice of the leader that an engine has accepted an order to load weights.
///
/// # Examples
///
/// ```
/// use place::LoadNotice;
///
/// let notice = LoadNotice { model: "m".into(), version: 7, duration: 900 };
/// assert!(notice.is_valid());
/// assert!(!LoadNotice { duration: 60_000, ..notice }.is_valid());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadNotice {
    /// The model.
    pub model: Arc<str>,
    /// The version of the weights that are loaded.
    pub version: u64,
    /// Time until the load ends, in milliseconds.
    pub duration: Millis,
}

impl LoadNotice {
    /// Returns whether its values are in range.
    pub fn is_valid(&self) -> bool {
        (1..=MAX_LOAD_TIME).contains(&self.duration)
    }
}

/// What an engine's rejection of a run means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The engine is full, or has not reported its load: it accepts no run of any model.
    Full,
    /// The engine loads the model. It is avoided for this model from now on, for this many milliseconds.
    Loading(Millis),
    /// The engine loads the model, which was known when the rejection arrived.
    KnownLoading,
}

/// Returns whether an engine with this load has a free slot.
pub(crate) fn has_free_slot(load: Load, slots: u32) -> bool {
    load.running.saturating_add(load.waiting) < slots
}

/// A load of one model.
#[derive(Clone, Debug)]
struct ModelLoad {
    since: Millis,
    /// Until when no run of the model is sent. After that, one run tries the engine before more follow.
    until: Millis,
    /// The lowest version that shows that the load has ended.
    target: u64,
    /// Number of successive rejections; 0 if only a notice is known.
    rejections: u32,
    /// When the run that tries the engine was started.
    trial: Option<Millis>,
    /// Whether the engine has reported that it executes an order.
    reported_busy: bool,
}

impl ModelLoad {
    /// Returns whether this still matters for an engine with this version of the model.
    ///
    /// After a rejection, a newer version may be that of an earlier load, since the list of upstreams is a second or
    /// two old: the engine is tried first. A notice names the version, so that version shows the end of the load.
    fn is_current(&self, version: Option<u64>, now: Millis) -> bool {
        let has_ended = self.rejections == 0 && version >= Some(self.target);
        !has_ended && now < self.until + RETENTION
    }

    fn is_avoided(&self, version: Option<u64>, now: Millis) -> bool {
        now < self.until && version < Some(self.target)
    }

    fn is_being_tried(&self, now: Millis) -> bool {
        self.trial.is_some_and(|at| now < at + TRIAL_TIMEOUT)
    }

    /// Returns whether a run was sent to try the engine. Runs that were started earlier were sent before the load was
    /// known, and their answers tell nothing about it.
    fn is_trial(&self, started: Millis) -> bool {
        self.trial.is_some_and(|at| started >= at)
    }
}

/// The loads at one engine, by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    by_model: Map<Arc<str>, ModelLoad>,
}

/// In all methods but `version_reported`, `version` is the newest known version of the model at the engine.
impl Loads {
    /// Records a notice; returns false if the engine has the version already.
    pub(crate) fn notified(
        &mut self,
        notice: &LoadNotice,
        version: Option<u64>,
        now: Millis,
    ) -> bool {
        if version >= Some(notice.version) {
            return false;
        }
        let load = ModelLoad {
            since: now,
            until: now + notice.duration,
            target: notice.version,
            rejections: 0,
            trial: None,
            reported_busy: false,
        };
        self.by_model.insert(notice.model.clone(), load);
        true
    }

    /// Records the rejection of a run that was started at `started`; returns the backoff that begins, if any.
    ///
    /// An engine that begins to load rejects as many runs as it has slots. They count once: a backoff doubled by each
    /// of them would outlast the load.
    pub(crate) fn rejected(
        &mut self,
        model: &Arc<str>,
        version: Option<u64>,
        started: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let known = self.by_model.get(model);
        let known = known.filter(|load| load.is_current(version, now));
        if known.is_some_and(|load| !load.is_trial(started)) {
            return None;
        }
        let rejections = known.map_or(0, |load| load.rejections);
        let backoff = BASE_BACKOFF << rejections.min(MAX_DOUBLINGS);
        let load = ModelLoad {
            since: now,
            until: now + backoff,
            target: version.map_or(1, |version| version.saturating_add(1)),
            rejections: rejections.saturating_add(1),
            trial: None,
            reported_busy: false,
        };
        self.by_model.insert(model.clone(), load);
        Some(backoff)
    }

    /// Records that a run was started. If a load is known, the run tries the engine.
    pub(crate) fn run_started(&mut self, model: &str, now: Millis) {
        if let Some(load) = self.by_model.get_mut(model) {
            load.trial = Some(now);
        }
    }

    /// Records that the engine executes a run that was started at `started`; returns whether a load has ended.
    pub(crate) fn run_accepted(&mut self, model: &str, started: Millis) -> bool {
        let is_trial = |load: &ModelLoad| load.is_trial(started);
        self.by_model.get(model).is_some_and(is_trial) && self.by_model.remove(model).is_some()
    }

    /// Records that a run which was started at `started` has ended. If it tried the engine, another one may.
    pub(crate) fn run_ended(&mut self, model: &str, started: Millis) {
        if let Some(load) = self.by_model.get_mut(model)
            && load.is_trial(started)
        {
            load.trial = None;
        }
    }

    /// Records the version of a model that the engine has reported itself.
    pub(crate) fn version_reported(&mut self, model: &str, version: u64) {
        if self
            .by_model
            .get(model)
            .is_some_and(|load| version >= load.target)
        {
            self.by_model.remove(model);
        }
    }

    /// Records whether the engine executes an order of the leader, such as a load, as it answered to a query that was
    /// sent at `sent`. If it executes none, any load has ended, perhaps early or by a failure: the engine may be tried.
    pub(crate) fn state_reported(&mut self, is_busy: bool, sent: Millis) {
        for load in self.by_model.values_mut() {
            let is_newer = sent >= load.since;
            if is_busy {
                load.reported_busy |= is_newer;
            } else if is_newer && (load.reported_busy || sent >= load.since + REPORT_LAG) {
                load.until = load.until.min(sent);
            }
        }
    }

    /// Returns whether the engine may get a run of a model.
    pub(crate) fn admit(&self, model: &str, version: Option<u64>, now: Millis) -> bool {
        let load = self.by_model.get(model);
        let load = load.filter(|load| load.is_current(version, now));
        load.is_none_or(|load| !load.is_avoided(version, now) && !load.is_being_tried(now))
    }

    /// Returns whether the engine gets no run of a model now because it loads that model.
    pub(crate) fn are_avoided(&self, model: &str, version: Option<u64>, now: Millis) -> bool {
        let load = self.by_model.get(model);
        load.is_some_and(|load| load.is_avoided(version, now))
    }
}
