//! Answers of our own to callers.
//!
//! A status that promises that a request has not run is chosen only where nothing was sent.

use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::RETRY_AFTER;
use http::header::WWW_AUTHENTICATE;
use kernel::Millis;
use net::Reply;
use net::body;

/// Time after which a caller that was turned away had better come back, in seconds: long enough
/// for a place to become free or a restarted instance to know its configuration.
const RETRY_AFTER_SECONDS: &str = "0.25";

/// The scheme in which a caller brings its key.
const AUTH_SCHEME: &str = "Token";

/// Milliseconds in a second.
const MILLIS_PER_SECOND: Millis = 1_000;

/// Why a caller does not get what it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing was run and nothing will be; it may come back.
    NotExecuted,
    /// Upstreams crash under it: it was not run, and may come back after so many milliseconds.
    Quarantined(Millis),
    /// Whether it ran is not known.
    OutcomeUnknown,
    /// It was sent, and the time is over.
    TimedOut,
    /// There is no such route, step or sample.
    NotFound,
    /// It brings no key that anybody holds.
    Unauthorized,
    /// The request is not proper.
    Invalid,
    /// The body is too long.
    BodyTooLarge,
}

impl Refusal {
    /// The word in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotExecuted => "refused",
            Self::Quarantined(_) => "quarantined",
            Self::OutcomeUnknown => "unknown",
            Self::TimedOut => "late",
            Self::NotFound => "missing",
            Self::Unauthorized => "unauthorized",
            Self::Invalid => "wrong",
            Self::BodyTooLarge => "long",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NotExecuted | Self::Quarantined(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// The answer.
    pub fn reply(self) -> Reply {
        let mut reply = body::reply(self.status(), "text/plain", self.name());
        if self == Self::Unauthorized {
            let scheme = HeaderValue::from_static(AUTH_SCHEME);
            reply.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        if let Some(back) = self.retry_after() {
            reply.headers_mut().insert(RETRY_AFTER, back);
        }
        reply
    }

    /// When the caller had better come back.
    fn retry_after(self) -> Option<HeaderValue> {
        match self {
            Self::NotExecuted => Some(HeaderValue::from_static(RETRY_AFTER_SECONDS)),
            Self::Quarantined(left) => Some(left.div_ceil(MILLIS_PER_SECOND).into()),
            _ => None,
        }
    }
}

/// Asks the caller to open its next connection elsewhere.
pub fn close_connection(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}
