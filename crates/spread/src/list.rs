//! The entries of the platform's list, indexed by key and by revision.
//!
//! Load pattern: a list of thousands of entries, of which few have changed since a follower's last update, and
//! hundreds of replies per second. With the index by revision the cost of a reply depends on the number of changed
//! entries and not on the length of the list.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::sync::Arc;

use plat::Item;

/// An entry ordered by key.
#[derive(Debug)]
struct ByKey(Arc<Item>);

impl ByKey {
    fn key(&self) -> &str {
        &self.0.key
    }
}

impl Borrow<str> for ByKey {
    fn borrow(&self) -> &str {
        self.key()
    }
}

impl Ord for ByKey {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(other.key())
    }
}

impl PartialOrd for ByKey {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ByKey {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ByKey {}

/// An entry ordered by revision, then key.
#[derive(Debug)]
struct ByRev(Arc<Item>);

impl ByRev {
    /// A bound that precedes all entries of a revision.
    fn first(rev: i64) -> Self {
        Self(Arc::new(Item {
            key: String::new(),
            value: Vec::new(),
            rev,
        }))
    }
}

impl Ord for ByRev {
    fn cmp(&self, other: &Self) -> Ordering {
        let revs = self.0.rev.cmp(&other.0.rev);
        revs.then_with(|| self.0.key.cmp(&other.0.key))
    }
}

impl PartialOrd for ByRev {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ByRev {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ByRev {}

/// Entries with unique keys.
///
/// # Examples
///
/// ```
/// use plat::Item;
/// use spread::List;
///
/// let item = |key: &str, rev| Item { key: key.into(), value: vec![1], rev };
/// let mut list = List::default();
/// list.insert(item("a", 5).into());
/// list.insert(item("b", 4).into());
/// list.insert(item("b", 6).into());
/// let revs = |from| list.since(from).map(|item| item.rev).collect::<Vec<_>>();
/// assert_eq!((list.len(), revs(0), revs(5)), (2, vec![5, 6], vec![6]));
/// ```
#[derive(Debug, Default)]
pub struct List {
    keys: BTreeSet<ByKey>,
    revs: BTreeSet<ByRev>,
}

impl List {
    /// The number of entries.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The entry with a key.
    pub fn get(&self, key: &str) -> Option<&Arc<Item>> {
        self.keys.get(key).map(|entry| &entry.0)
    }

    /// Adds an entry, replacing the one with the same key.
    pub fn insert(&mut self, item: Arc<Item>) {
        if let Some(held) = self.keys.replace(ByKey(item.clone())) {
            self.revs.remove(&ByRev(held.0));
        }
        self.revs.insert(ByRev(item));
    }

    /// Removes the entry with a key; returns whether there was one.
    pub fn remove(&mut self, key: &str) -> bool {
        let held = self.keys.take(key);
        held.is_some_and(|held| self.revs.remove(&ByRev(held.0)))
    }

    /// All entries, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.keys.iter().map(|entry| &entry.0)
    }

    /// The entries that have changed after a revision, ordered by revision.
    pub fn since(&self, rev: i64) -> impl Iterator<Item = &Arc<Item>> {
        let first = ByRev::first(rev.saturating_add(1));
        self.revs.range(first..).map(|entry| &entry.0)
    }
}
