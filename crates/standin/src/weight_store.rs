//! A weight store with limited bandwidth.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use net::Call;
use net::Reply;
use net::body;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::Faults;
use crate::Server;
use crate::server::Handler;
use crate::server::serve;

/// Maximum bytes sent at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// A weight store whose downloads share a bandwidth of `rate` bytes per second.
#[derive(Debug)]
pub struct WeightStore {
    faults: Faults,
    size: usize,
    rate: f64,
    /// Time until which the bandwidth is reserved.
    reserved_until: Mutex<Option<Instant>>,
    sent: AtomicU64,
}

impl WeightStore {
    /// Creates a store whose versions have `size` bytes each; `rate` is at least 1.
    pub fn new(size: usize, rate: f64) -> Self {
        Self {
            faults: Faults::default(),
            size,
            rate: rate.max(1.0),
            reserved_until: Mutex::default(),
            sent: AtomicU64::new(0),
        }
    }

    /// Starts a server for this store at an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        serve(addr, self.clone()).await
    }

    /// Returns the number of bytes sent.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Reserves bandwidth for a chunk and returns the time at which it may be sent.
    fn reserve(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let mut reserved_until = self.reserved_until.lock();
        let start = reserved_until.unwrap_or(now).max(now);
        let end = start + Duration::from_secs_f64(bytes as f64 / self.rate);
        *reserved_until = Some(end);
        end
    }

    async fn send(self: Arc<Self>, sender: body::Sender) {
        let mut remaining = self.size;
        while remaining > 0 {
            let bytes = remaining.min(CHUNK_BYTES);
            tokio::time::sleep_until(self.reserve(bytes)).await;
            if sender.send(Ok(Bytes::from(vec![0; bytes]))).await.is_err() {
                return;
            }
            self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
            remaining -= bytes;
        }
    }
}

impl Handler for WeightStore {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn handle(self: Arc<Self>, call: Call, _: Bytes) -> Reply {
        if !call.uri.path().starts_with("/weights/") {
            return body::reply(StatusCode::NOT_FOUND, "text/plain", "no such path");
        }
        let (sender, stream) = body::stream();
        tokio::spawn(self.send(sender));
        Reply::new(stream)
    }
}
