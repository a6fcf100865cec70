//! Message types: JSON for callers and upstreams, MessagePack between instances.

pub mod caller;
pub mod engine;
pub mod peer;
pub mod problem;
pub mod scorer;

pub use problem::Problem;
