//! Calls of the platform's key-value service, apart from how they are written on the wire.

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
    /// The revision that changed it last.
    pub rev: i64,
}

/// What a read gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Range {
    /// The items in the order of their keys.
    pub items: Vec<Item>,
    /// The revision of the store at the time of the read.
    pub rev: i64,
    /// Whether there are more keys after the last one.
    #[serde(default)]
    pub more: bool,
}

/// A list that was read page by page, which gives no snapshot: what changes between two pages may be in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The items in the order of their keys.
    pub items: Vec<Item>,
    /// Everything up to this revision is in it, and some of what came later.
    pub since: i64,
}

impl Listing {
    /// Adds another list.
    pub fn join(&mut self, other: Self) {
        self.items.extend(other.items);
        self.since = self.since.min(other.since);
    }
}

/// A condition on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Guard {
    /// It does not exist.
    Absent(String),
    /// It was changed last at this revision.
    At(String, i64),
}

impl Guard {
    /// The condition that a key is at a revision, which is 0 when the key must not exist.
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
    /// The lease that it goes with; 0 for none.
    pub lease: i64,
}

impl Put {
    /// A write without a lease.
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
    /// Every key from the first on, up to but without the second.
    Span(String, String),
}

/// A transaction: if every guard holds, all is written and deleted, else nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
    pub guards: Vec<Guard>,
    /// The writes.
    pub puts: Vec<Put>,
    /// What to delete.
    pub deletes: Vec<Delete>,
}

/// What came of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TxnOutcome {
    /// It took effect at this revision.
    At(i64),
    /// A guard did not hold; nothing was written.
    Conflict,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// Its identifier.
    pub id: i64,
    /// Milliseconds to live.
    pub ttl: Millis,
}

/// What a watch gives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key was deleted, at this revision.
    Delete(String, i64),
    /// Nothing changed up to this revision.
    Progress(i64),
}

/// How fresh a read has to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Freshness {
    /// It gives the newest state.
    #[default]
    Newest,
    /// It may give a state that is seconds old, which costs the platform less.
    Stale,
}

/// A call of the platform that has one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Call {
    /// Reads one key.
    Get(String),
    /// Reads the keys that begin with `prefix` and stand behind `after`.
    List {
        /// What the keys begin with.
        prefix: String,
        /// The key to begin behind; absent to begin with the first.
        after: Option<String>,
        /// How fresh the answer has to be.
        fresh: Freshness,
    },
    /// Carries out a transaction.
    Txn(Txn),
    /// Asks for a lease that lives so many milliseconds unless renewed.
    Grant(Millis),
    /// Renews a lease.
    Renew(i64),
    /// Ends a lease.
    Revoke(i64),
    /// Waits until a key that begins with `prefix` changes after a revision.
    Poll {
        /// What the keys begin with.
        prefix: String,
        /// The revision after which changes count.
        after: i64,
        /// Longest time to wait, in milliseconds.
        wait: Millis,
    },
}

impl Call {
    /// What the call counts as.
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
    /// The keys that a read found.
    Range(Range),
    /// What came of a transaction.
    Done(TxnOutcome),
    /// The lease that was granted.
    Lease(Lease),
    /// Whether the platform still had the lease.
    Alive(bool),
    /// What changed, and the revision to go on from.
    Changes(Vec<Change>, i64),
}
