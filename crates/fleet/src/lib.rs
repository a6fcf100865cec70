//! The instances as a whole: who is there, which revision spreads, who holds which lease.
//!
//! [`View`] is one instance's picture of its failure domain, kept up by probes and rumours
//! (after SWIM), with a summary of each other domain. [`Lease`] is the state of a lease on a piece
//! of control work; its fencing number comes from the platform's revision. [`election`] does without
//! leases of the platform.

pub mod election;
pub mod lease;
pub mod member;
pub mod rumour;
pub mod view;

pub use election::Candidate;
pub use election::Leader;
pub use lease::FencingToken;
pub use lease::Lease;
pub use member::Member;
pub use member::MemberState;
pub use rumour::Rumour;
pub use view::Probe;
pub use view::View;
