//! The journal that lets a non-idempotent request run at most once.
//!
//! A caller names such a request with a [`Key`]. Before the request is sent anywhere, the intent
//! to run it is written to the platform. Keys are split over shards; a shard is a head, whose
//! revision is the fence, and segments, each of which holds the records of one group of writes.
//! A write is one transaction: *if the head's revision is the one I read last, put the next
//! segment and the head*. Two instances may both write to a shard; one of any two writes based on
//! the same revision fails, reads what it has missed, and finds the other's records there. So no
//! lease and no clock decides who may run a request, only the platform's compare-and-swap.
//!
//! [`Shard`] is the pure state of one shard; a shell carries out what it asks for.

pub mod key;
pub mod record;
pub mod shard;

pub use key::Fingerprint;
pub use key::Key;
pub use record::Outcome;
pub use record::Record;
pub use record::Segment;
pub use shard::Action;
pub use shard::Decision;
pub use shard::Shard;
