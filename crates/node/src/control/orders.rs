//! Orders to engines.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kernel::Map;
use kernel::Millis;
use kernel::Set;
use table::Upstream;
use tokio::task::JoinSet;
use weight::Target;
use weight::Version;
use weight::scheduler::EngineState;
use weight::scheduler::LoadOrder;
use weight::scheduler::LoadScheduler;

use super::office::Office;
use super::targets::Targets;
use crate::App;
use crate::dialect::Order;
use crate::dialect::Ordered;
use crate::dialect::Passing;
use crate::dialect::Stated;
use crate::meter;

/// Time that an engine has to answer an order.
const LIMIT: Duration = Duration::from_millis(500);

/// Time for which an engine counts as loading after an order. A load takes 0.9 s on the users'
/// deployments; the engine's own word comes some hundred milliseconds later, and waiting for it
/// left a fifth of the time between loads unused.
const LOADING: Millis = 900;

/// Time for which an engine is left alone after a question or an order that it did not answer, in
/// milliseconds. An order may be carried out late; the next one expects that it was not.
const LATE: Millis = 1_200;

/// Engines that are asked for each that can be ordered: the least busy one is chosen.
const SPARE: usize = 2;

/// Most bytes of an engine's answer.
const MOST: usize = 64 << 10;

/// The leader's orders.
pub struct Orders<'a> {
    app: &'a Arc<App>,
    office: &'a Office,
    swaps: Map<Arc<str>, LoadScheduler>,
    /// Engines that were ordered and of which nothing more is asked for a while.
    ordered: Map<Arc<str>, Loading>,
    /// Engines that did not state how they are, with the time until which they are left alone.
    silent: Map<Arc<str>, Millis>,
}

/// A load that was ordered.
struct Loading {
    model: Arc<str>,
    version: Version,
    /// When the engine may be asked again.
    until: Millis,
}

impl<'a> Orders<'a> {
    /// Makes a leader that has ordered nothing yet.
    pub fn new(app: &'a Arc<App>, office: &'a Office) -> Self {
        Self {
            app,
            office,
            swaps: Map::default(),
            ordered: Map::default(),
            silent: Map::default(),
        }
    }

    /// Looks at the engines and orders what is due.
    pub async fn turn(&mut self, targets: &Targets) {
        let now = self.app.clock.now();
        let aims = targets.aims(now);
        if !self.office.may_order(now) || aims.is_empty() {
            return;
        }
        self.ordered.retain(|_, ordered| now < ordered.until);
        self.silent.retain(|_, until| now < *until);
        let plan = self.app.plan.load_full();
        let Some(plan) = plan else { return };
        for service in plan.services() {
            if service.engine.is_some() {
                self.serve(&service.name, &aims).await;
            }
        }
    }

