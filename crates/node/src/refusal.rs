//! Error replies of the instance itself.
//!
//! A status that promises that a request has not run is used only where nothing was sent.

use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::RETRY_AFTER;
use http::header::WWW_AUTHENTICATE;
use kernel::Millis;
use net::Reply;
use net::body;

/// Delay after which a refused caller should retry, in milliseconds: long enough for a slot to become free or for a
/// restarted instance to load its configuration.
const RETRY_DELAY: Millis = 250;

/// Authentication scheme for callers' keys.
const AUTH_SCHEME: &str = "Token";

/// Milliseconds in a second.
const MILLIS_PER_SECOND: Millis = 1_000;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request has not been executed and never will be; the caller may retry.
    NotExecuted,
    /// The service is busy: the request has not been executed, and may be retried after so many milliseconds.
    Busy(Millis),
    /// Upstreams crash under the request: it was not executed, and may be retried after so many milliseconds.
    Quarantined(Millis),
    /// The instance is overloaded: the request has not been executed, and may be retried after so many milliseconds.
    Overloaded(Millis),
    /// Whether the request was executed is unknown.
    OutcomeUnknown,
    /// The request was sent, and its deadline has passed.
    TimedOut,
    /// There is no such route, step or sample.
    NotFound,
    /// The request has no valid key.
    Unauthorized,
    /// The request is invalid.
    Invalid,
    /// The body is too large.
    BodyTooLarge,
    /// There is no memory for the body now: the request has not been executed and never will be.
    BodyRefused,
    /// The body was not complete in the time that the request has: it has not been executed and never will be.
    BodyLate,
}

impl Refusal {
    /// Returns the name used in logs, metrics and bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotExecuted | Self::Busy(_) => "refused",
            Self::Quarantined(_) => "quarantined",
            Self::Overloaded(_) => "overloaded",
            Self::OutcomeUnknown => "unknown",
            Self::TimedOut => "late",
            Self::NotFound => "missing",
            Self::Unauthorized => "unauthorized",
            Self::Invalid => "wrong",
            Self::BodyTooLarge => "long",
            Self::BodyRefused => "no room",
            Self::BodyLate => "slow",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NotExecuted
            | Self::Busy(_)
            | Self::Quarantined(_)
            | Self::Overloaded(_)
            | Self::BodyRefused => StatusCode::SERVICE_UNAVAILABLE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// Builds the reply.
    pub fn reply(self) -> Reply {
        let mut reply = body::reply(self.status(), "text/plain", self.name());
        if self == Self::Unauthorized {
            let scheme = HeaderValue::from_static(AUTH_SCHEME);
            reply.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        if self == Self::Invalid {
            // Whoever sends such requests by the thousand has to connect for each of them.
            close_connection(&mut reply);
        }
        if let Some(delay) = self.retry_header() {
            reply.headers_mut().insert(RETRY_AFTER, delay);
        }
        reply
    }

    /// Returns the delay after which the caller should retry, in milliseconds.
    pub(crate) fn retry_after(self) -> Option<Millis> {
        match self {
            Self::NotExecuted | Self::BodyRefused => Some(RETRY_DELAY),
            Self::Busy(delay) | Self::Overloaded(delay) => Some(delay),
            // Whole seconds, so that the caller does not return a moment too early.
            Self::Quarantined(left) => Some(left.next_multiple_of(MILLIS_PER_SECOND)),
            _ => None,
        }
    }

    /// Returns the value of the Retry-After header in seconds, with a fraction where there is one.
    fn retry_header(self) -> Option<HeaderValue> {
        let delay = self.retry_after()?;
        let seconds = delay as f64 / MILLIS_PER_SECOND as f64;
        HeaderValue::from_str(&seconds.to_string()).ok()
    }
}

/// Asks the caller to close the connection, so that it opens its next one elsewhere.
pub fn close_connection(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}
