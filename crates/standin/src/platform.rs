//! The platform's key-value service: the etcd v3 JSON mapping over one map in memory.

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
use crate::host::Answer;
use crate::host::cut;
use crate::host::serve;
use messages::Grant;
use messages::Id;
use messages::Range;
use messages::Txn;
use messages::Watch;
use store::Store;

/// Time between two messages of a watch when nothing changes.
const PROGRESS: Duration = Duration::from_secs(2);

/// Calls that were served, by kind.
#[derive(Debug, Default)]
pub struct Calls {
    /// Reads.
    pub range: AtomicU64,
    /// Transactions.
    pub txn: AtomicU64,
    /// Grants, renewals and ends of leases.
    pub lease: AtomicU64,
    /// Watches begun.
    pub watch: AtomicU64,
}

/// The platform's key-value service.
#[derive(Debug)]
pub struct Platform {
    faults: Faults,
    store: Mutex<Store>,
    news: watch::Sender<i64>,
    /// Calls that were served.
    pub calls: Calls,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            faults: Faults::default(),
            store: Mutex::default(),
            news: watch::Sender::new(0),
            calls: Calls::default(),
        }
    }
}

impl Platform {
    /// Serves at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn serve(self: &Arc<Self>, addr: SocketAddr) -> io::Result<Server> {
        serve(addr, self.clone()).await
    }

    /// Forgets the history, so that a watch from an earlier revision is refused.
    pub fn compact(&self) {
        self.store.lock().compact();
    }

    /// Values of the keys with a prefix, for tests.
    pub fn dump(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let store = self.store.lock();
        let items = store.scan(prefix.as_bytes(), &messages::end(prefix.as_bytes()));
        let pair = |kv: &messages::KeyValue| {
            let key = String::from_utf8_lossy(&kv.key.0).into_owned();
            (key, kv.value.0.clone())
        };
        items.map(pair).collect()
    }

    /// Tells whether the answer to this transaction is to be lost.
    fn is_muted(&self) -> bool {
        let mut muted = false;
        self.faults.change(|fault| {
            muted = fault.mute_writes > 0;
            fault.mute_writes = fault.mute_writes.saturating_sub(1);
        });
        muted
    }

    fn range(&self, range: &Range) -> serde_json::Value {
        self.calls.range.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.expire();
        json!({
            "header": store.header(),
            "kvs": store.range(range),
        })
    }

    fn txn(&self, txn: &Txn) -> serde_json::Value {
        self.calls.txn.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.expire();
        let succeeded = store.txn(txn);
        self.news.send_replace(store.revision());
        json!({
            "header": store.header(),
            "succeeded": succeeded,
        })
    }

    fn grant(&self, grant: &Grant) -> serde_json::Value {
        self.calls.lease.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.expire();
        let id = store.grant(grant.ttl.0);
        json!({
            "header": store.header(),
            "ID": id.to_string(),
            "TTL": grant.ttl.0.to_string(),
        })
    }

    fn keepalive(&self, lease: &Id) -> serde_json::Value {
        self.calls.lease.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.expire();
        let ttl = store.renew(lease.id.0);
        json!({
            "result": {
                "header": store.header(),
                "ID": lease.id.0.to_string(),
                "TTL": ttl.to_string(),
            },
        })
    }

    fn revoke(&self, lease: &Id) -> serde_json::Value {
        self.calls.lease.fetch_add(1, Ordering::Relaxed);
        let mut store = self.store.lock();
        store.revoke(lease.id.0);
        self.news.send_replace(store.revision());
        json!({ "header": store.header() })
    }

    fn watch(self: &Arc<Self>, watch: Watch) -> Reply {
        self.calls.watch.fetch_add(1, Ordering::Relaxed);
        let (sender, stream) = body::stream();
        let platform = self.clone();
        tokio::spawn(async move { platform.feed(watch, sender).await });
        Reply::new(stream)
    }

    /// Sends the changes of a range as they happen, until the watcher or the platform goes.
    async fn feed(self: Arc<Self>, watch: Watch, sender: body::Sender) {
        let create = watch.create_request;
        let mut news = self.news.subscribe();
        let mut next = create.start_revision.0;
        let line = |value: serde_json::Value| Ok(Bytes::from(format!("{value}\n")));
        loop {
            if self.faults.get().down {
                let broken = io::Error::new(io::ErrorKind::ConnectionAborted, "down");
                let _ = sender.send(Err(broken)).await;
                return;
            }
            let mut empty = false;
            let (message, over) = {
                let mut store = self.store.lock();
                store.expire();
                let header = store.header();
                match store.since(next, &create) {
                    Ok(events) => {
                        next = store.revision() + 1;
                        empty = events.is_empty();
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
            let silent = empty && self.faults.get().quiet;
            if !silent && sender.send(line(message)).await.is_err() || over {
                return;
            }
            let _ = tokio::time::timeout(PROGRESS, news.changed()).await;
        }
    }
}

fn with<T: DeserializeOwned, R: Serialize>(bytes: &[u8], f: impl FnOnce(&T) -> R) -> Reply {
    match serde_json::from_slice(bytes) {
        Ok(request) => body::json(StatusCode::OK, &f(&request)),
        Err(error) => {
            let refusal = json!({"error": error.to_string(), "code": 3});
            body::json(StatusCode::BAD_REQUEST, &refusal)
        }
    }
}

impl Answer for Platform {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    async fn answer(self: Arc<Self>, call: Call, bytes: Bytes) -> Reply {
        match call.uri.path() {
            "/v3/kv/range" => with(&bytes, |range| self.range(range)),
            "/v3/kv/txn" => {
                let reply = with(&bytes, |txn| self.txn(txn));
                match self.is_muted() {
                    true => cut(),
                    false => reply,
                }
            }
            "/v3/lease/grant" => with(&bytes, |grant| self.grant(grant)),
            "/v3/lease/keepalive" => with(&bytes, |lease| self.keepalive(lease)),
            "/v3/lease/revoke" => with(&bytes, |lease| self.revoke(lease)),
            "/v3/watch" => match serde_json::from_slice(&bytes) {
                Ok(watch) => self.watch(watch),
                Err(_) => body::reply(StatusCode::BAD_REQUEST, "text/plain", "no watch"),
            },
            _ => body::reply(StatusCode::NOT_FOUND, "text/plain", "no such path"),
        }
    }
}
