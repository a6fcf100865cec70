//! Client of the platform's key-value service: compare-and-swap, leases and watches.
//!
//! A [`Call`] says what is wanted and a [`Protocol`] how it is written. The protocol built in is
//! the etcd v3 JSON mapping over HTTP, as published. Every call is counted against a [`Budget`],
//! a waiting watch as one.

pub mod budget;
pub mod call;
pub mod client;
pub mod error;
pub mod etcd;
pub mod holder;
pub mod keys;
pub mod paged_list;
pub mod proto;
pub mod protocol;
pub mod relay;
pub mod single_writer_key;
pub mod watch;

pub use budget::Budget;
pub use call::Answer;
pub use call::Call;
pub use call::Change;
pub use call::Delete;
pub use call::Freshness;
pub use call::Guard;
pub use call::Item;
pub use call::Lease;
pub use call::Listing;
pub use call::Put;
pub use call::Range;
pub use call::Txn;
pub use call::TxnOutcome;
pub use client::Client;
pub use error::PlatError;
pub use etcd::Etcd;
pub use paged_list::PagedList;
pub use protocol::HttpRequest;
pub use protocol::Protocol;
pub use relay::Relay;
pub use single_writer_key::SingleWriterKey;
pub use watch::Watch;
