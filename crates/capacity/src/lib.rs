//! Capacity planning: how many upstreams of a service to order in each failure domain.
//!
//! [`plan_orders`] alone decides how many upstreams are wanted. [`DesiredCapacity`] keeps the orders, so that a
//! new leader continues with the same numbers. This crate does no I/O and reads no clock.

pub mod orders;
pub mod plan;

pub use orders::DesiredCapacity;
pub use orders::RetrySchedule;
pub use plan::CapacityDemand;
pub use plan::DomainUpstreams;
pub use plan::ScalingBounds;
pub use plan::plan_orders;

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Identifies the upstreams that an order is for. A later order with the same subject replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct OrderSubject {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether the order is for spot upstreams, which cost less and may be reclaimed at any time.
    pub spot: bool,
}

/// An order for a number of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The upstreams that it is for.
    pub subject: OrderSubject,
    /// Total number of upstreams wanted, including those already present.
    pub count: u32,
}
