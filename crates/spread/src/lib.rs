//! Distribution of the platform's data from the instances that read it to all others.
//!
//! One instance reads the configuration, the list of upstreams and the member entries of all instances. The others
//! receive them along a [`tree`] in which each instance serves a bounded number of followers. Updates hold what has
//! changed since a revision of the platform's store, so a follower can continue from any other instance. An instance
//! reads the platform itself only when it gets no updates, and no more often than the [`read_budget`] of all instances
//! together allows. The configuration alone is also confirmed outside the tree, so that its age is bounded whatever the
//! instances above do ([`confirmation`]).
//!
//! This crate does no I/O and reads no clock.

pub mod confirmation;
pub mod follower;
pub mod lease;
pub mod list;
pub mod member;
pub mod read_budget;
pub mod replica;
pub mod timing;
pub mod tree;
pub mod update;

pub use confirmation::ConfigUse;
pub use confirmation::ConfirmAction;
pub use confirmation::Confirmation;
pub use follower::Action;
pub use follower::Follower;
pub use follower::PollFailure;
pub use follower::View;
pub use list::List;
pub use member::Member;
pub use member::Membership;
pub use replica::Replica;
pub use tree::TreePosition;
pub use update::Changes;
pub use update::Removed;
pub use update::SyncState;
pub use update::Update;
