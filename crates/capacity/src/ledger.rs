//! What was asked for, as it is kept at the platform, and when it is asked for again.
//!
//! What goes wrong without it: an order whose answer was lost is carried out late, after a successor that knows
//! nothing of it has asked for another number. What is wanted is therefore written down before it is asked for, and
//! an exact repeat changes nothing.

use kernel::Map;
use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Order;
use crate::Subject;

/// Pause after an order that was not answered, in milliseconds.
const AGAIN: Millis = 800;

/// Pause after an order for which there was nothing to be had, in milliseconds: others may be given back meanwhile.
const SCARCE: Millis = 2_500;

/// Time beyond their start that upstreams have to be listed, in milliseconds.
const LISTED: Millis = 3_000;

/// What was asked for, in the order of the subjects.
///
/// # Examples
///
/// ```
/// use capacity::{DesiredCapacity, Order, Subject};
///
/// let subject = Subject { service: "fit".into(), domain: "nord".into(), spot: false };
/// let mut ledger = DesiredCapacity::default();
/// assert!(ledger.raise(Order { subject: subject.clone(), count: 3 }));
/// // A lower number never takes the place of a higher one.
/// assert!(!ledger.raise(Order { subject, count: 2 }));
/// assert_eq!(ledger.orders()[0].count, 3);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DesiredCapacity {
    orders: Vec<Order>,
}

impl DesiredCapacity {
    /// The orders.
    pub fn orders(&self) -> &[Order] {
        &self.orders
    }

    /// Takes an order in, which is then to be written before it is given; tells whether it changes anything.
    pub fn raise(&mut self, order: Order) -> bool {
        match self
            .orders
            .iter_mut()
            .find(|held| held.subject == order.subject)
        {
            Some(held) if held.count >= order.count => false,
            Some(held) => {
                held.count = order.count;
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

/// When orders are given again, as far as their holder knows.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    next: Map<Subject, Millis>,
}

impl RetrySchedule {
    /// Tells whether an order is due: `present` upstreams of its subject are there.
    pub fn is_due(&self, order: &Order, present: u32, now: Millis) -> bool {
        let next = self.next.get(&order.subject).copied().unwrap_or(0);
        present < order.count && now >= next
    }

    /// Notes that an order was taken: its upstreams are there within `boot` milliseconds, or were lost since.
    pub fn accepted(&mut self, subject: &Subject, boot: Millis, now: Millis) {
        self.next.insert(subject.clone(), now + boot + LISTED);
    }

    /// Notes that there was nothing to be had.
    pub fn unavailable(&mut self, subject: &Subject, now: Millis) {
        self.next.insert(subject.clone(), now + SCARCE);
    }

    /// Notes that nothing was heard of an order.
    pub fn unanswered(&mut self, subject: &Subject, now: Millis) {
        self.next.insert(subject.clone(), now + AGAIN);
    }
}
