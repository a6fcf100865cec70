//! The contract that defines what a customer may use.

use std::fmt;
use std::str::FromStr;

use kernel::Millis;
use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::TokenDigest;

/// The highest priority class.
pub const MAX_CLASS: u8 = 7;

/// The cost that the customer prefers to avoid.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CostPreference {
    /// Idle time of the trainer: running samples are kept while weights are swapped.
    #[default]
    Idle,
    /// Staleness of samples: running samples move to newer weights as soon as these are available.
    Staleness,
}

/// What happens to a sample that cannot be scored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UnscoredPolicy {
    /// It waits until it is scored.
    #[default]
    Wait,
    /// It is delivered without a score.
    Pass,
}

/// A rule that marks calls as non-idempotent: `SERVICE:METHOD:/path`, where the path is a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NonIdempotentRule {
    /// The plain service.
    pub service: Name,
    /// The HTTP method in uppercase.
    pub method: Box<str>,
    /// The path prefix within the service.
    pub path: Box<str>,
}

/// The error for a rule that does not have the form `SERVICE:METHOD:/path`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected SERVICE:METHOD:/path")]
pub struct RuleError;

impl FromStr for NonIdempotentRule {
    type Err = RuleError;

    fn from_str(text: &str) -> Result<Self, RuleError> {
        let mut parts = text.splitn(3, ':');
        let (Some(service), Some(method), Some(path)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(RuleError);
        };
        let is_uppercase = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if !is_uppercase || !path.starts_with('/') {
            return Err(RuleError);
        }
        Ok(Self {
            service: service.parse().map_err(|_| RuleError)?,
            method: method.into(),
            path: path.into(),
        })
    }
}

impl fmt::Display for NonIdempotentRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.service, self.method, self.path)
    }
}

/// What one customer may use, and how much of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Contract {
    /// The customer.
    pub customer: Name,
    /// SHA-256 digest of the bearer token.
    #[serde(rename = "token")]
    pub token_digest: TokenDigest,
    /// The models that it may use.
    pub models: Vec<Name>,
    /// The plain services that it may use.
    pub services: Vec<Name>,
    /// Maximum requests per second, over all instances.
    #[serde(rename = "rate")]
    pub request_rate: f64,
    /// Maximum number of requests at once on top of the rate.
    pub burst: f64,
    /// Maximum number of requests that run at the same time, over all instances.
    pub concurrency: u32,
    /// Maximum generated tokens per second, over all instances.
    #[serde(rename = "tokens")]
    pub token_rate: f64,
    /// Priority class from 0 to [`MAX_CLASS`]; engines serve higher classes first.
    pub class: u8,
    /// Weight in the division of a contended upstream among contracts.
    pub weight: u32,
    /// Maximum duration of a request.
    pub deadline: Millis,
    /// Maximum number of weight versions that a sample may be behind its trainer.
    #[serde(rename = "staleness")]
    pub max_staleness: u64,
    /// The cost that the customer prefers to avoid.
    #[serde(rename = "weighs")]
    pub cost_preference: CostPreference,
    /// The rules that mark calls as non-idempotent.
    #[serde(rename = "once")]
    pub non_idempotent: Vec<NonIdempotentRule>,
    /// The plain service that scores samples before they are delivered.
    #[serde(default)]
    pub scorer: Option<Name>,
    /// What happens to a sample that cannot be scored.
    #[serde(default)]
    pub unscored: UnscoredPolicy,
}

impl Contract {
    /// Returns whether the contract marks a call as non-idempotent.
    ///
    /// A prefix matches whole path segments: the rule `/orders` covers `/orders` and `/orders/7`,
    /// but not `/ordersheet`.
    pub fn is_non_idempotent(&self, service: &str, method: &str, path: &str) -> bool {
        self.non_idempotent.iter().any(|rule| {
            &*rule.service == service && &*rule.method == method && covers(&rule.path, path)
        })
    }

    /// Returns whether the customer may use the model.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|name| &**name == model)
    }

    /// Returns whether the customer may use the service.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.iter().any(|name| &**name == service)
    }
}

/// Returns whether a prefix matches a path at the boundary of a path segment or of the query.
fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}
