//! Durable state of steps: records, result listing and ownership.
//!
//! A step's data is stored at the platform before any caller is told of it: samples when the step
//! is accepted, each result when it is listed. One instance at a time owns a step and runs its
//! samples. Every write by the owner is conditional on the revision of the step's head, which
//! changes on a takeover, so two instances that both act as the owner of a step cannot both
//! list results.
//!
//! - [`record`] defines the stored records and their encoding, [`keys`] the keys they are stored
//!   under.
//! - [`leftovers`] remembers unfinished samples of ended steps.
//! - [`draft`] holds the partial output of samples and tracks what of it is stored.
//! - [`groups`] decides when the trainer of a step can continue.
//! - [`ledger`] is the owner's view of the results of its step.
//! - [`confirmation`] limits how long samples may be started after the step was last known to be
//!   open.
//! - [`window`] caches results read by instances that do not own the step.
//! - [`score`] decides on retries of scoring requests.
//! - [`waits`] tells why samples make no progress, and since when.

pub mod confirmation;
pub mod draft;
pub mod groups;
pub mod keys;
pub mod ledger;
pub mod leftovers;
pub mod record;
pub mod score;
mod shared_bytes;
pub mod waits;
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
