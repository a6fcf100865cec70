//! Ordering upstreams.
//!
//! [`capacity::plan_orders`] decides how many are wanted. What is wanted is written down first, and a successor goes
//! on from what is written.

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
use plat::PlatError;
use table::Config;
use table::Service;
use tokio::time::sleep;

use super::kept;
use super::kept::Kept;
use super::office::Office;
use super::targets::Targets;
use crate::App;
use crate::dialect::CapacityOrder;
use crate::dialect::CapacityOrderOutcome;
use crate::settings::UsageReports;
use crate::telemetry;

/// The key of what was asked for.
const KEY: &str = "snipeway/capacity";

/// Pause between two looks at what is needed.
const LOOK: Duration = Duration::from_millis(500);

/// Time that an order has to be answered.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Most bytes of an answer.
const MOST: usize = 64 << 10;

/// Steps of one model that the number of its samples at one time is made of: the one that runs, and the one that
/// its trainer asks for meanwhile.
const STEPS: u64 = 2;

/// The leader's orders of upstreams.
pub(super) struct Supplies<'a> {
    app: &'a Arc<App>,
    office: &'a Office,
    to: UsageReports,
    held: Option<Kept<DesiredCapacity>>,
    tries: RetrySchedule,
}

impl<'a> Supplies<'a> {
    /// Makes a leader that has ordered nothing yet; [`None`] where nothing can be ordered.
    pub(super) fn new(app: &'a Arc<App>, office: &'a Office) -> Option<Self> {
        let to = app.settings.usage_reports?;
        Some(Self {
            app,
            office,
            to,
            held: None,
            tries: RetrySchedule::default(),
        })
    }

    /// Orders what is needed for as long as this instance leads.
    pub(super) async fn run(mut self, targets: &Targets) {
        loop {
            sleep(LOOK).await;
            if let Err(error) = self.turn(targets).await {
                self.held = None;
                let error = error.to_string();
                log::debug!(target: "capacity", error = error.as_str(); "record of orders not reached");
            }
        }
    }

    async fn turn(&mut self, targets: &Targets) -> Result<(), PlatError> {
        let Some(plan) = self.app.config.load_full() else {
            return Ok(());
        };
        let scaled = plan.services().any(|service| service.scaling.is_some());
        if !scaled || !self.office.may_order(self.app.clock.now()) {
            return Ok(());
        }
        let (mut ledger, rev) = match self.held.take() {
            Some(held) => held,
            None => kept::read(self.app, KEY).await?.unwrap_or_default(),
        };
        let mut changed = false;
        for order in self.wanted(&plan, &ledger, targets) {
            changed |= ledger.raise(order);
        }
        let rev = match changed {
            true => kept::write(self.app, KEY, &ledger, rev).await?,
            false => rev,
        };
        for order in ledger.orders() {
            self.ask(&plan, order).await;
        }
        self.held = Some((ledger, rev));
        Ok(())
    }

    fn wanted(&self, plan: &Config, ledger: &DesiredCapacity, targets: &Targets) -> Vec<Order> {
        let aims = targets.aims(self.app.clock.now());
        let mut orders = Vec::new();
        for service in plan.services() {
            let (Some(bounds), Some(engine)) = (&service.scaling, &service.engine) else {
                continue;
            };
            let models = engine.models.iter().filter_map(|model| aims.get(model));
            let wish = CapacityDemand {
                requests: models.map(|aim| aim.concurrent_samples / STEPS).sum(),
                slots: engine.slots,
                fill: self.app.settings.capacity_fill,
            };
            let present = self.present(&service.name, bounds);
            orders.extend(plan_orders(
                &service.name,
                bounds,
                &present,
                ledger.orders(),
                wish,
            ));
        }
        orders
    }

    /// The upstreams of a service in each failure domain in which there may be some.
    fn present(&self, service: &str, bounds: &ScalingBounds) -> Vec<DomainUpstreams> {
        let roster = self.app.upstreams.lock();
        let mut all: Vec<_> = bounds
            .prices
            .iter()
            .map(|(domain, _)| DomainUpstreams {
                domain: domain.clone(),
                regular: 0,
                spot: 0,
            })
            .collect();
        for one in roster.of_service(service).filter(|one| !one.leaving) {
            let Some(at) = all.iter_mut().find(|present| present.domain == one.domain) else {
                continue;
            };
            match one.spot {
                true => at.spot += 1,
                false => at.regular += 1,
            }
        }
        all
    }

    async fn ask(&mut self, plan: &Config, order: &Order) {
        let now = self.app.clock.now();
        let subject = &order.subject;
        let service = plan.service(&subject.service);
        let Some(bounds) = service.and_then(|service: &Arc<Service>| service.scaling.as_ref())
        else {
            return;
        };
        let present = self.present(&subject.service, bounds);
        let here = present.iter().find(|one| one.domain == subject.domain);
        let count = here.map_or(0, |one| if subject.spot { one.spot } else { one.regular });
        // Asked right before each order: the process may have been paused since the last renewal.
        if !self.tries.is_due(order, count, now) || !self.office.may_order(now) {
            return;
        }
        let granted = self.send(order).await;
        let now: Millis = self.app.clock.now();
        let outcome = match granted {
            Some(CapacityOrderOutcome::Accepted) => "taken",
            Some(CapacityOrderOutcome::Unavailable) => "none to be had",
            Some(CapacityOrderOutcome::Busy) => "busy",
            Some(CapacityOrderOutcome::Fenced) => "fenced",
            Some(CapacityOrderOutcome::Refused) => "refused",
            None => "unanswered",
        };
        match granted {
            Some(CapacityOrderOutcome::Accepted) => {
                self.tries.accepted(subject, bounds.startup_ms, now)
            }
            Some(CapacityOrderOutcome::Unavailable | CapacityOrderOutcome::Refused) => {
                self.tries.unavailable(subject, now)
            }
            Some(CapacityOrderOutcome::Busy | CapacityOrderOutcome::Fenced) | None => {
                self.tries.unanswered(subject, now)
            }
        }
        metrics::counter!(telemetry::CAPACITY_ORDERS, "result" => outcome).increment(1);
        log::info!(target: "capacity", service = &*subject.service, domain = &*subject.domain,
            wanted = order.count, present = count, fence = self.office.fence(), outcome;
            "upstreams ordered");
    }

    async fn send(&self, order: &Order) -> Option<CapacityOrderOutcome> {
        let supply = CapacityOrder {
            addr: self.to.address,
            order,
            holder: &self.app.me.instance,
            fencing_token: self.office.fence(),
        };
        let request = match self.app.dialect.capacity_order_request(&supply) {
            Ok(request) => request,
            Err(error) => {
                let error = error.to_string();
                log::error!(target: "capacity", error = error.as_str(); "no order");
                return Some(CapacityOrderOutcome::Refused);
            }
        };
        let answer = self.app.http.fetch(request, LIMIT, MOST).await.ok()?;
        Some(self.app.dialect.capacity_order_outcome(answer.status()))
    }
}
