//! The translation between calls and HTTP requests.

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
    /// The path, including the query.
    pub path: String,
    /// The JSON body; empty if there is none.
    pub body: Bytes,
}

/// Encodes calls as requests of one platform's protocol, and decodes its answers.
///
/// A protocol keeps no state and makes no decisions; retries are up to the caller.
pub trait Protocol: Send + Sync {
    /// Encodes a call as a request.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError::Unsupported`] if the protocol does not support the call.
    fn encode(&self, call: &Call) -> Result<HttpRequest, PlatError>;

    /// Decodes the answer to a call.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`] if the answer is an error or cannot be decoded.
    fn decode(&self, call: &Call, status: StatusCode, body: &[u8]) -> Result<Answer, PlatError>;
}

/// Decodes the JSON body of an answer.
///
/// # Errors
///
/// Returns [`PlatError::Garbled`] if the body is not JSON of this type.
pub fn decode_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatError> {
    serde_json::from_slice(body).map_err(|_| PlatError::Garbled)
}

/// Encodes the JSON body of a request.
///
/// # Errors
///
/// Returns [`PlatError::Garbled`] if the value cannot be encoded as JSON.
pub fn encode_json<T: serde::Serialize>(value: &T) -> Result<Bytes, PlatError> {
    let bytes = serde_json::to_vec(value).map_err(|_| PlatError::Garbled)?;
    Ok(bytes.into())
}
