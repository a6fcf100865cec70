//! Steps: groups of samples for a trainer. Each sample is complete, identified, within the
//! staleness bound and delivered exactly once.
//!
//! [`Assembly`] reassembles the chunks of an engine's stream into a complete [`Sample`]. [`Run`] is
//! the state of a step on the instance that works on it: which samples wait, run or are finished,
//! and which task comes next. [`Cursor`] is the trainer's own record of the samples it holds. Every
//! pull carries it, so any instance can continue a step and none can deliver a sample twice.

pub mod assembly;
pub mod cursor;
pub mod length;
pub mod policy;
pub mod run;
pub mod sample;
pub mod spec;

pub use assembly::Assembly;
pub use cursor::Cursor;
pub use policy::Policy;
pub use run::Run;
pub use sample::Chunk;
pub use sample::Sample;
pub use sample::Span;
pub use spec::Spec;

/// A weight version of a model; higher numbers are newer.
pub type Version = u64;
