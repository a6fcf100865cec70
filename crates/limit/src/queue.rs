//! A queue in front of a pool of upstreams that rejects requests it cannot serve by their deadline.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use kernel::Map;
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

/// Times that decide whether a request may wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitBounds {
    /// The current time.
    pub now: Millis,
    /// Time after which the request must not leave the queue to run.
    pub latest: Millis,
    /// Time until the next request can leave, in milliseconds.
    pub first: f64,
    /// Time between the departures after that, in milliseconds.
    pub interval: f64,
    /// Whether there is so much room that the request need not give way to more urgent ones.
    pub has_spare_room: bool,
}

/// Decision of [`Queue::push_within`] on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// It waits.
    Queued {
        /// Identifies the request.
        ticket: Ticket,
        /// The last request of a full queue, which was removed for a request that precedes it.
        displaced: Option<T>,
    },
    /// Its expected wait ends after its latest time.
    TooLong,
    /// The queue is full of requests that precede it.
    Full,
}

#[derive(Debug)]
struct QueuedRequest<T> {
    /// Whether it leaves before all others, whatever their ranks.
    first: bool,
    rank: f64,
    entry: QueueEntry,
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
        self.first
            .cmp(&other.first)
            .then(other.rank.total_cmp(&self.rank))
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

/// One in this many departures of [`Queue::pop_in_turn`] goes to the request that has waited longest, so that
/// continuous requests of an urgent class do not starve the others.
const TURN_INTERVAL: u32 = 8;

/// Departures after which a less urgent request that would otherwise be refused may leave first. After this number, it
/// has to be from a customer that has got no more than its share of its class; after twice this number, from any.
/// Refused requests do not wait, so the turns of [`TURN_INTERVAL`] alone never reach them.
const YIELD_INTERVAL: u32 = TURN_INTERVAL / 2;

/// Time after the refusal of a request for which less urgent ones give way to its retry, in milliseconds. Where few
/// requests wait, the order of the queue alone would serve all classes alike.
const CONTENTION_TIME: Millis = 1_000;

/// A bounded queue in front of a pool of upstreams.
pub struct Queue<T> {
    ranker: Box<dyn Ranker>,
    heap: BinaryHeap<QueuedRequest<T>>,
    capacity: usize,
    last_ticket: Ticket,
    /// Mean time between two departures while requests waited, in milliseconds.
    mean_interval: f64,
    last_departure: Option<Millis>,
    /// Departures since the last one in the order of arrival.
    departures: u32,
    /// Departures since a less urgent request took the place of a more urgent one.
    since_yielded: u32,
    /// The highest rank of each class that has left by [`Queue::pop_in_turn`].
    served_ranks: Map<u8, f64>,
    /// When [`Queue::push_within`] last refused a request of each class.
    refusals: Map<u8, Millis>,
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
            departures: 0,
            since_yielded: 0,
            served_ranks: Map::default(),
            refusals: Map::default(),
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
            first: false,
            rank,
            entry: entry.clone(),
            ticket: self.last_ticket,
            deadline,
            value,
        });
        QueueDecision::Queued(self.last_ticket)
    }

    /// Queues an arriving request if its expected wait, which follows from the requests ahead of it, ends in time.
    ///
    /// Unlike [`Queue::push`], it uses the departure times that the caller expects. A full queue makes room by removing
    /// its last request if that leaves after this one.
    pub fn push_within(
        &mut self,
        bounds: WaitBounds,
        entry: &QueueEntry,
        value: T,
    ) -> Admission<T> {
        let mut request = QueuedRequest {
            first: false,
            rank: self.ranker.rank(entry),
            entry: entry.clone(),
            ticket: self.last_ticket + 1,
            deadline: bounds.latest,
            value,
        };
        let ahead = self.heap.iter().filter(|queued| **queued > request).count();
        let end = |ahead: usize| bounds.now as f64 + bounds.first + bounds.interval * ahead as f64;
        let latest = bounds.latest as f64;
        let gives_way = !bounds.has_spare_room && self.gives_way(entry.class, bounds.now);
        if gives_way || end(ahead) > latest {
            let is_less_urgent = |queued: &QueuedRequest<T>| queued.entry.class < entry.class;
            let takes_turn = gives_way || self.heap.iter().any(is_less_urgent);
            if !takes_turn || !self.may_yield_to(entry.class, request.rank) || end(0) > latest {
                self.refuse(entry, bounds.now);
                return Admission::TooLong;
            }
            self.since_yielded = 0;
            request.first = true;
        }
        let mut displaced = None;
        if self.heap.len() >= self.capacity {
            let last = self.heap.iter().min();
            let last = last.filter(|last| **last < request);
            let Some(last) = last.map(|last| last.ticket) else {
                self.refuse(entry, bounds.now);
                return Admission::Full;
            };
            displaced = self.withdraw(last);
        }
        self.last_ticket += 1;
        self.heap.push(request);
        Admission::Queued {
            ticket: self.last_ticket,
            displaced,
        }
    }

    fn refuse(&mut self, entry: &QueueEntry, now: Millis) {
        self.ranker.withdrawn(entry);
        self.refusals.insert(entry.class, now);
    }

    /// Returns whether a more urgent request was refused lately.
    fn gives_way(&self, class: u8, now: Millis) -> bool {
        let mut refusals = self.refusals.iter();
        refusals.any(|(other, at)| *other < class && now < at + CONTENTION_TIME)
    }

    /// Returns whether a less urgent request may leave before more urgent ones. For the first
    /// [`YIELD_INTERVAL`] departures after a turn is due, only customers that have got no more than their share of the
    /// class may take it.
    fn may_yield_to(&self, class: u8, rank: f64) -> bool {
        let served = self.served_ranks.get(&class);
        let is_ahead = served.is_some_and(|served| rank > *served);
        match is_ahead {
            true => self.since_yielded >= 2 * YIELD_INTERVAL,
            false => self.since_yielded >= YIELD_INTERVAL,
        }
    }

    /// Removes the next request; one in eight departures is the request that has waited longest. It is
    /// [`Dequeued::Expired`] after its latest time.
    pub fn pop_in_turn(&mut self, now: Millis) -> Option<Dequeued<T>> {
        let is_turn = self.departures + 1 >= TURN_INTERVAL;
        let queued = match is_turn {
            true => {
                let oldest = self.heap.iter().map(|queued| queued.ticket).min()?;
                self.remove(oldest)?
            }
            false => self.heap.pop()?,
        };
        if queued.deadline < now {
            self.ranker.withdrawn(&queued.entry);
            return Some(Dequeued::Expired(queued.value));
        }
        self.departures = (self.departures + 1) % TURN_INTERVAL;
        self.since_yielded = self.since_yielded.saturating_add(1);
        let served = self.served_ranks.entry(queued.entry.class);
        let served = served.or_insert(queued.rank);
        *served = served.max(queued.rank);
        self.ranker.dispatched(queued.rank);
        self.record_departure(now);
        Some(Dequeued::Ready(queued.value))
    }

    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest<T>> {
        let mut requests = std::mem::take(&mut self.heap).into_vec();
        let index = requests.iter().position(|queued| queued.ticket == ticket);
        let removed = index.map(|index| requests.swap_remove(index));
        self.heap = requests.into();
        removed
    }

    /// Removes a request that will not run.
    fn withdraw(&mut self, ticket: Ticket) -> Option<T> {
        let removed = self.remove(ticket)?;
        self.ranker.withdrawn(&removed.entry);
        Some(removed.value)
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
        self.withdraw(ticket);
    }
}
