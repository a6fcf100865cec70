//! Membership of the instances, gossip among them, leases and leader election.
//!
//! [`View`] is one instance's view of the members, kept up to date by probes and gossiped rumours (after SWIM). It
//! probes its own failure domain often and the others rarely. [`Lease`] is the state of a lease on a piece of control
//! work; its fencing token is a revision of the platform's store. [`election`] elects a leader without the platform's
//! leases.

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
