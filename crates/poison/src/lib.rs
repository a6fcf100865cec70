//! Detection of poison requests, which crash the upstreams that run them.
//!
//! Such a request is retried under a new id at any instance, so it is recognized by its content ([`Fingerprint`]).
//! Each instance keeps a [`Ledger`] of the crashes that it and other instances observed ([`Report`]) and consults it
//! before it forwards a request.

pub mod fingerprint;
pub mod ledger;
pub mod report;

pub use fingerprint::Fingerprint;
pub use ledger::Change;
pub use ledger::Ledger;
pub use ledger::Verdict;
pub use report::Crash;
pub use report::Observations;
pub use report::Report;
pub use report::Success;
