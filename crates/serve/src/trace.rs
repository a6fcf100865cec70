//! The trace of one request while it is served.

use kernel::Millis;
use kernel::Name;
use kernel::RequestId;
use wire::caller::HistoryEntry;

use clock::Clock;

/// The trace of one request while it is served. When the request ends, it becomes a log line and an
/// entry of the history.
#[derive(Debug)]
pub struct Trace {
    /// The identifier of the request.
    pub id: RequestId,
    /// The kind of call, used as a metrics label.
    pub kind: &'static str,
    /// The customer, once the call is authenticated.
    pub customer: Option<Name>,
    /// The upstream of the last attempt.
    pub upstream: Option<Name>,
    /// Number of attempts at upstreams.
    pub attempts: u32,
    /// The events, oldest first.
    pub notes: Vec<HistoryEntry>,
    started_at: Millis,
    clock: Clock,
}

impl Trace {
    /// Starts a trace with a new request identifier.
    pub fn begin(kind: &'static str, clock: Clock) -> Self {
        Self {
            id: RequestId::generate(),
            kind,
            customer: None,
            upstream: None,
            attempts: 0,
            notes: Vec::new(),
            started_at: clock.now(),
            clock,
        }
    }

    /// Adds an event with the current time.
    pub fn note(&mut self, event: impl Into<Box<str>>) {
        self.notes.push(HistoryEntry {
            at: self.clock.wall(),
            what: event.into(),
        });
    }

    /// Returns the milliseconds since the trace was started.
    pub fn age(&self) -> Millis {
        self.clock.now() - self.started_at
    }
}
