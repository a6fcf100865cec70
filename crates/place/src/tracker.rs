//! State of the engines of all services as known to one instance.

use std::cell::Cell;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::rendezvous_rank;
use table::Upstream;
use table::UpstreamList;

use crate::EngineMemory;
use crate::LengthScale;
use crate::Load;
use crate::LoadNotice;
use crate::PaceOutcome;
use crate::Rejection;
use crate::SlotShares;
use crate::engine::EngineState;
use crate::loads;
use crate::pace;
use crate::pace::IgnoredPaces;

/// Minimum expected gain of a move, in milliseconds: the new engine takes a few milliseconds to process
/// the prompt and the text so far, and the new connection takes a few more.
pub(crate) const MIN_GAIN_MS: f64 = 150.0;

/// Maximum number of engines among which a run looks for a better one. Each run does so several times a
/// second, and any subset of thousands of engines contains some idle ones.
const MAX_CANDIDATES: usize = 512;

/// Minimum ratio of speeds, new engine to current engine, for a run to move.
pub(crate) const MIN_SPEEDUP: f64 = 1.25;

/// Assumed time between two events before any was measured, in milliseconds.
const DEFAULT_GAP_MS: f64 = 40.0;

/// Extra cost of an engine in another failure domain, in milliseconds. It breaks ties in favour of the
/// local domain; a free or faster engine elsewhere still wins.
const REMOTE_COST_MS: f64 = 2.0;

/// Maximum ratio of event gaps, new engine to current engine, for a run to move off an engine that is about to
/// run out of memory: a suspended run stalls for a second or more.
const MAX_SLOWDOWN: f64 = 1.6;

/// Requirements of a sample or request on the upstream that runs it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that must run it.
    pub service: &'a str,
    /// Model of a sample; [`None`] for a request to a service without model engines.
    pub model: Option<&'a str>,
    /// Lowest weight version an engine may run it with.
    pub min_version: u64,
    /// Maximum number of requests queued in the upstream beyond its slots.
    pub queue_limit: u32,
    /// Failure domain of the requesting instance.
    pub domain: &'a str,
    /// Engine that last ran a sample of the same group and so has the prompt in its cache.
    pub cached_on: Option<&'a str>,
    /// Engines on which it has just failed.
    pub avoid: &'a [Arc<str>],
    /// Tokens that it occupies in the engine's memory when it starts.
    pub tokens: u64,
    /// Memory of an engine of the service.
    pub memory: EngineMemory,
}

/// Time for which event gap statistics are cached, in milliseconds: two events. Each run needs them every few
/// events, and computing them visits thousands of engines.
const GAP_STATS_TTL: Millis = 80;

/// Result of evaluating an engine for a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Evaluation {
    /// It accepts no sample of this kind now.
    Unavailable,
    /// It may accept others but not this one, which avoids it or doesn't fit into its memory.
    Unsuitable,
    /// It can run the sample at this cost per event, in milliseconds.
    Fits(f64),
}

/// Statistics of the event gaps of all measured engines. The event gap of an engine is the mean time between two
/// events of a run, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct GapStats {
    computed_at: Millis,
    median: f64,
    shortest: f64,
}

/// Tracks the runs, speed, load and failures of engines as known to one instance.
#[derive(Debug, Default)]
pub struct EngineTracker {
    engines: Map<Arc<str>, EngineState>,
    scale: LengthScale,
    slots: Option<SlotShares>,
    gap_stats: Cell<Option<GapStats>>,
    ignored_paces: IgnoredPaces,
}

impl EngineTracker {
    fn engine(&mut self, id: &Arc<str>) -> &mut EngineState {
        self.engines.entry(id.clone()).or_default()
    }

    /// Shares the slots of engines with other owners from now on.
    pub fn share_slots(&mut self, slots: SlotShares) {
        self.slots = Some(slots);
    }

    /// Returns the shares of owners in the slots of engines, if they are shared.
    pub fn slot_shares(&mut self) -> Option<&mut SlotShares> {
        self.slots.as_mut()
    }

    /// Removes engines that are no longer listed and have no runs.
    pub fn prune(&mut self, list: &UpstreamList) {
        self.engines
            .retain(|id, engine| engine.own_runs > 0 || list.get(id).is_some());
    }

    /// Records that a run which occupies `tokens` has started on an engine.
    pub fn run_started(&mut self, id: &Arc<str>, tokens: u64) {
        self.engine(id).run_started(tokens);
        if let Some(slots) = &mut self.slots {
            slots.run_started(id);
        }
    }

    /// Records that a run on an engine has grown by `tokens`.
    pub fn run_grew(&mut self, id: &Arc<str>, tokens: u64) {
        self.engine(id).tokens += tokens;
    }

