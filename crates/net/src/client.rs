//! HTTP client that distinguishes a failed connect from a request that the server may have received.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use crate::BodyBudget;
use crate::Payload;
use crate::SendCondition;
use crate::arrival;
use crate::body;
use crate::condition::RequestBody;
use crate::connect::Connector;
use crate::ids::IdDigest;
use crate::ids::IdHasher;

/// Time for which an idle connection is kept. It is below the usual idle timeout of servers, so that a request is
/// rarely sent on a connection that its server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which the kernel sends the first TCP keepalive probe.
///
/// A connection may be dropped silently while new ones work, and a watch that waits on it would not receive a change
/// before its own timeout. With the interval and the number of probes below, such a connection is closed after two
/// seconds.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which a connection with unacknowledged bytes is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes that are buffered for a connection, which also limits the head of a response.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Size of the kernel's buffer for what is sent on a connection, in bytes.
const SEND_BUFFER_BYTES: usize = 256 << 10;

/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of a request without a usable response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SendError {
    /// No connection was established, so nothing was sent.
    #[error("could not connect")]
    Unconnected,
    /// The request's [`SendCondition`] did not hold when its first byte was to be written, so nothing was sent.
    #[error("it may no longer be sent")]
    Forbidden,
    /// The connection failed while the request was sent or afterwards, or the response body was truncated.
    #[error("the connection broke")]
    Broken,
    /// No response arrived in time.
    #[error("no answer came in time")]
    Timeout,
    /// The response is longer than allowed.
    #[error("the answer is too long")]
    TooLong,
    /// The response does not fit beside the others that are held in memory.
    #[error("answers take all the memory that they may")]
    OverBudget,
    /// The response's body could not be decoded.
    #[error("the answer could not be understood")]
    Garbled,
}

impl SendError {
    /// Returns whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unconnected | Self::Forbidden)
    }
}

impl From<body::ReadError> for SendError {
    fn from(error: body::ReadError) -> Self {
        match error {
            body::ReadError::TooLong(_) => Self::TooLong,
            body::ReadError::OverBudget => Self::OverBudget,
            body::ReadError::Truncated => Self::Broken,
            body::ReadError::Timeout => Self::Timeout,
        }
    }
}

/// Returns whether a connection to an address is refused within `limit`, as happens if nothing listens there.
pub async fn refuses(addr: SocketAddr, limit: Duration) -> bool {
    let connected = tokio::time::timeout(limit, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Returns whether an address accepts a connection within `limit`.
pub async fn accepts(addr: SocketAddr, limit: Duration) -> bool {
    let connected = tokio::time::timeout(limit, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Ok(_)))
}

/// An HTTP client with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<Connector, RequestBody>,
    ids: IdHasher,
    /// Memory for the bodies that are read.
    bodies: BodyBudget,
}

/// The result of an attempt to send a request on one connection.
enum Attempt {
    /// It was sent, or cannot be.
    Ended(Result<Response<Incoming>, SendError>),
    /// Nothing was sent, since the connection may have carried the request's ID before.
    Repeated,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client. Connections are opened when requests need them.
    pub fn new() -> Self {
        Self::with_idle_timeout(IDLE_TIMEOUT)
    }

