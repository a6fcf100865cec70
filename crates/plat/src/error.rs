//! Why a call of the platform gave nothing.

/// Why a call of the platform gave nothing.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize, thiserror::Error)]
pub enum PlatError {
    /// No connection was made: a write did not take effect.
    #[error("could not reach the platform")]
    Unreachable,
    /// This instance's budget for calls is used up: nothing was sent.
    #[error("the budget for calls of the platform is used up")]
    Budget,
    /// The platform turned the call away before it did anything: too many calls, or none now.
    #[error("the platform turned the call away with status {0}")]
    #[serde(rename = "TurnedAway")]
    Unavailable(u16),
    /// No answer came: a write may have taken effect, or may yet.
    #[error("the platform did not answer")]
    #[serde(rename = "Silent")]
    NoAnswer,
    /// The revision that a watch was to begin at is compacted: read everything again.
    #[error("the platform has compacted revision {0}")]
    Compacted(i64),
    /// The answer is not what the protocol says.
    #[error("the platform's answer could not be understood")]
    Garbled,
    /// The protocol has no such call.
    #[error("the platform's protocol has no such call")]
    Unsupported,
    /// The lease of a write does not exist any more: nothing was written.
    #[error("the lease has ended")]
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// The platform refuses the call for good.
    #[error("the platform refused the call: {0}")]
    Refused(Box<str>),
}

impl PlatError {
    /// Tells whether the platform did not serve this instance, and may serve others.
    pub fn is_unavailable(&self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::NoAnswer | Self::Unavailable(_)
        )
    }

    /// Tells whether a write that ended so may have taken effect.
    pub fn is_indeterminate(&self) -> bool {
        matches!(self, Self::NoAnswer | Self::Garbled)
    }
}
