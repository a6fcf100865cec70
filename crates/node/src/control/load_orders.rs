//! Orders engines to load newer weights.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use kernel::Map;
use kernel::Millis;
use kernel::Set;
use net::Payload;
use net::SendCondition;
use net::SendError;
use table::Upstream;
use tokio::task::JoinSet;
use weight::Target;
use weight::Version;
use weight::scheduler::EngineState;
use weight::scheduler::LoadOrder;
use weight::scheduler::LoadScheduler;

use super::leadership::Leadership;
use super::load_notices::AcceptedLoad;
use super::load_notices::LoadNotices;
use super::targets::Targets;
use crate::App;
use crate::answer;
use crate::answer::Attribution;
use crate::answer::Outbound;
use crate::dialect::EngineOrder;
use crate::dialect::EngineOrderOutcome;
use crate::dialect::ReportedState;
use crate::dialect::SwapMode;
use crate::telemetry;

/// Time limit for an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an engine counts as loading after an order, in milliseconds. A load takes 0.9 s on the users'
/// deployments. The engine itself reports the new version some hundred milliseconds later; waiting for that report
/// would leave a fifth of the time between loads unused.
pub(super) const LOAD_TIME: Millis = 900;

/// Time for which an engine gets no requests after a query that it did not answer or an order that it did not accept,
/// in milliseconds. It may carry out an unanswered order late; the next order is conditional on its not having done so.
const ENGINE_BACKOFF: Millis = 1_200;

/// Number of engines that are queried for each one that may be ordered, to choose the least busy one.
const QUERIES_PER_ORDER: usize = 2;

/// Maximum size of an engine's answer.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The leader's load orders.
pub struct LoadOrders<'a> {
    app: &'a Arc<App>,
    leadership: &'a Leadership,
    /// Notifies the owners of steps, if they are to be notified of loads.
    notices: Option<LoadNotices>,
    /// The scheduler of each service.
    schedulers: Map<Arc<str>, LoadScheduler>,
    /// Engines that were recently ordered to load; they get no other order meanwhile.
    ordered: Map<Arc<str>, OrderedLoad>,
    /// Engines that did not answer a query, with the time until which they get no requests.
    unresponsive: Map<Arc<str>, Millis>,
}

/// A load that was ordered.
struct OrderedLoad {
    model: Arc<str>,
    version: Version,
    /// When the engine may be queried again.
    until: Millis,
}

impl<'a> LoadOrders<'a> {
    /// Creates the orders of a new leader.
    pub(super) fn new(
        app: &'a Arc<App>,
        leadership: &'a Leadership,
        notices: Option<LoadNotices>,
    ) -> Self {
        Self {
            app,
            leadership,
            notices,
            schedulers: Map::default(),
            ordered: Map::default(),
            unresponsive: Map::default(),
        }
    }

    /// Orders the loads that are due at all engines.
    pub async fn issue_due(&mut self, targets: &Targets) {
        let now = self.app.clock.now();
        let targets = targets.by_model(now);
        if !self.leadership.may_order(now) || targets.is_empty() {
            return;
        }
        self.ordered.retain(|_, ordered| now < ordered.until);
        self.unresponsive.retain(|_, until| now < *until);
        let config = self.app.config.load_full();
        let Some(config) = config else { return };
        for service in config.services() {
            if service.engine.is_some() {
                self.order_service(&service.name, &targets).await;
            }
        }
    }

