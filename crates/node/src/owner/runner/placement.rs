//! Places the samples of a step at engines.
//!
//! Load pattern: the samples of a step arrive together, hundreds or thousands of them, and hundreds of runs end each
//! second while other samples wait for a free slot.

use std::sync::Arc;
use std::time::Duration;

use batch::Permit;
use batch::Sample;
use batch::waits::WaitReason;
use kernel::Map;
use kernel::Millis;
use place::PendingSample;
use place::PlacementRequest;
use place::PlacementRound;
use table::Config;
use table::Route;
use table::Upstream;

use super::FinishedRun;
use super::StepRunner;
use crate::engine_slot::EngineSlot;
use crate::run::Run;

/// Minimum time between a placement that found no free slot and the next one, in milliseconds. Each placement searches
/// all engines, and hundreds of runs end each second. A slot stays free for half of this time on average, which is a
/// thousandth of a run of some seconds.
const MIN_RETRY_INTERVAL: Millis = 8;

/// Result of [`StepRunner::place`].
pub(super) enum PlaceOutcome {
    /// All runs that could be started were started.
    Done,
    /// There was no free slot less than [`MIN_RETRY_INTERVAL`] ago; the next placement is due after this time.
    Deferred(Duration),
}

/// A sample that has to be run, and the engines to avoid.
pub(super) struct PendingRun {
    pub(super) sample: PendingSample,
    pub(super) avoid: Vec<Arc<str>>,
}

/// An engine for a sample, with a slot there.
struct Placement {
    service: Arc<str>,
    engine: Arc<Upstream>,
    slot: EngineSlot,
}

impl StepRunner<'_> {
    /// Starts as many runs as there are free slots.
    pub(super) fn place(&mut self) -> PlaceOutcome {
        let due = self.engines_full_at + MIN_RETRY_INTERVAL;
        let now = self.app.clock.now();
        if now < due {
            return PlaceOutcome::Deferred(Duration::from_millis(due - now));
        }
        if self.pending.is_empty() {
            return PlaceOutcome::Done;
        }
        let Some(route) = self.owned.route(self.app) else {
            self.blocked_by = WaitReason::Route;
            // The route was removed only if there is a configuration; this instance may not have one yet.
            if self.app.config.load().is_some() {
                self.fail_pending("route gone");
            }
            return PlaceOutcome::Done;
        };
        if now > self.owned.opened_at + route.ttl {
            self.fail_pending("time to live is over");
            return PlaceOutcome::Done;
        }
        // Without a permit nothing is started. When a check confirms the ownership again, the runner's loop calls this
        // function again.
        let Some(permit) = self.owned.permit(self.app) else {
            self.blocked_by = WaitReason::Permit;
            return PlaceOutcome::Done;
        };
        let mut rounds_by_service = Map::default();
        while let Some(pending) = self.pending.pop_front() {
            match self.choose_engine(&route, &pending, &mut rounds_by_service) {
                Some(placement) => self.start_run(&route, placement, pending, permit),
                None => {
                    self.pending.push_front(pending);
                    self.engines_full_at = now;
                    self.blocked_by = WaitReason::Slot;
                    self.probes
                        .begin(self.app, self.owned, &route, self.pending.len());
                    self.load_probes.begin(self.app, self.owned, &route);
                    break;
                }
            }
        }
        PlaceOutcome::Done
    }

    fn sample(&self, pending: &PendingRun) -> &Sample {
        &self.owned.spec.samples[pending.sample.index as usize]
    }

    /// Chooses an engine and reserves a slot there; engines to avoid are used if no other one has a free slot. Samples
    /// that are placed in the same call share the placement round of their service, in `rounds_by_service`.
    fn choose_engine(
        &self,
        route: &Route,
        pending: &PendingRun,
        rounds_by_service: &mut Map<Arc<str>, PlacementRound>,
    ) -> Option<Placement> {
        let service = Config::pick_service(route, rand::random())?;
        let index = pending.sample.index as usize;
        let sample = &self.owned.spec.samples[index];
        let last_event = self.owned.drafts[index].lock().last_event;
        let memory = self.app.engine_memory(service);
        let request = PlacementRequest {
            service,
            model: Some(&self.owned.head.model),
            min_version: self.owned.head.min_version,
            queue_limit: 0,
            domain: &self.app.settings.domain,
            cached_on: self
                .group_engines
                .get(&pending.sample.group)
                .map(|engine| &**engine),
            avoid: &pending.avoid,
            tokens: memory.run_tokens(sample.prompt, last_event),
            memory,
        };
        let fallback = PlacementRequest {
            avoid: &[],
            ..request
        };
        let now = self.app.clock.now();
        let upstreams = self.app.upstreams.lock();
        let mut tracker = self.app.engine_tracker.lock();
        let round = rounds_by_service
            .entry(service.clone())
            .or_insert_with(|| PlacementRound::new(&tracker, &upstreams, &fallback, now));
        let engine = round
            .choose(&tracker, &upstreams, &request, now)
            .or_else(|| round.choose(&tracker, &upstreams, &fallback, now))?;
        tracker.run_started(&engine.id, request.tokens);
        tracker.model_run_started(&engine.id, &self.owned.head.model, now);
        drop(tracker);
        drop(upstreams);
        let slot = EngineSlot::reserved(
            self.app,
            self.owned,
            engine.clone(),
            pending.sample.index,
            request.tokens,
        );
        Some(Placement {
            service: service.clone(),
            engine,
            slot,
        })
    }

    fn start_run(
        &mut self,
        route: &Route,
        placement: Placement,
        pending: PendingRun,
        permit: Permit,
    ) {
        let Placement {
            service,
            engine,
            slot,
        } = placement;
        self.group_engines
            .insert(pending.sample.group.clone(), engine.id.clone());
        let run = Run {
            app: self.app.clone(),
            owned: self.owned.clone(),
            host: self.owned.head.host.clone(),
            principal: self.owned.principal(self.app),
            service,
            model: self.owned.head.model.clone(),
            min_version: self.owned.head.min_version,
            single_version: route.single_version,
            engine: engine.clone(),
            permit,
            index: pending.sample.index,
        };
        let owned = self.owned.clone();
        let index = pending.sample.index;
        log::info!(target: "owner", id = &*self.sample(&pending).id, step = &*owned.step,
            upstream = &*engine.id, first = owned.drafts[index as usize].lock().last_event,
            heard_ms = owned.confirmation_age(self.app); "sample begun");
        self.runs.spawn(index, async move {
            let position = index as usize;
            let (sample, draft) = (&owned.spec.samples[position], &owned.drafts[position]);
            let outcome = run.execute(sample, draft, slot).await;
            FinishedRun { outcome, engine }
        });
    }
}
