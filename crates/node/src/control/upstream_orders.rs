//! Orders upstreams.
//!
//! [`capacity::plan_orders`] decides how many are needed. The desired number is stored before it is ordered, and the
//! next leader continues from what is stored.

use std::sync::Arc;
use std::time::Duration;

use capacity::CapacityDemand;
use capacity::DesiredCapacity;
use capacity::DomainUpstreams;
use capacity::Order;
use capacity::RetrySchedule;
use capacity::ScalingBounds;
use capacity::plan_orders;
use kernel::Millis;
use net::SendCondition;
use net::SendError;
use plat::PlatError;
use table::Config;
use table::Service;
use tokio::time::sleep;

use super::leadership::Leadership;
use super::targets::Targets;
use super::versioned;
use super::versioned::Versioned;
use crate::App;
use crate::dialect::CapacityOrder;
use crate::dialect::CapacityOrderOutcome;
use crate::settings::UsageReports;
use crate::telemetry;

/// The key of the desired capacity.
const CAPACITY_KEY: &str = "snipeway/capacity";

/// Interval between two checks of the needed capacity.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Number of a model's steps that its concurrent samples come from: the step that runs, and the one that its trainer
/// submits meanwhile.
const CONCURRENT_STEPS: u64 = 2;

/// The leader's orders of upstreams.
pub(super) struct CapacityOrders<'a> {
    app: &'a Arc<App>,
    leadership: &'a Leadership,
    settings: UsageReports,
    /// The stored capacity, unless it has to be read again.
    desired: Option<Versioned<DesiredCapacity>>,
    retries: RetrySchedule,
}

impl<'a> CapacityOrders<'a> {
    /// Creates the orders of a new leader; [`None`] if no address for orders is configured.
    pub(super) fn new(app: &'a Arc<App>, leadership: &'a Leadership) -> Option<Self> {
        let settings = app.settings.usage_reports?;
        Some(Self {
            app,
            leadership,
            settings,
            desired: None,
            retries: RetrySchedule::default(),
        })
    }

    /// Orders the needed upstreams for as long as this instance is the leader.
    pub(super) async fn run(mut self, targets: &Targets) {
        loop {
            sleep(CHECK_INTERVAL).await;
            if let Err(error) = self.order_due(targets).await {
                self.desired = None;
                let error = error.to_string();
                log::debug!(target: "capacity", error = error.as_str(); "could not read or write the desired capacity");
            }
        }
    }

    async fn order_due(&mut self, targets: &Targets) -> Result<(), PlatError> {
        let Some(config) = self.app.config.load_full() else {
            return Ok(());
        };
        let scaled = config.services().any(|service| service.scaling.is_some());
        if !scaled || !self.leadership.may_order(self.app.clock.now()) {
            return Ok(());
        }
        let (mut desired, rev) = match self.desired.take() {
            Some(desired) => desired,
            None => versioned::read(self.app, CAPACITY_KEY)
                .await?
                .unwrap_or_default(),
        };
        let mut changed = false;
        for order in self.needed_orders(&config, &desired, targets) {
            changed |= desired.raise(order);
        }
        let rev = match changed {
            true => versioned::write(self.app, CAPACITY_KEY, &desired, rev).await?,
            false => rev,
        };
        for order in desired.orders() {
            self.order(&config, order).await;
        }
        self.desired = Some((desired, rev));
        Ok(())
    }

    fn needed_orders(
        &self,
        config: &Config,
        desired: &DesiredCapacity,
        targets: &Targets,
    ) -> Vec<Order> {
        let targets = targets.by_model(self.app.clock.now());
        let mut orders = Vec::new();
        for service in config.services() {
            let (Some(bounds), Some(engine)) = (&service.scaling, &service.engine) else {
                continue;
            };
            let models = engine.models.iter().filter_map(|model| targets.get(model));
            let demand = CapacityDemand {
                requests: models
                    .map(|target| target.concurrent_samples / CONCURRENT_STEPS)
                    .sum(),
                slots: engine.slots,
                fill: self.app.settings.capacity_fill,
            };
            let present = self.count_present(&service.name, bounds);
            orders.extend(plan_orders(
                &service.name,
                bounds,
                &present,
                desired.orders(),
                demand,
            ));
        }
        orders
    }

