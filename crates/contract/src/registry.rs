//! The contracts in force on one instance.

use std::sync::Arc;

use kernel::Map;
use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Contract;
use crate::Digest;
use crate::Revision;

/// A contract as the platform keeps it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredContract {
    /// The contract.
    pub contract: Contract,
    /// The identifier of the change that made it.
    pub change: Box<str>,
}

/// A contract in force, with the platform's revision of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ActiveContract {
    /// The revision.
    pub rev: Revision,
    /// The contract.
    pub stored: Arc<StoredContract>,
}

/// What came of offering a revision to a [`Registry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// It is in force now.
    Applied,
    /// The book holds this revision or a higher one.
    Stale,
}

/// The contracts in force on one instance.
///
/// A contract never reverts: a revision at or below the one in force is turned away, from
/// whatever source it comes and in whatever order news arrive.
///
/// # Examples
///
/// ```
/// use contract::Registry;
///
/// let registry = Registry::default();
/// assert!(registry.by_token("nobody's").is_none());
/// assert_eq!(registry.newest_revision(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Registry {
    contracts: Map<Name, ActiveContract>,
    tokens: Map<Digest, Name>,
}

impl Registry {
    /// Puts a revision in force if it is newer than the one held.
    pub fn apply(&mut self, new: ActiveContract) -> ApplyResult {
        let customer = new.stored.contract.customer.clone();
        if let Some(held) = self.contracts.get(&customer) {
            if held.rev >= new.rev {
                return ApplyResult::Stale;
            }
            let old = held.stored.contract.token_digest;
            if self.tokens.get(&old) == Some(&customer) {
                self.tokens.remove(&old);
            }
        }
        self.tokens
            .insert(new.stored.contract.token_digest, customer.clone());
        self.contracts.insert(customer, new);
        ApplyResult::Applied
    }

    /// Finds the contract of a bearer token.
    pub fn by_token(&self, token: &str) -> Option<&ActiveContract> {
        let digest = Digest::of(token);
        let customer = self.tokens.get(&digest)?;
        let held = self.contracts.get(customer)?;
        held.stored
            .contract
            .token_digest
            .matches(&digest)
            .then_some(held)
    }

    /// Finds the contract of a customer.
    pub fn by_name(&self, customer: &str) -> Option<&ActiveContract> {
        self.contracts.get(customer)
    }

    /// All contracts in force, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &ActiveContract> {
        self.contracts.values()
    }

    /// The highest revision in force; 0 when there is none.
    pub fn newest_revision(&self) -> Revision {
        self.all().map(|held| held.rev).max().unwrap_or(0)
    }

    /// The contracts with a revision above `rev`, lowest first.
    pub fn newer_than(&self, rev: Revision) -> Vec<ActiveContract> {
        let mut newer: Vec<_> = self.all().filter(|held| held.rev > rev).cloned().collect();
        newer.sort_by_key(|held| held.rev);
        newer
    }
}
