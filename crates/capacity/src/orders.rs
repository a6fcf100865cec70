//! Persisted orders for upstreams, and when an order is sent again.
//!
//! Orders are stored before they are sent. Otherwise an order whose response was lost might be carried out late,
//! after a new leader that does not know of it has ordered a different number. Sending an identical order again has no
//! effect.

use kernel::Map;
use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Order;
use crate::OrderSubject;

/// Delay before an order without a response is sent again.
const UNANSWERED_RETRY_MS: Millis = 800;

/// Delay before an order is sent again when no upstreams were available; others may be released meanwhile.
const UNAVAILABLE_RETRY_MS: Millis = 2_500;

/// Time that upstreams may take to appear in the list after they have started.
const LISTING_TIMEOUT_MS: Millis = 3_000;

/// The desired number of upstreams per subject, sorted by subject.
///
/// # Examples
///
/// ```
/// use capacity::{DesiredCapacity, Order, OrderSubject};
///
/// let subject = OrderSubject { service: "fit".into(), domain: "nord".into(), spot: false };
/// let mut desired = DesiredCapacity::default();
/// assert!(desired.raise(Order { subject: subject.clone(), count: 3 }));
/// // A lower count never replaces a higher one.
/// assert!(!desired.raise(Order { subject, count: 2 }));
/// assert_eq!(desired.orders()[0].count, 3);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DesiredCapacity {
    orders: Vec<Order>,
}

impl DesiredCapacity {
    /// The orders, sorted by subject.
    pub fn orders(&self) -> &[Order] {
        &self.orders
    }

    /// Adds an order or raises the count of an existing one; returns whether anything changed. The caller must
    /// store a change before it sends the order.
    pub fn raise(&mut self, order: Order) -> bool {
        match self
            .orders
            .iter_mut()
            .find(|known| known.subject == order.subject)
        {
            Some(known) if known.count >= order.count => false,
            Some(known) => {
                known.count = order.count;
                true
            }
            None => {
                self.orders.push(order);
                self.orders.sort_by(|a, b| a.subject.cmp(&b.subject));
                true
            }
        }
    }
}

/// When each order may be sent again. Kept in memory by the current leader only.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    next_at: Map<OrderSubject, Millis>,
}

impl RetrySchedule {
    /// Whether to send an order now, given that `present` upstreams of its subject exist.
    pub fn is_due(&self, order: &Order, present: u32, now: Millis) -> bool {
        let next_at = self.next_at.get(&order.subject).copied().unwrap_or(0);
        present < order.count && now >= next_at
    }

    /// Records that an order was accepted. Upstreams that are still missing `startup_ms` milliseconds and the listing
    /// timeout later were lost and are ordered again.
    pub fn accepted(&mut self, subject: &OrderSubject, startup_ms: Millis, now: Millis) {
        self.next_at
            .insert(subject.clone(), now + startup_ms + LISTING_TIMEOUT_MS);
    }

    /// Records that no upstreams were available.
    pub fn unavailable(&mut self, subject: &OrderSubject, now: Millis) {
        self.next_at
            .insert(subject.clone(), now + UNAVAILABLE_RETRY_MS);
    }

    /// Records that an order got no usable response.
    pub fn unanswered(&mut self, subject: &OrderSubject, now: Millis) {
        self.next_at
            .insert(subject.clone(), now + UNANSWERED_RETRY_MS);
    }
}
