//! The contract of one customer.

use std::fmt;
use std::str::FromStr;

use kernel::Millis;
use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::TokenDigest;

/// Highest priority class.
pub const MAX_CLASS: u8 = 7;

/// Which of two costs the customer weighs more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Weighs {
    /// Trainer idle time: running samples are kept while weights are swapped.
    #[default]
    Idle,
    /// Staleness: running samples move to newer weights as soon as there are some.
    Staleness,
}

/// What becomes of a sample that cannot be scored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unscored {
    /// It waits until it is scored.
    #[default]
    Wait,
    /// It is delivered without a score.
    Pass,
}

/// A call that is marked as non-idempotent: `SERVICE:METHOD:/path`, where the path is a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Rule {
    /// The plain service.
    pub service: Name,
    /// The HTTP method in capitals.
    pub method: Box<str>,
    /// The prefix of the path within the service.
    pub path: Box<str>,
}

/// The text is not of the form `SERVICE:METHOD:/path`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected SERVICE:METHOD:/path")]
pub struct RuleError;

impl FromStr for Rule {
    type Err = RuleError;

    fn from_str(text: &str) -> Result<Self, RuleError> {
        let mut parts = text.splitn(3, ':');
        let (Some(service), Some(method), Some(path)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(RuleError);
        };
        let capitals = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if !capitals || !path.starts_with('/') {
            return Err(RuleError);
        }
        Ok(Self {
            service: service.parse().map_err(|_| RuleError)?,
            method: method.into(),
            path: path.into(),
        })
    }
}

impl fmt::Display for Rule {
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
    /// SHA-256 of the bearer token.
    pub token: TokenDigest,
    /// Models it may use.
    pub models: Vec<Name>,
    /// Plain services it may use.
    pub services: Vec<Name>,
    /// Requests a second, over all instances.
    pub rate: f64,
    /// Requests that may come at once on top of the rate.
    pub burst: f64,
    /// Requests that may run at the same time, over all instances.
    pub concurrency: u32,
    /// Generated tokens a second, over all instances.
    pub tokens: f64,
    /// Priority class, 0 to [`MAX_CLASS`]; higher goes first at the engines.
    pub class: u8,
    /// Share of a contended upstream relative to other contracts.
    pub weight: u32,
    /// Longest time that a request may take.
    pub deadline: Millis,
    /// Weight versions that a sample may be behind its trainer.
    pub staleness: u64,
    /// Which cost weighs more.
    pub weighs: Weighs,
    /// Calls marked as non-idempotent.
    pub once: Vec<Rule>,
    /// The plain service that scores samples before they are delivered.
    #[serde(default)]
    pub scorer: Option<Name>,
    /// What becomes of a sample that cannot be scored.
    #[serde(default)]
    pub unscored: Unscored,
}

impl Contract {
    /// Tells whether the contract marks a call as non-idempotent.
    ///
    /// A prefix ends at a path segment: the rule `/orders` covers `/orders` and `/orders/7`, not
    /// `/ordersheet`.
    pub fn is_once(&self, service: &str, method: &str, path: &str) -> bool {
        self.once.iter().any(|rule| {
            &*rule.service == service && &*rule.method == method && covers(&rule.path, path)
        })
    }

    /// Tells whether the customer may use the model.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|name| &**name == model)
    }

    /// Tells whether the customer may use the service.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.iter().any(|name| &**name == service)
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}
