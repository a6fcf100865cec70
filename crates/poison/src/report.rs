//! The observations that instances exchange about crashes.

use std::sync::Arc;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;

/// An upstream crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Identifies one start of the upstream.
    pub upstream: Arc<str>,
    /// The time of detection in milliseconds since 1970, by the detecting instance's clock.
    pub at: Millis,
}

/// An upstream completely answered a request that had been affected by a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Success {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// The time of the answer in milliseconds since 1970, by the detecting instance's clock.
    pub at: Millis,
}

/// The observations of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Observations {
    /// Observations of calls.
    #[serde(rename = "own")]
    pub exact: Report,
    /// Empty. Earlier versions, which read this record too, counted groups of similar requests here.
    #[serde(rename = "kin")]
    pub group: Report,
}

/// The observations of one instance: at most [`MAX_ENTRIES`] crashes and successes each,
/// the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Crashes of upstreams.
    pub crashes: Vec<Crash>,
    /// Complete answers to requests that had been affected by a crash.
    #[serde(rename = "wholes")]
    pub successes: Vec<Success>,
}

/// Maximum number of crashes, and of successes, in a report. At about 60 bytes each a report takes 4 KB, and one
/// platform response can hold those of 400 instances.
pub const MAX_ENTRIES: usize = 32;
