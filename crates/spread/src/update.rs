//! Messages by which instances synchronise the configuration, the list of upstreams and the member entries.

use std::sync::Arc;

use kernel::Millis;
use plat::Item;
use serde::Deserialize;
use serde::Serialize;

use crate::Member;

/// What a follower already has, sent with each poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyncState {
    /// Revision up to which the follower has the list; 0 without a list.
    pub rev: i64,
    /// Edition of the follower's list; 0 if the list equals no single edition.
    pub edition: u64,
    /// Revision of the follower's configuration.
    #[serde(rename = "plan")]
    pub configuration: i64,
    /// Age of the follower's data, in milliseconds; [`None`] without data.
    pub age: Option<Millis>,
    /// Digest of the follower's member entries.
    #[serde(rename = "roll")]
    pub members_digest: u64,
    /// Age of the follower's member entries, in milliseconds.
    #[serde(rename = "old")]
    pub members_age: Option<Millis>,
    /// Time since the follower's configuration was last known to be the newest, in milliseconds.
    #[serde(default)]
    pub config_age: Option<Millis>,
}

/// What a follower lacks, sent in reply to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// Entries that have changed, in the order of their revisions.
    pub items: Vec<Arc<Item>>,
    /// Entries that the follower has to remove; [`None`] in all parts but the last.
    #[serde(rename = "gone")]
    pub removed: Option<Removed>,
    /// Revision up to which the follower has the list once it has applied this update.
    pub rev: i64,
    /// Revision up to which the source has the list, or will have it once it has received all parts itself.
    #[serde(rename = "whole")]
    pub complete_rev: i64,
    /// Edition of the source's list; 0 if the list equals no single edition.
    pub edition: u64,
    /// The configuration, if it is newer than the follower's.
    #[serde(rename = "plan")]
    pub configuration: Option<Item>,
    /// Age of the source's data, in milliseconds.
    pub age: Millis,
    /// The member entries, if they differ from the follower's.
    pub members: Option<Vec<Member>>,
    /// Age of the source's member entries, in milliseconds, if it has any.
    #[serde(rename = "old")]
    pub members_age: Option<Millis>,
    /// Time since the source's configuration was last known to be the newest, in milliseconds.
    #[serde(default)]
    pub config_age: Option<Millis>,
    /// Time for which the source held the poll, in milliseconds. All ages are those at its end.
    #[serde(default)]
    pub held: Millis,
}

/// Entries that a follower may have and the source has not.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Removed {
    /// The entries with these keys.
    Keys(Vec<String>),
    /// All entries up to the update's revision but those whose keys have one of these digests.
    #[serde(rename = "Others")]
    AllExcept(Vec<u64>),
}

/// The changes that a read or an update made to the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Entries that were added or changed.
    pub items: Vec<Arc<Item>>,
    /// Keys of entries that were removed.
    pub removed: Vec<String>,
}
