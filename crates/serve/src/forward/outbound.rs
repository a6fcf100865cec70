//! Calls as they are sent to upstreams.

use std::sync::Arc;

use bytes::Bytes;
use contract::Contract;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header;
use kernel::Millis;
use net::Call;
use net::Inbound;
use net::UploadLimits;
use net::body::ReadError;
use tokio::time::Instant;
use wire::Problem;
use wire::caller::TIMEOUT;
use wire::problem::Type;

use super::deny;
use crate::App;

/// A call as it is sent to an upstream in each attempt.
#[derive(Clone)]
pub(super) struct OutboundCall {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) idempotent: bool,
    /// Deadline of the caller, on the monotonic clock in milliseconds.
    pub(super) deadline: Millis,
    /// Time beyond the deadline for which a response is awaited, in milliseconds.
    pub(super) grace: Millis,
}

/// Delay after which a caller whose body had no room should retry, in milliseconds.
const FULL_RETRY_DELAY: Millis = 1_000;

/// Headers that are not forwarded: they apply to one connection, or only to this instance.
pub(super) const UNFORWARDED_HEADERS: [HeaderName; 10] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the timeout of a call in milliseconds: the one in its header, but at most the
/// contract's.
///
/// # Errors
///
/// Returns a refusal if the header is not a positive integer.
pub fn timeout(call: &Call, contract: &Contract) -> Result<Millis, Problem> {
    let Some(text) = call.header(TIMEOUT) else {
        return Ok(contract.deadline);
    };
    match text.parse::<Millis>() {
        Ok(timeout) if timeout > 0 => Ok(timeout.min(contract.deadline)),
        _ => Err(deny(Type::BadRequest).with_detail(format!("{TIMEOUT}: expected milliseconds"))),
    }
}

/// Reads the body of a call, within the limits in the settings.
///
/// # Errors
///
/// Returns a refusal if the body is too large, arrives too slowly or is incomplete.
pub async fn read_body(
    app: &App,
    body: gotham::helpers::http::Body,
    inbound: &Arc<Inbound>,
) -> Result<Bytes, Problem> {
    let bounds = &app.settings.bounds;
    let limits = UploadLimits {
        max_bytes: bounds.max_body,
        deadline: Instant::now() + bounds.body_timeout,
    };
    let received = app.uploads.receive_bytes(body, inbound, limits).await;
    received.map_err(|error| {
        let problem = match error {
            ReadError::TooLong(_) => deny(Type::TooLarge),
            ReadError::OverBudget => deny(Type::Full).retry_after(FULL_RETRY_DELAY),
            ReadError::Timeout => deny(Type::SlowRequest),
            ReadError::Truncated => deny(Type::BadRequest),
        };
        problem.with_detail(error.to_string())
    })
}

/// Reads a call whose deadline is `deadline`, on the monotonic clock in milliseconds.
///
/// # Errors
///
/// Returns a refusal if its body cannot be read.
pub(super) async fn outbound(
    app: &App,
    call: Call,
    path: String,
    non_idempotent: bool,
    deadline: Millis,
) -> Result<OutboundCall, Problem> {
    let mut headers = HeaderMap::new();
    let timeout = HeaderName::from_static(TIMEOUT);
    for (name, value) in &call.headers {
        if !UNFORWARDED_HEADERS.contains(name) && *name != timeout {
            headers.append(name, value.clone());
        }
    }
    let idempotent = !non_idempotent && call.method.is_idempotent();
    let body = read_body(app, call.body, &call.inbound).await?;
    Ok(OutboundCall {
        method: call.method,
        path,
        headers,
        body,
        idempotent,
        deadline,
        grace: 0,
    })
}
