//! Scheduling of loads on the engines of a service that several models share.
//!
//! Each engine is assigned to one model, so that only that model's engines load its new versions. A model
//! gets engines in proportion to its work. An engine whose version no step accepts any more loads at once.
//! The others load once the samples of the newest step have started, half of a model's engines at a time,
//! so that most hold the version before the step that needs it; loading on announcement would delay the
//! samples of that step. Only a few engines load at the same time: those most versions behind first, then
//! those whose version was announced first, since its next step is due first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::Set;

use crate::Target;
use crate::Version;

/// State of one engine as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Identity of the engine process; a restarted engine has a new one.
    pub id: Arc<str>,
    /// Models that it holds, with their versions. A version that it is loading counts as held.
    pub models: Vec<(Arc<str>, Version)>,
    /// Requests that it is processing.
    pub running: u32,
    /// Requests that it can process concurrently.
    pub slots: u32,
    /// Whether it is carrying out an order.
    pub busy: bool,
}

impl EngineState {
    fn version(&self, model: &str) -> Option<Version> {
        let found = self.models.iter().find(|(name, _)| &**name == model);
        found.map(|(_, version)| *version)
    }
}

/// An order to an engine to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Engine to send the order to.
    pub id: Arc<str>,
    /// Model to load.
    pub model: Arc<str>,
    /// Version to load.
    pub version: Version,
}

/// Difference between the surpluses of two models, in engines, from which engines are reassigned. A
/// reassigned engine has to load a version that it did not need before, so small changes of the work must
/// not move any.
const REBALANCE_START_ENGINES: f64 = 2.5;

/// Difference down to which engines are reassigned once that has begun; below it nothing is gained.
const REBALANCE_STOP_ENGINES: f64 = 1.6;

/// Assigns engines to models and schedules the loads of new versions.
///
/// # Examples
///
/// ```
/// use weight::Target;
/// use weight::scheduler::{EngineState, LoadScheduler};
///
/// let engine = |id: &str, running| EngineState {
///     id: id.into(), models: vec![("fit".into(), 1)], running, slots: 8, busy: false,
/// };
/// let targets = [("fit".into(), Target { newest: 2, oldest: 2, ..Target::default() })].into_iter().collect();
/// let engines = [engine("a", 0), engine("b", 4)];
/// let mut scheduler = LoadScheduler::default();
/// let loads = scheduler.schedule(&engines, 1, &targets);
/// // The idle engine loads first.
/// assert_eq!(loads.iter().map(|load| &*load.id).collect::<Vec<_>>(), ["a"]);
/// ```
#[derive(Debug, Default)]
pub struct LoadScheduler {
    assigned: Map<Arc<str>, Arc<str>>,
    /// Number of engines assigned to each model.
    counts: Map<Arc<str>, usize>,
}

/// Engines that may be reassigned from one model to another, the cheapest last.
type Candidates<'a> = Map<(Arc<str>, Arc<str>), Vec<&'a EngineState>>;

impl LoadScheduler {
    /// Returns the model that an engine is assigned to.
    pub fn assigned_model(&self, id: &str) -> Option<&Arc<str>> {
        self.assigned.get(id)
    }

    /// Assigns each engine to one of its models and removes engines that are gone.
    fn rebalance(&mut self, engines: &[EngineState], targets: &Map<Arc<str>, Target>) {
        self.prune(engines);
        let new = engines.iter();
        let mut new: Vec<_> = new
            .filter(|engine| !self.assigned.contains_key(&engine.id))
            .collect();
        // Every leader must reach the same assignment, whatever the order in which engines are listed.
        new.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        for engine in new {
            if let Some(model) = self.preferred_model(engine) {
                self.assign(&engine.id, model);
            }
        }
        let shares = fair_shares(engines, targets);
        let mut candidates = Candidates::default();
        let mut threshold = REBALANCE_START_ENGINES;
        while let Some((donor, recipient)) = self.imbalance(&shares, threshold) {
            let pair = (donor.clone(), recipient.clone());
            let movable = candidates.entry(pair);
            let movable = movable.or_insert_with(|| self.candidates(engines, &donor, &recipient));
            let Some(engine) = movable.pop() else {
                return;
            };
            self.assign(&engine.id, recipient);
            threshold = REBALANCE_STOP_ENGINES;
        }
    }

    /// Removes the assignments of engines that are gone.
    fn prune(&mut self, engines: &[EngineState]) {
        let ids: Set<&Arc<str>> = engines.iter().map(|engine| &engine.id).collect();
        let counts = &mut self.counts;
        self.assigned.retain(|id, model| {
            let stays = ids.contains(id);
            if !stays && let Some(count) = counts.get_mut(model) {
                *count -= 1;
            }
            stays
        });
    }

    fn assign(&mut self, id: &Arc<str>, model: Arc<str>) {
        *self.counts.entry(model.clone()).or_default() += 1;
        if let Some(former) = self.assigned.insert(id.clone(), model)
            && let Some(count) = self.counts.get_mut(&former)
        {
            *count -= 1;
        }
    }

    fn count(&self, model: &str) -> usize {
        self.counts.get(model).copied().unwrap_or_default()
    }

    /// Returns the model of which an engine holds the newest version, so that a new leader continues the
    /// assignment of the previous one; among equals, the model with the fewest engines.
    fn preferred_model(&self, engine: &EngineState) -> Option<Arc<str>> {
        let models = engine.models.iter();
        let key = |(model, version): &&(Arc<str>, Version)| (Reverse(*version), self.count(model));
        models.min_by_key(key).map(|(model, _)| model.clone())
    }

