//! The client: choice of address, rate limits, timeouts, relaying and typed calls.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use kernel::Millis;
use net::SendError;
use net::client::uri;

use crate::Answer;
use crate::Budget;
use crate::Call;
use crate::Change;
use crate::Etcd;
use crate::Freshness;
use crate::HttpRequest;
use crate::Item;
use crate::Lease;
use crate::PlatError;
use crate::Protocol;
use crate::Range;
use crate::Relay;
use crate::Txn;
use crate::TxnOutcome;
use crate::Watch;
use crate::budget::CallKind;
use crate::proto;
use crate::protocol::encode_json;

/// Timeout of a call. It is far above the milliseconds in which the platform normally answers, above the half second
/// that it takes when slow, and below the seconds within which changes have to take effect.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long each call tries the relay first after a direct call has failed, in milliseconds.
const RELAY_FIRST_MS: Millis = 2_000;

/// How long no call uses the relay after a relayed call has failed as well, in milliseconds. The platform is then
/// unavailable to all instances, and counts even the calls that it rejects.
const NO_RELAY_MS: Millis = 1_000;

/// Maximum size of an answer; a page of a range is about one megabyte before base64 encoding.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A client of the platform's key-value service.
#[derive(Clone)]
pub struct Client {
    addrs: Arc<[SocketAddr]>,
    protocol: Arc<dyn Protocol>,
    http: net::Client,
    budget: Arc<Budget>,
    relay: Arc<OnceLock<Arc<dyn Relay>>>,
    clock: Clock,
    /// The time until which each call tries the relay first.
    relay_until: Arc<AtomicU64>,
    /// The time until which no call uses the relay.
    direct_until: Arc<AtomicU64>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("addrs", &self.addrs)
            .finish()
    }
}

impl Client {
    /// Creates a client that tries the addresses in order until one accepts a connection.
    pub fn new(addrs: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self::with_protocol(addrs, Arc::new(Etcd))
    }

    /// Creates a client that uses `protocol` instead of [`Etcd`].
    pub fn with_protocol(addrs: impl Into<Arc<[SocketAddr]>>, protocol: Arc<dyn Protocol>) -> Self {
        Self {
            addrs: addrs.into(),
            protocol,
            http: net::Client::new(),
            budget: Arc::new(Budget::default()),
            relay: Arc::default(),
            clock: Clock::default(),
            relay_until: Arc::default(),
            direct_until: Arc::default(),
        }
    }

    /// Sets the relay through which calls go while the platform does not serve this instance.
    pub fn set_relay(&self, relay: Arc<dyn Relay>) {
        // The first relay is kept; an instance has only one way to reach others.
        let _ = self.relay.set(relay);
    }

    /// The budget that limits and counts the calls.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Waits until the budget admits a call.
    async fn wait_for_slot(&self, kind: CallKind) -> Result<(), PlatError> {
        let wait = self.budget.reserve(kind).ok_or(PlatError::Budget)?;
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }

    /// Makes a call, through the relay if one is set and the platform does not serve this instance.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; [`PlatError::is_indeterminate`] returns whether a write may have been applied, or may
    /// still be.
    pub async fn call(&self, call: &Call) -> Result<Answer, PlatError> {
        let Some(relay) = self.relay.get() else {
            return self.call_direct(call).await;
        };
        // If a write may have been applied, directly or through the relay, the caller has to resolve its outcome: no
        // later answer may claim that nothing was written.
        let indeterminate_write =
            |error: &PlatError| error.is_indeterminate() && matches!(call, Call::Txn(_));
        if self.clock.now() < self.direct_until.load(Ordering::Relaxed) {
            return self.call_direct(call).await;
        }
        if self.clock.now() < self.relay_until.load(Ordering::Relaxed) {
            match relay.relay(call.clone()).await {
                Err(error) if !indeterminate_write(&error) => (),
                result => return result,
            }
        }
        let error = match self.call_direct(call).await {
            Err(error) if error.is_unavailable() => error,
            result => return result,
        };
        self.note_unserved();
        if indeterminate_write(&error) {
            return Err(error);
        }
        match relay.relay(call.clone()).await {
            Err(other) if !indeterminate_write(&other) => {
                let until = self.clock.now() + NO_RELAY_MS;
                self.direct_until.store(until, Ordering::Relaxed);
                Err(error)
            }
            result => result,
        }
    }

