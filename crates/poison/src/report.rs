//! What instances tell one another of crashes.

use std::sync::Arc;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;

/// A request was at an upstream when that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// The start of the upstream.
    pub upstream: Arc<str>,
    /// When, in milliseconds since 1970 at the instance that noticed.
    pub at: Millis,
}

/// A request that had been at a crash was answered whole by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Success {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// When, in milliseconds since 1970 at the instance that noticed.
    pub at: Millis,
}

/// What one instance has seen itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Observations {
    /// By what requests ask for, to the byte.
    #[serde(rename = "own")]
    pub exact: Report,
    /// By what requests have in common.
    #[serde(rename = "kin")]
    pub group: Report,
}

/// What one instance has seen itself of requests known in one way: at most [`MOST`] of each kind, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Whole answers.
    #[serde(rename = "wholes")]
    pub successes: Vec<Success>,
}

/// Most entries of each kind in a report. With some 60 bytes each a report is 4 KB, and those of 400
/// instances are read within one answer of the platform.
pub const MOST: usize = 32;
