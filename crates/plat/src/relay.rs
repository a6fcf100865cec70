//! Calls through somebody else.

use std::future::Future;
use std::pin::Pin;

use crate::Answer;
use crate::Call;
use crate::PlatError;

/// The future of a relayed call.
pub type RelayFuture = Pin<Box<dyn Future<Output = Result<Answer, PlatError>> + Send>>;

/// Makes a call through another instance, which the platform may serve while it turns this one
/// away.
pub trait Relay: Send + Sync {
    /// Makes a call.
    fn relay(&self, call: Call) -> RelayFuture;
}