    /// Returns whether the platform recently did not serve this instance. Other instances should then not relay calls
    /// through it: during an outage, each would cost another rejected call.
    pub fn is_unserved(&self) -> bool {
        self.clock.now() < self.relay_until.load(Ordering::Relaxed)
    }

    /// Records that the platform did not serve this instance.
    fn note_unserved(&self) {
        let until = self.clock.now() + RELAY_FIRST_MS;
        self.relay_until.store(until, Ordering::Relaxed);
    }

    /// Makes a call for another instance. After one that fails, [`Client::is_unserved`] is true for a while: otherwise
    /// each unserved instance would ask several others, and each of these would call the platform.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn call_for_peer(&self, call: &Call) -> Result<Answer, PlatError> {
        let result = self.call_direct(call).await;
        if result.as_ref().is_err_and(PlatError::is_unavailable) {
            self.note_unserved();
        }
        result
    }

    /// Makes a call without the relay.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn call_direct(&self, call: &Call) -> Result<Answer, PlatError> {
        let http_request = self.protocol.encode(call)?;
        let timeout = match call {
            Call::Poll { wait, .. } => CALL_TIMEOUT + Duration::from_millis(*wait),
            _ => CALL_TIMEOUT,
        };
        self.wait_for_slot(call.kind()).await?;
        for addr in &*self.addrs {
            match self
                .http
                .fetch(
                    build_request(*addr, &http_request)?,
                    timeout,
                    MAX_ANSWER_BYTES,
                )
                .await
            {
                Ok(answer) => {
                    return self.protocol.decode(call, answer.status(), answer.body());
                }
                Err(error) if error.is_unsent() => (),
                Err(SendError::Garbled | SendError::TooLong) => return Err(PlatError::Garbled),
                Err(_) => return Err(PlatError::NoAnswer),
            }
        }
        Err(PlatError::Unreachable)
    }

    async fn range(&self, call: Call) -> Result<Range, PlatError> {
        match self.call(&call).await? {
            Answer::Range(range) => Ok(range),
            _ => Err(PlatError::Garbled),
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn get(&self, key: &str) -> Result<Option<Item>, PlatError> {
        let range = self.range(Call::Get(key.into())).await?;
        Ok(range.items.into_iter().next())
    }

    /// Reads all keys with a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn list(&self, prefix: &str) -> Result<Range, PlatError> {
        self.pages(prefix, None, Freshness::Newest).await
    }

    /// Reads all keys with a prefix; the result may be seconds old.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn list_stale(&self, prefix: &str) -> Result<Range, PlatError> {
        self.pages(prefix, None, Freshness::Stale).await
    }

    /// Reads all keys with a prefix that sort after `after`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn list_after(&self, after: &str, prefix: &str) -> Result<Range, PlatError> {
        self.pages(prefix, Some(after.into()), Freshness::Newest)
            .await
    }

    /// Reads one page of the keys with a prefix, starting after `after` if it is given. The platform chooses the size
    /// of the page.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn page(&self, prefix: &str, after: Option<String>) -> Result<Range, PlatError> {
        self.range(Call::List {
            prefix: prefix.into(),
            after,
            fresh: Freshness::Newest,
        })
        .await
    }

    /// Reads one page like [`Client::page`]; the result may be seconds old.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn page_stale(
        &self,
        prefix: &str,
        after: Option<String>,
    ) -> Result<Range, PlatError> {
        self.range(Call::List {
            prefix: prefix.into(),
            after,
            fresh: Freshness::Stale,
        })
        .await
    }

    /// Reads all pages. The revision of the result is that of the first page, so that a watch from there on also
    /// reports the changes made between the pages.
    async fn pages(
        &self,
        prefix: &str,
        mut after: Option<String>,
        fresh: Freshness,
    ) -> Result<Range, PlatError> {
        let mut all = Range::default();
        loop {
            let page = self
                .range(Call::List {
                    prefix: prefix.into(),
                    after,
                    fresh,
                })
                .await?;
            if all.rev == 0 {
                all.rev = page.rev;
            }
            let last = page.items.last().map(|item| item.key.clone());
            all.items.extend(page.items);
            match last {
                Some(last) if page.more => after = Some(last),
                _ => return Ok(all),
            }
        }
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; [`PlatError::is_indeterminate`] returns whether it may have been applied.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, PlatError> {
        match self.call(&Call::Txn(txn.clone())).await? {
            Answer::Done(outcome) => Ok(outcome),
            _ => Err(PlatError::Garbled),
        }
    }

    /// Requests a lease that expires after `ttl` milliseconds unless renewed.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn grant(&self, ttl: Millis) -> Result<Lease, PlatError> {
        match self.call(&Call::Grant(ttl)).await? {
            Answer::Lease(lease) => Ok(lease),
            _ => Err(PlatError::Garbled),
        }
    }

    /// Renews a lease; returns whether it still existed.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn renew(&self, lease: i64) -> Result<bool, PlatError> {
        match self.call(&Call::Renew(lease)).await? {
            Answer::Alive(alive) => Ok(alive),
            _ => Err(PlatError::Garbled),
        }
    }

    /// Revokes a lease and thereby deletes its keys.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn revoke(&self, lease: i64) -> Result<(), PlatError> {
        self.call(&Call::Revoke(lease)).await?;
        Ok(())
    }

    /// Waits until a key with a prefix changes after a revision, at most `wait` milliseconds; returns the changes and
    /// the revision from which to continue.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; after [`PlatError::Compacted`] the caller has to read all keys again.
    pub async fn poll(
        &self,
        prefix: &str,
        after: i64,
        wait: Millis,
    ) -> Result<(Vec<Change>, i64), PlatError> {
        let call = Call::Poll {
            prefix: prefix.into(),
            after,
            wait,
        };
        match self.call(&call).await? {
            Answer::Changes(changes, rev) => Ok((changes, rev)),
            _ => Err(PlatError::Garbled),
        }
    }

    /// Watches all keys with a prefix from a revision on, over a stream of the etcd JSON mapping.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<Watch, PlatError> {
        self.wait_for_slot(CallKind::Watch).await?;
        let body = encode_json(&proto::WatchRequest {
            create_request: proto::WatchCreate {
                key: prefix.into(),
                range_end: proto::Bytes(proto::prefix_end(prefix.as_bytes())),
                start_revision: proto::Int(from),
                progress_notify: true,
            },
        })?;
        let http_request = HttpRequest {
            method: http::Method::POST,
            path: "/v3/watch".into(),
            body,
        };
        for addr in &*self.addrs {
            match self
                .http
                .send(build_request(*addr, &http_request)?, CALL_TIMEOUT)
                .await
            {
                Ok(answer) if answer.status() == StatusCode::OK => {
                    return Ok(Watch::new(answer.into_body()));
                }
                Ok(answer) => return Err(PlatError::Unavailable(answer.status().as_u16())),
                Err(error) if error.is_unsent() => (),
                Err(_) => return Err(PlatError::NoAnswer),
            }
        }
        Err(PlatError::Unreachable)
    }
}

fn build_request(
    addr: SocketAddr,
    http_request: &HttpRequest,
) -> Result<Request<Full<Bytes>>, PlatError> {
    Request::builder()
        .method(http_request.method.clone())
        .uri(uri(addr, &http_request.path))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(http_request.body.clone()))
        .map_err(|_| PlatError::Garbled)
}
