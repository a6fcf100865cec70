//! Conditions that are checked right before a request is written.
//!
//! A permission to send may expire between the sender's own check and the write: the process is paused, the connection
//! is still being opened, or the task that writes waits for a processor. A request with a [`SendCondition`] is checked
//! by its connection before each write instead, with nothing but the system call after the check.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Extensions;
use http::Request;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper_util::client::legacy::connect::CaptureConnection;
use hyper_util::client::legacy::connect::capture_connection;
use parking_lot::Mutex;

use crate::Payload;
use crate::arrival::ConnectionState;
use crate::ids::IdDigest;

/// A condition that must hold whenever bytes of a request are written.
///
/// # Examples
///
/// ```
/// let condition = net::SendCondition::new(|| false);
/// assert!(!condition.holds());
/// ```
#[derive(Clone)]
pub struct SendCondition(Arc<dyn Fn() -> bool + Send + Sync>);

impl SendCondition {
    /// Creates a condition from a function that returns whether the request may be sent now. It is called on the
    /// task of the connection, so it must not block.
    pub fn new(holds: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(Arc::new(holds))
    }

    /// Creates a condition that always holds.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(net::SendCondition::always().holds());
    /// ```
    pub fn always() -> Self {
        Self::new(|| true)
    }

    /// Returns whether the request may be sent now.
    pub fn holds(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for SendCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SendCondition")
    }
}

/// The writes of one request that has a condition.
#[derive(Debug)]
pub(crate) struct ConditionalWrite {
    condition: SendCondition,
    /// Digest of the request's ID, if no connection may carry it twice.
    id: Option<IdDigest>,
    connection: Mutex<Option<ConnectionState>>,
    is_repeated: AtomicBool,
    is_rejected: AtomicBool,
    has_written: AtomicBool,
}

impl ConditionalWrite {
    fn new(condition: SendCondition, id: Option<IdDigest>) -> Self {
        Self {
            condition,
            id,
            connection: Mutex::new(None),
            is_repeated: AtomicBool::new(false),
            is_rejected: AtomicBool::new(false),
            has_written: AtomicBool::new(false),
        }
    }

    /// Records the connection that is to carry the request, which may be another one if the former was closed before
    /// the first write.
    fn assign(&self, connection: &ConnectionState) {
        let mut assigned = self.connection.lock();
        if assigned
            .as_ref()
            .is_some_and(|former| former.is_same(connection))
        {
            return;
        }
        *assigned = Some(connection.clone());
        connection.begin_request();
        let is_repeated = self.id.is_some_and(|id| !connection.admit(id));
        self.is_repeated.store(is_repeated, Ordering::Release);
    }

    /// Returns whether the request was kept back because its connection may have carried its ID before.
    pub(crate) fn is_repeated(&self) -> bool {
        self.is_repeated.load(Ordering::Acquire)
    }

    /// Returns whether the request was kept back and none of its bytes was written.
    pub(crate) fn is_unsent(&self) -> bool {
        self.is_rejected.load(Ordering::Acquire) && !self.has_written.load(Ordering::Acquire)
    }

    fn check(&self) -> io::Result<()> {
        if self.is_repeated() {
            let error = "the connection may have carried a request with this ID";
            return Err(io::Error::other(error));
        }
        if self.condition.holds() {
            return Ok(());
        }
        self.is_rejected.store(true, Ordering::Release);
        Err(io::Error::other("the condition to send does not hold"))
    }
}

/// The request that a connection is writing, if that request has a condition.
#[derive(Clone, Debug, Default)]
pub(crate) struct CurrentWrite(Arc<Mutex<Option<Arc<ConditionalWrite>>>>);

impl CurrentWrite {
    fn set(&self, write: &Arc<ConditionalWrite>) {
        *self.0.lock() = Some(write.clone());
    }

    /// Ends the request's writes, so that its condition does not apply to the connection's next request.
    pub(crate) fn clear(&self) {
        *self.0.lock() = None;
    }

    /// Checks the condition right before a write.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold.
    pub(crate) fn check(&self) -> io::Result<()> {
        match &*self.0.lock() {
            Some(write) => write.check(),
            None => Ok(()),
        }
    }

    /// Records that bytes were written.
    pub(crate) fn record_written(&self) {
        if let Some(write) = &*self.0.lock() {
            write.has_written.store(true, Ordering::Release);
        }
    }
}

/// The body of a request, which passes the request's condition to the connection that writes it.
#[derive(Debug)]
pub(crate) struct RequestBody {
    payload: Payload,
    write: Arc<ConditionalWrite>,
    connection: CaptureConnection,
}

impl RequestBody {
    /// Returns the request with a condition, and its writes; no connection carries two requests with the same `id`.
    pub(crate) fn conditional(
        mut request: Request<Payload>,
        condition: SendCondition,
        id: Option<IdDigest>,
    ) -> (Request<Self>, Arc<ConditionalWrite>) {
        let write = Arc::new(ConditionalWrite::new(condition, id));
        let connection = capture_connection(&mut request);
        let request = request.map(|payload| Self {
            payload,
            write: write.clone(),
            connection,
        });
        (request, write)
    }

    /// Passes the condition to the connection; returns whether it is known already. hyper asks for a body's end and
    /// its frames on the connection's task, before it writes the first byte of the request.
    fn pass_condition(&self) -> bool {
        let mut extras = Extensions::new();
        if let Some(connected) = &*self.connection.connection_metadata() {
            connected.get_extras(&mut extras);
        }
        let connection = extras.get::<ConnectionState>();
        let (Some(current), Some(connection)) = (extras.get::<CurrentWrite>(), connection) else {
            return false;
        };
        self.write.assign(connection);
        current.set(&self.write);
        true
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if !self.pass_condition() {
            let error = io::Error::other("the connection of a conditional request is unknown");
            return Poll::Ready(Some(Err(error)));
        }
        let frame = Pin::new(&mut self.payload).poll_frame(cx);
        frame.map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.pass_condition();
        self.payload.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.payload.size_hint()
    }
}
