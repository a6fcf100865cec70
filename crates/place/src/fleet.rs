//! The engines of all services as one instance sees them.

use std::cell::Cell;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::rendezvous_rank;
use table::Upstream;
use table::UpstreamList;

use crate::EngineMemory;
use crate::Load;
use crate::Scale;
use crate::engine::Engine;

/// Gain that a move has to promise, in milliseconds: reading the prompt and the text so far again
/// takes an engine a few milliseconds, and the new connection a few more.
const GAIN: f64 = 150.0;

/// Engines among which a run looks for a better one. Among thousands some are idle in any part of them, and each run
/// looks several times a second.
const LOOKED: usize = 512;

/// How much faster than the present engine another one has to be for a run to move there.
const FASTER: f64 = 1.25;

/// Time between two events before anything was measured, in milliseconds.
const UNKNOWN: f64 = 40.0;

/// Extra time that an engine of another failure domain is taken to cost a run, in milliseconds: a
/// tie is decided for the own domain, and a free or faster engine elsewhere still wins.
const FAR: f64 = 2.0;

/// How much slower than the present engine another one may be for a run to move there when the present
/// one is about to run out of memory: a run that is put back stands still for a second or more.
const SLOWER: f64 = 1.6;

/// What a sample needs.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that has to run it.
    pub service: &'a str,
    /// The model, when it is a sample; the upstreams of a plain service have none.
    pub model: Option<&'a str>,
    /// The oldest version of the weights that may generate it.
    pub min_version: u64,
    /// Requests that may wait inside the upstream beyond its slots.
    pub queue_limit: u32,
    /// The failure domain of who asks.
    pub domain: &'a str,
    /// The engine that last ran a sample of the same group, and has their prompt in its cache.
    pub cached_on: Option<&'a str>,
    /// Engines that it has just failed at.
    pub avoid: &'a [Arc<str>],
    /// Tokens that it takes in an engine's memory at once.
    pub tokens: u64,
    /// What an engine's memory holds.
    pub memory: EngineMemory,
}

/// Time for which the paces of all engines are not looked through again, in milliseconds: two events. Each run
/// asks every few events, and there are thousands of engines.
const PACES: Millis = 80;

/// What came of weighing an engine for a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Weighed {
    /// It takes no sample of this kind now.
    Closed,
    /// It may take others, not this one: it has to keep away, or its prompt does not fit into the memory.
    Unfit,
    /// A run of one event costs so many milliseconds.
    Fits(f64),
}

/// What is known of the paces of all engines.
#[derive(Clone, Copy, Debug)]
struct Paces {
    at: Millis,
    /// The median.
    usual: f64,
    fastest: f64,
}

/// The engines as one instance sees them.
#[derive(Debug, Default)]
pub struct EngineTracker {
    engines: Map<Arc<str>, Engine>,
    scale: Scale,
    paces: Cell<Option<Paces>>,
}

impl EngineTracker {
    fn engine(&mut self, id: &Arc<str>) -> &mut Engine {
        self.engines.entry(id.clone()).or_default()
    }

    /// Forgets engines that are not listed any more and that nothing runs at.
    pub fn prune(&mut self, roster: &UpstreamList) {
        self.engines
            .retain(|id, engine| engine.mine > 0 || roster.get(id).is_some());
    }

    /// Notes that a run begins at an engine, which takes so many tokens there.
    pub fn run_started(&mut self, id: &Arc<str>, tokens: u64) {
        self.engine(id).begin(tokens);
    }

    /// Notes that a run at an engine has grown by so many tokens.
    pub fn run_grew(&mut self, id: &Arc<str>, tokens: u64) {
        self.engine(id).tokens += tokens;
    }

    /// Notes that a run has left an engine, where it took so many tokens.
    pub fn run_ended(&mut self, id: &Arc<str>, tokens: u64) {
        self.engine(id).end(tokens);
    }

    /// Notes the time since the event before, in milliseconds.
    pub fn event_received(&mut self, id: &Arc<str>, gap: f64) {
        self.engine(id).event(gap);
    }

