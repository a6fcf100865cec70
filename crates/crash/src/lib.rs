//! Detects upstream crashes caused by requests and reports them to other instances.
//!
//! [`poison::Ledger`] decides what a call may do. A [`CrashTracker`] shares the ledger among the parts of an
//! instance, and [`report`] exchanges the instances' observations through the platform.

pub mod report;
mod subject;
mod tracker;

pub use subject::Subject;
pub use tracker::CRASHES_METRIC;
pub use tracker::CrashTracker;
pub use tracker::QUARANTINED_METRIC;
pub use tracker::SuspectGuard;
