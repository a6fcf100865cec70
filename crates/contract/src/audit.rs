//! Records of who changed what.

use serde::Deserialize;
use serde::Serialize;

use crate::Contract;
use crate::Revision;

/// One change of a contract, written in the same transaction as the change itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Audit {
    /// The change's identifier, chosen by who made it.
    pub change: Box<str>,
    /// Who made it: the operator's name.
    #[serde(rename = "who")]
    pub operator: Box<str>,
    /// When, in milliseconds since 1970 by the operator's clock.
    pub at: u64,
    /// The revision that the change was based on; 0 when there was no contract.
    #[serde(rename = "base")]
    pub base_revision: Revision,
    /// The contract before.
    pub before: Option<Contract>,
    /// The contract after.
    pub after: Contract,
}
