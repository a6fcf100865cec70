//! A plain service, which sends one complete response per call: lookups, calls with an idempotency key, and scoring.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use net::Call;
use net::Reply;
use net::body;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::Semaphore;
use wire::scorer::SCORE;
use wire::scorer::ScoreRequest;
use wire::scorer::ScoreResponse;

use crate::Faults;
use crate::Server;
use crate::server::Handler;
use crate::server::serve;

/// Path that returns [`Service::executed_keys`] as a JSON array.
pub const LOG_PATH: &str = "/log";

/// A plain service, which sends one complete response per call.
#[derive(Debug)]
pub struct Service {
    faults: Faults,
    work: Duration,
    slots: Semaphore,
    /// Calls that are being processed or waiting for a slot.
    running: AtomicU32,
    served: AtomicU64,
    executed: Mutex<Vec<String>>,
}

impl Service {
    /// Creates a service that takes `work` to process a call and processes at most `slots` calls concurrently.
    pub fn new(work: Duration, slots: usize) -> Self {
        Self {
            faults: Faults::default(),
            work,
            slots: Semaphore::new(slots),
            running: AtomicU32::new(0),
            served: AtomicU64::new(0),
            executed: Mutex::default(),
        }
    }

    /// Starts a server for this service at an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        serve(addr, self.clone()).await
    }

    /// Returns the idempotency keys of the executed calls, in order of execution; a key occurs once per execution. GET
    /// calls are not included.
    pub fn executed_keys(&self) -> Vec<String> {
        self.executed.lock().clone()
    }

    /// Returns the number of calls whose processing has finished, including GET calls.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    async fn run(&self, call: Call, bytes: Bytes) -> Reply {
        let key = call.header("idempotency-key").map(str::to_owned);
        // A call takes effect when its processing starts; it is not undone if the caller closes the connection later.
        if let Some(key) = &key
            && call.method != Method::GET
        {
            self.executed.lock().push(key.clone());
        }
        let slowdown = self.faults.get().slowdown();
        tokio::time::sleep(self.work.mul_f64(slowdown)).await;
        let count = self.served.fetch_add(1, Ordering::Relaxed) + 1;
        if call.uri.path() == SCORE {
            return score(&bytes);
        }
        let status = match call.method {
            Method::POST => StatusCode::CREATED,
            _ => StatusCode::OK,
        };
        let response = json!({
            "path": call.uri.path(),
            "echo": call.uri.query(),
            "key": key,
            "bytes": bytes.len(),
            "count": count,
        });
        body::json(status, &response)
    }
}

impl Handler for Service {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn handle(self: Arc<Self>, call: Call, bytes: Bytes) -> Reply {
        if call.uri.path() == LOG_PATH {
            return body::json(StatusCode::OK, &self.executed_keys());
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let guard = RunningGuard(&self.running);
        let slot = self.slots.acquire().await;
        let mut reply = self.run(call, bytes).await;
        drop(slot);
        drop(guard);
        let headers = reply.headers_mut();
        headers.insert("x-running", HeaderValue::from(running - 1));
        if self.faults.get().leaving {
            headers.insert("x-leaving", HeaderValue::from_static("1"));
        }
        reply
    }
}

/// Scores a sample by the length of its text in bytes.
fn score(bytes: &[u8]) -> Reply {
    match serde_json::from_slice::<ScoreRequest>(bytes) {
        Ok(request) => {
            let score = request.text.len() as f64;
            body::json(StatusCode::OK, &ScoreResponse { score })
        }
        Err(error) => body::reply(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
    }
}

/// Decrements the number of running calls when dropped, also if the caller closes the connection.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
