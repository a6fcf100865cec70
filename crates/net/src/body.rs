//! Bodies of messages.

use std::io;

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
use tokio::sync::mpsc;

/// The answer to a call.
pub type Reply = Response<Body>;

/// Why a body could not be read whole.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ReadError {
    /// It has more bytes than are allowed.
    #[error("the body has more than {0} bytes")]
    Long(usize),
    /// The connection broke before its end.
    #[error("the body was cut off")]
    Cut,
    /// It did not come in time.
    #[error("the body did not come in time")]
    Late,
}

/// Reads a body whole.
///
/// # Errors
///
/// Returns [`ReadError`] when it is longer than `limit` bytes or does not come to its end.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(all) => Ok(all.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::Long(limit)),
        Err(_) => Err(ReadError::Cut),
    }
}

/// Makes a body of bytes that are there already.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    Body::new(body.map_err(|never| match never {}))
}

/// Passes a body on as it comes, without holding more of it than a connection does. One that breaks
/// ends the connection to the receiver without its proper end.
pub fn pass(body: Incoming) -> Body {
    Body::new(body.map_err(io::Error::other))
}

/// The sending end of a body that is made while it is sent.
///
/// An error ends the connection without the body's proper end, so that the receiver sees that it
/// was cut.
pub type Sender = mpsc::Sender<io::Result<Bytes>>;

/// Chunks of a streamed body that may wait for a slow receiver.
const CHUNKS: usize = 32;

/// Makes a body that is sent as its chunks come.
pub fn stream() -> (Sender, Body) {
    let (sender, receiver) = mpsc::channel(CHUNKS);
    let chunks = futures_util::stream::unfold(receiver, |mut receiver| async {
        let chunk: io::Result<Bytes> = receiver.recv().await?;
        Some((chunk, receiver))
    });
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    (sender, Body::new(StreamBody::new(frames)))
}

/// Makes an answer with a body of a given type.
pub fn reply(status: StatusCode, kind: &'static str, bytes: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(full(bytes));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Makes an answer whose body is JSON.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(bytes) => reply(status, "application/json", bytes),
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "could not encode an answer");
            reply(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                Bytes::new(),
            )
        }
    }
}
