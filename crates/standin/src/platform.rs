//! The platform's key-value service: the JSON mapping of the etcd v3 API over a map in memory.

mod messages;
mod store;

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
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::watch;

use crate::Faults;
use crate::Server;
use crate::server::Handler;
use crate::server::aborted_reply;
use crate::server::serve;
use messages::GrantRequest;
use messages::LeaseRequest;
use messages::RangeRequest;
use messages::TxnRequest;
use messages::WatchRequest;
use store::KeyValueStore;

/// Interval between the messages of a watch while nothing changes.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Numbers of calls served, by kind.
#[derive(Debug, Default)]
pub struct CallCounters {
    /// Reads.
    pub range: AtomicU64,
    /// Transactions.
    pub txn: AtomicU64,
    /// Grants, renewals and revocations of leases.
    pub lease: AtomicU64,
    /// Watches started.
    pub watch: AtomicU64,
}

/// The platform's key-value service.
#[derive(Debug)]
pub struct Platform {
    faults: Faults,
    store: Mutex<KeyValueStore>,
    /// Revision of the last transaction or revocation; wakes the watches, which would otherwise see changes only after
    /// the progress interval, as they do for expired leases.
    revision: watch::Sender<i64>,
    /// Numbers of calls served.
    pub calls: CallCounters,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            faults: Faults::default(),
            store: Mutex::default(),
            revision: watch::Sender::new(0),
            calls: CallCounters::default(),
        }
    }
}

impl Platform {
    /// Starts a server for this platform at an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        serve(addr, self.clone()).await
    }

    /// Compacts the history: a watch from a revision up to the current one is canceled.
    pub fn compact(&self) {
        self.store.lock().compact();
    }

    /// Returns the keys with a prefix and their values, for tests.
    pub fn dump(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let store = self.store.lock();
        let items = store.scan(prefix.as_bytes(), &messages::prefix_end(prefix.as_bytes()));
        let pair = |kv: &messages::KeyValue| {
            let key = String::from_utf8_lossy(&kv.key.0).into_owned();
            (key, kv.value.0.clone())
        };
        items.map(pair).collect()
    }

    /// Returns whether the response to the current transaction is to be dropped, and counts it against
    /// [`Fault::mute_writes`](crate::Fault::mute_writes).
    fn take_mute(&self) -> bool {
        let mut muted = false;
        self.faults.change(|fault| {
            muted = fault.mute_writes > 0;
            fault.mute_writes = fault.mute_writes.saturating_sub(1);
        });
        muted
    }

    fn range(&self, request: &RangeRequest) -> serde_json::Value {
        self.calls.range.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.expire();
        json!({
            "header": store.header(),
            "kvs": store.range(request),
        })
    }

    fn txn(&self, request: &TxnRequest) -> serde_json::Value {
        self.calls.txn.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.expire();
        let succeeded = store.txn(request);
        self.revision.send_replace(store.revision());
        json!({
            "header": store.header(),
            "succeeded": succeeded,
        })
    }

    fn grant(&self, request: &GrantRequest) -> serde_json::Value {
        self.calls.lease.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.expire();
        let id = store.grant(request.ttl.0);
        json!({
            "header": store.header(),
            "ID": id.to_string(),
            "TTL": request.ttl.0.to_string(),
        })
    }

    fn keepalive(&self, request: &LeaseRequest) -> serde_json::Value {
        self.calls.lease.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.expire();
        let ttl = store.renew(request.id.0);
        json!({
            "result": {
                "header": store.header(),
                "ID": request.id.0.to_string(),
                "TTL": ttl.to_string(),
            },
        })
    }

    fn revoke(&self, request: &LeaseRequest) -> serde_json::Value {
        self.calls.lease.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.revoke(request.id.0);
        self.revision.send_replace(store.revision());
        json!({ "header": store.header() })
    }

    fn watch(self: &Arc<Self>, request: WatchRequest) -> Reply {
        self.calls.watch.fetch_add(1, Ordering::Relaxed);
        let (sender, stream) = body::stream();
        let platform = self.clone();
        tokio::spawn(async move { platform.send_events(request, sender).await });
        Reply::new(stream)
    }

    /// Sends the events of a range as they occur, until the client closes the connection, the watch is canceled or the
    /// platform is down.
    async fn send_events(self: Arc<Self>, request: WatchRequest, sender: body::Sender) {
        let create = request.create_request;
        let mut revisions = self.revision.subscribe();
        let mut next_revision = create.start_revision.0;
        let line = |value: serde_json::Value| Ok(Bytes::from(format!("{value}\n")));
        loop {
            if self.faults.get().down {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, "down");
                let _ = sender.send(Err(error)).await;
                return;
            }
            let mut is_empty = false;
            let (message, is_last) = {
                let mut store = self.store.lock();
                store.expire();
                let header = store.header();
                match store.events_since(next_revision, &create) {
                    Ok(events) => {
                        next_revision = store.revision() + 1;
                        is_empty = events.is_empty();
                        (
                            json!({"result": {"header": header, "events": events}}),
                            false,
                        )
                    }
                    Err(compacted) => {
                        let compacted = compacted.to_string();
                        let canceled = true;
                        let result = json!({
                            "header": header,
                            "canceled": canceled,
                            "compact_revision": compacted,
                        });
                        (json!({ "result": result }), true)
                    }
                }
            };
            let is_suppressed = is_empty && self.faults.get().quiet;
            if !is_suppressed && sender.send(line(message)).await.is_err() || is_last {
                return;
            }
            let _ = tokio::time::timeout(PROGRESS_INTERVAL, revisions.changed()).await;
        }
    }
}

fn with_json<T: DeserializeOwned, R: Serialize>(bytes: &[u8], f: impl FnOnce(&T) -> R) -> Reply {
    match serde_json::from_slice(bytes) {
        Ok(request) => body::json(StatusCode::OK, &f(&request)),
        Err(error) => {
            let response = json!({"error": error.to_string(), "code": 3});
            body::json(StatusCode::BAD_REQUEST, &response)
        }
    }
}

impl Handler for Platform {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn handle(self: Arc<Self>, call: Call, bytes: Bytes) -> Reply {
        match call.uri.path() {
            "/v3/kv/range" => with_json(&bytes, |request| self.range(request)),
            "/v3/kv/txn" => {
                let reply = with_json(&bytes, |request| self.txn(request));
                match self.take_mute() {
                    true => aborted_reply(),
                    false => reply,
                }
            }
            "/v3/lease/grant" => with_json(&bytes, |request| self.grant(request)),
            "/v3/lease/keepalive" => with_json(&bytes, |request| self.keepalive(request)),
            "/v3/lease/revoke" => with_json(&bytes, |request| self.revoke(request)),
            "/v3/watch" => match serde_json::from_slice(&bytes) {
                Ok(request) => self.watch(request),
                Err(_) => body::reply(StatusCode::BAD_REQUEST, "text/plain", "no watch"),
            },
            _ => body::reply(StatusCode::NOT_FOUND, "text/plain", "no such path"),
        }
    }
}
