//! The events of a simulation and the queue that orders them by time.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kernel::Millis;
use spread::PollFailure;
use spread::SyncState;
use spread::Update;

/// What an instance does or receives at an event.
#[derive(Clone, Debug)]
pub enum EventKind {
    /// The instance starts.
    Start,
    /// The instance reads the members from the platform, during startup.
    ReadMembers,
    /// The instance begins a round of its follower.
    BeginRound,
    /// A poll arrives.
    Poll(Poll),
    /// The poll of this number has waited for as long as it may.
    WaitExpired(u64),
    /// The reply to the poll of this number arrives.
    Reply(u64, Box<Result<Update, PollFailure>>),
    /// The poll of this number has had no reply in time.
    Timeout(u64),
    /// A read of the platform's list is done.
    ReadDone,
}

/// A poll for updates.
#[derive(Clone, Copy, Debug)]
pub struct Poll {
    /// Index of the polling instance.
    pub from: usize,
    /// Number of the poll, unique for the polling instance.
    pub number: u64,
    /// State of the polling instance's replica when it sent the poll.
    pub state: SyncState,
    /// Time of sending, in milliseconds.
    pub sent_at: Millis,
    /// How long the polled instance may hold the poll, in milliseconds.
    pub wait: Millis,
}

/// An event at one instance.
#[derive(Clone, Debug)]
pub struct Event {
    /// Simulated time, in microseconds.
    pub time: u64,
    /// Order among events of the same time: first added, first handled.
    sequence: u64,
    /// Index of the instance.
    pub node: usize,
    /// What the instance does or receives.
    pub kind: EventKind,
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.time, self.sequence).cmp(&(other.time, other.sequence))
    }
}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}

/// The pending events, earliest first.
#[derive(Debug, Default)]
pub struct Queue {
    events: BinaryHeap<Reverse<Event>>,
    sequence: u64,
}

impl Queue {
    /// Adds an event at `time`, in microseconds.
    pub fn add(&mut self, time: u64, node: usize, kind: EventKind) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(Reverse(Event {
            time,
            sequence,
            node,
            kind,
        }));
    }

    /// Removes and returns the earliest event, unless it is later than `end`, in microseconds.
    pub fn next(&mut self, end: u64) -> Option<Event> {
        let Reverse(first) = self.events.peek()?;
        if first.time > end {
            return None;
        }
        self.events.pop().map(|Reverse(event)| event)
    }
}