    fn engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let upstreams = self.app.upstreams.lock();
        let engines = upstreams
            .of_service(service)
            .filter(|engine| !engine.leaving);
        engines.cloned().collect()
    }

    async fn order_service(&mut self, service: &Arc<str>, targets: &Map<Arc<str>, Target>) {
        let engines = self.engines(service);
        let part = self.app.settings.loading_share * engines.len() as f64;
        let max_loading = (part.round() as usize).max(1);
        let max_orders = max_loading.saturating_sub(self.ordered.len());
        let mut scheduler = self.schedulers.remove(service).unwrap_or_default();
        // The upstream list is a second or two old, so an engine is queried for its versions before it is ordered. Only
        // engines that could be ordered now are queried: querying all 48 engines of a deployment took 32,580 requests
        // a day.
        let due = scheduler.schedule(
            &self.engine_states(&engines, &Map::default()),
            QUERIES_PER_ORDER * max_orders,
            targets,
        );
        if due.is_empty() {
            self.schedulers.insert(service.clone(), scheduler);
            return;
        }
        let states = self.query_states(&engines, &due).await;
        let until = self.app.clock.now() + ENGINE_BACKOFF;
        let unresponsive = due.iter().filter(|load| !states.contains_key(&load.id));
        let unresponsive = unresponsive.map(|load| (load.id.clone(), until));
        self.unresponsive.extend(unresponsive);
        let loads = scheduler.schedule(&self.engine_states(&engines, &states), max_orders, targets);
        self.schedulers.insert(service.clone(), scheduler);
        let engines: Map<_, _> = engines.iter().map(|engine| (&engine.id, engine)).collect();
        let orders = loads.iter().filter_map(|load| {
            let engine = engines.get(&load.id)?;
            // An engine that has not answered the query gets no order.
            Some(self.order(engine, load, states.get(&load.id)?))
        });
        // Sent concurrently, so that an unresponsive engine does not delay the others.
        let ordered = join_all(orders).await;
        self.ordered.extend(ordered.into_iter().flatten());
    }

    /// Queries the state of the engines that may have to load.
    async fn query_states(
        &self,
        engines: &[Arc<Upstream>],
        due: &[LoadOrder],
    ) -> Map<Arc<str>, ReportedState> {
        let mut queries = JoinSet::new();
        let due: Set<_> = due.iter().map(|load| &load.id).collect();
        for engine in engines {
            if !due.contains(&engine.id) {
                continue;
            }
            let (app, engine) = (self.app.clone(), engine.clone());
            queries.spawn(async move {
                let state = super::query_state(&app, &engine).await;
                state.ok().map(|state| (engine.id.clone(), state))
            });
        }
        let answers = queries.join_all().await;
        answers.into_iter().flatten().collect()
    }

    /// The states of engines for the scheduler, from the answers in `states` where there are any.
    fn engine_states(
        &self,
        engines: &[Arc<Upstream>],
        states: &Map<Arc<str>, ReportedState>,
    ) -> Vec<EngineState> {
        let tracker = self.app.engine_tracker.lock();
        let engine_state = |engine: &Arc<Upstream>| {
            let ordered = self.ordered.get(&engine.id);
            let state = states.get(&engine.id);
            let newest = |(model, version): &(Arc<str>, u64)| {
                let seen = tracker.version(engine, model).unwrap_or(*version);
                let loading = ordered.filter(|load| load.model == *model);
                let loading = loading.map_or(0, |load| load.version);
                (model.clone(), seen.max(loading))
            };
            EngineState {
                id: engine.id.clone(),
                models: engine.weights.iter().map(newest).collect(),
                slots: engine.slots,
                running: state.map_or(u32::MAX, |state| state.running),
                busy: ordered.is_some()
                    || self.unresponsive.contains_key(&engine.id)
                    || state.is_some_and(|state| state.busy),
            }
        };
        engines.iter().map(engine_state).collect()
    }

    /// Orders a load; returns the engine's ID and the load if the order was sent.
    async fn order(
        &self,
        engine: &Arc<Upstream>,
        load: &LoadOrder,
        state: &ReportedState,
    ) -> Option<(Arc<str>, OrderedLoad)> {
        let condition = self.leadership.order_condition(self.app)?;
        let order = EngineOrder {
            name: engine.incarnation.name.clone(),
            addr: engine.addr,
            model: load.model.clone(),
            version: load.version,
            swap_mode: self.swap_mode(&engine.service),
            holder: self.app.me.instance.clone(),
            fencing_token: self.leadership.fencing_token(),
            prior_orders: state.accepted_orders,
        };
        let result = self.send(engine, &order, condition).await;
        let (label, pause) = match result {
            Ok(EngineOrderOutcome::Accepted) => ("taken", LOAD_TIME),
            Ok(EngineOrderOutcome::Conflict) => ("conflict", ENGINE_BACKOFF),
            Ok(EngineOrderOutcome::Fenced) => ("fenced", ENGINE_BACKOFF),
            Ok(EngineOrderOutcome::Refused) => ("refused", ENGINE_BACKOFF),
            Err(SendError::Forbidden) => {
                log::warn!(target: "control", upstream = &*engine.id, version = load.version,
                    fence = order.fencing_token; "load order not sent: the leadership may have ended");
                return None;
            }
            Err(_) => ("unanswered", ENGINE_BACKOFF),
        };
        let ordered = OrderedLoad {
            model: load.model.clone(),
            version: load.version,
            until: self.app.clock.now() + pause,
        };
        if let (Ok(EngineOrderOutcome::Accepted), Some(notices)) = (&result, &self.notices) {
            notices.send(AcceptedLoad {
                model: load.model.clone(),
                version: load.version,
                engine: engine.id.clone(),
                ends_at: ordered.until,
            });
        }
        metrics::counter!(telemetry::LOAD_ORDERS, "result" => label).increment(1);
        log::info!(target: "control", upstream = &*engine.id, model = &*load.model,
            version = load.version, fence = self.leadership.fencing_token(), orders = state.accepted_orders,
            running = state.running, result = label; "ordered");
        Some((engine.id.clone(), ordered))
    }

    /// What happens to running samples at a load: if a route requires a single version for each sample, the engine
    /// drains first, so that no sample spans a change of weights.
    fn swap_mode(&self, service: &str) -> SwapMode {
        let config = self.app.config.load();
        let single_version = config
            .as_ref()
            .is_some_and(|config| config.routes_to(service).any(|route| route.single_version));
        match single_version {
            true => SwapMode::Drain,
            false => SwapMode::Keep,
        }
    }

    async fn send(
        &self,
        engine: &Upstream,
        order: &EngineOrder,
        condition: SendCondition,
    ) -> Result<EngineOrderOutcome, SendError> {
        let request = match self.app.dialect.engine_order_request(order) {
            Ok(request) => request,
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "control", error = error.as_str(); "could not build the load order");
                return Err(SendError::Garbled);
            }
        };
        let outbound = Outbound {
            request: request.map(Payload::from),
            upstream: engine.id.clone(),
            id: None,
            condition,
        };
        match answer::fetch(self.app, outbound, ORDER_TIMEOUT, MAX_ANSWER_BYTES).await? {
            Attribution::Own(answer) => Ok(self.app.dialect.engine_order_outcome(answer.status)),
            Attribution::Foreign => Err(SendError::Garbled),
        }
    }
}
