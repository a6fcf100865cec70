//! Types shared by all other crates: names, identifiers, time units, hash map aliases, a sharded map
//! and the plug-in registry.
//!
//! Nothing here opens a socket, reads a clock or starts a thread.

pub mod digest;
pub mod id;
pub mod map;
pub mod name;
pub mod plugin;
pub mod priority;
pub mod rendezvous;
pub mod sharded_map;
pub mod time;
pub mod token;

pub use digest::digest;
pub use digest::digest_segments;
pub use id::AttemptId;
pub use id::RequestId;
pub use map::Map;
pub use map::Set;
pub use name::Name;
pub use name::NameError;
pub use priority::Priority;
pub use rendezvous::rendezvous_rank;
pub use sharded_map::ShardedMap;
pub use time::Millis;
pub use token::TokenDigest;
