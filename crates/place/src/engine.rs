//! State of one engine as known to one instance.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;

use crate::loads::Loads;
use crate::pace::Pace;

/// Weight of the newest gap between two events in the moving average, which spans about ten events.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Time after a failure for which an engine gets no new run, in milliseconds. It is short, since one
/// failed request says little, and doubles with each further failure.
const BASE_BACKOFF: Millis = 250;

/// Maximum number of times that the backoff doubles, which limits it to 4 s.
const MAX_DOUBLINGS: u32 = 4;

/// Time for which a load report is used, in milliseconds.
const MAX_REPORT_AGE: Millis = 400;

/// Load reported by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that the engine is processing.
    pub running: u32,
    /// Number of requests queued in the engine.
    pub waiting: u32,
    /// How long work takes on the engine now, in percent of the usual time, if it says so; 0 if the figure is not a
    /// number.
    pub pace: Option<u32>,
}

/// State of one engine as known to one instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineState {
    /// Number of this instance's runs on the engine.
    pub(crate) own_runs: u32,
    /// Tokens that these runs occupy in the engine's memory.
    pub(crate) tokens: u64,
    /// Mean time between two events of a run, in milliseconds; 0 before the first measurement.
    pub(crate) mean_gap: f64,
    /// Number of measurements in it.
    pub(crate) measured_events: u32,
    /// Pace that the engine has reported.
    pub(crate) pace: Pace,
    /// Newest weight version of each model that the engine has reported itself.
    pub(crate) versions: Map<Arc<str>, u64>,
    /// Loads of weights at the engine.
    pub(crate) loads: Loads,
    failures: u32,
    /// Whether a run is probing if the engine responds again after a failure.
    probing: bool,
    backoff_until: Millis,
    load: Option<(Load, u32, Millis)>,
}

impl EngineState {
    pub(crate) fn event_received(&mut self, gap: f64) {
        self.responded();
        self.measured_events = self.measured_events.saturating_add(1);
        self.mean_gap = match self.mean_gap {
            0.0 => gap,
            mean => mean + SMOOTHING_FACTOR * (gap - mean),
        };
    }

    /// Returns the engine's event gap; if none has been measured, the gap `default` of a typical engine at the pace
    /// that this one has reported.
    pub(crate) fn mean_gap_or(&self, default: f64, now: Millis) -> f64 {
        match self.mean_gap > 0.0 {
            true => self.mean_gap,
            false => default * self.pace.factor(now),
        }
    }

    /// Records that the engine responds.
    pub(crate) fn responded(&mut self) {
        self.failures = 0;
        self.probing = false;
    }

    pub(crate) fn run_started(&mut self, tokens: u64) {
        self.own_runs += 1;
        self.tokens += tokens;
        self.probing = self.failures > 0;
    }

    pub(crate) fn run_ended(&mut self, tokens: u64) {
        self.own_runs = self.own_runs.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
        self.probing = false;
    }

    /// Returns whether a run is probing an engine that has failed. No other run starts meanwhile: if the
    /// engine still doesn't respond, each run sent to it would lose as much time as the probe.
    pub(crate) fn is_probing(&self) -> bool {
        self.probing && self.failures > 0
    }

    /// Records a failed run. Failures during the backoff count as the same failure: a connection reset
    /// ends dozens of runs on healthy engines at once, and a backoff doubled by each of them would leave
    /// slots free while samples wait.
    pub(crate) fn run_failed(&mut self, now: Millis) {
        if self.is_backing_off(now) {
            return;
        }
        self.backoff_until = now + (BASE_BACKOFF << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
    }

    pub(crate) fn busy(&mut self, until: Millis) {
        self.backoff_until = self.backoff_until.max(until);
    }

    pub(crate) fn load_reported(&mut self, load: Load, now: Millis) {
        self.load = Some((load, self.own_runs, now));
    }

    pub(crate) fn is_backing_off(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Returns how many more runs fit on the engine.
    ///
    /// The load of other instances is the reported load less this instance's runs at that time. It is
    /// ignored once the report is older than [`MAX_REPORT_AGE`].
    pub(crate) fn free_slots(&self, slots: u32, now: Millis) -> u32 {
        let others = match self.load {
            Some((load, own_runs, at)) if now < at + MAX_REPORT_AGE => {
                (load.running + load.waiting).saturating_sub(own_runs)
            }
            _ => 0,
        };
        slots.saturating_sub(others + self.own_runs)
    }
}
