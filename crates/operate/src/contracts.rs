//! Contracts at the platform.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use contract::Audit;
use contract::Change;
use contract::ChangeStatus;
use contract::Contract;
use contract::Revision;
use contract::StoredContract;
use contract::amend::ReadBack;
use contract::amend::change_status;
use contract::ini;
use contract::ini::LineDiff;
use kernel::Name;
use plat::Client;
use plat::Guard;
use plat::Item;
use plat::PlatError;
use plat::Put;
use plat::Txn;
use plat::TxnOutcome;
use plat::keys;
use uuid::Uuid;

/// Tries to settle a write whose answer was lost.
const TRIES: u32 = 8;

/// First pause between two tries; it doubles with each.
const PAUSE: Duration = Duration::from_millis(100);

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// It is in force at the platform at this revision.
    InForce(Revision),
    /// It took effect and was replaced since.
    Replaced(Revision),
    /// The contract was like this already.
    Unchanged(Revision),
    /// It was not applied: somebody else changed the contract first.
    Conflict {
        /// The contract's revision now.
        rev: Revision,
        /// What the others changed.
        theirs: Vec<LineDiff>,
    },
    /// It is not known yet: the platform did not answer often enough.
    NotKnown {
        /// The change to ask for later, with `snipeway contract settle`.
        change: Box<str>,
    },
}

/// Why a change was not even tried, or a read failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ContractError {
    /// The platform.
    #[error(transparent)]
    Platform(#[from] PlatError),
    /// The platform holds something that is no contract.
    #[error("the platform's contract of {0} could not be read")]
    Garbled(String),
    /// There is no such contract.
    #[error("{0} has no contract")]
    Missing(Name),
    /// Another contract has the same token.
    #[error("the contract of {0} has the same token")]
    Token(Name),
}

/// Contracts at the platform.
#[derive(Clone, Debug)]
pub struct Contracts {
    plat: Client,
}

/// A contract as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Its revision.
    pub rev: Revision,
    /// The contract with its change.
    pub stored: StoredContract,
}

fn decode(item: &Item) -> Result<Held, ContractError> {
    let stored = serde_json::from_slice(&item.value);
    let stored = stored.map_err(|_| ContractError::Garbled(item.key.clone()))?;
    let rev = item.rev;
    Ok(Held { rev, stored })
}

fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Contracts {
    /// Works with the platform that a client reaches.
    pub fn new(plat: Client) -> Self {
        Self { plat }
    }

    /// Reads the contract of a customer.
    ///
    /// # Errors
    ///
    /// Returns [`ContractError`].
    pub async fn show(&self, customer: &Name) -> Result<Option<Held>, ContractError> {
        let item = self.plat.get(&keys::contract(customer)).await?;
        item.as_ref().map(decode).transpose()
    }

    /// Reads every contract.
    ///
    /// # Errors
    ///
    /// Returns [`ContractError`].
    pub async fn list(&self) -> Result<Vec<Held>, ContractError> {
        let range = self.plat.list(keys::CONTRACTS).await?;
        range.items.iter().map(decode).collect()
    }

    /// Reads the audit trail of a customer, or of all when none is given, oldest first.
    ///
    /// # Errors
    ///
    /// Returns [`ContractError`].
    pub async fn audit(
        &self,
        customer: Option<&Name>,
    ) -> Result<Vec<(Revision, Audit)>, ContractError> {
        let prefix = match customer {
            Some(customer) => format!("{}{customer}/", keys::AUDIT),
            None => keys::AUDIT.to_owned(),
        };
        let range = self.plat.list(&prefix).await?;
        let mut all = Vec::new();
        for item in range.items {
            let audit = serde_json::from_slice(&item.value);
            all.push((
                item.rev,
                audit.map_err(|_| ContractError::Garbled(item.key))?,
            ));
        }
        all.sort_by_key(|(rev, _)| *rev);
        Ok(all)
    }

    /// Says what applying a contract would change.
    ///
    /// # Errors
    ///
    /// Returns [`ContractError`].
    pub async fn plan(&self, after: &Contract) -> Result<Vec<LineDiff>, ContractError> {
        let before = self.show(&after.customer).await?;
        let before = before.as_ref().map(|held| &held.stored.contract);
        Ok(ini::diff(before, after))
    }

    /// Puts a contract in place of the one that the platform holds at revision `base`, or of
    /// whichever it holds now when no base is given.
    ///
    /// # Errors
    ///
    /// Returns [`ContractError`] when nothing was tried. Once a write was sent, what became of it
    /// is in the result.
    pub async fn apply(
        &self,
        who: &str,
        base: Option<Revision>,
        after: Contract,
    ) -> Result<Applied, ContractError> {
        self.check_token(&after).await?;
        let held = self.show(&after.customer).await?;
        let rev = held.as_ref().map_or(0, |held| held.rev);
        let before = held.map(|held| held.stored.contract);
        if base.is_some_and(|base| base != rev) {
            return self.conflict(base.unwrap_or(0), rev, &after.customer).await;
        }
        if before.as_ref() == Some(&after) {
            return Ok(Applied::Unchanged(rev));
        }
        let change = Change {
            id: Uuid::now_v7().simple().to_string().into(),
            operator: who.into(),
            base_revision: rev,
            before,
            after,
        };
        self.write(&change).await
    }

    /// A token names one customer: with two, a caller's limits would hang on chance.
    async fn check_token(&self, after: &Contract) -> Result<(), ContractError> {
        for held in self.list().await? {
            let other = held.stored.contract;
            if other.customer != after.customer && other.token_digest.matches(&after.token_digest) {
                return Err(ContractError::Token(other.customer));
            }
        }
        Ok(())
    }

    async fn write(&self, change: &Change) -> Result<Applied, ContractError> {
        let txn = transaction(change)?;
        let customer = &change.after.customer;
        let mut unclear = false;
        for turn in 0..TRIES {
            match self.plat.txn(&txn).await {
                Ok(TxnOutcome::At(rev)) => return Ok(Applied::InForce(rev)),
                // A conflict may be with this very change, written by a try whose answer was lost.
                Ok(TxnOutcome::Conflict) => (),
                Err(error) if error.is_indeterminate() => unclear = true,
                Err(error) if !unclear => return Err(error.into()),
                Err(_) => (),
            }
            match self.read_back(change).await {
                Ok(ChangeStatus::InForce(rev)) => return Ok(Applied::InForce(rev)),
                Ok(ChangeStatus::Replaced(rev)) => return Ok(Applied::Replaced(rev)),
                Ok(ChangeStatus::NotApplied(rev)) => {
                    return self.conflict(change.base_revision, rev, customer).await;
                }
                Ok(ChangeStatus::Retry) | Err(_) => (),
            }
            tokio::time::sleep(PAUSE * 2_u32.pow(turn.min(4))).await;
        }
        let change = change.id.clone();
        Ok(Applied::NotKnown { change })
    }

    async fn read_back(&self, change: &Change) -> Result<ChangeStatus, ContractError> {
        let customer = &change.after.customer;
        let held = self.show(customer).await?;
        let rev = held.as_ref().map_or(0, |held| held.rev);
        let current = held.map(|held| held.stored.change).unwrap_or_default();
        let trail = self.audit(Some(customer)).await?;
        let audited = trail.iter().any(|(_, audit)| audit.change == change.id);
        let seen = ReadBack {
            rev,
            change: &current,
            audited,
        };
        Ok(change_status(&change.id, change.base_revision, seen))
    }

    /// Shows what others changed since `base`.
    async fn conflict(
        &self,
        base: Revision,
        rev: Revision,
        customer: &Name,
    ) -> Result<Applied, ContractError> {
        let trail = self.audit(Some(customer)).await?;
        let theirs = trail
            .iter()
            .filter(|(at, _)| *at > base)
            .flat_map(|(_, audit)| ini::diff(audit.before.as_ref(), &audit.after))
            .collect();
        Ok(Applied::Conflict { rev, theirs })
    }

    /// Says whether a change took effect.
    ///
    /// # Errors
    ///
    /// Returns [`ContractError`].
    pub async fn settle(&self, customer: &Name, change: &str) -> Result<Applied, ContractError> {
        let held = self.show(customer).await?;
        let rev = held.as_ref().map_or(0, |held| held.rev);
        if held.is_some_and(|held| &*held.stored.change == change) {
            return Ok(Applied::InForce(rev));
        }
        let trail = self.audit(Some(customer)).await?;
        if trail.iter().any(|(_, audit)| &*audit.change == change) {
            return Ok(Applied::Replaced(rev));
        }
        let change = change.into();
        Ok(Applied::NotKnown { change })
    }
}

/// The contract and its audit record are written together or not at all.
fn transaction(change: &Change) -> Result<Txn, ContractError> {
    let garbled = |_| ContractError::Garbled(change.after.customer.to_string());
    let at = wall();
    let audit = Audit {
        change: change.id.clone(),
        operator: change.operator.clone(),
        at,
        base_revision: change.base_revision,
        before: change.before.clone(),
        after: change.after.clone(),
    };
    let stored = StoredContract {
        contract: change.after.clone(),
        change: change.id.clone(),
    };
    let customer = &change.after.customer;
    let key = keys::contract(customer);
    let trail = keys::audit(customer, at, &change.id);
    Ok(Txn {
        guards: vec![Guard::on(key.as_str(), change.base_revision)],
        puts: vec![
            Put::new(key, serde_json::to_vec(&stored).map_err(garbled)?),
            Put::new(trail, serde_json::to_vec(&audit).map_err(garbled)?),
        ],
        deletes: Vec::new(),
    })
}
