//! Which engine of a service is ordered to load which version, when several models share it.
//!
//! Each engine is given to one model, so that a new version of one model is loaded by that model's
//! engines only; a model gets engines by its part of the work. An engine whose version no step accepts any
//! more loads at once. The others load once the samples of the newest step have begun, half of a model's
//! engines at a time, so that most have the version before the step that needs it: loaded as soon as it is
//! announced, they would keep the samples of that step waiting. A few engines load at a time: those that are
//! most behind first, then those whose version was announced first, since its next step is due first.

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
    /// Which start of which engine.
    pub id: Arc<str>,
    /// The models that it has, with their versions; what is being loaded counts as loaded.
    pub models: Vec<(Arc<str>, Version)>,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that it can work on at the same time.
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
    /// The engine.
    pub id: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: Version,
}

/// Difference of what two models have beyond their parts from which an engine changes hands. An
/// engine that does has a version to load that nobody needed before, so small changes of the work
/// must not move any.
const APART: f64 = 2.5;

/// Difference down to which engines change hands once they do: below it none would be gained.
const EVEN: f64 = 1.6;

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
    given: Map<Arc<str>, Arc<str>>,
    /// Engines of each model.
    counts: Map<Arc<str>, usize>,
}

/// Engines that may change hands between two models, the cheapest last.
type Pools<'a> = Map<(Arc<str>, Arc<str>), Vec<&'a EngineState>>;

impl LoadScheduler {
    /// Returns the model that an engine is assigned to.
    pub fn assigned_model(&self, id: &str) -> Option<&Arc<str>> {
        self.given.get(id)
    }

    /// Gives each engine to one of its models and takes back what is gone.
    fn share(&mut self, engines: &[EngineState], targets: &Map<Arc<str>, Target>) {
        self.prune(engines);
        let new = engines.iter();
        let mut new: Vec<_> = new
            .filter(|one| !self.given.contains_key(&one.id))
            .collect();
        // Every leader has to come to the same, whatever the order in which it knows them.
        new.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        for engine in new {
            if let Some(model) = self.fewest(engine) {
                self.give(&engine.id, model);
            }
        }
        let parts = parts(engines, targets);
        let mut pools = Pools::default();
        let mut apart = APART;
        while let Some((rich, poor)) = self.uneven(&parts, apart) {
            let pair = (rich.clone(), poor.clone());
            let pool = pools.entry(pair);
            let pool = pool.or_insert_with(|| self.pool(engines, &rich, &poor));
            let Some(engine) = pool.pop() else {
                return;
            };
            self.give(&engine.id, poor);
            apart = EVEN;
        }
    }

    /// Takes back engines that are gone.
    fn prune(&mut self, engines: &[EngineState]) {
        let ids: Set<&Arc<str>> = engines.iter().map(|engine| &engine.id).collect();
        let counts = &mut self.counts;
        self.given.retain(|id, model| {
            let stays = ids.contains(id);
            if !stays && let Some(count) = counts.get_mut(model) {
                *count -= 1;
            }
            stays
        });
    }

    /// Gives an engine to a model.
    fn give(&mut self, id: &Arc<str>, model: Arc<str>) {
        *self.counts.entry(model.clone()).or_default() += 1;
        if let Some(former) = self.given.insert(id.clone(), model)
            && let Some(count) = self.counts.get_mut(&former)
        {
            *count -= 1;
        }
    }

    fn count(&self, model: &str) -> usize {
        self.counts.get(model).copied().unwrap_or_default()
    }

    /// The model of an engine that has advanced most, so that a new leader goes on as the one
    /// before it; among equals, the one that has the fewest engines.
    fn fewest(&self, engine: &EngineState) -> Option<Arc<str>> {
        let models = engine.models.iter();
        let key = |(model, version): &&(Arc<str>, Version)| (Reverse(*version), self.count(model));
        models.min_by_key(key).map(|(model, _)| model.clone())
    }