    /// Records that a run which occupied `tokens` has left an engine.
    pub fn run_ended(&mut self, id: &Arc<str>, tokens: u64) {
        self.engine(id).run_ended(tokens);
        if let Some(slots) = &mut self.slots {
            slots.run_ended(id);
        }
    }

    /// Records an event and the time since the previous one, in milliseconds.
    pub fn event_received(&mut self, id: &Arc<str>, gap: f64) {
        self.engine(id).event_received(gap);
    }

    /// Records that an engine responds.
    pub fn engine_answered(&mut self, id: &Arc<str>) {
        self.engine(id).responded();
    }

    /// Records that a run on an engine failed; the engine gets no new runs during its backoff.
    pub fn engine_failed(&mut self, id: &Arc<str>, now: Millis) {
        self.engine(id).run_failed(now);
    }

    /// Records that an engine accepts no new runs before `until`.
    pub fn engine_busy(&mut self, id: &Arc<str>, until: Millis) {
        self.engine(id).busy(until);
    }

    /// Records the load that an engine reported.
    pub fn load_reported(&mut self, id: &Arc<str>, load: Load, now: Millis) {
        self.engine(id).load_reported(load, now);
    }

    /// Records the pace that an engine reported, in percent of the usual time.
    pub fn pace_reported(&mut self, id: &Arc<str>, percent: u32, now: Millis) -> PaceOutcome {
        if !pace::is_valid(percent) {
            return self.ignored_paces.record(now);
        }
        self.engine(id).pace.record(percent, now);
        PaceOutcome::Recorded
    }

    /// Records the version of a model's weights that an engine reported itself; the list of upstreams has it
    /// a second or two later.
    pub fn version_seen(&mut self, id: &Arc<str>, model: &Arc<str>, version: u64) {
        let engine = self.engine(id);
        let newest = engine.versions.entry(model.clone()).or_default();
        *newest = version.max(*newest);
        engine.loads.version_reported(model, version);
    }

    /// Records the notice that an engine loads weights; returns false if the engine has them already.
    pub fn load_notified(&mut self, engine: &Upstream, notice: &LoadNotice, now: Millis) -> bool {
        let version = self.version(engine, &notice.model);
        self.engine(&engine.id).loads.notified(notice, version, now)
    }

    /// Records that an engine which reported `load` has rejected a run of a model that was started at `started`.
    /// Only an engine that loads the model rejects runs while it has free slots.
    pub fn run_rejected(
        &mut self,
        engine: &Upstream,
        model: &Arc<str>,
        load: Option<Load>,
        started: Millis,
        now: Millis,
    ) -> Rejection {
        if !load.is_some_and(|load| loads::has_free_slot(load, engine.slots)) {
            return Rejection::Full;
        }
        let version = self.version(engine, model);
        let loads = &mut self.engine(&engine.id).loads;
        match loads.rejected(model, version, started, now) {
            Some(backoff) => Rejection::Loading(backoff),
            None => Rejection::KnownLoading,
        }
    }

    /// Records that a run of a model was started, in addition to [`EngineTracker::run_started`]. An engine whose load
    /// may have ended gets one run until that one is executed.
    pub fn model_run_started(&mut self, id: &Arc<str>, model: &str, now: Millis) {
        self.engine(id).loads.run_started(model, now);
    }

    /// Records that an engine executes a run of a model that was started at `started`; returns whether a load has
    /// ended.
    pub fn model_run_accepted(&mut self, id: &Arc<str>, model: &str, started: Millis) -> bool {
        self.engine(id).loads.run_accepted(model, started)
    }

