//! A queue in front of a pool of upstreams that rejects requests it cannot serve by their deadline.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use kernel::Millis;

use crate::order::QueueEntry;
use crate::order::Ranker;

/// Identifies a queued request.
pub type Ticket = u64;

/// Decision of a [`Queue`] on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It waits; the ticket identifies it.
    Queued(Ticket),
    /// It cannot finish by its deadline, so it is rejected without running.
    DeadlineTooClose {
        /// Wait before a retry, in milliseconds.
        retry_after: Millis,
    },
    /// The queue is full.
    Full {
        /// Wait before a retry, in milliseconds.
        retry_after: Millis,
    },
}

#[derive(Debug)]
struct QueuedRequest<T> {
    rank: f64,
    ticket: Ticket,
    deadline: Millis,
    value: T,
}

impl<T> PartialEq for QueuedRequest<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for QueuedRequest<T> {}

impl<T> PartialOrd for QueuedRequest<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedRequest<T> {
    // Reversed, since a binary heap returns the greatest item first and the lowest rank must leave first.
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .rank
            .total_cmp(&self.rank)
            .then(other.ticket.cmp(&self.ticket))
    }
}

/// A request that left the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// It can run now.
    Ready(T),
    /// Too little time is left before its deadline; it must not run.
    Expired(T),
}

impl<T> Dequeued<T> {
    /// Returns the request in either case.
    pub fn into_inner(self) -> T {
        match self {
            Self::Ready(value) | Self::Expired(value) => value,
        }
    }
}

/// Minimum time between the expected start of a request and its deadline, in multiples of its service time.
/// Waiting and service times vary, and a request rejected late has delayed others for nothing.
const SERVICE_TIME_FACTOR: u64 = 2;

/// Weight of the newest departure interval in the moving average.
const SMOOTHING_FACTOR: f64 = 0.05;

/// A bounded queue in front of a pool of upstreams.
pub struct Queue<T> {
    ranker: Box<dyn Ranker>,
    heap: BinaryHeap<QueuedRequest<T>>,
    capacity: usize,
    last_ticket: Ticket,
    /// Mean time between two departures while requests waited, in milliseconds.
    mean_interval: f64,
    last_departure: Option<Millis>,
}

impl<T> Queue<T> {
    /// Creates a queue that holds at most `capacity` requests.
    pub fn new(ranker: Box<dyn Ranker>, capacity: usize) -> Self {
        Self {
            ranker,
            heap: BinaryHeap::new(),
            capacity,
            last_ticket: 0,
            mean_interval: 0.0,
            last_departure: None,
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Estimates how long a request waits with `ahead` others in front of it.
    fn expected_wait(&self, ahead: usize) -> Millis {
        (self.mean_interval * ahead as f64) as Millis
    }

    /// Queues an arriving request with an expected service time of `service_time` milliseconds, or rejects it.
    ///
    /// Only requests with the same or a lower rank count as ahead of it, so a request of a contract
    /// within its share isn't rejected because of another contract's backlog.
    pub fn push(
        &mut self,
        now: Millis,
        entry: &QueueEntry,
        deadline: Millis,
        service_time: Millis,
        value: T,
    ) -> QueueDecision {
        if self.heap.len() >= self.capacity {
            let retry_after = self.expected_wait(self.heap.len()).max(1);
            return QueueDecision::Full { retry_after };
        }
        let rank = self.ranker.rank(entry);
        let ahead = self
            .heap
            .iter()
            .filter(|queued| queued.rank <= rank)
            .count();
        let wait = self.expected_wait(ahead);
        if now + wait + SERVICE_TIME_FACTOR * service_time > deadline {
            return QueueDecision::DeadlineTooClose {
                retry_after: wait.max(1),
            };
        }
        self.last_ticket += 1;
        self.heap.push(QueuedRequest {
            rank,
            ticket: self.last_ticket,
            deadline,
            value,
        });
        QueueDecision::Queued(self.last_ticket)
    }

    /// Returns the request that leaves next, and whether it has expired: at most `service_time` milliseconds are
    /// left before its deadline, so running it would be wasted work.
    pub fn peek(&self, now: Millis, service_time: Millis) -> Option<(&T, bool)> {
        let queued = self.heap.peek()?;
        Some((&queued.value, queued.deadline <= now + service_time))
    }

    /// Removes the next request; it is [`Dequeued::Expired`] if at most `service_time` milliseconds are left before
    /// its deadline.
    pub fn pop(&mut self, now: Millis, service_time: Millis) -> Option<Dequeued<T>> {
        let queued = self.heap.pop()?;
        if queued.deadline <= now + service_time {
            return Some(Dequeued::Expired(queued.value));
        }
        self.ranker.dispatched(queued.rank);
        self.record_departure(now);
        Some(Dequeued::Ready(queued.value))
    }

    fn record_departure(&mut self, now: Millis) {
        // An interval counts only while requests wait; in an idle queue it would measure arrivals instead.
        let waiting = !self.heap.is_empty();
        let last = self.last_departure.take();
        if waiting {
            self.last_departure = Some(now);
        }
        if let Some(last) = last {
            let interval = now.saturating_sub(last) as f64;
            self.mean_interval += SMOOTHING_FACTOR * (interval - self.mean_interval);
        }
    }

    /// Removes a request whose client has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.heap.retain(|queued| queued.ticket != ticket);
    }
}
