//! How many upstreams of a service are wanted in each failure domain, and what was asked for.
//!
//! [`need`] decides how many are wanted, and nothing else does; [`DesiredCapacity`] keeps what was asked for, so that a
//! successor asks for the same. Nothing here reads a socket or a clock.

pub mod ledger;
pub mod need;

pub use ledger::DesiredCapacity;
pub use ledger::RetrySchedule;
pub use need::CapacityDemand;
pub use need::DomainUpstreams;
pub use need::ScalingBounds;
pub use need::plan_orders;

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// What an order is about: a later order for the same takes the place of an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Subject {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether it is about upstreams that cost less and may be taken away at any moment.
    pub spot: bool,
}

/// An order for a number of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// What it is about.
    pub subject: Subject,
    /// How many there shall be.
    pub count: u32,
}