    /// Counts the upstreams of a service in each failure domain in which it may have some.
    fn count_present(&self, service: &str, bounds: &ScalingBounds) -> Vec<DomainUpstreams> {
        let upstreams = self.app.upstreams.lock();
        let mut domains: Vec<_> = bounds
            .prices
            .iter()
            .map(|(domain, _)| DomainUpstreams {
                domain: domain.clone(),
                regular: 0,
                spot: 0,
            })
            .collect();
        for upstream in upstreams
            .of_service(service)
            .filter(|upstream| !upstream.leaving)
        {
            let Some(domain) = domains
                .iter_mut()
                .find(|domain| domain.domain == upstream.domain)
            else {
                continue;
            };
            match upstream.spot {
                true => domain.spot += 1,
                false => domain.regular += 1,
            }
        }
        domains
    }

    async fn order(&mut self, config: &Config, order: &Order) {
        let now = self.app.clock.now();
        let subject = &order.subject;
        let service = config.service(&subject.service);
        let Some(bounds) = service.and_then(|service: &Arc<Service>| service.scaling.as_ref())
        else {
            return;
        };
        let present = self.count_present(&subject.service, bounds);
        let domain = present
            .iter()
            .find(|domain| domain.domain == subject.domain);
        let count = domain.map_or(0, |domain| {
            if subject.spot {
                domain.spot
            } else {
                domain.regular
            }
        });
        if !self.retries.is_due(order, count, now) {
            return;
        }
        let Some(condition) = self.leadership.order_condition(self.app) else {
            return;
        };
        let result = self.send(order, condition).await;
        let now: Millis = self.app.clock.now();
        let outcome = match result {
            Ok(CapacityOrderOutcome::Accepted) => "taken",
            Ok(CapacityOrderOutcome::Unavailable) => "none to be had",
            Ok(CapacityOrderOutcome::Busy) => "busy",
            Ok(CapacityOrderOutcome::Fenced) => "fenced",
            Ok(CapacityOrderOutcome::Refused) => "refused",
            Err(SendError::Forbidden) => {
                log::warn!(target: "capacity", service = &*subject.service, domain = &*subject.domain,
                    wanted = order.count, fence = self.leadership.fencing_token();
                    "upstreams not ordered: the leadership may have ended");
                return;
            }
            Err(_) => "unanswered",
        };
        match result {
            Ok(CapacityOrderOutcome::Accepted) => {
                self.retries.accepted(subject, bounds.startup_ms, now)
            }
            Ok(CapacityOrderOutcome::Unavailable | CapacityOrderOutcome::Refused) => {
                self.retries.unavailable(subject, now)
            }
            Ok(CapacityOrderOutcome::Busy | CapacityOrderOutcome::Fenced) | Err(_) => {
                self.retries.unanswered(subject, now)
            }
        }
        metrics::counter!(telemetry::CAPACITY_ORDERS, "result" => outcome).increment(1);
        log::info!(target: "capacity", service = &*subject.service, domain = &*subject.domain,
            wanted = order.count, present = count, fence = self.leadership.fencing_token(), outcome;
            "upstreams ordered");
    }

    async fn send(
        &self,
        order: &Order,
        condition: SendCondition,
    ) -> Result<CapacityOrderOutcome, SendError> {
        let capacity_order = CapacityOrder {
            addr: self.settings.address,
            order,
            holder: &self.app.me.instance,
            fencing_token: self.leadership.fencing_token(),
        };
        let request = match self.app.dialect.capacity_order_request(&capacity_order) {
            Ok(request) => request,
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "capacity", error = error.as_str(); "could not build the order of upstreams");
                return Ok(CapacityOrderOutcome::Refused);
            }
        };
        let answer = self
            .app
            .http
            .fetch_if(request, ORDER_TIMEOUT, MAX_ANSWER_BYTES, condition)
            .await?;
        Ok(self.app.dialect.capacity_order_outcome(answer.status()))
    }
}
