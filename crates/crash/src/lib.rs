//! Detects upstream crashes caused by requests and reports them to other instances.
//!
//! [`poison::Ledger`] decides what a request may do. A [`CrashTracker`] shares the ledgers among the parts of an
//! instance, and [`report`] exchanges the instances' observations through the platform.

mod ledgers;
pub mod report;
mod tracker;

pub use tracker::CRASHES_METRIC;
pub use tracker::CrashTracker;
pub use tracker::QUARANTINED_METRIC;
pub use tracker::SuspectGuard;
