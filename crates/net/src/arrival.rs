//! How a response arrived: on which connection, and after how many other responses.
//!
//! A server may send a response twice. The copy arrives where the response to the next request on the connection is
//! expected, so the sender of that request has to know whether the connection has carried responses before.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use http::Response;

/// The state of a connection that its responses refer to.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionState(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    /// Number of responses so far.
    responses: AtomicU64,
}

/// How a response arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
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
}

/// Counts a response on its connection, and records there how it arrived.
pub(crate) fn record<B>(response: &mut Response<B>) {
    let Some(connection) = response.extensions().get::<ConnectionState>() else {
        return;
    };
    let position = connection.0.responses.fetch_add(1, Ordering::Relaxed) + 1;
    response.extensions_mut().insert(Arrival { position });
}
