//! Calls to the platform's key-value service and their answers, independent of the wire protocol.

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::budget::CallKind;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// The revision of the last change to the key.
    pub rev: i64,
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Range {
    /// The items, sorted by key.
    pub items: Vec<Item>,
    /// The revision of the store at the time of the read.
    pub rev: i64,
    /// Whether there are more keys after the last one.
    #[serde(default)]
    pub more: bool,
}

/// A list that was read page by page. It is not a snapshot: changes made during the read may be included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The items, sorted by key.
    pub items: Vec<Item>,
    /// The listing contains every change up to this revision, and possibly later ones.
    pub since: i64,
}

impl Listing {
    /// Appends the listing of the keys that follow; `since` becomes the lower of the two revisions.
    pub fn join(&mut self, other: Self) {
        self.items.extend(other.items);
        self.since = self.since.min(other.since);
    }
}

/// A condition of a transaction on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Guard {
    /// The key does not exist.
    Absent(String),
    /// The last change to the key was at this revision.
    At(String, i64),
}

impl Guard {
    /// The condition that a key is at a revision; 0 means that the key must not exist.
    pub fn on(key: impl Into<String>, rev: i64) -> Self {
        match rev {
            0 => Self::Absent(key.into()),
            rev => Self::At(key.into(), rev),
        }
    }
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// The lease that the key is attached to; 0 for none.
    pub lease: i64,
}

impl Put {
    /// Creates a write without a lease.
    pub fn new(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self {
            key: key.into(),
            value: value.into(),
            lease: 0,
        }
    }
}

/// Keys to delete.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Delete {
    /// One key.
    Key(String),
    /// Every key from the first, inclusive, to the second, exclusive.
    Span(String, String),
}

/// A transaction: if every guard holds, all writes and deletions are applied, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
    pub guards: Vec<Guard>,
    /// The writes.
    pub puts: Vec<Put>,
    /// The deletions.
    pub deletes: Vec<Delete>,
}

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TxnOutcome {
    /// It was applied at this revision.
    At(i64),
    /// A guard did not hold; nothing was written.
    Conflict,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// Identifier of the lease.
    pub id: i64,
    /// Time to live, in milliseconds.
    pub ttl: Millis,
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key was deleted, at this revision.
    Delete(String, i64),
    /// There are no further changes up to this revision.
    Progress(i64),
}

/// How recent the state that a read returns must be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Freshness {
    /// The read returns the newest state.
    #[default]
    Newest,
    /// The read may return a state that is seconds old, which costs the platform less.
    Stale,
}

/// A call to the platform that has a single answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Call {
    /// Reads one key.
    Get(String),
    /// Reads one page of the keys that begin with `prefix` and sort after `after`.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The key after which the page starts; absent for the first page.
        after: Option<String>,
        /// The freshness required of the answer.
        fresh: Freshness,
    },
    /// Runs a transaction.
    Txn(Txn),
    /// Requests a lease that expires after this many milliseconds unless renewed.
    Grant(Millis),
    /// Renews a lease.
    Renew(i64),
    /// Revokes a lease.
    Revoke(i64),
    /// Waits until a key that begins with `prefix` changes after a revision, or a time limit passes.
    Poll {
        /// The prefix of the keys.
        prefix: String,
        /// The revision after which changes are reported.
        after: i64,
        /// Longest time to wait, in milliseconds.
        wait: Millis,
    },
}

impl Call {
    /// The kind as which the call counts against the [`Budget`](crate::Budget).
    pub fn kind(&self) -> CallKind {
        match self {
            Self::List {
                fresh: Freshness::Stale,
                ..
            } => CallKind::Stale,
            Self::Get(_) | Self::List { .. } => CallKind::Read,
            Self::Txn(_) => CallKind::Write,
            Self::Grant(_) | Self::Renew(_) | Self::Revoke(_) => CallKind::Lease,
            Self::Poll { .. } => CallKind::Watch,
        }
    }
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The result of a read.
    Range(Range),
    /// The outcome of a transaction.
    Done(TxnOutcome),
    /// The lease that was granted.
    Lease(Lease),
    /// Whether the lease still exists.
    Alive(bool),
    /// The changes, and the revision from which to continue.
    Changes(Vec<Change>, i64),
}
