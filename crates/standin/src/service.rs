//! A plain service: a lookup, and calls that may not be repeated.

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
use crate::host::Answer;
use crate::host::serve;

/// Path at which the service tells which calls with a key it has run.
pub const LOG: &str = "/log";

/// A plain service.
#[derive(Debug)]
pub struct Service {
    faults: Faults,
    work: Duration,
    slots: Semaphore,
    running: AtomicU32,
    served: AtomicU64,
    log: Mutex<Vec<String>>,
}

impl Service {
    /// Makes a service that works `work` on each call, and on at most `slots` at once.
    pub fn new(work: Duration, slots: usize) -> Self {
        Self {
            faults: Faults::default(),
            work,
            slots: Semaphore::new(slots),
            running: AtomicU32::new(0),
            served: AtomicU64::new(0),
            log: Mutex::default(),
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

    /// Returns the idempotency keys of the executed calls, in order of execution; a key occurs once per execution.
    pub fn executed_keys(&self) -> Vec<String> {
        self.log.lock().clone()
    }

    /// Calls that it has run.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    async fn run(&self, call: Call, bytes: Bytes) -> Reply {
        let key = call.header("idempotency-key").map(str::to_owned);
        // A call takes effect when the work on it begins; whoever goes away then is too late.
        if let Some(key) = &key
            && call.method != Method::GET
        {
            self.log.lock().push(key.clone());
        }
        let factor = self.faults.get().factor();
        tokio::time::sleep(self.work.mul_f64(factor)).await;
        let count = self.served.fetch_add(1, Ordering::Relaxed) + 1;
        if call.uri.path() == SCORE {
            return score(&bytes);
        }
        let status = match call.method {
            Method::POST => StatusCode::CREATED,
            _ => StatusCode::OK,
        };
        let answer = json!({
            "path": call.uri.path(),
            "echo": call.uri.query(),
            "key": key,
            "bytes": bytes.len(),
            "count": count,
        });
        body::json(status, &answer)
    }
}

impl Answer for Service {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(self: Arc<Self>, call: Call, bytes: Bytes) -> Reply {
        if call.uri.path() == LOG {
            return body::json(StatusCode::OK, &self.executed_keys());
        }
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let guard = Leave(&self.running);
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

/// Scores a sample by the length of its text.
fn score(bytes: &[u8]) -> Reply {
    match serde_json::from_slice::<ScoreRequest>(bytes) {
        Ok(asked) => {
            let score = asked.text.len() as f64;
            body::json(StatusCode::OK, &ScoreResponse { score })
        }
        Err(error) => body::reply(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
    }
}

/// Counts a call out, also when its caller goes away.
struct Leave<'a>(&'a AtomicU32);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
