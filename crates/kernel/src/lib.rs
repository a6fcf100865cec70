//! Types shared by all other crates: names, identifiers, time units, hash map aliases, a sharded map
//! and the plug-in registry.
//!
//! Nothing here opens a socket, reads a clock or starts a thread.

pub mod digest;
pub mod id;
pub mod map;
pub mod name;
pub mod plugin;
pub mod rank;
pub mod shard;
pub mod time;
pub mod token;

pub use digest::digest;
pub use id::AttemptId;
pub use id::RequestId;
pub use map::Map;
pub use map::Set;
pub use name::Name;
pub use name::NameError;
pub use rank::rendezvous_rank;
pub use shard::ShardedMap;
pub use time::Millis;
pub use token::TokenDigest;
