//! How calls are written on the wire.

use bytes::Bytes;
use http::Method;
use http::StatusCode;

use crate::Answer;
use crate::Call;
use crate::PlatError;

/// A call as an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body, which is JSON; empty for none.
    pub body: Bytes,
}

/// Translates calls into requests of one platform's protocol, and its answers back.
///
/// A protocol keeps no state and decides nothing: what to retry and when is the caller's.
pub trait Protocol: Send + Sync {
    /// Writes a call as a request.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError::Unsupported`] when the protocol has no such call.
    fn encode(&self, call: &Call) -> Result<HttpRequest, PlatError>;

    /// Reads the answer to a call.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`] when the answer is a refusal or cannot be understood.
    fn decode(&self, call: &Call, status: StatusCode, body: &[u8]) -> Result<Answer, PlatError>;
}

/// Reads the JSON of an answer.
///
/// # Errors
///
/// Returns [`PlatError::Garbled`] when it is something else.
pub fn decode_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatError> {
    serde_json::from_slice(body).map_err(|_| PlatError::Garbled)
}

/// Writes the JSON of a request.
///
/// # Errors
///
/// Returns [`PlatError::Garbled`] when the value has no JSON form.
pub fn encode_json<T: serde::Serialize>(value: &T) -> Result<Bytes, PlatError> {
    let bytes = serde_json::to_vec(value).map_err(|_| PlatError::Garbled)?;
    Ok(bytes.into())
}