    /// The model that has most beyond its part and the one that lacks most, when they differ by `apart`.
    fn uneven(&self, parts: &[(Arc<str>, f64)], apart: f64) -> Option<(Arc<str>, Arc<str>)> {
        let excess = |(model, part): &(Arc<str>, f64)| self.count(model) as f64 - part;
        let most = parts
            .iter()
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))?;
        let least = parts
            .iter()
            .min_by(|a, b| excess(a).total_cmp(&excess(b)))?;
        let differ = excess(most) - excess(least) >= apart;
        differ.then(|| (most.0.clone(), least.0.clone()))
    }

    /// The engines of one model that another one may get, the one that has least to load last.
    fn pool<'a>(&self, engines: &'a [EngineState], rich: &str, poor: &str) -> Vec<&'a EngineState> {
        let has = |one: &&EngineState| {
            let given = self.given.get(&one.id);
            one.version(poor).is_some() && given.is_some_and(|model| **model == *rich)
        };
        let mut pool: Vec<_> = engines.iter().filter(has).collect();
        pool.sort_unstable_by(|a, b| {
            let versions = a.version(poor).cmp(&b.version(poor));
            let running = versions.then(b.running.cmp(&a.running));
            running.then_with(|| b.id.cmp(&a.id))
        });
        pool
    }

    /// Returns the loads to order now, at most `room` of them.
    pub fn schedule(
        &mut self,
        engines: &[EngineState],
        room: usize,
        targets: &Map<Arc<str>, Target>,
    ) -> Vec<LoadOrder> {
        self.share(engines, targets);
        let mut all: Map<&Arc<str>, Vec<(&EngineState, Version)>> = Map::default();
        for engine in engines {
            if let Some(model) = self.given.get(&engine.id)
                && let Some(version) = engine.version(model)
            {
                all.entry(model).or_default().push((engine, version));
            }
        }
        let due = all.into_iter().filter_map(|(model, engines)| {
            let target = targets.get(model)?;
            Some(due(engines, model, *target))
        });
        let mut due: Vec<_> = due.flatten().collect();
        due.sort_by_key(|due| {
            (
                Reverse(due.behind),
                due.since,
                due.running,
                due.load.id.clone(),
            )
        });
        due.truncate(room);
        due.into_iter().map(|due| due.load).collect()
    }
}

/// Those of a model's engines that have to load its newest version.
fn due(mut all: Vec<(&EngineState, Version)>, model: &Arc<str>, target: Target) -> Vec<Due> {
    needed(&mut all, target.concurrent_samples);
    all.sort_by_key(|(engine, version)| (*version, engine.running, engine.id.clone()));
    let half = all.len().div_ceil(2);
    let loading = all.iter().filter(|(engine, _)| engine.busy).count();
    let mut spare = match target.refresh_accepted {
        true => half.saturating_sub(loading),
        false => 0,
    };
    let mut due = Vec::new();
    for (engine, version) in all {
        if engine.busy || version >= target.newest {
            continue;
        }
        if version >= target.oldest && spare == 0 {
            continue;
        }
        spare = spare.saturating_sub(1);
        due.push(Due {
            behind: target.newest - version,
            since: target.announced_at,
            running: engine.running,
            load: LoadOrder {
                id: engine.id.clone(),
                model: model.clone(),
                version: target.newest,
            },
        });
    }
    due
}

/// Leaves as many of a model's engines as its samples fill: those that are least behind, so that they stay
/// the same ones.
///
/// There may be thousands of engines and a few hundred samples; loading them all keeps the leader busy for seconds,
/// and the samples wait for the few that it has come to.
fn needed(all: &mut Vec<(&EngineState, Version)>, samples: u64) {
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

/// The engines that each model had better have: as many as its part of the work says, or the same
/// for all as long as nobody's work is known.
fn parts(engines: &[EngineState], targets: &Map<Arc<str>, Target>) -> Vec<(Arc<str>, f64)> {
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
    let share = engines.len() as f64 / all;
    let parts = works.into_iter();
    parts.map(|(model, work)| (model, work * share)).collect()
}

/// An engine that has to load, with what decides its turn.
struct Due {
    behind: Version,
    since: Millis,
    running: u32,
    load: LoadOrder,
}
