//! Noticing crashes of upstreams under requests, and telling other instances of them.
//!
//! What a request may do is decided by [`poison::Ledger`]. A [`Watch`] is that ledger as the parts of an
//! instance share it; [`report`] keeps what it has seen at the platform.

mod ledgers;
pub mod report;
mod watch;

pub use watch::CRASHES;
pub use watch::QUARANTINED;
pub use watch::Stay;
pub use watch::Watch;
