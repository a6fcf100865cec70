//! Decides on the attempts of calls: when a second attempt begins beside one that runs (a hedge), whether one follows
//! another that has failed (a retry), and how long an attempt may take.
//!
//! Services differ by three orders of magnitude in how long a call takes, so all of it follows from what the service's own
//! answers have taken lately. Hedges and retries have a budget each, a share of the service's calls, so that a service
//! that turns slow or fails gets no multiple of its load.
//!
//! Source: J. Dean, L. A. Barroso, "The Tail at Scale", Communications of the ACM 56 (2), 2013.

mod budget;
mod latency;
mod policy;

pub use budget::Budget;
pub use latency::Latency;
pub use latency::Quantiles;
pub use policy::Denial;
pub use policy::Failure;
pub use policy::Objective;
pub use policy::Permission;
pub use policy::Policy;
pub use policy::Room;
pub use policy::ServiceAttempts;
