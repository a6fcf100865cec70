//! Deciding what became of a change whose answer was lost.

use crate::Contract;
use crate::Revision;

/// A change of one contract that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The change's identifier: unique, and the same over all tries.
    pub id: Box<str>,
    /// Who asks.
    pub operator: Box<str>,
    /// The revision that the change is based on; 0 when the contract is new.
    pub base_revision: Revision,
    /// The contract before.
    pub before: Option<Contract>,
    /// The contract after.
    pub after: Contract,
}

/// What a read of the platform showed after a write whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadBack<'a> {
    /// The revision of the contract now; 0 when there is none.
    pub rev: Revision,
    /// The change that made it.
    pub change: &'a str,
    /// Whether the audit trail holds this change.
    pub audited: bool,
}

/// What to tell the operator, or to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStatus {
    /// The change took effect; the revision is the contract's now.
    InForce(Revision),
    /// It took effect, and a later change has replaced it since.
    Replaced(Revision),
    /// It did not take effect and never can: the contract has another revision than its base.
    NotApplied(Revision),
    /// It has not taken effect, but the lost write may still do so: write the same again, which
    /// either succeeds or conflicts, and then ask again.
    Retry,
}

/// Decides what became of a change.
///
/// The write was conditional on the base revision, so once the contract has another revision a
/// write still on its way can only fail.
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
pub fn change_status(id: &str, base: Revision, seen: ReadBack<'_>) -> ChangeStatus {
    if seen.change == id {
        return ChangeStatus::InForce(seen.rev);
    }
    if seen.audited {
        return ChangeStatus::Replaced(seen.rev);
    }
    if seen.rev != base {
        return ChangeStatus::NotApplied(seen.rev);
    }
    ChangeStatus::Retry
}