    /// Creates a client that closes a connection after it was idle for `timeout`.
    pub fn with_idle_timeout(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_TIME));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        connector.set_send_buffer_size(Some(SEND_BUFFER_BYTES));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(timeout)
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(MAX_BUFFERED_BYTES)
            .build(Connector(connector));
        Self {
            inner,
            ids: IdHasher::default(),
            bodies: BodyBudget::unlimited(),
        }
    }

    /// Limits the memory that all response bodies take together which are being read or were read and are still held.
    ///
    /// # Examples
    ///
    /// ```
    /// let client = net::Client::new().limit_bodies(10 << 20);
    /// # drop(client);
    /// ```
    #[must_use]
    pub fn limit_bodies(self, bytes: usize) -> Self {
        let bodies = BodyBudget::new(bytes);
        Self { bodies, ..self }
    }

    /// Returns the memory for the bodies that are read.
    pub fn bodies(&self) -> &BodyBudget {
        &self.bodies
    }

    /// Reads the whole body of a response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], also when the body is longer than `max_bytes` or does not fit beside others.
    pub async fn read_body(&self, body: Incoming, max_bytes: usize) -> Result<Bytes, SendError> {
        Ok(self.bodies.read(body, max_bytes).await?)
    }

    /// Sends a request and waits up to `limit` for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; whether it is certain that nothing was sent says [`SendError::is_unsent`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        self.send_if(request, limit, SendCondition::always()).await
    }

    /// Like [`Client::send`], but writes to the connection only while `condition` holds.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; [`SendError::Forbidden`] if the condition did not hold.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let client = net::Client::new();
    /// let request = http::Request::get("http://127.0.0.1:9/").body(net::Payload::default()).unwrap();
    /// let expired = net::SendCondition::new(|| false);
    /// let result = client.send_if(request, Duration::from_secs(1), expired).await;
    /// assert!(matches!(result, Err(net::SendError::Forbidden)));
    /// # }
    /// ```
    pub async fn send_if(
        &self,
        request: Request<impl Into<Payload>>,
        limit: Duration,
        condition: SendCondition,
    ) -> Result<Response<Incoming>, SendError> {
        let request = request.map(Into::into);
        match self.attempt(request, None, limit, condition).await {
            Attempt::Ended(result) => result,
            // Only a request with an ID is kept back for its connection.
            Attempt::Repeated => Err(SendError::Unconnected),
        }
    }

    /// Like [`Client::send_if`], on a connection that has not carried a request with the same `id` before: there, a late
    /// copy of the earlier response could not be told from the response to this request.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; [`SendError::Forbidden`] if the condition did not hold.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let client = net::Client::new();
    /// let request = http::Request::get("http://127.0.0.1:9/").body(net::Payload::default()).unwrap();
    /// let (limit, always) = (Duration::from_secs(1), net::SendCondition::always());
    /// let result = client.send_identified(request, "r-1", limit, always).await;
    /// assert!(matches!(result, Err(net::SendError::Unconnected)));
    /// # }
    /// ```
    pub async fn send_identified(
        &self,
        request: Request<impl Into<Payload>>,
        id: &str,
        limit: Duration,
        condition: SendCondition,
    ) -> Result<Response<Incoming>, SendError> {
        let request = request.map(Into::into);
        let id = self.ids.digest(id);
        let deadline = Instant::now() + limit;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            // A connection that cannot carry the request is closed, so the next attempt gets another one.
            let attempt = self.attempt(request.clone(), Some(id), left, condition.clone());
            if let Attempt::Ended(result) = attempt.await {
                return result;
            }
        }
    }

    async fn attempt(
        &self,
        request: Request<Payload>,
        id: Option<IdDigest>,
        limit: Duration,
        condition: SendCondition,
    ) -> Attempt {
        if !condition.holds() {
            return Attempt::Ended(Err(SendError::Forbidden));
        }
        let (request, write) = RequestBody::conditional(request, condition, id);
        match self.request(request, limit).await {
            Err(_) if write.is_repeated() => Attempt::Repeated,
            Err(_) if write.is_unsent() => Attempt::Ended(Err(SendError::Forbidden)),
            result => Attempt::Ended(result),
        }
    }

    async fn request(
        &self,
        request: Request<RequestBody>,
        limit: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        match tokio::time::timeout(limit, self.inner.request(request)).await {
            Ok(Ok(mut response)) => {
                arrival::record(&mut response);
                Ok(response)
            }
            Ok(Err(error)) if error.is_connect() => Err(SendError::Unconnected),
            Ok(Err(_)) => Err(SendError::Broken),
            Err(_) => Err(SendError::Timeout),
        }
    }

    /// Sends a request and reads the whole response, both within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`], also when the body is longer than `max_bytes`.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, SendError> {
        self.read_within(self.send(request, limit), limit, max_bytes)
            .await
    }

    /// Like [`Client::fetch`], but writes to the connection only while `condition` holds.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; [`SendError::Forbidden`] if the condition did not hold.
    pub async fn fetch_if(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
        condition: SendCondition,
    ) -> Result<Response<Bytes>, SendError> {
        let exchange = self.send_if(request, limit, condition);
        self.read_within(exchange, limit, max_bytes).await
    }

    /// Reads the whole response of an exchange, within `limit`.
    async fn read_within(
        &self,
        exchange: impl Future<Output = Result<Response<Incoming>, SendError>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let read = async {
            let (head, body) = exchange.await?.into_parts();
            let bytes = self.read_body(body, max_bytes).await?;
            Ok(Response::from_parts(head, bytes))
        };
        let result = tokio::time::timeout(limit, read).await;
        result.unwrap_or(Err(SendError::Timeout))
    }
}

/// Returns the URI of a path at an address.
pub fn uri(addr: SocketAddr, path: &str) -> String {
    format!("http://{addr}{path}")
}
