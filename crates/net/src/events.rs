//! Server-sent events.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyStream;
use hyper::body::Incoming;

/// Data of the event that ends a stream of completions.
pub const DONE: &str = "[DONE]";

/// Item of a stream of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The data of one event.
    Data(String),
    /// The connection broke, or the body is not an event stream or does not get on to its next event.
    Broken,
}

/// Maximum number of bytes from one event to the next: the event itself, and comments before it.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Counts the bytes that a body has brought since its last event.
#[derive(Clone, Debug, Default)]
struct EventSize(Arc<AtomicUsize>);

impl EventSize {
    /// Adds received bytes; returns whether the next event may still come.
    fn grow(&self, bytes: usize) -> bool {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_EVENT_BYTES
    }

    fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// Reads the events of a response body.
///
/// The stream ends after [`Event::Broken`] or at the end of the body. The caller has to check whether the data is
/// complete, for instance by [`DONE`].
pub fn read(body: Incoming) -> impl Stream<Item = Event> + Send + Unpin {
    let size = EventSize::default();
    let grown = size.clone();
    let frames = BodyStream::new(body).filter_map(move |frame| {
        let data = match frame {
            Ok(frame) => frame.into_data().ok().map(Ok),
            Err(error) => Some(Err(io::Error::other(error))),
        };
        let data = data.map(|data| match data {
            Ok(data) if !grown.grow(data.len()) => Err(io::ErrorKind::InvalidData.into()),
            data => data,
        });
        std::future::ready(data)
    });
    let events = Box::pin(frames).eventsource();
    let events = events.map(move |event| {
        size.reset();
        match event {
            Ok(event) => Event::Data(event.data),
            Err(_) => Event::Broken,
        }
    });
    Box::pin(events)
}

/// Encodes one event; `data` must not contain line breaks.
pub fn write(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
