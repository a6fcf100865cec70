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
const BACK: &str = "0.25";

/// The scheme in which a caller brings its key.
const SCHEME: &str = "Token";

/// Milliseconds in a second.
const SECOND: Millis = 1_000;

/// Why a caller does not get what it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing was run and nothing will be; it may come back.
    Unrun,
    /// Upstreams crash under it: it was not run, and may come back after so many milliseconds.
    Quarantined(Millis),
    /// Whether it ran is not known.
    Unknown,
    /// It was sent, and the time is over.
    Late,
    /// There is no such route, step or sample.
    Missing,
    /// It brings no key that anybody holds.
    Unauthorized,
    /// The request is not proper.
    Wrong,
    /// The body is too long.
    Long,
}

impl Refusal {
    /// The word in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unrun => "refused",
            Self::Quarantined(_) => "quarantined",
            Self::Unknown => "unknown",
            Self::Late => "late",
            Self::Missing => "missing",
            Self::Unauthorized => "unauthorized",
            Self::Wrong => "wrong",
            Self::Long => "long",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Unrun | Self::Quarantined(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::Missing => StatusCode::NOT_FOUND,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Wrong => StatusCode::BAD_REQUEST,
            Self::Long => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// The answer.
    pub fn reply(self) -> Reply {
        let mut reply = body::reply(self.status(), "text/plain", self.name());
        if self == Self::Unauthorized {
            let scheme = HeaderValue::from_static(SCHEME);
            reply.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        if let Some(back) = self.back() {
            reply.headers_mut().insert(RETRY_AFTER, back);
        }
        reply
    }

    /// When the caller had better come back.
    fn back(self) -> Option<HeaderValue> {
        match self {
            Self::Unrun => Some(HeaderValue::from_static(BACK)),
            Self::Quarantined(left) => Some(left.div_ceil(SECOND).into()),
            _ => None,
        }
    }
}

/// Asks the caller to open its next connection elsewhere.
pub fn close(reply: &mut Reply) {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
}
