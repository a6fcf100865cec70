//! A rate-limited weight store.

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
use crate::host::Answer;
use crate::host::serve;

/// Bytes of one piece of a download.
const PIECE: usize = 64 << 10;

/// A weight store whose downloads share a bandwidth of `rate` bytes per second.
#[derive(Debug)]
pub struct WeightStore {
    faults: Faults,
    size: usize,
    rate: f64,
    due: Mutex<Option<Instant>>,
    sent: AtomicU64,
}

impl WeightStore {
    /// Makes a store whose versions have `size` bytes each.
    pub fn new(size: usize, rate: f64) -> Self {
        Self {
            faults: Faults::default(),
            size,
            rate: rate.max(1.0),
            due: Mutex::default(),
            sent: AtomicU64::new(0),
        }
    }

    /// Serves at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        serve(addr, self.clone()).await
    }

    /// Returns the number of bytes sent.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// When the next piece of `bytes` may go.
    fn turn(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let mut due = self.due.lock();
        let start = due.unwrap_or(now).max(now);
        let end = start + Duration::from_secs_f64(bytes as f64 / self.rate);
        *due = Some(end);
        end
    }

    async fn send(self: Arc<Self>, sender: body::Sender) {
        let mut left = self.size;
        while left > 0 {
            let bytes = left.min(PIECE);
            tokio::time::sleep_until(self.turn(bytes)).await;
            if sender.send(Ok(Bytes::from(vec![0; bytes]))).await.is_err() {
                return;
            }
            self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
            left -= bytes;
        }
    }
}

impl Answer for WeightStore {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(self: Arc<Self>, call: Call, _: Bytes) -> Reply {
        if !call.uri.path().starts_with("/weights/") {
            return body::reply(StatusCode::NOT_FOUND, "text/plain", "no such path");
        }
        let (sender, stream) = body::stream();
        tokio::spawn(self.send(sender));
        Reply::new(stream)
    }
}
