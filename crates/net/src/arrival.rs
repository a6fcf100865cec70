//! The history of a connection: which requests it has carried, and how many responses.
//!
//! HTTP/1.1 matches responses to requests by their order alone. A sender that cannot rely on the order has to know
//! whether the connection has carried responses before, and has to close a connection that still owes the right one. A
//! request that is sent again under the same ID needs a connection that has not carried that ID: on one that has, a late
//! copy of the earlier response cannot be told from the response to this request.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;

use futures_util::task::AtomicWaker;
use http::Response;
use parking_lot::Mutex;

use crate::ids::CarriedIds;
use crate::ids::IdDigest;

/// Maximum number of bytes that a connection may bring between a request and the head of its response: a head and
/// informational responses before it.
const MAX_UNANSWERED_BYTES: usize = 128 << 10;

/// The state of a connection that its requests and responses refer to.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionState(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    /// Number of responses so far.
    responses: AtomicU64,
    /// Whether the connection has to be closed.
    is_closing: AtomicBool,
    /// Whether the head of a response is due.
    is_head_due: AtomicBool,
    /// Number of bytes read since it is.
    unanswered_bytes: AtomicUsize,
    /// The IDs of the requests that it has carried.
    ids: Mutex<CarriedIds>,
    /// Wakes the task that reads from the connection.
    reader: AtomicWaker,
}

impl ConnectionState {
    /// Creates the state of a new connection. A head is due on it from the start: the check of the server's identity comes
    /// before the first request.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Inner {
            responses: AtomicU64::new(0),
            is_closing: AtomicBool::new(false),
            is_head_due: AtomicBool::new(true),
            unanswered_bytes: AtomicUsize::new(0),
            ids: Mutex::default(),
            reader: AtomicWaker::new(),
        }))
    }

    /// Returns an error if the connection has to be closed.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::ConnectionAborted`].
    pub(crate) fn check(&self) -> io::Result<()> {
        match self.0.is_closing.load(Ordering::Acquire) {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    /// Like [`Self::check`], and has the reading task woken when the connection has to be closed later.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::ConnectionAborted`].
    pub(crate) fn check_read(&self, cx: &Context<'_>) -> io::Result<()> {
        self.0.reader.register(cx.waker());
        self.check()
    }

    /// Records that a request with this ID is written to the connection. Returns false if the connection must not carry
    /// it, because it has carried the ID before or cannot remember more IDs.
    pub(crate) fn admit(&self, id: IdDigest) -> bool {
        self.0.ids.lock().insert(id)
    }

    /// Records that a request is written next.
    pub(crate) fn begin_request(&self) {
        self.0.unanswered_bytes.store(0, Ordering::Relaxed);
        self.0.is_head_due.store(true, Ordering::Relaxed);
    }

    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::InvalidData`] if more of them have come than a response's head can have.
    pub(crate) fn record_read(&self, bytes: usize) -> io::Result<()> {
        if !self.0.is_head_due.load(Ordering::Relaxed) {
            return Ok(());
        }
        let before = self.0.unanswered_bytes.fetch_add(bytes, Ordering::Relaxed);
        match before + bytes > MAX_UNANSWERED_BYTES {
            true => Err(io::ErrorKind::InvalidData.into()),
            false => Ok(()),
        }
    }

    /// Returns whether both are the state of the same connection.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    fn close(&self) {
        self.0.is_closing.store(true, Ordering::Release);
        self.0.reader.wake();
    }
}

/// How a response arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    connection: ConnectionState,
    position: u64,
}

impl Arrival {
    /// Returns how a response arrived; [`None`] for one that is not from [`Client`](crate::Client).
    ///
    /// # Examples
    ///
    /// ```
    /// let response = http::Response::new(());
    /// assert!(net::Arrival::of(&response).is_none());
    /// ```
    pub fn of<B>(response: &Response<B>) -> Option<&Self> {
        response.extensions().get()
    }

    /// Returns the position of the response on its connection, counted from 1.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Closes the connection with a reset, also if the response was read completely. No further request is sent on it.
    pub fn close_connection(&self) {
        self.connection.close();
    }
}

/// Counts a response on its connection, and records there how it arrived.
pub(crate) fn record<B>(response: &mut Response<B>) {
    let Some(connection) = response.extensions().get::<ConnectionState>().cloned() else {
        return;
    };
    connection.0.is_head_due.store(false, Ordering::Relaxed);
    let position = connection.0.responses.fetch_add(1, Ordering::Relaxed) + 1;
    response.extensions_mut().insert(Arrival {
        connection,
        position,
    });
}
