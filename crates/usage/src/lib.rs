//! How many requests of each team began to run at an upstream, by window of time.
//!
//! Each entry instance counts what it sent ([`Meter`]) and tells a keeper of its failure domain, which
//! outlives it ([`SnapshotStore`]). Whoever holds the duty adds up what the keepers have, writes the figures down and
//! sends them ([`Ledger`]). Nothing here reads a socket or a clock.

pub mod ledger;
pub mod meter;
pub mod keeper;
pub mod window;

pub use ledger::Ledger;
pub use ledger::NextAction;
pub use ledger::Report;
pub use meter::Meter;
pub use meter::RequestAttempts;
pub use meter::Snapshot;
pub use keeper::SnapshotStore;
pub use keeper::WindowCounts;
pub use window::Windows;

use std::sync::Arc;

/// Requests by team, in the order of the teams' names.
pub type Counts = Vec<(Arc<str>, u64)>;
