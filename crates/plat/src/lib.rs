//! Client of the platform's key-value service: compare-and-swap, leases and watches.
//!
//! A [`Call`] describes an operation, and a [`Protocol`] encodes it. The built-in protocol is the published etcd v3
//! JSON mapping over HTTP. Every call counts against a [`Budget`]; a watch counts as one call, however long it runs.

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
