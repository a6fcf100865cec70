//! Determines whether a contract change took effect when the reply to its write was lost.

use crate::Contract;
use crate::Revision;

/// A contract change that an operator requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The unique identifier of the change, which all attempts to write it share.
    pub id: Box<str>,
    /// The name of the operator.
    pub operator: Box<str>,
    /// The contract revision that the change is based on; 0 if the contract is new.
    pub base_revision: Revision,
    /// The contract before.
    pub before: Option<Contract>,
    /// The contract after.
    pub after: Contract,
}

/// The state read from the platform after the reply to a write was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadBack<'a> {
    /// The current revision of the contract; 0 if there is none.
    pub rev: Revision,
    /// The identifier of the change that wrote this revision.
    pub change: &'a str,
    /// Whether the audit trail contains the operator's change.
    pub audited: bool,
}

/// Whether a contract change took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// The change is in force at this revision.
    InForce(Revision),
    /// The change took effect, but a later one has replaced it; this is the current revision.
    Replaced(Revision),
    /// The change did not take effect and cannot any more, since the contract has this revision
    /// instead of the one that the change is based on.
    NotApplied(Revision),
    /// The change has not taken effect, but the write may still do so. Repeat the write, which
    /// either succeeds or conflicts, and then determine the status again.
    Retry,
}

/// Determines the status of a change from the state that was read back.
///
/// The write is conditional on the base revision, so once the contract has another revision, a
/// write that is still in flight can only fail.
///
/// # Examples
///
/// ```
/// use contract::amend::ReadBack;
/// use contract::amend::change_status;
/// use contract::ChangeStatus;
///
/// let read_back = ReadBack { rev: 9, change: "other", audited: false };
/// assert_eq!(change_status("mine", 7, read_back), ChangeStatus::NotApplied(9));
/// ```
pub fn change_status(id: &str, base: Revision, read_back: ReadBack<'_>) -> ChangeStatus {
    if read_back.change == id {
        return ChangeStatus::InForce(read_back.rev);
    }
    if read_back.audited {
        return ChangeStatus::Replaced(read_back.rev);
    }
    if read_back.rev != base {
        return ChangeStatus::NotApplied(read_back.rev);
    }
    ChangeStatus::Retry
}
