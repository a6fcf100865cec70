//! Refusals as problem documents (RFC 9457).

use std::sync::Arc;

use route::Ran;
use serde::Deserialize;
use serde::Serialize;

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// What kind of refusal it is; the `type` of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Type {
    /// No bearer token, or one that no contract has.
    Unauthorized,
    /// The contract does not cover the model or service.
    NotCovered,
    /// No such path, service, model or step.
    NotFound,
    /// The path does not take this method.
    Method,
    /// The body is not what the path takes.
    BadRequest,
    /// The body or a header is too long.
    TooLarge,
    /// The body did not come in time.
    SlowRequest,
    /// A line of the contract limits it.
    OverLimit,
    /// It cannot be done by the deadline.
    Late,
    /// The queue is full.
    Full,
    /// No upstream can take it now.
    NoUpstream,
    /// Upstreams crash under it.
    Quarantined,
    /// The upstream failed.
    Upstream,
    /// The answer is longer than allowed.
    AnswerTooLarge,
    /// The key was used before and what came of it is not known.
    KeyInDoubt,
    /// The key was used for another request.
    KeyMismatch,
    /// The key is older than the journal's horizon.
    KeyExpired,
    /// The journal cannot be written now.
    Journal,
    /// The platform cannot be reached now.
    Platform,
    /// This instance is leaving.
    Draining,
    /// A fault of this instance.
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

    /// A short text, the same for every document of the type.
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

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// What kind of refusal it is.
    #[serde(rename = "type")]
    pub kind: Type,
    /// A short text, the same for every document of the type.
    pub title: Arc<str>,
    /// The HTTP status.
    pub status: u16,
    /// What is particular to this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Box<str>>,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds, where waiting helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Makes a refusal.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::{Attempt, Ran};
    /// use wire::problem::{Problem, Type};
    ///
    /// let problem = Problem::new(Type::Full, Attempt::new().refuse()).after(250);
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

    /// Adds what is particular to this refusal.
    pub fn because(mut self, detail: impl Into<Box<str>>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Adds when to come back.
    pub fn after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}
