//! Requests that crash the upstreams that run them (poison requests).
//!
//! Such a request comes again under a new id, at any instance; only what it asks for tells that it is
//! the same one ([`Print`]). Each instance keeps a [`Ledger`] of the crashes that it and others have seen
//! ([`Report`]) and asks it before it sends a request on.

pub mod ledger;
pub mod print;
pub mod report;

pub use ledger::Change;
pub use ledger::Ledger;
pub use ledger::Verdict;
pub use print::Mark;
pub use print::Print;
pub use report::Crash;
pub use report::Report;
pub use report::Seen;
pub use report::Whole;
