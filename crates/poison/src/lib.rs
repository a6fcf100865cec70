//! Requests that crash the upstreams that run them (poison requests).
//!
//! Such a request comes again under a new id, at any instance; only what it asks for tells that it is
//! the same one ([`Fingerprint`]). Each instance keeps a [`Ledger`] of the crashes that it and others have seen
//! ([`Report`]) and asks it before it sends a request on.

pub mod fingerprint;
pub mod ledger;
pub mod report;

pub use fingerprint::Fingerprint;
pub use fingerprint::Identity;
pub use ledger::Change;
pub use ledger::Ledger;
pub use ledger::Verdict;
pub use report::Crash;
pub use report::Observations;
pub use report::Report;
pub use report::Success;
