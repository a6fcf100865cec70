//! The audit trail of contract changes.

use serde::Deserialize;
use serde::Serialize;

use crate::Contract;
use crate::Revision;

/// The record of one contract change, written in the same transaction as the change itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Audit {
    /// The identifier of the change, chosen by the operator's tool.
    pub change: Box<str>,
    /// The name of the operator who made it.
    #[serde(rename = "who")]
    pub operator: Box<str>,
    /// The time of the change in milliseconds since 1970, by the operator's clock.
    pub at: u64,
    /// The contract revision that the change was based on; 0 if there was no contract.
    #[serde(rename = "base")]
    pub base_revision: Revision,
    /// The contract before.
    pub before: Option<Contract>,
    /// The contract after.
    pub after: Contract,
}
