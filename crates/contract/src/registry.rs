//! The registry of contracts in force on one instance.
use std::sync::Arc;

use kernel::Map;
use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Contract;
use crate::Revision;
use crate::TokenDigest;

/// A contract as the platform stores it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredContract {
    /// The contract.
    pub contract: Contract,
    /// The identifier of the change that wrote it.
    pub change: Box<str>,
}

/// A contract in force, with its revision on the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ActiveContract {
    /// The revision.
    pub rev: Revision,
    /// The contract.
    pub stored: Arc<StoredContract>,
}

/// The result of applying a contract to a [`Registry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The contract is in force now.
    Applied,
    /// The registry already holds this revision or a higher one.
    Stale,
}

/// The contracts in force on one instance.
///
/// A contract never reverts: a revision at or below the one in force is rejected, whatever its
/// source and the order of arrival.
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
    tokens: Map<TokenDigest, Name>,
}

impl Registry {
    /// Puts a contract in force if its revision is higher than the current one.
    pub fn apply(&mut self, new: ActiveContract) -> ApplyResult {
        let customer = new.stored.contract.customer.clone();
        if let Some(current) = self.contracts.get(&customer) {
            if current.rev >= new.rev {
                return ApplyResult::Stale;
            }
            let old = current.stored.contract.token_digest;
            if self.tokens.get(&old) == Some(&customer) {
                self.tokens.remove(&old);
            }
        }
        self.tokens
            .insert(new.stored.contract.token_digest, customer.clone());
        self.contracts.insert(customer, new);
        ApplyResult::Applied
    }

    /// Returns the contract that a bearer token belongs to.
    pub fn by_token(&self, token: &str) -> Option<&ActiveContract> {
        let digest = TokenDigest::of(token);
        let customer = self.tokens.get(&digest)?;
        let active = self.contracts.get(customer)?;
        active
            .stored
            .contract
            .token_digest
            .matches(&digest)
            .then_some(active)
    }

    /// Returns the contract of a customer.
    pub fn by_name(&self, customer: &str) -> Option<&ActiveContract> {
        self.contracts.get(customer)
    }

    /// Iterates over all contracts in force, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &ActiveContract> {
        self.contracts.values()
    }

    /// Returns the highest revision in force; 0 if there is none.
    pub fn newest_revision(&self) -> Revision {
        self.all().map(|active| active.rev).max().unwrap_or(0)
    }

    /// Returns the contracts with a revision above `rev`, in ascending order of revision.
    pub fn newer_than(&self, rev: Revision) -> Vec<ActiveContract> {
        let mut newer: Vec<_> = self
            .all()
            .filter(|active| active.rev > rev)
            .cloned()
            .collect();
        newer.sort_by_key(|active| active.rev);
        newer
    }
}
