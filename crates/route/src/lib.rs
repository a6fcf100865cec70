//! Request routing: picking an upstream, and retries after a failed attempt.
//!
//! A [`Pool`] holds the state that one instance keeps of the upstreams serving one model or service.
//! Load balancing among those with a free slot is a plug-in ([`choose`]). [`attempt`] tracks in the
//! type whether a request may have been executed; [`retry`] decides whether to retry it.

pub mod attempt;
pub mod choose;
pub mod health;
pub mod pool;
pub mod prefix;
pub mod retry;
pub mod upstream;

pub use attempt::Attempt;
pub use attempt::Ran;
pub use choose::Chooser;
pub use health::Availability;
pub use health::Health;
pub use health::LeavingSource;
pub use pool::Pool;
pub use retry::Decision;
pub use retry::RetryBudget;
pub use upstream::Upstream;
pub use upstream::UpstreamKind;
pub use upstream::UpstreamSpec;
