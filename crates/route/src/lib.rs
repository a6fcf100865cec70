//! Routing: which upstream takes a request, and what to do when it fails.
//!
//! A [`Pool`] holds what one instance knows of the upstreams that serve one model or service. The
//! choice among those with room is a plug-in ([`choose`]). [`attempt`] carries, in the type, what
//! is known of whether a request ran; [`retry`] decides what follows a failed attempt.

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
