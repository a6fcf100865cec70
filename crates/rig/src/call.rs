//! Single calls of an entry.

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

/// Time that a call may take.
const LIMIT: Duration = Duration::from_secs(30);

/// Bytes of an answer.
const MOST: usize = 64 << 20;

/// One call.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The entry.
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

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// The refusal, if it is one.
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_slice(&self.body).ok()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the codec's error, with the body in words.
    pub fn json<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let body = String::from_utf8_lossy(&self.body);
            eyre::eyre!("{error} in {} {body}", self.status)
        })
    }

    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Asked {
    /// A call of a customer whose contract [`crate::contracts::text`] wrote.
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

    /// A read of the plain service.
    pub fn lookup(to: SocketAddr, customer: &str) -> Self {
        Self::new(to, customer, Method::GET, "/v1/services/portal/size/1")
    }

    /// A non-idempotent call of the plain service.
    pub fn order(to: SocketAddr, customer: &str, key: &str) -> Self {
        let path = "/v1/services/portal/orders";
        let order = Self::new(to, customer, Method::POST, path);
        order.header("idempotency-key", key).body("blazer")
    }

    /// A call with a JSON body.
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

    /// Sends it.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] when there is no whole answer.
    pub async fn send(&self) -> Result<Answer, SendError> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(net::client::uri(self.to, &self.path));
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(self.body.clone()));
        let request = request.map_err(|_| SendError::Garbled)?;
        let answer = net::Client::new().fetch(request, LIMIT, MOST).await?;
        let (head, body) = answer.into_parts();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
