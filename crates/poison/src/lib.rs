//! Requests that crash the upstreams that run them (poison requests).
//!
//! Such a request comes again under a new id, at any instance; only what it asks for tells that it is
//! the same one.

pub mod print;

pub use print::Print;