    /// Records that a run of a model that was started at `started` has ended, in addition to
    /// [`EngineTracker::run_ended`].
    pub fn model_run_ended(&mut self, id: &str, model: &str, started: Millis) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.loads.run_ended(model, started);
        }
    }

    /// Records whether an engine executes an order of the leader, such as a load of weights, as it answered to a query
    /// that was sent at `sent`.
    pub fn order_state_reported(&mut self, id: &str, is_busy: bool, sent: Millis) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.loads.state_reported(is_busy, sent);
        }
    }

    /// Returns whether an engine gets no run of a model now because it loads that model.
    pub fn is_loading(&self, engine: &Upstream, model: &str, now: Millis) -> bool {
        let Some(state) = self.engines.get(&engine.id) else {
            return false;
        };
        let version = newest_version(engine, Some(state), model);
        state.loads.are_avoided(model, version, now)
    }

    /// Returns the newest known version of a model's weights on an engine; [`None`] if it lacks the model.
    pub fn version(&self, engine: &Upstream, model: &str) -> Option<u64> {
        newest_version(engine, self.engines.get(&engine.id), model)
    }

    /// Records that a sample with an expected length of `expected` tokens has finished after `events`.
    pub fn sample_finished(&mut self, expected: u32, events: u64) {
        self.scale.record(expected, events);
    }

    /// Estimates how many more events a run sends that has sent `done` events.
    pub fn remaining_events(&self, expected: u32, done: u64) -> u32 {
        self.scale.remaining_events(expected, done)
    }

    /// Returns the number of free slots of a service's upstreams, as far as this instance knows, and of all their slots.
    /// An upstream that has failed, or is leaving, has none.
    pub fn slots(&self, list: &UpstreamList, service: &str, now: Millis) -> (u32, u32) {
        let present = list.of_service(service).filter(|engine| !engine.leaving);
        let mut total = (0, 0);
        for engine in present {
            let free = match self.engines.get(&engine.id) {
                Some(state) if state.is_backing_off(now) => 0,
                Some(state) => state.free_slots(engine.slots, now),
                None => engine.slots,
            };
            total = (total.0 + free, total.1 + engine.slots);
        }
        total
    }

    /// Returns the number of this instance's runs on an engine.
    pub fn own_runs(&self, id: &str) -> u32 {
        self.engines.get(id).map_or(0, |engine| engine.own_runs)
    }

    /// Returns the event gap of an engine; if none has been measured, one derived from `default`.
    pub(crate) fn mean_gap(&self, id: &str, default: f64, now: Millis) -> f64 {
        let engine = self.engines.get(id);
        engine.map_or(default, |engine| engine.mean_gap_or(default, now))
    }

    /// Returns the number of events from which an engine's event gap was measured.
    pub(crate) fn measured_events(&self, id: &str) -> u32 {
        self.engines
            .get(id)
            .map_or(0, |engine| engine.measured_events)
    }

    /// Returns whether an engine is about to run out of memory.
    pub(crate) fn is_nearly_full(&self, request: &PlacementRequest<'_>, id: &str) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|engine| {
            request
                .memory
                .is_nearly_full(engine.tokens, engine.own_runs)
        })
    }

    /// Returns event gap statistics that are at most [`GAP_STATS_TTL`] old.
    fn gap_stats(&self, now: Millis) -> GapStats {
        let cached = self.gap_stats.get();
        if let Some(cached) = cached.filter(|cached| now < cached.computed_at + GAP_STATS_TTL) {
            return cached;
        }
        let gaps = self.engines.values().map(|engine| engine.mean_gap);
        let mut gaps: Vec<_> = gaps.filter(|gap| *gap > 0.0).collect();
        gaps.sort_by(f64::total_cmp);
        let new = GapStats {
            computed_at: now,
            median: gaps.get(gaps.len() / 2).copied().unwrap_or(DEFAULT_GAP_MS),
            shortest: gaps.first().copied().unwrap_or(DEFAULT_GAP_MS),
        };
        // Defaults are not cached, so that the first measurement takes effect immediately.
        let cached = (!gaps.is_empty()).then_some(new);
        self.gap_stats.set(cached);
        new
    }

    /// Returns whether an engine can run a sample, and the cost per event. An engine without measurements is assumed
    /// to have the event gap `default_gap`.
    ///
    /// This runs for all engines of a service at once, so each engine is looked up once, and the checks that
    /// exclude most engines come first.
    pub(crate) fn evaluate(
        &self,
        engine: &Upstream,
        request: &PlacementRequest<'_>,
        default_gap: f64,
        now: Millis,
    ) -> Evaluation {
        let slots = engine.slots + request.queue_limit;
        let state = self.engines.get(&engine.id);
        let (own_runs, tokens) = state.map_or((0, 0), |state| (state.own_runs, state.tokens));
        if engine.leaving || own_runs >= slots {
            return Evaluation::Unavailable;
        }
        if let Some(model) = request.model {
            let version = newest_version(engine, state, model);
            let may_run = || state.is_none_or(|state| state.loads.admit(model, version, now));
            if version < Some(request.min_version) || !may_run() {
                return Evaluation::Unavailable;
            }
        }
        if let Some(state) = state {
            // Only samples can wait for a probe; other requests would be rejected, so they try the upstream.
            let probing = request.model.is_some() && state.is_probing();
            if state.is_backing_off(now) || probing || state.free_slots(slots, now) == 0 {
                return Evaluation::Unavailable;
            }
        }
        if let Some(shares) = &self.slots {
            let version = |model: &str| newest_version(engine, state, model);
            if own_runs >= shares.max_runs(engine, slots, own_runs, version, now) {
                return Evaluation::Unavailable;
            }
        }
        if !request.memory.admits(tokens, own_runs, request.tokens)
            || request.avoid.contains(&engine.id)
        {
            return Evaluation::Unsuitable;
        }
        let domain_cost = match *engine.domain == *request.domain {
            true => 0.0,
            false => REMOTE_COST_MS,
        };
        let gap = state.map_or(default_gap, |state| state.mean_gap_or(default_gap, now));
        let used_slots = f64::from(own_runs) / f64::from(engine.slots.max(1));
        let utilization = used_slots.max(request.memory.used_fraction(tokens));
        // A fuller engine is a little slower, and its last slots are reserved for later samples.
        Evaluation::Fits(gap * (1.0 + 0.2 * utilization) + domain_cost)
    }

    /// Returns the median of the engines' event gaps, in milliseconds.
    pub(crate) fn median_gap(&self, now: Millis) -> f64 {
        self.gap_stats(now).median
    }

    /// Returns the engine that has the prompt in its cache if it can run the sample and isn't much slower than
    /// `best`, the cheapest engine; otherwise `best`.
    pub(crate) fn prefer_cached(
        &self,
        best: &Arc<Upstream>,
        list: &UpstreamList,
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Arc<Upstream> {
        let default_gap = self.median_gap(now);
        let cached = request.cached_on.and_then(|id| list.get(id));
        let cached = cached.filter(|engine| *engine.service == *request.service);
        let fits = |engine: &&Arc<Upstream>| {
            matches!(
                self.evaluate(engine, request, default_gap, now),
                Evaluation::Fits(_)
            )
        };
        match cached.filter(fits) {
            Some(cached)
                if self.mean_gap(&cached.id, default_gap, now)
                    <= self.mean_gap(&best.id, default_gap, now) * MIN_SPEEDUP =>
            {
                cached.clone()
            }
            _ => best.clone(),
        }
    }

    /// Chooses the engine for a sample; [`None`] if no engine has room.
    pub fn choose(
        &self,
        list: &UpstreamList,
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<Arc<Upstream>> {
        self.choose_among(list.of_service(request.service), list, request, now)
    }

    fn choose_among<'a>(
        &self,
        engines: impl Iterator<Item = &'a Arc<Upstream>>,
        list: &UpstreamList,
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<Arc<Upstream>> {
        let default_gap = self.median_gap(now);
        let costs =
            engines.filter_map(
                |engine| match self.evaluate(engine, request, default_gap, now) {
                    Evaluation::Fits(cost) => Some((cost, engine)),
                    Evaluation::Unavailable | Evaluation::Unsuitable => None,
                },
            );
        let cheapest = costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.id.cmp(&b.1.id)));
        let (_, best) = cheapest?;
        Some(self.prefer_cached(best, list, request, now))
    }

    /// Chooses an engine to which a run on `current` with `remaining` more events should move, if any.
    pub fn choose_better(
        &self,
        list: &UpstreamList,
        request: &PlacementRequest<'_>,
        current: &str,
        remaining: u32,
        now: Millis,
    ) -> Option<Arc<Upstream>> {
        let stats = self.gap_stats(now);
        let default_gap = stats.median;
        let current_gap = self.mean_gap(current, default_gap, now);
        let nearly_full = self.is_nearly_full(request, current);
        if !nearly_full && f64::from(remaining) * current_gap <= MIN_GAIN_MS {
            // Not even an infinitely fast engine would gain enough.
            return None;
        }
        if !nearly_full && current_gap <= stats.shortest.min(default_gap) * MIN_SPEEDUP {
            // Not even the fastest engine is fast enough.
            return None;
        }
        let subset = list.subset_of_service(
            request.service,
            rendezvous_rank(current, now),
            MAX_CANDIDATES,
        );
        let best = self.choose_among(subset, list, request, now)?;
        let best_gap = self.mean_gap(&best.id, default_gap, now);
        let gain = f64::from(remaining) * (current_gap - best_gap);
        let worthwhile = match nearly_full {
            true => best_gap <= current_gap * MAX_SLOWDOWN,
            false => current_gap > best_gap * MIN_SPEEDUP && gain > MIN_GAIN_MS,
        };
        (worthwhile && *best.id != *current).then_some(best)
    }
}

/// Returns the newest version of a model's weights that the list or the engine itself has reported.
fn newest_version(engine: &Upstream, state: Option<&EngineState>, model: &str) -> Option<u64> {
    let listed = engine.weights.iter().find(|(name, _)| &**name == model);
    let listed = listed.map(|(_, version)| *version);
    let reported = state.and_then(|state| state.versions.get(model).copied());
    listed.max(reported)
}
