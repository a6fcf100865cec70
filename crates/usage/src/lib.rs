//! Usage accounting: how many requests of each team upstreams began to execute, by time window.
//!
//! Each entry instance counts the requests that it sent ([`Meter`]) and sends snapshots of the counts to another
//! instance of its failure domain, where they outlive it ([`SnapshotStore`]). The leader for usage reports adds
//! up the stored counts, persists the sums and sends them ([`Ledger`]). Nothing in this crate reads a socket or a
//! clock.

pub mod ledger;
pub mod meter;
pub mod snapshot_store;
pub mod window;

pub use ledger::Ledger;
pub use ledger::NextAction;
pub use ledger::Report;
pub use meter::Meter;
pub use meter::RequestAttempts;
pub use meter::Snapshot;
pub use snapshot_store::SnapshotStore;
pub use snapshot_store::WindowCounts;
pub use window::Windows;

use std::sync::Arc;

/// Number of requests by team, sorted by the name of the team.
pub type Counts = Vec<(Arc<str>, u64)>;