    fn engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let roster = self.app.roster.lock();
        let engines = roster.of_service(service).filter(|one| !one.leaving);
        engines.cloned().collect()
    }

    async fn serve(&mut self, service: &Arc<str>, aims: &Map<Arc<str>, Target>) {
        let engines = self.engines(service);
        let part = self.app.settings.part * engines.len() as f64;
        let width = (part.round() as usize).max(1);
        let room = width.saturating_sub(self.ordered.len());
        let mut swap = self.swaps.remove(service).unwrap_or_default();
        // What the list says is a second or two old, so an engine states its versions itself
        // before it is ordered. Only those are asked that could be ordered now: asking all cost
        // 32,580 probes on a day with 48 engines.
        let due = swap.schedule(&self.seen(&engines, &Map::default()), SPARE * room, aims);
        if due.is_empty() {
            self.swaps.insert(service.clone(), swap);
            return;
        }
        let states = self.ask(&engines, &due).await;
        let until = self.app.clock.now() + LATE;
        let silent = due.iter().filter(|load| !states.contains_key(&load.id));
        let silent = silent.map(|load| (load.id.clone(), until));
        self.silent.extend(silent);
        let loads = swap.schedule(&self.seen(&engines, &states), room, aims);
        self.swaps.insert(service.clone(), swap);
        let engines: Map<_, _> = engines.iter().map(|one| (&one.id, one)).collect();
        let orders = loads.iter().filter_map(|load| {
            let engine = engines.get(&load.id)?;
            // An engine that does not tell gets no order.
            Some(self.order(engine, load, states.get(&load.id)?))
        });
        // All at once: each engine that does not answer holds the others up otherwise.
        let ordered = join_all(orders).await;
        self.ordered.extend(ordered.into_iter().flatten());
    }

    /// Asks engines that may have to load for their state.
    async fn ask(&self, engines: &[Arc<Upstream>], due: &[LoadOrder]) -> Map<Arc<str>, Stated> {
        let mut asks = JoinSet::new();
        let due: Set<_> = due.iter().map(|load| &load.id).collect();
        for one in engines {
            if !due.contains(&one.id) {
                continue;
            }
            let (app, one) = (self.app.clone(), one.clone());
            asks.spawn(async move {
                let state = super::query_state(&app, &one).await;
                state.ok().map(|state| (one.id.clone(), state))
            });
        }
        let answers = asks.join_all().await;
        answers.into_iter().flatten().collect()
    }

    fn seen(&self, engines: &[Arc<Upstream>], states: &Map<Arc<str>, Stated>) -> Vec<EngineState> {
        let fleet = self.app.fleet.lock();
        let one = |one: &Arc<Upstream>| {
            let ordered = self.ordered.get(&one.id);
            let state = states.get(&one.id);
            let newest = |(model, version): &(Arc<str>, u64)| {
                let seen = fleet.version(one, model).unwrap_or(*version);
                let loading = ordered.filter(|load| load.model == *model);
                let loading = loading.map_or(0, |load| load.version);
                (model.clone(), seen.max(loading))
            };
            EngineState {
                id: one.id.clone(),
                models: one.weights.iter().map(newest).collect(),
                slots: one.slots,
                running: state.map_or(u32::MAX, |state| state.running),
                busy: ordered.is_some()
                    || self.silent.contains_key(&one.id)
                    || state.is_some_and(|state| state.busy),
            }
        };
        engines.iter().map(one).collect()
    }

    /// Orders a load; gives what is to be remembered of it, if it was sent.
    async fn order(
        &self,
        engine: &Arc<Upstream>,
        load: &LoadOrder,
        state: &Stated,
    ) -> Option<(Arc<str>, Loading)> {
        let now = self.app.clock.now();
        // Asked right before each order: the process may have been paused since the last renewal.
        if !self.office.may_order(now) {
            return None;
        }
        let order = Order {
            name: engine.incarnation.name.clone(),
            addr: engine.addr,
            model: load.model.clone(),
            version: load.version,
            passing: self.passing(&engine.service),
            holder: self.app.me.instance.clone(),
            fence: self.office.fence(),
            orders: state.orders,
        };
        let result = self.send(&order).await;
        let (word, pause) = match result {
            Some(Ordered::Taken) => ("taken", LOADING),
            Some(Ordered::Conflict) => ("conflict", LATE),
            Some(Ordered::Fenced) => ("fenced", LATE),
            Some(Ordered::Refused) => ("refused", LATE),
            None => ("unanswered", LATE),
        };
        let loading = Loading {
            model: load.model.clone(),
            version: load.version,
            until: self.app.clock.now() + pause,
        };
        metrics::counter!(meter::ORDERS, "result" => word).increment(1);
        log::info!(target: "control", upstream = &*engine.id, model = &*load.model,
            version = load.version, fence = self.office.fence(), orders = state.orders,
            running = state.running, result = word; "ordered");
        Some((engine.id.clone(), loading))
    }

    /// A sample that has to come from one version must not live through a change of weights.
    fn passing(&self, service: &str) -> Passing {
        let plan = self.app.plan.load();
        let single = plan
            .as_ref()
            .is_some_and(|plan| plan.routes_to(service).any(|route| route.single_version));
        match single {
            true => Passing::Drain,
            false => Passing::Keep,
        }
    }

    async fn send(&self, order: &Order) -> Option<Ordered> {
        let request = match self.app.dialect.order(order) {
            Ok(request) => request,
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "control", error = error.as_str(); "no order");
                return None;
            }
        };
        let answer = self.app.http.fetch(request, LIMIT, MOST).await.ok()?;
        Some(self.app.dialect.ordered(answer.status()))
    }
}
