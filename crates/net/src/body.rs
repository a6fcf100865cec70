//! Bodies of requests and responses.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use gotham::helpers::http::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

/// Response of a server to a [`Call`](crate::Call).
pub type Reply = Response<Body>;

/// Maximum length of a body that is thrown away, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 << 10;

/// Maximum time for a body that is thrown away.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// Error while reading a body.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ReadError {
    /// The body exceeds the limit, in bytes.
    #[error("the body has more than {0} bytes")]
    TooLong(usize),
    /// The body does not fit beside the others that are held in memory.
    #[error("bodies take all the memory that they may")]
    OverBudget,
    /// The connection broke before the end of the body.
    #[error("the body was cut off")]
    Truncated,
    /// The body did not arrive in time.
    #[error("the body did not come in time")]
    Timeout,
}

/// Reads a whole body.
///
/// # Errors
///
/// Returns [`ReadError`] when the body is longer than `limit` bytes or the connection breaks before its end.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(all) => Ok(all.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLong(limit)),
        Err(_) => Err(ReadError::Truncated),
    }
}

/// Reads a body in the background and throws it away, so that its connection can be used again. A body that is longer or
/// slower than such a body usually is has its connection closed.
pub fn discard(body: Incoming) {
    tokio::spawn(async move {
        // Dropping a body that has not been read completely closes its connection.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, read(body, MAX_DISCARDED_BYTES)).await;
    });
}

/// Creates a body from bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    Body::new(body.map_err(|never| match never {}))
}

/// Creates a body that fails at once.
pub fn broken(error: io::Error) -> Body {
    let frames = futures_util::stream::iter([Err::<Frame<Bytes>, _>(error)]);
    Body::new(StreamBody::new(frames))
}

/// Forwards a received body chunk by chunk, without buffering it. When the sender's connection breaks, the
/// receiver's connection is closed before the end of the body.
pub fn forward(body: Incoming) -> Body {
    Body::new(body.map_err(io::Error::other))
}

/// Limit on the number of chunks buffered for a slow receiver.
const MAX_BUFFERED_CHUNKS: usize = 32;

/// Limit on the length of these chunks together, in bytes. One that is longer is buffered alone.
const MAX_BUFFERED_BYTES: usize = 16 << 10;

/// A chunk of a streamed body, with what it takes of [`MAX_BUFFERED_BYTES`] until it is passed on.
type Chunk = (io::Result<Bytes>, Option<OwnedSemaphorePermit>);

/// Sender of the chunks of a streamed body.
#[derive(Clone, Debug)]
pub struct Sender {
    chunks: mpsc::Sender<Chunk>,
    room: Arc<Semaphore>,
}

/// The receiver of a streamed body has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the receiver has left")]
pub struct ReceiverLeft;

impl Sender {
    /// Sends a chunk, after waiting until it fits beside those that the receiver has not taken yet.
    ///
    /// An error closes the connection before the end of the body, so that the receiver notices that it is truncated.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiverLeft`].
    pub async fn send(&self, chunk: io::Result<Bytes>) -> Result<(), ReceiverLeft> {
        let length = chunk.as_ref().map_or(0, Bytes::len);
        let share = length.min(MAX_BUFFERED_BYTES) as u32;
        let room = self.room.clone().acquire_many_owned(share);
        let room = tokio::select! {
            room = room => room.ok(),
            () = self.closed() => return Err(ReceiverLeft),
        };
        let sent = self.chunks.send((chunk, room)).await;
        sent.map_err(|_| ReceiverLeft)
    }

    /// Waits until the receiver has left.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// Creates a streamed body and the sender of its chunks.
pub fn stream() -> (Sender, Body) {
    let (chunks, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let sender = Sender {
        chunks,
        room: Arc::new(Semaphore::new(MAX_BUFFERED_BYTES)),
    };
    let chunks = futures_util::stream::unfold(receiver, |mut receiver| async {
        let (chunk, _room): Chunk = receiver.recv().await?;
        Some((chunk, receiver))
    });
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    (sender, Body::new(StreamBody::new(frames)))
}

/// Creates a response with a body of the content type `kind`.
pub fn reply(status: StatusCode, kind: &'static str, bytes: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(full(bytes));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Creates a response with a JSON body; when the value can't be encoded, an empty one with status 500.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(bytes) => reply(status, "application/json", bytes),
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "could not encode a JSON response");
            reply(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                Bytes::new(),
            )
        }
    }
}
