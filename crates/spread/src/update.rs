//! What instances tell one another of the configuration, the list of upstreams and the entries of instances.

use std::sync::Arc;

use kernel::Millis;
use plat::Item;
use serde::Deserialize;
use serde::Serialize;

use crate::Member;

/// What a follower has already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyncState {
    /// The revision up to which it has the list; 0 when it has none.
    pub rev: i64,
    /// The edition of its list; 0 when it is none, but made of several.
    pub edition: u64,
    /// The revision of its configuration.
    #[serde(rename = "plan")]
    pub configuration: i64,
    /// The age of what it has, in milliseconds; [`None`] when it has nothing.
    pub age: Option<Millis>,
    /// The digest of the roll that it has.
    #[serde(rename = "roll")]
    pub members_digest: u64,
    /// The age of that roll, in milliseconds.
    #[serde(rename = "old")]
    pub members_age: Option<Millis>,
}

/// What a follower does not have yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// Entries, by their last change.
    pub items: Vec<Arc<Item>>,
    /// Which of the follower's entries are gone; [`None`] in all parts but the last.
    #[serde(rename = "gone")]
    pub removed: Option<Removed>,
    /// The revision up to which the follower has the list with this.
    pub rev: i64,
    /// The revision up to which the source has it, or will have it once it knows all parts itself.
    #[serde(rename = "whole")]
    pub complete_rev: i64,
    /// The edition of the source's list; 0 when it is none.
    pub edition: u64,
    /// The configuration, if it is newer.
    #[serde(rename = "plan")]
    pub configuration: Option<Item>,
    /// The age of what the source has, in milliseconds.
    pub age: Millis,
    /// The instances that have entered, if they are others.
    pub members: Option<Vec<Member>>,
    /// The age of the source's roll, in milliseconds, if it has one.
    #[serde(rename = "old")]
    pub members_age: Option<Millis>,
}

/// Entries that a follower has and the source has no more.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Removed {
    /// Those with these keys.
    Keys(Vec<String>),
    /// All up to the news' revision whose keys have none of these digests.
    #[serde(rename = "Others")]
    AllExcept(Vec<u64>),
}

/// What a read or news have changed in a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Entries that are new or others than before.
    pub items: Vec<Arc<Item>>,
    /// Keys of entries that are gone.
    pub removed: Vec<String>,
}
