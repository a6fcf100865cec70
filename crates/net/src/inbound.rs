//! What is known of an open connection of a server.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use gotham::state::StateData;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::eviction;
use crate::eviction::Candidate;
use crate::eviction::STALL_TIME;
use crate::eviction::Waiting;

/// What happens on a connection.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// It waits for the head of a request.
    Idle { since: Instant, served: bool },
    /// The body of a request is received; the last progress was made then.
    Receiving { progress: Instant },
    /// A request is handled, or its response is sent.
    Busy,
    /// It is to be closed by the other side.
    Closing { since: Instant },
}

/// An open connection of a server.
#[derive(Debug)]
pub struct Inbound {
    from: IpAddr,
    phase: Mutex<Phase>,
    /// Since when the other side has not taken what is written to it.
    blocked: Mutex<Option<Instant>>,
    /// Whether the rest of a request's body is not read.
    unread: Mutex<bool>,
    /// Whether a body is received that is longer than an ordinary one.
    long_body: AtomicBool,
    closed: Notify,
    evicted: Notify,
}

impl Inbound {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(from: SocketAddr) -> Self {
        Self {
            from: from.ip(),
            phase: Mutex::new(Phase::Idle {
                since: Instant::now(),
                served: false,
            }),
            blocked: Mutex::default(),
            unread: Mutex::default(),
            long_body: AtomicBool::default(),
            closed: Notify::new(),
            evicted: Notify::new(),
        }
    }

    /// Records that a request has arrived.
    pub(crate) fn request_began(&self, has_body: bool) {
        *self.phase.lock() = Phase::Busy;
        *self.unread.lock() = has_body;
    }

    /// Records that the response to a request has been sent.
    pub(crate) fn response_ended(&self) {
        *self.phase.lock() = Phase::Idle {
            since: Instant::now(),
            served: true,
        };
    }

    /// Records progress of a body.
    pub(crate) fn body_progressed(&self) {
        *self.phase.lock() = Phase::Receiving {
            progress: Instant::now(),
        };
    }

    /// Records that a body that is received is a long one.
    pub(crate) fn body_is_long(&self) {
        self.long_body.store(true, Ordering::Relaxed);
    }

    /// Returns whether a long body is received.
    pub(crate) fn receives_long_body(&self) -> bool {
        self.long_body.load(Ordering::Relaxed)
    }

    /// Records that a body is complete, or that no more of it is received.
    pub(crate) fn body_ended(&self) {
        self.long_body.store(false, Ordering::Relaxed);
        *self.phase.lock() = Phase::Busy;
    }

    /// Records that a request's body has been read to its end.
    pub(crate) fn body_read(&self) {
        *self.unread.lock() = false;
    }

    /// Records that this side has closed the connection and waits for the other one.
    pub(crate) fn closing(&self) {
        *self.phase.lock() = Phase::Closing {
            since: Instant::now(),
        };
    }

    /// Returns whether the rest of a request's body is not read.
    pub(crate) fn has_unread_body(&self) -> bool {
        *self.unread.lock()
    }

    /// Records whether a write has to wait for the other side.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        let mut blocked = self.blocked.lock();
        match is_blocked {
            true => drop(blocked.get_or_insert_with(Instant::now)),
            false => *blocked = None,
        }
    }

    /// Returns the time for which a write has waited for the other side.
    pub(crate) fn blocked_time(&self) -> Duration {
        let blocked = *self.blocked.lock();
        blocked.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.closed.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Ends the body that is being received.
    pub(crate) fn evict_body(&self) {
        self.evicted.notify_one();
    }

    /// Forgets that a body was to be ended: that one may have ended by itself meanwhile.
    pub(crate) fn forget_eviction(&self) {
        let _ = self.evicted.notified().now_or_never();
    }

    /// Waits until the body that is being received is to be ended.
    pub(crate) async fn body_evicted(&self) {
        self.evicted.notified().await;
    }

    /// Returns the connection as one that may give its place to another because the response is not taken.
    fn blocked_candidate(&self) -> Option<Candidate> {
        let idle = self.blocked_time();
        (idle >= STALL_TIME).then_some(Candidate {
            from: self.from,
            waiting: Waiting::Progress,
            idle,
        })
    }

    /// Returns the connection as one that may give its place to another, unless a request is under way.
    pub(crate) fn candidate(&self) -> Option<Candidate> {
        let (waiting, since) = match *self.phase.lock() {
            Phase::Busy => return self.blocked_candidate(),
            Phase::Receiving { progress } if progress.elapsed() < STALL_TIME => return None,
            Phase::Receiving { progress } => (Waiting::Progress, progress),
            Phase::Closing { since } => (Waiting::Progress, since),
            Phase::Idle {
                since,
                served: false,
            } => (Waiting::Progress, since),
            Phase::Idle { since, .. } => (Waiting::NextRequest, since),
        };
        Some(Candidate {
            from: self.from,
            waiting,
            idle: since.elapsed(),
        })
    }
}

/// The connection that a request has come on, in gotham's state.
#[derive(Clone, Debug)]
pub(crate) struct RequestInbound(pub(crate) Arc<Inbound>);

impl StateData for RequestInbound {}

/// Connections by number.
#[derive(Debug, Default)]
pub(crate) struct InboundSet {
    connections: Mutex<Numbered>,
}

#[derive(Debug, Default)]
struct Numbered {
    next: u64,
    all: BTreeMap<u64, Arc<Inbound>>,
}

impl InboundSet {
    /// Adds a connection until the result is dropped.
    pub(crate) fn add(self: &Arc<Self>, inbound: &Arc<Inbound>) -> Membership {
        let mut connections = self.connections.lock();
        let number = connections.next;
        connections.next += 1;
        connections.all.insert(number, inbound.clone());
        Membership {
            set: self.clone(),
            number,
        }
    }

    /// Takes the connection that gives way out of the set; [`None`] if there is none.
    pub(crate) fn take_evicted(&self) -> Option<Arc<Inbound>> {
        let mut connections = self.connections.lock();
        let candidates: Vec<_> = connections
            .all
            .iter()
            .filter_map(|(number, inbound)| Some((*number, inbound.candidate()?)))
            .collect();
        let number = eviction::choose(candidates.into_iter())?;
        connections.all.remove(&number)
    }

    /// Takes the connections out of the set that meet a condition.
    pub(crate) fn take_matching(&self, condition: impl Fn(&Inbound) -> bool) -> Vec<Arc<Inbound>> {
        let mut connections = self.connections.lock();
        let matching = connections
            .all
            .extract_if(.., |_, inbound| condition(inbound));
        matching.map(|(_, inbound)| inbound).collect()
    }
}

/// The membership of a connection in an [`InboundSet`].
#[derive(Debug)]
pub(crate) struct Membership {
    set: Arc<InboundSet>,
    number: u64,
}

impl Drop for Membership {
    fn drop(&mut self) {
        self.set.connections.lock().all.remove(&self.number);
    }
}