    /// Returns the models with the largest and the smallest surplus of engines over their fair share, if
    /// the surpluses differ by at least `threshold`.
    fn imbalance(
        &self,
        shares: &[(Arc<str>, f64)],
        threshold: f64,
    ) -> Option<(Arc<str>, Arc<str>)> {
        let surplus = |(model, share): &(Arc<str>, f64)| self.count(model) as f64 - share;
        let most = shares
            .iter()
            .max_by(|a, b| surplus(a).total_cmp(&surplus(b)))?;
        let least = shares
            .iter()
            .min_by(|a, b| surplus(a).total_cmp(&surplus(b)))?;
        let is_uneven = surplus(most) - surplus(least) >= threshold;
        is_uneven.then(|| (most.0.clone(), least.0.clone()))
    }

    /// Returns the engines of `donor` that also hold `recipient`, the one with the least to load last.
    fn candidates<'a>(
        &self,
        engines: &'a [EngineState],
        donor: &str,
        recipient: &str,
    ) -> Vec<&'a EngineState> {
        let is_candidate = |engine: &&EngineState| {
            let assigned = self.assigned.get(&engine.id);
            engine.version(recipient).is_some() && assigned.is_some_and(|model| **model == *donor)
        };
        let mut candidates: Vec<_> = engines.iter().filter(is_candidate).collect();
        candidates.sort_unstable_by(|a, b| {
            let versions = a.version(recipient).cmp(&b.version(recipient));
            let running = versions.then(b.running.cmp(&a.running));
            running.then_with(|| b.id.cmp(&a.id))
        });
        candidates
    }

    /// Returns the loads to order now, at most `max_loads` of them.
    pub fn schedule(
        &mut self,
        engines: &[EngineState],
        max_loads: usize,
        targets: &Map<Arc<str>, Target>,
    ) -> Vec<LoadOrder> {
        self.rebalance(engines, targets);
        let mut all: Map<&Arc<str>, Vec<(&EngineState, Version)>> = Map::default();
        for engine in engines {
            if let Some(model) = self.assigned.get(&engine.id)
                && let Some(version) = engine.version(model)
            {
                all.entry(model).or_default().push((engine, version));
            }
        }
        let pending = all.into_iter().filter_map(|(model, engines)| {
            let target = targets.get(model)?;
            Some(pending_loads(engines, model, *target))
        });
        let mut pending: Vec<_> = pending.flatten().collect();
        pending.sort_by_key(|load| {
            (
                Reverse(load.versions_behind),
                load.announced_at,
                load.running,
                load.order.id.clone(),
            )
        });
        pending.truncate(max_loads);
        pending.into_iter().map(|load| load.order).collect()
    }
}

/// Returns the loads of a model's newest version that its engines have to start.
fn pending_loads(
    mut all: Vec<(&EngineState, Version)>,
    model: &Arc<str>,
    target: Target,
) -> Vec<PendingLoad> {
    retain_needed(&mut all, target.concurrent_samples);
    all.sort_by_key(|(engine, version)| (*version, engine.running, engine.id.clone()));
    let half = all.len().div_ceil(2);
    let loading = all.iter().filter(|(engine, _)| engine.busy).count();
    let mut spare_loads = match target.refresh_accepted {
        true => half.saturating_sub(loading),
        false => 0,
    };
    let mut pending = Vec::new();
    for (engine, version) in all {
        if engine.busy || version >= target.newest {
            continue;
        }
        if version >= target.oldest && spare_loads == 0 {
            continue;
        }
        spare_loads = spare_loads.saturating_sub(1);
        pending.push(PendingLoad {
            versions_behind: target.newest - version,
            announced_at: target.announced_at,
            running: engine.running,
            order: LoadOrder {
                id: engine.id.clone(),
                model: model.clone(),
                version: target.newest,
            },
        });
    }
    pending
}

/// Retains as many of a model's engines as its samples fill. It retains those that are least behind, so
/// that the selection stays the same.
///
/// There may be thousands of engines and a few hundred samples. Ordering all engines to load takes the
/// leader seconds, in which the samples wait for the few engines that it has reached.
fn retain_needed(all: &mut Vec<(&EngineState, Version)>, samples: u64) {
    if samples == 0 {
        return;
    }
    all.sort_unstable_by(|(a, old), (b, new)| new.cmp(old).then_with(|| a.id.cmp(&b.id)));
    let mut slots = 0;
    let filled = all.iter().take_while(|(engine, _)| {
        let fits = slots < samples;
        slots += u64::from(engine.slots);
        fits
    });
    let count = filled.count();
    all.truncate(count);
}

/// Returns each model's fair share of the engines, in proportion to its work. A model of unknown work
/// counts with the mean of the others; all shares are equal while no work is known.
fn fair_shares(engines: &[EngineState], targets: &Map<Arc<str>, Target>) -> Vec<(Arc<str>, f64)> {
    let mut works: BTreeMap<Arc<str>, f64> = BTreeMap::new();
    for (model, _) in engines.iter().flat_map(|engine| &engine.models) {
        if !works.contains_key(model) {
            let work = targets.get(model).map_or(0, |target| target.work);
            works.insert(model.clone(), work as f64);
        }
    }
    let known: Vec<_> = works.values().copied().filter(|work| *work > 0.0).collect();
    let mean = match known.len() {
        0 => 1.0,
        count => known.iter().sum::<f64>() / count as f64,
    };
    for work in works.values_mut().filter(|work| **work == 0.0) {
        *work = mean;
    }
    let all: f64 = works.values().sum();
    let per_work = engines.len() as f64 / all;
    let shares = works.into_iter();
    shares
        .map(|(model, work)| (model, work * per_work))
        .collect()
}

/// A load that is due, with the values that decide its priority.
struct PendingLoad {
    versions_behind: Version,
    announced_at: Millis,
    running: u32,
    order: LoadOrder,
}