    /// Notes that an engine answers.
    pub fn engine_answered(&mut self, id: &Arc<str>) {
        self.engine(id).answered();
    }

    /// Notes that an engine failed; it gets nothing new for a moment.
    pub fn engine_failed(&mut self, id: &Arc<str>, now: Millis) {
        self.engine(id).failed(now);
    }

    /// Notes that an engine takes nothing new until a time.
    pub fn engine_busy(&mut self, id: &Arc<str>, until: Millis) {
        self.engine(id).busy(until);
    }

    /// Notes what an engine said of its load.
    pub fn load_reported(&mut self, id: &Arc<str>, load: Load, now: Millis) {
        self.engine(id).report(load, now);
    }

    /// Notes the version of a model's weights that an engine stated itself, which the list tells
    /// only a second or two later.
    pub fn version_seen(&mut self, id: &Arc<str>, model: &Arc<str>, version: u64) {
        let seen = self.engine(id).versions.entry(model.clone()).or_default();
        *seen = version.max(*seen);
    }

    /// The version of a model's weights that an engine has; [`None`] when it has no such model.
    pub fn version(&self, one: &Upstream, model: &str) -> Option<u64> {
        newest(one, self.engines.get(&one.id), model)
    }

    /// Notes that a sample is whole, of which `expected` was expected.
    pub fn sample_finished(&mut self, expected: u32, events: u64) {
        self.scale.ended(expected, events);
    }

    /// Events that a run is expected to have left when it has `done` of them.
    pub fn remaining_events(&self, expected: u32, done: u64) -> u32 {
        self.scale.left(expected, done)
    }

    /// Runs of this instance at an engine.
    pub fn own_runs(&self, id: &str) -> u32 {
        self.engines.get(id).map_or(0, |engine| engine.mine)
    }

    /// The pace of an engine, or the usual one as long as its own is not known.
    fn pace(&self, id: &str, usual: f64) -> f64 {
        let engine = self.engines.get(id);
        engine.map_or(usual, |engine| engine.pace_or(usual))
    }

    /// The paces of the engines that were measured, a moment ago at most.
    fn paces(&self, now: Millis) -> Paces {
        let known = self.paces.get();
        if let Some(known) = known.filter(|known| now < known.at + PACES) {
            return known;
        }
        let paces = self.engines.values().map(|engine| engine.pace);
        let mut paces: Vec<_> = paces.filter(|pace| *pace > 0.0).collect();
        paces.sort_by(f64::total_cmp);
        let new = Paces {
            at: now,
            usual: paces.get(paces.len() / 2).copied().unwrap_or(UNKNOWN),
            fastest: paces.first().copied().unwrap_or(UNKNOWN),
        };
        // What is measured first counts at once.
        let kept = (!paces.is_empty()).then_some(new);
        self.paces.set(kept);
        new
    }

    /// Whether an engine can take a sample, and what a run of one event costs there.
    ///
    /// Each engine is looked up once, and what rules out most is looked at first: this is done for all
    /// engines of a service at a time.
    pub(crate) fn weigh(
        &self,
        one: &Upstream,
        want: &PlacementRequest<'_>,
        usual: f64,
        now: Millis,
    ) -> Weighed {
        let slots = one.slots + want.queue_limit;
        let engine = self.engines.get(&one.id);
        let (mine, tokens) = engine.map_or((0, 0), |engine| (engine.mine, engine.tokens));
        if one.leaving || mine >= slots {
            return Weighed::Closed;
        }
        if let Some(model) = want.model
            && newest(one, engine, model) < Some(want.min_version)
        {
            return Weighed::Closed;
        }
        if let Some(engine) = engine {
            // A call had better try than be turned away.
            let tried = want.model.is_some() && engine.is_on_trial();
            if engine.rests(now) || tried || engine.room(slots, now) == 0 {
                return Weighed::Closed;
            }
        }
        if !want.memory.admits(tokens, mine, want.tokens) || want.avoid.contains(&one.id) {
            return Weighed::Unfit;
        }
        let far = match *one.domain == *want.domain {
            true => 0.0,
            false => FAR,
        };
        let pace = engine.map_or(usual, |engine| engine.pace_or(usual));
        let part = f64::from(mine) / f64::from(one.slots.max(1));
        let full = part.max(want.memory.used_fraction(tokens));
        // A fuller engine is a little slower, and the last slots are kept for what comes next.
        Weighed::Fits(pace * (1.0 + 0.2 * full) + far)
    }

