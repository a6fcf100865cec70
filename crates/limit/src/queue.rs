//! The queue before a pool of upstreams, bounded by deadlines.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use kernel::Millis;

use crate::order::QueueEntry;
use crate::order::Ranker;

/// Names one waiting request.
pub type Ticket = u64;

/// What a queue says to an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It waits under this ticket.
    Queued(Ticket),
    /// It could not be done by its deadline, so it is refused now and nothing is run.
    DeadlineTooClose {
        /// When to come back, in milliseconds.
        retry_after: Millis,
    },
    /// The queue is full.
    Full {
        /// When to come back, in milliseconds.
        retry_after: Millis,
    },
}

#[derive(Debug)]
struct Item<T> {
    rank: f64,
    ticket: Ticket,
    deadline: Millis,
    value: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    // Reversed: a binary heap gives the greatest first, and the lowest rank goes first.
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
    /// It goes now.
    Ready(T),
    /// Its deadline passed while it waited; it did not run.
    Expired(T),
}

impl<T> Dequeued<T> {
    /// The request, whatever becomes of it.
    pub fn into_inner(self) -> T {
        match self {
            Self::Ready(value) | Self::Expired(value) => value,
        }
    }
}

/// Times of the expected work that must be left when a request is admitted: waits and works vary,
/// and a request that is refused late has held up others for nothing.
const MARGIN: u64 = 2;

/// Weight of the newest observation in the mean of service times.
const SMOOTH: f64 = 0.05;

/// A queue before a pool of upstreams.
pub struct Queue<T> {
    ranker: Box<dyn Ranker>,
    heap: BinaryHeap<Item<T>>,
    room: usize,
    next: Ticket,
    /// Mean milliseconds between two departures while requests waited.
    gap: f64,
    last: Option<Millis>,
}

impl<T> Queue<T> {
    /// Makes a queue with room for `room` waiting requests.
    pub fn new(ranker: Box<dyn Ranker>, room: usize) -> Self {
        Self {
            ranker,
            heap: BinaryHeap::new(),
            room,
            next: 0,
            gap: 0.0,
            last: None,
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// How long a request that arrives now is likely to wait when it has to let `ahead` others go.
    fn wait(&self, ahead: usize) -> Millis {
        (self.gap * ahead as f64) as Millis
    }

    /// Offers an arriving request, which takes about `work` milliseconds once it runs.
    ///
    /// Only the requests with a lower rank count as ahead of it, so a contract within its share
    /// is not refused for another's backlog.
    pub fn push(
        &mut self,
        now: Millis,
        entry: &QueueEntry,
        deadline: Millis,
        work: Millis,
        value: T,
    ) -> QueueDecision {
        if self.heap.len() >= self.room {
            let retry_after = self.wait(self.heap.len()).max(1);
            return QueueDecision::Full { retry_after };
        }
        let rank = self.ranker.rank(entry);
        let ahead = self.heap.iter().filter(|item| item.rank <= rank).count();
        let wait = self.wait(ahead);
        if now + wait + MARGIN * work > deadline {
            return QueueDecision::DeadlineTooClose {
                retry_after: wait.max(1),
            };
        }
        self.next += 1;
        self.heap.push(Item {
            rank,
            ticket: self.next,
            deadline,
            value,
        });
        QueueDecision::Queued(self.next)
    }

    /// The request that goes next, and whether it is too late for it: less than `work`
    /// milliseconds are left, so that an upstream would work for nothing.
    pub fn peek(&self, now: Millis, work: Millis) -> Option<(&T, bool)> {
        let item = self.heap.peek()?;
        Some((&item.value, item.deadline <= now + work))
    }

    /// Takes out the next request; one for which it is too late comes out as [`Dequeued::Late`].
    pub fn pop(&mut self, now: Millis, work: Millis) -> Option<Dequeued<T>> {
        let item = self.heap.pop()?;
        if item.deadline <= now + work {
            return Some(Dequeued::Expired(item.value));
        }
        self.ranker.served(item.rank);
        self.pace(now);
        Some(Dequeued::Ready(item.value))
    }

    fn pace(&mut self, now: Millis) {
        // A gap counts only while requests wait: an idle queue's gaps tell of arrivals instead.
        let waiting = !self.heap.is_empty();
        let last = self.last.take();
        if waiting {
            self.last = Some(now);
        }
        if let Some(last) = last {
            let gap = now.saturating_sub(last) as f64;
            self.gap += SMOOTH * (gap - self.gap);
        }
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.heap.retain(|item| item.ticket != ticket);
    }
}
