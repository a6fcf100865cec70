//! Orders to engines.

use std::sync::Arc;
use std::time::Duration;

use fleet::Lease;
use fleet::lease::Held;
use fleet::lease::Next;
use kernel::Map;
use kernel::Millis;
use table::Listed;
use tokio::task::JoinSet;
use weight::Version;
use weight::swap::Load;
use weight::swap::Seen;
use weight::swap::Swap;

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
const LOADING: Millis = 950;

/// Time for which an engine is left alone after an order that nobody answered, in milliseconds. It
/// may be carried out late; the next order expects that it was not.
const LATE: Millis = 1_200;

/// Engines that are asked for each that can be ordered: the least busy one is chosen.
const SPARE: usize = 2;

/// Most bytes of an engine's answer.
const MOST: usize = 64 << 10;

/// The holder's orders.
pub struct Orders<'a> {
    app: &'a Arc<App>,
    fence: i64,
    from: Millis,
    swaps: Map<Arc<str>, Swap>,
    /// Engines that were ordered, with the time until which nothing more is asked of them.
    ordered: Map<Arc<str>, Millis>,
}

impl<'a> Orders<'a> {
    /// Makes a holder that gives no order before `from`.
    pub fn new(app: &'a Arc<App>, fence: i64, from: Millis) -> Self {
        Self {
            app,
            fence,
            from,
            swaps: Map::default(),
            ordered: Map::default(),
        }
    }

    /// Looks at the engines and orders what is due.
    pub async fn turn(&mut self, targets: &Targets, lease: &Lease<Held>) {
        let now = self.app.clock.now();
        let targets = targets.copy();
        if now < self.from || targets.is_empty() {
            return;
        }
        self.ordered.retain(|_, until| now < *until);
        let plan = self.app.plan.load_full();
        let Some(plan) = plan else { return };
        for service in plan.services() {
            if service.engine.is_some() {
                self.serve(&service.name, &targets, lease).await;
            }
        }
    }

    fn engines(&self, service: &str) -> Vec<Arc<Listed>> {
        let roster = self.app.roster.lock();
        let mut engines: Vec<_> = roster.of(service).cloned().collect();
        engines.retain(|one| !one.leaving);
        engines.sort_by(|a, b| a.id.cmp(&b.id));
        engines
    }

    async fn serve(
        &mut self,
        service: &Arc<str>,
        targets: &Map<Arc<str>, Version>,
        lease: &Lease<Held>,
    ) {
        let engines = self.engines(service);
        let part = self.app.settings.part * engines.len() as f64;
        let width = (part as usize).max(1);
        let states = self.look(&engines, width, targets).await;
        let seen: Vec<_> = engines.iter().map(|one| self.seen(one, &states)).collect();
        let swap = self.swaps.entry(service.clone()).or_default();
        let room = width.saturating_sub(self.ordered.len());
        let loads = swap.next(&seen, room, targets);
        for load in loads {
            let engine = engines.iter().find(|one| one.id == load.id);
            let state = states.get(&load.id);
            if let (Some(engine), Some(state)) = (engine, state) {
                self.order(engine, &load, state, lease).await;
            }
        }
    }

    /// Asks engines that may have to load for their state, the oldest version first; one that does
    /// not tell gets no order. Only those are asked that could be ordered now: asking all cost
    /// 32,580 probes on a day with 48 engines.
    async fn look(
        &self,
        engines: &[Arc<Listed>],
        width: usize,
        targets: &Map<Arc<str>, Version>,
    ) -> Map<Arc<str>, Stated> {
        let mut asks = JoinSet::new();
        let mut old: Vec<_> = engines
            .iter()
            .filter(|one| !self.ordered.contains_key(&one.id))
            .filter_map(|one| Some((self.behind(one, targets)?, one)))
            .collect();
        old.sort_by_key(|(behind, one)| (std::cmp::Reverse(*behind), one.id.clone()));
        let room = width.saturating_sub(self.ordered.len());
        for (_, one) in old.into_iter().take(SPARE * room) {
            let (app, one) = (self.app.clone(), one.clone());
            asks.spawn(async move {
                let state = super::state(&app, &one).await;
                state.ok().map(|state| (one.id.clone(), state))
            });
        }
        let answers = asks.join_all().await;
        answers.into_iter().flatten().collect()
    }

    /// Versions by which an engine is behind; [`None`] when it has the newest one.
    fn behind(&self, one: &Listed, targets: &Map<Arc<str>, Version>) -> Option<Version> {
        let swap = self.swaps.get(&one.service);
        let given = swap.and_then(|swap| swap.model(&one.id));
        let fleet = self.app.fleet.lock();
        let behind = |model: &Arc<str>| {
            let newest = *targets.get(model)?;
            let behind = newest.saturating_sub(fleet.version(one, model)?);
            (behind > 0).then_some(behind)
        };
        match given {
            Some(model) => behind(model),
            None => one
                .weights
                .iter()
                .filter_map(|(model, _)| behind(model))
                .max(),
        }
    }

    fn seen(&self, one: &Listed, states: &Map<Arc<str>, Stated>) -> Seen {
        let waits = self.ordered.contains_key(&one.id);
        let state = states.get(&one.id);
        let fleet = self.app.fleet.lock();
        let newest = |(model, version): &(Arc<str>, u64)| {
            let seen = fleet.version(one, model).unwrap_or(*version);
            (model.clone(), seen)
        };
        Seen {
            id: one.id.clone(),
            models: one.weights.iter().map(newest).collect(),
            running: state.map_or(u32::MAX, |state| state.running),
            busy: waits || state.is_some_and(|state| state.busy),
        }
    }

    async fn order(
        &mut self,
        engine: &Arc<Listed>,
        load: &Load,
        state: &Stated,
        lease: &Lease<Held>,
    ) {
        let now = self.app.clock.now();
        // Asked right before each order: the process may have been paused since the last renewal.
        if matches!(lease.next(now), Next::Lapsed) {
            return;
        }
        let order = Order {
            id: engine.id.clone(),
            addr: engine.addr,
            model: load.model.clone(),
            version: load.version,
            passing: self.passing(&engine.service),
            holder: self.app.me.instance.clone(),
            fence: self.fence,
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
        self.ordered
            .insert(engine.id.clone(), self.app.clock.now() + pause);
        metrics::counter!(meter::ORDERS, "result" => word).increment(1);
        log::info!(target: "control", upstream = &*engine.id, model = &*load.model,
            version = load.version, fence = self.fence, orders = state.orders,
            running = state.running, result = word; "ordered");
    }

    /// A sample that has to come from one version must not live through a change of weights.
    fn passing(&self, service: &str) -> Passing {
        let plan = self.app.plan.load();
        let single = plan
            .as_ref()
            .is_some_and(|plan| plan.routes_to(service).any(|route| route.single));
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
