//! Error responses as problem documents (RFC 9457).

use std::sync::Arc;

use route::Ran;
use serde::Deserialize;
use serde::Serialize;

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Error type, sent as the `type` member of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Type {
    /// The bearer token is missing or belongs to no contract.
    Unauthorized,
    /// The contract does not cover the model or service.
    NotCovered,
    /// The path, service, model or step does not exist.
    NotFound,
    /// The path does not support this method.
    Method,
    /// The body is malformed or not valid for the path.
    BadRequest,
    /// The body or a header is too long.
    TooLarge,
    /// The body did not arrive in time.
    SlowRequest,
    /// The request exceeds a limit of the contract.
    OverLimit,
    /// The request cannot complete by the deadline.
    Late,
    /// The queue is full.
    Full,
    /// No upstream can accept the request now.
    NoUpstream,
    /// The request is quarantined because upstreams crash while processing it.
    Quarantined,
    /// The upstream failed.
    Upstream,
    /// The response is longer than allowed.
    AnswerTooLarge,
    /// The key was used before, and the outcome of that request is unknown.
    KeyInDoubt,
    /// The key was used for a different request.
    KeyMismatch,
    /// The key is older than the retention time of the journal.
    KeyExpired,
    /// The journal is currently not writable.
    Journal,
    /// The platform is currently unreachable.
    Platform,
    /// This instance is shutting down.
    Draining,
    /// An internal error of this instance.
    Internal,
}

impl Type {
    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::NotCovered => 403,
            Self::NotFound => 404,
            Self::Method => 405,
            Self::BadRequest => 400,
            Self::TooLarge => 413,
            Self::SlowRequest => 408,
            Self::OverLimit => 429,
            Self::KeyInDoubt => 409,
            Self::KeyMismatch => 422,
            Self::KeyExpired => 410,
            Self::Late
            | Self::Full
            | Self::NoUpstream
            | Self::Quarantined
            | Self::Journal
            | Self::Platform
            | Self::Draining => 503,
            Self::Upstream | Self::AnswerTooLarge => 502,
            Self::Internal => 500,
        }
    }

    /// A short summary, identical for all documents of the type.
    pub fn title(self) -> &'static str {
        match self {
            Self::Unauthorized => "no contract has this token",
            Self::NotCovered => "the contract does not cover this",
            Self::NotFound => "no such thing",
            Self::Method => "the path does not take this method",
            Self::BadRequest => "the request is not well formed",
            Self::TooLarge => "the request is too large",
            Self::SlowRequest => "the request did not come in time",
            Self::OverLimit => "over a limit of the contract",
            Self::Late => "cannot be done by the deadline",
            Self::Full => "the queue is full",
            Self::NoUpstream => "no upstream can take it now",
            Self::Quarantined => "upstreams crash under it",
            Self::Upstream => "the upstream failed",
            Self::AnswerTooLarge => "the answer is too large",
            Self::KeyInDoubt => "the key was used and its outcome is not known",
            Self::KeyMismatch => "the key was used for another request",
            Self::KeyExpired => "the key is older than the journal",
            Self::Journal => "the journal cannot be written now",
            Self::Platform => "the platform cannot be reached now",
            Self::Draining => "this instance is leaving",
            Self::Internal => "a fault of this instance",
        }
    }
}

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// The error type.
    #[serde(rename = "type")]
    pub kind: Type,
    /// A short summary, identical for all documents of the type.
    pub title: Arc<str>,
    /// The HTTP status.
    pub status: u16,
    /// Details of this occurrence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Box<str>>,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Time in milliseconds after which to retry, if a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates an error response without details.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::{Attempt, Ran};
    /// use wire::problem::{Problem, Type};
    ///
    /// let problem = Problem::new(Type::Full, Attempt::new().refuse()).retry_after(250);
    /// assert_eq!(problem.status, 503);
    /// assert_eq!(problem.ran, Ran::No);
    /// ```
    pub fn new(kind: Type, ran: Ran) -> Self {
        Self {
            kind,
            title: kind.title().into(),
            status: kind.status(),
            detail: None,
            ran,
            retry_after_ms: None,
        }
    }

    /// Sets the details of this occurrence.
    pub fn with_detail(mut self, detail: impl Into<Box<str>>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Sets the time in milliseconds after which to retry.
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}
