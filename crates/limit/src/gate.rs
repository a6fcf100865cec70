//! Decides which calls to a service are sent, wait or are refused.
//!
//! Load pattern: callers ask for up to several times what a service runs, and each retries when it is refused. Calls
//! wait here, in the order of their priorities and in fair shares of their teams, where they can still be refused.

use kernel::Millis;

use crate::Queue;
use crate::Signal;
use crate::Ticket;
use crate::Window;
use crate::order;
use crate::order::QueueEntry;
use crate::queue::Admission;
use crate::queue::Dequeued;
use crate::queue::WaitBounds;

/// Number of hedges (second attempts at a slow call) that each arriving call adds to the allowance: one in ten calls.
const HEDGE_SHARE: f64 = 0.1;

/// Maximum number of hedges in a row, so that the first calls to an upstream that stops responding can be hedged.
const MAX_HEDGES: f64 = 10.0;

/// Shortest and longest delay before a retry, in milliseconds: an earlier one finds the same queue, and a later one
/// leaves the service idle.
const RETRY_AFTER: (f64, f64) = (100.0, 5_000.0);

/// Largest change of the delay before a retry in either direction, as a fraction. Calls that are refused at the same
/// moment must not return together.
const RETRY_JITTER: f64 = 0.5;

/// A call and the times that bound its wait.
#[derive(Clone, Debug)]
pub struct GateCall {
    /// Its team and priority.
    pub entry: QueueEntry,
    /// When it arrived.
    pub arrived: Millis,
    /// When its answer is due at the latest.
    pub deadline: Millis,
    /// Time from its arrival within which the answer is as useful as an immediate one, in milliseconds.
    pub target: Option<Millis>,
}

/// Decision of a [`CallGate`] on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival<T> {
    /// It waits until [`CallGate::next`] returns it.
    Queued {
        /// Identifies the call.
        ticket: Ticket,
        /// Time after which it is refused.
        latest: Millis,
        /// A less urgent call that was removed from the full queue.
        displaced: Option<T>,
    },
    /// It is refused, because its wait would be too long.
    TooLong,
    /// It is refused, because the queue is full of calls that precede it.
    Full,
}

/// The queue and the window of one service at one instance.
///
/// # Examples
///
/// ```
/// use limit::{CallGate, Signal};
/// use limit::gate::GateCall;
/// use limit::order::QueueEntry;
///
/// let mut gate = CallGate::new(64);
/// gate.window_mut().set_max(1);
/// let entry = QueueEntry { customer: "a".parse()?, weight: 1, class: 5, cost: 1.0 };
/// let call = GateCall { entry, arrived: 0, deadline: 1_000, target: Some(150) };
/// gate.arrive(0, &call, "first");
/// gate.arrive(0, &call, "second");
/// assert_eq!(gate.next(0), Some("first"));
/// assert_eq!(gate.next(0), None);
/// gate.finish(20, 0, Some(Signal::OnTime(20)));
/// assert_eq!(gate.next(20), Some("second"));
/// # Ok::<(), kernel::NameError>(())
/// ```
pub struct CallGate<T> {
    queue: Queue<T>,
    window: Window,
    hedges: f64,
}

impl<T> CallGate<T> {
    /// Creates a gate at which at most `capacity` calls wait.
    pub fn new(capacity: usize) -> Self {
        Self {
            queue: Queue::new(order::prioritized(), capacity),
            window: Window::default(),
            hedges: MAX_HEDGES,
        }
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the window.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Returns the window, to change its maximum.
    pub fn window_mut(&mut self) -> &mut Window {
        &mut self.window
    }

    /// Returns the time after which a call must not be sent any more, since it would probably miss its target or its
    /// deadline. Without a target, it may wait for half of the time to its deadline.
    fn latest(&self, now: Millis, call: &GateCall) -> Millis {
        let usual = self.window.usual_time();
        let left = call.deadline.saturating_sub(call.arrived);
        let allowed = match call.target {
            Some(target) => target.saturating_sub(usual),
            None => left / 2,
        };
        let latest = (call.arrived + allowed).min(call.deadline.saturating_sub(usual));
        latest.max(now)
    }

    /// Decides on a call that arrives, or that an upstream rejected. A call that can be sent now is queued as well;
    /// [`CallGate::next`] returns it at once.
    pub fn arrive(&mut self, now: Millis, call: &GateCall, value: T) -> Arrival<T> {
        self.hedges = (self.hedges + HEDGE_SHARE).min(MAX_HEDGES);
        let latest = self.latest(now, call);
        let interval = self.window.interval();
        let first = match self.window.has_room(now) {
            true => 0.0,
            false => interval.max(self.window.pause(now) as f64),
        };
        let bounds = WaitBounds {
            now,
            latest,
            first,
            interval,
            has_spare_room: self.window.has_spare_room(),
        };
        match self.queue.push_within(bounds, &call.entry, value) {
            Admission::Queued { ticket, displaced } => Arrival::Queued {
                ticket,
                latest,
                displaced,
            },
            Admission::TooLong => Arrival::TooLong,
            Admission::Full => Arrival::Full,
        }
    }

    /// Returns the next call that may be sent, if any, and counts it as sent.
    pub fn next(&mut self, now: Millis) -> Option<T> {
        while self.window.has_room(now) {
            match self.queue.pop_in_turn(now)? {
                Dequeued::Ready(value) => {
                    self.window.start(now);
                    return Some(value);
                }
                // The task that waits for this call refuses it at the `latest` of `Arrival::Queued`.
                Dequeued::Expired(_) => (),
            }
        }
        None
    }

    /// Returns whether a second attempt at a call may be sent now, and counts it as sent. It may if no call waits, the
    /// window has room and few calls have been hedged.
    pub fn hedge(&mut self, now: Millis) -> bool {
        let allowed = self.queue.is_empty() && self.hedges >= 1.0 && self.window.has_room(now);
        if allowed {
            self.hedges -= 1.0;
            self.window.start(now);
        }
        allowed
    }

    /// Records the end of an attempt that was sent at `sent_at`.
    pub fn finish(&mut self, now: Millis, sent_at: Millis, signal: Option<Signal>) {
        self.window.finish(now, sent_at, signal);
    }

    /// Removes a waiting call.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.cancel(ticket);
    }

    /// Returns the delay before a refused call should be tried again, in milliseconds: until those that wait now have
    /// left. `draw` is a random number, uniformly distributed from 0 to 1.
    pub fn retry_after(&self, draw: f64) -> Millis {
        let room = self.window.interval() * (self.queue.len() + 1) as f64;
        // The estimate is limited before the jitter, because equal limits would let callers return together.
        let (shortest, longest) = RETRY_AFTER;
        let room = room.clamp(
            shortest / (1.0 - RETRY_JITTER),
            longest / (1.0 + RETRY_JITTER),
        );
        (room * (1.0 - RETRY_JITTER + 2.0 * RETRY_JITTER * draw)) as Millis
    }
}
