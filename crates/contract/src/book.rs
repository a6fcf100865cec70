//! The contracts in force on one instance.

use std::sync::Arc;

use kernel::Map;
use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::Contract;
use crate::Revision;
use crate::TokenDigest;

/// A contract as the platform keeps it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stored {
    /// The contract.
    pub contract: Contract,
    /// The identifier of the change that made it.
    pub change: Box<str>,
}

/// A contract in force, with the platform's revision of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct InForce {
    /// The revision.
    pub rev: Revision,
    /// The contract.
    pub stored: Arc<Stored>,
}

/// What came of offering a revision to a [`Book`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
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
/// use contract::Book;
///
/// let book = Book::default();
/// assert!(book.by_token("nobody's").is_none());
/// assert_eq!(book.newest(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Book {
    contracts: Map<Name, InForce>,
    tokens: Map<TokenDigest, Name>,
}

impl Book {
    /// Puts a revision in force if it is newer than the one held.
    pub fn offer(&mut self, new: InForce) -> Offer {
        let customer = new.stored.contract.customer.clone();
        if let Some(held) = self.contracts.get(&customer) {
            if held.rev >= new.rev {
                return Offer::Stale;
            }
            let old = held.stored.contract.token;
            if self.tokens.get(&old) == Some(&customer) {
                self.tokens.remove(&old);
            }
        }
        self.tokens
            .insert(new.stored.contract.token, customer.clone());
        self.contracts.insert(customer, new);
        Offer::Applied
    }

    /// Finds the contract of a bearer token.
    pub fn by_token(&self, token: &str) -> Option<&InForce> {
        let digest = TokenDigest::of(token);
        let customer = self.tokens.get(&digest)?;
        let held = self.contracts.get(customer)?;
        held.stored.contract.token.matches(&digest).then_some(held)
    }

    /// Finds the contract of a customer.
    pub fn by_name(&self, customer: &str) -> Option<&InForce> {
        self.contracts.get(customer)
    }

    /// All contracts in force, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &InForce> {
        self.contracts.values()
    }

    /// The highest revision in force; 0 when there is none.
    pub fn newest(&self) -> Revision {
        self.all().map(|held| held.rev).max().unwrap_or(0)
    }

    /// The contracts with a revision above `rev`, lowest first.
    pub fn since(&self, rev: Revision) -> Vec<InForce> {
        let mut newer: Vec<_> = self.all().filter(|held| held.rev > rev).cloned().collect();
        newer.sort_by_key(|held| held.rev);
        newer
    }
}
