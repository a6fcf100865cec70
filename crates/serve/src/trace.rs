//! What is known of one request while it is served.

use kernel::Millis;
use kernel::Name;
use kernel::RequestId;
use wire::caller::HistoryEntry;

use clock::Clock;

/// What is known of one request while it is served; becomes a log line and an entry of the
/// history.
#[derive(Debug)]
pub struct Trace {
    /// Its identifier.
    pub id: RequestId,
    /// What kind of call it is.
    pub kind: &'static str,
    /// The customer, once known.
    pub customer: Option<Name>,
    /// The upstream that served it or failed it last.
    pub upstream: Option<Name>,
    /// Attempts that were made.
    pub attempts: u32,
    /// What happened, in order.
    pub notes: Vec<HistoryEntry>,
    began: Millis,
    clock: Clock,
}

impl Trace {
    /// Begins with a fresh identifier.
    pub fn begin(kind: &'static str, clock: Clock) -> Self {
        Self {
            id: RequestId::generate(),
            kind,
            customer: None,
            upstream: None,
            attempts: 0,
            notes: Vec::new(),
            began: clock.now(),
            clock,
        }
    }

    /// Notes what happened.
    pub fn note(&mut self, what: impl Into<Box<str>>) {
        self.notes.push(HistoryEntry {
            at: self.clock.wall(),
            what: what.into(),
        });
    }

    /// Milliseconds since it began.
    pub fn age(&self) -> Millis {
        self.clock.now() - self.began
    }
}
