//! The places for the connections of a server.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::Inbound;
use crate::inbound::InboundSet;

/// Time after which a connection for which there is no place looks for one again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connections that servers of this process have closed for a lack of progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClosedConnections {
    /// Those that gave their place to another one.
    pub displaced: u64,
    /// Those whose other side did not take the response.
    pub blocked: u64,
}

static DISPLACED: AtomicU64 = AtomicU64::new(0);
static BLOCKED: AtomicU64 = AtomicU64::new(0);

/// Returns how many connections the servers of this process have closed for a lack of progress.
pub fn closed_connections() -> ClosedConnections {
    ClosedConnections {
        displaced: DISPLACED.load(Ordering::Relaxed),
        blocked: BLOCKED.load(Ordering::Relaxed),
    }
}

/// The places for connections, and the connections that have them.
pub(crate) struct Places {
    free: Arc<Semaphore>,
    pub(crate) open: Arc<InboundSet>,
    write_timeout: Duration,
}

impl Places {
    pub(crate) fn new(count: usize, write_timeout: Duration) -> Self {
        Self {
            free: Arc::new(Semaphore::new(count)),
            open: Arc::default(),
            write_timeout,
        }
    }

    /// Takes a place, for which another connection gives way if none is free.
    pub(crate) async fn take(&self) -> OwnedSemaphorePermit {
        loop {
            if self.free.available_permits() == 0 {
                self.close_blocked();
                self.make_room();
            }
            // The semaphore is never closed.
            if let Ok(Ok(place)) = timeout(RETRY_DELAY, self.free.clone().acquire_owned()).await {
                return place;
            }
        }
    }

    /// Closes the connection that gives way, if there is one.
    pub(crate) fn make_room(&self) {
        if let Some(inbound) = self.open.take_evicted() {
            DISPLACED.fetch_add(1, Ordering::Relaxed);
            inbound.close();
        }
    }

    /// Closes connections whose other side has not taken what is written for long.
    pub(crate) fn close_blocked(&self) {
        let is_late = |inbound: &Inbound| inbound.blocked_time() >= self.write_timeout;
        for inbound in self.open.take_matching(is_late) {
            BLOCKED.fetch_add(1, Ordering::Relaxed);
            inbound.close();
        }
    }
}
