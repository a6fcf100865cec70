//! A client that tells a failed connect from a request that may have been received.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use crate::body;
use crate::connect::Connector;

/// Time for which an idle connection is kept; below the usual limit of servers, so that a request
/// is rarely sent into a connection that its server is closing.
const IDLE: Duration = Duration::from_secs(3);

/// Silence after which the kernel asks the other end whether it is still there.
///
/// A connection may go silent for good while new ones work, and a waiting watch would then hear
/// nothing of a change until its own time is over. With the pause and the tries below such a
/// connection is given up after two seconds.
const PROBE: Duration = Duration::from_secs(1);

/// Pause between two of these questions.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Questions without an answer after which a connection is given up.
const PROBES: u32 = 2;

/// Time after which sent bytes that nobody acknowledged end their connection.
const UNACKED: Duration = Duration::from_secs(2);

/// Time that a connect may take.
const CONNECT: Duration = Duration::from_millis(500);

/// Why there is no answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SendError {
    /// No connection was made: nothing was sent.
    #[error("could not connect")]
    Unconnected,
    /// The connection broke after the request was sent, or while it was.
    #[error("the connection broke")]
    Broken,
    /// No answer came in time.
    #[error("no answer came in time")]
    Late,
    /// The answer is longer than allowed.
    #[error("the answer is too long")]
    Long,
    /// The answer's body is not what it should be.
    #[error("the answer could not be understood")]
    Garbled,
}

impl SendError {
    /// Tells whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Unconnected)
    }
}

impl From<body::ReadError> for SendError {
    fn from(error: body::ReadError) -> Self {
        match error {
            body::ReadError::Long(_) => Self::Long,
            body::ReadError::Cut => Self::Broken,
            body::ReadError::Late => Self::Late,
        }
    }
}

/// Tells whether an address refuses connections, as one does that nobody listens on.
pub async fn refuses(addr: SocketAddr, limit: Duration) -> bool {
    let opening = tokio::time::timeout(limit, TcpStream::connect(addr)).await;
    matches!(opening, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Tells whether an address accepts connections.
pub async fn accepts(addr: SocketAddr, limit: Duration) -> bool {
    let opening = tokio::time::timeout(limit, TcpStream::connect(addr)).await;
    matches!(opening, Ok(Ok(_)))
}

/// An HTTP client with a pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<Connector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::idle(IDLE)
    }

    /// Makes a client without connections, which keeps idle ones for a time.
    pub fn idle(idle: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_keepalive(Some(PROBE));
        connector.set_keepalive_interval(Some(PROBE_PAUSE));
        connector.set_keepalive_retries(Some(PROBES));
        connector.set_tcp_user_timeout(Some(UNACKED));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle)
            .pool_timer(TokioTimer::new())
            .build(Connector(connector));
        Self { inner }
    }

    /// Sends a request and waits until the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`]; only [`SendError::Unconnected`] says that nothing was sent.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, SendError> {
        match tokio::time::timeout(limit, self.inner.request(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if error.is_connect() => Err(SendError::Unconnected),
            Ok(Err(_)) => Err(SendError::Broken),
            Err(_) => Err(SendError::Late),
        }
    }

    /// Sends a request and reads the whole answer, at most `most` bytes of it.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`].
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        most: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let whole = async {
            let answer = self.send(request, limit).await?;
            let (head, body) = answer.into_parts();
            let bytes = body::read(body, most).await?;
            Ok(Response::from_parts(head, bytes))
        };
        let timed = tokio::time::timeout(limit, whole).await;
        timed.unwrap_or(Err(SendError::Late))
    }

    /// Exchanges JSON with a server.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`].
    pub async fn json<T: serde::Serialize, R: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        uri: &str,
        value: &T,
        limit: Duration,
    ) -> Result<R, JsonError> {
        let bytes = serde_json::to_vec(value).map_err(|_| JsonError::Encode)?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|_| JsonError::Encode)?;
        let answer = self.fetch(request, limit, MOST).await?;
        if !answer.status().is_success() {
            let body = String::from_utf8_lossy(answer.body()).into_owned();
            let status = answer.status();
            return Err(JsonError::Status { status, body });
        }
        serde_json::from_slice(answer.body()).map_err(|_| SendError::Garbled.into())
    }
}

/// Most bytes of a JSON answer.
const MOST: usize = 16 << 20;

/// Why an exchange of JSON failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum JsonError {
    /// The request could not be written.
    #[error("could not encode the request")]
    Encode,
    /// There is no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer is a refusal.
    #[error("the server answered {status}: {body}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body.
        body: String,
    },
}

impl JsonError {
    /// Tells whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Encode => true,
            Self::Send(error) => error.is_unsent(),
            Self::Status { .. } => false,
        }
    }
}

/// Makes the URI of a path at an address.
pub fn uri(addr: SocketAddr, path: &str) -> String {
    format!("http://{addr}{path}")
}
