//! The client: addresses, turns, time limits, and typed calls.

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

/// Time that a call may take: far above the milliseconds in which the platform answers, above the
/// half second of a slow day, and below the seconds within which news has to be in force.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Time for which calls go through another instance first, once one of our own has failed.
const DETOUR: Millis = 2_000;

/// Time for which calls are not sent through others, once that has failed as well, in milliseconds: the
/// platform is away for all then, and counts each call that it turns away.
const ALONE: Millis = 1_000;

/// Most bytes of an answer: a page of a range is about one megabyte before base64.
const MOST: usize = 16 << 20;

/// A client of the platform's key-value service.
#[derive(Clone)]
pub struct Client {
    addrs: Arc<[SocketAddr]>,
    protocol: Arc<dyn Protocol>,
    http: net::Client,
    budget: Arc<Budget>,
    relay: Arc<OnceLock<Arc<dyn Relay>>>,
    clock: Clock,
    /// Until when calls go through another instance first.
    detour: Arc<AtomicU64>,
    /// Until when they do not.
    alone: Arc<AtomicU64>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("addrs", &self.addrs)
            .finish()
    }
}

impl Client {
    /// Makes a client that tries the addresses in turn when one cannot be connected to.
    pub fn new(addrs: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self::with_protocol(addrs, Arc::new(Etcd))
    }

    /// Makes a client that speaks another protocol.
    pub fn with_protocol(addrs: impl Into<Arc<[SocketAddr]>>, protocol: Arc<dyn Protocol>) -> Self {
        Self {
            addrs: addrs.into(),
            protocol,
            http: net::Client::new(),
            budget: Arc::new(Budget::default()),
            relay: Arc::default(),
            clock: Clock::default(),
            detour: Arc::default(),
            alone: Arc::default(),
        }
    }

    /// Makes calls through others while the platform turns this instance away.
    pub fn set_relay(&self, relay: Arc<dyn Relay>) {
        // The first one stays; an instance has only one way to reach others.
        let _ = self.relay.set(relay);
    }

    /// The calls that were made.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Waits for the turn of a call.
    async fn turn(&self, kind: CallKind) -> Result<(), PlatError> {
        let wait = self.budget.reserve(kind).ok_or(PlatError::Budget)?;
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; [`PlatError::is_indeterminate`] tells whether a write may have taken
    /// effect, or may yet.
    pub async fn call(&self, call: &Call) -> Result<Answer, PlatError> {
        let Some(relay) = self.relay.get() else {
            return self.call_direct(call).await;
        };
        // A write that may have taken effect is for the caller to settle, whoever sent it: after
        // it no later answer may say that nothing was done.
        let unsettled =
            |error: &PlatError| error.is_indeterminate() && matches!(call, Call::Txn(_));
        if self.clock.now() < self.alone.load(Ordering::Relaxed) {
            return self.call_direct(call).await;
        }
        if self.clock.now() < self.detour.load(Ordering::Relaxed) {
            match relay.relay(call.clone()).await {
                Err(error) if !unsettled(&error) => (),
                done => return done,
            }
        }
        let error = match self.call_direct(call).await {
            Err(error) if error.is_unavailable() => error,
            done => return done,
        };
        self.turned_away();
        if unsettled(&error) {
            return Err(error);
        }
        match relay.relay(call.clone()).await {
            Err(other) if !unsettled(&other) => {
                let until = self.clock.now() + ALONE;
                self.alone.store(until, Ordering::Relaxed);
                Err(error)
            }
            done => done,
        }
    }

    /// Tells whether the platform did not serve this instance a moment ago. Others need not ask it to
    /// make calls for them: during an outage each would cost a call that is turned away as well.
    pub fn is_unserved(&self) -> bool {
        self.clock.now() < self.detour.load(Ordering::Relaxed)
    }

    /// Notes that the platform did not serve this instance.
    fn turned_away(&self) {
        let until = self.clock.now() + DETOUR;
        self.detour.store(until, Ordering::Relaxed);
    }

    /// Makes a call for another instance. One that fails is the last for a while: each of those that are turned away
    /// would ask several others otherwise, and each of these would ask the platform.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn call_for_peer(&self, call: &Call) -> Result<Answer, PlatError> {
        let done = self.call_direct(call).await;
        if done.as_ref().is_err_and(PlatError::is_unavailable) {
            self.turned_away();
        }
        done
    }

