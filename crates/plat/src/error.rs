//! Errors of platform calls.

/// The error of a platform call.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize, thiserror::Error)]
pub enum PlatError {
    /// No connection was made: a write was not applied.
    #[error("could not reach the platform")]
    Unreachable,
    /// The [`Budget`](crate::Budget) of this instance is used up: nothing was sent.
    #[error("the budget for calls of the platform is used up")]
    Budget,
    /// The platform rejected the call before processing it, because of overload or unavailability; holds the HTTP
    /// status.
    #[error("the platform turned the call away with status {0}")]
    #[serde(rename = "TurnedAway")]
    Unavailable(u16),
    /// No answer arrived: a write may have been applied, or may still be.
    #[error("the platform did not answer")]
    #[serde(rename = "Silent")]
    NoAnswer,
    /// The start revision of a watch was compacted: the caller has to read all keys again.
    #[error("the platform has compacted revision {0}")]
    Compacted(i64),
    /// The answer does not follow the protocol.
    #[error("the platform's answer could not be understood")]
    Garbled,
    /// The protocol does not support the call.
    #[error("the platform's protocol has no such call")]
    Unsupported,
    /// The lease of a write no longer exists: nothing was written.
    #[error("the lease has ended")]
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// The platform refused the call permanently; holds its message.
    #[error("the platform refused the call: {0}")]
    Refused(Box<str>),
}

impl PlatError {
    /// Returns whether the platform did not serve this instance, although it may serve others.
    pub fn is_unavailable(&self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::NoAnswer | Self::Unavailable(_)
        )
    }

    /// Returns whether a write that failed with this error may have been applied, or may still be.
    pub fn is_indeterminate(&self) -> bool {
        matches!(self, Self::NoAnswer | Self::Garbled)
    }
}
