//! Steps that outlive every process.
//!
//! All that a step promises is at the platform before it is said: its samples when it is accepted,
//! each result when it is listed. One instance at a time owns a step and runs its samples; a write
//! of the owner carries the revision of the step's head, which taking over changes, so that two
//! instances that both believe they own a step cannot both list results.
//!
//! - [`record`] has what is kept at the platform, and under which keys.
//! - [`again`] has what ended steps have left over.
//! - [`draft`] has what samples have so far.
//! - [`groups`] says when a step's trainer can go on.
//! - [`ledger`] has what the owner knows of its step.
//! - [`word`] says until when samples of a step may begin.
//! - [`window`] has what is read of a step's results elsewhere.
//! - [`score`] says what follows from an answer of a scorer.

pub mod confirmation;
pub mod draft;
pub mod groups;
pub mod keys;
pub mod ledger;
pub mod leftovers;
pub mod record;
pub mod score;
pub mod window;

pub use confirmation::Confirmation;
pub use confirmation::Permit;
pub use draft::Draft;
pub use draft::DraftDelta;
pub use groups::Groups;
pub use ledger::Ledger;
pub use ledger::Segment;
pub use leftovers::Leftovers;
pub use record::Entry;
pub use record::Head;
pub use record::Outcome;
pub use record::Owner;
pub use record::RecordError;
pub use record::Sample;
pub use record::Scoring;
pub use record::Spec;
pub use window::Window;