    /// Makes a call without anybody's help.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn call_direct(&self, call: &Call) -> Result<Answer, PlatError> {
        let ask = self.protocol.encode(call)?;
        let limit = match call {
            Call::Poll { wait, .. } => LIMIT + Duration::from_millis(*wait),
            _ => LIMIT,
        };
        self.turn(call.kind()).await?;
        for addr in &*self.addrs {
            match self.http.fetch(request(*addr, &ask)?, limit, MOST).await {
                Ok(answer) => {
                    return self.protocol.decode(call, answer.status(), answer.body());
                }
                Err(error) if error.is_unsent() => (),
                Err(SendError::Garbled | SendError::Long) => return Err(PlatError::Garbled),
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

    /// Reads every key with a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn list(&self, prefix: &str) -> Result<Range, PlatError> {
        self.pages(prefix, None, Freshness::Newest).await
    }

    /// Reads every key with a prefix, perhaps as they were seconds ago.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn list_stale(&self, prefix: &str) -> Result<Range, PlatError> {
        self.pages(prefix, None, Freshness::Stale).await
    }

    /// Reads the keys behind `after` that have a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn list_after(&self, after: &str, prefix: &str) -> Result<Range, PlatError> {
        self.pages(prefix, Some(after.into()), Freshness::Newest)
            .await
    }

    /// Reads the first of the keys that have a prefix, behind `after` if it is given: as many as the
    /// platform puts into one answer.
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

    /// Reads some of the keys that have a prefix, behind `after` if it is given, perhaps as they were seconds ago:
    /// as many as the platform puts into one answer.
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

    /// Reads page after page. The revision is that of the first page, so that whoever watches from
    /// there on misses nothing that changed between the pages.
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

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; [`PlatError::is_indeterminate`] tells whether it may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, PlatError> {
        match self.call(&Call::Txn(txn.clone())).await? {
            Answer::Done(done) => Ok(done),
            _ => Err(PlatError::Garbled),
        }
    }

    /// Asks for a lease that lives `ttl` milliseconds unless renewed.
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

    /// Renews a lease; tells whether the platform still had it.
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

    /// Ends a lease; its keys go with it.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn revoke(&self, lease: i64) -> Result<(), PlatError> {
        self.call(&Call::Revoke(lease)).await?;
        Ok(())
    }

    /// Waits until a key with a prefix changes after a revision, or the time is over; gives the
    /// changes and the revision to go on from.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; after [`PlatError::Compacted`] everything is to be read again.
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

    /// Watches every key with a prefix from a revision on, as a stream of the etcd mapping.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<Watch, PlatError> {
        self.turn(CallKind::Watch).await?;
        let body = encode_json(&proto::WatchRequest {
            create_request: proto::WatchCreate {
                key: prefix.into(),
                range_end: proto::Bytes(proto::prefix_end(prefix.as_bytes())),
                start_revision: proto::Int(from),
                progress_notify: true,
            },
        })?;
        let ask = HttpRequest {
            method: http::Method::POST,
            path: "/v3/watch".into(),
            body,
        };
        for addr in &*self.addrs {
            match self.http.send(request(*addr, &ask)?, LIMIT).await {
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

fn request(addr: SocketAddr, ask: &HttpRequest) -> Result<Request<Full<Bytes>>, PlatError> {
    Request::builder()
        .method(ask.method.clone())
        .uri(uri(addr, &ask.path))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(ask.body.clone()))
        .map_err(|_| PlatError::Garbled)
}
