//! Single HTTP calls to an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use net::SendError;
use serde::de::DeserializeOwned;
use wire::Problem;

use crate::contracts::token;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// One HTTP call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the entry.
    pub to: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// The response to a call.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Returns the body as a [`Problem`], if the response is a refusal.
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Decodes the body from JSON.
    ///
    /// # Errors
    ///
    /// Returns the decoding error together with the status and the body.
    pub fn json<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let body = String::from_utf8_lossy(&self.body);
            eyre::eyre!("{error} in {} {body}", self.status)
        })
    }

    /// Returns the value of a header, if it is present and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Call {
    /// Creates a call of a customer whose contract was written by [`crate::contracts::text`].
    pub fn new(to: SocketAddr, customer: &str, method: Method, path: &str) -> Self {
        let bearer = format!("Bearer {}", token(customer));
        Self {
            to,
            method,
            path: path.into(),
            headers: vec![("authorization".into(), bearer)],
            body: Bytes::new(),
        }
    }

    /// Creates a read of the plain service `portal`.
    pub fn lookup(to: SocketAddr, customer: &str) -> Self {
        Self::new(to, customer, Method::GET, "/v1/services/portal/size/1")
    }

    /// Creates a non-idempotent call of the plain service `portal`, with an idempotency key.
    pub fn order(to: SocketAddr, customer: &str, key: &str) -> Self {
        let path = "/v1/services/portal/orders";
        let order = Self::new(to, customer, Method::POST, path);
        order.header("idempotency-key", key).body("blazer")
    }

    /// Creates a POST with a JSON body.
    pub fn json<T: serde::Serialize>(
        to: SocketAddr,
        customer: &str,
        path: &str,
        value: &T,
    ) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::new(to, customer, Method::POST, path).body(body)
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the call.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if there is no complete response.
    pub async fn send(&self) -> Result<Response, SendError> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(net::client::uri(self.to, &self.path));
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(self.body.clone()));
        let request = request.map_err(|_| SendError::Garbled)?;
        let response = net::Client::new()
            .fetch(request, CALL_TIMEOUT, MAX_RESPONSE_BYTES)
            .await?;
        let (parts, body) = response.into_parts();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}
