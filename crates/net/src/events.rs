//! Server-sent events.

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
    /// The connection broke, or the body is not an event stream.
    Broken,
}

/// Reads the events of a response body.
///
/// The stream ends after [`Event::Broken`] or at the end of the body. The caller has to check whether the data is
/// complete, for instance by [`DONE`].
pub fn read(body: Incoming) -> impl Stream<Item = Event> + Send + Unpin {
    let frames = BodyStream::new(body).filter_map(|frame| async {
        match frame {
            Ok(frame) => frame.into_data().ok().map(Ok),
            Err(error) => Some(Err(error)),
        }
    });
    let events = Box::pin(frames).eventsource();
    let events = events.map(|event| match event {
        Ok(event) => Event::Data(event.data),
        Err(_) => Event::Broken,
    });
    Box::pin(events)
}

/// Encodes one event; `data` must not contain line breaks.
pub fn write(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
