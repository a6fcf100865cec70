//! Platform calls sent through another instance.

use std::future::Future;
use std::pin::Pin;

use crate::Answer;
use crate::Call;
use crate::PlatError;

/// The future of a relayed call.
pub type RelayFuture = Pin<Box<dyn Future<Output = Result<Answer, PlatError>> + Send>>;

/// Sends calls through another instance, which the platform may serve while it does not serve this one.
pub trait Relay: Send + Sync {
    /// Sends a call through another instance.
    fn relay(&self, call: Call) -> RelayFuture;
}
