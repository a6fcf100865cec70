//! Member entries, by which instances register at the platform.

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

/// The entry of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The instance and its start.
    pub owner: Owner,
    /// The failure domain of the instance.
    pub domain: Arc<str>,
    /// Address at which other instances reach it.
    pub addr: SocketAddr,
    /// Whether it may read the list of upstreams on behalf of others.
    #[serde(rename = "reads")]
    pub is_reader: bool,
    /// CPU available to it, in hundredths of a core.
    #[serde(rename = "power")]
    pub centicores: u32,
}

/// The member entries of all instances at one moment.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The entries, sorted by instance.
    pub members: Arc<[Member]>,
    /// Digest of the entries, equal on all instances that have the same entries; 0 stands for none.
    pub digest: u64,
    /// When they were read, on the monotonic clock of the instance that holds them.
    pub read_at: Millis,
}

impl Membership {
    /// Makes the list of entries that were read at `read_at`.
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

/// Number of instances that came and went between two lists of members. Each start of an instance counts by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turnover {
    /// Starts that were not known before.
    pub came: usize,
    /// Starts that are no longer known.
    pub gone: usize,
}

impl Turnover {
    /// Compares the members known before with those known now.
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
    ///     is_reader: true,
    ///     centicores: 50,
    /// };
    /// // Instance b has restarted and c has left.
    /// let before = [member("a", 1), member("b", 1), member("c", 1)];
    /// let now = [member("a", 1), member("b", 2)];
    /// assert_eq!(Turnover::between(&before, &now), Turnover { came: 1, gone: 2 });
    /// ```
    pub fn between(before: &[Member], now: &[Member]) -> Self {
        let known: Set<&Owner> = before.iter().map(|member| &member.owner).collect();
        let stayed = now
            .iter()
            .filter(|member| known.contains(&member.owner))
            .count();
        Self {
            came: now.len() - stayed,
            gone: before.len() - stayed,
        }
    }
}
