//! Noticing crashes of upstreams under requests, and telling other instances of them.
//!
//! What a request may do is decided by [`poison::Ledger`]. A [`CrashTracker`] is that ledger as the parts of an
//! instance share it; [`report`] keeps what it has seen at the platform.

mod ledgers;
pub mod report;
mod tracker;

pub use tracker::CRASHES_METRIC;
pub use tracker::CrashTracker;
pub use tracker::QUARANTINED_METRIC;
pub use tracker::SuspectGuard;
