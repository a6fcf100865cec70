//! Placing the samples of a step at engines.
//!
//! Load pattern: a step's samples come all at once, by the hundred or thousand, and hundreds of runs end each
//! second while others wait for their places.

use std::sync::Arc;
use std::time::Duration;

use batch::Permit;
use batch::Sample;
use kernel::Map;
use kernel::Millis;
use place::PendingSample;
use place::PlacementRequest;
use place::PlacementRound;
use poison::Identity;
use table::Config;
use table::Route;
use table::Upstream;

use super::Drive;
use super::Ran;
use crate::print;
use crate::run::Run;

/// Shortest time between two looks for places after one that found none, in milliseconds: each looks through
/// all engines, and hundreds of runs end each second. A place stays free for half of it on average, a
/// thousandth of a run of some seconds.
const PLACE: Millis = 8;

/// What came of looking for places.
pub(super) enum Placed {
    /// All that could begin has begun.
    Looked,
    /// The last look found none a moment ago; the next one is due after this.
    Later(Duration),
}

/// A sample that has to run.
pub(super) struct Todo {
    pub(super) job: PendingSample,
    pub(super) avoid: Vec<Arc<str>>,
}

impl Drive<'_> {
    /// Begins as many runs as there is room for.
    pub(super) fn place(&mut self) -> Placed {
        let due = self.blocked + PLACE;
        let now = self.app.clock.now();
        if now < due {
            return Placed::Later(Duration::from_millis(due - now));
        }
        self.release();
        if self.todo.is_empty() && self.held.is_empty() {
            return Placed::Looked;
        }
        let Some(route) = self.work.route(self.app) else {
            // Without any configuration nothing is known; with one, the route is gone.
            if self.app.config.load().is_some() {
                self.give_up("route gone");
            }
            return Placed::Looked;
        };
        if now > self.work.opened + route.ttl {
            self.give_up("time to live is over");
            return Placed::Looked;
        }
        // The bell rings, or an answer comes, when there is word again.
        let Some(permit) = self.work.permit(self.app) else {
            return Placed::Looked;
        };
        let mut rounds = Map::default();
        while let Some(todo) = self.todo.pop_front() {
            if self.is_held(&todo) {
                log::warn!(target: "owner", id = &*self.sample(&todo).id, step = &*self.work.step;
                    "sample held: engines crash under it");
                self.held.push(todo);
                continue;
            }
            match self.choose(&route, &todo, &mut rounds) {
                Some((service, engine)) => self.begin(&route, service, engine, todo, permit),
                None => {
                    self.todo.push_front(todo);
                    self.blocked = now;
                    self.looks
                        .begin(self.app, self.work, &route, self.todo.len());
                    break;
                }
            }
        }
        Placed::Looked
    }

    fn sample(&self, todo: &Todo) -> &Sample {
        &self.work.spec.samples[todo.job.index as usize]
    }

    fn mark(&self, todo: &Todo) -> Identity {
        let head = &self.work.head;
        print::sample(&head.host, head.team.as_deref(), self.sample(todo))
    }

    fn is_held(&self, todo: &Todo) -> bool {
        self.app.crashes.is_blocked(|| self.mark(todo))
    }

    /// Lets held samples go that may run again.
    fn release(&mut self) {
        let held = std::mem::take(&mut self.held);
        let (held, free) = held.into_iter().partition(|todo| self.is_held(todo));
        self.held = held;
        self.todo.extend::<Vec<_>>(free);
    }

    fn choose(
        &self,
        route: &Route,
        todo: &Todo,
        rounds: &mut Map<Arc<str>, PlacementRound>,
    ) -> Option<(Arc<str>, Arc<Upstream>)> {
        let service = Config::pick_service(route, rand::random())?;
        let at = todo.job.index as usize;
        let sample = &self.work.spec.samples[at];
        let draft = self.work.drafts[at].lock();
        let memory = self.app.engine_memory(service);
        let want = PlacementRequest {
            service,
            model: Some(&self.work.head.model),
            min_version: self.work.head.min_version,
            queue_limit: 0,
            domain: &self.app.settings.domain,
            cached_on: self.kin.get(&todo.job.group).map(|kin| &**kin),
            avoid: &todo.avoid,
            tokens: memory.run_tokens(sample.prompt, draft.last_event),
            memory,
        };
        let mut apart = self.app.crashes.upstreams_to_avoid(|| self.mark(todo));
        apart.extend_from_slice(&todo.avoid);
        let any = PlacementRequest { avoid: &[], ..want };
        let want = PlacementRequest {
            avoid: &apart,
            ..want
        };
        let now = self.app.clock.now();
        let roster = self.app.upstreams.lock();
        let mut fleet = self.app.engine_tracker.lock();
        let round = rounds
            .entry(service.clone())
            .or_insert_with(|| PlacementRound::new(&fleet, &roster, &any, now));
        let engine = round
            .choose(&fleet, &roster, &want, now)
            .or_else(|| round.choose(&fleet, &roster, &any, now))?;
        fleet.run_started(&engine.id, want.tokens);
        Some((service.clone(), engine))
    }

    fn begin(
        &mut self,
        route: &Route,
        service: Arc<str>,
        engine: Arc<Upstream>,
        todo: Todo,
        permit: Permit,
    ) {
        self.kin.insert(todo.job.group.clone(), engine.id.clone());
        let run = Run {
            app: self.app.clone(),
            work: self.work.clone(),
            host: self.work.head.host.clone(),
            principal: self.work.principal(self.app),
            service,
            model: self.work.head.model.clone(),
            least: self.work.head.min_version,
            single: route.single_version,
            engine: engine.clone(),
            permit,
        };
        let work = self.work.clone();
        let index = todo.job.index;
        log::info!(target: "owner", id = &*self.sample(&todo).id, step = &*work.step,
            upstream = &*engine.id, first = work.drafts[index as usize].lock().last_event,
            heard_ms = work.unheard(self.app); "sample begun");
        let stay = self
            .app
            .crashes
            .track_suspect(|| self.mark(&todo), &engine.id);
        self.runs.spawn(async move {
            let _stay = stay;
            let at = index as usize;
            let ended = run.go(&work.spec.samples[at], &work.drafts[at]).await;
            Ran {
                index,
                ended,
                engine,
            }
        });
    }
}