    /// The usual pace of all engines.
    pub(crate) fn usual(&self, now: Millis) -> f64 {
        self.paces(now).usual
    }

    /// Chooses between the cheapest engine and the kin, which has the prompt in its cache: the kin wins
    /// unless it has become slow.
    pub(crate) fn or_kin(
        &self,
        best: &Arc<Upstream>,
        roster: &UpstreamList,
        want: &PlacementRequest<'_>,
        now: Millis,
    ) -> Arc<Upstream> {
        let usual = self.usual(now);
        let kin = want.cached_on.and_then(|kin| roster.get(kin));
        let kin = kin.filter(|kin| *kin.service == *want.service);
        let fits =
            |kin: &&Arc<Upstream>| matches!(self.weigh(kin, want, usual, now), Weighed::Fits(_));
        match kin.filter(fits) {
            Some(kin) if self.pace(&kin.id, usual) <= self.pace(&best.id, usual) * FASTER => {
                kin.clone()
            }
            _ => best.clone(),
        }
    }

    /// Chooses the engine for a sample; [`None`] when none has room.
    pub fn choose(
        &self,
        roster: &UpstreamList,
        want: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<Arc<Upstream>> {
        self.choose_of(roster.of_service(want.service), roster, want, now)
    }

    fn choose_of<'a>(
        &self,
        engines: impl Iterator<Item = &'a Arc<Upstream>>,
        roster: &UpstreamList,
        want: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<Arc<Upstream>> {
        let usual = self.usual(now);
        let costs = engines.filter_map(|one| match self.weigh(one, want, usual, now) {
            Weighed::Fits(cost) => Some((cost, one)),
            Weighed::Closed | Weighed::Unfit => None,
        });
        let cheapest = costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.id.cmp(&b.1.id)));
        let (_, best) = cheapest?;
        Some(self.or_kin(best, roster, want, now))
    }

    /// Chooses an engine to which a run with `left` more events had better move, if there is one.
    pub fn choose_better(
        &self,
        roster: &UpstreamList,
        want: &PlacementRequest<'_>,
        here: &str,
        left: u32,
        now: Millis,
    ) -> Option<Arc<Upstream>> {
        let paces = self.paces(now);
        let usual = paces.usual;
        let slow = self.pace(here, usual);
        let engine = self.engines.get(here);
        let crowded = engine.is_some_and(|one| want.memory.is_nearly_full(one.tokens, one.mine));
        if !crowded && f64::from(left) * slow <= GAIN {
            // Not even an engine that took no time would be worth it.
            return None;
        }
        if !crowded && slow <= paces.fastest.min(usual) * FASTER {
            // Not even the fastest one would be.
            return None;
        }
        let some = roster.subset_of_service(want.service, rendezvous_rank(here, now), LOOKED);
        let best = self.choose_of(some, roster, want, now)?;
        let fast = self.pace(&best.id, usual);
        let gain = f64::from(left) * (slow - fast);
        let worth = match crowded {
            true => fast <= slow * SLOWER,
            false => slow > fast * FASTER && gain > GAIN,
        };
        (worth && *best.id != *here).then_some(best)
    }
}

/// The newest version of a model's weights that an engine is known to have.
fn newest(one: &Upstream, engine: Option<&Engine>, model: &str) -> Option<u64> {
    let listed = one.weights.iter().find(|(name, _)| &**name == model);
    let listed = listed.map(|(_, version)| *version);
    let seen = engine.and_then(|engine| engine.versions.get(model).copied());
    listed.max(seen)
}
