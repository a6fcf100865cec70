//! Exchanges of JSON with a server.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;

use crate::Client;
use crate::SendCondition;
use crate::SendError;

impl Client {
    /// Sends a value as JSON and decodes the JSON response, within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`], also for a response whose status is not a success.
    pub async fn json<T: serde::Serialize, R: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        uri: &str,
        value: &T,
        limit: Duration,
    ) -> Result<R, JsonError> {
        let request = json_request(method, uri, value)?;
        decode_json(&self.fetch(request, limit, MAX_JSON_BYTES).await?)
    }

    /// Like [`Client::json`], but writes to the connection only while `condition` holds.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`], also for a response whose status is not a success.
    pub async fn json_if<T: serde::Serialize, R: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        uri: &str,
        value: &T,
        limit: Duration,
        condition: SendCondition,
    ) -> Result<R, JsonError> {
        let request = json_request(method, uri, value)?;
        let response = self.fetch_if(request, limit, MAX_JSON_BYTES, condition);
        decode_json(&response.await?)
    }
}

fn json_request<T: serde::Serialize>(
    method: Method,
    uri: &str,
    value: &T,
) -> Result<Request<Full<Bytes>>, JsonError> {
    let bytes = serde_json::to_vec(value).map_err(|_| JsonError::Encode)?;
    Request::builder()
        .method(method)
        .uri(uri)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|_| JsonError::Encode)
}

fn decode_json<R: serde::de::DeserializeOwned>(response: &Response<Bytes>) -> Result<R, JsonError> {
    if !response.status().is_success() {
        let body = String::from_utf8_lossy(response.body()).into_owned();
        let status = response.status();
        return Err(JsonError::Status { status, body });
    }
    serde_json::from_slice(response.body()).map_err(|_| SendError::Garbled.into())
}

/// Limit on the size of a JSON response, in bytes.
const MAX_JSON_BYTES: usize = 16 << 20;

/// Error of an exchange of JSON with a server.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum JsonError {
    /// The request could not be encoded.
    #[error("could not encode the request")]
    Encode,
    /// There is no usable response.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response's status is not a success.
    #[error("the server answered {status}: {body}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body.
        body: String,
    },
}

impl JsonError {
    /// Returns whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Encode => true,
            Self::Send(error) => error.is_unsent(),
            Self::Status { .. } => false,
        }
    }
}
