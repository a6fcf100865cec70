//! The entries of instances.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use batch::Owner;
use kernel::Millis;
use kernel::Set;
use serde::Deserialize;
use serde::Serialize;

/// An instance's entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Which start of which instance.
    pub owner: Owner,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Whether it reads the list of upstreams for others.
    pub reads: bool,
    /// The processor that it has, in hundredths of a core.
    pub power: u32,
}

/// The entries of all instances at one moment.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The entries.
    pub members: Arc<[Member]>,
    /// A digest of the entries, equal wherever they are; 0 for none.
    pub digest: u64,
    /// When they were read, on the steady clock of whoever holds them.
    pub read_at: Millis,
}

impl Membership {
    /// Makes the roll of entries that were read at `at`.
    pub fn new(mut members: Vec<Member>, read_at: Millis) -> Self {
        members.sort_unstable_by(|a, b| a.owner.instance.cmp(&b.owner.instance));
        let mut hasher = DefaultHasher::new();
        members.hash(&mut hasher);
        let digest = hasher.finish();
        Self {
            members: members.into(),
            digest,
            read_at,
        }
    }
}

/// How the instances that are known have changed, each start by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turnover {
    /// Those that were not known before.
    pub came: usize,
    /// Those that are not known any more.
    pub gone: usize,
}

impl Turnover {
    /// Compares the instances that were known before with those that are now.
    ///
    /// # Examples
    ///
    /// ```
    /// use spread::Member;
    /// use spread::member::Turnover;
    ///
    /// let member = |name: &str, start| Member {
    ///     owner: batch::Owner { instance: name.into(), start },
    ///     domain: "nord".into(),
    ///     addr: ([127, 0, 0, 1], 1).into(),
    ///     reads: true,
    ///     power: 50,
    /// };
    /// // One has started again, and one has left.
    /// let before = [member("a", 1), member("b", 1), member("c", 1)];
    /// let now = [member("a", 1), member("b", 2)];
    /// assert_eq!(Turnover::between(&before, &now), Turnover { came: 1, gone: 2 });
    /// ```
    pub fn between(before: &[Member], now: &[Member]) -> Self {
        let known: Set<&Owner> = before.iter().map(|one| &one.owner).collect();
        let stayed = now.iter().filter(|one| known.contains(&one.owner)).count();
        Self {
            came: now.len() - stayed,
            gone: before.len() - stayed,
        }
    }
}
