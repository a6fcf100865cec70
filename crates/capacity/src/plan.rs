//! Computes how many upstreams a service needs in addition to those that it has.
//!
//! Load pattern: trainers request a step every few seconds, each with several hundred samples at once. If there are
//! fewer slots than samples, the remaining samples start only when the first ones finish, and the longest of them
//! delays the step. An upstream takes seconds to start, far longer than a step can wait. Therefore the upstreams for
//! one step of each model are started in advance and kept.

use std::sync::Arc;

use kernel::Millis;

use crate::Order;
use crate::OrderSubject;

/// The operator's scaling limits for a service in each failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// Minimum number of upstreams, regular and spot together.
    pub min_upstreams: u32,
    /// Maximum number of upstreams, regular and spot together.
    pub max_upstreams: u32,
    /// Time that a new upstream takes to start.
    pub startup_ms: Millis,
    /// Relative price of an upstream in each failure domain.
    pub prices: Vec<(Arc<str>, f64)>,
}

impl ScalingBounds {
    fn price(&self, domain: &str) -> f64 {
        let found = self.prices.iter().find(|(name, _)| &**name == domain);
        found.map_or(1.0, |(_, price)| *price)
    }
}

/// The upstreams of a service in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainUpstreams {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Upstreams that are not reclaimed.
    pub regular: u32,
    /// Upstreams that may be reclaimed at any time.
    pub spot: u32,
}

/// The demand for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityDemand {
    /// Requests that may have to run concurrently.
    pub requests: u64,
    /// Requests that one upstream handles concurrently.
    pub slots: u32,
    /// Fraction of the requests for which slots are provided in advance; 0 orders nothing.
    pub fill: f64,
}

/// Computes the orders for the additional upstreams that a service needs. An order never asks for fewer upstreams than
/// are present. Counts are raised only up to the allowed maximum. `previous` holds the orders made so far, whose counts
/// are not lowered.
///
/// Upstreams are spread evenly over the failure domains, so that losing a domain costs no more than its share. Among
/// domains with equally many upstreams, the cheapest is chosen first.
///
/// # Examples
///
/// ```
/// use capacity::{CapacityDemand, DomainUpstreams, ScalingBounds, plan_orders};
///
/// let prices = vec![("syd".into(), 0.8)];
/// let bounds = ScalingBounds { min_upstreams: 1, max_upstreams: 4, startup_ms: 4_000, prices };
/// let present = |domain: &str, regular| DomainUpstreams { domain: domain.into(), regular, spot: 0 };
/// let all = [present("nord", 2), present("syd", 2)];
/// let demand = CapacityDemand { requests: 40, slots: 8, fill: 1.0 };
/// let orders = plan_orders("fit", &bounds, &all, &[], demand);
/// assert_eq!(orders.len(), 1);
/// assert_eq!((&*orders[0].subject.domain, orders[0].count), ("syd", 3));
/// ```
pub fn plan_orders(
    service: &str,
    bounds: &ScalingBounds,
    present: &[DomainUpstreams],
    previous: &[Order],
    demand: CapacityDemand,
) -> Vec<Order> {
    let required_slots = demand.requests as f64 * demand.fill;
    let required = (required_slots / f64::from(demand.slots.max(1))).ceil() as u32;
    if required == 0 {
        return Vec::new();
    }
    let ordered = |domain: &DomainUpstreams| {
        let matches = |order: &&Order| {
            let subject = &order.subject;
            !subject.spot && *subject.service == *service && subject.domain == domain.domain
        };
        previous.iter().find(matches).map_or(0, |order| order.count)
    };
    // Upstreams that were ordered and have not started yet count as present.
    let mut counts: Vec<_> = present
        .iter()
        .map(|domain| (domain, domain.regular.max(ordered(domain))))
        .collect();
    let total = |counts: &[(&DomainUpstreams, u32)]| -> u32 {
        counts
            .iter()
            .map(|(domain, regular)| regular + domain.spot)
            .sum()
    };
    while total(&counts) < required {
        let candidates = counts.iter_mut();
        let candidates =
            candidates.filter(|(domain, regular)| regular + domain.spot < bounds.max_upstreams);
        let next = candidates.min_by(|(domain, regular), (other, other_regular)| {
            let (count, other_count) = (regular + domain.spot, *other_regular + other.spot);
            let price = bounds.price(&domain.domain);
            let by_price = price.total_cmp(&bounds.price(&other.domain));
            count.cmp(&other_count).then(by_price)
        });
        let Some((_, regular)) = next else { break };
        *regular += 1;
    }
    let raised = counts
        .into_iter()
        .filter(|(domain, regular)| *regular > domain.regular);
    let order = |(domain, count): (&DomainUpstreams, u32)| Order {
        subject: OrderSubject {
            service: service.into(),
            domain: domain.domain.clone(),
            spot: false,
        },
        count,
    };
    raised.map(order).collect()
}
