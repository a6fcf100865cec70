//! How many upstreams a service needs beyond those that it has.
//!
//! Load pattern: the trainers' steps come every few seconds with some hundred samples each, all at once. With fewer
//! places than samples, the later ones begin when the first have ended, and the longest of them makes the step late.
//! An upstream takes seconds to start, far longer than a step waits, so those that a step of each model fills
//! are there before it comes, and stay.

use std::sync::Arc;

use kernel::Millis;

use crate::Order;
use crate::Subject;

/// What the operator allows of a service, in each failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// Fewest upstreams, of both kinds together.
    pub min_upstreams: u32,
    /// Most upstreams, of both kinds together.
    pub max_upstreams: u32,
    /// Time that a new one takes to start, in milliseconds.
    pub startup_ms: Millis,
    /// What a second of one costs in each failure domain, against others.
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
    /// Upstreams that stay.
    pub regular: u32,
    /// Upstreams that may be taken away at any moment.
    pub spot: u32,
}

/// What a service's work asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityDemand {
    /// Requests that may have to run at the same time.
    pub requests: u64,
    /// Requests that an upstream works on at the same time.
    pub slots: u32,
    /// Part of those requests that shall have a place at once; 0 asks for nothing.
    pub fill: f64,
}

/// The orders that give a service the upstreams that it needs beyond those that it has, if any; never for fewer than
/// there are, and never for more than is allowed. `asked` are the counts that were asked for before and are kept.
///
/// They are spread so that each failure domain has about as many: one that is cut off, or whose upstreams go at
/// once, then takes no more than its part. Among equals the cheapest comes first.
///
/// # Examples
///
/// ```
/// use capacity::{ScalingBounds, DomainUpstreams, CapacityDemand, plan_orders};
///
/// let bounds = ScalingBounds { min_upstreams: 1, max_upstreams: 4, startup_ms: 4_000, prices: vec![("syd".into(), 0.8)] };
/// let present = |domain: &str, regular| DomainUpstreams { domain: domain.into(), regular, spot: 0 };
/// let all = [present("nord", 2), present("syd", 2)];
/// let wish = CapacityDemand { requests: 40, slots: 8, fill: 1.0 };
/// let orders = plan_orders("fit", &bounds, &all, &[], wish);
/// assert_eq!(orders.len(), 1);
/// assert_eq!((&*orders[0].subject.domain, orders[0].count), ("syd", 3));
/// ```
pub fn plan_orders(
    service: &str,
    bounds: &ScalingBounds,
    present: &[DomainUpstreams],
    asked: &[Order],
    wish: CapacityDemand,
) -> Vec<Order> {
    let places = wish.requests as f64 * wish.fill;
    let need = (places / f64::from(wish.slots.max(1))).ceil() as u32;
    if need == 0 {
        return Vec::new();
    }
    let asked = |one: &DomainUpstreams| {
        let about = |order: &&Order| {
            let subject = &order.subject;
            !subject.spot && *subject.service == *service && subject.domain == one.domain
        };
        asked.iter().find(about).map_or(0, |order| order.count)
    };
    // What was asked for and is not there yet counts as there.
    let mut counts: Vec<_> = present
        .iter()
        .map(|one| (one, one.regular.max(asked(one))))
        .collect();
    let total = |counts: &[(&DomainUpstreams, u32)]| -> u32 {
        counts.iter().map(|(one, kept)| kept + one.spot).sum()
    };
    while total(&counts) < need {
        let open = counts.iter_mut();
        let open = open.filter(|(one, kept)| kept + one.spot < bounds.max_upstreams);
        let next = open.min_by(|(one, kept), (other, others)| {
            let (here, there) = (kept + one.spot, *others + other.spot);
            let price = bounds.price(&one.domain);
            let by_price = price.total_cmp(&bounds.price(&other.domain));
            here.cmp(&there).then(by_price)
        });
        let Some((_, kept)) = next else { break };
        *kept += 1;
    }
    let more = counts.into_iter().filter(|(one, kept)| *kept > one.regular);
    let order = |(one, count): (&DomainUpstreams, u32)| Order {
        subject: Subject {
            service: service.into(),
            domain: one.domain.clone(),
            spot: false,
        },
        count,
    };
    more.map(order).collect()
}
