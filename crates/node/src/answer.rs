//! Attributes the answers of upstreams to requests.
//!
//! HTTP/1.1 matches answers to requests by their order alone, so after a duplicate answer each later request on the
//! connection would get the one before. Until it is known which request an answer belongs to, nothing in it counts:
//! neither its status, nor the statement that the request was not executed, nor the load that it reports. [`send`] and
//! [`fetch`] are the only ways to send a request to an upstream, and return the parts of an answer only once it is
//! attributed. A request with an ID never goes to a connection that has carried the ID before, so a copy of the answer to
//! an earlier attempt cannot come as the answer to this one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use net::Arrival;
use net::Payload;
use net::SendCondition;
use net::SendError;
use place::Load;
use tokio::time::timeout;

use crate::App;
use crate::telemetry;

/// A request to an upstream.
pub(crate) struct Outbound {
    /// The request.
    pub(crate) request: Request<Payload>,
    /// The upstream, as it is named in the log.
    pub(crate) upstream: Arc<str>,
    /// The ID that the upstream repeats in its answer; [`None`] for a request that has none.
    pub(crate) id: Option<Arc<str>>,
    /// The condition under which it may be sent.
    pub(crate) condition: SendCondition,
}

/// To which request an answer belongs.
#[derive(Debug)]
pub(crate) enum Attribution<B> {
    /// It belongs to the request that was sent.
    Own(Answer<B>),
    /// It belongs to another request, or to none. Whether the request that was sent has been executed is unknown.
    Foreign,
}

/// An upstream's answer to the request that was sent.
#[derive(Debug)]
pub(crate) struct Answer<B> {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: B,
    /// The load that the upstream reports.
    pub(crate) load: Option<Load>,
    /// The version of the weights that generates the answer.
    pub(crate) version: Option<u64>,
    /// What the answer states about the request.
    pub(crate) statement: Statement,
}

/// What an upstream's answer states about the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Statement {
    /// The upstream has not executed the request and never will.
    Rejected,
    /// The request reached another upstream than addressed, or one with another version of the weights, which has not
    /// executed it and never will.
    Misdirected,
    /// The upstream's application has answered, with this signature.
    Executed(Arc<str>),
    /// Nothing: the answer is not signed.
    Unsigned,
}

impl<B> Answer<B> {
    /// Logs that the answer is not signed.
    pub(crate) fn log_unsigned(&self, id: &str, upstream: &str) {
        log::warn!(target: "answer", id, upstream, status = self.status.as_u16(); "answer is not signed");
    }

    /// Returns the head and the body as a response.
    pub(crate) fn into_response(self) -> Response<B> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

impl Answer<Incoming> {
    /// Reads the body. That of an answer which is not used is thrown away: of one that rejects the request, and of an
    /// unsigned one to a request that has an ID.
    async fn read(
        self,
        app: &App,
        has_id: bool,
        max_bytes: usize,
    ) -> Result<Answer<Bytes>, SendError> {
        let is_used = match &self.statement {
            Statement::Executed(_) => true,
            Statement::Unsigned => !has_id,
            Statement::Rejected | Statement::Misdirected => false,
        };
        let body = match is_used {
            true => app.http.read_body(self.body, max_bytes).await?,
            false => {
                net::body::discard(self.body);
                Bytes::new()
            }
        };
        Ok(Answer {
            body,
            status: self.status,
            headers: self.headers,
            load: self.load,
            version: self.version,
            statement: self.statement,
        })
    }
}

/// Sends a request and waits up to `limit` for the head of the answer.
///
/// # Errors
///
/// Returns [`SendError`].
pub(crate) async fn send(
    app: &App,
    outbound: Outbound,
    limit: Duration,
) -> Result<Attribution<Incoming>, SendError> {
    let Outbound {
        request,
        upstream,
        id,
        condition,
    } = outbound;
    let response = match &id {
        Some(id) => {
            app.http
                .send_identified(request, id, limit, condition)
                .await?
        }
        None => app.http.send_if(request, limit, condition).await?,
    };
    Ok(attribute(app, &upstream, id.as_deref(), response))
}

/// Sends a request and reads the whole answer, both within `limit`.
///
/// # Errors
///
/// Returns [`SendError`], also when the body is longer than `max_bytes`.
pub(crate) async fn fetch(
    app: &App,
    outbound: Outbound,
    limit: Duration,
    max_bytes: usize,
) -> Result<Attribution<Bytes>, SendError> {
    let has_id = outbound.id.is_some();
    let exchange = async {
        match send(app, outbound, limit).await? {
            Attribution::Own(answer) => {
                let answer = answer.read(app, has_id, max_bytes).await?;
                Ok(Attribution::Own(answer))
            }
            Attribution::Foreign => Ok(Attribution::Foreign),
        }
    };
    timeout(limit, exchange)
        .await
        .unwrap_or(Err(SendError::Timeout))
}

/// Attributes an answer of an upstream to the request with an ID. The connection of one that belongs to another request is closed,
/// because it still owes the answer to this one, which whoever sent on it next would get.
fn attribute<B>(
    app: &App,
    upstream: &str,
    id: Option<&str>,
    response: Response<B>,
) -> Attribution<B> {
    let head = app
        .dialect
        .decode_answer_head(response.status(), response.headers());
    let arrival = Arrival::of(&response);
    let position = arrival.map_or(0, Arrival::position);
    if !belongs(id, head.attempt_id.as_deref(), position) {
        if let Some(arrival) = arrival {
            arrival.close_connection();
        }
        log::warn!(target: "answer", id = id.unwrap_or_default(), upstream, position,
            status = response.status().as_u16(), answers = head.attempt_id.as_deref().unwrap_or("nothing");
            "answer does not match the request");
        metrics::counter!(telemetry::FOREIGN_ANSWERS).increment(1);
        return Attribution::Foreign;
    }
    let statement = match head.signature {
        _ if head.not_executed => Statement::Rejected,
        _ if head.misdirected => Statement::Misdirected,
        Some(signature) => Statement::Executed(signature),
        None => Statement::Unsigned,
    };
    if matches!(statement, Statement::Rejected | Statement::Misdirected) {
        log::info!(target: "answer", id = id.unwrap_or_default(), upstream, position,
            status = response.status().as_u16(); "rejected");
    }
    let (parts, body) = response.into_parts();
    Attribution::Own(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
        load: head.load,
        version: head.version,
        statement,
    })
}

/// Returns whether an answer belongs to a request; `position` is that of the answer on its connection.
///
/// Upstreams repeat the ID of a request in the answer. One without an ID can only belong to the first request on its
/// connection: later it may as well be the copy of an earlier answer.
fn belongs(id: Option<&str>, answers: Option<&str>, position: u64) -> bool {
    match (id, answers) {
        (Some(id), Some(answers)) => id == answers,
        (Some(_), None) => position == 1,
        (None, Some(_)) => false,
        (None, None) => true,
    }
}
