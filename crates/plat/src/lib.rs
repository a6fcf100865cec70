//! Client of the platform's key-value service: the etcd v3 JSON mapping over HTTP.
//!
//! Keys and values are base64 and 64-bit integers are strings, as published. Every call is
//! counted against a [`Budget`], a waiting watch as one.

pub mod budget;
pub mod client;
pub mod error;
pub mod keys;
pub mod proto;
pub mod watch;

pub use budget::Budget;
pub use client::Client;
pub use client::Guard;
pub use client::Item;
pub use client::Lease;
pub use client::Put;
pub use client::Range;
pub use client::Txn;
pub use error::PlatError;
pub use watch::Change;
pub use watch::Watch;
