//! The journal that lets a non-idempotent request run at most once.
//!
//! A caller identifies such a request by a [`Key`]. Before the request is sent to an upstream, the
//! intent to run it is written to the platform. Keys are partitioned into shards. A shard consists
//! of a head, whose revision is the fencing token, and of segments, each of which holds the
//! records of one write. A write is one transaction: if the head still has the revision that the
//! writer read last, put the next segment and the head. Several instances may write to a shard: of
//! two writes based on the same revision one fails, and its writer then reads the missing segments
//! and finds the other's records there. Which attempt may run a request therefore depends only on
//! the platform's compare-and-swap, not on a lease or a clock.
//!
//! [`Shard`] is the state machine of one shard and does no I/O; its caller carries out each
//! [`Action`].

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
