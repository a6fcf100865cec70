//! What happens, in the order of time.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kernel::Millis;
use spread::PollFailure;
use spread::SyncState;
use spread::Update;

/// Something that happens to an instance.
#[derive(Clone, Debug)]
pub enum What {
    /// It starts.
    Start,
    /// It looks who has entered.
    Meet,
    /// It begins a round.
    Round,
    /// A question reaches it.
    Question(Question),
    /// The time is over for which a question may wait.
    Over(u64),
    /// An answer reaches it.
    Answer(u64, Box<Result<Update, PollFailure>>),
    /// No answer has come in time.
    Silence(u64),
    /// A read of the platform has ended.
    Read,
}

/// A question for news.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Who asks.
    pub from: usize,
    /// The question's number.
    pub number: u64,
    /// What it has.
    pub have: SyncState,
    /// When it was asked, in milliseconds.
    pub asked: Millis,
    /// How long it may wait, in milliseconds.
    pub wait: Millis,
}

/// Something that happens at a time, in microseconds.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: u64,
    /// Which of those at the same time.
    order: u64,
    /// To whom.
    pub node: usize,
    /// What.
    pub what: What,
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
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

/// What is to happen.
#[derive(Debug, Default)]
pub struct Queue {
    events: BinaryHeap<Reverse<Event>>,
    order: u64,
}

impl Queue {
    /// Adds something that happens at a time, in microseconds.
    pub fn add(&mut self, at: u64, node: usize, what: What) {
        self.order += 1;
        let order = self.order;
        self.events.push(Reverse(Event {
            at,
            order,
            node,
            what,
        }));
    }

    /// What happens next, unless that is later than `end`.
    pub fn next(&mut self, end: u64) -> Option<Event> {
        let Reverse(first) = self.events.peek()?;
        if first.at > end {
            return None;
        }
        self.events.pop().map(|Reverse(event)| event)
    }
}
