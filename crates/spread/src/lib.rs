//! How what one instance reads of the platform reaches all others.
//!
//! One instance reads the configuration, the list of upstreams and the entries of instances. The others hear
//! it along a [`tree`] in which nobody tells more than a few. What is passed on is what has changed since
//! a revision of the platform's store, so a follower can go on at any other instance. Only when nobody tells an
//! instance anything does it read for itself, as often as all instances together may: a [`ration`].
//!
//! Nothing here reads a socket or a clock.

pub mod follower;
pub mod lease;
pub mod list;
pub mod member;
pub mod read_budget;
pub mod replica;
pub mod timing;
pub mod tree;
pub mod update;

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
