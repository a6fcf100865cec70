//! Steps: groups of samples for a trainer, each whole, named, fresh and delivered exactly once.
//!
//! [`Assembly`] puts an engine's chunks together into a whole [`Sample`]. [`Run`] is the state of
//! a step on the instance that works on it: which samples wait, run or are finished, and what
//! comes next. [`Cursor`] is the trainer's own word of what it holds; since every pull carries
//! it, any instance can go on with a step and none can deliver a sample twice.

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

/// A weight version of a model; higher is newer.
pub type Version = u64;
