//! The IDs of requests that a connection has carried, so that it carries none twice.
//!
//! The users build this crate with lock files of their own, so it needs no package for this: digests come from the standard
//! library's keyed hash, and a connection holds few enough of them for a sorted list.

use std::hash::BuildHasher;
use std::hash::RandomState;

/// Maximum number of request IDs that a connection carries; it is closed after that. They take some 2 KB.
const MAX_IDS: usize = 256;

/// The digest of a request's ID.
#[derive(Clone, Copy, Debug)]
#[derive(Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct IdDigest(u64);

/// Computes digests with a key of its own, so that callers cannot choose IDs with equal ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct IdHasher(RandomState);

impl IdHasher {
    pub(crate) fn digest(&self, id: &str) -> IdDigest {
        IdDigest(self.0.hash_one(id))
    }
}

/// The digests of the IDs that a connection has carried, in ascending order.
#[derive(Debug, Default)]
pub(crate) struct CarriedIds(Vec<IdDigest>);

impl CarriedIds {
    /// Records an ID. Returns false if it was recorded before, or if no more can be.
    pub(crate) fn insert(&mut self, id: IdDigest) -> bool {
        if self.0.len() >= MAX_IDS {
            return false;
        }
        let Err(position) = self.0.binary_search(&id) else {
            return false;
        };
        self.0.insert(position, id);
        true
    }
}
